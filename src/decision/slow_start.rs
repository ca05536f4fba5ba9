//! What a warming engine gets: this dispatcher's part of its budget over any window, by random
//! admission where that part is below one query.

use super::controller::Controller;
use super::model::{FleetEvidence, FleetSizeRange, Millis};
use super::model::{endpoint::Engine, endpoint_list::EngineIndex};

/// Part of the budget that is used: speeds and estimates are not known exactly.
pub(super) const SLOW_START_SAFETY_FACTOR: f64 = 0.6;

/// Part of its mean past which nothing is sampled: ten samples in a window at most.
const SAMPLED_FRACTION: f64 = 0.9;

/// Part of an engine's limit that is used when the largest possible number of dispatchers run.
const LIMIT_SAFETY_FACTOR: f64 = 0.9;

/// Standard deviations that the sum of all samples stays below a limit.
const SAMPLE_DEVIATIONS: f64 = 4.0;

/// What one dispatcher may send to a warming engine within any overload window, in queries of one
/// size.
struct SlowStartBudget {
    /// Queries, if at least one fits.
    queries: f64,
    /// The same for a process whose predecessor may have spent the budget within the window.
    after_restart: f64,
    /// The mean of sampled queries, if none fits.
    sampled_mean: f64,
}

/// Queries in a window below which a warming engine's limit allows more for chance.
const FEW_QUERIES: f64 = 30.0;

/// Queries of mean work in a window beyond which a warming engine fails that bears `bearable` of
/// them when the window begins: chance is allowed for.
fn overload_limit(bearable: f64) -> f64 {
    let allowance = match bearable < FEW_QUERIES {
        true => 3.0,
        false => 2.0,
    };
    bearable + allowance * bearable.sqrt() + allowance
}

/// The largest mean of a sum of samples that stays the standard deviations below `limit`: the
/// variance is the mean at most.
fn largest_mean(limit: f64) -> f64 {
    let half = SAMPLE_DEVIATIONS / 2.0;
    ((half * half + limit).sqrt() - half).powi(2)
}

impl Controller {
    /// Its process has started so lately that it lacks capacity, or that its first load still
    /// counts.
    pub(super) fn is_warming_up(&self, engine: &Engine) -> bool {
        let rules = &self.state.settings.rules;
        let warmed_up_at = |started| started + rules.warm_up_period + rules.overload_window;
        let warmed_up_at = engine.started.map(warmed_up_at);
        warmed_up_at.is_some_and(|warmed_up_at| self.state.now < warmed_up_at)
    }

    /// The probability of admission for a query of this work: 1 unless the engine is warming up. A
    /// dispatcher keeps to its budget of what the engine bears in any window. A budget below one
    /// query is sampled. Cost: an engine that warms up late gets more.
    pub(super) fn slow_start_probability(&self, engine: &Engine, work: f64) -> f64 {
        let warming_since = engine.started.filter(|_| self.is_warming_up(engine));
        let Some(started) = warming_since else {
            return 1.0;
        };
        let budget = self.slow_start_budget(engine, started, work);
        let window_start = self.overload_window_start();
        let used = engine.slow_start_usage.queries_after(window_start, work);
        // Before this process began another may have spent the budget.
        let is_usage_known = window_start.max(started) >= self.state.timers.started_at();
        if budget.queries >= 1.0 {
            let usable = match is_usage_known {
                true => budget.queries,
                false => budget.after_restart,
            };
            f64::from(used.sent + 1.0 <= usable)
        } else if is_usage_known && used.sampled < SAMPLED_FRACTION * budget.sampled_mean {
            (budget.sampled_mean - used.sampled).min(1.0)
        } else {
            0.0
        }
    }

    fn overload_window_start(&self) -> Millis {
        self.state.now - self.state.settings.rules.overload_window
    }

