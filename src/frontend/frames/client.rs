//! Tracks the requests of one client: open requests, frames that were read ahead, and frames that were
//! rejected unprocessed.

use crate::core::{NewRequest, RejectionReason, RequestId, RequestOutcome};
use crate::decision::model::Millis;
use crate::dispatch::{Reply, Upstream};
use crate::frontend::frames::replies::{
    QueuedReply, enqueue_answer, enqueue_readiness, enqueue_reply,
};
use crate::frontend::frames::request::{InvalidRequest, Work, parse_class, parse_request};
use crate::frontend::frames::request_ids::ReservedId;
use crate::frontend::frames::statistics::RejectionCause;
use crate::frontend::frames::stream_numbers::StreamNumbers;
use crate::frontend::frames::{FramedConnection, Frontend};
use crate::protocol::frames::{Frame, FrameError, Payload, code, kind};
use crate::transport::buffer_pool::{BUFFER_BYTES, Buffer};
use crate::transport::client_socket::SocketProbe;
use crate::transport::connection_limiter::{Activity, ConnectionPermit};
use crate::transport::memory_budget::Reservation;
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Maximum number of requests that are open on one connection.
pub(super) const MAX_OPEN_STREAMS: usize = 32;
/// Delay before the next frame of a client is processed after an invalid request. It doubles with each
/// further one: retries at full speed must not take other clients' share of the processor. Answers to a
/// throttled client are never delayed, and its frames are read ahead.
const THROTTLE_DELAY: Duration = Duration::from_millis(4);
/// Maximum number of times that the delay is doubled.
const MAX_THROTTLE_DOUBLINGS: u32 = 6;
/// Maximum number of frames that are read ahead: twice as many as may be open. Further requests of a
/// throttled client are rejected unprocessed, so that reading need not stop.
const MAX_READ_AHEAD_FRAMES: usize = 2 * MAX_OPEN_STREAMS;
/// Number of payload bytes at which no further frame is read ahead.
const MAX_READ_AHEAD_BYTES: usize = 4 * BUFFER_BYTES;
/// Maximum number of frames that were rejected unprocessed and are not answered yet. A client that sends more
/// without reading its answers is disconnected, which cancels its requests.
const MAX_UNANSWERED_REJECTIONS: usize = 8192;
/// Number of these frames for which no memory is reserved: requests are rejected just when there is none.
const UNRESERVED_REJECTIONS: usize = 256;
/// Reason for rejecting requests beyond these limits.
const LIMIT_EXCEEDED: RejectionReason = RejectionReason::Adapter("too much is open");
/// Time after which a request that was rejected for this reason may be retried, in milliseconds.
const LIMIT_EXCEEDED_RETRY_AFTER_MS: Millis = 100.0;

/// Open requests by stream. Requests that are still open when the connection ends are abandoned, since no
/// client waits for them any more.
struct OpenRequests<'a, U: Upstream<Work = Work, Output = Buffer>> {
    frontend: &'a Frontend<U>,
    by_stream: HashMap<u32, RequestId>,
}

impl<U: Upstream<Work = Work, Output = Buffer>> Drop for OpenRequests<'_, U> {
    fn drop(&mut self) {
        for (_, id) in std::mem::take(&mut self.by_stream) {
            self.frontend.router.abandon(id);
        }
    }
}

/// A frame that was read and is not processed yet.
struct ReadAheadFrame {
    kind: u8,
    stream: u32,
    /// Payload of a request; empty in other frames.
    payload: Bytes,
    memory: Reservation,
    arrived: Millis,
}

/// A frame that was rejected unprocessed and is not answered yet.
struct RejectedFrame {
    kind: u8,
    stream: u32,
}

/// The state of one connection's client.
pub(super) struct Client<'a, U: Upstream<Work = Work, Output = Buffer>> {
    frontend: &'a Frontend<U>,
    permit: &'a ConnectionPermit,
    open: OpenRequests<'a, U>,
    streams: StreamNumbers,
    socket: SocketProbe,
    read_ahead: VecDeque<ReadAheadFrame>,
    /// Number of payload bytes in `read_ahead`.
    read_ahead_bytes: usize,
    rejected: VecDeque<RejectedFrame>,
    rejected_memory: Reservation,
    /// Number of consecutive requests that were invalid or beyond a limit.
    protocol_errors: u32,
    /// No frame is processed before this time.
    throttled_until: Instant,
    replies: mpsc::Sender<QueuedReply>,
}

impl<'a, U: Upstream<Work = Work, Output = Buffer>> Client<'a, U> {
    /// Creates a client without requests. The answers to its requests are sent to `replies`, with their
    /// streams.
    pub(super) fn new(
        frontend: &'a Frontend<U>,
        permit: &'a ConnectionPermit,
        socket: SocketProbe,
        replies: mpsc::Sender<QueuedReply>,
    ) -> Self {
        Client {
            frontend,
            permit,
            open: OpenRequests {
                frontend,
                by_stream: HashMap::new(),
            },
            streams: StreamNumbers::default(),
            socket,
            read_ahead: VecDeque::new(),
            read_ahead_bytes: 0,
            rejected: VecDeque::new(),
            rejected_memory: frontend.request_memory.empty_reservation(),
            protocol_errors: 0,
            throttled_until: Instant::now(),
            replies,
        }
    }

