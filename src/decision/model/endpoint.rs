//! An engine as this dispatcher knows it, and the attempts it has there.

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

/// Threads a core that an engine bears, for all dispatchers together.
pub(crate) const THREADS_PER_CORE: f64 = 2.0;

/// Weight that facts about engines keep at each sample: about ten samples count.
pub(crate) const ENGINE_RETENTION: f64 = 0.85;

/// Weight that facts which must not outlive their cause keep at each sample or sampling period.
const SHORT_RETENTION: f64 = 0.5;

/// Weight of outcomes below which they are forgotten altogether.
const MIN_OUTCOME_WEIGHT: f64 = 0.5;

/// An engine as this dispatcher knows it.
#[derive(Debug)]
pub(crate) struct Engine {
    /// Its id.
    pub(crate) name: String,
    /// Whether it accepts new attempts.
    pub(crate) state: EngineState,
    /// When its process last started, ms; `None` is long ago.
    pub(crate) started: Option<Millis>,
    /// Its kind, by number.
    pub(crate) kind: Option<usize>,
    /// Its zone, by number.
    pub(crate) zone: Option<usize>,
    /// Its cell, by number.
    pub(crate) cell: i64,
    /// Its cores, by its kind.
    pub(crate) cores: f64,
    /// Its memory by its kind, MB.
    pub(crate) memory_mb: f64,
    /// This dispatcher's part of the threads that it bears.
    pub(crate) thread_budget: f64,
    /// The most memory that one query gets there, MB.
    pub(crate) max_grant_mb: f64,
    /// This dispatcher's attempts there that have not ended.
    pub(crate) in_flight: Vec<InFlightAttempt>,
    /// It rejected an attempt for lack of capacity and counts as full until then, ms.
    pub(crate) full_until: Millis,
    /// Threads this dispatcher may use there, once it has shown that it lacks capacity.
    pub(crate) concurrency_limit: AimdLimit,
    /// Its load as it last reported it.
    pub(crate) load: LoadReport,
    /// Latency of its answers over the usual service time of their classes.
    pub(crate) slowdown: DecayingMean,
    /// Failures among its outcomes: 1 for a failure, 0 for an answer.
    pub(crate) failures: DecayingMean,
    /// When it last responded, ms.
    pub(crate) last_response: Millis,
    /// Since when it responds without a pause, ms.
    pub(crate) responsive_since: Millis,
    /// A random number for each sampling period, 0 to 1: rounds a budget below one query.
    pub(crate) budget_rounding: f64,
    /// What it was sent in the window that counts for its slow start.
    pub(crate) slow_start_usage: SlowStartUsage,
    /// Groups of tables that a bulk load locks there, and when that was last reported, ms.
    pub(crate) table_locks: BTreeMap<u64, Millis>,
}

impl Engine {
    /// An engine of which nothing is known but its entry in the list.
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

    /// Takes over what the list says of it, except a restart.
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

