//! Limits on what is in flight: at each engine, and at all by a congestion window.

use super::controller::Controller;
use super::model::{Millis, endpoint_list::EngineIndex, utilization::FULL_UTILIZATION};

/// Utilization recorded for an attempt that ran far too long without an answer, or that found a
/// queue.
pub(super) const OVERLOAD_SIGN: f64 = 2.0;

/// Overload: the latest reports of every zone show this many times what its engines bear.
const OVERLOAD_UTILIZATION: f64 = 1.25;

/// How long a rejection for lack of capacity marks an engine as full, ms: a few load-report
/// periods.
const FULL_PERIOD: Millis = 1000.0;

/// Limit and window shrink to this part at a lack of capacity, ...
const DECREASE: f64 = 0.8;

/// ... at most once in these times, ms, since one lack shows in many queries, one overload in more,
/// ...
const LIMIT_DECREASE_INTERVAL: Millis = 200.0;
const WINDOW_DECREASE_INTERVAL: Millis = 500.0;

/// ... and the window never below this part of this dispatcher's budgets.
const MIN_WINDOW_FRACTION: f64 = 0.5;

impl Controller {
    /// The engine may get so many threads more from this dispatcher.
    pub(super) fn has_capacity(&self, engine: EngineIndex, threads: f64) -> bool {
        let now = self.state.now;
        let engine = &self.state.engines[engine];
        let needed = engine.threads() + threads;
        let limit = engine.concurrency_limit.threads();
        let is_limited = !engine.in_flight.is_empty() && needed > limit;
        let utilization = self.state.utilization.observed_or_zone(engine, now);
        let fits = utilization <= FULL_UTILIZATION || needed <= engine.rounded_budget(threads);
        now >= engine.full_until && !is_limited && fits
    }

    /// Takes over a load report, if it is well formed.
    pub(super) fn record_load_report(&mut self, engine: EngineIndex, report: &[f64]) {
        if let Some(utilization) = self.state.record_load_report(engine, report) {
            self.record_utilization(engine, utilization);
        }
    }

    /// Counts an engine's utilization for its zone, and decreases the window if all known zones are
    /// overloaded, for what is moved from one engine would overload the next. Guards against
    /// overload of any cause; cost: a chance run of reports decreases it in vain, overload of one
    /// zone is left to its engines' limits.
    pub(super) fn record_utilization(&mut self, engine: EngineIndex, utilization: f64) {
        let zone = self.state.engines[engine].zone;
        self.state.utilization.record(zone, utilization);
        let now = self.state.now;
        let may_decrease = self
            .state
            .window
            .may_decrease(now, WINDOW_DECREASE_INTERVAL);
        if may_decrease && self.is_overloaded() {
            // At least the widest query: a smaller window would hold it back for good.
            let budget = self.state.engines.thread_budget() * MIN_WINDOW_FRACTION;
            let minimum = self.state.max_query_threads_or(budget);
            let window = &mut self.state.window;
            let used = window.threads().min(self.state.engines.threads());
            window.decrease(now, (used * DECREASE).max(minimum));
        }
    }

    /// All known zones are, and most are known: with many, a dispatcher never learns of some.
    fn is_overloaded(&self) -> bool {
        let mut known = self.state.utilization.known_zones();
        let known_count = self.state.utilization.known_zones().count();
        known.all(|utilization| utilization > OVERLOAD_UTILIZATION)
            && known_count * 2 > self.state.engines.zone_count()
    }

    /// Where no probe may ask, a burst is in flight before an answer shows the load: there the
    /// window starts at the budgets, or one query of each class. Cost: busy dispatchers start
    /// slowly.
    pub(super) fn open_window(&mut self) {
        if self.state.window.is_unlimited() && !self.state.settings.limits.probes {
            let budget = self.state.engines.thread_budget();
            let threads = budget.max(self.state.threads_of_one_query_per_class());
            self.state.window.set_initial(threads);
        }
    }

    /// Only a window in use grows: one that was never filled says nothing of what engines bear.
    pub(super) fn grow_window(&mut self, threads: f64) {
        let used = self.state.engines.threads() + threads;
        if 2.0 * used >= self.state.window.threads() {
            self.state.window.increase(threads);
        }
    }

    /// The engine lacks capacity: its limit decreases, and grows again with what it serves. Barred
    /// for a while instead, it would move all that waits here to the one that is next free, which
    /// then lacks capacity in its turn, and so on round the fleet. Cost: an engine full for a
    /// moment fills up slowly.
    pub(super) fn decrease_limit(&mut self, engine: EngineIndex, minimum: f64) {
        let now = self.state.now;
        let engine = &mut self.state.engines[engine];
        let decreased = (engine.threads() * DECREASE).max(minimum).max(1.0);
        let limit = &mut engine.concurrency_limit;
        if limit.may_decrease(now, LIMIT_DECREASE_INTERVAL) {
            limit.decrease(now, limit.threads().min(decreased));
        }
    }

    /// Marks an engine as full that has rejected an attempt.
    pub(super) fn on_rejection(&mut self, engine: EngineIndex) {
        self.state.engines[engine].full_until = self.state.now + FULL_PERIOD;
        self.decrease_limit(engine, 0.0);
    }
}