    /// What the engine bears, with a margin, is shared by the dispatchers that are expected. If more
    /// may run, the limit beyond which it fails is shared by all of them too, and the smaller part
    /// counts: by the expected number alone a fleet of which the configuration names half
    /// overloaded the engine.
    fn slow_start_budget(&self, engine: &Engine, started: Millis, work: f64) -> SlowStartBudget {
        let state = &self.state;
        let window_start = self.overload_window_start();
        let processes = state.processes.max_since(window_start);
        let expected_count = state.fleet_size.expected() * processes;
        let possible_count = state.fleet_size.upper_bound(state.now) * processes;

        let bearable = state.sustainable_queries(engine, started, work, state.now);
        let expected_budget = SLOW_START_SAFETY_FACTOR * bearable / expected_count;
        let expected_mean = largest_mean(bearable) / expected_count;

        let expected = SlowStartBudget {
            queries: expected_budget,
            after_restart: (1.0 - SLOW_START_SAFETY_FACTOR) * expected_budget,
            sampled_mean: expected_mean,
        };
        if possible_count <= expected_count {
            return expected;
        }

        let limit = self.overload_limit_of(engine, started, work);
        let possible_budget = LIMIT_SAFETY_FACTOR * limit / possible_count;
        let possible_mean = largest_mean(limit) / possible_count;

        let queries = expected.queries.min(possible_budget);
        SlowStartBudget {
            queries,
            after_restart: expected.after_restart.min(possible_budget - queries),
            sampled_mean: expected.sampled_mean.min(possible_mean),
        }
    }

    /// Queries of this work beyond which the engine fails in the window that ends now. It counts
    /// work, and allows for chance by queries of mean work: heavier ones have no larger allowance.
    fn overload_limit_of(&self, engine: &Engine, started: Millis, work: f64) -> f64 {
        let state = &self.state;
        let mean_work = state.mean_slow_start_work.mean_or(work).min(work);
        let bearable_at = |at| state.sustainable_queries(engine, started, mean_work, at);
        let at_start = bearable_at(self.overload_window_start());
        let mut limit = overload_limit(at_start);
        // What is sent now counts in windows that begin up to now: their limits rise with the
        // capacity, except where the larger allowance ends.
        if at_start < FEW_QUERIES && bearable_at(state.now) >= FEW_QUERIES {
            limit = limit.min(overload_limit(FEW_QUERIES));
        }
        limit * mean_work / work
    }

    /// Decides at random whether a query of this work goes there: what it brings on average is
    /// spent either way.
    pub(super) fn sample_admission(&mut self, engine: EngineIndex, work: f64) -> bool {
        let probability = self.slow_start_probability(&self.state.engines[engine], work);
        let is_admitted = probability >= 1.0 || self.rng.rand_float() < probability;
        let spent = if is_admitted { 1.0 } else { probability };
        self.state.record_admission(engine, work, spent);
        if is_admitted && self.overruns_slow_start(engine, work) {
            self.state.slow_start_overruns += 1;
        }
        is_admitted
    }

    /// Whether a warming engine was sent more in the window that ends now than this dispatcher's whole
    /// part of what it bears, or than the one query that a sample may admit.
    fn overruns_slow_start(&self, engine: EngineIndex, work: f64) -> bool {
        let state = &self.state;
        let engine = &state.engines[engine];
        let Some(started) = engine.started.filter(|_| self.is_warming_up(engine)) else {
            return false;
        };
        let window_start = self.overload_window_start();
        let bearable = state.sustainable_queries(engine, started, work, state.now);
        let part = bearable / state.fleet_size.expected();
        let sent_before = engine
            .slow_start_usage
            .queries_after(window_start.max(started), work)
            .sent
            - 1.0;
        sent_before > 0.0 && sent_before + 1.0 > part
    }

    /// How often that has happened.
    pub(super) fn slow_start_overruns(&self) -> u64 {
        self.state.slow_start_overruns
    }

    /// The present process of an engine has started at this time at the latest: it is older than
    /// was known, and bears more.
    pub fn learn_engine_start(&mut self, name: &str, latest: Millis) {
        if let Some(index) = self.state.engines.find(name) {
            self.state.engines.learn_start(index, latest);
        }
    }

    /// Takes over what has been heard of how many dispatchers run.
    pub fn observe_fleet(&mut self, evidence: FleetEvidence) {
        self.state.fleet_size.observe(evidence);
    }

    /// How many dispatchers are taken to run: as expected, and at most.
    pub(super) fn fleet_size(&self) -> FleetSizeRange {
        FleetSizeRange {
            expected: self.state.fleet_size.expected(),
            max: self.state.fleet_size.upper_bound(self.state.now),
        }
    }

    /// So many processes make the decisions of this dispatcher now, and share what a warming engine
    /// may get.
    pub fn set_process_count(&mut self, processes: u32) {
        self.state.processes.set(self.state.now, processes);
    }
}
