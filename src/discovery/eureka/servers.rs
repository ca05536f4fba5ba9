//! Which registries are asked next: the nearest first, failed ones after a back-off, and back to the nearest when
//! they answer again. Pure: time and random numbers are passed in.

use crate::decision::model::Millis;

/// The first pause after a failure, and the longest, in milliseconds.
const FIRST: Millis = 1_000.0;
const LONGEST: Millis = 30_000.0;

#[derive(Clone, Debug, PartialEq)]
struct Server {
    near: bool,
    /// Among those as near: spreads dispatchers over registries.
    draw: f64,
    failures: u32,
    retry_at: Millis,
}

/// The registries of one list, by their places in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Servers {
    all: Vec<Server>,
    /// Places, best first.
    order: Vec<usize>,
}

impl Servers {
    /// `zones` are the servers' own, `zone` is where this dispatcher stands. `random` gives numbers from 0 to 1.
    pub fn new(
        zones: &[Option<String>],
        zone: Option<&str>,
        mut random: impl FnMut() -> f64,
    ) -> Self {
        let near = |z: &Option<String>| zone.is_some() && z.as_deref() == zone;
        let all: Vec<Server> = zones
            .iter()
            .map(|z| Server {
                near: near(z),
                draw: random(),
                failures: 0,
                retry_at: f64::MIN,
            })
            .collect();
        let mut order: Vec<usize> = (0..all.len()).collect();
        order.sort_by(|&a, &b| {
            let (a, b) = (&all[a], &all[b]);
            b.near.cmp(&a.near).then(a.draw.total_cmp(&b.draw))
        });
        Servers { all, order }
    }

    /// The best `wanted` that may be asked now. A nearer one that failed is among them as soon as its pause is
    /// over: that is the return.
    pub fn choose(&self, now: Millis, wanted: usize) -> Vec<usize> {
        let may = |i: &usize| self.all[*i].retry_at <= now;
        self.order
            .iter()
            .copied()
            .filter(may)
            .take(wanted)
            .collect()
    }

    pub fn answered(&mut self, server: usize) {
        if let Some(s) = self.all.get_mut(server) {
            (s.failures, s.retry_at) = (0, f64::MIN);
        }
    }

    /// It gave nothing that can be used: it is asked again after a pause that doubles, drawn from its upper half
    /// so that dispatchers which lost a registry together do not come back together.
    pub fn failed(&mut self, now: Millis, server: usize, random: f64) {
        if let Some(s) = self.all.get_mut(server) {
            s.failures = s.failures.saturating_add(1);
            let pause = (FIRST * 2f64.powi(s.failures.min(16) as i32 - 1)).min(LONGEST);
            s.retry_at = now + pause * (0.5 + random.clamp(0.0, 1.0) / 2.0);
        }
    }

    /// When the next one that failed may be asked again.
    pub fn next_retry(&self, now: Millis) -> Option<Millis> {
        self.all
            .iter()
            .map(|s| s.retry_at)
            .filter(|at| *at > now)
            .reduce(f64::min)
    }
}

#[cfg(test)]
mod tests;
