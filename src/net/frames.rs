//! The platform's front: its frames, read and written, and nothing decided.

use crate::config::{Machine, find};
use crate::core::{End, NewRequest, RequestId};
use crate::interface::ClassId;
use crate::net::hub::{Hub, Leg, Reply};
use crate::net::places::{Place, Places, Use};
use crate::net::pool::{self, Buffer, Pool};
use crate::net::{MOST_MB, MOST_MS, span, statement, unix_ms};
use crate::say;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::SinkExt;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::{Decoder, Encoder};

pub const REQUEST: u8 = 2;
pub const ANSWER: u8 = 4;
pub const LEAVE: u8 = 8;
pub const ASK: u8 = 16;
pub const STATE: u8 = 32;
pub const GOODBYE: u8 = 64;

pub const SERVED: u8 = 0;
pub const REFUSED: u8 = 14;
pub const FAILED: u8 = 2;

const LEAST: usize = 5;
const MOST: usize = 262_144;
/// Requests open on one connection.
const STREAMS: usize = 32;
/// A client that takes no answer for this long is gone.
const WRITE: Duration = Duration::from_secs(5);
/// A connection without a request or a question for this long is closed; clients close theirs after 4 s, and
/// what some keep for good would fill the places.
const IDLE: Duration = Duration::from_secs(5);
/// A new connection has this long to ask something whole, and every frame to come whole.
const WHOLE: Duration = Duration::from_millis(2000);
/// How often a connection looks at these times.
const CHECK: Duration = Duration::from_millis(500);
/// A client that sends what cannot be used is read again after this, doubled with each such frame up to 64
/// times: repeats at full speed must not take the others' share. Its answers are never held back.
const PAUSE: Duration = Duration::from_millis(4);

#[derive(Debug, PartialEq)]
pub struct Frame {
    pub kind: u8,
    pub stream: u32,
    pub payload: Bytes,
}

/// What is wrong with a client's bytes.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    #[error("a frame's length of {0} is outside 5 to 262144")]
    Length(usize),
    #[error("a frame ends inside its fields")]
    Short,
    #[error("type {0} is no frame of a client")]
    Kind(u8),
    #[error("stream {0} is not new on its connection")]
    Stream(u32),
    #[error("a frame does not come whole")]
    Stalled,
    #[error(transparent)]
    Io(#[from] io::Error),
}

pub struct FrameCodec;

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some((head, _)) = src.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        // Checked before any room is made for it.
        if !(LEAST..=MOST).contains(&length) {
            return Err(FrameError::Length(length));
        }
        if src.len() < 4 + length {
            src.reserve(4 + length - src.len());
            return Ok(None);
        }
        src.advance(4);
        let (kind, stream) = (src.get_u8(), src.get_u32());
        // Copied, so that the connection's own buffer is free again for use.
        let payload = Bytes::copy_from_slice(&src[..length - LEAST]);
        src.advance(length - LEAST);
        // A large frame's room is given back: kept by every connection, it would fill the memory.
        if src.is_empty() && src.capacity() > 2 * pool::SIZE {
            *src = BytesMut::with_capacity(pool::SIZE);
        }
        Ok(Some(Frame { kind, stream, payload }))
    }
}

/// A frame to be sent: its body is copied once, into the connection's buffer.
pub struct Send<'a> {
    pub kind: u8,
    pub stream: u32,
    pub code: Option<u8>,
    pub fields: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

impl Encoder<Send<'_>> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, f: Send<'_>, dst: &mut BytesMut) -> Result<(), FrameError> {
        let fields: usize = f.fields.iter().map(|(n, v)| 3 + n.len() + v.len()).sum();
        // A goodbye has no payload at all.
        let payload = f.code.map_or(0, |_| 2 + fields + f.body.len());
        let length = LEAST + payload;
        if length > MOST {
            return Err(FrameError::Length(length));
        }
        dst.reserve(4 + length);
        dst.put_u32(length as u32);
        dst.put_u8(f.kind);
        dst.put_u32(f.stream);
        if let Some(code) = f.code {
            dst.put_u8(code);
            dst.put_u8(f.fields.len() as u8);
            for (name, value) in f.fields {
                dst.put_u8(name.len() as u8);
                dst.put_slice(name.as_bytes());
                dst.put_u16(value.len() as u16);
                dst.put_slice(value.as_bytes());
            }
            dst.put_slice(f.body);
        }
        Ok(())
    }
}

