//! One client's connection. Its two halves wait for nothing but the socket: what the client says is read whether or not
//! it takes what is written, is made to wait for useless frames, or has sent what cannot be read; so that its leave, its
//! close and its reset are seen at once, behind any number of frames, and what it waits for is not sent on after them.

use crate::clock::unix_time_millis;
use crate::core::{RequestId, RequestOutcome};
use crate::decision::model::Millis;
use crate::dispatch::request_router::{Reply, Upstream};
use crate::frontend::frames::request::{Work, class, request};
use crate::frontend::frames::{
    ANSWER, ASK, FAILED, Frontend, GOODBYE, LEAVE, Phase, REFUSED, REQUEST, SERVED, STATE,
};
use crate::protocol::frames::{Frame, FrameCodec, FrameError, Send};
use crate::transport::buffer_pool::{self, Buffer};
use crate::transport::client_socket::{ClientSocket, SocketProbe};
use crate::transport::connection_limiter::{self, Activity, ConnectionPermit};
use crate::transport::framed_connection::{self, ConnectionEvent, ReadInterest, Socket};
use crate::transport::pending_input::{self, PendingInput};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Requests open on one connection.
const STREAMS: usize = 32;
/// A client that does not take what was to be written so long ago is gone.
const WRITE: Duration = Duration::from_secs(5);
/// A connection without a request or a question for this long is closed; clients close theirs after 4 s, and
/// what some keep for good would fill the places.
const IDLE: Duration = Duration::from_secs(5);
/// A new connection has this long to ask something whole, and every frame to come whole.
const WHOLE: Duration = Duration::from_millis(2000);
/// How often a connection looks at these times.
const CHECK: Duration = Duration::from_millis(500);
/// A client that sends what cannot be used is taken up again after this, doubled with each such frame up to 64
/// times: repeats at full speed must not take the others' share. Its answers are never held back, and what it says is
/// read ahead.
const PAUSE: Duration = Duration::from_millis(4);
/// Frames, and bytes in them, that are read ahead: all that may be open, twice. While the client has to wait, requests
/// beyond are refused unread, and so are no reason to stop reading.
const AHEAD: usize = 2 * STREAMS;
const AHEAD_BYTES: usize = 4 * buffer_pool::BUFFER_BYTES;
/// Frames that are turned away so and not answered yet. A client that sends more, and takes no answers, is cut off: by that
/// it has left as well.
const TURNED_AWAY: usize = 8192;
/// What a client is told that has more open than it may.
const TOO_MUCH: &str = "too much is open";
const LATER: Millis = 100.0;
/// Frames read in a row before all else on the connection has its turn.
const BURST: usize = 64;
/// What is of no use (behind more than may be read ahead, or after a fault) is read for its leaves and its end alone, so
/// many bytes a millisecond, where a frame counts for `FRAME` at least. At that pace all that the machine holds unread
/// for a connection (6 MB), and all that may be turned away, is through in half of the 0.1 s after which nothing may
/// begin for a client that has gone; and others have their share of the processor.
const PACE: usize = 16 * buffer_pool::BUFFER_BYTES;
const FRAME: usize = 1024;

pub(super) type FramedConnection = framed_connection::FramedConnection<FrameCodec, ClientSocket>;

type Open = Rc<RefCell<HashMap<u32, RequestId>>>;

/// The stream numbers that a connection has used: the highest, and which of the 128 below it. Older ones
/// count as used, so that nothing grows with their number.
#[derive(Default)]
struct Streams {
    top: u32,
    below: u128,
}

impl Streams {
    /// Takes a number that is new.
    fn take(&mut self, n: u32) -> bool {
        if n > self.top {
            let up = n - self.top;
            self.below = self.below.checked_shl(up).unwrap_or(0);
            // The highest before is now so many below; zero is no number.
            if self.top > 0 && up <= 128 {
                self.below |= 1 << (up - 1);
            }
            self.top = n;
            return true;
        }
        let Some(down) = (self.top - n).checked_sub(1).filter(|d| *d < 128 && n > 0) else {
            return false;
        };
        let new = self.below & (1 << down) == 0;
        self.below |= 1 << down;
        new
    }
}

/// Requests of a connection that ends are left: nobody waits for them any more.
struct Leaves<'a, U: Upstream<Work = Work, Output = Buffer>>(&'a Frontend<U>, Open);

impl<U: Upstream<Work = Work, Output = Buffer>> Drop for Leaves<'_, U> {
    fn drop(&mut self) {
        let open = std::mem::take(&mut *self.1.borrow_mut());
        open.into_values().for_each(|id| self.0.router.abandon(id));
    }
}

