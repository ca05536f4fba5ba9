//! A limit with additive increase and multiplicative decrease.

use super::Millis;

#[cfg(test)]
mod tests;

/// A limit grows by this for each limit's worth of threads served.
const INCREASE: f64 = 2.0;

/// A limit on threads in flight: unlimited until it is first decreased.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AimdLimit {
    threads: f64,
    decreased_at: Millis,
}

impl Default for AimdLimit {
    fn default() -> Self {
        AimdLimit {
            threads: f64::INFINITY,
            decreased_at: f64::MIN,
        }
    }
}

impl AimdLimit {
    /// The limit, in threads.
    pub(crate) fn threads(&self) -> f64 {
        self.threads
    }

    /// It has not been decreased yet.
    pub(crate) fn is_unlimited(&self) -> bool {
        self.threads == f64::INFINITY
    }

    /// Begins with this limit.
    pub(crate) fn open(&mut self, threads: f64) {
        self.threads = threads;
    }

    /// The last decrease is at least `interval` ago.
    pub(crate) fn may_decrease(&self, now: Millis, interval: Millis) -> bool {
        now >= self.decreased_at + interval
    }

    /// Decreases it.
    pub(crate) fn decrease(&mut self, now: Millis, threads: f64) {
        self.decreased_at = now;
        self.threads = threads;
    }

    /// Lets it grow after an answer that used so many threads.
    pub(crate) fn increase(&mut self, served_threads: f64) {
        self.threads += INCREASE * served_threads / self.threads.max(1.0);
    }
}
