//! The state of an engine as this dispatcher knows it, and this dispatcher's attempts in flight
//! there.

use super::aimd_limit::AimdLimit;
use super::in_flight_attempt::InFlightAttempt;
use super::load_report::LoadReport;
use super::slow_start_usage::SlowStartUsage;
use super::statistics::DecayingMean;
use super::{
    DeduplicationScope, EngineEntry, EngineState, Millis, Outcome, QueryId, Rules, Settings,
};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Threads per core that an engine sustains, for all dispatchers together.
pub(crate) const THREADS_PER_CORE: f64 = 2.0;

/// Factor by which the weight of engine statistics decays at each sample: about the last ten
/// samples count.
pub(crate) const ENGINE_RETENTION: f64 = 0.85;

/// Decay factor, per sample or sampling period, for statistics that must not outlive their cause.
const SHORT_RETENTION: f64 = 0.5;

/// Weight of recorded outcomes below which they are discarded.
const MIN_OUTCOME_WEIGHT: f64 = 0.5;

/// The state of an engine as this dispatcher knows it.
#[derive(Debug)]
pub(crate) struct Engine {
    /// The engine's id.
    pub(crate) name: String,
    /// Whether it accepts new attempts.
    pub(crate) state: EngineState,
    /// When the engine's process last started, ms; `None`: long ago.
    pub(crate) started: Option<Millis>,
    /// Number of the engine's kind.
    pub(crate) kind: Option<usize>,
    /// Number of the engine's zone.
    pub(crate) zone: Option<usize>,
    /// Number of the engine's cell.
    pub(crate) cell: i64,
    /// Number of cores of the engine's kind.
    pub(crate) cores: f64,
    /// Memory of the engine's kind, MB.
    pub(crate) memory_mb: f64,
    /// This dispatcher's share of the threads that the engine sustains.
    pub(crate) thread_budget: f64,
    /// Maximum memory that one query gets at the engine, MB.
    pub(crate) max_grant_mb: f64,
    /// This dispatcher's attempts in flight at the engine.
    pub(crate) in_flight: Vec<InFlightAttempt>,
    /// Time until which the engine counts as full, ms, because it rejected an attempt for lack of
    /// capacity.
    pub(crate) full_until: Millis,
    /// Maximum number of threads that this dispatcher may use at the engine; unlimited until the
    /// engine has lacked capacity.
    pub(crate) concurrency_limit: AimdLimit,
    /// The engine's last load report.
    pub(crate) load: LoadReport,
    /// Latency of the engine's answers divided by the usual service time of their classes.
    pub(crate) slowdown: DecayingMean,
    /// Mean over the engine's outcomes: 1 for a failure, 0 for an answer.
    pub(crate) failures: DecayingMean,
    /// When the engine last responded, ms.
    pub(crate) last_response: Millis,
    /// Since when the engine has responded without a pause, ms.
    pub(crate) responsive_since: Millis,
    /// Random number from 0 to 1, drawn for each sampling period, that rounds a budget below one
    /// query.
    pub(crate) budget_rounding: f64,
    /// Work sent to the engine within the window that counts for its slow start.
    pub(crate) slow_start_usage: SlowStartUsage,
    /// Table groups that a bulk load locks at the engine, and when each lock was last reported, ms.
    pub(crate) table_locks: BTreeMap<u64, Millis>,
}

impl Engine {
    /// Creates an engine from its entry in the endpoint list.
    pub(crate) fn new(entry: &EngineEntry, settings: &Settings) -> Self {
        let mut engine = Engine {
            name: entry.engine.clone(),
            state: entry.state,
            started: entry.started,
            kind: None,
            zone: None,
            cell: 0,
            cores: 1.0,
            memory_mb: 0.0,
            thread_budget: 0.0,
            max_grant_mb: 0.0,
            in_flight: vec![],
            full_until: f64::MIN,
            concurrency_limit: AimdLimit::default(),
            load: LoadReport::default(),
            slowdown: DecayingMean::default(),
            failures: DecayingMean::default(),
            last_response: f64::MIN,
            responsive_since: f64::MIN,
            budget_rounding: 0.0,
            slow_start_usage: SlowStartUsage::default(),
            table_locks: BTreeMap::new(),
        };
        engine.update(entry, settings);
        engine
    }

