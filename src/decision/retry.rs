//! Further attempts of a query: after a failed attempt, and in place of one that makes no progress.

use super::attempts::SLOW_PLAN_FACTOR;
use super::concurrency_limit::INFERRED_OVERLOAD_UTILIZATION;
use super::controller::Controller;
use super::model::utilization::FULL_UTILIZATION;
use super::model::{Action, Idempotency, ProgressNote, QueryId};
use super::model::{endpoint_list::EngineIndex, timers::WAKEUP_INTERVAL};
use super::placement::TABLE_LOCK_TTL;

/// Tolerated error of the remaining time that is estimated from progress notes, as a fraction of it.
const REMAINING_TIME_TOLERANCE: f64 = 0.3;

/// Ratio of the remaining time of a slow attempt to the duration of a new one above which the attempt
/// is replaced.
const MIN_RESTART_ADVANTAGE: f64 = 2.0;

/// Fraction of its required memory that a query may lack before it is sent again.
const TOLERATED_SPILL_FRACTION: f64 = 0.1;

impl Controller {
    /// Returns whether the retry budget allows one more attempt.
    pub(super) fn retry_budget_available(&self) -> bool {
        self.state.settings.rules.retry_budget.is_none_or(|budget| {
            let counts = self.state.retry_usage.count(self.state.now, budget);
            counts.retries + 1.0 <= budget.min_retries + budget.retry_ratio * counts.arrivals
        })
    }

    /// Queues the request again if the dispatch rules, the retry budget and the remaining time allow
    /// another attempt, else gives the final answer.
    pub(super) fn retry(&mut self, id: QueryId) {
        let Some(request) = self.state.open_request(id) else {
            return;
        };
        let has_time = request.deadline - self.state.now > 2.0 * WAKEUP_INTERVAL;
        if has_time && self.may_send_anywhere(request) {
            self.state.requeue(id);
        } else {
            self.shed(id);
        }
    }

    /// Cancels an attempt so that its query is sent to another engine, if a repeat has no second effect
    /// and attempts can be cancelled.
    pub(super) fn migrate(&mut self, id: QueryId, attempt: u32) {
        let Some(request) = self.state.open_request(id) else {
            return;
        };
        // A keyed query may be repeated while engines remember its key. Half of that window is left
        // for the migration.
        let migrate_by = match request.idempotency {
            Idempotency::Idempotent => f64::INFINITY,
            Idempotency::Keyed { window, .. } => request.attempts[0].sent_at + window / 2.0,
            Idempotency::NonIdempotent => f64::MIN,
        };
        let limits = &self.state.settings.limits;
        let may_retry = (request.attempts.len() as u32) < limits.max_attempts;
        if limits.cancel && may_retry && !request.is_streaming && self.state.now < migrate_by {
            self.actions.push(Action::Cancel { id, attempt });
        }
    }

    /// Migrates the attempts from which no answer is expected.
    pub(super) fn migrate_unresponsive_attempts(&mut self) {
        for (id, attempt) in self.unresponsive_attempts() {
            self.migrate(id, attempt);
        }
    }

    /// Records a progress note of an attempt, and migrates the attempt if the note calls for it.
    pub(super) fn on_progress(&mut self, id: QueryId, attempt: u32, note: ProgressNote) {
        let Some(engine) = self.state.in_flight_engine(id, attempt) else {
            return;
        };
        self.record_activity(engine);
        if !self.state.record_progress(id, attempt, note) {
            return;
        }
        let must_migrate = match note {
            ProgressNote::WaitsForMemory => self.on_memory_wait(id, engine),
            // A bulk load of another dispatcher locks the tables that this query reads: on another
            // engine it need not wait. The cost is that a short lock costs an attempt and the work
            // of a restart.
            ProgressNote::WaitsForLoad => {
                self.state.record_table_lock(id, engine, TABLE_LOCK_TTL);
                true
            }
            ProgressNote::SpilledMemory(missing_mb) => self.on_spill(id, attempt, missing_mb),
            ProgressNote::Completed(_) => self.on_completed_fraction(id, attempt),
            ProgressNote::Idle | ProgressNote::Active => false,
        };
        if must_migrate {
            self.migrate(id, attempt);
        }
    }

    /// Handles an attempt that waits for memory in the engine's queue, and returns whether to migrate
    /// it. Nothing of it has run yet, so that this is equivalent to a rejection and migration loses no
    /// work. The cost is an attempt and its place in the queue, which gains nothing where every engine
    /// has a queue.
    fn on_memory_wait(&mut self, id: QueryId, engine: EngineIndex) -> bool {
        self.decrease_limit(engine, self.state.engines[engine].thread_budget);
        self.record_utilization(engine, INFERRED_OVERLOAD_UTILIZATION);
        let state = &self.state;
        let threads = state.class(&state.requests[&id].query).settings.threads;
        let can_accept =
            |&other: &EngineIndex| other != engine && self.has_capacity(other, threads);
        let is_full = state.lowest_zone_utilization() > FULL_UTILIZATION;
        !is_full && state.engines.ready_indices().iter().any(can_accept)
    }

    /// Handles an attempt that spills for lack of memory, and returns whether to migrate it. The spill
    /// shows the required memory early in the run, and the next attempt requests that much. This
    /// guards against memory estimates that are far too low or missing. The cost is an attempt and a
    /// restart, which gain nothing where no engine has the memory, so that it happens only once.
    fn on_spill(&mut self, id: QueryId, attempt: u32, missing_mb: f64) -> bool {
        if !self.state.settings.engines.accepts_memory_grants {
            return false;
        }
        let required_mb = self.state.record_required_memory(id, attempt, missing_mb);
        required_mb.is_some_and(|required_mb| missing_mb > TOLERATED_SPILL_FRACTION * required_mb)
    }

    /// Sheds a query that will not be done in time, and returns whether to migrate an attempt because of
    /// a bad plan.
    fn on_completed_fraction(&mut self, id: QueryId, attempt: u32) -> bool {
        let slow_pace = SLOW_PLAN_FACTOR.ln();
        let Some(forecast) = self.state.forecast(id, attempt, slow_pace) else {
            return false;
        };
        let deadline = self.state.requests[&id].deadline;
        let restarted_end = self.state.now + forecast.restart;
        // Neither this attempt nor a new one would be done before the deadline: the resources go to
        // other queries. The pace is a rough estimate, so that the cost is an occasional query that
        // is shed although it would have been answered late.
        let tolerance = forecast.remaining * REMAINING_TIME_TOLERANCE;
        let end = self.state.now + forecast.remaining;
        if end > deadline + tolerance && restarted_end > deadline {
            self.shed(id);
            return false;
        }
        // Signs of a bad plan: the attempt is far behind the usual pace, and a new attempt would be
        // done much sooner.
        let is_slow = forecast.pace > forecast.usual_pace + slow_pace;
        let gains_time = forecast.remaining > MIN_RESTART_ADVANTAGE * forecast.restart;
        is_slow && gains_time && restarted_end < deadline
    }
}
