//! Slow start of engines: an engine that is warming up gets no more than this dispatcher's share of
//! its budget over any overload window, by random admission where that share is below one query.

use super::controller::Controller;
use super::model::{FleetEvidence, FleetSizeRange, Millis};
use super::model::{endpoint::Engine, endpoint_list::EngineIndex};

/// Fraction of the budget that is used, since engine speeds and work estimates are not exact.
pub(super) const SLOW_START_SAFETY_FACTOR: f64 = 0.6;

/// Fraction of the sampled mean from which on nothing more is sampled in a window, which bounds the
/// samples of a window to ten.
const MAX_SAMPLED_FRACTION: f64 = 0.9;

/// Fraction of an engine's overload limit that is used when the largest possible number of
/// dispatchers run.
const LIMIT_SAFETY_FACTOR: f64 = 0.9;

/// Margin, in standard deviations, by which the mean of the sum of all samples stays below a limit.
const SAMPLE_DEVIATIONS: f64 = 4.0;

/// Number of queries of equal work that one dispatcher may send to an engine that is warming up
/// within any overload window.
struct SlowStartBudget {
    /// Number of queries; it applies if it is at least 1.
    queries: f64,
    /// Number of queries for a process whose predecessor may have used the budget within the window.
    queries_after_restart: f64,
    /// Mean number of randomly admitted queries; it applies if `queries` is below 1.
    sampled_mean: f64,
}

/// Number of queries in a window below which the overload limit has a larger allowance for random
/// variation.
const LARGER_ALLOWANCE_QUERIES: f64 = 30.0;

/// Returns the number of queries of mean work in a window above which an engine that is warming up
/// fails, given the number that it sustains when the window begins. The limit includes an allowance
/// for random variation.
fn overload_limit(sustainable: f64) -> f64 {
    let allowance = match sustainable < LARGER_ALLOWANCE_QUERIES {
        true => 3.0,
        false => 2.0,
    };
    sustainable + allowance * sustainable.sqrt() + allowance
}

/// Returns the largest mean of a sum of samples that stays [`SAMPLE_DEVIATIONS`] standard deviations
/// below `limit`, given that the variance is at most the mean.
fn largest_mean(limit: f64) -> f64 {
    let half = SAMPLE_DEVIATIONS / 2.0;
    ((half * half + limit).sqrt() - half).powi(2)
}

impl Controller {
    /// Returns whether the engine's process has started so recently that it does not have its full
    /// capacity yet, or that its initial load still counts in an overload window.
    pub(super) fn is_warming_up(&self, engine: &Engine) -> bool {
        let rules = &self.state.settings.rules;
        let warmed_up_at = |started| started + rules.warm_up_period + rules.overload_window;
        let warmed_up_at = engine.started.map(warmed_up_at);
        warmed_up_at.is_some_and(|warmed_up_at| self.state.now < warmed_up_at)
    }

    /// Returns the probability of admission for a query of this work: 1 unless the engine is warming
    /// up. In any window, a dispatcher stays within its budget, its share of what the engine sustains.
    /// A budget below one query is spent by random admission. The cost is that an engine that warms up
    /// later than assumed gets more than it sustains.
    pub(super) fn slow_start_probability(&self, engine: &Engine, work: f64) -> f64 {
        let warming_since = engine.started.filter(|_| self.is_warming_up(engine));
        let Some(started) = warming_since else {
            return 1.0;
        };
        let budget = self.slow_start_budget(engine, started, work);
        let window_start = self.overload_window_start();
        let used = engine.slow_start_usage.queries_after(window_start, work);
        // Another process may have used the budget before this one started.
        let is_usage_known = window_start.max(started) >= self.state.timers.started_at();
        if budget.queries >= 1.0 {
            let usable = match is_usage_known {
                true => budget.queries,
                false => budget.queries_after_restart,
            };
            f64::from(used.sent + 1.0 <= usable)
        } else if is_usage_known && used.sampled < MAX_SAMPLED_FRACTION * budget.sampled_mean {
            (budget.sampled_mean - used.sampled).min(1.0)
        } else {
            0.0
        }
    }

    fn overload_window_start(&self) -> Millis {
        self.state.now - self.state.settings.rules.overload_window
    }

