//! What a dispatcher has sent to one engine while that warms up.

use super::Millis;
use super::statistics::SlidingWindowSum;

#[cfg(test)]
mod tests;

/// Work sent to an engine, and what sampled admission spent of the engine's budget.
///
/// A query that the sample rejects spends what it would have brought on average, but of the sampled
/// budget alone: nothing was sent.
#[derive(Debug, Default)]
pub(crate) struct SlowStartUsage {
    sent: SlidingWindowSum,
    sampled: SlidingWindowSum,
}

/// Usage within a window, counted in queries of one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QueryCounts {
    /// Queries that were sent.
    pub(crate) sent: f64,
    /// Queries that were sent, or would have been on average.
    pub(crate) sampled: f64,
}

impl SlowStartUsage {
    /// Records a query: `spent` is 1 if it was sent, else the probability that it had.
    pub(crate) fn record(&mut self, now: Millis, window: Millis, work: f64, spent: f64) {
        let sent = if spent >= 1.0 { work } else { 0.0 };
        self.sent.record(now, window, sent);
        self.sampled.record(now, window, work * spent);
    }

    /// The usage after `start`, in queries of this work.
    pub(crate) fn queries_after(&self, start: Millis, work: f64) -> QueryCounts {
        QueryCounts {
            sent: self.sent.sum_after(start) / work,
            sampled: self.sampled.sum_after(start) / work,
        }
    }
}
