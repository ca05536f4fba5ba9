//! Serves one client connection. Reads and writes wait for nothing but the socket: input is read even while
//! the client does not read its answers, is throttled after invalid requests, or has sent a malformed frame.
//! Thus a cancel frame, a close or a reset is seen at once, behind any number of frames, and the request that
//! it cancels is not forwarded afterwards.

use crate::dispatch::Upstream;
use crate::frontend::frames::client::{Client, MAX_OPEN_STREAMS};
use crate::frontend::frames::replies::{
    QueuedReply, enqueue_answer, enqueue_reply, enqueue_shutdown_notice,
};
use crate::frontend::frames::request::Work;
use crate::frontend::frames::statistics::{CloseReason, RejectionCause};
use crate::frontend::frames::{FramedConnection, Frontend, Phase};
use crate::log_line;
use crate::protocol::frames::{Frame, FrameCodec, FrameError, code, kind};
use crate::transport::buffer_pool::{BUFFER_BYTES, Buffer};
use crate::transport::connection_limiter::{Activity, ConnectionPermit, EVICTION_GRACE};
use crate::transport::framed_connection::{ConnectionEvent, ReadInterest, Socket};
use crate::transport::memory_budget::Reservation;
use crate::transport::pending_input::{self, PendingInput};
use std::io;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::Interval;

/// Time limit for a stalled write: a client that reads nothing for this long is disconnected.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a connection without a request is closed. Clients close theirs after 4 s; connections
/// that some clients keep open indefinitely would use up the permits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for the first complete request on a new connection, and for any frame to arrive completely.
const FRAME_TIMEOUT: Duration = Duration::from_millis(2000);
/// Interval at which these time limits are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of frames that are read in a row before the other events of the connection are handled.
const MAX_READ_BURST: usize = 64;
/// Number of bytes of skipped input that are read per [`SKIP_PERIOD`]. Input beyond the read-ahead limits or
/// after a protocol error is read only for its cancel frames and for the end of the connection. At this
/// rate all that the kernel buffers for a connection (6 MB), and all that may be rejected unprocessed, is
/// read within 0.05 s: half of the 0.1 s after which no attempt may start for a client that has disconnected.
/// Other connections keep their share of the processor.
const MAX_SKIPPED_BYTES: usize = 16 * BUFFER_BYTES;
/// Period of the limit on skipped input.
const SKIP_PERIOD: Duration = Duration::from_millis(1);
/// Minimum number of bytes that a skipped frame counts as.
const MIN_SKIPPED_FRAME_BYTES: usize = 1024;

/// The outcome of a connection: an error if it ended abnormally.
pub(super) type ConnectionResult = Result<CloseReason, FrameError>;

/// Serves one client connection until it is closed, and logs an abnormal end.
pub(super) async fn serve_connection<U: Upstream<Work = Work, Output = Buffer>>(
    frontend: &Frontend<U>,
    permit: &ConnectionPermit,
    tcp: TcpStream,
) -> ConnectionResult {
    tcp.set_nodelay(true)?;
    let peer = tcp.peer_addr();
    let codec = FrameCodec::new(frontend.request_memory.clone());
    let mut wire = FramedConnection::new(&frontend.pool, tcp.into(), codec);
    let mut connection = Connection::new(frontend, permit, &mut wire);
    let result = connection.run().await;
    if let Err(error) = &result {
        let peer = peer.map_or_else(|_| "unknown".to_string(), |peer| peer.to_string());
        let open_requests = connection.client.open_requests();
        let frame_bytes = connection.wire.read_buffer().len();
        log_line!(
            "client {peer}: {error} ({open_requests} requests open, {frame_bytes} bytes of a frame)"
        );
    }
    result
}

/// An event on a connection.
enum Event {
    /// The answer to a request is available.
    Reply(QueuedReply),
    /// The socket was read or written.
    Wire(ConnectionEvent<Frame, FrameError>),
    /// The phase of the shutdown has changed.
    PhaseChanged,
    /// The connection is evicted.
    Evicted,
    /// A frame that was read ahead may be processed.
    FrameDue,
    /// A rejected frame may be answered.
    RejectionDue,
    /// The period has ended, so further input may be skipped.
    SkipPeriodOver,
    /// The time limits are due to be checked.
    Check,
    /// Other tasks have run, so frames may be read again.
    BurstOver,
}

