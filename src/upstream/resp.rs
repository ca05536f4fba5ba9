//! The upstream on the platform: RESP over pooled connections, results page by page, notes.

use crate::clock::duration_from_millis;
use crate::clock::unix_time_millis;
use crate::config::SocketSettings;
use crate::core::AttemptId;
use crate::decision::model::*;
use crate::discovery::Change;
use crate::dispatch::request_router::{RequestRouter, StartAttempt, Upstream};
use crate::frontend::frames::Work;
use crate::log_line;
use crate::transport::buffer_pool::{self, Buffer, BufferPool};
use crate::transport::descriptors::DescriptorBudget;
use crate::transport::framed_connection::{self, ConnectionEvent, ReadInterest};
use crate::transport::pending_input::{self, PendingInput};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::{Decoder, Encoder};

/// Connections to one engine.
const CONNECTIONS: usize = 8;
/// Words of an array, and bytes of one word, that an engine may send.
const WORDS: usize = 16;
const WORD: usize = 64 * 1024;
/// A result is 48,000 bytes at most; rows are whole in a page, so pages may be small.
const RESULT: usize = 48_000;
const PAGES: usize = 1024;
const PAGE: usize = 6000;
/// An answer that has begun, or a result, comes on within this, or its connection is of no further use.
const STALL: Millis = 600.0;
/// How often a connection looks at these times.
const CHECK: Millis = 150.0;
/// Notes that fail to come before a connection that owes answers counts as dead.
const NOTES: f64 = 3.0;
/// A connection that owes an answer gets nothing new once so many notes have failed to come; where engines tell no
/// notes, silence is no sign.
const SILENT: f64 = 2.0;
/// An engine that takes no bytes for this long is cut off.
const WRITE: Duration = Duration::from_secs(2);
/// A request that nobody wants any more, and that is half on the wire, may come whole for this long: nothing may begin
/// 0.1 s after its client's leave, and half of that is for the leave's way here and the engine's look at its socket. Then the
/// connection is cut, by which it never comes whole.
const HALF: Millis = 50.0;
/// Ids given up on a connection that it remembers: what is late comes soon after or never.
const REMEMBERED: usize = 512;
/// An answered id is remembered for this long: a second answer to it comes some milliseconds after the first.
const ANSWERED: Millis = 2000.0;
/// Commands on their way to one connection.
const QUEUE: usize = 1024;