/// The fields of a payload, and what follows them.
pub fn fields(mut payload: Bytes) -> Result<(Vec<(String, String)>, Bytes), FrameError> {
    let text = |payload: &mut Bytes, size: usize| {
        (payload.len() >= size)
            .then(|| String::from_utf8_lossy(&payload.split_to(size)).into_owned())
            .ok_or(FrameError::Short)
    };
    let count = payload.try_get_u8().map_err(|_| FrameError::Short)?;
    let mut list = Vec::with_capacity(count.into());
    for _ in 0..count {
        let size = payload.try_get_u8().map_err(|_| FrameError::Short)?;
        let name = text(&mut payload, size.into())?;
        let size = payload.try_get_u16().map_err(|_| FrameError::Short)?;
        let value = text(&mut payload, size.into())?;
        list.push((name, value));
    }
    Ok((list, payload))
}

/// A request as the engines get it: id, class and statement unchanged.
#[derive(Debug)]
pub struct Work {
    pub txn: String,
    pub class: String,
    pub statement: Bytes,
    held: Held,
    named: Named,
}

/// Bytes of statements held in all; more are refused, or a few connections could fill the memory.
pub struct Budget {
    most: Cell<usize>,
    held: Rc<Cell<usize>>,
}

#[derive(Debug, Default)]
struct Held(usize, Option<Rc<Cell<usize>>>);

impl Budget {
    pub fn new(bytes: usize) -> Self {
        Budget { most: Cell::new(bytes), held: Rc::default() }
    }

    fn take(&self, bytes: usize) -> Option<Held> {
        let held = self.held.get() + bytes;
        (held <= self.most.get()).then(|| {
            self.held.set(held);
            Held(bytes, Some(self.held.clone()))
        })
    }
}

/// Ids of requests that are open. Bounded by these; an id is known by its number.
#[derive(Clone, Default)]
struct Ids(Rc<RefCell<HashSet<u64>>>);

/// An id while its request is open.
#[derive(Default)]
struct Named(u64, Option<Ids>);

impl Ids {
    fn take(&self, txn: &str) -> Option<Named> {
        let id = u64::from_str_radix(txn, 16).ok()?;
        self.0.borrow_mut().insert(id).then(|| Named(id, Some(self.clone())))
    }
}

impl Drop for Named {
    fn drop(&mut self) {
        if let Some(home) = &self.1 {
            home.0.borrow_mut().remove(&self.0);
        }
    }
}

impl std::fmt::Debug for Named {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(home) = &self.1 {
            home.set(home.get() - self.0);
        }
    }
}

impl Work {
    /// Work that counts towards no budget.
    pub fn free(txn: &str, class: &str, statement: Bytes) -> Self {
        let (held, named) = (Held::default(), Named::default());
        Work { txn: txn.into(), class: class.into(), statement, held, named }
    }
}

/// Why a request is failed at the door, and the class that it named, if any.
type AtTheDoor = (Option<ClassId>, String);

/// Reads a request; the error is the message of a `failed`.
fn request<L: Leg>(
    hub: &Hub<L>,
    payload: Bytes,
) -> Result<Result<(NewRequest, Work), AtTheDoor>, FrameError> {
    let named = Cell::new(None);
    let (fields, statement) = fields(payload)?;
    let field = |name: &str| fields.iter().find(|f| f.0 == name).map(|f| f.1.as_str());
    // An absurd figure would spoil what is learned of all others, so that its request is failed.
    let number = |name: &str, most: f64| {
        let read = |v: &str| v.trim().parse::<f64>().ok().filter(|v| (0.0..=most).contains(v));
        let figure = |v: &str| read(v).ok_or_else(|| format!("{name}: {v:?} is no number from 0 to {most}"));
        field(name).map(figure).transpose()
    };
    let read = || {
        let class = field("verb").ok_or("the field `verb` is missing")?;
        let index = find(&hub.names().classes, class).ok_or(format!("verb: no class is named {class:?}"))?;
        named.set(Some(index));
        let txn = field("txn").ok_or("the field `txn` is missing")?;
        if txn.len() != 16 || !txn.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(format!("txn: {txn:?} is not 16 hex digits"));
        }
        let ms = number("limit", MOST_MS)?.ok_or("the field `limit` is missing")?;
        let tenants = &hub.names().tenants;
        let tenant = match field("team") {
            _ if tenants.is_empty() => None,
            None => return Err("the field `team` is missing".to_string()),
            Some(t) => Some(find(tenants, t).ok_or_else(|| format!("team: no tenant is named {t:?}"))?),
        };
        // Engines close on what they cannot read, whatever else is open on that connection.
        let odd = |c: char| c.is_control() && !c.is_whitespace();
        if std::str::from_utf8(&statement).map_or(true, |s| s.trim().is_empty() || s.contains(odd)) {
            return Err("the statement is no text".to_string());
        }
        let new = NewRequest {
            class: index,
            tenant,
            group: statement::group(&statement),
            deadline: unix_ms() + ms,
            work: number("cpu", MOST_MS)?.filter(|v| *v > 0.0),
            memory_mb: number("mem", MOST_MB)?.filter(|v| *v > 0.0),
        };
        Ok((new, Work::free(txn, class, statement)))
    };
    Ok(read().map_err(|why: String| (named.get(), why)))
}