    /// Returns whether every frame of the client has been answered.
    pub(super) fn is_fully_answered(&self) -> bool {
        self.open.by_stream.is_empty() && self.read_ahead.is_empty() && self.rejected.is_empty()
    }

    /// Returns whether a limit of the read-ahead is reached.
    pub(super) fn is_read_ahead_full(&self) -> bool {
        self.read_ahead.len() >= MAX_READ_AHEAD_FRAMES
            || self.read_ahead_bytes >= MAX_READ_AHEAD_BYTES
    }

    /// Returns whether a frame that was read ahead is waiting to be processed.
    pub(super) fn has_read_ahead(&self) -> bool {
        !self.read_ahead.is_empty()
    }

    /// Returns whether a rejected frame is waiting to be answered.
    pub(super) fn has_rejections(&self) -> bool {
        !self.rejected.is_empty()
    }

    /// Returns the time before which no frame is processed.
    pub(super) fn throttled_until(&self) -> Instant {
        self.throttled_until
    }

    /// Returns the number of open requests.
    pub(super) fn open_requests(&self) -> usize {
        self.open.by_stream.len()
    }

    /// Closes a stream when its answer is available; returns false if the client has cancelled the request
    /// before.
    pub(super) fn close_stream(&mut self, stream: u32) -> bool {
        self.open.by_stream.remove(&stream).is_some()
    }

    /// Accepts a complete frame. A cancel frame takes effect at once, whatever frames wait before it.
    ///
    /// `no_input_at` is when the socket last had no input, in milliseconds on the process clock: the frame arrived
    /// later.
    pub(super) fn receive(&mut self, frame: Frame, no_input_at: Millis) -> Result<(), FrameError> {
        if !matches!(frame.kind, kind::REQUEST | kind::LEAVE | kind::ASK) {
            return Err(FrameError::Kind(frame.kind));
        }
        if self.open.by_stream.is_empty() {
            let activity = self.permit.activity().max(Activity::Probed);
            self.permit.set_activity(activity, Instant::now());
        }
        if frame.kind == kind::REQUEST && !self.streams.insert(frame.stream) {
            return Err(FrameError::Stream(frame.stream));
        }
        if frame.kind == kind::LEAVE {
            self.cancel(frame.stream);
            return Ok(());
        }
        let (payload, memory) = match frame.payload {
            Payload::Kept { bytes, memory } => (bytes, memory),
            Payload::Ignored => (Bytes::new(), Reservation::default()),
            Payload::Denied => {
                let cause = RejectionCause::RequestMemory;
                return self.reject_unread(frame.kind, frame.stream, cause);
            }
        };
        if self.is_read_ahead_full() {
            // A malformed request or one of an unknown class is rejected without being counted.
            if let Some(class) = parse_class(&self.frontend.router, &payload) {
                let router = &self.frontend.router;
                router.record_frontend_answer(class, RequestOutcome::Overload);
            }
            let cause = RejectionCause::ReadAheadFull;
            return self.reject_unread(frame.kind, frame.stream, cause);
        }
        self.read_ahead_bytes += payload.len();
        self.read_ahead.push_back(ReadAheadFrame {
            kind: frame.kind,
            stream: frame.stream,
            payload,
            memory,
            arrived: self.frontend.router.earliest_arrival().max(no_input_at),
        });
        Ok(())
    }

    fn reject_unread(
        &mut self,
        kind: u8,
        stream: u32,
        cause: RejectionCause,
    ) -> Result<(), FrameError> {
        self.frontend.statistics.record_rejection(cause);
        let reserved_entries = (self.rejected.len() + 1).saturating_sub(UNRESERVED_REJECTIONS);
        let queue_bytes = reserved_entries * size_of::<RejectedFrame>();
        if self.rejected.len() >= MAX_UNANSWERED_REJECTIONS
            || !self.rejected_memory.resize(queue_bytes)
        {
            let problem = "the client sends more frames than it reads answers for";
            return Err(io::Error::other(problem).into());
        }
        self.rejected.push_back(RejectedFrame { kind, stream });
        Ok(())
    }

    /// Cancels the request on a stream: abandons it if it is open, or drops it if it was only read ahead.
    pub(super) fn cancel(&mut self, stream: u32) {
        if let Some(id) = self.open.by_stream.remove(&stream) {
            self.frontend.router.abandon(id);
            return;
        }
        self.read_ahead
            .retain(|ahead| ahead.kind != kind::REQUEST || ahead.stream != stream);
        let payload_bytes = |ahead: &ReadAheadFrame| ahead.payload.len();
        self.read_ahead_bytes = self.read_ahead.iter().map(payload_bytes).sum();
    }

