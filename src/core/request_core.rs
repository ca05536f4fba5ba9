//! The core's main type: opens requests, processes ended attempts and enforces deadlines.

use crate::core::answer::{Answer, FailureReason, RejectionReason};
use crate::core::command::{AttemptId, Command, NewRequest, RequestId};
use crate::core::endpoint_list::EndpointList;
use crate::core::invariants::Violation;
use crate::core::limits::CoreLimits;
use crate::core::metrics::{Metrics, RequestOutcome};
use crate::core::request::Request;
use crate::core::request_table::RequestTable;
use crate::decision::facade::{Facade, Report};
use crate::decision::model::{
    ClassId, Ended, Idempotency, Millis, Outcome, ProgressNote, Query, Settings, SettingsError,
};
use crate::gossip::{Broadcaster, FleetCensus};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The request core. All times are milliseconds on the process clock; `now` is the time of the call.
///
/// Each call may queue commands, which the caller fetches with [`Core::take_commands`].
pub struct Core {
    pub(super) policy: Facade,
    /// Idempotency of each class: whether a request of it may run twice.
    idempotency_by_class: Vec<Idempotency>,
    pub(super) max_attempts: usize,
    pub(super) limits: CoreLimits,
    pub(super) requests: RequestTable,
    pub(super) endpoints: EndpointList,
    /// Outcomes that follow from decisions, to be reported to the decision module once all decisions are
    /// applied.
    pub(super) pending_reports: VecDeque<Report>,
    pub(super) commands: Vec<Command>,
    /// Time at which the last answer is due; set when shutdown begins.
    shutdown_deadline: Option<Millis>,
    pub(super) metrics: Metrics,
    /// Number of processes of this dispatcher, which share its limits.
    process_count: usize,
    pub(super) gossip: Option<Broadcaster>,
    /// The dispatchers that gossip is received from, by source address.
    pub(super) census: Option<FleetCensus<SocketAddr>>,
}

impl Core {
    /// Creates a core without requests or engines. `seed` initializes the decision module's random number
    /// generator.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are inconsistent.
    pub fn new(settings: Settings, seed: u64, limits: CoreLimits) -> Result<Self, SettingsError> {
        let idempotency_by_class: Vec<_> = settings
            .classes
            .iter()
            .map(|class| class.idempotency)
            .collect();
        Ok(Core {
            metrics: Metrics::new(idempotency_by_class.len()),
            idempotency_by_class,
            max_attempts: settings.limits.max_attempts as usize,
            policy: Facade::new(settings, seed)?,
            limits,
            requests: RequestTable::new(),
            endpoints: EndpointList::default(),
            pending_reports: VecDeque::new(),
            commands: vec![],
            shutdown_deadline: None,
            process_count: 1,
            gossip: None,
            census: None,
        })
    }

    /// Returns the commands queued since the last call, in the order in which they must be executed.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Opens a request. The answer is given as a command, possibly by this call.
    pub fn open(&mut self, now: Millis, new: NewRequest) -> RequestId {
        let id = self.requests.allocate_id();
        let deadline = self.answer_deadline(new.deadline);
        if let Some(answer) = self.immediate_answer(now, new.class, deadline) {
            self.answer(id, new.class, answer);
            return id;
        }
        let idempotency = self.idempotency_by_class[new.class];
        self.requests
            .insert(id, Request::new(new.class, idempotency, deadline));
        if let Some(gossip) = &mut self.gossip {
            gossip.credit_request();
        }
        let decisions = self.policy.pick(now, to_query(id, &new, deadline - now));
        self.apply_decisions(now, decisions);
        id
    }

    /// Returns the time at which the answer to a client with this deadline is due.
    fn answer_deadline(&self, client_deadline: Millis) -> Millis {
        let deadline = client_deadline - self.limits.answer_margin_ms();
        deadline.min(self.shutdown_deadline.unwrap_or(f64::INFINITY))
    }

