//! The upstream of MySQL: pooled connections that carry one command at a time. Statements are prepared on
//! each connection when it first needs them.

pub mod downstream;
pub mod sticky;
pub mod work;

use crate::clock::duration_from_millis;
use crate::clock::unix_time_millis;
use crate::config::{EngineCredentials, SocketSettings};
use crate::core::AttemptId;
use crate::decision::model::*;
use crate::discovery::Change;
use crate::discovery::membership_driver::ConnectionObserver;
use crate::dispatch::request_router::{RequestRouter, StartAttempt, Upstream};
use crate::log_line;
use crate::membership::Observation;
use crate::protocol::mysql::auth;
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::*;
use crate::protocol::mysql::session::{LAST_INSERT_ID_VARIABLE, SessionContext};
use crate::spool_io::{ResultWriter, Spools, StoredResult};
use crate::transport::buffer_pool::BufferPool;
use crate::transport::framed_connection::FramedConnection;
use crate::transport::pending_input::{self, PendingInput};
use crate::upstream::mysql::sticky::{Ended, Telling, Told};
use crate::upstream::mysql::work::{Job, Output, Packets, Work};
use bytes::{BufMut, Bytes};
use futures_util::{FutureExt, SinkExt};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::io::AsyncRead;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};
use tokio_stream::StreamExt;

/// Statements that one connection keeps prepared; the oldest makes room.
const STATEMENTS: usize = 64;
/// Kills under way at a time; beyond, closing the connection has to do.
const KILLS: usize = 16;
/// Parameters and columns of a prepared statement, in bytes: 4,096 columns need no more.
const MOST_PREPARED: usize = 1 << 20;
/// Warnings that are kept of one statement.
const WARNINGS: usize = 64;
/// A peer that does not take a command whole within this has broken off.
const TAKES: Duration = Duration::from_secs(2);
/// An engine closes a connection that was idle for too long.
const TIRED: u16 = 4031;

type Key = (SessionContext, Bytes);

/// Counts an engine's connections that are logged in, and tells how each ended.
struct Live {
    shared: Weak<Shared>,
    engine: String,
    open: Rc<Cell<usize>>,
    /// It ended as it should not have.
    broken: bool,
}

impl Drop for Live {
    fn drop(&mut self) {
        let left = self.open.get().saturating_sub(1);
        self.open.set(left);
        let seen = if self.broken {
            Observation::Broken {
                open_connections: left,
            }
        } else {
            Observation::Closed {
                open_connections: left,
            }
        };
        if let Some(shared) = self.shared.upgrade() {
            shared.report(&self.engine, seen);
        }
    }
}

pub(super) struct Connection {
    live: Option<Live>,
    pub(super) wire: FramedConnection<PacketCodec>,
    /// The flags behind its last answer that was no error, and the warnings that it told of.
    pub(super) status: u16,
    warnings: u16,
    /// Its number at the engine, by which it can be killed.
    number: u32,
    address: SocketAddr,
    pub(super) context: SessionContext,
    statements: HashMap<Key, u32>,
    oldest: VecDeque<Key>,
    opened: Millis,
    used: Instant,
    /// A command is written, in part or whole, and its answer is not here whole.
    pub(super) under_way: bool,
}