/// Serves one client connection to its end.
pub(super) async fn connection<U: Upstream<Work = Work, Output = Buffer>>(
    frontend: &Frontend<U>,
    place: &ConnectionPermit,
    tcp: TcpStream,
) -> Result<(), FrameError> {
    tcp.set_nodelay(true)?;
    converse(
        frontend,
        place,
        &mut FramedConnection::new(&frontend.pool, tcp.into(), FrameCodec),
    )
    .await
}

/// What one connection has told of its client.
struct Client<'a, U: Upstream<Work = Work, Output = Buffer>> {
    frontend: &'a Frontend<U>,
    place: &'a ConnectionPermit,
    open: Open,
    streams: Streams,
    socket: SocketProbe,
    /// Read, and not taken up yet; when; and the bytes in them.
    ahead: VecDeque<(Frame, Millis)>,
    bytes: usize,
    /// Kind and stream of what came beyond that, not answered yet.
    record_rejection: VecDeque<(u8, u32)>,
    /// Frames of late that could not be used.
    useless: u32,
    /// Nothing is taken up before.
    pause: Instant,
    /// Where answers come in.
    answers: mpsc::Sender<(u32, Reply<Buffer>)>,
}

async fn converse<U: Upstream<Work = Work, Output = Buffer>>(
    frontend: &Frontend<U>,
    place: &ConnectionPermit,
    wire: &mut FramedConnection,
) -> Result<(), FrameError> {
    let open: Open = Rc::default();
    let _leaves = Leaves(frontend, open.clone());
    // Each open stream has one answer on its way at most, so this never fills.
    let (tx, mut answers) = mpsc::channel::<(u32, Reply<Buffer>)>(2 * STREAMS);
    let mut client = Client {
        frontend,
        place,
        open: open.clone(),
        streams: Streams::default(),
        socket: wire.get_ref().probe(),
        ahead: VecDeque::new(),
        bytes: 0,
        record_rejection: VecDeque::new(),
        useless: 0,
        pause: Instant::now(),
        answers: tx,
    };
    let mut check = tokio::time::interval(CHECK);
    let (mut partial, mut burst) = (Duration::ZERO, 0);
    let mut phase = frontend.phase.subscribe();
    phase.mark_changed();
    let mut told = Phase::Serving;
    // It ends as soon as nothing is owed and nothing unread.
    let mut closing = false;
    let mut fault: Option<FrameError> = None;
    let (mut useless, mut useless_from) = (0, Instant::now());
    loop {
        if client.owes_nothing() && wire.is_flushed() {
            if fault.is_some() {
                wire.close_gracefully().await;
                return fault.map_or(Ok(()), Err);
            }
            if place.activity().0 == Activity::Busy {
                place.set_activity(Activity::Idle, Instant::now());
            }
            wire.release_buffers();
            if closing
                && wire.read_buffer().is_empty()
                && pending_input::peek(wire.get_ref().tcp()) != PendingInput::Bytes
            {
                // What the machine has taken its client may not have: a word of that one's would reset the connection. One that
                // gives way is waited for no longer than another is told beside it.
                let (state, since) = place.activity();
                let spent = since.elapsed();
                if state != Activity::NoRequest
                    && place.is_evicted()
                    && spent < connection_limiter::EVICTION_GRACE
                {
                    wire.close_gracefully_within(connection_limiter::EVICTION_GRACE)
                        .await;
                } else if state != Activity::NoRequest
                    && !place.is_evicted()
                    && spent < WRITE
                    && frontend.may_part()
                {
                    wire.close_gracefully().await;
                }
                return Ok(());
            }
        }
        let room = wire.write_buffer().len() < buffer_pool::BUFFER_BYTES;
        let takes_up = room && !client.ahead.is_empty() && client.pause <= Instant::now();
        let reads = match &fault {
            _ if useless >= PACE || burst >= BURST || client.full() && takes_up => {
                ReadInterest::Paused
            }
            // Without its length, nothing tells where the next frame begins.
            Some(FrameError::Length(_)) => ReadInterest::Discard,
            _ => ReadInterest::Items,
        };
        tokio::select! {
            biased;
            Some((stream, reply)) = answers.recv(), if room => {
                // A client that has left this stream is owed nothing: its answer came too late.
                if open.borrow_mut().remove(&stream).is_some() {
                    answer(wire, stream, reply)?;
                }
            }
            turn = wire.next_event(reads, false) => match turn {
                ConnectionEvent::Written | ConnectionEvent::Writable => {}
                ConnectionEvent::Discarded(n) => useless += n,
                ConnectionEvent::Closed => return fault.map_or(Ok(()), Err),
                ConnectionEvent::Failed(FrameError::Io(e)) if e.kind() == io::ErrorKind::ConnectionReset => return Ok(()),
                ConnectionEvent::Failed(FrameError::Io(e)) => return Err(e.into()),
                ConnectionEvent::Failed(e) => fail(wire, &mut fault, e)?,
                ConnectionEvent::Item(frame) => {
                    (partial, burst) = (Duration::ZERO, burst + 1);
                    if fault.is_some() || client.full() {
                        useless += FRAME.max(frame.payload.len());
                    }
                    if fault.is_none() {
                        if let Err(e) = client.arrived(frame) {
                            fail(wire, &mut fault, e)?;
                        }
                    } else if frame.kind == LEAVE {
                        client.leaves(frame.stream);
                    }
                }
            },
            Ok(()) = phase.changed() => {
                let now = *phase.borrow_and_update();
                if told < Phase::Goodbye && now >= Phase::Goodbye {
                    wire.enqueue(Send { kind: GOODBYE, stream: 0, code: None, fields: &[], body: &[] })?;
                }
                (told, closing) = (now, closing || now == Phase::Ending);
            }
            () = place.eviction.notified() => closing = true,
            () = tokio::time::sleep_until(client.pause.into()), if room && !client.ahead.is_empty() => {
                burst = 0;
                if let Err(e) = client.take_up(wire) {
                    fail(wire, &mut fault, e)?;
                }
            }
            () = std::future::ready(()), if room && !client.record_rejection.is_empty() => client.turn_away(wire)?,
            () = tokio::time::sleep_until((useless_from + Duration::from_millis(1)).into()), if useless >= PACE => {
                (useless, useless_from) = (0, Instant::now());
            }
            _ = check.tick() => {
                if wire.is_write_stalled(WRITE) {
                    return Err(io::Error::from(io::ErrorKind::TimedOut).into());
                }
                let waits = !wire.read_buffer().is_empty() && fault.is_none();
                partial = if waits { partial + CHECK } else { Duration::ZERO };
                let (state, since) = place.activity();
                if fault.is_none() && (partial > WHOLE || waits && state == Activity::NoRequest && since.elapsed() > WHOLE) {
                    fail(wire, &mut fault, FrameError::Stalled)?;
                } else if client.owes_nothing() {
                    closing |= since.elapsed() > if state == Activity::NoRequest { WHOLE } else { IDLE };
                }
            }
            () = tokio::task::yield_now(), if burst >= BURST => burst = 0,
        }
    }
}

