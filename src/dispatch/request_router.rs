//! The request router: connects the pure core with the frontends and the upstream, and runs its timers.

use crate::clock::{duration_from_millis, process_clock_millis};
use crate::config::NameTable;
use crate::core::{
    Answer, AttemptId, Core, Metrics, NewRequest, RequestId, RequestOutcome, Violation,
};
use crate::decision::model::{ClassId, Millis, Outcome, ProgressNote};
use crate::dispatch::standstill::{HEARTBEAT_INTERVAL_MS, Heartbeat};
use crate::dispatch::start_times::StartTimes;
use crate::dispatch::upstream::Upstream;
use crate::gossip::{DecodeError, GossipBudget};
use crate::log_line;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;

/// Longest wait for the core's next timer, in milliseconds.
const MAX_TIMER_WAIT_MS: Millis = 40.0;

/// The final answer as a frontend gets it, with the result instead of the attempt's id.
pub type Reply<R> = Answer<R>;

/// A callback for the final answer to a request.
pub type ReplyHandler<R> = Box<dyn FnOnce(Reply<R>)>;

/// A callback that sends a message to every peer, without guaranteed delivery.
pub type GossipSender = Box<dyn Fn(&[u8])>;

/// A request that has not been answered.
pub(super) struct OpenRequest<U: Upstream> {
    pub(super) work: Rc<U::Work>,
    /// Result of the served attempt, kept until the answer is given.
    pub(super) output: Option<U::Output>,
    pub(super) reply_handler: ReplyHandler<U::Output>,
    /// Time at which the client gives up, in milliseconds on the process clock.
    pub(super) deadline: Millis,
}

/// Routes requests from the frontends to the engines of one upstream, as the core decides.
pub struct RequestRouter<U: Upstream> {
    pub(super) core: RefCell<Core>,
    pub(super) open: RefCell<HashMap<RequestId, OpenRequest<U>>>,
    pub(super) start_times: RefCell<StartTimes>,
    pub(super) names: NameTable,
    pub(super) upstream: U,
    /// Notified after commands have run, as the core's next wakeup may have changed.
    pub(super) wakeup_changed: Notify,
    is_shutting_down: Cell<bool>,
    heartbeat: Heartbeat,
    /// Sender to the peers, if gossip has been joined.
    pub(super) gossip_sender: OnceCell<GossipSender>,
}

impl<U: Upstream> RequestRouter<U> {
    /// Creates a router for this core and upstream. `names` are the names for the core's indices.
    pub fn new(core: Core, names: NameTable, upstream: U) -> Rc<Self> {
        Rc::new(RequestRouter {
            core: RefCell::new(core),
            open: RefCell::new(HashMap::new()),
            start_times: RefCell::default(),
            names,
            upstream,
            wakeup_changed: Notify::new(),
            is_shutting_down: Cell::new(false),
            heartbeat: Heartbeat::new(process_clock_millis()),
            gossip_sender: OnceCell::new(),
        })
    }

    /// Returns the connections to the engines.
    pub fn upstream(&self) -> &U {
        &self.upstream
    }

    /// Returns the names of classes, tenants, zones and engine kinds.
    pub fn names(&self) -> &NameTable {
        &self.names
    }

    /// Opens a request. `reply_handler` is called with the answer, possibly before this function returns.
    pub fn open(
        self: &Rc<Self>,
        new: NewRequest,
        work: U::Work,
        reply_handler: ReplyHandler<U::Output>,
    ) -> RequestId {
        let deadline = new.deadline;
        let id = self.core.borrow_mut().open(process_clock_millis(), new);
        let request = OpenRequest {
            work: Rc::new(work),
            output: None,
            reply_handler,
            deadline,
        };
        self.open.borrow_mut().insert(id, request);
        self.run_commands();
        id
    }

    /// Closes a request whose client has disconnected or cancelled: its reply handler is dropped.
    pub fn abandon(self: &Rc<Self>, id: RequestId) {
        let request = self.open.borrow_mut().remove(&id);
        drop(request);
        self.core.borrow_mut().abandon(process_clock_millis(), id);
        self.run_commands();
    }

    /// Records that a page of the attempt's result has arrived and that more follow.
    pub fn page_received(self: &Rc<Self>, attempt: AttemptId) {
        self.core
            .borrow_mut()
            .page_received(process_clock_millis(), attempt);
    }

    /// Processes the result of a served attempt. `load_report` is the load report that its engine sent with
    /// it.
    pub fn attempt_served(
        self: &Rc<Self>,
        attempt: AttemptId,
        load_report: Vec<f64>,
        output: U::Output,
    ) {
        if let Some(request) = self.open.borrow_mut().get_mut(&attempt.request) {
            request.output = Some(output);
        }
        self.attempt_ended(attempt, Outcome::Served, load_report);
    }

    /// Processes the end of an attempt. `load_report` is the load report that its engine sent with the
    /// outcome.
    pub fn attempt_ended(
        self: &Rc<Self>,
        attempt: AttemptId,
        outcome: Outcome,
        load_report: Vec<f64>,
    ) {
        self.core
            .borrow_mut()
            .attempt_ended(process_clock_millis(), attempt, outcome, load_report);
        self.run_commands();
    }

