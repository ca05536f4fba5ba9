//! Selection of the registries to poll: those in the dispatcher's zone first, failed ones after a backoff.
//! Does no I/O; time and random numbers are parameters.

use crate::decision::model::Millis;

/// Backoff after the first failure, in milliseconds.
const MIN_BACKOFF: Millis = 1_000.0;
/// Maximum backoff, in milliseconds.
const MAX_BACKOFF: Millis = 30_000.0;

#[derive(Clone, Debug, PartialEq)]
struct Server {
    /// Whether the server is in the dispatcher's zone.
    same_zone: bool,
    /// Random order among servers of equal proximity, which spreads dispatchers over registries.
    random_rank: f64,
    consecutive_failures: u32,
    retry_at: Millis,
}

/// The registries of one configuration, by their index in it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Servers {
    servers: Vec<Server>,
    /// Indices into `servers`, in order of preference.
    preference: Vec<usize>,
}

impl Servers {
    /// Creates the selection. `zones` are the zones of the servers, `zone` is this dispatcher's own. `random`
    /// returns numbers from 0 to 1, which order the servers of equal proximity.
    pub(super) fn new(
        zones: &[Option<String>],
        zone: Option<&str>,
        mut random: impl FnMut() -> f64,
    ) -> Self {
        let in_own_zone =
            |server_zone: &Option<String>| zone.is_some() && server_zone.as_deref() == zone;
        let servers: Vec<Server> = zones
            .iter()
            .map(|server_zone| Server {
                same_zone: in_own_zone(server_zone),
                random_rank: random(),
                consecutive_failures: 0,
                retry_at: f64::MIN,
            })
            .collect();
        let mut preference: Vec<usize> = (0..servers.len()).collect();
        preference.sort_by(|&left, &right| {
            let (left, right) = (&servers[left], &servers[right]);
            right
                .same_zone
                .cmp(&left.same_zone)
                .then(left.random_rank.total_cmp(&right.random_rank))
        });
        Servers {
            servers,
            preference,
        }
    }

    /// Returns the indices of up to `limit` servers to poll at `now`, in order of preference, without those
    /// in backoff.
    pub(super) fn choose(&self, now: Millis, limit: usize) -> Vec<usize> {
        let available = |index: &usize| self.servers[*index].retry_at <= now;
        self.preference
            .iter()
            .copied()
            .filter(available)
            .take(limit)
            .collect()
    }

    /// Records a successful exchange with the server at this index, which ends its backoff.
    pub(super) fn record_success(&mut self, server: usize) {
        if let Some(server) = self.servers.get_mut(server) {
            (server.consecutive_failures, server.retry_at) = (0, f64::MIN);
        }
    }

    /// Records a failed exchange with the server at this index. Its backoff doubles with each failure,
    /// from 1 s up to 30 s. `random`, from 0 to 1, sets the delay within the upper half of the backoff, so that
    /// dispatchers that lost a registry at the same time do not return to it at the same time.
    pub(super) fn record_failure(&mut self, now: Millis, server: usize, random: f64) {
        if let Some(server) = self.servers.get_mut(server) {
            server.consecutive_failures = server.consecutive_failures.saturating_add(1);
            let backoff = (MIN_BACKOFF * 2f64.powi(server.consecutive_failures.min(16) as i32 - 1))
                .min(MAX_BACKOFF);
            server.retry_at = now + backoff * (0.5 + random.clamp(0.0, 1.0) / 2.0);
        }
    }

    /// Returns when the first of the servers in backoff at `now` may be polled again; `None` if none is in
    /// backoff.
    #[cfg(test)]
    fn next_retry(&self, now: Millis) -> Option<Millis> {
        self.servers
            .iter()
            .map(|server| server.retry_at)
            .filter(|at| *at > now)
            .reduce(f64::min)
    }
}

#[cfg(test)]
mod tests;
