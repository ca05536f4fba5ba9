//! Limits on the threads in flight: a concurrency limit per engine, and a congestion window over all
//! engines.

use super::controller::Controller;
use super::model::{Millis, endpoint_list::EngineIndex, utilization::FULL_UTILIZATION};

/// Utilization recorded for an engine on which an attempt ran far too long without an answer, or had
/// to queue for memory.
pub(super) const INFERRED_OVERLOAD_UTILIZATION: f64 = 2.0;

/// Utilization above which a zone is overloaded by its latest load reports; 1 is what its engines
/// sustain.
const OVERLOAD_UTILIZATION_THRESHOLD: f64 = 1.25;

/// Time for which an engine counts as full after a rejection for lack of capacity, ms: a few
/// load-report periods.
const FULL_AFTER_REJECTION_PERIOD: Millis = 1000.0;

/// Factor by which a concurrency limit or the congestion window decreases at a lack of capacity.
const DECREASE_FACTOR: f64 = 0.8;

/// Minimum time between two decreases of an engine's concurrency limit, ms, since one lack of
/// capacity affects many queries.
const LIMIT_DECREASE_INTERVAL: Millis = 200.0;

/// Minimum time between two decreases of the congestion window, ms. It is longer than that of a
/// concurrency limit since one overload affects more queries than a lack of capacity at one engine.
const WINDOW_DECREASE_INTERVAL: Millis = 500.0;

/// Lower bound of the congestion window, as a fraction of the thread budgets of this dispatcher.
const MIN_WINDOW_FRACTION: f64 = 0.5;

impl Controller {
    /// Returns whether this dispatcher may use `threads` more threads of the engine.
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

    /// Records a load report, if it is well formed.
    pub(super) fn record_load_report(&mut self, engine: EngineIndex, report: &[f64]) {
        if let Some(utilization) = self.state.record_load_report(engine, report) {
            self.record_utilization(engine, utilization);
        }
    }

    /// Records an engine's utilization for its zone, and decreases the congestion window if all known
    /// zones are overloaded, since moving load from one engine would then overload the next. This
    /// guards against overload of any cause. The cost is that a random run of high reports decreases
    /// the window needlessly; the overload of a single zone is left to the concurrency limits of its
    /// engines.
    pub(super) fn record_utilization(&mut self, engine: EngineIndex, utilization: f64) {
        let zone = self.state.engines[engine].zone;
        self.state.utilization.record(zone, utilization);
        let now = self.state.now;
        let may_decrease = self
            .state
            .window
            .may_decrease(now, WINDOW_DECREASE_INTERVAL);
        if may_decrease && self.is_overloaded() {
            // The window always fits the query with the most threads: a smaller window would block
            // that query forever.
            let budget = self.state.engines.thread_budget() * MIN_WINDOW_FRACTION;
            let minimum = self.state.max_query_threads_or(budget);
            let window = &mut self.state.window;
            let used = window.threads().min(self.state.engines.threads());
            window.decrease(now, (used * DECREASE_FACTOR).max(minimum));
        }
    }

    /// Returns whether all known zones are overloaded and more than half of the zones are known. Not
    /// all need to be known, since with many zones a dispatcher never learns the load of some.
    fn is_overloaded(&self) -> bool {
        let mut known = self.state.utilization.known_zones();
        let known_count = self.state.utilization.known_zones().count();
        known.all(|utilization| utilization > OVERLOAD_UTILIZATION_THRESHOLD)
            && known_count * 2 > self.state.engines.zone_count()
    }

    /// Limits a still unlimited congestion window where probes are not allowed, since a whole burst
    /// can be in flight there before an answer shows the load. The window starts at the thread
    /// budgets, or at one query of each class if that is more. The cost is that busy dispatchers
    /// start slowly.
    pub(super) fn open_window(&mut self) {
        if self.state.window.is_unlimited() && !self.state.settings.limits.probes {
            let budget = self.state.engines.thread_budget();
            let threads = budget.max(self.state.threads_of_one_query_per_class());
            self.state.window.set_initial(threads);
        }
    }

    /// Increases the congestion window if at least half of it is in use. A window that is not filled
    /// does not show whether the engines sustain more.
    pub(super) fn grow_window(&mut self, threads: f64) {
        let used = self.state.engines.threads() + threads;
        if 2.0 * used >= self.state.window.threads() {
            self.state.window.increase(threads);
        }
    }

    /// Decreases the concurrency limit of an engine that lacks capacity; the limit grows again with
    /// the queries that the engine serves. If the engine were excluded for a while instead, all
    /// queued queries would go to the next free engine, which would then lack capacity in turn, and
    /// so on through the fleet. The cost is that an engine that was full only briefly fills up
    /// slowly.
    pub(super) fn decrease_limit(&mut self, engine: EngineIndex, minimum: f64) {
        let now = self.state.now;
        let engine = &mut self.state.engines[engine];
        let decreased = (engine.threads() * DECREASE_FACTOR).max(minimum).max(1.0);
        let limit = &mut engine.concurrency_limit;
        if limit.may_decrease(now, LIMIT_DECREASE_INTERVAL) {
            limit.decrease(now, limit.threads().min(decreased));
        }
    }

    /// Marks an engine that has rejected an attempt as full and decreases its concurrency limit.
    pub(super) fn on_rejection(&mut self, engine: EngineIndex) {
        self.state.engines[engine].full_until = self.state.now + FULL_AFTER_REJECTION_PERIOD;
        self.decrease_limit(engine, 0.0);
    }
}
