//! One connection to an engine, and the attempts on it.

use crate::clock::process_clock_millis;
use crate::config::SocketSettings;
use crate::core::AttemptId;
use crate::decision::model::Millis;
use crate::dispatch::StartAttempt;
use crate::frontend::frames::{Executions, Work};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, mpsc};

/// Time in milliseconds after which a connection is closed if the next page of a result that has begun
/// does not arrive.
const RESULT_STALL_TIMEOUT_MS: Millis = 600.0;
/// Number of missed progress notes after which a connection with pending attempts gets no new ones. If
/// engines send no progress notes, silence has no meaning.
const MISSED_PROGRESS_NOTES_AVOID: f64 = 2.0;
/// Number of missed progress notes after which a connection with pending replies counts as dead.
const MISSED_PROGRESS_NOTES_DEAD: f64 = 3.0;
/// Maximum number of ids of ended attempts that a connection remembers: a late reply arrives soon or never.
const MAX_ENDED_IDS: usize = 512;

/// A command to write on a connection.
pub(super) enum Command {
    /// Sends the attempt with this id.
    Send(String),
    /// Cancels the attempt with this id.
    Cancel(String),
}

/// The condition that a command waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum BlockedOn {
    /// Unread input has to be read first.
    UnreadInput,
    /// The operating system accepts no more bytes.
    WriteCapacity,
}

/// The progress of an attempt on its connection.
pub(super) enum Stage {
    /// No byte has been written: if the connection ends, the attempt never ran.
    Queued {
        start: StartAttempt,
        work: Rc<Work>,
        /// The sockets have been checked for unread input.
        input_checked: bool,
    },
    /// The first byte has been written: the attempt may have run.
    Written,
    /// The first page of the result has arrived.
    Paging {
        pages: Vec<Option<Bytes>>,
        missing_pages: usize,
        result_bytes: usize,
        /// Time at which the last page arrived, in milliseconds on the clock of the process.
        last_page_at: Millis,
        report: Vec<f64>,
    },
}

/// An attempt that waits for a reply of the engine.
pub(super) struct PendingAttempt {
    pub(super) attempt: AttemptId,
    /// Whether the attempt must not share its connection.
    pub(super) exclusive: bool,
    /// Record of the attempts of its request.
    pub(super) executions: Executions,
    pub(super) stage: Stage,
}

impl PendingAttempt {
    /// Records the engine's statement that the attempt never ran.
    pub(super) fn record_never_ran(&self) {
        if !matches!(self.stage, Stage::Queued { .. }) {
            self.executions.record_never_ran();
        }
    }
}

/// The state that a connection shares with the pool and with its task.
pub(super) struct Connection {
    pub(super) number: u64,
    pub(super) address: SocketAddr,
    pub(super) opened: Millis,
    pub(super) commands: mpsc::Sender<Command>,
    /// The connection is established.
    pub(super) is_established: Cell<bool>,
    pub(super) pending: RefCell<HashMap<String, PendingAttempt>>,
    /// Ids of attempts that ended on this connection, and the time until which each is remembered: a
    /// late reply to such an attempt must not be taken for the reply to a new one.
    ended_ids: RefCell<VecDeque<(Id, Millis)>>,
    /// Id of the attempt that is partially written.
    pub(super) partially_written: RefCell<Option<String>>,
    /// Time from which the partially written attempt is no longer wanted; may be in the future.
    pub(super) unwanted_since: Cell<Option<Millis>>,
    /// The connection accepts no new attempts, and ends once no attempt is pending.
    pub(super) closing: Cell<bool>,
    /// A reply has been incomplete for a while: replies behind it would wait for its remaining bytes,
    /// which may never arrive.
    pub(super) has_partial_reply: Cell<bool>,
    /// Time at which the engine last replied on this connection, or was sent an attempt while none was
    /// pending.
    pub(super) last_activity: Cell<Millis>,
    /// Notified when the connection is to be closed at once.
    pub(super) close_requested: Notify,
    /// Notified when the task of the connection has to check its state.
    pub(super) changed: Notify,
}

/// A request id in a fixed-size array, which needs no allocation.
type Id = [u8; 16];

fn id_of(txn: &str) -> Id {
    let mut id = [0; 16];
    id.iter_mut().zip(txn.bytes()).for_each(|(to, b)| *to = b);
    id
}

