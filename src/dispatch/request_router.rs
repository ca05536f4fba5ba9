//! Joins the core to its adapters: carries the core's commands out and keeps its clock.

use crate::clock::duration_from_millis;
use crate::clock::unix_time_millis;
use crate::config::{NameTable, position_of};
use crate::core::{Answer, AttemptId, Command, Core, NewRequest, RequestId, RequestOutcome};
use crate::decision::model::*;
use crate::discovery::{Change, Engine};
use crate::gossip::{DecodeError, GossipBudget};
use crate::log_line;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use tokio::sync::Notify;

/// What an upstream is told to start.
pub struct StartAttempt {
    pub attempt: AttemptId,
    pub engine: String,
    pub until: Millis,
    /// It is written whole by then or never.
    pub write_by: Millis,
    pub memory_mb: f64,
    /// It should share no connection: whatever breaks that would end it for good.
    pub alone: bool,
}

/// The way to the engines on one wire.
pub trait Upstream: Sized + 'static {
    /// What a front hands over with a request.
    type Work: 'static;
    /// What an engine brings back.
    type Output: 'static;

    fn start(&self, router: &Rc<RequestRouter<Self>>, start: StartAttempt, work: Rc<Self::Work>);
    /// The attempt is given up; no end of it is wanted.
    fn cancel_attempt(&self, attempt: AttemptId);
    fn update_endpoints(&self, change: &Change);
    /// So many processes share the bounds on connections to engines.
    fn set_process_count(&self, processes: usize);
}

/// The final answer as a front gets it.
pub enum Reply<O> {
    Served(O),
    Rejected {
        retry_after: Option<Millis>,
        reason: &'static str,
    },
    Failed {
        reason: &'static str,
    },
    /// The time is over; `retry_safe` tells that a retry does no harm.
    TimedOut {
        retry_safe: bool,
    },
}

/// Takes a message for every peer; it may be lost.
pub type GossipSender = Box<dyn Fn(&[u8])>;

type ReplyHandler<O> = Box<dyn FnOnce(Reply<O>)>;

struct Open<U: Upstream> {
    work: Rc<U::Work>,
    output: Option<U::Output>,
    answer: ReplyHandler<U::Output>,
}

pub struct RequestRouter<U: Upstream> {
    core: RefCell<Core>,
    open: RefCell<HashMap<RequestId, Open<U>>>,
    names: NameTable,
    upstream: U,
    wake: Notify,
    stopping: Cell<bool>,
    /// The way to the peers, where there is one.
    peers: OnceCell<GossipSender>,
}

impl<U: Upstream> RequestRouter<U> {
    pub fn new(core: Core, names: NameTable, upstream: U) -> Rc<Self> {
        Rc::new(RequestRouter {
            core: RefCell::new(core),
            open: RefCell::new(HashMap::new()),
            names,
            upstream,
            wake: Notify::new(),
            stopping: Cell::new(false),
            peers: OnceCell::new(),
        })
    }

    /// Takes part in what the dispatchers of the tier tell each other; the first call counts.
    pub fn join_gossip(&self, terms: GossipBudget, tell: GossipSender) {
        if self.peers.set(tell).is_ok() {
            self.core.borrow_mut().join_gossip(terms);
        }
    }

    /// A peer's message.
    pub fn receive_gossip(self: &Rc<Self>, message: &[u8]) -> Result<(), DecodeError> {
        self.core
            .borrow_mut()
            .receive_gossip(unix_time_millis(), message)?;
        self.carry_out();
        Ok(())
    }

    /// Somebody who is no peer spoke at the peers' address.
    pub fn record_foreign_message(&self) {
        self.core.borrow_mut().record_foreign_message();
    }

    /// The way to the engines.
    pub fn upstream(&self) -> &U {
        &self.upstream
    }

    pub fn names(&self) -> &NameTable {
        &self.names
    }