#[derive(Debug, thiserror::Error)]
pub enum RespError {
    #[error("not a RESP array of bulk strings")]
    Form,
    #[error("a length of {0} is too large")]
    Length(usize),
    #[error("a page is no rows of three columns")]
    Page,
    #[error("an answer does not come to its end")]
    Stalled,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Arrays of bulk strings, both ways.
pub struct RespCodec;

/// A number between a mark and the line's end: its value and the place after it.
fn number(src: &[u8], mark: u8, most: usize) -> Result<Option<(usize, usize)>, RespError> {
    let Some((first, rest)) = src.split_first() else {
        return Ok(None);
    };
    if *first != mark {
        return Err(RespError::Form);
    }
    let Some(end) = rest.iter().take(12).position(|&b| b == b'\r') else {
        return if rest.len() >= 12 {
            Err(RespError::Form)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&rest[..end]).map_err(|_| RespError::Form)?;
    let n: usize = text.parse().map_err(|_| RespError::Form)?;
    if n > most {
        return Err(RespError::Length(n));
    }
    match rest.get(end + 1) {
        None => Ok(None),
        Some(b'\n') => Ok(Some((n, end + 3))),
        Some(_) => Err(RespError::Form),
    }
}

impl Decoder for RespCodec {
    type Item = Vec<Bytes>;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Vec<Bytes>>, RespError> {
        let Some((words, mut at)) = number(src, b'*', WORDS)? else {
            return Ok(None);
        };
        let mut places = [(0, 0); WORDS];
        for place in &mut places[..words] {
            let Some((size, used)) = number(&src[at..], b'$', WORD)? else {
                return Ok(None);
            };
            at += used;
            if src.len() < at + size + 2 {
                return Ok(None);
            }
            if &src[at + size..at + size + 2] != b"\r\n" {
                return Err(RespError::Form);
            }
            *place = (at, size);
            at += size + 2;
        }
        let array = places[..words]
            .iter()
            .map(|&(at, n)| Bytes::copy_from_slice(&src[at..at + n]));
        let array = array.collect();
        src.advance(at);
        Ok(Some(array))
    }
}

impl Encoder<&[&[u8]]> for RespCodec {
    type Error = RespError;

    fn encode(&mut self, words: &[&[u8]], dst: &mut BytesMut) -> Result<(), RespError> {
        dst.put_slice(format!("*{}\r\n", words.len()).as_bytes());
        for w in words {
            dst.put_slice(format!("${}\r\n", w.len()).as_bytes());
            dst.put_slice(w);
            dst.put_slice(b"\r\n");
        }
        Ok(())
    }
}

/// The fields of an answer: `name=value,name=value` or `-`.
fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields
        .split(',')
        .find_map(|f| f.split_once('=').filter(|f| f.0 == name).map(|f| f.1))
}

/// A load report in the order of the settings' names: `inflight:7;util:0.61`.
fn report(fields: &str, names: &[String]) -> Vec<f64> {
    // The settings name the values as the simulator's wire does, the engines as the operators do.
    let alias = |name: &str| {
        match name {
            "rif" => "inflight",
            "q" => "queue",
            "busy" => "util",
            "lat_ms" => "latency_ms",
            "rate" => "qps",
            "fail_rate" => "eps",
            _ => "",
        }
        .to_string()
    };
    let Some(meter) = field(fields, "meter") else {
        return vec![];
    };
    let told: HashMap<&str, f64> = meter
        .split(';')
        .filter_map(|f| f.split_once(':'))
        .filter_map(|(n, v)| Some((n, v.parse().ok()?)))
        .collect();
    let value = |n: &String| {
        told.get(n.as_str())
            .or_else(|| told.get(alias(n).as_str()))
            .copied()
    };
    // A report that lacks a value tells nothing that could be trusted.
    names
        .iter()
        .map(value)
        .collect::<Option<Vec<f64>>>()
        .unwrap_or_default()
}

/// Whole rows of three text columns. What is spoilt must not be passed on as served.
fn is_page(body: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(body) else {
        return false;
    };
    let row = |r: &str| {
        r.matches('\t').count() == 2 && !r.contains(|c: char| c.is_control() && c != '\t')
    };
    body.len() <= PAGE
        && text.split_terminator('\n').all(row)
        && (text.is_empty() || text.ends_with('\n'))
}

fn note(fields: &str) -> Option<ProgressNote> {
    let value: f64 = field(fields, "datum")?.parse().ok()?;
    match field(fields, "tell")? {
        "frac" => Some(ProgressNote::Completed(value)),
        "missing" => Some(ProgressNote::SpilledMemory(value)),
        "parked" if value == 2.0 => Some(ProgressNote::WaitsForLoad),
        "parked" => Some(ProgressNote::WaitsForMemory),
        _ => None,
    }
}

enum Do {
    Get(String),
    Drop(String),
}

/// What an order waits for.
enum For {
    /// What is unread has to be read first.
    Reading,
    /// The machine takes no byte.
    Room,
}

/// How far an attempt is on its connection.
enum Stage {
    /// Not a byte is written: its end proves that it never ran.
    Waiting {
        start: StartAttempt,
        work: Rc<Work>,
        /// The machine was asked what is unread on its connection.
        looked: bool,
    },
    Written,
    /// Its first page is here.
    Paging {
        pages: Vec<Option<Bytes>>,
        missing: usize,
        size: usize,
        /// When the last part came.
        at: Millis,
        report: Vec<f64>,
    },
}

struct Pending {
    attempt: AttemptId,
    alone: bool,
    stage: Stage,
}

struct Connection {
    number: u64,
    address: SocketAddr,
    opened: Millis,
    orders: mpsc::Sender<Do>,
    /// The engine has taken it: until then nobody knows whether it ever will.
    up: Cell<bool>,
    pending: RefCell<HashMap<String, Pending>>,
    /// Ids given up here: a late answer to one must not pass for that of a new attempt.
    given_up: RefCell<VecDeque<(Id, Millis)>>,
    /// The attempt of which some bytes are on the wire and some are not; and since when it is not wanted, or from when on
    /// it will count so.
    half: RefCell<Option<String>>,
    unwanted: Cell<Option<Millis>>,
    closing: Cell<bool>,
    /// Half an answer has stood here for a while: what comes behind it would wait for its rest, which may never come.
    stands: Cell<bool>,
    /// When it last said something, or was given something to do while it owed nothing.
    heard: Cell<Millis>,
    /// Told to end at once.
    cut: tokio::sync::Notify,
    /// Something of it has changed that its turn has to look at.
    look: tokio::sync::Notify,
}

#[derive(Default)]
struct Slot {
    address: Option<SocketAddr>,
    connections: Vec<Rc<Connection>>,
}

struct Shared {
    engines: RefCell<HashMap<String, Slot>>,
    /// Where each attempt is: its connection and its id there.
    attempts: RefCell<HashMap<AttemptId, (Rc<Connection>, String)>>,
    sockets: SocketSettings,
    report_fields: Vec<String>,
    pool: BufferPool,
    next: Cell<u64>,
    /// Connections to one engine.
    most: Cell<usize>,
    /// Descriptors for connections to all engines; and what they are a share of.
    all: Cell<usize>,
    descriptors: Cell<usize>,
    processes: Cell<usize>,
    /// Those in use, and connections that wait for one.
    held: Cell<usize>,
    waiting: Cell<usize>,
    freed: tokio::sync::Notify,
}

pub struct RespUpstream(Rc<Shared>);

impl RespUpstream {
    pub fn new(sockets: SocketSettings, report_fields: Vec<String>, pool: BufferPool) -> Self {
        RespUpstream(Rc::new(Shared {
            engines: RefCell::default(),
            attempts: RefCell::default(),
            sockets,
            report_fields,
            pool,
            next: Cell::new(0),
            most: Cell::new(CONNECTIONS),
            all: Cell::new(usize::MAX),
            descriptors: Cell::new(usize::MAX),
            processes: Cell::new(1),
            held: Cell::new(0),
            waiting: Cell::new(0),
            freed: tokio::sync::Notify::new(),
        }))
    }

