//! Recent arrivals and retries, for the retry budget.

use super::statistics::SlidingWindowSum;
use super::{Millis, RetryBudget};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Maximum number of arrivals that are counted. With more, the budget allows fewer retries than it could.
const MAX_ARRIVALS: usize = 65_536;

/// Arrivals and retries within the window of a retry budget.
#[derive(Debug, Default)]
pub(crate) struct RetryUsage {
    /// Times of arrivals, in their order.
    arrivals: VecDeque<Millis>,
    retries: SlidingWindowSum,
}

impl RetryUsage {
    /// Records a query that has arrived, and discards arrivals older than the window. Without a budget nothing is
    /// counted.
    pub(crate) fn record_arrival(&mut self, now: Millis, budget: Option<RetryBudget>) {
        let Some(budget) = budget else {
            return;
        };
        self.arrivals.push_back(now);
        self.discard_arrivals_before(now - budget.window);
        if self.arrivals.len() > MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
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
        self.discard_arrivals_before(now - window);
    }

    fn discard_arrivals_before(&mut self, start: Millis) {
        while self.arrivals.front().is_some_and(|at| *at < start) {
            self.arrivals.pop_front();
        }
    }

    /// Counts the arrivals and retries within the window of a budget.
    pub(crate) fn count(&self, now: Millis, budget: RetryBudget) -> RetryCounts {
        let start = now - budget.window;
        let old_arrivals = self.arrivals.partition_point(|at| *at <= start);
        RetryCounts {
            arrivals: (self.arrivals.len() - old_arrivals) as f64,
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