    /// Returns this dispatcher's budget for a query of this work. What the engine sustains, with a
    /// margin, is shared by the expected number of dispatchers. If more may run, the limit above which
    /// the engine fails is also shared by the largest possible number, and the smaller share applies.
    /// With the expected number alone, a fleet of which only half was configured overloaded the
    /// engine.
    fn slow_start_budget(&self, engine: &Engine, started: Millis, work: f64) -> SlowStartBudget {
        let state = &self.state;
        let window_start = self.overload_window_start();
        let processes = state.processes.max_since(window_start);
        let expected_count = state.fleet_size.expected() * processes;
        let max_count = state.fleet_size.upper_bound(state.now) * processes;

        let sustainable = state.sustainable_queries(engine, started, work, state.now);
        let expected_budget = SLOW_START_SAFETY_FACTOR * sustainable / expected_count;
        let expected_mean = largest_mean(sustainable) / expected_count;

        let expected = SlowStartBudget {
            queries: expected_budget,
            queries_after_restart: (1.0 - SLOW_START_SAFETY_FACTOR) * expected_budget,
            sampled_mean: expected_mean,
        };
        if max_count <= expected_count {
            return expected;
        }

        let limit = self.engine_overload_limit(engine, started, work);
        let max_fleet_budget = LIMIT_SAFETY_FACTOR * limit / max_count;
        let max_fleet_mean = largest_mean(limit) / max_count;

        let queries = expected.queries.min(max_fleet_budget);
        SlowStartBudget {
            queries,
            queries_after_restart: expected
                .queries_after_restart
                .min(max_fleet_budget - queries),
            sampled_mean: expected.sampled_mean.min(max_fleet_mean),
        }
    }

    /// Returns the number of queries of this work above which the engine fails in the window that ends
    /// now. The limit is on work, and its allowance for random variation is that of queries of mean
    /// work: heavier queries have no larger allowance.
    fn engine_overload_limit(&self, engine: &Engine, started: Millis, work: f64) -> f64 {
        let state = &self.state;
        let mean_work = state.mean_slow_start_work.mean_or(work).min(work);
        let sustainable_at = |at| state.sustainable_queries(engine, started, mean_work, at);
        let at_start = sustainable_at(self.overload_window_start());
        let mut limit = overload_limit(at_start);
        // A query sent now counts in all windows that begin up to now. Their limits rise with the
        // capacity of the engine, except at the point where the larger allowance ends.
        if at_start < LARGER_ALLOWANCE_QUERIES
            && sustainable_at(state.now) >= LARGER_ALLOWANCE_QUERIES
        {
            limit = limit.min(overload_limit(LARGER_ALLOWANCE_QUERIES));
        }
        limit * mean_work / work
    }

    /// Decides at random whether to admit a query of this work to the engine. Either way, the budget
    /// is charged: with the whole query if it is admitted, else with its probability of admission.
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

    /// Returns whether an engine that is warming up was sent more in the window that ends now than this
    /// dispatcher's full share of what it sustains, and more than the one query that a random
    /// admission may add.
    fn overruns_slow_start(&self, engine: EngineIndex, work: f64) -> bool {
        let state = &self.state;
        let engine = &state.engines[engine];
        let Some(started) = engine.started.filter(|_| self.is_warming_up(engine)) else {
            return false;
        };
        let window_start = self.overload_window_start();
        let sustainable = state.sustainable_queries(engine, started, work, state.now);
        let full_share = sustainable / state.fleet_size.expected();
        let sent_before = engine
            .slow_start_usage
            .queries_after(window_start.max(started), work)
            .sent
            - 1.0;
        sent_before > 0.0 && sent_before + 1.0 > full_share
    }

    /// Returns how often an engine that was warming up was sent more than this dispatcher's share.
    pub(super) fn slow_start_overruns(&self) -> u64 {
        self.state.slow_start_overruns
    }

    /// Records that the present process of an engine started at the time `latest` or before. If that
    /// is earlier than was known, the engine sustains more.
    pub fn learn_engine_start(&mut self, name: &str, latest: Millis) {
        if let Some(index) = self.state.engines.find(name) {
            self.state.engines.learn_start(index, latest);
        }
    }

    /// Records evidence of the number of running dispatchers.
    pub fn observe_fleet(&mut self, evidence: FleetEvidence) {
        self.state.fleet_size.observe(evidence);
    }

    /// Returns the assumed number of running dispatchers: the expected one and the largest possible.
    pub(super) fn fleet_size(&self) -> FleetSizeRange {
        FleetSizeRange {
            expected: self.state.fleet_size.expected(),
            max: self.state.fleet_size.upper_bound(self.state.now),
        }
    }

    /// Sets the number of processes that make the decisions of this dispatcher and share its budget
    /// for engines that are warming up.
    pub fn set_process_count(&mut self, processes: u32) {
        self.state.processes.set(self.state.now, processes);
    }
}