impl Drop for Connection {
    /// What the machine holds unsent of a command is called back: an engine that takes no bytes just then would get it
    /// whole whenever it reads on, long after its client has gone.
    fn drop(&mut self) {
        if self.under_way {
            // Where it can't be said, the close has to do.
            let _ = socket2::SockRef::from(self.wire.get_ref()).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Connection {
    /// Writes one command for a client, piece by piece as the engine takes it, with a look at the client before each: what
    /// is not whole when it goes never comes whole. `before` comes right before the first byte.
    async fn command(
        &mut self,
        work: &Work,
        until: Millis,
        kind: u8,
        parts: &[&[u8]],
        before: impl FnOnce() -> Result<(), PacketError>,
    ) -> Result<(), PacketError> {
        let p = payload(kind, parts);
        let write = async {
            work.downstream.heed(until).await?;
            before()?;
            self.under_way = true;
            self.wire.codec_mut().sequence = 0;
            self.wire.enqueue(&p[..])?;
            loop {
                if let Some(flushed) = SinkExt::<&[u8]>::flush(&mut *self.wire).now_or_never() {
                    return flushed;
                }
                poll_fn(|cx| self.wire.get_ref().poll_write_ready(cx)).await?;
                work.downstream.heed(until).await?;
            }
        };
        tokio::time::timeout(TAKES, write)
            .await
            .map_err(io::Error::from)?
    }

    /// Idle, and still of use. One that the engine has closed meanwhile, or has said something on, must not get a
    /// statement: what breaks after the write may have run.
    fn rests(&mut self) -> bool {
        // The machine is asked as well: the runtime may not have heard yet of what came in this very turn.
        let unheard = pending_input::peek(self.wire.get_ref());
        let Some(said) = self.wire.next().now_or_never() else {
            if unheard == PendingInput::Closed
                && let Some(live) = &mut self.live
            {
                live.broken = true;
            }
            return unheard == PendingInput::Empty;
        };
        // An engine that is tired of waiting says so, and has not ended.
        let tired = matches!(&said, Some(Ok(p)) if p.first() == Some(&0xff) && parse_err_packet(p).code == TIRED);
        if !tired && let Some(live) = &mut self.live {
            live.broken = true;
        }
        false
    }

    /// It can be taken there: what it has set can be set anew, but not unset.
    fn can_enter(&self, context: &SessionContext) -> bool {
        let has = &self.context;
        (context.schema.is_some() || has.schema.is_none())
            && (context.names.is_some() || has.names.is_none())
    }
}

#[derive(Default)]
struct Slot {
    address: Option<SocketAddr>,
    idle: Vec<Connection>,
    /// Connections, idle or not.
    open: usize,
    /// Those of them that sessions hold.
    pinned: usize,
    /// Those of them that are logged in.
    live: Rc<Cell<usize>>,
    /// Its engine is listed no more: it goes with its last connection.
    gone: bool,
}

impl Slot {
    /// Closes the idle connections that are not to be kept, and frees their places.
    fn keep(&mut self, wanted: impl FnMut(&mut Connection) -> bool) {
        let before = self.idle.len();
        self.idle.retain_mut(wanted);
        self.open = self.open.saturating_sub(before - self.idle.len());
    }
}

struct Running {
    task: AbortHandle,
    engine: String,
    address: Option<SocketAddr>,
    opened: Millis,
    /// The connection's address and number, once a byte of the command is written.
    written: Rc<Cell<Option<(SocketAddr, u32)>>>,
    /// Its connection leads to nobody any more.
    cut: Rc<Notify>,
}

pub(super) struct Shared {
    weak: Weak<Shared>,
    engines: RefCell<HashMap<String, Slot>>,
    running: RefCell<HashMap<AttemptId, Running>>,
    kills: Cell<usize>,
    processes: Cell<usize>,
    access: EngineCredentials,
    pub(super) sockets: SocketSettings,
    pool: BufferPool,
    spools: Rc<Spools>,
    /// Who is told what connections show.
    witness: RefCell<Option<Rc<dyn ConnectionObserver>>>,
}

pub struct MysqlUpstream(Rc<Shared>);

/// One of an engine's connections; gives its place back when it ends, however its task ends.
struct Place<'a> {
    shared: &'a Shared,
    engine: &'a str,
    pin: bool,
    kept: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut engines = self.shared.engines.borrow_mut();
        let Some(slot) = engines.get_mut(self.engine) else {
            return;
        };
        slot.pinned = slot.pinned.saturating_sub(usize::from(self.pin));
        if !self.kept {
            slot.open = slot.open.saturating_sub(1);
            if slot.gone && slot.open == 0 {
                engines.remove(self.engine);
            }
        }
    }
}

impl MysqlUpstream {
    pub fn new(
        access: EngineCredentials,
        sockets: SocketSettings,
        pool: BufferPool,
        spools: Rc<Spools>,
    ) -> Self {
        MysqlUpstream(Rc::new_cyclic(|weak| Shared {
            weak: weak.clone(),
            engines: RefCell::default(),
            running: RefCell::default(),
            kills: Cell::new(0),
            processes: Cell::new(1),
            access,
            sockets,
            pool,
            spools,
            witness: RefCell::default(),
        }))
    }

    /// From now on this one is told what connections show; nobody, if none is given.
    pub fn watch(&self, witness: Option<Rc<dyn ConnectionObserver>>) {
        *self.0.witness.borrow_mut() = witness;
    }

    /// Engines that anything is kept of.
    pub fn engines(&self) -> usize {
        self.0.engines.borrow().len()
    }
}

impl Upstream for MysqlUpstream {
    type Work = Work;
    type Output = Output;

