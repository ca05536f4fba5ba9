//! Selection of the registries to ask: those of the same zone first, failed ones after a backoff. Does no I/O; time and
//! random numbers are parameters.

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

/// The registries of one configuration, by their index in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Servers {
    all: Vec<Server>,
    /// Places, best first.
    order: Vec<usize>,
}

impl Servers {
    /// Creates the selection. `zones` are the zones of the servers, `zone` is this dispatcher's own. `random` returns
    /// numbers from 0 to 1, which order the servers of equal proximity.
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

    /// The indices of up to `wanted` servers to ask at `now`, best first, without those in backoff.
    pub fn choose(&self, now: Millis, wanted: usize) -> Vec<usize> {
        let may = |i: &usize| self.all[*i].retry_at <= now;
        self.order
            .iter()
            .copied()
            .filter(may)
            .take(wanted)
            .collect()
    }

    /// Records that the server at this index answered, which ends its backoff.
    pub fn answered(&mut self, server: usize) {
        if let Some(s) = self.all.get_mut(server) {
            (s.failures, s.retry_at) = (0, f64::MIN);
        }
    }

    /// Records that the server at this index gave no usable answer. Its backoff doubles with each failure, from 1 s up
    /// to 30 s; `random`, from 0 to 1, draws the delay from the upper half, so that dispatchers which lost a registry
    /// together do not come back together.
    pub fn failed(&mut self, now: Millis, server: usize, random: f64) {
        if let Some(s) = self.all.get_mut(server) {
            s.failures = s.failures.saturating_add(1);
            let pause = (FIRST * 2f64.powi(s.failures.min(16) as i32 - 1)).min(LONGEST);
            s.retry_at = now + pause * (0.5 + random.clamp(0.0, 1.0) / 2.0);
        }
    }

    /// When the first of the servers in backoff at `now` may be asked again; `None` if there are none.
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
