//! The platform's front: its frames, read and written, and nothing decided.

use crate::config::{Machine, find};
use crate::core::{NewRequest, RequestId};
use crate::net::hub::{Hub, Leg, Reply};
use crate::net::pool::{self, Buffer, Pool};
use crate::net::{span, statement, unix_ms};
use crate::say;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::SinkExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
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
/// A connection without a request or a question for this long is closed; clients close theirs after 4 s.
const IDLE: Duration = Duration::from_secs(30);

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
        Work { txn: txn.into(), class: class.into(), statement, held: Held::default() }
    }
}

/// Reads a request; the error is the message of a `failed`.
fn request<L: Leg>(hub: &Hub<L>, payload: Bytes) -> Result<Result<(NewRequest, Work), String>, FrameError> {
    let (fields, statement) = fields(payload)?;
    let field = |name: &str| fields.iter().find(|f| f.0 == name).map(|f| f.1.as_str());
    let number = |name: &str| {
        field(name).and_then(|v| v.trim().parse::<f64>().ok()).filter(|v| v.is_finite() && *v > 0.0)
    };
    Ok((|| {
        let class = field("verb").ok_or("the field `verb` is missing")?;
        let index = find(&hub.names().classes, class).ok_or(format!("verb: no class is named {class:?}"))?;
        let txn = field("txn").ok_or("the field `txn` is missing")?;
        if txn.len() != 16 || !txn.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(format!("txn: {txn:?} is not 16 hex digits"));
        }
        let limit = field("limit").ok_or("the field `limit` is missing")?;
        let ms = limit.trim().parse().ok().filter(|ms: &f64| ms.is_finite() && *ms >= 0.0);
        let ms = ms.ok_or_else(|| format!("limit: {limit:?} is no number"))?;
        let team = field("team");
        if team.is_none() && !hub.names().tenants.is_empty() {
            return Err("the field `team` is missing".to_string());
        }
        let new = NewRequest {
            class: index,
            tenant: team.and_then(|t| find(&hub.names().tenants, t)),
            group: statement::group(&statement),
            deadline: unix_ms() + ms,
            work: number("cpu"),
            memory_mb: number("mem"),
        };
        Ok((new, Work::free(txn, class, statement)))
    })())
}

/// All that the connections of this front share.
pub struct Front<L: Leg<Work = Work, Output = Buffer>> {
    pub hub: Rc<Hub<L>>,
    pub pool: Pool,
    pub budget: Budget,
    /// Connections at a time.
    pub most: Cell<usize>,
    pub open: Cell<usize>,
    /// A connection has closed, or all must say goodbye.
    pub closed: Notify,
    pub farewell: tokio::sync::watch::Sender<bool>,
}

impl<L: Leg<Work = Work, Output = Buffer>> Front<L> {
    pub fn new(hub: Rc<Hub<L>>, pool: Pool, limits: &Machine) -> Rc<Self> {
        let (farewell, _) = tokio::sync::watch::channel(false);
        let (budget, most) = (Budget::new(0), Cell::new(0));
        let front = Front { hub, pool, budget, most, open: Cell::new(0), closed: Notify::new(), farewell };
        front.limit(limits);
        Rc::new(front)
    }

    /// Bounds by the machine's limits, which a new configuration may change.
    pub fn limit(&self, limits: &Machine) {
        // A quarter of the memory for statements.
        self.budget.most.set(limits.memory_mb * 1024 * 1024 / 4);
        // Clients hold up to a third of the descriptors, so this many are let in.
        self.most.set(limits.sockets * 2 / 5);
    }

    /// Accepts connections until it is dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            // At the bound further ones wait in the machine's own queue.
            while self.open.get() >= self.most.get() {
                self.closed.notified().await;
            }
            match listener.accept().await {
                Ok((tcp, _)) => {
                    let front = self.clone();
                    front.open.set(front.open.get() + 1);
                    tokio::task::spawn_local(async move {
                        let _open = OpenCount(&front);
                        if let Err(e) = connection(&front, tcp).await {
                            say!("client: {e}");
                        }
                    });
                }
                Err(e) => {
                    // Out of descriptors: wait for some to come back.
                    say!("accept: {e}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }
}

struct OpenCount<'a, L: Leg<Work = Work, Output = Buffer>>(&'a Front<L>);

impl<L: Leg<Work = Work, Output = Buffer>> Drop for OpenCount<'_, L> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.closed.notify_one();
    }
}

