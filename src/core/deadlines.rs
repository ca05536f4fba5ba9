//! A queue of the deadlines of requests and attempts.

use crate::core::command::RequestId;
use crate::decision::model::Millis;
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// A totally ordered time in milliseconds on the process clock: never negative, possibly infinite.
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

/// Deadlines of requests and of their attempts, ordered by time and then by request id. A request may have
/// several deadlines; equal ones are stored once.
#[derive(Debug, Default)]
pub(super) struct DeadlineQueue(BTreeSet<(Deadline, RequestId)>);

impl DeadlineQueue {
    /// Adds a deadline of a request.
    pub(super) fn insert(&mut self, at: Millis, request: RequestId) {
        self.0.insert((Deadline::new(at), request));
    }

    /// Removes a deadline of a request, if it is queued.
    pub(super) fn remove(&mut self, at: Millis, request: RequestId) {
        self.0.remove(&(Deadline::new(at), request));
    }

    /// Returns the earliest deadline.
    pub(super) fn earliest(&self) -> Option<Millis> {
        self.0.first().map(|(deadline, _)| deadline.0)
    }

    /// Removes the earliest deadline if it has passed, and returns the id of its request.
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
