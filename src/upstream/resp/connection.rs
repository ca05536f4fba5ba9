//! One connection to an engine, and the attempts on it.

use crate::clock::process_clock_millis;
use crate::config::SocketSettings;
use crate::core::AttemptId;
use crate::decision::model::Millis;
use crate::dispatch::StartAttempt;
use crate::frontend::frames::Work;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, mpsc};

/// A result that has begun goes on within this, or its connection is closed.
const RESULT_STALL_TIMEOUT_MS: Millis = 600.0;
/// A connection that owes replies gets no new attempts once so many progress notes are missed; where engines send none,
/// silence is no sign.
const MISSED_PROGRESS_NOTES_AVOID: f64 = 2.0;
/// Progress notes that are missed before a connection that owes replies counts as dead.
const MISSED_PROGRESS_NOTES_DEAD: f64 = 3.0;
/// Abandoned ids that a connection remembers: a late reply comes soon or never.
const MAX_ABANDONED_IDS: usize = 512;

/// What is to be written on a connection.
pub(super) enum Command {
    /// Send the attempt of this id.
    Send(String),
    /// Cancel it.
    Cancel(String),
}

/// What a command waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum BlockedOn {
    /// Unread input is read first.
    UnreadInput,
    /// The system takes no byte.
    WriteCapacity,
}

/// How far an attempt is on its connection.
pub(super) enum Stage {
    /// Not a byte is written: if the connection ends, the attempt never ran.
    Queued {
        start: StartAttempt,
        work: Rc<Work>,
        /// The system was asked for unread input on its connection.
        input_checked: bool,
    },
    /// Its first byte is written: it may have run.
    Written,
    /// Its first page has arrived.
    Paging {
        pages: Vec<Option<Bytes>>,
        missing_pages: usize,
        result_bytes: usize,
        /// When the last page arrived.
        last_page_at: Millis,
        report: Vec<f64>,
    },
}

/// An attempt that the engine owes a reply to.
pub(super) struct PendingAttempt {
    pub(super) attempt: AttemptId,
    pub(super) alone: bool,
    pub(super) stage: Stage,
}

/// The state that a connection shares with the pool and with its task.
pub(super) struct Connection {
    pub(super) number: u64,
    pub(super) address: SocketAddr,
    pub(super) opened: Millis,
    pub(super) commands: mpsc::Sender<Command>,
    /// The engine has accepted it.
    pub(super) is_established: Cell<bool>,
    pub(super) pending: RefCell<HashMap<String, PendingAttempt>>,
    /// Ids of attempts that ended here, and until when each is remembered: a late reply to one must not pass for that of
    /// a new attempt.
    abandoned: RefCell<VecDeque<(Id, Millis)>>,
    /// The attempt of which some bytes are written and some are not.
    pub(super) partially_written: RefCell<Option<String>>,
    /// Since when that attempt is not wanted, or from when on it will not be.
    pub(super) unwanted_since: Cell<Option<Millis>>,
    /// It takes no new attempts, and ends once it owes nothing.
    pub(super) closing: Cell<bool>,
    /// An incomplete reply has been unread for a while: replies behind it would wait for its rest, which may never come.
    pub(super) has_partial_reply: Cell<bool>,
    /// When the engine last replied here, or was given an attempt while it owed nothing.
    pub(super) last_activity: Cell<Millis>,
    /// Notified when it is to close at once.
    pub(super) close_requested: Notify,
    /// Notified when its task has to look at its state.
    pub(super) changed: Notify,
}

/// A request id, without an allocation.
type Id = [u8; 16];

fn id_of(txn: &str) -> Id {
    let mut id = [0; 16];
    id.iter_mut().zip(txn.bytes()).for_each(|(to, b)| *to = b);
    id
}