    /// Its process has restarted: what was learned of the old one is void, except what this
    /// dispatcher sent.
    pub(crate) fn restart(&mut self, entry: &EngineEntry, settings: &Settings) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let slow_start_usage = std::mem::take(&mut self.slow_start_usage);
        *self = Engine {
            in_flight,
            slow_start_usage,
            ..Engine::new(entry, settings)
        };
    }

    /// It is in service.
    pub(crate) fn is_ready(&self) -> bool {
        self.state == EngineState::Ready
    }

    /// Threads that it bears, for all dispatchers together.
    pub(crate) fn thread_capacity(&self) -> f64 {
        THREADS_PER_CORE * self.cores
    }

    /// This dispatcher's part of its threads is below one query: own attempts do not show the
    /// engine's load.
    pub(crate) fn is_budget_fractional(&self, threads: f64) -> bool {
        self.thread_budget < threads
    }

    /// This dispatcher's part of its threads for queries of so many. A part below one query is
    /// rounded at random, so that all dispatchers together keep to the whole.
    pub(crate) fn rounded_budget(&self, threads: f64) -> f64 {
        match self.is_budget_fractional(threads) {
            true => self.thread_budget + self.budget_rounding * threads,
            false => self.thread_budget,
        }
    }

    /// A hash of its name: whoever knows name and salt ranks engines alike.
    pub(crate) fn rank(&self, salt: u64) -> u64 {
        let mix =
            |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        self.name.bytes().fold(salt, mix)
    }

    /// Threads that this dispatcher's attempts use there.
    pub(crate) fn threads(&self) -> f64 {
        self.in_flight.iter().map(|attempt| attempt.threads).sum()
    }

    /// Work of this dispatcher's attempts there that is not done yet, ms of one thread.
    fn remaining_work(&self) -> f64 {
        self.in_flight
            .iter()
            .map(InFlightAttempt::remaining_work)
            .sum()
    }

    /// The same for each core.
    pub(crate) fn work_per_core(&self) -> f64 {
        self.remaining_work() / self.cores
    }

    /// Attempts sent after its last load report.
    pub(crate) fn attempts_since_report(&self) -> usize {
        let reported_at = self.load.received_at;
        let unreported = self
            .in_flight
            .iter()
            .filter(|attempt| attempt.sent_at > reported_at);
        unreported.count()
    }

    /// An attempt that gets this memory would not queue for it, by a fresh report and what was sent
    /// since.
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

    /// Memory that an attempt has there, MB. The engine's own choice is taken for its threads' part
    /// of all.
    pub(crate) fn memory_of(&self, attempt: &InFlightAttempt) -> f64 {
        if attempt.granted_mb > 0.0 {
            attempt.granted_mb
        } else {
            self.memory_mb / self.thread_capacity() * attempt.threads
        }
    }

    /// Capacity as a fraction of the full one at this time after its start: it warms up evenly.
    pub(crate) fn warm_up_capacity(&self, rules: &Rules, started: Millis, now: Millis) -> f64 {
        let progress = ((now - started) / rules.warm_up_period).clamp(0.0, 1.0);
        let initial = rules.initial_warm_up_capacity;
        initial + (1.0 - initial) * progress
    }

    /// Both drop repeats of one key.
    pub(crate) fn shares_keys_with(&self, other: &Engine, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Cell => self.cell == other.cell,
        }
    }

    /// Records that it responds; after a silence longer than `pause` it is responsive anew.
    pub(crate) fn record_activity(&mut self, now: Millis, pause: Millis) {
        if now > self.last_response + pause {
            self.responsive_since = now;
        }
        self.last_response = now;
    }

    /// Counts an outcome for the failure rate, if it is a failure or an answer.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome) {
        if outcome.is_failure() {
            self.failures.add(1.0, ENGINE_RETENTION);
        } else if outcome == Outcome::Served {
            self.failures.add(0.0, ENGINE_RETENTION);
        }
    }

    /// Failures of late as a fraction of its outcomes; a single one counts half.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failures.shrunken_mean()
    }

    /// Lets outcomes decay by time: an engine that is sent nothing could never show that it has
    /// recovered.
    pub(crate) fn decay_failures(&mut self) {
        self.failures.decay(SHORT_RETENTION);
        if self.failures.weight() < MIN_OUTCOME_WEIGHT {
            self.failures = DecayingMean::default();
        }
    }

    /// Records the latency of an answer over the usual service time of its class.
    pub(crate) fn record_slowdown(&mut self, slowdown: f64) {
        self.slowdown.add(slowdown, SHORT_RETENTION);
    }

    /// The attempt that has not ended, by query and number.
    pub(crate) fn attempt(&self, id: QueryId, attempt: u32) -> Option<&InFlightAttempt> {
        let is_it = |other: &&InFlightAttempt| (other.id, other.attempt) == (id, attempt);
        self.in_flight.iter().find(is_it)
    }

    /// The same, to be changed.
    pub(crate) fn attempt_mut(
        &mut self,
        id: QueryId,
        attempt: u32,
    ) -> Option<&mut InFlightAttempt> {
        let is_it = |other: &&mut InFlightAttempt| (other.id, other.attempt) == (id, attempt);
        self.in_flight.iter_mut().find(is_it)
    }

    /// Takes out an attempt that has ended; true if it had stalled behind a bulk load.
    pub(crate) fn remove_attempt(&mut self, id: QueryId, attempt: u32) -> bool {
        let is_it = |other: &InFlightAttempt| (other.id, other.attempt) == (id, attempt);
        let position = self.in_flight.iter().position(is_it);
        position.is_some_and(|position| self.in_flight.remove(position).has_stalled)
    }

    /// Records that a bulk load locks a group of tables, and forgets reports older than `ttl`.
    pub(crate) fn record_table_lock(&mut self, now: Millis, ttl: Millis, group: Option<u64>) {
        self.table_locks
            .retain(|_, reported_at| now < *reported_at + ttl);
        self.table_locks.extend(group.map(|group| (group, now)));
    }

    /// A bulk load locks this group of tables: one of this dispatcher, or one reported less than
    /// `ttl` ago.
    pub(crate) fn is_table_locked(&self, now: Millis, ttl: Millis, group: u64) -> bool {
        let locks =
            |attempt: &InFlightAttempt| attempt.tables == Some(group) && attempt.locks_tables;
        let reported_at = self.table_locks.get(&group);
        self.in_flight.iter().any(locks) || reported_at.is_some_and(|at| now < at + ttl)
    }

    /// Its process has started after this time.
    pub(crate) fn has_restarted_since(&self, time: Millis) -> bool {
        self.started.is_some_and(|started| time < started)
    }
}
