//! Encodes answers to clients as frames.

use crate::core::FailureReason;
use crate::dispatch::Reply;
use crate::frontend::frames::FramedConnection;
use crate::protocol::frames::{FrameError, OutgoingFrame, code, kind};
use crate::transport::buffer_pool::Buffer;
use crate::transport::memory_budget::{MemoryBudget, Purpose, Reservation};

/// The text of an answer whose result is withheld, because too many answers are unread.
const RESULT_WITHHELD: FailureReason =
    FailureReason::Adapter("the result was withheld: clients read too few of their answers");

/// The final answer to a request, until it is written.
pub(super) struct QueuedReply {
    pub(super) stream: u32,
    pub(super) reply: Reply<Buffer>,
    /// Memory of the result. `None` if the result was withheld, since there was none for it.
    pub(super) memory: Option<Reservation>,
}

impl QueuedReply {
    /// Reserves memory for the result of a request; without it, the request fails.
    pub(super) fn new(stream: u32, reply: Reply<Buffer>, budget: &MemoryBudget) -> Self {
        let result_bytes = match &reply {
            Reply::Served(result) => result.capacity(),
            _ => 0,
        };
        let memory = budget.reserve(result_bytes, Purpose::Small);
        let reply = match &memory {
            Some(_) => reply,
            None => Reply::Failed {
                reason: RESULT_WITHHELD,
            },
        };
        QueuedReply {
            stream,
            reply,
            memory,
        }
    }
}

/// Enqueues the final answer to a request.
pub(super) fn enqueue_reply(
    wire: &mut FramedConnection,
    stream: u32,
    reply: Reply<Buffer>,
) -> Result<(), FrameError> {
    match reply {
        Reply::Served(result) => enqueue_answer(wire, stream, code::SERVED, &result),
        Reply::Rejected {
            retry_after: Some(ms),
            reason,
        } => {
            let retry_after = format!("{}", ms.max(0.0).ceil() as u64);
            wire.enqueue(OutgoingFrame {
                kind: kind::ANSWER,
                stream,
                code: Some(code::REFUSED),
                fields: &[("later", retry_after.as_str())],
                body: reason.as_str().as_bytes(),
            })
        }
        Reply::Rejected {
            retry_after: None,
            reason,
        } => enqueue_answer(wire, stream, code::REFUSED, reason.as_str().as_bytes()),
        Reply::Failed { reason } => {
            enqueue_answer(wire, stream, code::FAILED, reason.as_str().as_bytes())
        }
        Reply::TimedOut { retry_safe: true } => {
            enqueue_answer(wire, stream, code::REFUSED, b"the time is over")
        }
        Reply::TimedOut { retry_safe: false } => enqueue_answer(
            wire,
            stream,
            code::FAILED,
            b"the time is over; it may have run",
        ),
    }
}

/// Enqueues an answer without fields.
pub(super) fn enqueue_answer(
    wire: &mut FramedConnection,
    stream: u32,
    code: u8,
    body: &[u8],
) -> Result<(), FrameError> {
    wire.enqueue(OutgoingFrame {
        kind: kind::ANSWER,
        stream,
        code: Some(code),
        fields: &[],
        body,
    })
}

/// Enqueues the answer to a readiness query.
pub(super) fn enqueue_readiness(
    wire: &mut FramedConnection,
    stream: u32,
    is_ready: bool,
) -> Result<(), FrameError> {
    let code = if is_ready {
        code::SERVED
    } else {
        code::REFUSED
    };
    wire.enqueue(OutgoingFrame {
        kind: kind::STATE,
        stream,
        code: Some(code),
        fields: &[],
        body: &[],
    })
}

/// Enqueues the notice that asks the client to send no new requests.
pub(super) fn enqueue_shutdown_notice(wire: &mut FramedConnection) -> Result<(), FrameError> {
    wire.enqueue(OutgoingFrame {
        kind: kind::GOODBYE,
        stream: 0,
        code: None,
        fields: &[],
        body: &[],
    })
}
