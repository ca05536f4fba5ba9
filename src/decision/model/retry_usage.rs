//! Arrivals and retries of late, for the retry budget.

use super::statistics::SlidingWindowSum;
use super::{Millis, RetryBudget};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Arrivals and retries within the window of a retry budget.
#[derive(Debug, Default)]
pub(crate) struct RetryUsage {
    arrivals: VecDeque<Millis>,
    retries: SlidingWindowSum,
}

impl RetryUsage {
    /// Records a query that has arrived.
    pub(crate) fn record_arrival(&mut self, now: Millis) {
        self.arrivals.push_back(now);
    }

    /// Records an attempt, and forgets what is older than the window.
    pub(crate) fn record_attempt(
        &mut self,
        now: Millis,
        budget: Option<RetryBudget>,
        is_retry: bool,
    ) {
        let window = budget.map_or(0.0, |budget| budget.window);
        let retries = if is_retry { 1.0 } else { 0.0 };
        self.retries.record(now, window, retries);
        self.arrivals.retain(|&at| at >= now - window);
    }

    /// Counts what lies within the window of a budget.
    pub(crate) fn count(&self, now: Millis, budget: RetryBudget) -> RetryCounts {
        let start = now - budget.window;
        let recent_arrivals = self.arrivals.iter().filter(|&&at| at > start);
        RetryCounts {
            arrivals: recent_arrivals.count() as f64,
            retries: self.retries.sum_after(start.next_down()),
        }
    }
}

/// What happened within the window of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryCounts {
    /// Queries that arrived after its start.
    pub(crate) arrivals: f64,
    /// Retries at its start or after.
    pub(crate) retries: f64,
}
