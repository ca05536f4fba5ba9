//! Recent arrivals and retries, for the retry budget.

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

    /// Records an attempt, and discards entries older than the window.
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

    /// Counts the arrivals and retries within the window of a budget.
    pub(crate) fn count(&self, now: Millis, budget: RetryBudget) -> RetryCounts {
        let start = now - budget.window;
        let recent_arrivals = self.arrivals.iter().filter(|&&at| at > start);
        RetryCounts {
            arrivals: recent_arrivals.count() as f64,
            retries: self.retries.sum_after(start.next_down()),
        }
    }
}

/// Numbers of arrivals and retries within the window of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryCounts {
    /// Number of queries that arrived after the start of the window.
    pub(crate) arrivals: f64,
    /// Number of retries at the start of the window or after it.
    pub(crate) retries: f64,
}
