//! What a dispatcher has sent to one engine that is warming up.

use super::Millis;
use super::statistics::SlidingWindowSum;

#[cfg(test)]
mod tests;

/// Work sent to an engine, and the use of its sampled budget.
///
/// A query that the sample rejects counts against the sampled budget with the work that it would
/// have brought on average. It does not count as sent.
#[derive(Debug, Default)]
pub(crate) struct SlowStartUsage {
    sent: SlidingWindowSum,
    sampled: SlidingWindowSum,
}

/// Usage within a window, counted in queries of one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QueryCounts {
    /// Number of queries that were sent.
    pub(crate) sent: f64,
    /// Number of queries that were sent, plus the admission probabilities of those that were
    /// rejected.
    pub(crate) sampled: f64,
}

impl SlowStartUsage {
    /// Records a query: `admission_probability` is 1 if it was sent, else the probability with
    /// which it would have been.
    pub(crate) fn record(
        &mut self,
        now: Millis,
        window: Millis,
        work: f64,
        admission_probability: f64,
    ) {
        let sent = if admission_probability >= 1.0 {
            work
        } else {
            0.0
        };
        self.sent.record(now, window, sent);
        self.sampled
            .record(now, window, work * admission_probability);
    }

    /// Returns the usage after `start`, in queries of this much work.
    pub(crate) fn queries_after(&self, start: Millis, work: f64) -> QueryCounts {
        QueryCounts {
            sent: self.sent.sum_after(start) / work,
            sampled: self.sampled.sum_after(start) / work,
        }
    }
}