    /// The process may hold so many descriptors, of which connections to engines have their share.
    pub fn within(&self, descriptors: usize) {
        self.0.descriptors.set(descriptors);
        let all = DescriptorBudget::per_process(descriptors, self.0.processes.get()).engines;
        self.0.all.set(all);
        // What is beyond a lower bound gives way as it rests.
        (all..self.0.held.get()).for_each(|_| self.0.give_way());
        self.0.freed.notify_one();
    }

    /// A connection to the engine with room for this id, or a new one. One that is to be alone gets one to
    /// itself while there may be more.
    fn connection(
        &self,
        router: &Rc<RequestRouter<Self>>,
        engine: &str,
        txn: &str,
        alone: bool,
    ) -> Option<Rc<Connection>> {
        let mut engines = self.0.engines.borrow_mut();
        let slot = engines.get_mut(engine)?;
        let address = slot.address?;
        let now = unix_time_millis();
        let fits = |c: &&Rc<Connection>| {
            let (pending, given_up) = (c.pending.borrow(), c.given_up.borrow());
            // One that has stopped short stays open, and nothing on it comes to an end.
            let notes = self.0.sockets.progress_interval;
            let silent = notes > 0.0 && !pending.is_empty() && now > c.heard.get() + SILENT * notes;
            !c.closing.get()
                && !c.stands.get()
                && !silent
                && pending.len() < self.0.sockets.max_streams_per_connection
                && !pending.contains_key(txn)
                && !given_up.iter().any(|g| g.0 == id_of(txn) && now < g.1)
        };
        let shared = |c: &Connection| alone || c.pending.borrow().values().any(|p| p.alone);
        let free = |c: &&Rc<Connection>| c.pending.borrow().is_empty() || !shared(c);
        // Those that are up go first: another may come up late, or never.
        let fitting = |up| {
            slot.connections
                .iter()
                .filter(fits)
                .filter(move |c| c.up.get() == up)
        };
        if let Some(c) = fitting(true)
            .find(free)
            .or_else(|| fitting(false).find(free))
        {
            return Some(c.clone());
        }
        let has = slot.connections.len();
        let fitting = fitting(true).chain(fitting(false)).next().cloned();
        if has >= self.0.most.get() {
            return fitting;
        }
        // A further one only if a descriptor is left for each engine that has none.
        if has > 0 && self.0.short(&engines) {
            return fitting;
        }
        let slot = engines.get_mut(engine)?;
        let (orders, inbox) = mpsc::channel(QUEUE);
        let number = self.0.next.get();
        self.0.next.set(number + 1);
        let connection = Rc::new(Connection {
            number,
            address,
            opened: unix_time_millis(),
            orders,
            up: Cell::new(false),
            pending: RefCell::default(),
            given_up: RefCell::default(),
            half: RefCell::default(),
            unwanted: Cell::default(),
            closing: Cell::new(false),
            stands: Cell::new(false),
            heard: Cell::new(unix_time_millis()),
            cut: tokio::sync::Notify::new(),
            look: tokio::sync::Notify::new(),
        });
        slot.connections.push(connection.clone());
        let (shared, router, mine) = (self.0.clone(), Rc::downgrade(router), connection.clone());
        let engine = engine.to_string();
        tokio::task::spawn_local(async move {
            let mut connected = false;
            if let Err(e) = shared
                .run(&router, &engine, &mine, inbox, &mut connected)
                .await
            {
                log_line!("engine {engine} at {}: {e}", mine.address);
            }
            shared.close(&router, &engine, &mine, connected);
        });
        Some(connection)
    }
}

impl Upstream for RespUpstream {
    type Work = Work;
    type Output = Buffer;

