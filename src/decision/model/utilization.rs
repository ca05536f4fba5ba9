//! Estimates of the utilization of engines and zones, as a fraction of the load that they sustain.

use super::endpoint::{ENGINE_RETENTION, Engine, THREADS_PER_CORE};
use super::endpoint_list::EndpointList;
use super::in_flight_attempt::InFlightAttempt;
use super::statistics::DecayingMean;
use super::{Millis, ReportField, Settings};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Utilization at which the whole capacity of an engine or zone is in use.
pub(crate) const FULL_UTILIZATION: f64 = 1.0;

/// Fraction of granted memory above which a further query may slow down all queries, if the engine
/// overcommits memory.
const OVERCOMMIT_MEMORY_LIMIT: f64 = 0.75;

/// Maximum fraction of busy cores that is evaluated: above it a report is too noisy to show more
/// load, because the value ends at 1.
const CPU_SATURATION: f64 = 0.97;

/// Lower bound on the number of queries that a sum is divided by.
const MIN_QUERIES: f64 = 1e-9;

/// Estimates the utilization of engines from their load reports and the attempts sent since, and
/// that of zones from the recent estimates of their engines.
#[derive(Debug)]
pub(crate) struct Utilization {
    reports_inflight: bool,
    reports_memory: bool,
    /// Whether the queries of each class stall behind bulk loads.
    class_stalls: Vec<bool>,
    /// Fraction of granted memory up to which an engine can take further queries.
    memory_limit: f64,
    /// Mean threads of a running query over all classes (Little's law on the last sampling period).
    threads_per_query: f64,
    by_zone: BTreeMap<Option<usize>, DecayingMean>,
}

impl Utilization {
    /// Creates an estimator for engines of these capabilities.
    pub(crate) fn new(settings: &Settings) -> Self {
        let classes = settings.classes.iter();
        let memory_limit = match settings.engines.overcommits_memory {
            true => OVERCOMMIT_MEMORY_LIMIT,
            false => 1.0,
        };
        Utilization {
            reports_inflight: settings.report_fields.contains(&ReportField::Inflight),
            reports_memory: settings.report_fields.contains(&ReportField::MemoryGranted),
            class_stalls: classes.map(|class| class.waits_for_loads).collect(),
            memory_limit,
            threads_per_query: 1.0,
            by_zone: BTreeMap::new(),
        }
    }

    /// Updates the mean threads of a running query from a sampling period: the threads in use
    /// divided by the queries in service.
    pub(crate) fn update_threads_per_query(&mut self, threads: f64, queries: f64) {
        self.threads_per_query = (threads / queries.max(MIN_QUERIES)).max(1.0);
    }

    /// Returns whether the queries of any class stall behind bulk loads.
    pub(crate) fn has_stalling_classes(&self) -> bool {
        self.class_stalls.contains(&true)
    }

    /// Returns the threads or memory in use at an engine, whichever is the larger fraction of what
    /// the engine sustains; `None` if nothing is known.
    ///
    /// The estimate is based on the last load report and the attempts sent since. It is never below
    /// what this dispatcher's own attempts use.
    pub(crate) fn observed(&self, engine: &Engine, now: Millis) -> Option<f64> {
        let is_known =
            engine.load.is_fresh(now) || !engine.in_flight.is_empty() && engine.load.is_known();
        let own = self.by_own_attempts(engine);
        if is_known {
            let memory = Self::by_memory(engine) / self.memory_limit;
            Some(self.by_threads(engine).max(memory).max(own))
        } else {
            (own > 1.0).then_some(own)
        }
    }

    /// Returns whether only memory shows the load of an engine. Readers that stall behind a bulk
    /// load are in flight but use no thread, so memory is used alone if it is reported. Idle cores
    /// do not show the load, because queries that lack memory or disks leave them idle too.
    fn uses_only_memory(&self) -> bool {
        self.has_stalling_classes() && self.reports_memory
    }

    fn by_threads(&self, engine: &Engine) -> f64 {
        if self.uses_only_memory() {
            return 0.0;
        }
        // If memory is not reported, the number of queries in flight is used in its place.
        let thread_limit = match self.reports_memory {
            true => 1.0,
            false => self.memory_limit * self.memory_limit,
        };
        let queries = engine.load.inflight + engine.attempts_since_report() as f64;
        let by_queries =
            queries * self.threads_per_query / (engine.thread_capacity() * thread_limit);
        if self.reports_inflight {
            return by_queries;
        }
        // With x threads per core placed at random, a fraction exp(-x) of the cores is idle.
        // Queries that lack disks or memory leave cores idle too; in that case only the slowdown of
        // answers shows the load.
        let by_cpu = -(1.0 - engine.load.cpu_busy.min(CPU_SATURATION)).ln();
        by_queries + by_cpu.max(engine.slowdown.mean_or(0.0)) / THREADS_PER_CORE
    }

    /// Returns the granted fraction of memory, scaled up by the queries that wait for memory,
    /// because the granted fraction does not show their demand.
    fn by_memory(engine: &Engine) -> f64 {
        let load = &engine.load;
        load.memory_granted * load.inflight.max(1.0) / (load.inflight - load.memory_queue).max(1.0)
    }

    fn by_own_attempts(&self, engine: &Engine) -> f64 {
        let uses_threads = |attempt: &&InFlightAttempt| {
            !self.uses_only_memory() || !self.class_stalls[attempt.class]
        };
        let attempts = engine.in_flight.iter().filter(uses_threads);
        attempts.map(|attempt| attempt.threads).sum::<f64>() / engine.thread_capacity()
    }

    /// Returns the utilization of an engine, or that of its zone if the engine's is unknown.
    pub(crate) fn observed_or_zone(&self, engine: &Engine, now: Millis) -> f64 {
        self.observed(engine, now).unwrap_or(self.zone(engine.zone))
    }

    /// Adds an engine's utilization to the mean of its zone.
    pub(crate) fn record(&mut self, zone: Option<usize>, utilization: f64) {
        let zone = self.by_zone.entry(zone).or_default();
        zone.add(utilization, ENGINE_RETENTION);
    }

    /// Returns the utilization of a zone; 0 while there are too few samples.
    pub(crate) fn zone(&self, zone: Option<usize>) -> f64 {
        let zone = self.by_zone.get(&zone);
        zone.map_or(0.0, |mean| mean.trusted_mean_or(0.0))
    }

    /// Returns the lowest utilization among the zones with an engine in service; infinite if there
    /// is none.
    ///
    /// The samples of zones are not pooled, because the fullest zone is sampled most and would hide
    /// the others.
    pub(crate) fn lowest_of_zones(&self, engines: &EndpointList) -> f64 {
        let zones = engines.ready_zones().map(|zone| self.zone(zone));
        zones.fold(f64::INFINITY, f64::min)
    }

    /// Returns the utilization of each zone that has enough samples.
    pub(crate) fn known_zones(&self) -> impl Iterator<Item = f64> {
        let trusted = self.by_zone.values().filter(|mean| mean.is_trusted());
        trusted.map(|mean| mean.mean_or(0.0))
    }
}
