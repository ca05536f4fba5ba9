//! What happens outside and is reported to the controller.

use super::{Millis, Query, QueryId};

/// Whether an engine accepts new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// In service.
    Ready,
    /// Finishes what it has and accepts nothing new.
    Draining,
    /// No longer listed.
    Gone,
}

/// One entry of the engine list.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// The engine's id.
    pub engine: String,
    /// Whether it accepts new attempts.
    pub state: EngineState,
    /// When its process last started, ms; `None` is long ago.
    pub started: Option<Millis>,
    /// Its kind, by number; `None` is the first.
    pub kind: Option<usize>,
    /// Its zone, by number.
    pub zone: Option<usize>,
    /// Its cell, by number.
    pub cell: i64,
}

/// How a list of entries relates to the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only what changed.
    Patch,
    /// The complete list; an engine that is absent is gone.
    Snapshot,
    /// The complete list as last seen before a restart.
    Stale,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Served,
    /// The engine gave an error; may have run.
    Error,
    /// Rejected before execution; never ran.
    Rejected,
    /// No answer in time; may have run.
    TimedOut,
    /// No connection; never ran.
    Unreachable,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled by the dispatcher; may have run.
    Cancelled,
    /// Never sent.
    NeverStarted,
}

impl Outcome {
    /// The engine is certain not to have executed any of it.
    pub(crate) fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Rejected | Self::Unreachable | Self::NeverStarted
        )
    }

    /// The engine itself ended it, so that its process responds.
    pub(crate) fn is_response(self) -> bool {
        !matches!(self, Self::TimedOut | Self::Cancelled | Self::NeverStarted)
    }

    /// It ended without a word from the engine.
    pub(crate) fn is_unanswered(self) -> bool {
        matches!(self, Self::TimedOut | Self::Cancelled)
    }

    /// A fault of the engine or of the way to it.
    pub(crate) fn is_failure(self) -> bool {
        matches!(self, Self::Error | Self::Unreachable | Self::Reset)
    }

    /// The engine had no capacity for it, or did not accept a connection.
    pub(crate) fn lacks_capacity(self) -> bool {
        matches!(self, Self::Rejected | Self::Unreachable)
    }
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The query.
    pub id: QueryId,
    /// Which of its attempts, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// The query is over, by this or before.
    pub last: bool,
    /// Time it took, ms.
    pub latency: Millis,
    /// True work, ms of one thread, where answers report it.
    pub work: Option<f64>,
    /// True memory, MB, where answers report it.
    pub memory_mb: Option<f64>,
    /// The engine's load report; empty if there was none.
    pub report: Vec<f64>,
}

/// What an engine reports of an attempt that has not ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressNote {
    /// Fraction of the work done so far.
    Completed(f64),
    /// Spills to disk: this many MB short.
    SpilledMemory(f64),
    /// Queued for memory; nothing has run.
    WaitsForMemory,
    /// Stalled behind a bulk load that locks its tables.
    WaitsForLoad,
    /// Its client asks nothing of it now, so that it uses no thread; the engine responds.
    Idle,
    /// Its client has asked for something again.
    Active,
}

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum Event {
    /// The engine list has changed.
    EngineList {
        /// How the entries relate to the list before.
        update: ListUpdate,
        /// The entries.
        entries: Vec<EngineEntry>,
    },
    /// The subscription to the engine list failed.
    DiscoveryFailed,
    /// A query has arrived.
    Query(Query),
    /// An attempt has ended.
    AttemptEnded(Ended),
    /// An engine's load, from a probe or as gossip from another dispatcher.
    EngineReport {
        /// The engine's id.
        engine: String,
        /// How the probe ended.
        outcome: Outcome,
        /// The load report; empty if there was none.
        report: Vec<f64>,
    },
    /// An engine reports of an attempt that has not ended.
    Progress {
        /// The query.
        id: QueryId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// The report.
        note: ProgressNote,
    },
    /// The client has begun to receive the answer: no other attempt can replace this one.
    Streaming {
        /// The query.
        id: QueryId,
        /// Which of its attempts, from 0.
        attempt: u32,
    },
    /// The client no longer waits for this query.
    ClientDisconnected(QueryId),
    /// A timer that was requested has expired.
    Timer(u64),
}