    /// Processes an engine's progress note about an attempt.
    pub fn progress(self: &Rc<Self>, attempt: AttemptId, note: ProgressNote) {
        self.core
            .borrow_mut()
            .progress(process_clock_millis(), attempt, note);
        self.run_commands();
    }

    /// Returns whether running a request of this class twice has no further effect.
    pub fn is_idempotent(&self, class: ClassId) -> bool {
        self.core.borrow().is_idempotent(class)
    }

    /// Counts a request that a frontend answered itself, without opening it in the core.
    pub fn record_frontend_answer(&self, class: ClassId, outcome: RequestOutcome) {
        self.core
            .borrow_mut()
            .record_frontend_answer(class, outcome);
    }

    /// Logs and counts a violated invariant.
    pub fn record_violation(&self, violation: Violation) {
        log_line!("invariant broken: {}", violation.name());
        self.core.borrow_mut().record_violation(violation);
    }

    /// Counts attempts that have been written to their engines in full.
    pub fn record_dispatches(&self, attempts: usize) {
        let mut core = self.core.borrow_mut();
        (0..attempts).for_each(|_| core.record_dispatch());
    }

    /// Formats the metrics for operators, a line for each.
    pub fn metrics(&self) -> String {
        self.core.borrow().metrics().text(&self.names.classes)
    }

    /// Formats the invariants for operators: violations, standstills and the number of dispatchers, a line
    /// for each.
    pub fn invariants(&self) -> String {
        let metrics = Metrics {
            standstills: self.heartbeat.standstills(),
            ..self.core.borrow().metrics()
        };
        metrics.invariants_text()
    }

    /// Sets how many processes of this dispatcher share its limits.
    pub fn set_process_count(&self, processes: u32) {
        self.core.borrow_mut().set_process_count(processes);
        self.upstream.set_process_count(processes as usize);
    }

    /// Returns whether shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Returns whether clients can be served: an endpoint list has been received and shutdown has not begun.
    pub fn is_ready(&self) -> bool {
        !self.is_shutting_down() && self.core.borrow().is_ready()
    }

    /// Begins shutdown: every answer is given by `deadline`, in milliseconds on the process clock.
    pub fn begin_shutdown(self: &Rc<Self>, deadline: Millis) {
        self.is_shutting_down.set(true);
        self.core
            .borrow_mut()
            .begin_shutdown(process_clock_millis(), deadline);
        self.run_commands();
    }

    /// Returns the number of requests that await an answer.
    pub fn unanswered_requests(&self) -> usize {
        self.core.borrow().unanswered_requests()
    }

    /// Starts sharing load reports with the peer dispatchers. Only the first call has an effect.
    pub fn join_gossip(&self, budget: GossipBudget, sender: GossipSender) {
        if self.gossip_sender.set(sender).is_ok() {
            self.core.borrow_mut().join_gossip(budget);
        }
    }

    /// Receives a peer's gossip message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be decoded.
    pub fn receive_gossip(self: &Rc<Self>, message: &[u8]) -> Result<(), DecodeError> {
        self.core
            .borrow_mut()
            .receive_gossip(process_clock_millis(), message)?;
        self.run_commands();
        Ok(())
    }

    /// Records a listed peer from which a readable message was received.
    pub fn record_listed_peer(&self, peer: SocketAddr) {
        self.core
            .borrow_mut()
            .record_listed_peer(process_clock_millis(), peer);
    }

    /// Counts a rejected gossip message whose sender is not listed.
    pub fn record_unlisted_peer(&self, peer: SocketAddr, message: &[u8]) {
        self.core
            .borrow_mut()
            .record_unlisted_peer(process_clock_millis(), peer, message);
    }

    /// Returns the earliest time at which a request that is read now can have arrived, in milliseconds on the
    /// process clock.
    pub fn earliest_arrival(&self) -> Millis {
        self.heartbeat.earliest_arrival(process_clock_millis())
    }

    /// Runs the core's timers and the heartbeat. Never returns.
    ///
    /// A heartbeat comes with a timer, which the runtime sees as late as it sees new input on the sockets: tasks that are
    /// always ready keep it from both for up to 61 turns.
    pub async fn run_clock(self: Rc<Self>) {
        let mut heartbeats = tokio::time::interval(duration_from_millis(HEARTBEAT_INTERVAL_MS));
        heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = heartbeats.tick() => self.heartbeat.record(process_clock_millis()),
                () = tokio::time::sleep(self.until_next_wakeup()) => self.tick(),
                () = self.wakeup_changed.notified() => {}
            }
        }
    }

    fn until_next_wakeup(&self) -> std::time::Duration {
        let next_wakeup = self.core.borrow().next_wakeup();
        let wait = next_wakeup.map_or(f64::INFINITY, |at| at - process_clock_millis());
        duration_from_millis(wait.min(MAX_TIMER_WAIT_MS))
    }

    fn tick(self: &Rc<Self>) {
        let now = process_clock_millis();
        let is_due = self.core.borrow().next_wakeup().is_some_and(|at| at <= now);
        if is_due {
            self.core.borrow_mut().tick(now);
            self.run_commands();
        }
    }
}