struct Connection<'a, U: Upstream<Work = Work, Output = Buffer>> {
    frontend: &'a Frontend<U>,
    permit: &'a ConnectionPermit,
    wire: &'a mut FramedConnection,
    client: Client<'a, U>,
    replies: mpsc::Receiver<QueuedReply>,
    /// Memory of the result that is being written.
    written_result: Option<Reservation>,
    phase: watch::Receiver<Phase>,
    /// The phase that was last handled on this connection.
    handled_phase: Phase,
    checks: Interval,
    /// Why the connection closes once all frames are answered and no input is unread, if it does.
    closing: Option<CloseReason>,
    /// The client's protocol error. After it, only cancel frames and the end of the connection are heeded.
    protocol_error: Option<FrameError>,
    /// Time for which a frame has been incomplete.
    incomplete_for: Duration,
    /// Number of frames read in a row.
    read_burst: usize,
    /// Number of bytes of skipped input read in this period.
    skipped_bytes: usize,
    skip_period_start: Instant,
}

impl<'a, U: Upstream<Work = Work, Output = Buffer>> Connection<'a, U> {
    fn new(
        frontend: &'a Frontend<U>,
        permit: &'a ConnectionPermit,
        wire: &'a mut FramedConnection,
    ) -> Self {
        // Each open stream has at most one answer in the channel, so the channel never fills.
        let (reply_sender, replies) = mpsc::channel(2 * MAX_OPEN_STREAMS);
        let mut phase = frontend.phase.subscribe();
        phase.mark_changed();
        let socket = wire.get_ref().probe();
        Connection {
            frontend,
            permit,
            client: Client::new(frontend, permit, socket, reply_sender),
            wire,
            replies,
            written_result: None,
            phase,
            handled_phase: Phase::Serving,
            checks: tokio::time::interval(CHECK_INTERVAL),
            closing: None,
            protocol_error: None,
            incomplete_for: Duration::ZERO,
            read_burst: 0,
            skipped_bytes: 0,
            skip_period_start: Instant::now(),
        }
    }

    async fn run(&mut self) -> ConnectionResult {
        loop {
            if self.has_client_left() {
                return self.closed_by_client();
            }
            if self.client.is_fully_answered()
                && self.wire.is_flushed()
                && let ControlFlow::Break(result) = self.handle_no_pending_answers().await
            {
                return result;
            }
            self.wire.release_buffers();
            let event = self.next_event().await;
            if let ControlFlow::Break(result) = self.handle(event)? {
                return result;
            }
        }
    }

    /// Handles a connection without pending answers: closes it if it is closing, and otherwise marks it as
    /// idle.
    async fn handle_no_pending_answers(&mut self) -> ControlFlow<ConnectionResult> {
        if let Some(protocol_error) = self.protocol_error.take() {
            self.wire.close_gracefully().await;
            return ControlFlow::Break(Err(protocol_error));
        }
        if self.permit.activity() == Activity::Busy {
            self.permit.set_activity(Activity::Idle, Instant::now());
        }
        if let Some(reason) = self.closing
            && !self.is_within_frame()
            && pending_input::peek(self.wire.get_ref().tcp()) != PendingInput::Bytes
        {
            self.close().await;
            return ControlFlow::Break(Ok(reason));
        }
        ControlFlow::Continue(())
    }

    /// Closes the connection once all frames are answered and no input is unread.
    fn close_when_answered(&mut self, reason: CloseReason) {
        self.closing.get_or_insert(reason);
    }

    /// Returns the outcome of a connection that its client has closed.
    fn closed_by_client(&mut self) -> ConnectionResult {
        match self.protocol_error.take() {
            Some(protocol_error) => Err(protocol_error),
            None => Ok(CloseReason::ClosedByClient),
        }
    }

    /// Returns whether the client has left while it has unanswered frames. What it sent before is not read any
    /// more: reading all of it may take longer than attempts may start after the close.
    fn has_client_left(&self) -> bool {
        !self.client.is_fully_answered()
            && pending_input::is_closed_by_peer(self.wire.get_ref().tcp())
    }