    /// Answers the first of the frames that were rejected unprocessed.
    pub(super) fn answer_rejection(
        &mut self,
        wire: &mut FramedConnection,
    ) -> Result<(), FrameError> {
        let Some(rejected) = self.rejected.pop_front() else {
            return Ok(());
        };
        if self.rejected.is_empty() {
            self.rejected = VecDeque::new();
            self.rejected_memory.resize(0);
        }
        match rejected.kind {
            kind::ASK => self.answer_readiness_query(wire, rejected.stream),
            _ => enqueue_limit_exceeded(wire, rejected.stream),
        }
    }

    /// Answers whether the dispatcher is ready; another process that accepts its clients suffices.
    fn answer_readiness_query(
        &self,
        wire: &mut FramedConnection,
        stream: u32,
    ) -> Result<(), FrameError> {
        let is_ready = self.frontend.router.is_ready() || self.frontend.handed_over.get();
        enqueue_readiness(wire, stream, is_ready)
    }

    /// Processes the first of the frames that were read ahead.
    pub(super) fn process_next_frame(
        &mut self,
        wire: &mut FramedConnection,
    ) -> Result<(), FrameError> {
        let Some(frame) = self.read_ahead.pop_front() else {
            return Ok(());
        };
        self.read_ahead_bytes -= frame.payload.len();
        if frame.kind == kind::ASK {
            return self.answer_readiness_query(wire, frame.stream);
        }
        self.open_request(wire, frame)
    }

    fn open_request(
        &mut self,
        wire: &mut FramedConnection,
        frame: ReadAheadFrame,
    ) -> Result<(), FrameError> {
        let frontend = self.frontend;
        let stream = frame.stream;
        let parsed = parse_request(&frontend.router, &frame.payload, frame.arrived)?;
        let admitted = parsed.and_then(|(request, work)| self.admit(request, work));
        let (request, mut work, id) = match admitted {
            Ok(admitted) => admitted,
            Err(invalid) => return self.answer_invalid(wire, stream, &invalid),
        };
        work.attach(frame.memory, id, self.socket.clone());
        self.protocol_errors = 0;
        self.permit.set_activity(Activity::Busy, Instant::now());
        // The answer may arrive before the request id is known, so the stream is marked open first.
        self.open.by_stream.insert(stream, 0);
        let replies = self.replies.clone();
        let memory = frontend.answer_memory.clone();
        let on_reply = move |reply| {
            drop(replies.try_send(QueuedReply::new(stream, reply, &memory)));
        };
        let request_id = frontend.router.open(request, work, Box::new(on_reply));
        self.open.by_stream.insert(stream, request_id);
        Ok(())
    }

    /// Reserves the id of a request, unless too many are open.
    fn admit(
        &self,
        request: NewRequest,
        work: Work,
    ) -> Result<(NewRequest, Work, ReservedId), InvalidRequest> {
        if self.open.by_stream.len() >= MAX_OPEN_STREAMS {
            return Err(InvalidRequest::too_many_open(request.class));
        }
        // An engine takes two requests with one id for the same, and the first may be another client's.
        let must_not_run_twice = !self.frontend.router.is_idempotent(request.class);
        match self.frontend.ids.reserve(&work.txn, must_not_run_twice) {
            Ok(id) => Ok((request, work, id)),
            Err(conflict) => Err(InvalidRequest::id_conflict(request.class, conflict)),
        }
    }

    /// Answers a request that is not opened: as failed, or as refused if it never ran and may be sent again.
    fn answer_invalid(
        &mut self,
        wire: &mut FramedConnection,
        stream: u32,
        invalid: &InvalidRequest,
    ) -> Result<(), FrameError> {
        self.record_protocol_error();
        self.frontend.statistics.record_rejection(invalid.cause);
        let may_be_retried = invalid.cause.may_be_retried();
        if let Some(class) = invalid.class {
            let outcome = match may_be_retried {
                true => RequestOutcome::Overload,
                false => RequestOutcome::Error,
            };
            self.frontend.router.record_frontend_answer(class, outcome);
        }
        if may_be_retried {
            return enqueue_limit_exceeded(wire, stream);
        }
        enqueue_answer(wire, stream, code::FAILED, invalid.reason.as_bytes())
    }

    fn record_protocol_error(&mut self) {
        let doublings = self.protocol_errors.min(MAX_THROTTLE_DOUBLINGS);
        self.throttled_until = Instant::now() + THROTTLE_DELAY * (1 << doublings);
        self.protocol_errors += 1;
    }
}

fn enqueue_limit_exceeded(wire: &mut FramedConnection, stream: u32) -> Result<(), FrameError> {
    let reply = Reply::Rejected {
        retry_after: Some(LIMIT_EXCEEDED_RETRY_AFTER_MS),
        reason: LIMIT_EXCEEDED,
    };
    enqueue_reply(wire, stream, reply)
}
