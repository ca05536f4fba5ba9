//! Applies the decisions of the decision module.

use crate::core::answer::{Answer, FailureReason, RejectionReason};
use crate::core::attempt::Attempt;
use crate::core::command::{AttemptId, Command, RequestId, StartAttempt};
use crate::core::invariants::{Violation, check_start};
use crate::core::request_core::{Core, ended_attempt};
use crate::decision::facade::{Decision, Report};
use crate::decision::model::{Ended, Millis, Outcome};

/// An attempt that the decision module has requested.
struct AttemptPlan {
    request: RequestId,
    engine: String,
    memory_mb: f64,
    timeout: Option<Millis>,
}

impl Core {
    /// Applies decisions. Outcomes that follow from them, such as a cancelled attempt, are reported to the
    /// decision module only after all of these decisions have been applied, in the same way as external
    /// events.
    pub(super) fn apply_decisions(&mut self, now: Millis, decisions: Vec<Decision>) {
        self.apply_each(now, decisions);
        while let Some(report) = self.pending_reports.pop_front() {
            let decisions = self.policy.report(now, report);
            self.apply_each(now, decisions);
        }
        self.requests.remove_finished();
    }

    fn apply_each(&mut self, now: Millis, decisions: Vec<Decision>) {
        for decision in decisions {
            self.apply(now, decision);
        }
    }

    fn apply(&mut self, now: Millis, decision: Decision) {
        match decision {
            Decision::Run {
                query,
                engine,
                memory_mb,
                timeout,
            } => {
                let plan = AttemptPlan {
                    request: query,
                    engine,
                    memory_mb,
                    timeout,
                };
                self.start_attempt(now, plan);
            }
            Decision::Cancel { query, attempt } => {
                let id = AttemptId {
                    request: query,
                    index: attempt,
                };
                self.cancel_attempt(now, id);
            }
            Decision::Refuse { query, retry_after } => {
                let answer = Answer::Rejected {
                    retry_after,
                    reason: RejectionReason::NoCapacity,
                };
                self.finish(query, answer);
            }
            Decision::Fail { query } => {
                let answer = Answer::Failed {
                    reason: FailureReason::NoEngineAnswered,
                };
                self.finish(query, answer);
            }
            Decision::Log(text) => self.commands.push(Command::Log(text)),
        }
    }

    /// Starts an attempt, if the request still allows one. Otherwise reports the attempt as never started.
    fn start_attempt(&mut self, now: Millis, plan: AttemptPlan) {
        let is_in_service = self.endpoints.is_in_service(&plan.engine);
        let Some(request) = self.requests.get_mut(plan.request) else {
            self.record_violation(Violation::AttemptAfterEnd);
            return;
        };
        let deadline = request.attempt_deadline(now, plan.timeout);
        let violation = check_start(request, is_in_service).err();
        if let Some(violation) = violation {
            self.metrics.violations.record(violation);
        }
        if violation.is_some() || !request.allows_attempt(now, self.max_attempts) {
            let suppressed = Attempt::suppressed(plan.engine, now, deadline);
            let id = AttemptId {
                request: plan.request,
                index: request.push_attempt(suppressed),
            };
            let ended = Ended {
                last: request.is_closed(),
                ..ended_attempt(id, Outcome::NeverStarted)
            };
            self.pending_reports.push_back(Report::Ended(ended));
            return;
        }
        let write_by = request.write_deadline();
        let attempt = Attempt::start(plan.engine.clone(), now, deadline);
        let start = StartAttempt {
            attempt: AttemptId {
                request: plan.request,
                index: request.push_attempt(attempt),
            },
            engine: plan.engine,
            deadline,
            write_by,
            memory_mb: plan.memory_mb,
            exclusive_connection: request.is_non_idempotent(),
        };
        if deadline < request.deadline() {
            self.requests.insert_deadline(deadline, plan.request);
        }
        self.commands.push(Command::Start(start));
    }

    /// Cancels an attempt in flight, unless its result is being received for a request that still awaits an
    /// answer: such an attempt is exempt until the page timeout has passed without a further page.
    fn cancel_attempt(&mut self, now: Millis, id: AttemptId) {
        let Some(request) = self.requests.get_mut(id.request) else {
            return;
        };
        let is_closed = request.is_closed();
        let Some(attempt) = request.in_flight_mut(id.index) else {
            return;
        };
        if !is_closed && attempt.is_receiving(now, self.limits.page_timeout_ms()) {
            return;
        }
        attempt.cancel();
        let ended = Ended {
            last: is_closed,
            latency: now - attempt.started_at(),
            ..ended_attempt(id, Outcome::Cancelled)
        };
        self.requests.add_finish_candidate(id.request);
        self.commands.push(Command::Cancel { attempt: id });
        self.pending_reports.push_back(Report::Ended(ended));
    }

    /// Cancels all attempts of a request that are in flight, as [`Core::cancel_attempt`] does.
    pub(super) fn cancel_all(&mut self, now: Millis, request: RequestId) {
        let attempts = self
            .requests
            .get(request)
            .map_or(0, |request| request.attempts().len() as u32);
        for index in 0..attempts {
            self.cancel_attempt(now, AttemptId { request, index });
        }
    }
}