    /// Enqueues an answer, unless the client has cancelled its request.
    fn enqueue_reply(&mut self, queued: QueuedReply) -> Result<(), FrameError> {
        if !self.client.close_stream(queued.stream) {
            return Ok(());
        }
        if queued.memory.is_none() {
            let statistics = &self.frontend.statistics;
            statistics.record_rejection(RejectionCause::AnswerMemory);
        }
        self.written_result = queued.memory;
        enqueue_reply(self.wire, queued.stream, queued.reply)
    }

    /// Returns whether a part of a frame has been read.
    fn is_within_frame(&self) -> bool {
        !self.wire.read_buffer().is_empty() || self.wire.codec().is_within_frame()
    }

    /// Closes the connection after the client has read the last answer. The kernel has accepted it, but on
    /// an immediate close further input from the client would cause a reset, which discards the answer. An
    /// evicted connection is given no longer than [`EVICTION_GRACE`], after which another connection is
    /// evicted as well.
    async fn close(&mut self) {
        if self.permit.activity() == Activity::NoRequest {
            return;
        }
        let inactive_for = self.permit.active_since().elapsed();
        if self.permit.is_evicted() {
            if inactive_for < EVICTION_GRACE {
                self.wire.close_gracefully_within(EVICTION_GRACE).await;
            }
        } else if inactive_for < WRITE_STALL_TIMEOUT && self.frontend.may_linger() {
            self.wire.close_gracefully().await;
        }
    }

    /// Returns what is read next.
    fn read_interest(&self, has_write_capacity: bool) -> ReadInterest {
        let may_process = has_write_capacity
            && self.client.has_read_ahead()
            && self.client.throttled_until() <= Instant::now();
        if self.skipped_bytes >= MAX_SKIPPED_BYTES
            || self.read_burst >= MAX_READ_BURST
            || self.client.is_read_ahead_full() && may_process
        {
            return ReadInterest::Paused;
        }
        match self.protocol_error {
            // Without a valid length, the start of the next frame is unknown.
            Some(FrameError::Length(_)) => ReadInterest::Discard,
            _ => ReadInterest::Items,
        }
    }

    /// Waits for the next event. Answers come first, then the socket, then shutdown and eviction, then frames
    /// that wait to be processed or answered.
    async fn next_event(&mut self) -> Event {
        let has_write_capacity = self.wire.write_buffer().len() < BUFFER_BYTES;
        let reads = self.read_interest(has_write_capacity);
        let process_at: tokio::time::Instant = self.client.throttled_until().into();
        let skip_period_end: tokio::time::Instant = (self.skip_period_start + SKIP_PERIOD).into();
        tokio::select! {
            biased;
            Some(reply) = self.replies.recv(), if has_write_capacity => Event::Reply(reply),
            event = self.wire.next_event(reads, false) => Event::Wire(event),
            Ok(()) = self.phase.changed() => Event::PhaseChanged,
            () = self.permit.eviction.notified() => Event::Evicted,
            () = tokio::time::sleep_until(process_at),
                if has_write_capacity && self.client.has_read_ahead() => Event::FrameDue,
            () = std::future::ready(()),
                if has_write_capacity && self.client.has_rejections() => Event::RejectionDue,
            () = tokio::time::sleep_until(skip_period_end),
                if self.skipped_bytes >= MAX_SKIPPED_BYTES => Event::SkipPeriodOver,
            _ = self.checks.tick() => Event::Check,
            () = tokio::task::yield_now(), if self.read_burst >= MAX_READ_BURST => {
                Event::BurstOver
            }
        }
    }

    fn handle(&mut self, event: Event) -> Result<ControlFlow<ConnectionResult>, FrameError> {
        match event {
            Event::Reply(reply) => self.enqueue_reply(reply)?,
            Event::Wire(event) => return self.handle_wire(event),
            Event::PhaseChanged => self.handle_phase_change()?,
            Event::Evicted => self.close_when_answered(CloseReason::Evicted),
            Event::FrameDue => {
                self.read_burst = 0;
                if let Err(error) = self.client.process_next_frame(self.wire) {
                    self.report_protocol_error(error)?;
                }
            }
            Event::RejectionDue => self.client.answer_rejection(self.wire)?,
            Event::SkipPeriodOver => {
                self.skipped_bytes = 0;
                self.skip_period_start = Instant::now();
            }
            Event::Check => self.check()?,
            Event::BurstOver => self.read_burst = 0,
        }
        Ok(ControlFlow::Continue(()))
    }

