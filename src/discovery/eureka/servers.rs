//! Selection of the registries to ask: those of the same zone first, failed ones after a backoff. Does no I/O; time and
//! random numbers are parameters.

use crate::decision::model::Millis;

/// Backoff after the first failure, in milliseconds.
const MIN_BACKOFF: Millis = 1_000.0;
/// Maximum backoff, in milliseconds.
const MAX_BACKOFF: Millis = 30_000.0;

#[derive(Clone, Debug, PartialEq)]
struct Server {
    near: bool,
    /// Random order among servers of equal proximity, which spreads dispatchers over registries.
    rank: f64,
    failures: u32,
    retry_at: Millis,
}

/// The registries of one configuration, by their index in it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Servers {
    all: Vec<Server>,
    /// Indices into `all`, best first.
    order: Vec<usize>,
}

impl Servers {
    /// Creates the selection. `zones` are the zones of the servers, `zone` is this dispatcher's own. `random` returns
    /// numbers from 0 to 1, which order the servers of equal proximity.
    pub(super) fn new(
        zones: &[Option<String>],
        zone: Option<&str>,
        mut random: impl FnMut() -> f64,
    ) -> Self {
        let near = |z: &Option<String>| zone.is_some() && z.as_deref() == zone;
        let all: Vec<Server> = zones
            .iter()
            .map(|z| Server {
                near: near(z),
                rank: random(),
                failures: 0,
                retry_at: f64::MIN,
            })
            .collect();
        let mut order: Vec<usize> = (0..all.len()).collect();
        order.sort_by(|&a, &b| {
            let (a, b) = (&all[a], &all[b]);
            b.near.cmp(&a.near).then(a.rank.total_cmp(&b.rank))
        });
        Servers { all, order }
    }

    /// The indices of up to `wanted` servers to ask at `now`, best first, without those in backoff.
    pub(super) fn choose(&self, now: Millis, wanted: usize) -> Vec<usize> {
        let may = |i: &usize| self.all[*i].retry_at <= now;
        self.order
            .iter()
            .copied()
            .filter(may)
            .take(wanted)
            .collect()
    }

    /// Records that the server at this index answered, which ends its backoff.
    pub(super) fn answered(&mut self, server: usize) {
        if let Some(s) = self.all.get_mut(server) {
            (s.failures, s.retry_at) = (0, f64::MIN);
        }
    }

    /// Records that the server at this index gave no usable answer. Its backoff doubles with each failure, from 1 s up
    /// to 30 s; `random`, from 0 to 1, draws the delay from the upper half, so that dispatchers which lost a registry
    /// together do not come back together.
    pub(super) fn failed(&mut self, now: Millis, server: usize, random: f64) {
        if let Some(s) = self.all.get_mut(server) {
            s.failures = s.failures.saturating_add(1);
            let backoff = (MIN_BACKOFF * 2f64.powi(s.failures.min(16) as i32 - 1)).min(MAX_BACKOFF);
            s.retry_at = now + backoff * (0.5 + random.clamp(0.0, 1.0) / 2.0);
        }
    }

    /// When the first of the servers in backoff at `now` may be asked again; `None` if there are none.
    #[cfg(test)]
    fn next_retry(&self, now: Millis) -> Option<Millis> {
        self.all
            .iter()
            .map(|s| s.retry_at)
            .filter(|at| *at > now)
            .reduce(f64::min)
    }
}

#[cfg(test)]
mod tests;