    fn start(&self, router: &Rc<RequestRouter<Self>>, start: StartAttempt, work: Rc<Work>) {
        let attempt = start.attempt;
        let written = Rc::new(Cell::new(None));
        let cut = Rc::new(Notify::new());
        let (shared, weak, mark) = (self.0.clone(), Rc::downgrade(router), written.clone());
        let cut_here = cut.clone();
        let engine = start.engine.clone();
        let task = spawn_local(async move {
            let told = Telling {
                router: weak.clone(),
                attempt,
                engine: start.engine.clone(),
            };
            let end = shared.attempt(&start, &work, &mark, &cut_here, &told).await;
            shared.running.borrow_mut().remove(&attempt);
            let Some(router) = weak.upgrade() else { return };
            match end {
                Ok(output) => router.attempt_served(attempt, vec![], output),
                Err(outcome) => router.attempt_ended(attempt, outcome, vec![]),
            }
        });
        let address = self.0.engines.borrow().get(&engine).and_then(|s| s.address);
        let opened = unix_time_millis();
        let running = Running {
            task: task.abort_handle(),
            engine,
            address,
            opened,
            written,
            cut,
        };
        self.0.running.borrow_mut().insert(attempt, running);
    }

    /// Ends the attempt's connection. An engine goes on with a statement whose client has gone, so a written
    /// one is also killed from beside.
    fn cancel_attempt(&self, attempt: AttemptId) {
        let Some(running) = self.0.running.borrow_mut().remove(&attempt) else {
            return;
        };
        running.task.abort();
        if let Some((address, number)) = running.written.get() {
            self.0.kill_beside(address, number);
        }
    }

    fn set_process_count(&self, processes: usize) {
        self.0.processes.set(processes.max(1));
    }