    /// Returns the answer to a request that is invalid or rejected without being opened.
    fn immediate_answer(&self, now: Millis, class: ClassId, deadline: Millis) -> Option<Answer> {
        if class >= self.idempotency_by_class.len() || !deadline.is_finite() {
            return Some(Answer::Failed {
                reason: FailureReason::InvalidRequest,
            });
        }
        // More open requests could exceed the memory limit of the process.
        let max_open = self.limits.max_open_requests / self.process_count;
        let reason = if self.requests.len() >= max_open {
            RejectionReason::TooManyOpenRequests
        } else if deadline <= now {
            RejectionReason::DeadlineTooClose
        } else {
            return None;
        };
        Some(Answer::Rejected {
            retry_after: None,
            reason,
        })
    }

    /// Closes a request whose client has disconnected or cancelled: no answer is given, and the request's
    /// attempts are cancelled.
    pub fn abandon(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.close();
        self.requests.add_finish_candidate(id);
        self.cancel_all(now, id);
        self.report(now, Report::ClientDisconnected(id));
    }

    /// Records that a page of the attempt's result has arrived and that more follow.
    pub fn page_received(&mut self, now: Millis, id: AttemptId) {
        if let Some(attempt) = self.requests.in_flight_mut(id) {
            attempt.receive_page(now);
        }
    }

    /// Processes the end of an attempt. `load_report` is the load report that its engine sent with the
    /// outcome. Returns false if the attempt had already ended, in which case its result must be discarded.
    pub fn attempt_ended(
        &mut self,
        now: Millis,
        id: AttemptId,
        outcome: Outcome,
        load_report: Vec<f64>,
    ) -> bool {
        let Some(attempt) = self.requests.in_flight_mut(id) else {
            return false;
        };
        attempt.finish(outcome);
        let latency = now - attempt.started_at();
        self.requests.add_finish_candidate(id.request);
        self.broadcast_load_report(now, id, &load_report);
        if outcome == Outcome::Served {
            self.answer_served(id);
        }
        let ended = Ended {
            last: self.requests.get(id.request).is_none_or(Request::is_closed),
            latency,
            report: load_report,
            ..ended_attempt(id, outcome)
        };
        self.report(now, Report::Ended(ended));
        true
    }

    /// Processes an engine's progress note about an attempt.
    pub fn progress(&mut self, now: Millis, id: AttemptId, note: ProgressNote) {
        if self.requests.in_flight_mut(id).is_none() {
            return;
        }
        let report = Report::Progress {
            query: id.request,
            attempt: id.index,
            note,
        };
        self.report(now, report);
    }

    /// Returns whether clients can be served: an endpoint list has been received and shutdown has not begun.
    pub fn is_ready(&self) -> bool {
        self.endpoints.is_received() && self.shutdown_deadline.is_none()
    }

    /// Begins shutdown: every answer is given by `deadline`, including answers to requests that are opened
    /// later.
    pub fn begin_shutdown(&mut self, now: Millis, deadline: Millis) {
        self.shutdown_deadline = Some(deadline);
        self.requests.shorten_deadlines(deadline);
        self.tick(now);
    }

    /// Returns the number of requests that await an answer.
    pub fn unanswered_requests(&self) -> usize {
        self.requests.unanswered()
    }

    /// Returns the time at which [`Core::tick`] is due next.
    pub fn next_wakeup(&self) -> Option<Millis> {
        [self.requests.next_deadline(), self.policy.next_tick()]
            .into_iter()
            .flatten()
            .reduce(f64::min)
    }

    /// Runs the decision module's timer, and times out requests and attempts whose deadlines have passed.
    pub fn tick(&mut self, now: Millis) {
        let decisions = self.policy.tick(now);
        self.apply_decisions(now, decisions);
        while let Some(id) = self.requests.pop_due(now) {
            self.time_out_overdue(now, id);
        }
    }

    /// Times out a request's overdue attempts, and the request itself if its deadline has passed.
    fn time_out_overdue(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.open_mut(id) else {
            return;
        };
        let has_expired = request.expire(now);
        for index in request.overdue_attempts(now) {
            let attempt = AttemptId { request: id, index };
            self.commands.push(Command::Cancel { attempt });
            self.attempt_ended(now, attempt, Outcome::TimedOut, vec![]);
        }
        if has_expired {
            self.time_out(now, id);
        }
    }

