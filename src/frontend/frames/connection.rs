//! One client's connection. Its reads and its writes wait for nothing but the socket: what the client sends is read
//! whether or not it takes what is written, is made to wait after requests that could not be used, or has sent what
//! cannot be read. So its leave, its close and its reset are seen at once, behind any number of frames, and what it
//! waited for is not forwarded after them.

use crate::dispatch::{Reply, Upstream};
use crate::frontend::frames::client::{Client, MAX_OPEN_STREAMS};
use crate::frontend::frames::replies::{enqueue_answer, enqueue_goodbye, enqueue_reply};
use crate::frontend::frames::request::Work;
use crate::frontend::frames::{FramedConnection, Frontend, Phase};
use crate::protocol::frames::{Frame, FrameCodec, FrameError, code, kind};
use crate::transport::buffer_pool::{BUFFER_BYTES, Buffer};
use crate::transport::connection_limiter::{Activity, ConnectionPermit, EVICTION_GRACE};
use crate::transport::framed_connection::{ConnectionEvent, ReadInterest, Socket};
use crate::transport::pending_input::{self, PendingInput};
use std::io;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::Interval;

/// A client that does not take within this what was to be written is gone.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection without a request for this long is closed; clients close theirs after 4 s, and what some keep for good
/// would use up the permits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// A new connection has this long for its first complete request, and every frame to arrive whole.
const FRAME_TIMEOUT: Duration = Duration::from_millis(2000);
/// How often these times are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Frames that are read in a row before everything else on the connection has its turn.
const MAX_READ_BURST: usize = 64;
/// What is of no use (beyond the read-ahead, or after a fault) is read for its leaves and its end alone, so many bytes a
/// [`USELESS_PERIOD`]. At that pace all that the system holds unread for a connection (6 MB), and all that may be
/// rejected unread, is read in half of the 0.1 s after which nothing may begin for a client that has gone; and others
/// have their share of the processor.
const MAX_USELESS_BYTES: usize = 16 * BUFFER_BYTES;
/// The period of that bound.
const USELESS_PERIOD: Duration = Duration::from_millis(1);
/// A useless frame counts for so many bytes at least.
const MIN_USELESS_FRAME_BYTES: usize = 1024;

/// How a connection ends.
type End = Result<(), FrameError>;

/// Serves one client connection to its end.
pub(super) async fn serve_connection<U: Upstream<Work = Work, Output = Buffer>>(
    frontend: &Frontend<U>,
    permit: &ConnectionPermit,
    tcp: TcpStream,
) -> End {
    tcp.set_nodelay(true)?;
    let mut wire = FramedConnection::new(&frontend.pool, tcp.into(), FrameCodec);
    Connection::new(frontend, permit, &mut wire).run().await
}

/// What happens on a connection.
enum Event {
    /// A request has its answer.
    Reply(u32, Reply<Buffer>),
    /// The socket was read or written.
    Wire(ConnectionEvent<Frame, FrameError>),
    /// The process is at another step of its shutdown.
    PhaseChanged,
    /// The connection is evicted.
    Evicted,
    /// A frame that was read ahead may be taken up.
    ReadAheadDue,
    /// A rejection may be answered.
    RejectionDue,
    /// Useless bytes may be read again.
    UselessPeriodOver,
    /// The times are to be checked.
    Check,
    /// Frames may be read again.
    BurstOver,
}

struct Connection<'a, U: Upstream<Work = Work, Output = Buffer>> {
    frontend: &'a Frontend<U>,
    permit: &'a ConnectionPermit,
    wire: &'a mut FramedConnection,
    client: Client<'a, U>,
    replies: mpsc::Receiver<(u32, Reply<Buffer>)>,
    phase: watch::Receiver<Phase>,
    /// The phase that the client knows.
    announced_phase: Phase,
    checks: Interval,
    /// It ends as soon as nothing is owed and nothing unread.
    closing: bool,
    /// What the client has sent that cannot be read. After it nothing counts but leaves and the end.
    fault: Option<FrameError>,
    /// For how long a frame has been incomplete.
    incomplete_for: Duration,
    /// Frames read in a row.
    read_burst: usize,
    /// Useless bytes read in this period.
    useless_bytes: usize,
    useless_since: Instant,
}