/// All that the connections of this front share.
pub struct Front<L: Leg<Work = Work, Output = Buffer>> {
    pub hub: Rc<Hub<L>>,
    pub pool: Pool,
    pub budget: Budget,
    ids: Ids,
    places: Rc<Places>,
    limits: RefCell<Machine>,
    processes: Cell<usize>,
    /// Another process of this dispatcher takes its clients.
    handed_over: Cell<bool>,
    /// All must say goodbye.
    farewell: tokio::sync::watch::Sender<bool>,
}

impl<L: Leg<Work = Work, Output = Buffer>> Front<L> {
    pub fn new(hub: Rc<Hub<L>>, pool: Pool, limits: &Machine) -> Rc<Self> {
        let (farewell, _) = tokio::sync::watch::channel(false);
        let (budget, places) = (Budget::new(0), Places::new(0, Use::Idle));
        let front = Front {
            hub,
            pool,
            budget,
            ids: Ids::default(),
            places,
            limits: RefCell::new(limits.clone()),
            processes: Cell::new(1),
            handed_over: Cell::new(false),
            farewell,
        };
        front.bound();
        Rc::new(front)
    }

    /// Bounds by the machine's limits, which a new configuration may change.
    pub fn limit(&self, limits: &Machine) {
        *self.limits.borrow_mut() = limits.clone();
        self.bound();
    }

    /// So many processes of this dispatcher share the limits.
    pub fn share(&self, processes: u32) {
        self.processes.set(processes.max(1) as usize);
        self.bound();
    }

    fn bound(&self) {
        let (limits, processes) = (self.limits.borrow(), self.processes.get());
        // A quarter of the memory for statements.
        self.budget.most.set(limits.memory_mb * 1024 * 1024 / 4 / processes);
        // Clients hold up to a third of the descriptors, so this many are let in.
        self.places.bound(limits.sockets * 2 / 5 / processes);
    }

    /// No new request is wanted on any connection; what comes all the same is answered. `to_another`: another
    /// process holds the listening socket and takes clients.
    pub fn goodbye(&self, to_another: bool) {
        self.handed_over.set(to_another);
        self.farewell.send_replace(true);
    }

    /// Accepts connections until it is dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match self.places.accept(&listener).await {
                Ok((tcp, place)) => {
                    let front = self.clone();
                    tokio::task::spawn_local(async move {
                        if let Err(e) = connection(&front, &place, tcp).await {
                            say!("client: {e}");
                        }
                    });
                }
                Err(e) => {
                    // Out of descriptors: some have to come back.
                    say!("accept: {e}");
                    self.places.give_way();
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }
}

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
        let Some(down) = (self.top - n).checked_sub(1).filter(|d| *d < 128 && n > 0) else { return false };
        let new = self.below & (1 << down) == 0;
        self.below |= 1 << down;
        new
    }
}

/// What one connection has told of its client.
struct Client<'a> {
    open: Open,
    streams: Streams,
    /// Frames of late that could not be used.
    useless: u32,
    /// Nothing is read before.
    pause: Instant,
    place: &'a Place,
}

impl Client<'_> {
    fn useless(&mut self) {
        self.pause = Instant::now() + PAUSE * (1 << self.useless.min(6));
        self.useless += 1;
    }
}

