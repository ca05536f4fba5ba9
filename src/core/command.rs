//! Input and output types of the core: new requests in, commands out.

use crate::core::answer::Answer;
use crate::decision::model::{ClassId, Millis, QueryId};

/// Identifies a request within its process; never reused.
pub type RequestId = QueryId;

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Zero-based index among the request's attempts.
    pub index: u32,
}

/// A request as received by a frontend.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Class of the request, as an index into the settings.
    pub class: ClassId,
    /// Tenant of the request, as an index into the settings; `None` if no quota applies.
    pub tenant: Option<usize>,
    /// Table group that the request reads or writes.
    pub group: Option<u64>,
    /// Time at which the client gives up, in milliseconds on the process clock.
    pub deadline: Millis,
    /// The client's estimate of the execution time, in milliseconds on one thread.
    pub work: Option<f64>,
    /// The client's estimate of the required memory, in megabytes.
    pub memory_mb: Option<f64>,
}

/// A side effect that the adapters have to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt to its engine.
    Start(StartAttempt),
    /// Cancel an attempt. The outcome of the attempt is no longer reported.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptId,
    },
    /// Send the final answer to a request.
    Answer {
        /// The answered request.
        request: RequestId,
        /// The final answer.
        answer: Answer,
    },
    /// Write a line to the log.
    Log(String),
    /// Send a gossip message to every peer.
    Broadcast(Vec<u8>),
}

/// An attempt that an upstream has to start.
#[derive(Clone, Debug, PartialEq)]
pub struct StartAttempt {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Id of the engine that the attempt is sent to.
    pub engine: String,
    /// Time at which the attempt times out, in milliseconds on the process clock.
    pub deadline: Millis,
    /// Time by which the attempt must be written in full, in milliseconds on the process clock; a later write
    /// is not allowed, because engines no longer recognize the attempt as a duplicate of an earlier one.
    /// Infinite if there is no such limit.
    pub write_by: Millis,
    /// Memory grant of the attempt, in megabytes; 0 lets the engine choose the grant.
    pub memory_mb: f64,
    /// Whether the attempt needs a connection of its own. True for non-idempotent requests: a fault of
    /// another attempt on a shared connection could end this one, and it could not be retried.
    pub exclusive_connection: bool,
}
