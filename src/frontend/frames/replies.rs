//! Encodes answers to clients as frames.

use crate::dispatch::Reply;
use crate::frontend::frames::FramedConnection;
use crate::protocol::frames::{FrameError, OutgoingFrame, code, kind};
use crate::transport::buffer_pool::Buffer;

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