impl Connection {
    /// The state of a connection that is not established yet; its task takes the commands.
    pub(super) fn new(number: u64, address: SocketAddr, commands: mpsc::Sender<Command>) -> Self {
        Connection {
            number,
            address,
            opened: process_clock_millis(),
            commands,
            is_established: Cell::new(false),
            pending: RefCell::default(),
            abandoned: RefCell::default(),
            partially_written: RefCell::default(),
            unwanted_since: Cell::default(),
            closing: Cell::new(false),
            has_partial_reply: Cell::new(false),
            last_activity: Cell::new(process_clock_millis()),
            close_requested: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// Whether an attempt with this id may be sent here now.
    pub(super) fn accepts(&self, txn: &str, now: Millis, sockets: &SocketSettings) -> bool {
        let pending = self.pending.borrow();
        // One that has stopped short stays open, and nothing on it comes to an end.
        let interval = sockets.progress_interval;
        let is_silent = interval > 0.0
            && !pending.is_empty()
            && now > self.last_activity.get() + MISSED_PROGRESS_NOTES_AVOID * interval;
        !self.closing.get()
            && !self.has_partial_reply.get()
            && !is_silent
            && pending.len() < sockets.max_streams_per_connection
            && !pending.contains_key(txn)
            && !self.remembers(txn, now)
    }

    /// Whether an attempt can be sent here without sharing where it, or another one here, must be alone.
    pub(super) fn is_free(&self, alone: bool) -> bool {
        let pending = self.pending.borrow();
        let is_shared = alone || pending.values().any(|attempt| attempt.alone);
        pending.is_empty() || !is_shared
    }

    /// Whether it owes replies and has been silent for several intervals of progress notes. One with an attempt that must
    /// be alone is spared: closing it would end what may not be retried.
    pub(super) fn is_dead(&self, now: Millis, notes: Millis) -> bool {
        let pending = self.pending.borrow();
        let owes = pending
            .values()
            .any(|attempt| !matches!(attempt.stage, Stage::Queued { .. }));
        owes && notes > 0.0
            && now > self.last_activity.get() + MISSED_PROGRESS_NOTES_DEAD * notes
            && !pending.values().any(|attempt| attempt.alone)
    }

    /// Whether a result that has begun does not go on.
    pub(super) fn is_stalled(&self, now: Millis) -> bool {
        let is_stalled = |attempt: &PendingAttempt| matches!(attempt.stage, Stage::Paging { last_page_at, .. } if now > last_page_at + RESULT_STALL_TIMEOUT_MS);
        self.pending.borrow().values().any(is_stalled)
    }

    /// Whether a late reply to an attempt of this id may still come.
    fn remembers(&self, txn: &str, now: Millis) -> bool {
        let id = id_of(txn);
        let abandoned = self.abandoned.borrow();
        abandoned
            .iter()
            .any(|(other, until)| *other == id && now < *until)
    }

    /// Remembers an id that a late reply may come for. The oldest are dropped, so that memory stays bounded.
    pub(super) fn abandon(&self, txn: &str, until: Millis) {
        let mut abandoned = self.abandoned.borrow_mut();
        let now = process_clock_millis();
        abandoned.retain(|(_, until)| now < *until);
        if abandoned.len() >= MAX_ABANDONED_IDS {
            abandoned.pop_front();
        }
        abandoned.push_back((id_of(txn), until));
    }

    /// Cancels an attempt: its engine is told if it may have started, and a late reply is ignored.
    pub(super) fn cancel(&self, txn: String) {
        let cancelled = self.pending.borrow_mut().remove(&txn);
        // The connection may wait for a descriptor, which nobody needs any more.
        self.changed.notify_one();
        let may_have_started =
            cancelled.is_some_and(|attempt| !matches!(attempt.stage, Stage::Queued { .. }));
        if !may_have_started {
            return;
        }
        self.abandon(&txn, f64::INFINITY);
        if self.partially_written.borrow().as_ref() == Some(&txn) {
            let now = process_clock_millis();
            let since = self.unwanted_since.get().map_or(now, |at| at.min(now));
            self.unwanted_since.set(Some(since));
            self.changed.notify_one();
        }
        if self.commands.try_send(Command::Cancel(txn)).is_err() {
            // It takes no commands any more: closing it abandons all that is on it.
            self.close();
        }
    }

    /// Takes no new attempts, and ends at once.
    pub(super) fn close(&self) {
        self.closing.set(true);
        self.close_requested.notify_one();
    }
}
