//! Administrative drains: engines that operators have drained, regardless of the endpoint list.

use crate::decision::model::{EngineEntry, EngineState, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// The operators' drains, as an overlay on the endpoint list.
#[derive(Debug, Default)]
pub(super) struct AdministrativeDrains {
    drained: BTreeSet<String>,
    /// Time at which operators ended an engine's drain, by engine id. The engine's process counts as
    /// restarted by then.
    undrained_at: BTreeMap<String, Millis>,
}

impl AdministrativeDrains {
    /// Returns the ids of the drained engines.
    pub(super) fn drained(&self) -> &BTreeSet<String> {
        &self.drained
    }

    /// Returns whether an engine is drained.
    pub(super) fn is_drained(&self, engine: &str) -> bool {
        self.drained.contains(engine)
    }

    /// Drains an engine. Returns false if it was already drained.
    pub(super) fn drain(&mut self, engine: &str) -> bool {
        self.undrained_at.remove(engine);
        self.drained.insert(engine.to_string())
    }

    /// Ends an engine's drain. Returns false if it was not drained.
    pub(super) fn undrain(&mut self, engine: &str) -> bool {
        self.drained.remove(engine)
    }

    /// Records that the engine's process started at `now` at the earliest, regardless of the endpoint list.
    pub(super) fn record_restart(&mut self, now: Millis, engine: &str) {
        self.undrained_at.insert(engine.to_string(), now);
    }

    /// Removes the restart times of engines that are no longer listed.
    pub(super) fn retain_restarts(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.undrained_at.retain(|engine, _| is_listed(engine));
    }

    /// Returns the entry with the overlay applied: a ready engine that is drained counts as draining, and an
    /// engine whose drain has ended counts as restarted at that time. Discovery may report that restart late
    /// or never, and the statistics of the old process must not be applied to the new one.
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
