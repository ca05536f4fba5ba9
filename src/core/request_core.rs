//! The core itself: requests are opened, attempts end, deadlines pass.

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

/// The request core. All times are milliseconds on the clock of the process; `now` is the time of the call.
///
/// Each call may leave commands to be fetched with [`Core::take_commands`].
pub struct Core {
    pub(super) policy: Facade,
    /// By class: what running a request twice would do.
    idempotency_by_class: Vec<Idempotency>,
    pub(super) max_attempts: usize,
    pub(super) limits: CoreLimits,
    pub(super) requests: RequestTable,
    pub(super) endpoints: EndpointList,
    /// Outcomes that follow from decisions, and of which the decision module is told once all of these are applied.
    pub(super) pending_reports: VecDeque<Report>,
    pub(super) commands: Vec<Command>,
    /// Once shutdown has begun: when the last answer is due.
    shutdown_deadline: Option<Millis>,
    pub(super) metrics: Metrics,
    /// Processes of this dispatcher, which share its limits.
    process_count: usize,
    pub(super) gossip: Option<Broadcaster>,
    /// The dispatchers that are heard, by the address that they send from.
    pub(super) census: Option<FleetCensus<SocketAddr>>,
}

impl Core {
    /// A core without requests or engines. `seed` is for the decision module's random choices.
    ///
    /// # Errors
    ///
    /// Settings that contradict themselves.
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

    /// The commands since the last call, in the order in which they are to be carried out.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Opens a request. Its answer comes as a command, perhaps at once.
    pub fn open(&mut self, now: Millis, new: NewRequest) -> RequestId {
        let id = self.requests.allocate_id();
        let deadline = self.answer_deadline(new.deadline);
        if let Some(answer) = self.answer_on_arrival(now, new.class, deadline) {
            self.answer(id, new.class, answer);
            return id;
        }
        let idempotency = self.idempotency_by_class[new.class];
        self.requests
            .insert(id, Request::new(new.class, idempotency, deadline));
        if let Some(gossip) = &mut self.gossip {
            gossip.credit_request();
        }
        let decisions = self.policy.pick(now, query(id, &new, deadline - now));
        self.apply_decisions(now, decisions);
        id
    }

    /// When the answer to a client with this deadline is due.
    fn answer_deadline(&self, client_deadline: Millis) -> Millis {
        let deadline = client_deadline - self.limits.answer_margin_ms();
        deadline.min(self.shutdown_deadline.unwrap_or(f64::INFINITY))
    }

    /// The answer to a request that is not opened at all.
    fn answer_on_arrival(&self, now: Millis, class: ClassId, deadline: Millis) -> Option<Answer> {
        if class >= self.idempotency_by_class.len() || !deadline.is_finite() {
            return Some(Answer::Failed {
                reason: FailureReason::InvalidRequest,
            });
        }
        // More requests than this would outgrow the process's memory limit.
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

    /// The client has disconnected or cancelled: no answer is due any more, and the request's attempts are cancelled.
    pub fn abandon(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.close();
        self.requests.add_finish_candidate(id);
        self.cancel_all(now, id);
        self.report(now, Report::ClientDisconnected(id));
    }

    /// A page of the attempt's result has arrived, and more follow.
    pub fn page_received(&mut self, now: Millis, id: AttemptId) {
        if let Some(attempt) = self.requests.in_flight_mut(id) {
            attempt.receive_page(now);
        }
    }

    /// An attempt ended. `load_report` is what its engine said of its load. Returns false if the attempt was over
    /// already, so that its result does not count.
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
            ..ended(id, outcome)
        };
        self.report(now, Report::Ended(ended));
        true
    }

    /// The engine reported progress of an attempt.
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

    /// Ready for clients: an endpoint list has been received and shutdown has not begun.
    pub fn is_ready(&self) -> bool {
        self.endpoints.is_received() && self.shutdown_deadline.is_none()
    }

    /// Begins shutdown: every answer is given by `deadline`, also those to requests that are opened later.
    pub fn begin_shutdown(&mut self, now: Millis, deadline: Millis) {
        self.shutdown_deadline = Some(deadline);
        self.requests.shorten_deadlines(deadline);
        self.tick(now);
    }

    /// Requests that await an answer.
    pub fn unanswered_requests(&self) -> usize {
        self.requests.unanswered()
    }

    /// When [`Core::tick`] is due next.
    pub fn next_wakeup(&self) -> Option<Millis> {
        [self.requests.next_deadline(), self.policy.next_tick()]
            .into_iter()
            .flatten()
            .reduce(f64::min)
    }

    /// Lets the decision module run its timer, and times out what is past its deadline.
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

    /// Answers an expired request, unless the decision module gave it up when its attempts timed out.
    fn time_out(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.open_mut(id) else {
            return;
        };
        let retry_safe = request.is_retry_safe();
        self.finish(id, Answer::TimedOut { retry_safe });
        self.cancel_all(now, id);
        self.report(now, Report::ClientDisconnected(id));
    }

    /// Tells the decision module what happened, and applies what it decides.
    pub(super) fn report(&mut self, now: Millis, report: Report) {
        let decisions = self.policy.report(now, report);
        self.apply_decisions(now, decisions);
    }

    /// Gives an open request its final answer: this one, or what the request's state makes of it.
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

    /// The one place where answers are given, and so counted.
    fn answer(&mut self, request: RequestId, class: ClassId, answer: Answer) {
        self.metrics.record_answer(class, answer.outcome());
        self.commands.push(Command::Answer { request, answer });
    }

    /// Counts a request that a frontend answered itself, without opening it here.
    pub fn record_rejection(&mut self, class: ClassId, outcome: RequestOutcome) {
        self.metrics.record_answer(class, outcome);
    }

    /// Counts a broken invariant.
    pub fn record_violation(&mut self, violation: Violation) {
        self.metrics.violations.record(violation);
    }

    /// Counts an attempt that has been written in full to its engine.
    pub fn record_dispatch(&mut self) {
        self.metrics.dispatches += 1;
    }

    /// Sets how many processes of this dispatcher share its limits.
    pub fn set_process_count(&mut self, processes: u32) {
        self.process_count = processes.max(1) as usize;
        self.policy.set_process_count(processes);
    }

    /// The counters, and the gauges as of now.
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

/// The request as the decision module sees it.
fn query(id: RequestId, new: &NewRequest, time_left: Millis) -> Query {
    Query {
        id,
        class: new.class,
        tenant: new.tenant,
        key: None,
        // Engines are ranked by this value: another encoding would send a group to other engines.
        tables: new.group.map(|group| (group as f64).to_bits()),
        time_left,
        work: new.work,
        memory_mb: new.memory_mb,
    }
}

/// An attempt that never ran, with this outcome, as the decision module is told of it.
pub(super) fn ended(id: AttemptId, outcome: Outcome) -> Ended {
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