    fn update_endpoints(&self, change: &Change) {
        let mut engines = self.0.engines.borrow_mut();
        let mut lost: HashMap<String, Millis> = HashMap::new();
        let mut taken: HashMap<SocketAddr, &str> = HashMap::new();
        if change.update != ListUpdate::Patch {
            let listed: HashSet<&str> = change.engines.iter().map(|e| e.id.as_str()).collect();
            for (_, slot) in engines
                .iter_mut()
                .filter(|(id, _)| !listed.contains(id.as_str()))
            {
                slot.address = None;
                slot.gone = true;
                slot.keep(|_| false);
            }
        }
        // What is open at an engine's address for another leads to nobody, also if the list has named that one
        // gone before.
        let addressed = change
            .engines
            .iter()
            .filter(|e| e.state != EngineState::Gone);
        taken.extend(addressed.filter_map(|e| Some((e.address?, e.id.as_str()))));
        for (id, slot) in engines.iter_mut() {
            let others = |a: &SocketAddr| taken.get(a).is_some_and(|owner| *owner != id);
            slot.keep(|c| !others(&c.address));
            slot.address = slot.address.filter(|a| !others(a));
        }
        for e in &change.engines {
            let slot = engines.entry(e.id.clone()).or_default();
            slot.gone = e.state == EngineState::Gone;
            if slot.address.is_some() && e.address.is_some() && slot.address != e.address {
                slot.keep(|_| false);
                lost.insert(e.id.clone(), f64::INFINITY);
            }
            if let Some(started) = e.started {
                slot.keep(|c| c.opened >= started);
                lost.entry(e.id.clone()).or_insert(started);
            }
            slot.address = (e.state != EngineState::Gone)
                .then(|| e.address.or(slot.address))
                .flatten();
            if e.state != EngineState::Ready {
                slot.keep(|_| false);
            }
        }
        // New ids come all day: of those that are gone nothing is kept.
        engines.retain(|_, slot| !slot.gone || slot.open > 0);
        let running = self.0.running.borrow();
        for r in running.values() {
            let started = lost.get(&r.engine).is_some_and(|t| r.opened < *t);
            let passed = r
                .address
                .and_then(|a| taken.get(&a))
                .is_some_and(|id| r.engine != *id);
            if started || passed {
                r.cut.notify_one();
            }
        }
    }
}

impl Shared {
    /// Carries one attempt out; an error is its outcome.
    async fn attempt(
        &self,
        start: &StartAttempt,
        work: &Work,
        written: &Cell<Option<(SocketAddr, u32)>>,
        cut: &Notify,
        told: &dyn Told,
    ) -> Result<Output, Outcome> {
        let idle = self.take(&start.engine, work)?;
        let pin = matches!(work.job, Job::Pin(_));
        let place = Place {
            shared: self,
            engine: &start.engine,
            pin,
            kept: false,
        };
        let mut c = match idle {
            Some(c) => c,
            None => match self.connect(&start.engine).await {
                Ok(c) => {
                    // An engine that has just started is a cold one: what was meant for it as it was is given back,
                    // and the module chooses anew.
                    if self.opened(&start.engine, c.opened) {
                        self.give(place, c);
                        return Err(Outcome::NeverStarted);
                    }
                    c
                }
                Err(e) => {
                    log_line!("engine {}: {e}", start.engine);
                    if matches!(&e, PacketError::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused)
                    {
                        self.report(
                            &start.engine,
                            Observation::Refused {
                                open_connections: self.left(&start.engine),
                            },
                        );
                    }
                    let full = matches!(&e, PacketError::Server(e) if full(e.code));
                    return Err(if full {
                        Outcome::Rejected
                    } else {
                        Outcome::Unreachable
                    });
                }
            },
        };
        let result = match &work.job {
            Job::Pin(pinned) => {
                let held = async {
                    self.enter(&mut c, work, start.until).await?;
                    self.hold(&mut c, pinned, &work.downstream, written, told, start.until)
                        .await
                };
                let held = tokio::select! {
                    held = held => held,
                    () = cut.notified() => Err(PacketError::ConnectionAbandoned),
                };
                match held {
                    Ok(Ended::Free(reply, carried)) => {
                        // The connection first: who hears the answer may ask for one at once.
                        c.used = Instant::now();
                        self.give(place, c);
                        let _ = reply.send(carried);
                        return Ok(Output::Short(Packets::default()));
                    }
                    // Its statements were answered; by its end the engine rolls back.
                    Ok(Ended::Closed) => return Ok(Output::Short(Packets::default())),
                    Err(e) => Err(e),
                }
            }
            _ => {
                c.status = 0;
                let (in_service, sent) = (|| told.in_service(), || told.sent());
                let until = start.until.min(start.write_by);
                tokio::select! {
                    result = self.run(&mut c, work, written, &in_service, &sent, until) => result,
                    () = cut.notified() => Err(PacketError::ConnectionAbandoned),
                }
            }
        };
        if let (Err(PacketError::Io(e)), Some(live)) = (&result, &mut c.live) {
            live.broken = e.kind() != io::ErrorKind::TimedOut;
        }
        // An engine that has ended takes all its connections along: those that rest are not waited for.
        if c.live.as_ref().is_some_and(|l| l.broken)
            && let Some(slot) = self.engines.borrow_mut().get_mut(&start.engine)
        {
            slot.keep(Connection::rests);
        }
        let begun = matches!(&work.job, Job::Pin(pinned) if pinned.begun());
        if matches!(result, Err(PacketError::ClientDisconnected)) {
            // A connection with nothing of it serves others. Its session hears of the same and drops this attempt.
            match c.under_way || begun {
                false => self.give(place, c),
                true => drop((c, place)),
            }
            return std::future::pending().await;
        }
        let wrote = written.take().is_some() || begun;
        match result {
            Ok(output) => {
                let outcome = verdict(&output);
                c.used = Instant::now();
                // A transaction that a plain statement has left open is nobody's: it ends with its connection.
                if c.status & SERVER_STATUS_IN_TRANS == 0 {
                    self.give(place, c);
                }
                outcome.map_or(Ok(output), Err)
            }
            // The statement ran and a second run would bring as much: that is the answer.
            Err(PacketError::SpoolRejection(e)) if wrote => {
                let mut packets = Packets::default();
                log_line!("engine {}: {e}", start.engine);
                let text = format!("the statement ran, but {e}");
                packets.push(&err_packet(&SqlError::new(code::ER_TOO_BIG_SELECT, text)));
                Ok(Output::Short(packets))
            }
            Err(PacketError::TooLarge(n)) if wrote => {
                let mut packets = Packets::default();
                let text = format!(
                    "the statement ran, but its result has a packet of {n} bytes, above max_packet"
                );
                log_line!("engine {}: a packet of {n} bytes", start.engine);
                packets.push(&err_packet(&SqlError::new(code::ER_TOO_BIG_SELECT, text)));
                Ok(Output::Short(packets))
            }
            Err(PacketError::Server(e)) if !wrote && !full(e.code) && !passing(e.code) => {
                // The schema or the statement is wrong: no other engine would say otherwise.
                let mut packets = Packets::default();
                packets.push(&err_packet(&e));
                self.give(place, c);
                Ok(Output::Short(packets))
            }
            Err(e) => {
                log_line!("engine {}: {e}", start.engine);
                Err(match (wrote, &e) {
                    (false, PacketError::Server(e)) if full(e.code) => Outcome::Rejected,
                    (false, _) => Outcome::Unreachable,
                    (true, PacketError::Io(_) | PacketError::ConnectionAbandoned) => Outcome::Reset,
                    (true, _) => Outcome::Error,
                })
            }
        }
    }

