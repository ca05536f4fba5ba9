//! The engines that are known, by index and by name, as the engine list gives them.

use super::endpoint::Engine;
use super::in_flight_attempt::InFlightAttempt;
use super::request::Probes;
use super::{EngineEntry, EngineState, ListUpdate, Millis, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut, Range};

#[cfg(test)]
mod tests;

/// Position of an engine in the [`EndpointList`]: it stays while a request refers to it.
pub(crate) type EngineIndex = usize;

/// The engines that are known.
#[derive(Debug, Default)]
pub(crate) struct EndpointList {
    engines: Vec<Engine>,
    by_name: BTreeMap<String, EngineIndex>,
    last_response: Option<Millis>,
}

impl EndpointList {
    /// Applies an update of the engine list.
    ///
    /// New ids come all day: the index of an engine that is gone and to which nothing refers is
    /// used again.
    pub(crate) fn apply(
        &mut self,
        update: ListUpdate,
        entries: Vec<EngineEntry>,
        settings: &Settings,
        is_referenced: impl Fn(EngineIndex) -> bool,
    ) {
        if update != ListUpdate::Patch {
            for engine in &mut self.engines {
                engine.state = EngineState::Gone;
            }
        }
        // Known ones first: an index is reused only if its engine is not in this list.
        let is_known = |entry: &EngineEntry| self.by_name.contains_key(&entry.engine);
        let (known, new): (Vec<_>, Vec<_>) = entries.into_iter().partition(is_known);
        for entry in known.into_iter().chain(new) {
            match self.find(&entry.engine) {
                Some(index) => self.update(index, &entry, settings),
                None => self.insert(&entry, settings, &is_referenced),
            }
        }
    }

    fn update(&mut self, index: EngineIndex, entry: &EngineEntry, settings: &Settings) {
        let engine = &mut self.engines[index];
        if entry.started.is_some() && entry.started != engine.started {
            engine.restart(entry, settings);
        } else {
            engine.update(entry, settings);
        }
    }

    fn insert(
        &mut self,
        entry: &EngineEntry,
        settings: &Settings,
        is_referenced: &impl Fn(EngineIndex) -> bool,
    ) {
        let engine = Engine::new(entry, settings);
        let is_unused = |&index: &EngineIndex| {
            self.engines[index].state == EngineState::Gone && !is_referenced(index)
        };
        let index = self.indices().find(is_unused).unwrap_or(self.engines.len());
        self.by_name.insert(entry.engine.clone(), index);
        if index == self.engines.len() {
            self.engines.push(engine);
        } else {
            let replaced = std::mem::replace(&mut self.engines[index], engine);
            self.by_name.remove(&replaced.name);
        }
    }

    /// The engine of this id.
    pub(crate) fn find(&self, name: &str) -> Option<EngineIndex> {
        self.by_name.get(name).copied()
    }

    /// Names that are remembered.
    #[cfg(test)]
    pub(crate) fn name_count(&self) -> usize {
        self.by_name.len()
    }

    /// The indices of all engines.
    pub(crate) fn indices(&self) -> Range<EngineIndex> {
        0..self.engines.len()
    }

    /// All engines, those that are gone included.
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, Engine> {
        self.engines.iter()
    }

    /// All engines, to be changed.
    pub(crate) fn iter_mut(&mut self) -> std::slice::IterMut<'_, Engine> {
        self.engines.iter_mut()
    }

    /// The engines in service.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter().filter(|engine| engine.is_ready())
    }

    /// This dispatcher's part of the threads that all engines in service bear.
    pub(crate) fn thread_budget(&self) -> f64 {
        self.ready().map(|engine| engine.thread_budget).sum()
    }

    /// The median rank of the engines in service: it divides them in halves that all dispatchers
    /// know.
    pub(crate) fn median_rank(&self, salt: u64) -> u64 {
        let mut ranks: Vec<u64> = self.ready().map(|engine| engine.rank(salt)).collect();
        ranks.sort_unstable();
        ranks.get(ranks.len() / 2).copied().unwrap_or(0)
    }

    /// Records that an engine responds; after a silence longer than `pause` it is responsive anew.
    pub(crate) fn record_activity(&mut self, index: EngineIndex, now: Millis, pause: Millis) {
        self.engines[index].record_activity(now, pause);
        self.last_response = Some(now);
    }

    /// Some engine has responded after `start`.
    pub(crate) fn has_response_after(&self, start: Millis) -> bool {
        self.last_response.is_some_and(|at| at > start)
    }

    /// All candidates have sent a load report since they were probed.
    pub(crate) fn have_reported(&self, probes: &Probes) -> bool {
        let reported_at = |&index: &EngineIndex| self.engines[index].load.received_at;
        let mut reports = probes.candidates.iter().map(reported_at);
        reports.all(|reported_at| reported_at >= probes.sent_at)
    }

    /// All attempts that have not ended.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = &InFlightAttempt> {
        self.engines.iter().flat_map(|engine| &engine.in_flight)
    }

    /// Zones in which an engine is or was listed.
    pub(crate) fn zone_count(&self) -> usize {
        let zones: BTreeSet<_> = self.engines.iter().map(|engine| engine.zone).collect();
        zones.len()
    }

    /// Threads that this dispatcher's attempts use at all engines.
    pub(crate) fn threads(&self) -> f64 {
        self.engines.iter().map(Engine::threads).sum()
    }
}

impl Index<EngineIndex> for EndpointList {
    type Output = Engine;

    fn index(&self, index: EngineIndex) -> &Engine {
        &self.engines[index]
    }
}

impl IndexMut<EngineIndex> for EndpointList {
    fn index_mut(&mut self, index: EngineIndex) -> &mut Engine {
        &mut self.engines[index]
    }
}
