//! Expiry of results without readers.

use super::index::{SpoolId, SpoolIndex};
use crate::decision::model::Millis;

/// Times of completion and expiry of a result.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpoolLifetime {
    /// Time when the last page was added.
    pub completed_at: Millis,
    /// Time when the result expires. `None` while it has readers.
    pub expires_at: Option<Millis>,
}

impl SpoolIndex {
    /// Removes the results whose retention time has elapsed, and returns their ids.
    pub fn expire(&mut self, now: Millis) -> Vec<SpoolId> {
        let retention = self.limits.retention;
        let expired: Vec<SpoolId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_idle() && entry.last_used_at + retention <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.remove(*id);
            self.counters.expired += 1;
        }
        expired
    }

    /// Returns the time when the next result expires if it gets no reader.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.entries
            .values()
            .filter(|entry| entry.is_idle())
            .map(|entry| entry.last_used_at + self.limits.retention)
            .reduce(f64::min)
    }

    /// Returns the lifetime of a complete result, or `None` if no complete result has this id.
    pub fn lifetime(&self, id: SpoolId) -> Option<SpoolLifetime> {
        let entry = self.entries.get(&id)?;
        let expires_at = entry.last_used_at + self.limits.retention;
        Some(SpoolLifetime {
            completed_at: entry.completed_at?,
            expires_at: (entry.readers == 0).then_some(expires_at),
        })
    }
}