    /// An idle connection, preferably one that knows the statement; none, if a new one may be opened.
    fn take(&self, engine: &str, work: &Work) -> Result<Option<Connection>, Outcome> {
        let mut engines = self.engines.borrow_mut();
        let slot = engines.get_mut(engine).ok_or(Outcome::Unreachable)?;
        let idle = duration_from_millis(self.sockets.idle_timeout * 0.8);
        let most = (self.access.max_connections / self.processes.get()).max(1);
        // Sessions that hold connections leave some to statements that need none for long.
        let pin = matches!(work.job, Job::Pin(_));
        if pin && slot.pinned >= (most - most / 4).max(1) {
            return Err(Outcome::Rejected);
        }
        slot.keep(|c| c.used.elapsed() < idle && c.rests());
        let key = (work.context.clone(), work.sql.clone());
        // A connection cannot leave all schemas again: a session without one needs a fresh connection.
        let fits = |c: &Connection| c.can_enter(&work.context);
        let known = slot
            .idle
            .iter()
            .rposition(|c| fits(c) && c.statements.contains_key(&key));
        if let Some(i) = known.or_else(|| slot.idle.iter().rposition(fits)) {
            slot.pinned += usize::from(pin);
            return Ok(Some(slot.idle.swap_remove(i)));
        }
        if slot.open >= most {
            // One that does not fit makes room for one that does.
            if slot.idle.pop().is_none() {
                return Err(Outcome::Rejected);
            }
            slot.open -= 1;
        }
        slot.open += 1;
        slot.pinned += usize::from(pin);
        Ok(None)
    }

    /// Keeps a connection for later, if its engine is still where it was.
    fn give(&self, mut place: Place<'_>, c: Connection) {
        let mut engines = self.engines.borrow_mut();
        if let Some(slot) = engines
            .get_mut(place.engine)
            .filter(|s| s.address == Some(c.address))
        {
            slot.idle.push(c);
            place.kept = true;
        }
    }

    async fn connect(&self, engine: &str) -> Result<Connection, PacketError> {
        let address = self.engines.borrow().get(engine).and_then(|s| s.address);
        let address = address.ok_or(PacketError::Protocol("it has no address"))?;
        let mut c = self.open(address).await?;
        let open = self
            .engines
            .borrow()
            .get(engine)
            .map(|s| s.live.clone())
            .unwrap_or_default();
        open.set(open.get() + 1);
        let shared = self.weak.clone();
        c.live = Some(Live {
            shared,
            engine: engine.to_string(),
            open,
            broken: false,
        });
        Ok(c)
    }

    fn report(&self, engine: &str, seen: Observation) {
        if let Some(witness) = self.witness.borrow().as_ref() {
            witness.report(engine, seen);
        }
    }

    /// True if the engine has started anew since its last connections.
    fn opened(&self, engine: &str, at: Millis) -> bool {
        let witness = self.witness.borrow().clone();
        witness.is_some_and(|w| w.opened(engine, at))
    }

    /// Its connections that are logged in.
    fn left(&self, engine: &str) -> usize {
        self.engines
            .borrow()
            .get(engine)
            .map_or(0, |s| s.live.get())
    }

    /// Connects and logs in, each within the time for a connection.
    async fn open(&self, address: SocketAddr) -> Result<Connection, PacketError> {
        let limit = duration_from_millis(self.sockets.connect_timeout);
        let opened = unix_time_millis();
        let tcp = tokio::time::timeout(limit, TcpStream::connect(address))
            .await
            .map_err(io::Error::from)??;
        tcp.set_nodelay(true)?;
        let codec = PacketCodec {
            max_packet: self.access.max_packet,
            sequence: 0,
        };
        let mut wire = FramedConnection::new(&self.pool, tcp, codec);
        let login = tokio::time::timeout(limit, self.log_in(&mut wire));
        let number = login.await.map_err(io::Error::from)??;
        Ok(Connection {
            live: None,
            wire,
            status: 0,
            warnings: 0,
            number,
            address,
            context: SessionContext::default(),
            statements: HashMap::new(),
            oldest: VecDeque::new(),
            opened,
            used: Instant::now(),
            under_way: false,
        })
    }

