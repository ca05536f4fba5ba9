//! Index of instance ids by time.

use crate::decision::model::Millis;
use std::collections::BTreeSet;

/// A time as a totally ordered key; times before the Unix epoch are clamped to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimeKey(u64);

impl TimeKey {
    pub(super) fn new(at: Millis) -> Self {
        // The bit patterns of non-negative floats have the same order as the floats.
        TimeKey(at.max(0.0).to_bits())
    }

    pub(super) fn at(self) -> Millis {
        f64::from_bits(self.0)
    }
}

/// Instance ids ordered by a time, each at most once. The caller keeps the time of each id, to find its entry
/// by it.
#[derive(Debug, Default)]
pub(super) struct TimeIndex {
    entries: BTreeSet<(TimeKey, String)>,
}

impl TimeIndex {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the earliest time.
    pub(super) fn first(&self) -> Option<TimeKey> {
        self.entries.first().map(|(at, _)| *at)
    }

    /// Removes the earliest entry and returns its id.
    pub(super) fn pop_first(&mut self) -> Option<String> {
        self.entries.pop_first().map(|(_, id)| id)
    }

    /// Removes the earliest entry and returns its id, if the entry is not later than `now`.
    pub(super) fn pop_due(&mut self, now: TimeKey) -> Option<String> {
        let due = self.first().is_some_and(|at| at <= now);
        if due { self.pop_first() } else { None }
    }

    /// Moves an instance from its former time to the next; `None` stands for no entry in the index.
    pub(super) fn replace(&mut self, id: &str, former: Option<TimeKey>, next: Option<TimeKey>) {
        if former == next {
            return;
        }
        if let Some(at) = former {
            self.entries.remove(&(at, id.to_string()));
        }
        if let Some(at) = next {
            self.entries.insert((at, id.to_string()));
        }
    }
}
