//! The engines that discovery lists, with the operators' administrative drains.

use crate::core::administrative_drain::AdministrativeDrains;
use crate::decision::model::{EngineEntry, EngineState, ListUpdate, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// The endpoint list last reported by discovery, and the administrative drains.
#[derive(Debug, Default)]
pub(super) struct EndpointList {
    /// Listed entries by engine id, without the drain overlay. Engines that are gone are removed: new ids
    /// keep appearing, so the map would grow without bound.
    entries: BTreeMap<String, EngineEntry>,
    drains: AdministrativeDrains,
    is_received: bool,
}

impl EndpointList {
    /// Returns whether an endpoint list has been received.
    pub(super) fn is_received(&self) -> bool {
        self.is_received
    }

    /// Returns the ids of the listed engines.
    pub(super) fn engines(&self) -> impl Iterator<Item = &str> {
        self.entries.keys().map(String::as_str)
    }

    /// Returns the number of listed engines.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Applies an update from discovery. Returns the updated entries with the administrative drains applied.
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

    /// Lowers an engine's listed start time to `latest` if it is later.
    pub(super) fn learn_start(&mut self, engine: &str, latest: Millis) {
        let entry = self.entries.get_mut(engine);
        if let Some(started) = entry.and_then(|entry| entry.started.as_mut()) {
            *started = started.min(latest);
        }
    }

    /// Returns whether the engine is listed.
    pub(super) fn is_listed(&self, engine: &str) -> bool {
        self.entries.contains_key(engine)
    }

    /// Returns the engine's entry with the administrative drains applied, if the engine is listed.
    pub(super) fn effective_entry(&self, engine: &str) -> Option<EngineEntry> {
        let entry = self.entries.get(engine)?;
        Some(self.drains.apply_to(entry.clone()))
    }

    /// Returns whether new work may be sent to the engine.
    pub(super) fn is_in_service(&self, engine: &str) -> bool {
        let is_listed_ready = self
            .entries
            .get(engine)
            .is_some_and(|entry| entry.state == EngineState::Ready);
        is_listed_ready && !self.drains.is_drained(engine)
    }

    /// Returns whether the engine is listed or administratively drained.
    pub(super) fn is_known(&self, engine: &str) -> bool {
        self.entries.contains_key(engine) || self.drains.is_drained(engine)
    }

    /// Returns whether discovery reports that the engine's process has started after `time`.
    pub(super) fn is_restarted_since(&self, engine: &str, time: Millis) -> bool {
        self.entries
            .get(engine)
            .and_then(|entry| entry.started)
            .is_some_and(|started| time < started)
    }

    /// Returns the ids of the administratively drained engines.
    pub(super) fn drained(&self) -> &BTreeSet<String> {
        self.drains.drained()
    }

    /// Drains an engine. Returns false if it was already drained.
    pub(super) fn drain(&mut self, engine: &str) -> bool {
        self.drains.drain(engine)
    }

    /// Ends an engine's drain. Returns false if it was not drained.
    pub(super) fn undrain(&mut self, now: Millis, engine: &str) -> bool {
        let was_drained = self.drains.undrain(engine);
        if was_drained && self.entries.contains_key(engine) {
            self.drains.record_restart(now, engine);
        }
        was_drained
    }
}