    async fn log_in(&self, wire: &mut FramedConnection<PacketCodec>) -> Result<u32, PacketError> {
        let greeting = Greeting::read(next(wire).await?)?;
        let a = &self.access;
        let known = auth::auth_response(&greeting.plugin, &a.password, &greeting.nonce);
        let (plugin, proof) = match known {
            Some(proof) => (greeting.plugin, proof),
            None => (
                auth::MYSQL_NATIVE_PASSWORD.into(),
                auth::auth_response(auth::MYSQL_NATIVE_PASSWORD, &a.password, &greeting.nonce)
                    .unwrap_or_default(),
            ),
        };
        let login = Login {
            user: a.user.clone(),
            auth: proof,
            schema: None,
            plugin,
            result_format: ResultFormat::default(),
        };
        wire.send(&login.write(a.max_packet as u32)[..]).await?;
        loop {
            let p = next(wire).await?;
            match p.first() {
                Some(0) => return Ok(greeting.connection),
                Some(0xff) => return Err(PacketError::Server(parse_err_packet(&p))),
                Some(0xfe) => {
                    let mut r = PayloadReader(p.slice(1..));
                    let plugin = r.text();
                    let nonce = r.0.strip_suffix(&[0]).unwrap_or(&r.0);
                    let proof = auth::auth_response(&plugin, &a.password, nonce).ok_or(
                        PacketError::Protocol("it asks for an unknown way of authentication"),
                    )?;
                    wire.send(&proof[..]).await?;
                }
                Some(1) if p.get(1) == Some(&3) => {}
                _ => {
                    return Err(PacketError::Protocol(
                        "it asks for a password over an open line",
                    ));
                }
            }
        }
    }

    /// Ends what runs on a connection that is given up.
    pub(super) fn put_down(&self, c: &Connection) {
        self.kill_beside(c.address, c.number);
    }

    fn kill_beside(&self, address: SocketAddr, number: u32) {
        let Some(shared) = self.weak.upgrade().filter(|s| s.kills.get() < KILLS) else {
            return;
        };
        shared.kills.set(shared.kills.get() + 1);
        spawn_local(async move {
            let limit = duration_from_millis(4.0 * shared.sockets.connect_timeout);
            let kill = tokio::time::timeout(limit, shared.kill(address, number)).await;
            shared.kills.set(shared.kills.get() - 1);
            if !matches!(kill, Ok(Ok(()))) {
                log_line!("engine at {address}: connection {number} could not be killed");
            }
        });
    }

    async fn kill(&self, address: SocketAddr, number: u32) -> Result<(), PacketError> {
        let mut c = self.open(address).await?;
        let sql = format!("KILL {number}");
        command(&mut c.wire, COM_QUERY, &[sql.as_bytes()]).await?;
        next(&mut c.wire).await?;
        command(&mut c.wire, COM_QUIT, &[]).await
    }

    /// Runs the work on a connection. `written` is set right before the first byte that may make it run:
    /// whatever fails earlier proves that it never did.
    pub(super) async fn run(
        &self,
        c: &mut Connection,
        work: &Work,
        written: &Cell<Option<(SocketAddr, u32)>>,
        in_service: &impl Fn() -> bool,
        sent: &impl Fn(),
        until: Millis,
    ) -> Result<Output, PacketError> {
        let result = self
            .carry_out(c, work, written, in_service, sent, until)
            .await;
        // Then its last answer is here whole.
        if matches!(result, Ok(_) | Err(PacketError::Server(_))) {
            c.under_way = false;
        }
        result
    }

