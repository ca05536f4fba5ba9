//! What a warming engine gets: this dispatcher's part of its budget over any window, by random
//! admission where that part is below one query.

use super::controller::Controller;
use super::model::{endpoint::Engine, endpoint_list::EngineIndex};

/// Part of the budget that is used: speeds and estimates are not known exactly.
pub(super) const SLOW_START_SAFETY_FACTOR: f64 = 0.6;

/// Part of its mean past which nothing is sampled: ten samples in a window at most.
const SAMPLED_FRACTION: f64 = 0.9;

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
    /// dispatcher keeps to its part of what the engine bears in any window. A part below one query
    /// is sampled: the mean of all dispatchers stays four standard deviations below the budget.
    /// Cost: an engine that warms up late gets more.
    pub(super) fn slow_start_probability(&self, engine: &Engine, work: f64) -> f64 {
        let warming_since = engine.started.filter(|_| self.is_warming_up(engine));
        let Some(started) = warming_since else {
            return 1.0;
        };
        let state = &self.state;
        let start = state.now - state.settings.rules.overload_window;
        let bearable = state.bearable_queries(engine, started, work);
        let processes = state.processes.max_since(start);
        let dispatchers = f64::from(state.settings.dispatchers) * processes;
        let budget = SLOW_START_SAFETY_FACTOR * bearable / dispatchers;
        let mean = ((4.0 + bearable).sqrt() - 2.0).powi(2) / dispatchers;
        let used = engine.slow_start_usage.queries_after(start, work);
        let is_usage_known = start.max(started) >= state.timers.started_at();
        if budget >= 1.0 {
            // Before this process began another may have had its part: as much of what it left.
            // Cost: slow starts.
            let usable_part = match is_usage_known {
                true => 1.0,
                false => 1.0 - SLOW_START_SAFETY_FACTOR,
            };
            f64::from(used.sent + 1.0 <= budget * usable_part)
        } else if is_usage_known && used.sampled < SAMPLED_FRACTION * mean {
            (mean - used.sampled).min(1.0)
        } else {
            0.0
        }
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
        let window_start = state.now - state.settings.rules.overload_window;
        let bearable = state.bearable_queries(engine, started, work);
        let part = bearable / f64::from(state.settings.dispatchers);
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

    /// So many processes make the decisions of this dispatcher now, and share what a warming engine
    /// may get.
    pub fn set_process_count(&mut self, processes: u32) {
        self.state.processes.set(self.state.now, processes);
    }
}
