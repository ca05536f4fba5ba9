//! The request router: joins the pure core to the frontends and the upstream, and keeps its clock.

use crate::clock::{duration_from_millis, process_time_millis};
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

/// The final answer as a frontend gets it: with the result itself.
pub type Reply<R> = Answer<R>;

/// Receives the final answer to one request.
pub type ReplyHandler<R> = Box<dyn FnOnce(Reply<R>)>;

/// Sends a message to every peer. It may be lost.
pub type GossipSender = Box<dyn Fn(&[u8])>;

/// A request that has not been answered.
pub(super) struct OpenRequest<U: Upstream> {
    pub(super) work: Rc<U::Work>,
    /// The result, between the end of the attempt that was served and the answer.
    pub(super) output: Option<U::Output>,
    pub(super) reply_handler: ReplyHandler<U::Output>,
    /// When its client gives up, on the clock of the process.
    pub(super) deadline: Millis,
}

/// Routes requests from the frontends to the engines of one upstream, as the core decides.
pub struct RequestRouter<U: Upstream> {
    pub(super) core: RefCell<Core>,
    pub(super) open: RefCell<HashMap<RequestId, OpenRequest<U>>>,
    pub(super) start_times: RefCell<StartTimes>,
    pub(super) names: NameTable,
    pub(super) upstream: U,
    /// The core's next wakeup may have changed.
    pub(super) clock_changed: Notify,
    is_shutting_down: Cell<bool>,
    heartbeat: Heartbeat,
    /// The way to the peers, where there are any.
    pub(super) gossip_sender: OnceCell<GossipSender>,
}

impl<U: Upstream> RequestRouter<U> {
    /// A router over this core and upstream. `names` are what the core's numbers stand for.
    pub fn new(core: Core, names: NameTable, upstream: U) -> Rc<Self> {
        Rc::new(RequestRouter {
            core: RefCell::new(core),
            open: RefCell::new(HashMap::new()),
            start_times: RefCell::default(),
            names,
            upstream,
            clock_changed: Notify::new(),
            is_shutting_down: Cell::new(false),
            heartbeat: Heartbeat::new(process_time_millis()),
            gossip_sender: OnceCell::new(),
        })
    }

    /// The connections to the engines.
    pub fn upstream(&self) -> &U {
        &self.upstream
    }

    /// The names of classes, tenants, zones and kinds of engine.
    pub fn names(&self) -> &NameTable {
        &self.names
    }

