//! Events that are reported to the controller.

use super::{Millis, Query, QueryId};

/// Whether an engine accepts new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// In service: accepts new attempts.
    Ready,
    /// Finishes its attempts in flight and accepts no new ones.
    Draining,
    /// No longer listed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// The engine's id.
    pub engine: String,
    /// Whether it accepts new attempts.
    pub state: EngineState,
    /// When the engine's process last started, ms; `None`: long ago.
    pub started: Option<Millis>,
    /// Number of the engine's kind; `None` is the first kind.
    pub kind: Option<usize>,
    /// Number of the engine's zone.
    pub zone: Option<usize>,
    /// Number of the engine's cell.
    pub cell: i64,
}

/// How a list of entries relates to the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only the entries that changed.
    Patch,
    /// The complete list; an engine that is absent is gone.
    Snapshot,
    /// The complete list as last received before a restart.
    Stale,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Served,
    /// The engine returned an error; the query may have run.
    Error,
    /// The engine rejected it before execution; the query never ran.
    Rejected,
    /// No answer in time; the query may have run.
    TimedOut,
    /// The engine could not be connected to; the query never ran.
    Unreachable,
    /// The connection was reset; the query may have run.
    Reset,
    /// Cancelled by the dispatcher; the query may have run.
    Cancelled,
    /// Never sent.
    NeverStarted,
}

impl Outcome {
    /// Returns whether the engine certainly has not executed any part of the query.
    pub(crate) fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Rejected | Self::Unreachable | Self::NeverStarted
        )
    }

    /// Returns whether the engine itself ended the attempt, which shows that its process responds.
    pub(crate) fn is_response(self) -> bool {
        !matches!(self, Self::TimedOut | Self::Cancelled | Self::NeverStarted)
    }

    /// Returns whether the attempt ended without a response from the engine.
    pub(crate) fn is_unanswered(self) -> bool {
        matches!(self, Self::TimedOut | Self::Cancelled)
    }

    /// Returns whether the outcome shows a fault of the engine or of the connection to it.
    pub(crate) fn is_failure(self) -> bool {
        matches!(self, Self::Error | Self::Unreachable | Self::Reset)
    }

    /// Returns whether the engine lacked capacity for the attempt or did not accept a connection.
    pub(crate) fn lacks_capacity(self) -> bool {
        matches!(self, Self::Rejected | Self::Unreachable)
    }
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The query.
    pub id: QueryId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the query has its final answer, by this attempt or an earlier one.
    pub last: bool,
    /// Duration of the attempt, ms.
    pub latency: Millis,
    /// Actual work, ms of one thread, if answers report it.
    pub work: Option<f64>,
    /// Actual memory use, MB, if answers report it.
    pub memory_mb: Option<f64>,
    /// Load report of the engine; empty if there was none.
    pub report: Vec<f64>,
}

/// What an engine reports about an attempt that is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressNote {
    /// Fraction of the work done so far.
    Completed(f64),
    /// The attempt spills to disk for lack of this much memory, MB.
    SpilledMemory(f64),
    /// The attempt is queued for memory and has not started to run.
    WaitsForMemory,
    /// The attempt is stalled behind a bulk load that locks its tables.
    WaitsForLoad,
    /// The client has no request pending, so the attempt uses no thread; the engine responds.
    Idle,
    /// The client has sent a request again.
    Active,
}

/// An event outside the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list has changed.
    EngineList {
        /// How the entries relate to the previous list.
        update: ListUpdate,
        /// The entries.
        entries: Vec<EngineEntry>,
    },
    /// The subscription to the endpoint list failed.
    DiscoveryFailed,
    /// A query has arrived.
    Query(Query),
    /// An attempt has ended.
    AttemptEnded(Ended),
    /// The load of an engine, from a probe or from another dispatcher's gossip.
    EngineReport {
        /// The engine's id.
        engine: String,
        /// How the probe ended.
        outcome: Outcome,
        /// Load report of the engine; empty if there was none.
        report: Vec<f64>,
    },
    /// An engine has sent a progress note about an attempt in flight.
    Progress {
        /// The query.
        id: QueryId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The progress note.
        note: ProgressNote,
    },
    /// The client has begun to receive the answer, so no other attempt can replace this one.
    Streaming {
        /// The query.
        id: QueryId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// The client no longer waits for this query.
    ClientDisconnected(QueryId),
    /// The requested timer with this token has expired.
    Timer(u64),
}
