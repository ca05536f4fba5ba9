//! Handles the end of an attempt, updates the estimates from it, and finishes requests.

use super::concurrency_limit::INFERRED_OVERLOAD_UTILIZATION;
use super::controller::Controller;
use super::model::{Action, Ended, Outcome, QueryId, request_lifecycle::EndedAttempt};

/// Multiple of the usual service time from which an attempt counts as far too slow, as with a bad
/// query plan.
pub(super) const SLOW_PLAN_FACTOR: f64 = 4.0;

impl Controller {
    /// Updates the estimates when an attempt ends, and finishes or retries its request.
    pub(super) fn on_attempt_ended(&mut self, ended: &Ended) {
        let Some(attempt) = self.state.end_attempt(ended) else {
            return;
        };
        self.record_response(&attempt, ended);
        self.infer_overload(&attempt, ended.outcome);
        if ended.outcome == Outcome::Served {
            self.record_answer(&attempt, ended);
        } else if !ended.outcome.never_ran() {
            self.state.start_quiet_period(ended.id);
        }
        if ended.last || ended.outcome == Outcome::Served {
            self.dequeue_and_cancel(ended.id);
        } else if !self.state.requests[&ended.id].has_in_flight() {
            self.retry(ended.id);
        }
        self.state.remove_if_done(ended.id);
    }

    /// Records the outcome and the load report of an ended attempt for its engine. Both are ignored
    /// if the engine has restarted since, as they do not describe the present process.
    fn record_response(&mut self, attempt: &EndedAttempt, ended: &Ended) {
        if ended.outcome.is_response() {
            self.record_activity(attempt.engine);
        }
        let engine = &mut self.state.engines[attempt.engine];
        if ended.outcome == Outcome::Served {
            engine.record_slowdown(attempt.slowdown.min(SLOW_PLAN_FACTOR));
        }
        if !attempt.is_stale {
            engine.record_outcome(ended.outcome);
            self.record_load_report(attempt.engine, &ended.report);
            if ended.outcome.lacks_capacity() {
                self.on_rejection(attempt.engine);
            }
        }
    }

    /// Records an overload of the engine if an attempt ran far too long without an answer and no
    /// load report has come since it was sent. Where probes are not allowed, the run time is the
    /// only sign of an overload. The cost is that lost answers and bad plans count as overload too,
    /// in proportion to their share of all attempts.
    fn infer_overload(&mut self, attempt: &EndedAttempt, outcome: Outcome) {
        let reported_at = self.state.engines[attempt.engine].load.received_at;
        let is_unreported = !self.state.settings.limits.probes && reported_at < attempt.sent_at;
        let is_unanswered = outcome.is_unanswered() && !attempt.has_stalled;
        if is_unanswered && is_unreported && attempt.slowdown > SLOW_PLAN_FACTOR {
            self.record_utilization(attempt.engine, INFERRED_OVERLOAD_UTILIZATION);
        }
    }

    /// Updates cost estimates, the engine's concurrency limit and the congestion window after an
    /// answer.
    fn record_answer(&mut self, attempt: &EndedAttempt, ended: &Ended) {
        let is_in_time = self.state.learn_from_answer(attempt, ended);
        let engine = &mut self.state.engines[attempt.engine];
        engine.concurrency_limit.increase(attempt.threads);
        if is_in_time {
            self.grow_window(attempt.threads);
        }
    }

    /// Finishes a request that has its final answer or whose client no longer waits.
    pub(super) fn finish(&mut self, id: QueryId) {
        self.state.finish(id);
        self.dequeue_and_cancel(id);
        self.state.remove_if_done(id);
    }

    /// Removes a finished request from its queue and cancels its attempts in flight.
    fn dequeue_and_cancel(&mut self, id: QueryId) {
        let in_flight = self.state.dequeue(id);
        if self.state.settings.limits.cancel && !self.state.is_streaming(id) {
            let cancel = |attempt| Action::Cancel { id, attempt };
            self.actions.extend(in_flight.into_iter().map(cancel));
        }
    }
}
