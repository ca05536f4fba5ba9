//! The queue of moments at which requests need attention.

use crate::core::command::RequestId;
use crate::decision::model::Millis;
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// A moment that can be ordered: finite or infinite, never negative.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Deadline(Millis);

impl Deadline {
    fn new(at: Millis) -> Self {
        Deadline(if at > 0.0 { at } else { 0.0 })
    }
}

impl Eq for Deadline {}

impl Ord for Deadline {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Deadline {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Deadlines of requests and of their attempts, earliest first; those of one moment in the order of request ids. A
/// request may have several deadlines; equal ones count once.
#[derive(Debug, Default)]
pub(super) struct DeadlineQueue(BTreeSet<(Deadline, RequestId)>);

impl DeadlineQueue {
    /// Adds a deadline of this request.
    pub(super) fn insert(&mut self, at: Millis, request: RequestId) {
        self.0.insert((Deadline::new(at), request));
    }

    /// Removes a deadline of this request, if it is queued.
    pub(super) fn remove(&mut self, at: Millis, request: RequestId) {
        self.0.remove(&(Deadline::new(at), request));
    }

    /// The earliest deadline.
    pub(super) fn next(&self) -> Option<Millis> {
        self.0.first().map(|(deadline, _)| deadline.0)
    }

    /// Removes the earliest deadline if it has passed, and returns its request.
    pub(super) fn pop_due(&mut self, now: Millis) -> Option<RequestId> {
        let (deadline, _) = self.0.first()?;
        if *deadline > Deadline::new(now) {
            return None;
        }
        self.0.pop_first().map(|(_, request)| request)
    }
}

#[cfg(test)]
mod tests;
