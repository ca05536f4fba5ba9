//! Aggregates over the whole endpoint list, updated incrementally: a change of one engine does not
//! cause a pass over all of them.

use super::Millis;
use super::endpoint::Engine;
use super::endpoint_list::EngineIndex;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Number of occurrences of each value.
#[derive(Debug)]
struct Counts<T>(BTreeMap<T, usize>);

impl<T> Default for Counts<T> {
    fn default() -> Self {
        Counts(BTreeMap::new())
    }
}

impl<T: Ord> Counts<T> {
    fn add(&mut self, value: T) {
        *self.0.entry(value).or_default() += 1;
    }

    fn remove(&mut self, value: &T) {
        if let Some(count) = self.0.get_mut(value) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(value);
            }
        }
    }
}

/// Aggregates over all engines and over those in service.
#[derive(Debug)]
pub(super) struct EndpointSummary {
    /// Engines in service, in ascending order of their indices.
    ready: Vec<EngineIndex>,
    ready_zones: Counts<Option<usize>>,
    zones: Counts<Option<usize>>,
    /// Bit patterns of the thread budgets of the engines in service. There are few distinct values,
    /// because a budget depends only on the engine's kind.
    thread_budgets: Counts<u64>,
    /// Upper bound on the start time of the engines in service, ms.
    latest_start: Millis,
}

impl EndpointSummary {
    /// Computes the summary of these engines.
    pub(super) fn new(engines: &[Engine]) -> Self {
        let mut summary = EndpointSummary {
            ready: vec![],
            ready_zones: Counts::default(),
            zones: Counts::default(),
            thread_budgets: Counts::default(),
            latest_start: f64::MIN,
        };
        for (index, engine) in engines.iter().enumerate() {
            summary.add(index, engine);
        }
        summary
    }

    /// Adds an engine that is not in the summary.
    pub(super) fn add(&mut self, index: EngineIndex, engine: &Engine) {
        self.zones.add(engine.zone);
        if !engine.is_ready() {
            return;
        }
        if let Err(position) = self.ready.binary_search(&index) {
            self.ready.insert(position, index);
        }
        self.ready_zones.add(engine.zone);
        self.thread_budgets.add(engine.thread_budget.to_bits());
        self.latest_start = self.latest_start.max(engine.started.unwrap_or(f64::MIN));
    }

    /// Removes an engine that is in the summary. Its state must be the same as when it was added.
    pub(super) fn remove(&mut self, index: EngineIndex, engine: &Engine) {
        self.zones.remove(&engine.zone);
        if !engine.is_ready() {
            return;
        }
        if let Ok(position) = self.ready.binary_search(&index) {
            self.ready.remove(position);
        }
        self.ready_zones.remove(&engine.zone);
        self.thread_budgets.remove(&engine.thread_budget.to_bits());
    }

    /// Returns the indices of the engines in service, in ascending order.
    pub(super) fn ready(&self) -> &[EngineIndex] {
        &self.ready
    }

    /// Returns the zones in which an engine is in service.
    pub(super) fn ready_zones(&self) -> impl Iterator<Item = Option<usize>> {
        self.ready_zones.0.keys().copied()
    }

    /// Returns the number of zones in which an engine is or was listed.
    pub(super) fn zone_count(&self) -> usize {
        self.zones.0.len()
    }

    /// Returns this dispatcher's share of the threads that all engines in service sustain.
    pub(super) fn thread_budget(&self) -> f64 {
        let budgets = self.thread_budgets.0.iter();
        budgets
            .map(|(bits, count)| f64::from_bits(*bits) * *count as f64)
            .sum()
    }

    /// Returns an upper bound on the start time of the engines in service, ms.
    pub(super) fn latest_start(&self) -> Millis {
        self.latest_start
    }
}

/// The engines in service in one dispatcher's order of preference: those of its own zone first,
/// then by rank.
#[derive(Debug)]
pub(super) struct PreferenceOrder {
    zone: Option<usize>,
    salt: u64,
    order: Vec<EngineIndex>,
}

/// Sort key of an engine: whether it is in another zone, its rank and its index.
type SortKey = (bool, u64, EngineIndex);

impl PreferenceOrder {
    /// Computes the order of a dispatcher of this zone and salt.
    pub(super) fn new(
        zone: Option<usize>,
        salt: u64,
        ready: &[EngineIndex],
        engines: &[Engine],
    ) -> Self {
        let mut order = ready.to_vec();
        order.sort_by_cached_key(|&index| sort_key(zone, salt, index, &engines[index]));
        PreferenceOrder { zone, salt, order }
    }

    /// Returns the engines, the most preferred first.
    pub(super) fn as_slice(&self) -> &[EngineIndex] {
        &self.order
    }

    /// Adds an engine in service that is not in the order.
    pub(super) fn add(&mut self, index: EngineIndex, engines: &[Engine]) {
        if let Err(position) = self.find(index, engines) {
            self.order.insert(position, index);
        }
    }

    /// Removes an engine. Its sort key must be the same as when it was added.
    pub(super) fn remove(&mut self, index: EngineIndex, engines: &[Engine]) {
        if let Ok(position) = self.find(index, engines) {
            self.order.remove(position);
        }
    }

    fn find(&self, index: EngineIndex, engines: &[Engine]) -> Result<usize, usize> {
        let sort_key = |index: EngineIndex| sort_key(self.zone, self.salt, index, &engines[index]);
        let target = sort_key(index);
        self.order
            .binary_search_by(|&other| sort_key(other).cmp(&target))
    }
}

fn sort_key(zone: Option<usize>, salt: u64, index: EngineIndex, engine: &Engine) -> SortKey {
    (engine.zone != zone, engine.rank(salt), index)
}