    /// Opens a request. `reply_handler` gets its answer, perhaps before this returns.
    pub fn open(
        self: &Rc<Self>,
        new: NewRequest,
        work: U::Work,
        reply_handler: ReplyHandler<U::Output>,
    ) -> RequestId {
        let deadline = new.deadline;
        let id = self.core.borrow_mut().open(process_time_millis(), new);
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

    /// The client has disconnected or cancelled: the request is not answered any more.
    pub fn abandon(self: &Rc<Self>, id: RequestId) {
        let request = self.open.borrow_mut().remove(&id);
        drop(request);
        self.core.borrow_mut().abandon(process_time_millis(), id);
        self.run_commands();
    }

    /// A page of the attempt's result has arrived, and more follow.
    pub fn page_received(self: &Rc<Self>, attempt: AttemptId) {
        self.core
            .borrow_mut()
            .page_received(process_time_millis(), attempt);
    }

    /// An attempt was served. `load_report` is what its engine said of its load.
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

    /// An attempt ended with this outcome. `load_report` is what its engine said of its load.
    pub fn attempt_ended(
        self: &Rc<Self>,
        attempt: AttemptId,
        outcome: Outcome,
        load_report: Vec<f64>,
    ) {
        self.core
            .borrow_mut()
            .attempt_ended(process_time_millis(), attempt, outcome, load_report);
        self.run_commands();
    }

    /// The engine reported progress of an attempt.
    pub fn progress(self: &Rc<Self>, attempt: AttemptId, note: ProgressNote) {
        self.core
            .borrow_mut()
            .progress(process_time_millis(), attempt, note);
        self.run_commands();
    }

    /// Counts a request that a frontend answered itself, without opening it here.
    pub fn record_rejection(&self, class: ClassId, outcome: RequestOutcome) {
        self.core.borrow_mut().record_rejection(class, outcome);
    }

    /// Counts a broken invariant, and logs it.
    pub fn record_violation(&self, violation: Violation) {
        log_line!("invariant broken: {}", violation.name());
        self.core.borrow_mut().record_violation(violation);
    }

    /// Counts attempts that have been written in full to their engines.
    pub fn record_dispatches(&self, attempts: usize) {
        let mut core = self.core.borrow_mut();
        (0..attempts).for_each(|_| core.record_dispatch());
    }

    /// The metrics as text, a line for each.
    pub fn metrics(&self) -> String {
        self.core.borrow().metrics().text(&self.names.classes)
    }

    /// The counts of broken invariants and of standstills as text, a line for each.
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

    /// Shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Ready for clients: an endpoint list has been received and shutdown has not begun.
    pub fn is_ready(&self) -> bool {
        !self.is_shutting_down() && self.core.borrow().is_ready()
    }

    /// Begins shutdown: every answer is given by `deadline`, a time of the process.
    pub fn begin_shutdown(self: &Rc<Self>, deadline: Millis) {
        self.is_shutting_down.set(true);
        self.core
            .borrow_mut()
            .begin_shutdown(process_time_millis(), deadline);
        self.run_commands();
    }

    /// Requests that await an answer.
    pub fn unanswered_requests(&self) -> usize {
        self.core.borrow().unanswered_requests()
    }

    /// Shares load reports with the other dispatchers of the tier from now on; only the first call has an effect.
    pub fn join_gossip(&self, budget: GossipBudget, sender: GossipSender) {
        if self.gossip_sender.set(sender).is_ok() {
            self.core.borrow_mut().join_gossip(budget);
        }
    }

    /// Receives a peer's gossip message.
    ///
    /// # Errors
    ///
    /// A message that cannot be decoded.
    pub fn receive_gossip(self: &Rc<Self>, message: &[u8]) -> Result<(), DecodeError> {
        self.core
            .borrow_mut()
            .receive_gossip(process_time_millis(), message)?;
        self.run_commands();
        Ok(())
    }

    /// A listed peer was heard.
    pub fn record_listed_peer(&self, peer: SocketAddr) {
        self.core
            .borrow_mut()
            .record_listed_peer(process_time_millis(), peer);
    }

    /// Counts a gossip message whose sender is not listed.
    pub fn record_unlisted_peer(&self, peer: SocketAddr, message: &[u8]) {
        self.core
            .borrow_mut()
            .record_unlisted_peer(process_time_millis(), peer, message);
    }

    /// The earliest time at which a request that is read now can have arrived.
    pub fn earliest_arrival(&self) -> Millis {
        self.heartbeat.earliest_arrival(process_time_millis())
    }

    /// Runs the core's timers for ever.
    pub async fn run_clock(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(self.until_next_wakeup()) => self.tick(),
                () = self.clock_changed.notified() => self.heartbeat.beat(process_time_millis()),
            }
        }
    }

    fn until_next_wakeup(&self) -> std::time::Duration {
        let next_wakeup = self.core.borrow().next_wakeup();
        let wait = next_wakeup.map_or(f64::INFINITY, |at| at - process_time_millis());
        duration_from_millis(wait.min(HEARTBEAT_INTERVAL_MS))
    }

    fn tick(self: &Rc<Self>) {
        let now = process_time_millis();
        self.heartbeat.beat(now);
        let is_due = self.core.borrow().next_wakeup().is_some_and(|at| at <= now);
        if is_due {
            self.core.borrow_mut().tick(now);
            self.run_commands();
        }
    }
}