/// After such a frame nothing is heeded but leaves and the end; what is open is still answered.
fn fail(
    wire: &mut FramedConnection,
    fault: &mut Option<FrameError>,
    e: FrameError,
) -> Result<(), FrameError> {
    if let FrameError::Io(e) = e {
        return Err(e.into());
    }
    if fault.is_some() {
        // Past it nothing tells any more where a frame begins.
        if matches!(e, FrameError::Length(_)) {
            *fault = Some(e);
        }
    } else {
        let reason = e.to_string();
        wire.enqueue(Send {
            kind: ANSWER,
            stream: 0,
            code: Some(FAILED),
            fields: &[],
            body: reason.as_bytes(),
        })?;
        *fault = Some(e);
    }
    Ok(())
}

fn answer(
    wire: &mut FramedConnection,
    stream: u32,
    reply: Reply<Buffer>,
) -> Result<(), FrameError> {
    let retry_after;
    let mut fields: &[(&str, &str)] = &[];
    let field;
    let (code, body): (u8, &[u8]) = match &reply {
        Reply::Served(result) => (SERVED, result),
        Reply::Rejected {
            retry_after: at,
            reason,
        } => {
            if let Some(ms) = at {
                retry_after = format!("{}", ms.max(0.0).ceil() as u64);
                field = [("later", retry_after.as_str())];
                fields = &field;
            }
            (REFUSED, reason.as_bytes())
        }
        Reply::Failed { reason } => (FAILED, reason.as_bytes()),
        Reply::TimedOut { retry_safe: true } => (REFUSED, b"the time is over"),
        Reply::TimedOut { retry_safe: false } => (FAILED, b"the time is over; it may have run"),
    };
    wire.enqueue(Send {
        kind: ANSWER,
        stream,
        code: Some(code),
        fields,
        body,
    })
}