    fn handle_wire(
        &mut self,
        event: ConnectionEvent<Frame, FrameError>,
    ) -> Result<ControlFlow<ConnectionResult>, FrameError> {
        match event {
            ConnectionEvent::Written => self.written_result = None,
            ConnectionEvent::Writable => {}
            ConnectionEvent::Discarded(bytes) => self.skipped_bytes += bytes,
            ConnectionEvent::Closed => {
                return Ok(ControlFlow::Break(self.closed_by_client()));
            }
            ConnectionEvent::Failed(FrameError::Io(error))
                if error.kind() == io::ErrorKind::ConnectionReset =>
            {
                return Ok(ControlFlow::Break(Ok(CloseReason::ClosedByClient)));
            }
            ConnectionEvent::Failed(error) => self.report_protocol_error(error)?,
            ConnectionEvent::Item(frame) => self.receive(frame)?,
        }
        Ok(ControlFlow::Continue(()))
    }

    fn receive(&mut self, frame: Frame) -> Result<(), FrameError> {
        self.incomplete_for = Duration::ZERO;
        self.read_burst += 1;
        if self.protocol_error.is_some() || self.client.is_read_ahead_full() {
            self.skipped_bytes += MIN_SKIPPED_FRAME_BYTES.max(frame.bytes);
        }
        if self.protocol_error.is_none() {
            let no_input_at = self.wire.get_ref().empty_at();
            if let Err(error) = self.client.receive(frame, no_input_at) {
                self.report_protocol_error(error)?;
            }
        } else if frame.kind == kind::LEAVE {
            self.client.cancel(frame.stream);
        }
        Ok(())
    }

    fn handle_phase_change(&mut self) -> Result<(), FrameError> {
        let phase = *self.phase.borrow_and_update();
        if self.handled_phase < Phase::ShutdownAnnounced && phase >= Phase::ShutdownAnnounced {
            enqueue_shutdown_notice(self.wire)?;
        }
        self.handled_phase = phase;
        if phase == Phase::Closing {
            self.close_when_answered(CloseReason::Shutdown);
        }
        Ok(())
    }

    /// Checks the time limits: for stalled writes, incomplete frames and idle connections.
    fn check(&mut self) -> Result<(), FrameError> {
        if self.wire.is_write_stalled(WRITE_STALL_TIMEOUT) {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
        let is_incomplete = self.is_within_frame() && self.protocol_error.is_none();
        self.incomplete_for = if is_incomplete {
            self.incomplete_for + CHECK_INTERVAL
        } else {
            Duration::ZERO
        };
        let inactive_for = self.permit.active_since().elapsed();
        let has_requested = self.permit.activity() != Activity::NoRequest;
        let is_first_request_late = is_incomplete && !has_requested && inactive_for > FRAME_TIMEOUT;
        if self.protocol_error.is_none()
            && (self.incomplete_for > FRAME_TIMEOUT || is_first_request_late)
        {
            self.report_protocol_error(FrameError::Stalled)?;
        } else if self.client.is_fully_answered() {
            let timeout = if has_requested {
                IDLE_TIMEOUT
            } else {
                FRAME_TIMEOUT
            };
            if inactive_for > timeout {
                self.close_when_answered(CloseReason::Idle);
            }
        }
        Ok(())
    }

    /// Reports the client's first protocol error to it; open requests are still answered.
    ///
    /// # Errors
    /// The connection itself is broken.
    fn report_protocol_error(&mut self, error: FrameError) -> Result<(), FrameError> {
        if let FrameError::Io(error) = error {
            return Err(error.into());
        }
        if self.protocol_error.is_none() {
            let reason = error.to_string();
            enqueue_answer(self.wire, 0, code::FAILED, reason.as_bytes())?;
            self.protocol_error = Some(error);
        } else if matches!(error, FrameError::Length(_)) {
            // From here on, the start of a frame is unknown.
            self.protocol_error = Some(error);
        }
        Ok(())
    }
}