    pub fn open(
        self: &Rc<Self>,
        r: NewRequest,
        work: U::Work,
        answer: ReplyHandler<U::Output>,
    ) -> RequestId {
        let id = self.core.borrow_mut().open(unix_time_millis(), r);
        self.open.borrow_mut().insert(
            id,
            Open {
                work: Rc::new(work),
                output: None,
                answer,
            },
        );
        self.carry_out();
        id
    }

    pub fn abandon(self: &Rc<Self>, id: RequestId) {
        drop(self.open.borrow_mut().remove(&id));
        self.core.borrow_mut().abandon(unix_time_millis(), id);
        self.carry_out();
    }

    /// A part of the result is here, and more is to come.
    pub fn page_received(self: &Rc<Self>, attempt: AttemptId) {
        self.core
            .borrow_mut()
            .page_received(unix_time_millis(), attempt);
    }

    pub fn attempt_served(
        self: &Rc<Self>,
        attempt: AttemptId,
        report: Vec<f64>,
        output: U::Output,
    ) {
        if let Some(open) = self.open.borrow_mut().get_mut(&attempt.request) {
            open.output = Some(output);
        }
        self.attempt_ended(attempt, Outcome::Served, report);
    }

    pub fn attempt_ended(self: &Rc<Self>, attempt: AttemptId, outcome: Outcome, report: Vec<f64>) {
        self.core
            .borrow_mut()
            .attempt_ended(unix_time_millis(), attempt, outcome, report);
        self.carry_out();
    }

    pub fn progress(self: &Rc<Self>, attempt: AttemptId, note: ProgressNote) {
        self.core
            .borrow_mut()
            .progress(unix_time_millis(), attempt, note);
        self.carry_out();
    }

    /// A request that its front answers itself, at the door: it is counted like those that come in.
    pub fn record_rejection(&self, class: ClassId, end: RequestOutcome) {
        self.core.borrow_mut().record_rejection(class, end);
    }

    /// So many attempts have been written whole.
    pub fn record_dispatches(&self, attempts: usize) {
        (0..attempts).for_each(|_| self.core.borrow_mut().record_dispatch());
    }

    /// The figures as they stand, one a line.
    pub fn metrics(&self) -> String {
        self.core.borrow().metrics().text(&self.names.classes)
    }

    /// Still listed as in service: checked again right before an attempt is written.
    pub fn is_in_service(&self, engine: &str) -> bool {
        self.core.borrow().is_in_service(engine)
    }

    /// A change of the engine list, in the order told.
    pub fn update_endpoints(self: &Rc<Self>, change: &Change) {
        let entries = change.engines.iter().map(|e| EngineEntry {
            engine: e.id.clone(),
            state: e.state,
            started: e.started,
            kind: e
                .kind
                .as_deref()
                .and_then(|k| position_of(&self.names.kinds, k)),
            zone: e
                .zone
                .as_deref()
                .and_then(|z| position_of(&self.names.zones, z)),
            cell: e.cell,
        });
        let entries = entries.collect();
        // The module hears of it first, so that connections that drop find it informed.
        self.core
            .borrow_mut()
            .update_endpoints(unix_time_millis(), change.update, entries);
        self.upstream.update_endpoints(change);
        self.carry_out();
    }

    /// Somebody has this engine id.
    pub fn is_known(&self, engine: &str) -> bool {
        self.core.borrow().is_known(engine)
    }

    /// Operators take an engine out, or put it back; doing so twice changes nothing.
    pub fn set_administrative_drain(self: &Rc<Self>, engine: &str, out: bool) {
        let told = match out {
            true => self
                .core
                .borrow_mut()
                .drain_engine(unix_time_millis(), engine),
            false => self
                .core
                .borrow_mut()
                .undrain_engine(unix_time_millis(), engine),
        };
        if let Some(e) = told {
            log_line!(
                "engine {engine}: {} by hand",
                if out { "taken out" } else { "put back" }
            );
            // Where it is the upstream knows; connections to the process before lead to nobody.
            let engine = Engine {
                id: e.engine,
                address: None,
                state: e.state,
                zone: None,
                kind: None,
                cell: e.cell,
                started: e.started,
            };
            self.upstream.update_endpoints(&Change {
                update: ListUpdate::Patch,
                engines: vec![engine],
            });
        }
        self.carry_out();
    }

