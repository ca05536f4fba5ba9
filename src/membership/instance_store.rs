//! All instances by id, the times at which their states change by themselves, and the tombstones of removed ones.

use crate::decision::model::{EngineState, Millis};
use crate::membership::Member;
use crate::membership::time_index::{TimeIndex, TimeKey};
use std::collections::BTreeMap;

/// All instances that are listed, and those that were until lately.
#[derive(Debug, Default)]
pub(super) struct InstanceStore {
    members: BTreeMap<String, Member>,
    /// When an instance's state changes by itself.
    deadlines: TimeIndex,
    /// Removed instances, by when they were removed.
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

    /// The instance of this id, which is added if it is new.
    pub(super) fn get_or_add(&mut self, now: Millis, id: &str) -> &mut Member {
        self.members
            .entry(id.to_string())
            .or_insert_with(|| Member::new(now))
    }

    /// Instances that are no tombstones.
    pub(super) fn live_count(&self) -> usize {
        self.members.len() - self.tombstones.len()
    }

    pub(super) fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// When the first state changes by itself.
    pub(super) fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.first().map(TimeKey::at)
    }

    /// Takes the instances out whose states change by now.
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

    /// Brings the time indexes up to date with an instance's state.
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

    /// Drops tombstones that are older than `ttl` milliseconds, and the oldest beyond `max_tombstones`.
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
