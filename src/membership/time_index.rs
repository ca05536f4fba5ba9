//! Instance ids ordered by a time.

use crate::decision::model::Millis;
use std::collections::BTreeSet;

/// A time that can be ordered and compared exactly; times before the Unix epoch count as the epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimeKey(u64);

impl TimeKey {
    pub(super) fn new(at: Millis) -> Self {
        // The bits of floats that are not negative order as the floats do.
        TimeKey(at.max(0.0).to_bits())
    }

    pub(super) fn at(self) -> Millis {
        f64::from_bits(self.0)
    }
}

/// Instance ids, each at most once, ordered by a time that the instance's entry holds as well.
#[derive(Debug, Default)]
pub(super) struct TimeIndex {
    entries: BTreeSet<(TimeKey, String)>,
}

impl TimeIndex {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The earliest time.
    pub(super) fn first(&self) -> Option<TimeKey> {
        self.entries.first().map(|(at, _)| *at)
    }

    /// Removes the earliest entry.
    pub(super) fn pop_first(&mut self) -> Option<String> {
        self.entries.pop_first().map(|(_, id)| id)
    }

    /// Removes the earliest entry if it is not later than `now`.
    pub(super) fn pop_due(&mut self, now: TimeKey) -> Option<String> {
        let due = self.first().is_some_and(|at| at <= now);
        if due { self.pop_first() } else { None }
    }

    /// Moves an instance from its former time to another; none: it is not in the index.
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
