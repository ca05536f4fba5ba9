//! Administrative drains: engines that operators drain, whatever the endpoint list says.

use crate::decision::model::{EngineEntry, EngineState, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// What operators have said of engines, as an overlay on the endpoint list.
#[derive(Debug, Default)]
pub(super) struct AdministrativeDrains {
    drained: BTreeSet<String>,
    /// When operators ended an engine's drain: they have restarted its process by then.
    undrained_at: BTreeMap<String, Millis>,
}

impl AdministrativeDrains {
    /// The engines that are drained.
    pub(super) fn drained(&self) -> &BTreeSet<String> {
        &self.drained
    }

    /// This engine is drained.
    pub(super) fn is_drained(&self, engine: &str) -> bool {
        self.drained.contains(engine)
    }

    /// Drains an engine; false if it was drained before.
    pub(super) fn drain(&mut self, engine: &str) -> bool {
        self.undrained_at.remove(engine);
        self.drained.insert(engine.to_string())
    }

    /// Ends an engine's drain; false if it was not drained.
    pub(super) fn undrain(&mut self, engine: &str) -> bool {
        self.drained.remove(engine)
    }

    /// The engine's process counts as started at `now`, whatever the endpoint list says.
    pub(super) fn record_restart(&mut self, now: Millis, engine: &str) {
        self.undrained_at.insert(engine.to_string(), now);
    }

    /// Forgets the restarts of engines that are not listed any more.
    pub(super) fn retain_restarts(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.undrained_at.retain(|engine, _| is_listed(engine));
    }

    /// The entry with the overlay applied: a ready engine that is drained counts as draining, and one whose drain
    /// was ended as restarted since. Discovery may report that restart late or never, and what was learned of the
    /// old process is void.
    pub(super) fn apply_to(&self, mut entry: EngineEntry) -> EngineEntry {
        if self.is_drained(&entry.engine) && entry.state == EngineState::Ready {
            entry.state = EngineState::Draining;
        }
        let undrained_at = self.undrained_at.get(&entry.engine).copied();
        entry.started = entry
            .started
            .into_iter()
            .chain(undrained_at)
            .reduce(f64::max);
        entry
    }
}

#[cfg(test)]
mod tests;