type Open = Rc<RefCell<HashMap<u32, RequestId>>>;

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
    tcp: TcpStream,
) -> Result<(), FrameError> {
    tcp.set_nodelay(true)?;
    converse(front, &mut Wire::new(&front.pool, tcp, FrameCodec)).await
}

type Wire = pool::Wire<FrameCodec>;

async fn send(framed: &mut Wire, frame: Send<'_>) -> Result<(), FrameError> {
    tokio::time::timeout(WRITE, framed.send(frame)).await.map_err(io::Error::from)?
}

async fn converse<L: Leg<Work = Work, Output = Buffer>>(
    front: &Front<L>,
    framed: &mut Wire,
) -> Result<(), FrameError> {
    use tokio_stream::StreamExt;
    let open: Open = Rc::default();
    let _leaves = Leaves(front, open.clone());
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
            }
            Ok(()) = farewell.changed() => {
                let goodbye = Send { kind: GOODBYE, stream: 0, code: None, fields: &[], body: &[] };
                send(framed, goodbye).await?;
            }
            frame = framed.next(), if fault.is_none() => {
                let handled = match frame {
                    None => return Ok(()),
                    Some(Err(FrameError::Io(e))) if e.kind() == io::ErrorKind::ConnectionReset => return Ok(()),
                    Some(frame) => match frame {
                        Ok(frame) => handle(front, framed, frame, &open, &tx).await,
                        Err(e) => Err(e),
                    },
                };
                match handled {
                    Ok(()) => {}
                    Err(FrameError::Io(e)) => return Err(e.into()),
                    Err(e) => {
                        // After such a frame nothing more is read; what is open is still answered.
                        let why = e.to_string();
                        let f = Send { kind: ANSWER, stream: 0, code: Some(FAILED), fields: &[], body: why.as_bytes() };
                        send(framed, f).await?;
                        fault = Some(e);
                    }
                }
            }
            () = tokio::time::sleep(IDLE), if open.borrow().is_empty() => return Ok(()),
        }
    }
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
    open: &Open,
    tx: &mpsc::Sender<(u32, Reply<Buffer>)>,
) -> Result<(), FrameError> {
    let stream = frame.stream;
    match frame.kind {
        REQUEST if stream == 0 || open.borrow().contains_key(&stream) => Err(FrameError::Stream(stream)),
        REQUEST => {
            let (new, mut work) = match request(&front.hub, frame.payload)? {
                Ok(request) => request,
                Err(why) => {
                    let f =
                        Send { kind: ANSWER, stream, code: Some(FAILED), fields: &[], body: why.as_bytes() };
                    return send(framed, f).await;
                }
            };
            let held = front.budget.take(work.statement.len());
            let Some(held) = held.filter(|_| open.borrow().len() < STREAMS) else {
                let why = "too much is open";
                return answer(framed, stream, Reply::Refused { later: Some(100.0), why }).await;
            };
            work.held = held;
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
            left.into_iter().for_each(|id| front.hub.leave(id));
            Ok(())
        }
        ASK => {
            let code = if front.hub.ready() { SERVED } else { REFUSED };
            send(framed, Send { kind: STATE, stream, code: Some(code), fields: &[], body: &[] }).await
        }
        other => Err(FrameError::Kind(other)),
    }
}

/// How long after SIGTERM connections are still accepted, and until when every answer must be given.
pub const ACCEPT_FOR: Duration = Duration::from_millis(500);

pub fn stop_span(longest: f64) -> Duration {
    // SIGKILL comes no earlier than the longest deadline (3 s at most counts) plus 0.7 s.
    span(longest.min(3000.0) + 700.0 - 350.0)
}