    fn start(&self, router: &Rc<RequestRouter<Self>>, start: StartAttempt, work: Rc<Work>) {
        let attempt = start.attempt;
        let Some(c) = self.connection(router, &start.engine, &work.txn, start.alone) else {
            return router.attempt_ended(attempt, Outcome::Unreachable, vec![]);
        };
        let txn = work.txn.clone();
        let alone = start.alone;
        let pending = Pending {
            attempt,
            alone,
            stage: Stage::Waiting {
                start,
                work,
                looked: false,
            },
        };
        if c.orders.try_send(Do::Get(txn.clone())).is_err() {
            return router.attempt_ended(attempt, Outcome::Unreachable, vec![]);
        }
        if c.pending.borrow().is_empty() {
            c.heard.set(unix_time_millis());
        }
        c.pending.borrow_mut().insert(txn.clone(), pending);
        self.0.attempts.borrow_mut().insert(attempt, (c, txn));
    }

    fn cancel_attempt(&self, attempt: AttemptId) {
        let Some((c, txn)) = self.0.attempts.borrow_mut().remove(&attempt) else {
            return;
        };
        let pending = c.pending.borrow_mut().remove(&txn);
        // It may wait for a descriptor, which nobody needs any more.
        c.look.notify_one();
        if let Some(Pending {
            stage: Stage::Written | Stage::Paging { .. },
            ..
        }) = pending
        {
            c.give_up(&txn, f64::INFINITY);
            if c.half.borrow().as_ref() == Some(&txn) {
                let now = unix_time_millis();
                c.unwanted
                    .set(Some(c.unwanted.get().map_or(now, |at| at.min(now))));
                c.look.notify_one();
            }
            if c.orders.try_send(Do::Drop(txn)).is_err() {
                // It takes no orders any more: closing gives up all that is on it.
                c.closing.set(true);
                c.cut.notify_one();
            }
        }
    }

    fn set_process_count(&self, processes: usize) {
        self.0.most.set((CONNECTIONS / processes).max(2));
        self.0.processes.set(processes);
        self.within(self.0.descriptors.get());
    }

    /// An address may pass to another engine, or a process start again under its id: connections from before
    /// lead to nobody.
    fn update_endpoints(&self, change: &Change) {
        let mut engines = self.0.engines.borrow_mut();
        if change.update != ListUpdate::Patch {
            let listed: HashSet<&str> = change.engines.iter().map(|e| e.id.as_str()).collect();
            for (_, slot) in engines
                .iter_mut()
                .filter(|(id, _)| !listed.contains(id.as_str()))
            {
                slot.address = None;
            }
        }
        for e in &change.engines {
            // By the connections' own address: the list may have named its last owner gone before.
            for (_, slot) in engines.iter_mut().filter(|(id, _)| **id != e.id) {
                let Some(address) = e.address.filter(|_| e.state != EngineState::Gone) else {
                    break;
                };
                slot.connections
                    .iter()
                    .filter(|c| c.address == address)
                    .for_each(|c| c.end());
                slot.address = slot.address.filter(|a| *a != address);
            }
            let slot = engines.entry(e.id.clone()).or_default();
            for c in &slot.connections {
                let moved = e.address.is_some_and(|a| a != c.address);
                if moved || e.started.is_some_and(|t| c.opened < t) {
                    c.end();
                } else if e.state == EngineState::Gone {
                    // What it still answers counts; a process that has ended resets its connections itself.
                    c.closing.set(true);
                    if c.pending.borrow().is_empty() {
                        c.end();
                    }
                }
            }
            slot.address = match e.state {
                EngineState::Gone => None,
                _ => e.address.or(slot.address),
            };
        }
        engines.retain(|_, s| s.address.is_some() || !s.connections.is_empty());
    }
}

/// An id in a form that takes no room of its own.
type Id = [u8; 16];

fn id_of(txn: &str) -> Id {
    let mut id = [0; 16];
    id.iter_mut().zip(txn.bytes()).for_each(|(to, b)| *to = b);
    id
}

impl Connection {
    /// It owes answers and says nothing, for as long as several notes would take. Used on, a connection that
    /// leads to nobody took each new request for another second. One with a load is left: its answer would be
    /// worth a wait, and closing it would end what may not be repeated.
    fn dead(&self, now: Millis, notes: Millis) -> bool {
        let pending = self.pending.borrow();
        let owes = pending
            .values()
            .any(|p| !matches!(p.stage, Stage::Waiting { .. }));
        owes && notes > 0.0
            && now > self.heard.get() + NOTES * notes
            && !pending.values().any(|p| p.alone)
    }

