//! Storage of all instances by id, with indexes of their deadlines and of the tombstones of removed
//! instances.

use crate::decision::model::{EngineState, Millis};
use crate::membership::Member;
use crate::membership::time_index::{TimeIndex, TimeKey};
use std::collections::BTreeMap;

/// All listed instances, and the tombstones of recently removed ones.
#[derive(Debug, Default)]
pub(super) struct InstanceStore {
    members: BTreeMap<String, Member>,
    /// When the states of instances change without a further report.
    deadlines: TimeIndex,
    /// Removed instances, ordered by the time of their removal.
    tombstones: TimeIndex,
}

impl InstanceStore {
    pub(super) fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    pub(super) fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Member> {
        self.members.get_mut(id)
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&String, &mut Member)> {
        self.members.iter_mut()
    }

    pub(super) fn contains(&self, id: &str) -> bool {
        self.members.contains_key(id)
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = &String> {
        self.members.keys()
    }

    /// Returns the instance with this id; adds it if it is new.
    pub(super) fn get_or_add(&mut self, now: Millis, id: &str) -> &mut Member {
        self.members
            .entry(id.to_string())
            .or_insert_with(|| Member::new(now))
    }

    /// Returns the number of instances that are not tombstones.
    pub(super) fn live_count(&self) -> usize {
        self.members.len() - self.tombstones.len()
    }

    pub(super) fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Returns the earliest time at which a state changes without a further report.
    pub(super) fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.first().map(TimeKey::at)
    }

    /// Removes the deadlines that are due at `now` and returns the ids of their instances.
    pub(super) fn pop_due(&mut self, now: Millis) -> Vec<String> {
        let now = TimeKey::new(now);
        let mut due = vec![];
        while let Some(id) = self.deadlines.pop_due(now) {
            if let Some(member) = self.members.get_mut(&id) {
                member.deadline = None;
            }
            due.push(id);
        }
        due
    }

    /// Updates the indexes of deadlines and tombstones from the state of an instance.
    pub(super) fn update_indexes(&mut self, now: Millis, id: &str) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        let deadline = member.next_change_at().map(TimeKey::new);
        self.deadlines.replace(id, member.deadline, deadline);
        member.deadline = deadline;
        let removed = member.state() == EngineState::Gone;
        let removed_at = removed.then(|| member.removed_at.unwrap_or_else(|| TimeKey::new(now)));
        self.tombstones.replace(id, member.removed_at, removed_at);
        member.removed_at = removed_at;
    }

    /// Drops tombstones that are older than `ttl` (in milliseconds), and the oldest beyond `max_tombstones`.
    pub(super) fn expire_tombstones(&mut self, now: Millis, ttl: Millis, max_tombstones: usize) {
        while let Some(removed_at) = self.tombstones.first() {
            let expired = removed_at.at() + ttl <= now;
            if !expired && self.tombstones.len() <= max_tombstones {
                break;
            }
            let Some(id) = self.tombstones.pop_first() else {
                break;
            };
            if let Some(member) = self.members.remove(&id) {
                self.deadlines.replace(&id, member.deadline, None);
            }
        }
    }
}