    /// Answers an expired request, unless the decision module failed or rejected it when its attempts timed
    /// out.
    fn time_out(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.open_mut(id) else {
            return;
        };
        let retry_safe = request.is_retry_safe();
        self.finish(id, Answer::TimedOut { retry_safe });
        self.cancel_all(now, id);
        self.report(now, Report::ClientDisconnected(id));
    }

    /// Reports an event to the decision module and applies the resulting decisions.
    pub(super) fn report(&mut self, now: Millis, report: Report) {
        let decisions = self.policy.report(now, report);
        self.apply_decisions(now, decisions);
    }

    /// Gives an open request its final answer: the proposed one, or the one that [`Request::final_answer`]
    /// puts in its place.
    pub(super) fn finish(&mut self, id: RequestId, proposed: Answer) {
        let Some(request) = self.requests.open_mut(id) else {
            return;
        };
        let answer = request.final_answer(proposed);
        let class = request.class();
        request.close();
        self.requests.add_finish_candidate(id);
        self.answer(id, class, answer);
    }

    /// Answers an open request with the result of this attempt.
    fn answer_served(&mut self, id: AttemptId) {
        let Some(request) = self.requests.open_mut(id.request) else {
            return;
        };
        let class = request.class();
        request.close();
        self.answer(id.request, class, Answer::Served(id));
    }

    /// Emits and counts an answer. All answers pass through here, so that each is counted once.
    fn answer(&mut self, request: RequestId, class: ClassId, answer: Answer) {
        self.metrics.record_answer(class, answer.outcome());
        self.commands.push(Command::Answer { request, answer });
    }

    /// Returns whether running a request of this class twice has no further effect.
    pub fn is_idempotent(&self, class: ClassId) -> bool {
        self.idempotency_by_class.get(class) == Some(&Idempotency::Idempotent)
    }

    /// Counts a request that a frontend answered itself, without opening it in the core.
    pub fn record_frontend_answer(&mut self, class: ClassId, outcome: RequestOutcome) {
        self.metrics.record_answer(class, outcome);
    }

    /// Counts a broken invariant.
    pub fn record_violation(&mut self, violation: Violation) {
        self.metrics.violations.record(violation);
    }

    /// Counts an attempt that has been written to its engine in full.
    pub fn record_dispatch(&mut self) {
        self.metrics.dispatches += 1;
    }

    /// Sets how many processes of this dispatcher share its limits.
    pub fn set_process_count(&mut self, processes: u32) {
        self.process_count = processes.max(1) as usize;
        self.policy.set_process_count(processes);
    }

    /// Returns the counters, and the current values of the gauges.
    pub fn metrics(&self) -> Metrics {
        let unavailable = self
            .endpoints
            .engines()
            .filter(|engine| !self.is_in_service(engine) || self.policy.is_ejected(engine));
        let mut violations = self.metrics.violations;
        violations.set(
            Violation::SlowStartOverrun,
            self.policy.slow_start_overruns(),
        );
        Metrics {
            unanswered_requests: self.unanswered_requests(),
            endpoints: self.endpoints.len(),
            unavailable_endpoints: unavailable.count(),
            violations,
            fleet_size: self.policy.fleet_size(),
            ..self.metrics.clone()
        }
    }
}

/// Converts a request to the decision module's representation.
fn to_query(id: RequestId, new: &NewRequest, time_left: Millis) -> Query {
    Query {
        id,
        class: new.class,
        tenant: new.tenant,
        key: None,
        // Engines are ranked by a hash of this value: another encoding would move table groups to other
        // engines.
        tables: new.group.map(|group| (group as f64).to_bits()),
        time_left,
        work: new.work,
        memory_mb: new.memory_mb,
    }
}

/// Creates the decision module's record of an attempt that ended with this outcome, with zero latency and no
/// load report.
pub(super) fn ended_attempt(id: AttemptId, outcome: Outcome) -> Ended {
    Ended {
        id: id.request,
        attempt: id.index,
        outcome,
        last: false,
        latency: 0.0,
        work: None,
        memory_mb: None,
        report: vec![],
    }
}
