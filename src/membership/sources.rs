//! The sources: registries that have answered or failed, and which of them count.

use crate::decision::model::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Sources at a time; the one that answered least recently is dropped for a new one.
pub const MAX_SOURCES: usize = 16;

/// A source, as a number that is never used again.
pub type SourceId = u32;

/// A source as operators see it.
#[derive(Clone, Debug)]
pub struct Source {
    /// Its number.
    pub id: SourceId,
    /// Its name: a registry's address.
    pub name: String,
    /// When its last answer arrived; none also for one that the configuration no longer names.
    pub last_answered_at: Option<Millis>,
    /// Its last exchange that gave nothing usable.
    pub last_failure: Option<SourceFailure>,
    /// Exchanges that gave nothing usable.
    pub failures: u64,
    /// Full lists that it sent.
    pub full_lists: u64,
    /// Deltas that it sent.
    pub deltas: u64,
    /// Instances in its last full list.
    pub listed: usize,
    /// The number of its last full list: see [`crate::membership::SourceRecord::generation`].
    pub(super) generation: u64,
    /// When the answer that counts was requested.
    pub(super) last_requested_at: Millis,
}

/// An exchange with a source that gave nothing usable.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceFailure {
    /// When it failed.
    pub at: Millis,
    /// What went wrong.
    pub problem: String,
}

impl Source {
    fn new(id: SourceId, name: &str) -> Self {
        Source {
            id,
            name: name.to_string(),
            last_answered_at: None,
            last_failure: None,
            failures: 0,
            full_lists: 0,
            deltas: 0,
            listed: 0,
            generation: 0,
            last_requested_at: f64::MIN,
        }
    }

    /// Whether its last answer is recent enough for its records to count.
    pub(super) fn is_answering(&self, now: Millis, unreachable_after: Millis) -> bool {
        self.last_answered_at
            .is_some_and(|at| now < at + unreachable_after)
    }
}

/// A source that was looked up by name, and the one that was dropped for it.
pub(super) struct Registered {
    pub(super) id: SourceId,
    pub(super) dropped: Option<SourceId>,
}

/// All sources, and those whose records count.
#[derive(Debug)]
pub(super) struct SourceTable {
    sources: BTreeMap<SourceId, Source>,
    next_id: SourceId,
    /// The sources whose records counted when all instances were last reevaluated.
    counted: BTreeSet<SourceId>,
}

impl SourceTable {
    pub(super) fn new() -> Self {
        SourceTable {
            sources: BTreeMap::new(),
            next_id: 1,
            counted: BTreeSet::new(),
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Source> {
        self.sources.values()
    }

    pub(super) fn get_mut(&mut self, id: SourceId) -> Option<&mut Source> {
        self.sources.get_mut(&id)
    }

    pub(super) fn name(&self, id: SourceId) -> Option<&str> {
        self.sources.get(&id).map(|source| source.name.as_str())
    }

    /// The source of this name, which is added if it is new.
    pub(super) fn register(&mut self, name: &str) -> Registered {
        if let Some(known) = self.iter().find(|source| source.name == name) {
            return Registered {
                id: known.id,
                dropped: None,
            };
        }
        let dropped = if self.sources.len() >= MAX_SOURCES {
            self.drop_least_recent()
        } else {
            None
        };
        let id = self.next_id;
        self.next_id += 1;
        self.sources.insert(id, Source::new(id, name));
        Registered { id, dropped }
    }

    fn drop_least_recent(&mut self) -> Option<SourceId> {
        let answered = |source: &Source| source.last_answered_at.unwrap_or(0.0);
        let least_recent = self
            .iter()
            .min_by(|one, other| answered(one).total_cmp(&answered(other)))
            .map(|source| source.id)?;
        self.sources.remove(&least_recent);
        Some(least_recent)
    }

    /// Sources that the configuration no longer names count as unreachable: their last lists stay in force until
    /// another source answers.
    pub(super) fn retire_unnamed(&mut self, names: &[String]) {
        for source in self.sources.values_mut() {
            if !names.contains(&source.name) {
                source.last_answered_at = None;
            }
        }
    }

    pub(super) fn any_answering(&self, now: Millis, unreachable_after: Millis) -> bool {
        self.iter()
            .any(|source| source.is_answering(now, unreachable_after))
    }

    /// The sources whose records count: those that answer. While none does, those that last did go on counting: the
    /// last lists stay in force.
    fn counting(&self, now: Millis, unreachable_after: Millis) -> BTreeSet<SourceId> {
        let answering: BTreeSet<SourceId> = self
            .iter()
            .filter(|source| source.is_answering(now, unreachable_after))
            .map(|source| source.id)
            .collect();
        if answering.is_empty() {
            self.counted.clone()
        } else {
            answering
        }
    }

    /// Another set of sources counts by now, so that every instance may resolve to another state.
    pub(super) fn counted_changed(&self, now: Millis, unreachable_after: Millis) -> bool {
        self.counting(now, unreachable_after) != self.counted
    }

    pub(super) fn update_counted(&mut self, now: Millis, unreachable_after: Millis) {
        self.counted = self.counting(now, unreachable_after);
    }

    /// No source has answered yet.
    pub(super) fn none_counted(&self) -> bool {
        self.counted.is_empty()
    }

    /// Whether a source's records count. While no source has answered all do.
    pub(super) fn counts(&self, id: SourceId) -> bool {
        self.counted.is_empty() || self.counted.contains(&id)
    }

    /// When the next source becomes unreachable, if it does not answer before.
    pub(super) fn next_unreachable_at(
        &self,
        now: Millis,
        unreachable_after: Millis,
    ) -> Option<Millis> {
        self.iter()
            .filter_map(|source| source.last_answered_at)
            .map(|at| at + unreachable_after)
            .filter(|at| *at > now)
            .reduce(f64::min)
    }
}
