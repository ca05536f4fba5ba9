//! Eviction: which spools may be evicted to free capacity, and in which order.

use super::commands::SpoolCommand;
use super::index::{SpoolEntry, SpoolId, SpoolIndex};
use std::cmp::Ordering;

/// Orders spools by eviction priority: those read to the end first, then those not protected, then the least
/// recently used.
fn eviction_order(left: &SpoolEntry, right: &SpoolEntry) -> Ordering {
    right
        .read_to_end
        .cmp(&left.read_to_end)
        .then(left.protected.cmp(&right.protected))
        .then(left.last_used_at.total_cmp(&right.last_used_at))
}

impl SpoolIndex {
    /// Returns the spools that may be evicted for a result: complete, without readers, and not protected
    /// unless the result is.
    pub(super) fn evictable_for(
        &self,
        protected: bool,
    ) -> impl Iterator<Item = (&SpoolId, &SpoolEntry)> {
        self.entries
            .iter()
            .filter(move |(_, entry)| entry.is_idle() && (protected || !entry.protected))
    }

    /// Returns the next spool to evict for a result, among those that pass `filter`.
    pub(super) fn eviction_candidate(
        &self,
        protected: bool,
        filter: impl Fn(&SpoolEntry) -> bool,
    ) -> Option<SpoolId> {
        self.evictable_for(protected)
            .filter(|(_, entry)| filter(entry))
            .min_by(|(_, left), (_, right)| eviction_order(left, right))
            .map(|(id, _)| *id)
    }

    pub(super) fn evict(&mut self, id: SpoolId, commands: &mut Vec<SpoolCommand>) {
        self.remove(id);
        self.counters.evicted += 1;
        commands.push(SpoolCommand::Evict(id));
    }
}