impl<U: Upstream<Work = Work, Output = Buffer>> Client<'_, U> {
    fn owes_nothing(&self) -> bool {
        self.open.borrow().is_empty() && self.ahead.is_empty() && self.record_rejection.is_empty()
    }

    /// No more is kept for later.
    fn full(&self) -> bool {
        self.ahead.len() >= AHEAD || self.bytes >= AHEAD_BYTES
    }

    fn useless(&mut self) {
        self.pause = Instant::now() + PAUSE * (1 << self.useless.min(6));
        self.useless += 1;
    }

    /// A whole frame is here. A leave is heeded at once, whatever waits before it.
    fn arrived(&mut self, frame: Frame) -> Result<(), FrameError> {
        if !matches!(frame.kind, REQUEST | LEAVE | ASK) {
            return Err(FrameError::Kind(frame.kind));
        }
        if self.open.borrow().is_empty() {
            self.place.set_activity(
                self.place.activity().0.max(Activity::Probed),
                Instant::now(),
            );
        }
        match frame.kind {
            REQUEST if !self.streams.take(frame.stream) => {
                return Err(FrameError::Stream(frame.stream));
            }
            LEAVE => self.leaves(frame.stream),
            _ if self.full() => {
                if self.record_rejection.len() >= TURNED_AWAY {
                    return Err(
                        io::Error::other("more is asked at once than can be answered").into(),
                    );
                }
                self.record_rejection.push_back((frame.kind, frame.stream));
                // One that cannot be read names no class, and is turned away all the same.
                if let Some(class) = class(&self.frontend.router, frame) {
                    self.frontend
                        .router
                        .record_rejection(class, RequestOutcome::Overload);
                }
            }
            _ => {
                self.bytes += frame.payload.len();
                self.ahead.push_back((frame, unix_time_millis()));
            }
        }
        Ok(())
    }

    /// Nobody waits for this stream any more: what is open on it is left, and what is not taken up yet never is.
    fn leaves(&mut self, stream: u32) {
        let left = self.open.borrow_mut().remove(&stream);
        match left {
            Some(id) => self.frontend.router.abandon(id),
            None => {
                self.ahead
                    .retain(|(f, _)| f.kind != REQUEST || f.stream != stream);
                self.bytes = self.ahead.iter().map(|(f, _)| f.payload.len()).sum();
            }
        }
    }

    /// Whether the dispatcher is ready, for a client that asks.
    fn state(&self, wire: &mut FramedConnection, stream: u32) -> Result<(), FrameError> {
        // Asked is whether the dispatcher is ready, and that it is with any process.
        let code = if self.frontend.router.is_ready() || self.frontend.handed_over.get() {
            SERVED
        } else {
            REFUSED
        };
        wire.enqueue(Send {
            kind: STATE,
            stream,
            code: Some(code),
            fields: &[],
            body: &[],
        })
    }

    /// Answers the first of what was turned away.
    fn turn_away(&mut self, wire: &mut FramedConnection) -> Result<(), FrameError> {
        match self.record_rejection.pop_front() {
            Some((ASK, stream)) => self.state(wire, stream),
            Some((_, stream)) => answer(
                wire,
                stream,
                Reply::Rejected {
                    retry_after: Some(LATER),
                    reason: TOO_MUCH,
                },
            ),
            None => Ok(()),
        }
    }

    /// Takes the first of what was read up.
    fn take_up(&mut self, wire: &mut FramedConnection) -> Result<(), FrameError> {
        let Some((frame, arrived)) = self.ahead.pop_front() else {
            return Ok(());
        };
        self.bytes -= frame.payload.len();
        let (frontend, stream) = (self.frontend, frame.stream);
        if frame.kind == ASK {
            return self.state(wire, stream);
        }
        let read = request(&frontend.router, frame.payload, arrived)?.and_then(|(new, work)| {
            // Two under one id would be one to an engine, and the first may be another client's.
            let open = || {
                (
                    Some(new.class),
                    "txn: a request of this id is open".to_string(),
                )
            };
            let named = frontend.ids.take(&work.txn).ok_or_else(open)?;
            Ok((new, work, named))
        });
        let (new, mut work, named) = match read {
            Ok(request) => request,
            Err((class, reason)) => {
                self.useless();
                class
                    .into_iter()
                    .for_each(|c| frontend.router.record_rejection(c, RequestOutcome::Error));
                let body = reason.as_bytes();
                return wire.enqueue(Send {
                    kind: ANSWER,
                    stream,
                    code: Some(FAILED),
                    fields: &[],
                    body,
                });
            }
        };
        let held = frontend.budget.take(work.statement.len());
        let Some(held) = held.filter(|_| self.open.borrow().len() < STREAMS) else {
            self.useless();
            frontend
                .router
                .record_rejection(new.class, RequestOutcome::Overload);
            return answer(
                wire,
                stream,
                Reply::Rejected {
                    retry_after: Some(LATER),
                    reason: TOO_MUCH,
                },
            );
        };
        work.hold(held, named, self.socket.clone());
        self.useless = 0;
        self.place.set_activity(Activity::Busy, Instant::now());
        // The answer may come before the id is known, so its place is taken first.
        self.open.borrow_mut().insert(stream, 0);
        let tx = self.answers.clone();
        let reply = move |reply| drop(tx.try_send((stream, reply)));
        let id = frontend.router.open(new, work, Box::new(reply));
        self.open.borrow_mut().insert(stream, id);
        Ok(())
    }
}
