//! What one client has asked: its open requests, what was read ahead of them, and what was rejected unread.

use crate::core::{RejectionReason, RequestId, RequestOutcome};
use crate::decision::model::Millis;
use crate::dispatch::{Reply, Upstream};
use crate::frontend::frames::replies::{enqueue_answer, enqueue_reply, enqueue_state};
use crate::frontend::frames::request::{Unusable, Work, parse_class, parse_request};
use crate::frontend::frames::stream_numbers::StreamNumbers;
use crate::frontend::frames::{FramedConnection, Frontend};
use crate::protocol::frames::{Frame, FrameError, code, kind};
use crate::transport::buffer_pool::{BUFFER_BYTES, Buffer};
use crate::transport::client_socket::SocketProbe;
use crate::transport::connection_limiter::{Activity, ConnectionPermit};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Requests open on one connection.
pub(super) const MAX_OPEN_STREAMS: usize = 32;
/// A client that sends what cannot be used waits for this until its next frame is taken up, doubled with each such
/// frame: retries at full speed must not take the others' share of the processor. Its answers are never held back, and
/// what it sends is read ahead.
const PENALTY: Duration = Duration::from_millis(4);
/// The penalty is doubled so often at most.
const MAX_PENALTY_DOUBLINGS: u32 = 6;
/// Frames that are read ahead: all that may be open, twice. While the client has to wait, requests beyond are rejected
/// unread, and so are no reason to stop reading.
const MAX_READ_AHEAD_FRAMES: usize = 2 * MAX_OPEN_STREAMS;
/// Payload bytes that are read ahead.
const MAX_READ_AHEAD_BYTES: usize = 4 * BUFFER_BYTES;
/// Frames that were rejected unread and are not answered yet. A client that sends more, and takes no answers, is cut off:
/// by that it has left as well.
const MAX_UNANSWERED_REJECTIONS: usize = 8192;
/// The reason for a rejection of what exceeds these bounds.
const TOO_MUCH: RejectionReason = RejectionReason::Adapter("too much is open");
/// When a request that was rejected so may be retried.
const TOO_MUCH_RETRY_AFTER_MS: Millis = 100.0;

/// Requests that are open, by stream. Those that are left when the connection ends are abandoned: nobody waits for them
/// any more.
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

/// A frame that was read and not taken up yet.
struct ReadAheadFrame {
    frame: Frame,
    arrived: Millis,
}

/// A frame that was rejected unread and not answered yet.
struct RejectedFrame {
    kind: u8,
    stream: u32,
}

/// What one connection has told of its client.
pub(super) struct Client<'a, U: Upstream<Work = Work, Output = Buffer>> {
    frontend: &'a Frontend<U>,
    permit: &'a ConnectionPermit,
    open: OpenRequests<'a, U>,
    streams: StreamNumbers,
    socket: SocketProbe,
    read_ahead: VecDeque<ReadAheadFrame>,
    /// Payload bytes in `read_ahead`.
    read_ahead_bytes: usize,
    rejected: VecDeque<RejectedFrame>,
    /// Requests in a row that could not be used.
    protocol_errors: u32,
    /// Nothing is taken up before.
    penalty_until: Instant,
    replies: mpsc::Sender<(u32, Reply<Buffer>)>,
}