    /// Exactly these are out by hand: another process of this dispatcher may have been told so.
    pub fn apply_administrative_drains(self: &Rc<Self>, out: &BTreeSet<String>) {
        let now = self.core.borrow().drained_engines().clone();
        out.difference(&now)
            .for_each(|engine| self.set_administrative_drain(engine, true));
        now.difference(out)
            .for_each(|engine| self.set_administrative_drain(engine, false));
    }

    /// The engines that are out by hand.
    pub fn drained_engines(&self) -> BTreeSet<String> {
        self.core.borrow().drained_engines().clone()
    }

    /// So many processes of this dispatcher live.
    pub fn set_process_count(&self, processes: u32) {
        self.core.borrow_mut().set_process_count(processes);
        self.upstream.set_process_count(processes as usize);
    }

    /// The end has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.stopping.get()
    }

    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.core.borrow().is_ready()
    }

    /// From now on: not ready, and every answer is given by `by`.
    pub fn begin_shutdown(self: &Rc<Self>, by: Millis) {
        self.stopping.set(true);
        self.core
            .borrow_mut()
            .begin_shutdown(unix_time_millis(), by);
        self.carry_out();
    }

    pub fn unanswered_requests(&self) -> usize {
        self.core.borrow().unanswered_requests()
    }

    fn carry_out(self: &Rc<Self>) {
        loop {
            let commands = self.core.borrow_mut().take_commands();
            if commands.is_empty() {
                break;
            }
            commands.into_iter().for_each(|c| self.command(c));
        }
        self.wake.notify_one();
    }

    fn command(self: &Rc<Self>, command: Command) {
        match command {
            Command::Start {
                attempt,
                engine,
                until,
                write_by,
                memory_mb,
                alone,
            } => {
                let work = self
                    .open
                    .borrow()
                    .get(&attempt.request)
                    .map(|o| o.work.clone());
                if let Some(work) = work {
                    self.upstream.start(
                        self,
                        StartAttempt {
                            attempt,
                            engine,
                            until,
                            write_by,
                            memory_mb,
                            alone,
                        },
                        work,
                    );
                }
            }
            Command::Cancel { attempt } => self.upstream.cancel_attempt(attempt),
            Command::Answer { request, answer } => {
                let Some(open) = self.open.borrow_mut().remove(&request) else {
                    return;
                };
                let reply = match (answer, open.output) {
                    (Answer::Served(_), Some(output)) => Reply::Served(output),
                    (Answer::Served(_), None) => Reply::Failed {
                        reason: "the result was lost",
                    },
                    (
                        Answer::Rejected {
                            retry_after,
                            reason,
                        },
                        _,
                    ) => Reply::Rejected {
                        retry_after,
                        reason,
                    },
                    (Answer::Failed { reason }, _) => Reply::Failed { reason },
                    (Answer::TimedOut { retry_safe }, _) => Reply::TimedOut { retry_safe },
                };
                (open.answer)(reply);
            }
            Command::Log(text) => log_line!("module: {text}"),
            Command::Broadcast(message) => {
                self.peers.get().into_iter().for_each(|tell| tell(&message))
            }
        }
    }

    /// Rings for the core when it asked to be; runs for ever.
    pub async fn run_clock(self: Rc<Self>) {
        loop {
            let next = self.core.borrow().next_wakeup();
            let sleep = duration_from_millis(next.map_or(1000.0, |at| at - unix_time_millis()));
            tokio::select! {
                () = tokio::time::sleep(sleep) => {
                    self.core.borrow_mut().tick(unix_time_millis());
                    self.carry_out();
                }
                () = self.wake.notified() => {}
            }
        }
    }
}