/// Requests of a connection that ends are left: nobody waits for them any more.
struct Leaves<'a, L: Leg<Work = Work, Output = Buffer>>(&'a Front<L>, Open);

impl<L: Leg<Work = Work, Output = Buffer>> Drop for Leaves<'_, L> {
    fn drop(&mut self) {
        let open = std::mem::take(&mut *self.1.borrow_mut());
        open.into_values().for_each(|id| self.0.hub.leave(id));
    }
}

/// Serves one client connection to its end.
async fn connection<L: Leg<Work = Work, Output = Buffer>>(
    front: &Front<L>,
    place: &Place,
    tcp: TcpStream,
) -> Result<(), FrameError> {
    tcp.set_nodelay(true)?;
    converse(front, place, &mut Wire::new(&front.pool, tcp, FrameCodec)).await
}

type Wire = pool::Wire<FrameCodec>;

async fn send(framed: &mut Wire, frame: Send<'_>) -> Result<(), FrameError> {
    framed.wake();
    tokio::time::timeout(WRITE, framed.send(frame)).await.map_err(io::Error::from)?
}

async fn converse<L: Leg<Work = Work, Output = Buffer>>(
    front: &Front<L>,
    place: &Place,
    framed: &mut Wire,
) -> Result<(), FrameError> {
    let open: Open = Rc::default();
    let _leaves = Leaves(front, open.clone());
    let began = Instant::now();
    let mut client =
        Client { open: open.clone(), streams: Streams::default(), useless: 0, pause: began, place };
    let mut check = tokio::time::interval(CHECK);
    let mut partial = Duration::ZERO;
    // Each open stream has one answer on its way at most, so this never fills.
    let (tx, mut answers) = mpsc::channel::<(u32, Reply<Buffer>)>(2 * STREAMS);
    let mut farewell = front.farewell.subscribe();
    if *farewell.borrow() {
        farewell.mark_changed();
    }
    let mut fault: Option<FrameError> = None;
    loop {
        if fault.is_some() && open.borrow().is_empty() {
            framed.part().await;
            return fault.map_or(Ok(()), Err);
        }
        tokio::select! {
            biased;
            Some((stream, reply)) = answers.recv() => {
                // A client that has left this stream is owed nothing: its answer came too late.
                if open.borrow_mut().remove(&stream).is_some() {
                    answer(framed, stream, reply).await?;
                }
                if open.borrow().is_empty() {
                    place.uses(Use::Idle, Instant::now());
                    framed.rest();
                }
            }
            () = place.cut.notified(), if open.borrow().is_empty() => return Ok(()),
            Ok(()) = farewell.changed() => {
                let goodbye = Send { kind: GOODBYE, stream: 0, code: None, fields: &[], body: &[] };
                send(framed, goodbye).await?;
            }
            frame = async {
                tokio::time::sleep_until(client.pause.into()).await;
                framed.heard().await
            }, if fault.is_none() => {
                partial = Duration::ZERO;
                let handled = match frame {
                    None => return Ok(()),
                    Some(Err(FrameError::Io(e))) if e.kind() == io::ErrorKind::ConnectionReset => return Ok(()),
                    Some(frame) => match frame {
                        Ok(frame) => handle(front, framed, frame, &mut client, &tx).await,
                        Err(e) => Err(e),
                    },
                };
                match handled {
                    Ok(()) => {}
                    Err(FrameError::Io(e)) => return Err(e.into()),
                    Err(e) => {
                        // After such a frame nothing more is read; what is open is still answered.
                        send(framed, error(&e.to_string())).await?;
                        fault = Some(e);
                    }
                }
            }
            _ = check.tick() => {
                let waits = !framed.read_buffer().is_empty() && fault.is_none();
                partial = if waits { partial + CHECK } else { Duration::ZERO };
                let (state, since) = place.state();
                if partial > WHOLE || waits && state == Use::Silent && since.elapsed() > WHOLE {
                    send(framed, error(&FrameError::Stalled.to_string())).await?;
                    fault = Some(FrameError::Stalled);
                } else if open.borrow().is_empty()
                    && since.elapsed() > if state == Use::Silent { WHOLE } else { IDLE }
                {
                    return Ok(());
                }
            }
        }
    }
}

/// Tells of an error that belongs to no request.
fn error(why: &str) -> Send<'_> {
    Send { kind: ANSWER, stream: 0, code: Some(FAILED), fields: &[], body: why.as_bytes() }
}