impl<'a, U: Upstream<Work = Work, Output = Buffer>> Client<'a, U> {
    /// A client that has asked nothing yet; `replies` takes the answers to its requests, by stream.
    pub(super) fn new(
        frontend: &'a Frontend<U>,
        permit: &'a ConnectionPermit,
        socket: SocketProbe,
        replies: mpsc::Sender<(u32, Reply<Buffer>)>,
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
            protocol_errors: 0,
            penalty_until: Instant::now(),
            replies,
        }
    }

    /// Whether every frame has its answer.
    pub(super) fn owes_nothing(&self) -> bool {
        self.open.by_stream.is_empty() && self.read_ahead.is_empty() && self.rejected.is_empty()
    }

    /// Whether no more is read ahead.
    pub(super) fn is_full(&self) -> bool {
        self.read_ahead.len() >= MAX_READ_AHEAD_FRAMES
            || self.read_ahead_bytes >= MAX_READ_AHEAD_BYTES
    }

    /// Whether a frame waits to be taken up.
    pub(super) fn has_read_ahead(&self) -> bool {
        !self.read_ahead.is_empty()
    }

    /// Whether a rejection waits to be answered.
    pub(super) fn has_rejections(&self) -> bool {
        !self.rejected.is_empty()
    }

    /// The next frame is taken up no earlier.
    pub(super) fn penalty_until(&self) -> Instant {
        self.penalty_until
    }

    /// Closes a stream that its answer has come for; false if the client has left it: the answer came too late.
    pub(super) fn close_stream(&mut self, stream: u32) -> bool {
        self.open.by_stream.remove(&stream).is_some()
    }

    /// Takes a whole frame. A leave counts at once, whatever waits before it.
    pub(super) fn receive(&mut self, frame: Frame) -> Result<(), FrameError> {
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
            self.leave(frame.stream);
            return Ok(());
        }
        if self.is_full() {
            return self.reject_unread(frame);
        }
        self.read_ahead_bytes += frame.payload.len();
        self.read_ahead.push_back(ReadAheadFrame {
            frame,
            arrived: self.frontend.router.earliest_arrival(),
        });
        Ok(())
    }

    fn reject_unread(&mut self, frame: Frame) -> Result<(), FrameError> {
        if self.rejected.len() >= MAX_UNANSWERED_REJECTIONS {
            let problem = "more is asked at once than can be answered";
            return Err(io::Error::other(problem).into());
        }
        self.rejected.push_back(RejectedFrame {
            kind: frame.kind,
            stream: frame.stream,
        });
        // One that cannot be read names no class, and is rejected all the same.
        if let Some(class) = parse_class(&self.frontend.router, frame) {
            let router = &self.frontend.router;
            router.record_frontend_answer(class, RequestOutcome::Overload);
        }
        Ok(())
    }

    /// Nobody waits for this stream any more: what is open on it is abandoned, and what is read ahead is dropped.
    pub(super) fn leave(&mut self, stream: u32) {
        if let Some(id) = self.open.by_stream.remove(&stream) {
            self.frontend.router.abandon(id);
            return;
        }
        self.read_ahead
            .retain(|ahead| ahead.frame.kind != kind::REQUEST || ahead.frame.stream != stream);
        let payload_bytes = |ahead: &ReadAheadFrame| ahead.frame.payload.len();
        self.read_ahead_bytes = self.read_ahead.iter().map(payload_bytes).sum();
    }

    /// Answers the first of the frames that were rejected unread.
    pub(super) fn answer_rejection(
        &mut self,
        wire: &mut FramedConnection,
    ) -> Result<(), FrameError> {
        match self.rejected.pop_front() {
            Some(rejected) if rejected.kind == kind::ASK => self.answer_ask(wire, rejected.stream),
            Some(rejected) => enqueue_too_much(wire, rejected.stream),
            None => Ok(()),
        }
    }

    /// Tells a client whether the dispatcher is ready: with any of its processes.
    fn answer_ask(&self, wire: &mut FramedConnection, stream: u32) -> Result<(), FrameError> {
        let is_ready = self.frontend.router.is_ready() || self.frontend.handed_over.get();
        enqueue_state(wire, stream, is_ready)
    }

    /// Takes up the first of the frames that were read ahead.
    pub(super) fn take_up(&mut self, wire: &mut FramedConnection) -> Result<(), FrameError> {
        let Some(ReadAheadFrame { frame, arrived }) = self.read_ahead.pop_front() else {
            return Ok(());
        };
        self.read_ahead_bytes -= frame.payload.len();
        if frame.kind == kind::ASK {
            return self.answer_ask(wire, frame.stream);
        }
        self.open_request(wire, frame, arrived)
    }

    fn open_request(
        &mut self,
        wire: &mut FramedConnection,
        frame: Frame,
        arrived: Millis,
    ) -> Result<(), FrameError> {
        let frontend = self.frontend;
        let stream = frame.stream;
        let parsed = parse_request(&frontend.router, frame.payload, arrived)?;
        let named = parsed.and_then(|(request, work)| {
            // Two under one id would be one to an engine, and the first may be another client's.
            match frontend.ids.reserve(&work.txn) {
                Some(id) => Ok((request, work, id)),
                None => Err(Unusable {
                    class: Some(request.class),
                    reason: "txn: a request of this id is open".to_string(),
                }),
            }
        });
        let (request, mut work, id) = match named {
            Ok(named) => named,
            Err(unusable) => return self.fail_request(wire, stream, &unusable),
        };
        let memory = frontend.budget.reserve(work.statement.len());
        let Some(memory) = memory.filter(|_| self.open.by_stream.len() < MAX_OPEN_STREAMS) else {
            self.record_protocol_error();
            let router = &frontend.router;
            router.record_frontend_answer(request.class, RequestOutcome::Overload);
            return enqueue_too_much(wire, stream);
        };
        work.attach(memory, id, self.socket.clone());
        self.protocol_errors = 0;
        self.permit.set_activity(Activity::Busy, Instant::now());
        // The answer may come before the id is known, so the stream is marked open first.
        self.open.by_stream.insert(stream, 0);
        let replies = self.replies.clone();
        let on_reply = move |reply| drop(replies.try_send((stream, reply)));
        let request_id = frontend.router.open(request, work, Box::new(on_reply));
        self.open.by_stream.insert(stream, request_id);
        Ok(())
    }

    fn fail_request(
        &mut self,
        wire: &mut FramedConnection,
        stream: u32,
        unusable: &Unusable,
    ) -> Result<(), FrameError> {
        self.record_protocol_error();
        if let Some(class) = unusable.class {
            let router = &self.frontend.router;
            router.record_frontend_answer(class, RequestOutcome::Error);
        }
        enqueue_answer(wire, stream, code::FAILED, unusable.reason.as_bytes())
    }

    fn record_protocol_error(&mut self) {
        let doublings = self.protocol_errors.min(MAX_PENALTY_DOUBLINGS);
        self.penalty_until = Instant::now() + PENALTY * (1 << doublings);
        self.protocol_errors += 1;
    }
}

fn enqueue_too_much(wire: &mut FramedConnection, stream: u32) -> Result<(), FrameError> {
    let reply = Reply::Rejected {
        retry_after: Some(TOO_MUCH_RETRY_AFTER_MS),
        reason: TOO_MUCH,
    };
    enqueue_reply(wire, stream, reply)
}