    /// Updates the engine from its entry in the endpoint list, except for a restart.
    pub(crate) fn update(&mut self, entry: &EngineEntry, settings: &Settings) {
        self.state = entry.state;
        self.kind = entry.kind;
        self.zone = entry.zone;
        self.cell = entry.cell;
        let machine = settings.kinds.get(entry.kind.unwrap_or(0));
        self.cores = machine.map_or(1.0, |kind| kind.cores);
        self.memory_mb = machine.map_or(0.0, |kind| kind.memory_mb);
        self.thread_budget = self.thread_capacity() / f64::from(settings.dispatchers);
        self.max_grant_mb = self.memory_mb * settings.engines.max_grant_share;
    }

    /// Resets the state after a restart of the engine's process. Only the attempts in flight and
    /// the record of what this dispatcher sent are kept.
    pub(crate) fn restart(&mut self, entry: &EngineEntry, settings: &Settings) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let slow_start_usage = std::mem::take(&mut self.slow_start_usage);
        *self = Engine {
            in_flight,
            slow_start_usage,
            ..Engine::new(entry, settings)
        };
    }

    /// Returns whether the engine is in service.
    pub(crate) fn is_ready(&self) -> bool {
        self.state == EngineState::Ready
    }

    /// Returns the number of threads that the engine sustains, for all dispatchers together.
    pub(crate) fn thread_capacity(&self) -> f64 {
        THREADS_PER_CORE * self.cores
    }

    /// Returns whether this dispatcher's share of the engine's threads is below one query of this
    /// many threads. The engine's load then can't be seen from this dispatcher's own attempts.
    pub(crate) fn is_budget_fractional(&self, threads: f64) -> bool {
        self.thread_budget < threads
    }

    /// Returns this dispatcher's share of the engine's threads for queries of this many threads. A
    /// share below one query is rounded at random, so that all dispatchers together stay within the
    /// engine's capacity.
    pub(crate) fn rounded_budget(&self, threads: f64) -> f64 {
        match self.is_budget_fractional(threads) {
            true => self.thread_budget + self.budget_rounding * threads,
            false => self.thread_budget,
        }
    }

    /// Returns a hash of the engine's name. All dispatchers that use the same salt rank engines
    /// alike.
    pub(crate) fn rank(&self, salt: u64) -> u64 {
        let mix =
            |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        self.name.bytes().fold(salt, mix)
    }

    /// Returns the number of threads that this dispatcher's attempts use at the engine.
    pub(crate) fn threads(&self) -> f64 {
        self.in_flight.iter().map(|attempt| attempt.threads).sum()
    }

    /// Returns the remaining work of this dispatcher's attempts at the engine, ms of one thread.
    fn remaining_work(&self) -> f64 {
        self.in_flight
            .iter()
            .map(InFlightAttempt::remaining_work)
            .sum()
    }

    /// Returns the remaining work of this dispatcher's attempts per core of the engine, ms.
    pub(crate) fn work_per_core(&self) -> f64 {
        self.remaining_work() / self.cores
    }

    /// Returns the number of attempts sent after the engine's last load report.
    pub(crate) fn attempts_since_report(&self) -> usize {
        let reported_at = self.load.received_at;
        let unreported = self
            .in_flight
            .iter()
            .filter(|attempt| attempt.sent_at > reported_at);
        unreported.count()
    }

    /// Returns whether an attempt that is granted this much memory would get it without queueing,
    /// judged by the last load report and the attempts sent since. A stale report does not limit
    /// memory.
    pub(crate) fn has_memory_for(&self, now: Millis, granted_mb: f64) -> bool {
        let reported_at = self.load.received_at;
        let unreported = self
            .in_flight
            .iter()
            .filter(|attempt| attempt.sent_at > reported_at);
        let unreported_mb: f64 = unreported.map(|attempt| attempt.granted_mb).sum();
        let reported_mb = self.load.memory_granted * self.memory_mb;
        !self.load.is_fresh(now) || reported_mb + unreported_mb + granted_mb <= self.memory_mb
    }

    /// Returns the memory that an attempt has at the engine, MB. If the engine chose it, the
    /// attempt is assumed to have the share of memory that corresponds to its threads.
    pub(crate) fn memory_of(&self, attempt: &InFlightAttempt) -> f64 {
        if attempt.granted_mb > 0.0 {
            attempt.granted_mb
        } else {
            self.memory_mb / self.thread_capacity() * attempt.threads
        }
    }

    /// Returns the engine's capacity at the time `now` as a fraction of its full capacity, for a
    /// process that started at `started`. The capacity grows linearly while the engine is warming
    /// up.
    pub(crate) fn warm_up_capacity(&self, rules: &Rules, started: Millis, now: Millis) -> f64 {
        let progress = ((now - started) / rules.warm_up_period).clamp(0.0, 1.0);
        let initial = rules.initial_warm_up_capacity;
        initial + (1.0 - initial) * progress
    }

    /// Returns whether both engines drop repeats of one idempotency key.
    pub(crate) fn shares_keys_with(&self, other: &Engine, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Cell => self.cell == other.cell,
        }
    }

    /// Records that the engine responds. After a silence longer than `pause` ms its responsive
    /// period starts again.
    pub(crate) fn record_activity(&mut self, now: Millis, pause: Millis) {
        if now > self.last_response + pause {
            self.responsive_since = now;
        }
        self.last_response = now;
    }

    /// Adds an outcome to the failure rate, if it is a failure or an answer.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome) {
        if outcome.is_failure() {
            self.failures.add(1.0, ENGINE_RETENTION);
        } else if outcome == Outcome::Served {
            self.failures.add(0.0, ENGINE_RETENTION);
        }
    }

    /// Returns recent failures as a fraction of the engine's outcomes; a single failure counts
    /// half.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failures.shrunken_mean()
    }

    /// Decays the weight of outcomes with time. Without this an engine that is sent nothing could
    /// never show that it has recovered.
    pub(crate) fn decay_failures(&mut self) {
        self.failures.decay(SHORT_RETENTION);
        if self.failures.weight() < MIN_OUTCOME_WEIGHT {
            self.failures = DecayingMean::default();
        }
    }

    /// Records the latency of an answer divided by the usual service time of its class.
    pub(crate) fn record_slowdown(&mut self, slowdown: f64) {
        self.slowdown.add(slowdown, SHORT_RETENTION);
    }

    /// Returns an attempt in flight by its query and number.
    pub(crate) fn attempt(&self, id: QueryId, attempt: u32) -> Option<&InFlightAttempt> {
        let matches = |other: &&InFlightAttempt| (other.id, other.attempt) == (id, attempt);
        self.in_flight.iter().find(matches)
    }

    /// Returns a mutable reference to an attempt in flight by its query and number.
    pub(crate) fn attempt_mut(
        &mut self,
        id: QueryId,
        attempt: u32,
    ) -> Option<&mut InFlightAttempt> {
        let matches = |other: &&mut InFlightAttempt| (other.id, other.attempt) == (id, attempt);
        self.in_flight.iter_mut().find(matches)
    }

    /// Removes an attempt that has ended. Returns whether it had stalled behind a bulk load.
    pub(crate) fn remove_attempt(&mut self, id: QueryId, attempt: u32) -> bool {
        let matches = |other: &InFlightAttempt| (other.id, other.attempt) == (id, attempt);
        let position = self.in_flight.iter().position(matches);
        position.is_some_and(|position| self.in_flight.remove(position).has_stalled)
    }

    /// Records that a bulk load locks a table group, and discards reports older than `ttl` ms.
    pub(crate) fn record_table_lock(&mut self, now: Millis, ttl: Millis, group: Option<u64>) {
        self.table_locks
            .retain(|_, reported_at| now < *reported_at + ttl);
        self.table_locks.extend(group.map(|group| (group, now)));
    }

    /// Returns whether a bulk load locks this table group: one of this dispatcher, or one that was
    /// reported less than `ttl` ms ago.
    pub(crate) fn is_table_locked(&self, now: Millis, ttl: Millis, group: u64) -> bool {
        let locks =
            |attempt: &InFlightAttempt| attempt.tables == Some(group) && attempt.locks_tables;
        let reported_at = self.table_locks.get(&group);
        self.in_flight.iter().any(locks) || reported_at.is_some_and(|at| now < at + ttl)
    }

    /// Returns whether the engine's process has started after this time.
    pub(crate) fn has_restarted_since(&self, time: Millis) -> bool {
        self.started.is_some_and(|started| time < started)
    }
}