async fn answer(framed: &mut Wire, stream: u32, reply: Reply<Buffer>) -> Result<(), FrameError> {
    let later;
    let mut fields: &[(&str, &str)] = &[];
    let field;
    let (code, body): (u8, &[u8]) = match &reply {
        Reply::Served(result) => (SERVED, result),
        Reply::Refused { later: at, why } => {
            if let Some(ms) = at {
                later = format!("{}", ms.max(0.0).ceil() as u64);
                field = [("later", later.as_str())];
                fields = &field;
            }
            (REFUSED, why.as_bytes())
        }
        Reply::Failed { why } => (FAILED, why.as_bytes()),
        Reply::TimedOut { harmless: true } => (REFUSED, b"the time is over"),
        Reply::TimedOut { harmless: false } => (FAILED, b"the time is over; it may have run"),
    };
    send(framed, Send { kind: ANSWER, stream, code: Some(code), fields, body }).await
}

async fn handle<L: Leg<Work = Work, Output = Buffer>>(
    front: &Front<L>,
    framed: &mut Wire,
    frame: Frame,
    client: &mut Client<'_>,
    tx: &mpsc::Sender<(u32, Reply<Buffer>)>,
) -> Result<(), FrameError> {
    let (stream, open) = (frame.stream, client.open.clone());
    if !matches!(frame.kind, REQUEST | LEAVE | ASK) {
        return Err(FrameError::Kind(frame.kind));
    }
    if open.borrow().is_empty() {
        client.place.uses(client.place.state().0.max(Use::Asked), Instant::now());
    }
    match frame.kind {
        REQUEST if !client.streams.take(stream) => Err(FrameError::Stream(stream)),
        REQUEST => {
            let read = request(&front.hub, frame.payload)?.and_then(|(new, work)| {
                // Two under one id would be one to an engine, and the first may be another client's.
                let open = || (Some(new.class), "txn: a request of this id is open".to_string());
                let named = front.ids.take(&work.txn).ok_or_else(open)?;
                Ok((new, work, named))
            });
            let (new, mut work, named) = match read {
                Ok(request) => request,
                Err((class, why)) => {
                    client.useless();
                    class.into_iter().for_each(|c| front.hub.turned_away(c, End::Error));
                    let f =
                        Send { kind: ANSWER, stream, code: Some(FAILED), fields: &[], body: why.as_bytes() };
                    return send(framed, f).await;
                }
            };
            let held = front.budget.take(work.statement.len());
            let Some(held) = held.filter(|_| open.borrow().len() < STREAMS) else {
                client.useless();
                front.hub.turned_away(new.class, End::Overload);
                let why = "too much is open";
                return answer(framed, stream, Reply::Refused { later: Some(100.0), why }).await;
            };
            (work.held, work.named) = (held, named);
            client.useless = 0;
            client.place.uses(Use::Busy, Instant::now());
            // The answer may come before the id is known, so its place is taken first.
            open.borrow_mut().insert(stream, 0);
            let tx = tx.clone();
            let reply = move |reply| drop(tx.try_send((stream, reply)));
            let id = front.hub.open(new, work, Box::new(reply));
            open.borrow_mut().insert(stream, id);
            Ok(())
        }
        LEAVE => {
            let left = open.borrow_mut().remove(&stream);
            let had = left.is_some();
            left.into_iter().for_each(|id| front.hub.leave(id));
            if had && open.borrow().is_empty() {
                client.place.uses(Use::Idle, Instant::now());
            }
            Ok(())
        }
        _ => {
            // Asked is whether the dispatcher is ready, and that it is with any process.
            let code = if front.hub.ready() || front.handed_over.get() { SERVED } else { REFUSED };
            send(framed, Send { kind: STATE, stream, code: Some(code), fields: &[], body: &[] }).await
        }
    }
}

/// How long after SIGTERM connections are still accepted, and until when every answer must be given.
pub const ACCEPT_FOR: Duration = Duration::from_millis(500);

/// SIGKILL comes no earlier than the longest deadline (3 s at most counts, 5 s where another process has taken
/// over) plus 0.7 s.
pub fn stop_span(longest: f64, handed_over: bool) -> Duration {
    span(longest.min(if handed_over { 5000.0 } else { 3000.0 }) + 700.0 - 350.0)
}
