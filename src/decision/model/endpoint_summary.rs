//! What follows from the endpoint list as a whole. A change of one engine costs what it changes, not a walk over all.

use super::Millis;
use super::endpoint::Engine;
use super::endpoint_list::EngineIndex;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// How often each value occurs.
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

/// Figures over all engines and over those in service.
#[derive(Debug)]
pub(super) struct EndpointSummary {
    /// In service, in order.
    ready: Vec<EngineIndex>,
    ready_zones: Counts<Option<usize>>,
    zones: Counts<Option<usize>>,
    /// Thread budgets of the engines in service, as bits: few differ, for they follow from the kinds.
    thread_budgets: Counts<u64>,
    /// No engine in service has started later.
    latest_start: Millis,
}

impl EndpointSummary {
    /// The summary of these engines.
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

    /// Counts an engine that is not counted.
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

    /// Forgets an engine that is counted, as it is now.
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

    /// The indices of the engines in service, in order.
    pub(super) fn ready(&self) -> &[EngineIndex] {
        &self.ready
    }

    /// The zones in which an engine is in service.
    pub(super) fn ready_zones(&self) -> impl Iterator<Item = Option<usize>> {
        self.ready_zones.0.keys().copied()
    }

    /// Zones in which an engine is or was listed.
    pub(super) fn zone_count(&self) -> usize {
        self.zones.0.len()
    }

    /// This dispatcher's part of the threads that all engines in service bear.
    pub(super) fn thread_budget(&self) -> f64 {
        let budgets = self.thread_budgets.0.iter();
        budgets
            .map(|(bits, count)| f64::from_bits(*bits) * *count as f64)
            .sum()
    }

    /// No engine in service has started later.
    pub(super) fn latest_start(&self) -> Millis {
        self.latest_start
    }
}

/// The engines in service in the order in which one dispatcher prefers them: its zone's first, each zone's by rank.
#[derive(Debug)]
pub(super) struct OwnOrder {
    zone: Option<usize>,
    salt: u64,
    order: Vec<EngineIndex>,
}

/// What an engine's place in the order follows from.
type Place = (bool, u64, EngineIndex);

impl OwnOrder {
    /// The order of a dispatcher of this zone and salt.
    pub(super) fn new(
        zone: Option<usize>,
        salt: u64,
        ready: &[EngineIndex],
        engines: &[Engine],
    ) -> Self {
        let mut order = ready.to_vec();
        order.sort_by_cached_key(|&index| place(zone, salt, index, &engines[index]));
        OwnOrder { zone, salt, order }
    }

    /// The engines, the most preferred first.
    pub(super) fn as_slice(&self) -> &[EngineIndex] {
        &self.order
    }

    /// Adds an engine in service that is not in it.
    pub(super) fn add(&mut self, index: EngineIndex, engines: &[Engine]) {
        if let Err(position) = self.find(index, engines) {
            self.order.insert(position, index);
        }
    }

    /// Takes out an engine, whose place is as it is now.
    pub(super) fn remove(&mut self, index: EngineIndex, engines: &[Engine]) {
        if let Ok(position) = self.find(index, engines) {
            self.order.remove(position);
        }
    }

    fn find(&self, index: EngineIndex, engines: &[Engine]) -> Result<usize, usize> {
        let place = |index: EngineIndex| place(self.zone, self.salt, index, &engines[index]);
        let wanted = place(index);
        self.order
            .binary_search_by(|&other| place(other).cmp(&wanted))
    }
}

fn place(zone: Option<usize>, salt: u64, index: EngineIndex, engine: &Engine) -> Place {
    (engine.zone != zone, engine.rank(salt), index)
}