impl Connection {
    /// Creates the state of a connection that is not established yet; its task receives the commands.
    pub(super) fn new(number: u64, address: SocketAddr, commands: mpsc::Sender<Command>) -> Self {
        Connection {
            number,
            address,
            opened: process_clock_millis(),
            commands,
            is_established: Cell::new(false),
            pending: RefCell::default(),
            ended_ids: RefCell::default(),
            partially_written: RefCell::default(),
            unwanted_since: Cell::default(),
            closing: Cell::new(false),
            has_partial_reply: Cell::new(false),
            last_activity: Cell::new(process_clock_millis()),
            close_requested: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// Returns whether an attempt with this id may be sent on this connection now.
    pub(super) fn accepts(&self, txn: &str, now: Millis, sockets: &SocketSettings) -> bool {
        let pending = self.pending.borrow();
        // The connection to an engine that has stopped responding stays open, and no attempt on it would end.
        let interval = sockets.progress_interval;
        let is_silent = interval > 0.0
            && !pending.is_empty()
            && now > self.last_activity.get() + MISSED_PROGRESS_NOTES_AVOID * interval;
        !self.closing.get()
            && !self.has_partial_reply.get()
            && !is_silent
            && pending.len() < sockets.max_streams_per_connection
            && !pending.contains_key(txn)
            && !self.may_receive_late_reply(txn, now)
    }

    /// Returns whether an attempt can be sent on this connection without breaking the exclusive use that
    /// it, or a pending attempt, needs.
    pub(super) fn is_available(&self, exclusive: bool) -> bool {
        let pending = self.pending.borrow();
        let needs_exclusive = exclusive || pending.values().any(|attempt| attempt.exclusive);
        pending.is_empty() || !needs_exclusive
    }

    /// Returns whether replies are pending and the connection has been silent for several intervals of
    /// progress notes. `progress_interval` is in milliseconds; with 0, this is never the case. A
    /// connection with an exclusive attempt never counts as dead: closing it would end an attempt that
    /// may not be retried.
    pub(super) fn is_dead(&self, now: Millis, progress_interval: Millis) -> bool {
        let pending = self.pending.borrow();
        let has_pending_replies = pending
            .values()
            .any(|attempt| !matches!(attempt.stage, Stage::Queued { .. }));
        has_pending_replies
            && progress_interval > 0.0
            && now > self.last_activity.get() + MISSED_PROGRESS_NOTES_DEAD * progress_interval
            && !pending.values().any(|attempt| attempt.exclusive)
    }

    /// Returns whether a result that has begun makes no progress.
    pub(super) fn is_stalled(&self, now: Millis) -> bool {
        let is_stalled = |attempt: &PendingAttempt| {
            matches!(
                attempt.stage,
                Stage::Paging { last_page_at, .. } if now > last_page_at + RESULT_STALL_TIMEOUT_MS
            )
        };
        self.pending.borrow().values().any(is_stalled)
    }

    /// Returns whether a late reply to an ended attempt with this id may still arrive.
    fn may_receive_late_reply(&self, txn: &str, now: Millis) -> bool {
        let id = id_of(txn);
        let ended_ids = self.ended_ids.borrow();
        ended_ids
            .iter()
            .any(|(other, until)| *other == id && now < *until)
    }

    /// Remembers the id of an ended attempt, to which a late reply may arrive. The oldest ids are
    /// dropped, so that memory stays bounded.
    pub(super) fn remember_ended_id(&self, txn: &str, until: Millis) {
        let mut ended_ids = self.ended_ids.borrow_mut();
        let now = process_clock_millis();
        ended_ids.retain(|(_, until)| now < *until);
        if ended_ids.len() >= MAX_ENDED_IDS {
            ended_ids.pop_front();
        }
        ended_ids.push_back((id_of(txn), until));
    }

    /// Cancels an attempt. The cancellation is sent to the engine if the attempt may have started, and a
    /// late reply is ignored.
    pub(super) fn cancel(&self, txn: String) {
        let cancelled = self.pending.borrow_mut().remove(&txn);
        // The connection may be waiting for a file descriptor that it no longer needs.
        self.changed.notify_one();
        let may_have_started =
            cancelled.is_some_and(|attempt| !matches!(attempt.stage, Stage::Queued { .. }));
        if !may_have_started {
            return;
        }
        self.remember_ended_id(&txn, f64::INFINITY);
        if self.partially_written.borrow().as_ref() == Some(&txn) {
            let now = process_clock_millis();
            let since = self.unwanted_since.get().map_or(now, |at| at.min(now));
            self.unwanted_since.set(Some(since));
            self.changed.notify_one();
        }
        if self.commands.try_send(Command::Cancel(txn)).is_err() {
            // The command queue is full or closed: closing the connection ends all attempts on it.
            self.close();
        }
    }

    /// Stops accepting attempts and closes the connection at once.
    pub(super) fn close(&self) {
        self.closing.set(true);
        self.close_requested.notify_one();
    }
}
