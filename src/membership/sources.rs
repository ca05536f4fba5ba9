//! The sources: registries that have answered or failed, and which of them are effective.
//!
//! Only the records of effective sources are used: those of the sources that answer or, while none answers,
//! of those that answered last.

use crate::decision::model::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of sources; a new one beyond it evicts the one that answered least recently.
pub const MAX_SOURCES: usize = 16;

/// Id of a source; ids are not reused.
pub type SourceId = u32;

/// A source and its statistics.
#[derive(Clone, Debug)]
pub struct Source {
    /// Id of the source.
    pub id: SourceId,
    /// Name of the source: the address of the registry.
    pub name: String,
    /// When the last answer arrived, in milliseconds since the Unix epoch; also `None` if the configuration
    /// no longer names the source.
    pub last_answered_at: Option<Millis>,
    /// The last failed exchange, if any.
    pub last_failure: Option<SourceFailure>,
    /// Number of exchanges that failed or gave an unusable answer.
    pub failures: u64,
    /// Number of full lists that the source sent.
    pub full_lists: u64,
    /// Number of deltas that the source sent.
    pub deltas: u64,
    /// Number of instances in the last full list.
    pub listed: usize,
    /// Number of the last full list: see [`crate::membership::SourceRecord::generation`].
    pub(super) generation: u64,
    /// When the last accepted answer was requested, in milliseconds since the Unix epoch.
    pub(super) last_requested_at: Millis,
}

/// An exchange with a source that failed or gave an unusable answer.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceFailure {
    /// When the exchange failed, in milliseconds since the Unix epoch.
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

    /// Returns whether the last answer is recent enough for the source's records to be used.
    pub(super) fn is_answering(&self, now: Millis, unreachable_after: Millis) -> bool {
        self.last_answered_at
            .is_some_and(|at| now < at + unreachable_after)
    }
}

/// Result of registering a source by name: its id, and the id of the source that was evicted for it, if any.
pub(super) struct Registered {
    pub(super) id: SourceId,
    pub(super) dropped: Option<SourceId>,
}

/// All sources, and which of them are effective.
#[derive(Debug)]
pub(super) struct SourceTable {
    sources: BTreeMap<SourceId, Source>,
    next_id: SourceId,
    /// The sources that were effective when all instances were last reevaluated.
    effective: BTreeSet<SourceId>,
}

impl SourceTable {
    pub(super) fn new() -> Self {
        SourceTable {
            sources: BTreeMap::new(),
            next_id: 1,
            effective: BTreeSet::new(),
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

    /// Looks up the source with this name; adds it if it is new.
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

    /// Marks the sources that the configuration no longer names as unreachable: their last lists stay in
    /// force until another source answers.
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

    /// Returns the effective sources: those that answer or, while none does, those that answered last, so
    /// that their last lists stay in force.
    fn effective_at(&self, now: Millis, unreachable_after: Millis) -> BTreeSet<SourceId> {
        let answering: BTreeSet<SourceId> = self
            .iter()
            .filter(|source| source.is_answering(now, unreachable_after))
            .map(|source| source.id)
            .collect();
        if answering.is_empty() {
            self.effective.clone()
        } else {
            answering
        }
    }

    /// Returns whether the set of effective sources has changed since the last reevaluation of all instances.
    /// Every instance may then resolve to another state.
    pub(super) fn effective_changed(&self, now: Millis, unreachable_after: Millis) -> bool {
        self.effective_at(now, unreachable_after) != self.effective
    }

    pub(super) fn update_effective(&mut self, now: Millis, unreachable_after: Millis) {
        self.effective = self.effective_at(now, unreachable_after);
    }

    /// Returns whether no source is effective, that is, whether none has answered yet.
    pub(super) fn none_effective(&self) -> bool {
        self.effective.is_empty()
    }

    /// Returns whether the source is effective. All sources are while none has answered.
    pub(super) fn is_effective(&self, id: SourceId) -> bool {
        self.effective.is_empty() || self.effective.contains(&id)
    }

    /// Returns when the next source becomes unreachable unless it answers before.
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