    async fn carry_out(
        &self,
        c: &mut Connection,
        work: &Work,
        written: &Cell<Option<(SocketAddr, u32)>>,
        in_service: &impl Fn() -> bool,
        sent: &impl Fn(),
        until: Millis,
    ) -> Result<Output, PacketError> {
        if !c.can_enter(&work.context) {
            return Err(PacketError::Protocol(
                "the connection stands in another session's place",
            ));
        }
        self.enter(c, work, until).await?;
        // Statements change it: it is set anew for whoever asks for it next.
        if c.context.variables.contains_key(LAST_INSERT_ID_VARIABLE) {
            Rc::make_mut(&mut c.context.variables).remove(LAST_INSERT_ID_VARIABLE);
        }
        let mark = (c.address, c.number);
        let gate = || -> Result<(), PacketError> {
            // The connection took its time: the engine may drain by now, or the time be over.
            if !in_service() || unix_time_millis() >= until {
                return Err(PacketError::Protocol("no longer in service, or too late"));
            }
            Ok(())
        };
        let mark = || -> Result<(), PacketError> {
            gate()?;
            written.set(Some(mark));
            Ok(())
        };
        match &work.job {
            Job::Enter => Ok(Output::Short(Packets::one(&ok_packet()))),
            // A pin carries out what others bring, and is brought by none.
            Job::Pin(_) => Err(PacketError::Protocol("a pin within a pin")),
            Job::Query => {
                c.command(work, until, COM_QUERY, &[&work.sql], mark)
                    .await?;
                sent();
                self.answered(c, work, until).await
            }
            Job::Prepare => self
                .prepare(c, work, until, mark, sent)
                .await
                .map(Output::Short),
            Job::Execute(e) => {
                // An engine that no longer knows the statement has not run it: once more, newly prepared.
                for again in [false, true] {
                    let key = (work.context.clone(), work.sql.clone());
                    let id = match c.statements.get(&key) {
                        Some(&id) => id,
                        None => {
                            let packets = self.prepare(c, work, until, gate, &|| ()).await?;
                            if let Some(p) =
                                packets.iter().next().filter(|p| p.first() == Some(&0xff))
                            {
                                return Err(PacketError::Server(parse_err_packet(
                                    &Bytes::copy_from_slice(p),
                                )));
                            }
                            *c.statements
                                .get(&key)
                                .ok_or(PacketError::Protocol("not prepared"))?
                        }
                    };
                    // By these alone nothing runs.
                    for (parameter, data) in &e.long_data {
                        let head = [&id.to_le_bytes()[..], &parameter.to_le_bytes()].concat();
                        c.command(work, until, COM_STMT_SEND_LONG_DATA, &[&head, data], || {
                            Ok(())
                        })
                        .await?;
                    }
                    // No cursor, one iteration.
                    let head = [&id.to_le_bytes()[..], &[0, 1, 0, 0, 0]].concat();
                    c.command(work, until, COM_STMT_EXECUTE, &[&head, &e.body], mark)
                        .await?;
                    // An engine that no longer knew it was sent the same attempt.
                    if !again {
                        sent();
                    }
                    let output = self.answered(c, work, until).await?;
                    let unknown = matches!(&output, Output::Short(packets) if packets.iter().next().is_some_and(|p| {
                        p.first() == Some(&0xff) && p.get(1..3) == Some(&code::ER_UNKNOWN_STMT_HANDLER.number.to_le_bytes())
                    }));
                    if again || !unknown {
                        return Ok(output);
                    }
                    written.set(None);
                    c.statements.remove(&key);
                }
                Err(PacketError::Protocol("the statement is never known"))
            }
        }
    }

    async fn prepare(
        &self,
        c: &mut Connection,
        work: &Work,
        until: Millis,
        before: impl FnOnce() -> Result<(), PacketError>,
        sent: &impl Fn(),
    ) -> Result<Packets, PacketError> {
        c.command(work, until, COM_STMT_PREPARE, &[&work.sql], before)
            .await?;
        sent();
        let mut packets = Packets::default();
        let first = next(&mut c.wire).await?;
        packets.push(&first);
        if first.first() != Some(&0) {
            c.under_way = false;
            return Ok(packets);
        }
        let mut r = PayloadReader(first.slice(1..));
        let (id, columns, params) = (r.u32()?, r.u16()?, r.u16()?);
        for n in [params, columns] {
            for _ in 0..if n == 0 { 0 } else { usize::from(n) + 1 } {
                let p = next(&mut c.wire).await?;
                packets.push(&p);
                self.bound(&packets)?;
            }
        }
        // The oldest make room, so that an engine's own bound is never reached.
        while c.oldest.len() >= STATEMENTS {
            if let Some(old) = c.oldest.pop_front().and_then(|k| c.statements.remove(&k)) {
                command(&mut c.wire, COM_STMT_CLOSE, &[&old.to_le_bytes()]).await?;
            }
        }
        let key = (work.context.clone(), work.sql.clone());
        c.oldest.retain(|k| *k != key);
        if let Some(old) = c.statements.insert(key.clone(), id) {
            command(&mut c.wire, COM_STMT_CLOSE, &[&old.to_le_bytes()]).await?;
        }
        c.oldest.push_back(key);
        c.under_way = false;
        Ok(packets)
    }

    /// The answer to a statement that has been written.
    async fn answered(
        &self,
        c: &mut Connection,
        work: &Work,
        until: Millis,
    ) -> Result<Output, PacketError> {
        let output = self.result(c, work).await?;
        self.warned(c, work, until).await?;
        Ok(output)
    }

    /// Warnings stay on the connection that told of them, and the session may be elsewhere when it asks: they are
    /// taken along at once.
    async fn warned(
        &self,
        c: &mut Connection,
        work: &Work,
        until: Millis,
    ) -> Result<(), PacketError> {
        if std::mem::take(&mut c.warnings) == 0 {
            return Ok(());
        }
        let show = format!("SHOW WARNINGS LIMIT {WARNINGS}");
        c.command(work, until, COM_QUERY, &[show.as_bytes()], || Ok(()))
            .await?;
        let (mut packets, mut ends) = (Packets::default(), 0);
        while ends < 2 {
            let p = next(&mut c.wire).await?;
            if p.first() == Some(&0xff) {
                return Ok(());
            }
            packets.push(&p);
            self.bound(&packets)?;
            ends += usize::from(eof_status(&p).is_some());
        }
        *work.left.borrow_mut() = Some(packets.into_bytes());
        Ok(())
    }