    /// A result that began does not go on.
    fn stalled(&self, now: Millis) -> bool {
        let stands = |p: &Pending| matches!(p.stage, Stage::Paging { at, .. } if now > at + STALL);
        self.pending.borrow().values().any(stands)
    }

    /// The oldest are forgotten, so that a connection's memory does not grow with all that it ever carried.
    fn give_up(&self, txn: &str, until: Millis) {
        let (mut given_up, now) = (self.given_up.borrow_mut(), unix_time_millis());
        given_up.retain(|g| now < g.1);
        if given_up.len() >= REMEMBERED {
            given_up.pop_front();
        }
        given_up.push_back((id_of(txn), until));
    }

    fn end(&self) {
        self.closing.set(true);
        self.cut.notify_one();
    }
}

type FramedConnection = framed_connection::FramedConnection<RespCodec>;

/// A descriptor for a connection to an engine.
struct Held<'a>(&'a Shared);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get() - 1);
        self.0.freed.notify_one();
    }
}

/// Counts while a connection waits for one.
struct Waits<'a>(&'a Cell<usize>);

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Shared {
    /// All descriptors are in use, or kept for engines that have no connection.
    fn short(&self, engines: &HashMap<String, Slot>) -> bool {
        let (mut open, mut without) = (0, 0);
        for slot in engines.values() {
            open += slot.connections.len();
            without += usize::from(slot.connections.is_empty() && slot.address.is_some());
        }
        open + without >= self.all.get()
    }

    /// The connection that rests for longest ends, if any does.
    fn give_way(&self) {
        let engines = self.engines.borrow();
        let rests = engines.values().flat_map(|s| &s.connections);
        let rests = rests.filter(|c| !c.closing.get() && c.pending.borrow().is_empty());
        rests
            .min_by(|a, b| a.heard.get().total_cmp(&b.heard.get()))
            .inspect(|c| c.end());
    }

    /// A descriptor, once there is one: one that rests gives way, now or as soon as it does. Its wait ends with the
    /// requests that wait with it.
    async fn descriptor(&self) -> Held<'_> {
        self.waiting.set(self.waiting.get() + 1);
        let _waits = Waits(&self.waiting);
        if self.held.get() >= self.all.get() {
            self.give_way();
        }
        while self.held.get() >= self.all.get() {
            self.freed.notified().await;
        }
        self.held.set(self.held.get() + 1);
        if self.held.get() < self.all.get() {
            self.freed.notify_one();
        }
        Held(self)
    }

    async fn run(
        &self,
        router: &Weak<RequestRouter<RespUpstream>>,
        engine: &str,
        c: &Connection,
        mut inbox: mpsc::Receiver<Do>,
        connected: &mut bool,
    ) -> Result<(), RespError> {
        let _held = loop {
            tokio::select! {
                biased;
                () = c.cut.notified() => return Ok(()),
                held = self.descriptor() => break held,
                () = c.look.notified() => if c.pending.borrow().is_empty() { return Ok(()) },
            }
        };
        let connect = tokio::time::timeout(
            duration_from_millis(self.sockets.connect_timeout),
            TcpStream::connect(c.address),
        );
        let tcp = tokio::select! {
            tcp = connect => tcp.map_err(io::Error::from)??,
            () = c.cut.notified() => return Ok(()),
        };
        tcp.set_nodelay(true)?;
        // What the machine holds unsent can't be called back, so that it holds little. Where that can't be said, it
        // holds what it likes.
        let _ = socket2::SockRef::from(&tcp).set_send_buffer_size(buffer_pool::BUFFER_BYTES);
        *connected = true;
        c.up.set(true);
        let mut framed = FramedConnection::new(&self.pool, tcp, RespCodec);
        self.converse(router, engine, c, &mut inbox, &mut framed)
            .await
    }

    async fn converse(
        &self,
        router: &Weak<RequestRouter<RespUpstream>>,
        engine: &str,
        c: &Connection,
        inbox: &mut mpsc::Receiver<Do>,
        framed: &mut FramedConnection,
    ) -> Result<(), RespError> {
        // Closed by us well before the engine does: a request must not cross its close.
        let idle = duration_from_millis(self.sockets.idle_timeout * 0.8);
        let mut check = tokio::time::interval(duration_from_millis(CHECK));
        // Looks that were missed while the process stood still or nothing was to be seen are not made up for.
        check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let (mut partial, mut gets) = (0, 0);
        // An order that cannot be written yet: it stays here, where it can be called back.
        let mut waits: Option<(Do, For)> = None;
        loop {
            if framed.is_flushed() {
                *c.half.borrow_mut() = None;
                c.unwanted.set(None);
                // Only now is the last byte of each written.
                router
                    .upgrade()
                    .into_iter()
                    .for_each(|router| router.record_dispatches(std::mem::take(&mut gets)));
            }
            let none = c.pending.borrow().is_empty();
            if c.closing.get() && none && framed.is_flushed() {
                return Ok(());
            }
            if none && framed.is_flushed() && self.waiting.get() > 0 {
                return Ok(());
            }
            if none && framed.is_flushed() {
                framed.release_buffers();
            }
            let unwanted = c
                .unwanted
                .get()
                .map(|at| duration_from_millis(at + HALF - unix_time_millis()));
            tokio::select! {
                            biased;
                            () = c.cut.notified() => return Ok(()),
                            // Before orders: a reset while it was idle must be seen before a request is written into it,
                            // for that one would count as run.
                            turn = framed.next_event(ReadInterest::Items, matches!(waits, Some((_, For::Room)))) => match turn {
                                ConnectionEvent::Written | ConnectionEvent::Discarded(_) => {}
                                ConnectionEvent::Writable => {
                                    if let Some((order, _)) = waits.take() {
                                        gets += self.order(router, engine, c, order, framed, &mut waits)?;
                                    }
                                }
                                ConnectionEvent::Closed => return Ok(()),
                                ConnectionEvent::Failed(e) => return Err(e),
                                ConnectionEvent::Item(answer) => {
                                    partial = 0;
                                    c.stands.set(false);
                                    c.heard.set(unix_time_millis());
                                    self.answer(router, c, &answer, framed)?;
                                }
                            },
                            order = inbox.recv(), if framed.is_flushed() && waits.is_none() => {
                                let Some(order) = order else { return Ok(()) };
                                gets += self.order(router, engine, c, order, framed, &mut waits)?;
                            }
                            // After that the runtime has heard of all that the machine has unread, and the turn above came first.
                            () = tokio::task::yield_now(), if matches!(waits, Some((_, For::Reading))) => {
                                if let Some((order, _)) = waits.take() {
                                    gets += self.order(router, engine, c, order, framed, &mut waits)?;
                                }
                            }
                            () = tokio::time::sleep(unwanted.unwrap_or_default()), if unwanted.is_some() => {
                                return Err(RespError::Stalled);
                            }
                            () = c.look.notified() => {}
                            _ = check.tick(), if !none || !framed.is_flushed() || !framed.read_buffer().is_empty() => {
                                partial = if framed.read_buffer().is_empty() { 0 } else { partial + 1 };
                                // One look may fall between two reads of it.
                                c.stands.set(partial > 1);
            let now = unix_time_millis(); if partial > 5 || c.stalled(now)|| c.dead(now, self.sockets.progress_interval)|| framed.is_write_stalled(WRITE){
                                    return Err(RespError::Stalled);
                                }
                            }
                            () = tokio::time::sleep(idle), if none => {
                                c.closing.set(true);
                            }
                        }
        }
    }

    /// Writes an order where nothing is left to be written; 1 if that is an attempt. What the machine takes no byte of is
    /// left in `waits`, and looked at anew before it is written: by then its client may have left, its time be over or
    /// its engine drain.
    fn order(
        &self,
        router: &Weak<RequestRouter<RespUpstream>>,
        engine: &str,
        c: &Connection,
        order: Do,
        framed: &mut FramedConnection,
        waits: &mut Option<(Do, For)>,
    ) -> Result<usize, RespError> {
        let txn = match order {
            Do::Drop(txn) => return framed.enqueue(&[b"DROP", txn.as_bytes()][..]).map(|()| 0),
            Do::Get(txn) => txn,
        };
        let Some(router) = router.upgrade() else {
            return Ok(0);
        };
        let mut pending = c.pending.borrow_mut();
        // Given up before a byte of it was written.
        let Some(p) = pending.get_mut(&txn) else {
            return Ok(0);
        };
        let Stage::Waiting {
            start,
            work,
            looked,
        } = &mut p.stage
        else {
            return Ok(0);
        };
        let (now, write_by) = (unix_time_millis(), start.write_by);
        let left = start.until - now;
        let late = left < 1.0 || now >= write_by;
        // The connection took its time: the engine may drain by now, or the time be over, its own or that of a repeat. It
        // never ran.
        if late || !router.is_in_service(engine) {
            let attempt = start.attempt;
            drop(pending);
            self.forget(c, &txn, attempt);
            let outcome = if late {
                Outcome::NeverStarted
            } else {
                Outcome::Unreachable
            };
            router.attempt_ended(attempt, outcome, vec![]);
            return Ok(0);
        }
        // The engine may have closed it in this very turn, and its client may have gone or left since its task had its turn:
        // the machine is asked, and what is unread is read first. Nothing begins for a client that has closed.
        let client = work.client_input();
        let first = !std::mem::replace(looked, true);
        let unread = || {
            client == PendingInput::Bytes
                || pending_input::peek(framed.get_ref()) != PendingInput::Empty
        };
        if client == PendingInput::Closed || first && unread() {
            *waits = Some((Do::Get(txn), For::Reading));
            return Ok(0);
        }
        let mut fields = format!("cls={},limit={}", work.class, left as u64);
        if start.memory_mb >= 1.0 {
            fields.push_str(&format!(",pool={}", start.memory_mb.round() as u64));
        }
        let begun =
            framed.start_write(&[b"GET", txn.as_bytes(), fields.as_bytes(), &work.statement][..]);
        if !begun? {
            *looked = false;
            *waits = Some((Do::Get(txn), For::Room));
            return Ok(0);
        }
        // From here on it counts as reached, even if the write breaks off half way.
        p.stage = Stage::Written;
        if !framed.is_flushed() {
            *c.half.borrow_mut() = Some(txn);
            // A repeat that is not whole by its time never comes whole.
            c.unwanted
                .set(write_by.is_finite().then_some(write_by - HALF));
        }
        Ok(1)
    }

    fn forget(&self, c: &Connection, txn: &str, attempt: AttemptId) {
        if let Some(Pending {
            stage: Stage::Written | Stage::Paging { .. },
            ..
        }) = c.pending.borrow_mut().remove(txn)
        {
            c.give_up(txn, unix_time_millis() + ANSWERED);
        }
        self.attempts.borrow_mut().remove(&attempt);
    }

    /// Takes an engine's answer.
    fn answer(
        &self,
        router: &Weak<RequestRouter<RespUpstream>>,
        c: &Connection,
        words: &[Bytes],
        framed: &mut FramedConnection,
    ) -> Result<(), RespError> {
        let Some(router) = router.upgrade() else {
            return Ok(());
        };
        let [id, word, rest @ ..] = words else {
            return Err(RespError::Form);
        };
        let (Ok(txn), Ok(word)) = (std::str::from_utf8(id), std::str::from_utf8(word)) else {
            return Err(RespError::Form);
        };
        let fields = rest
            .first()
            .map(|f| String::from_utf8_lossy(f))
            .unwrap_or_default();
        let body = rest.get(1).cloned().unwrap_or_default();
        // Late: nobody waits for it any more.
        let Some(attempt) = c.pending.borrow().get(txn).map(|p| p.attempt) else {
            return Ok(());
        };
        let told = || report(&fields, &self.report_fields);
        let outcome = match word {
            "EVENT" => {
                if let Some(note) = note(&fields) {
                    router.progress(attempt, note);
                }
                return Ok(());
            }
            "ACK" | "BLOCK" => {
                if let Err(e) = self.part(c, id, word, &fields, body, framed) {
                    // It has run, and its result is spoilt.
                    self.forget(c, txn, attempt);
                    router.attempt_ended(attempt, Outcome::Error, vec![]);
                    return Err(e);
                }
                router.page_received(attempt);
                self.whole(&router, c, txn, attempt);
                return Ok(());
            }
            "AGAIN" => Outcome::Rejected,
            "STALE" => Outcome::NeverStarted,
            "EIO" => Outcome::Error,
            "READY" => return Ok(()),
            // After what can't be read, nothing else on this connection can be trusted.
            _ => return Err(RespError::Form),
        };
        self.forget(c, txn, attempt);
        router.attempt_ended(attempt, outcome, told());
        Ok(())
    }

    /// Takes a part of a result, and asks for further pages. A second copy changes nothing.
    fn part(
        &self,
        c: &Connection,
        id: &[u8],
        word: &str,
        fields: &str,
        body: Bytes,
        framed: &mut FramedConnection,
    ) -> Result<(), RespError> {
        let number = |name: &str| field(fields, name).and_then(|t| t.parse::<usize>().ok());
        let txn = std::str::from_utf8(id).map_err(|_| RespError::Form)?;
        let (now, first) = (unix_time_millis(), word == "ACK");
        let mut wanted = 0;
        match c.pending.borrow_mut().get_mut(txn).map(|p| &mut p.stage) {
            Some(stage @ Stage::Written) if first => {
                let total = number("total").ok_or(RespError::Form)?;
                if !(1..=PAGES).contains(&total) {
                    return Err(RespError::Length(total));
                }
                // Only a result of no rows has an empty page.
                if !is_page(&body) || body.is_empty() && total > 1 {
                    return Err(RespError::Page);
                }
                let (size, mut pages) = (body.len(), vec![None; total]);
                pages[0] = Some(body);
                wanted = total - 1;
                let report = report(fields, &self.report_fields);
                *stage = Stage::Paging {
                    pages,
                    missing: wanted,
                    size,
                    at: now,
                    report,
                };
            }
            Some(Stage::Paging {
                pages,
                missing,
                size,
                at,
                ..
            }) if !first => {
                let index = number("index").ok_or(RespError::Form)?;
                let place = pages.get_mut(index).ok_or(RespError::Length(index))?;
                if place.is_none() {
                    if body.is_empty() || !is_page(&body) {
                        return Err(RespError::Page);
                    }
                    *size += body.len();
                    if *size > RESULT {
                        return Err(RespError::Length(*size));
                    }
                    (*place, *at) = (Some(body), now);
                    *missing -= 1;
                }
            }
            // A page before the first, or an answer to what was not written yet.
            Some(Stage::Waiting { .. } | Stage::Written) => return Err(RespError::Form),
            Some(Stage::Paging { .. }) | None => {}
        }
        for n in 1..=wanted {
            framed.enqueue(&[b"PAGE", id, n.to_string().as_bytes()][..])?;
        }
        Ok(())
    }

    /// Once all pages are here, the result goes on in one piece.
    fn whole(
        &self,
        router: &Rc<RequestRouter<RespUpstream>>,
        c: &Connection,
        txn: &str,
        attempt: AttemptId,
    ) {
        let whole = |p: &Pending| matches!(p.stage, Stage::Paging { missing: 0, .. });
        if !c.pending.borrow().get(txn).is_some_and(whole) {
            return;
        }
        let pending = c.pending.borrow_mut().remove(txn);
        c.give_up(txn, unix_time_millis() + ANSWERED);
        self.attempts.borrow_mut().remove(&attempt);
        if let Some(Pending {
            stage: Stage::Paging { pages, report, .. },
            ..
        }) = pending
        {
            let mut result = self.pool.take();
            pages
                .iter()
                .flatten()
                .for_each(|p| result.extend_from_slice(p));
            router.attempt_served(attempt, report, result);
        }
    }

    /// The connection has ended: what was written on it may have run, the rest never did. That says something
    /// of the engine once, not for each request that shared the connection: one bad connection would make a
    /// healthy engine look as if it failed all it is sent. The others only end, by their class's rule.
    fn close(
        &self,
        router: &Weak<RequestRouter<RespUpstream>>,
        engine: &str,
        c: &Rc<Connection>,
        connected: bool,
    ) {
        c.closing.set(true);
        if let Some(slot) = self.engines.borrow_mut().get_mut(engine) {
            slot.connections.retain(|o| o.number != c.number);
        }
        let pending = std::mem::take(&mut *c.pending.borrow_mut());
        let Some(router) = router.upgrade() else {
            return;
        };
        let mut told = false;
        for p in pending.into_values() {
            self.attempts.borrow_mut().remove(&p.attempt);
            let outcome = match p.stage {
                Stage::Waiting { .. } if connected => Outcome::NeverStarted,
                Stage::Waiting { .. } => Outcome::Unreachable,
                _ if !std::mem::replace(&mut told, true) => Outcome::Reset,
                _ => Outcome::Cancelled,
            };
            router.attempt_ended(p.attempt, outcome, vec![]);
        }
    }
}