impl<'a, U: Upstream<Work = Work, Output = Buffer>> Connection<'a, U> {
    fn new(
        frontend: &'a Frontend<U>,
        permit: &'a ConnectionPermit,
        wire: &'a mut FramedConnection,
    ) -> Self {
        // Each open stream has one answer on its way at most, so this never fills.
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
            phase,
            announced_phase: Phase::Serving,
            checks: tokio::time::interval(CHECK_INTERVAL),
            closing: false,
            fault: None,
            incomplete_for: Duration::ZERO,
            read_burst: 0,
            useless_bytes: 0,
            useless_since: Instant::now(),
        }
    }

    async fn run(mut self) -> End {
        loop {
            if self.client.owes_nothing()
                && self.wire.is_flushed()
                && let ControlFlow::Break(end) = self.settle().await
            {
                return end;
            }
            let event = self.next_event().await;
            if let ControlFlow::Break(end) = self.handle(event)? {
                return end;
            }
        }
    }

    /// Ends the connection where nothing is owed, if it is to end, or puts it to rest.
    async fn settle(&mut self) -> ControlFlow<End> {
        if let Some(fault) = self.fault.take() {
            self.wire.close_gracefully().await;
            return ControlFlow::Break(Err(fault));
        }
        if self.permit.activity() == Activity::Busy {
            self.permit.set_activity(Activity::Idle, Instant::now());
        }
        self.wire.release_buffers();
        if self.closing
            && self.wire.read_buffer().is_empty()
            && pending_input::peek(self.wire.get_ref().tcp()) != PendingInput::Bytes
        {
            self.close().await;
            return ControlFlow::Break(Ok(()));
        }
        ControlFlow::Continue(())
    }

    /// Lets the client take its last answer: the system has it, but a word of the client's would reset the connection.
    /// An evicted one is waited for no longer than until another is evicted beside it.
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

    /// What is read next.
    fn read_interest(&self, has_write_capacity: bool) -> ReadInterest {
        let may_take_up = has_write_capacity
            && self.client.has_read_ahead()
            && self.client.penalty_until() <= Instant::now();
        if self.useless_bytes >= MAX_USELESS_BYTES
            || self.read_burst >= MAX_READ_BURST
            || self.client.is_full() && may_take_up
        {
            return ReadInterest::Paused;
        }
        match self.fault {
            // Without its length, nothing tells where the next frame begins.
            Some(FrameError::Length(_)) => ReadInterest::Discard,
            _ => ReadInterest::Items,
        }
    }

    /// Waits for what happens next: answers first, then the socket, then what the client has to wait for.
    async fn next_event(&mut self) -> Event {
        let has_write_capacity = self.wire.write_buffer().len() < BUFFER_BYTES;
        let reads = self.read_interest(has_write_capacity);
        let take_up_at: tokio::time::Instant = self.client.penalty_until().into();
        let useless_period_end: tokio::time::Instant = (self.useless_since + USELESS_PERIOD).into();
        tokio::select! {
            biased;
            Some((stream, reply)) = self.replies.recv(), if has_write_capacity => {
                Event::Reply(stream, reply)
            }
            event = self.wire.next_event(reads, false) => Event::Wire(event),
            Ok(()) = self.phase.changed() => Event::PhaseChanged,
            () = self.permit.eviction.notified() => Event::Evicted,
            () = tokio::time::sleep_until(take_up_at),
                if has_write_capacity && self.client.has_read_ahead() => Event::ReadAheadDue,
            () = std::future::ready(()),
                if has_write_capacity && self.client.has_rejections() => Event::RejectionDue,
            () = tokio::time::sleep_until(useless_period_end),
                if self.useless_bytes >= MAX_USELESS_BYTES => Event::UselessPeriodOver,
            _ = self.checks.tick() => Event::Check,
            () = tokio::task::yield_now(), if self.read_burst >= MAX_READ_BURST => {
                Event::BurstOver
            }
        }
    }

    fn handle(&mut self, event: Event) -> Result<ControlFlow<End>, FrameError> {
        match event {
            Event::Reply(stream, reply) => {
                if self.client.close_stream(stream) {
                    enqueue_reply(self.wire, stream, reply)?;
                }
            }
            Event::Wire(event) => return self.handle_wire(event),
            Event::PhaseChanged => self.follow_phase()?,
            Event::Evicted => self.closing = true,
            Event::ReadAheadDue => {
                self.read_burst = 0;
                if let Err(error) = self.client.take_up(self.wire) {
                    self.fail(error)?;
                }
            }
            Event::RejectionDue => self.client.answer_rejection(self.wire)?,
            Event::UselessPeriodOver => {
                self.useless_bytes = 0;
                self.useless_since = Instant::now();
            }
            Event::Check => self.check()?,
            Event::BurstOver => self.read_burst = 0,
        }
        Ok(ControlFlow::Continue(()))
    }

    fn handle_wire(
        &mut self,
        event: ConnectionEvent<Frame, FrameError>,
    ) -> Result<ControlFlow<End>, FrameError> {
        match event {
            ConnectionEvent::Written | ConnectionEvent::Writable => {}
            ConnectionEvent::Discarded(bytes) => self.useless_bytes += bytes,
            ConnectionEvent::Closed => {
                let end = self.fault.take().map_or(Ok(()), Err);
                return Ok(ControlFlow::Break(end));
            }
            ConnectionEvent::Failed(FrameError::Io(error))
                if error.kind() == io::ErrorKind::ConnectionReset =>
            {
                return Ok(ControlFlow::Break(Ok(())));
            }
            ConnectionEvent::Failed(error) => self.fail(error)?,
            ConnectionEvent::Item(frame) => self.receive(frame)?,
        }
        Ok(ControlFlow::Continue(()))
    }

    fn receive(&mut self, frame: Frame) -> Result<(), FrameError> {
        self.incomplete_for = Duration::ZERO;
        self.read_burst += 1;
        if self.fault.is_some() || self.client.is_full() {
            self.useless_bytes += MIN_USELESS_FRAME_BYTES.max(frame.payload.len());
        }
        if self.fault.is_none() {
            if let Err(error) = self.client.receive(frame) {
                self.fail(error)?;
            }
        } else if frame.kind == kind::LEAVE {
            self.client.leave(frame.stream);
        }
        Ok(())
    }

    fn follow_phase(&mut self) -> Result<(), FrameError> {
        let phase = *self.phase.borrow_and_update();
        if self.announced_phase < Phase::Goodbye && phase >= Phase::Goodbye {
            enqueue_goodbye(self.wire)?;
        }
        self.announced_phase = phase;
        self.closing |= phase == Phase::Ending;
        Ok(())
    }

    /// Checks whether the client takes what is written, completes its frames, or has been idle for too long.
    fn check(&mut self) -> Result<(), FrameError> {
        if self.wire.is_write_stalled(WRITE_STALL_TIMEOUT) {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
        let is_incomplete = !self.wire.read_buffer().is_empty() && self.fault.is_none();
        self.incomplete_for = if is_incomplete {
            self.incomplete_for + CHECK_INTERVAL
        } else {
            Duration::ZERO
        };
        let inactive_for = self.permit.active_since().elapsed();
        let has_requested = self.permit.activity() != Activity::NoRequest;
        let first_is_late = is_incomplete && !has_requested && inactive_for > FRAME_TIMEOUT;
        if self.fault.is_none() && (self.incomplete_for > FRAME_TIMEOUT || first_is_late) {
            self.fail(FrameError::Stalled)?;
        } else if self.client.owes_nothing() {
            let timeout = if has_requested {
                IDLE_TIMEOUT
            } else {
                FRAME_TIMEOUT
            };
            self.closing |= inactive_for > timeout;
        }
        Ok(())
    }

    /// Tells the client once that it has sent what cannot be read; what is open is still answered.
    ///
    /// # Errors
    /// The connection itself is broken.
    fn fail(&mut self, error: FrameError) -> Result<(), FrameError> {
        if let FrameError::Io(error) = error {
            return Err(error.into());
        }
        if self.fault.is_none() {
            let reason = error.to_string();
            enqueue_answer(self.wire, 0, code::FAILED, reason.as_bytes())?;
            self.fault = Some(error);
        } else if matches!(error, FrameError::Length(_)) {
            // Past it nothing tells any more where a frame begins.
            self.fault = Some(error);
        }
        Ok(())
    }
}