    /// What is told of a statement before it runs stays small.
    fn bound(&self, packets: &Packets) -> Result<(), PacketError> {
        match packets.size() > MOST_PREPARED {
            true => Err(PacketError::TooLarge(packets.size())),
            false => Ok(()),
        }
    }

    /// Reads a whole result: an OK, an ERR, or columns and rows up to their end. Rows go into the spool as they come,
    /// and the connection is free at the last packet. A result that its engine breaks off with an error is that error.
    async fn result(&self, c: &mut Connection, work: &Work) -> Result<Output, PacketError> {
        let (wire, last, warnings) = (&mut c.wire, &mut c.status, &mut c.warnings);
        *warnings = 0;
        const SEVERAL: PacketError =
            PacketError::Protocol("several results at once are not carried");
        let mut writer: ResultWriter = self.spools.writer(work.ask, work.who.clone());
        let first = next(wire).await?;
        let alone = |payload: &[u8]| {
            let mut packets = Packets::default();
            packets.push(payload);
            Ok(Output::Short(packets))
        };
        match first.first() {
            None => return Err(PacketError::Truncated),
            Some(0xff) => return alone(&first),
            Some(0xfb) => return Err(PacketError::Protocol("it asks for a local file")),
            Some(0) => {
                let ok = parse_ok_status(&first)?;
                *last = ok.flags;
                *warnings = ok.warnings;
                if *last & SERVER_MORE_RESULTS_EXISTS != 0 {
                    return Err(SEVERAL);
                }
                return alone(&first);
            }
            Some(_) => writer.add_header(&first)?,
        }
        // Columns end with one EOF, rows with another, or with an error.
        for rows in [false, true] {
            loop {
                let p = next(wire).await?;
                match (eof_status(&p), rows) {
                    (Some(status), _) if status & SERVER_MORE_RESULTS_EXISTS != 0 => {
                        return Err(SEVERAL);
                    }
                    (Some(_), false) => {
                        writer.add_header(&p)?;
                        break;
                    }
                    (Some(status), true) => {
                        (*last, *warnings) = (status, eof_warning_count(&p));
                        return Ok(match writer.finish(Some(&p)).await? {
                            StoredResult::Inline(bytes) => Output::Short(bytes.into()),
                            StoredResult::Spooled(spool) => Output::Long(spool),
                        });
                    }
                    (None, true) if p.first() == Some(&0xff) => return alone(&p),
                    (None, true) => writer.add_row(&p).await?,
                    (None, false) => writer.add_header(&p)?,
                }
            }
        }
        Err(PacketError::Protocol("the result has no end"))
    }
}

/// The engine had no room: nothing ran.
fn full(code: u16) -> bool {
    matches!(code, 1040 | 1203 | 1226)
}

/// The engine's own trouble, which may have come while it ran: shutdown, a kill, its time limit, a deadlock.
fn passing(code: u16) -> bool {
    matches!(code, 1053 | 1205 | 1213 | 1317 | 3024 | 3168)
}

/// What an engine's error makes of the attempt; none, if it is the statement's own answer.
fn verdict(output: &Output) -> Option<Outcome> {
    let Output::Short(packets) = output else {
        return None;
    };
    let p = packets.iter().next().filter(|p| p.first() == Some(&0xff))?;
    let number = parse_err_packet(&Bytes::copy_from_slice(p)).code;
    match number {
        n if full(n) => Some(Outcome::Rejected),
        n if passing(n) => Some(Outcome::Error),
        _ => None,
    }
}

pub async fn next<S: AsyncRead + Unpin>(
    wire: &mut FramedConnection<PacketCodec, S>,
) -> Result<Bytes, PacketError> {
    wire.next()
        .await
        .unwrap_or_else(|| Err(io::Error::from(io::ErrorKind::ConnectionReset).into()))
}

/// One command, as it is framed.
fn payload(kind: u8, parts: &[&[u8]]) -> Vec<u8> {
    let mut p = Vec::with_capacity(1 + parts.iter().map(|p| p.len()).sum::<usize>());
    p.put_u8(kind);
    parts.iter().for_each(|part| p.put_slice(part));
    p
}

/// Writes one command that no client waits for.
pub async fn command(
    wire: &mut FramedConnection<PacketCodec>,
    kind: u8,
    parts: &[&[u8]],
) -> Result<(), PacketError> {
    wire.codec_mut().sequence = 0;
    let p = payload(kind, parts);
    tokio::time::timeout(TAKES, wire.send(&p[..]))
        .await
        .map_err(io::Error::from)?
}
