//! A limit with additive increase and multiplicative decrease.

use super::Millis;

#[cfg(test)]
mod tests;

/// Number of threads that the limit grows by for each full limit of threads served.
const INCREASE: f64 = 2.0;

/// A limit on threads in flight; unlimited until it is first set or decreased.
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
    /// Returns the limit, in threads.
    pub(crate) fn threads(&self) -> f64 {
        self.threads
    }

    /// Returns whether the limit is still infinite: it has not been set or decreased yet.
    pub(crate) fn is_unlimited(&self) -> bool {
        self.threads == f64::INFINITY
    }

    /// Sets the initial limit, in threads.
    pub(crate) fn set_initial(&mut self, threads: f64) {
        self.threads = threads;
    }

    /// Returns whether the last decrease is at least `interval` ms ago.
    pub(crate) fn may_decrease(&self, now: Millis, interval: Millis) -> bool {
        now >= self.decreased_at + interval
    }

    /// Decreases the limit to this number of threads.
    pub(crate) fn decrease(&mut self, now: Millis, threads: f64) {
        self.decreased_at = now;
        self.threads = threads;
    }

    /// Increases the limit after an answer that used this many threads.
    pub(crate) fn increase(&mut self, served_threads: f64) {
        self.threads += INCREASE * served_threads / self.threads.max(1.0);
    }
}
