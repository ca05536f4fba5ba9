//! The engines that discovery lists, under the operators' administrative drains.

use crate::core::administrative_drain::AdministrativeDrains;
use crate::decision::model::{EngineEntry, EngineState, ListUpdate, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// The endpoint list as discovery reported it last, and the administrative drains.
#[derive(Debug, Default)]
pub(super) struct EndpointList {
    /// As listed, without the overlay. Engines that are gone are not kept: new ids come all the time.
    entries: BTreeMap<String, EngineEntry>,
    drains: AdministrativeDrains,
    is_received: bool,
}

impl EndpointList {
    /// A list has been received.
    pub(super) fn is_received(&self) -> bool {
        self.is_received
    }

    /// The ids of the listed engines.
    pub(super) fn engines(&self) -> impl Iterator<Item = &str> {
        self.entries.keys().map(String::as_str)
    }

    /// Listed engines.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Applies an update from discovery. Returns its entries with the administrative drains applied.
    pub(super) fn update(
        &mut self,
        update: ListUpdate,
        entries: Vec<EngineEntry>,
    ) -> Vec<EngineEntry> {
        if update != ListUpdate::Patch {
            self.entries.clear();
        }
        let effective = entries
            .iter()
            .map(|entry| self.drains.apply_to(entry.clone()))
            .collect();
        for entry in entries {
            match entry.state {
                EngineState::Gone => self.entries.remove(&entry.engine),
                _ => self.entries.insert(entry.engine.clone(), entry),
            };
        }
        self.drains
            .retain_restarts(|engine| self.entries.contains_key(engine));
        self.is_received = true;
        effective
    }

    /// An engine's listed start was at this time at the latest.
    pub(super) fn learn_start(&mut self, engine: &str, latest: Millis) {
        let entry = self.entries.get_mut(engine);
        if let Some(started) = entry.and_then(|entry| entry.started.as_mut()) {
            *started = started.min(latest);
        }
    }

    /// The engine is listed.
    pub(super) fn is_listed(&self, engine: &str) -> bool {
        self.entries.contains_key(engine)
    }

    /// The engine's entry with the administrative drains applied, if it is listed.
    pub(super) fn effective_entry(&self, engine: &str) -> Option<EngineEntry> {
        let entry = self.entries.get(engine)?;
        Some(self.drains.apply_to(entry.clone()))
    }

    /// New work may be sent to the engine.
    pub(super) fn is_in_service(&self, engine: &str) -> bool {
        let is_listed_ready = self
            .entries
            .get(engine)
            .is_some_and(|entry| entry.state == EngineState::Ready);
        is_listed_ready && !self.drains.is_drained(engine)
    }

    /// The engine is listed, or was when operators drained it.
    pub(super) fn is_known(&self, engine: &str) -> bool {
        self.entries.contains_key(engine) || self.drains.is_drained(engine)
    }

    /// The engine's process has been restarted since this moment, as far as discovery knows.
    pub(super) fn is_restarted_since(&self, engine: &str, moment: Millis) -> bool {
        self.entries
            .get(engine)
            .and_then(|entry| entry.started)
            .is_some_and(|started| moment < started)
    }

    /// The engines that are administratively drained.
    pub(super) fn drained(&self) -> &BTreeSet<String> {
        self.drains.drained()
    }

    /// Drains an engine; false if it was drained before.
    pub(super) fn drain(&mut self, engine: &str) -> bool {
        self.drains.drain(engine)
    }

    /// Ends an engine's drain; false if it was not drained.
    pub(super) fn undrain(&mut self, now: Millis, engine: &str) -> bool {
        let was_drained = self.drains.undrain(engine);
        if was_drained && self.entries.contains_key(engine) {
            self.drains.record_restart(now, engine);
        }
        was_drained
    }
}
