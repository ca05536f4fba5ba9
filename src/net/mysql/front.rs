//! The MySQL front: sessions of clients. What a session holds (its schema, its prepared statements, long
//! data) is kept here, so that each statement can run on any engine.

use super::packet::*;
use super::values::{self, Type};
use super::{Context, Job, Packets, SqlError, Work, auth, code, error_of};
use crate::config::MysqlFront;
use crate::core::{NewRequest, RequestId};
use crate::net::hub::{Hub, Leg, Reply};
use crate::net::places::{Place, Places, Taken, Use};
use crate::net::pool::{Pool, Wire};
use crate::net::statement::{self, Kind};
use crate::net::{MOST_MB, MOST_MS, unix_ms};
use crate::say;
use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// A client has this long to log in, and to take an answer.
const LOGIN: Duration = Duration::from_secs(10);
const WRITE: Duration = Duration::from_secs(10);
/// Clients beyond the bound that are told so at a time.
const TURNED_AWAY: usize = 64;

pub struct Front<L: Leg<Work = Work, Output = Packets>> {
    hub: Rc<Hub<L>>,
    pool: Pool,
    /// Swapped whole by a new configuration; a session keeps to the one in force at each step.
    config: RefCell<Rc<MysqlFront>>,
    places: Rc<Places>,
    processes: Cell<usize>,
    turned_away: Cell<usize>,
    next: Cell<u32>,
    stopping: tokio::sync::watch::Sender<bool>,
}

struct Prepared {
    /// Names were resolved where the session stood then.
    context: Context,
    sql: Bytes,
    kind: Kind,
    parameters: usize,
    bound: Option<Vec<Type>>,
    long: BTreeMap<u16, BytesMut>,
    /// Long data went past its bound; told at the execute, since the command itself has no answer.
    too_long: bool,
}

/// A request that its client may leave at any time.
struct Asked<'a, L: Leg<Work = Work, Output = Packets>>(&'a Rc<Hub<L>>, RequestId);

impl<L: Leg<Work = Work, Output = Packets>> Drop for Asked<'_, L> {
    fn drop(&mut self) {
        self.0.leave(self.1);
    }
}

/// Why a session ends.
enum End {
    Quit,
    Broken(PacketError),
}

impl<E: Into<PacketError>> From<E> for End {
    fn from(e: E) -> Self {
        End::Broken(e.into())
    }
}

impl<L: Leg<Work = Work, Output = Packets>> Front<L> {
    pub fn new(hub: Rc<Hub<L>>, pool: Pool, config: MysqlFront) -> Rc<Self> {
        let (stopping, _) = tokio::sync::watch::channel(false);
        // Sessions keep their place while they are idle, for they hold what they prepared.
        let places = Places::new(config.max_clients, Use::Silent);
        let config = RefCell::new(Rc::new(config));
        Rc::new(Front {
            hub,
            pool,
            config,
            places,
            processes: Cell::new(1),
            turned_away: Cell::new(0),
            next: Cell::new(1),
            stopping,
        })
    }

    fn config(&self) -> Rc<MysqlFront> {
        self.config.borrow().clone()
    }

    /// Takes a new configuration: sessions that are open go on, under its bounds.
    pub fn configure(&self, config: MysqlFront) {
        *self.config.borrow_mut() = Rc::new(config);
        self.share(self.processes.get() as u32);
    }

    /// So many processes of this dispatcher share the bound on clients.
    pub fn share(&self, processes: u32) {
        self.processes.set(processes.max(1) as usize);
        self.places.bound((self.config().max_clients / self.processes.get()).max(1));
    }

    /// Sessions between statements end now, the others after the answer that they wait for.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
    }

    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((tcp, peer)) => {
                    let front = self.clone();
                    let place: Option<Taken> = self.places.take(Instant::now());
                    let away = usize::from(place.is_none());
                    // Those that are turned away politely are bounded as well.
                    if front.turned_away.get() + away > TURNED_AWAY {
                        continue;
                    }
                    front.turned_away.set(front.turned_away.get() + away);
                    spawn_local(async move {
                        let host = peer.ip().to_string();
                        if let Err(End::Broken(e)) = front.session(tcp, &host, place.as_deref()).await {
                            say!("mysql client {peer}: {e}");
                        }
                        front.turned_away.set(front.turned_away.get() - away);
                    });
                }
                Err(e) => {
                    say!("mysql accept: {e}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    async fn session(self: &Rc<Self>, tcp: TcpStream, host: &str, place: Option<&Place>) -> Result<(), End> {
        tcp.set_nodelay(true).map_err(PacketError::from)?;
        let codec = PacketCodec { most: self.config().max_packet, sequence: 0 };
        let mut wire = Wire::new(&self.pool, tcp, codec);
        let Some(place) = place else {
            return turn_away(&mut wire, code::TOO_MANY, "Too many connections".into()).await;
        };
        let login = tokio::select! {
            login = tokio::time::timeout(LOGIN, self.log_in(&mut wire, host)) => login,
            () = place.cut.notified() => return Ok(()),
        };
        let Some((tenant, schema)) = login.map_err(|e| PacketError::from(io::Error::from(e)))?? else {
            return Ok(());
        };
        place.uses(Use::Idle, Instant::now());
        let context = Context { schema, names: None };
        let session = Session { front: self, wire, tenant, context, statements: BTreeMap::new(), next: 1 };
        session.serve().await
    }

    /// Greets, and checks the password; none if it was wrong.
    async fn log_in(
        &self,
        wire: &mut Wire<PacketCodec>,
        host: &str,
    ) -> Result<Option<(Option<usize>, Option<String>)>, End> {
        let connection = self.next.get();
        self.next.set(connection.wrapping_add(1));
        let mut nonce = [0u8; 20];
        getrandom::fill(&mut nonce).map_err(|_| PacketError::Protocol("no random numbers are to be had"))?;
        // No zero byte may stand in it: on the wire one ends it.
        nonce.iter_mut().for_each(|b| *b = *b % 127 + 1);
        let greeting = Greeting {
            connection,
            nonce: nonce.to_vec(),
            plugin: auth::NATIVE.into(),
            capabilities: CAPABILITIES,
        };
        wire.send(&greeting.write(&self.config().version)[..]).await?;
        let login = Login::read(super::leg::next(wire).await?)?;
        let (mut plugin, mut proof) = (login.plugin.clone(), login.auth.clone());
        // One that names no way knows the oldest only.
        if plugin.is_empty() {
            plugin = auth::NATIVE.into();
        }
        // A client that answered for another way is asked again, for one that is known here.
        if plugin != auth::NATIVE && plugin != auth::SHA2 {
            plugin = auth::NATIVE.into();
            let ask = [&[0xfe][..], auth::NATIVE.as_bytes(), &[0], &nonce, &[0]].concat();
            wire.send(&ask[..]).await?;
            proof = super::leg::next(wire).await?.to_vec();
        }
        let config = self.config();
        let user = config.users.get(&login.user);
        // Some clients end the proof with a zero byte.
        let given = if proof == [0] { &[][..] } else { &proof };
        let known = user.filter(|u| auth::proves(&plugin, &u.password, &nonce, given));
        let Some(user) = known else {
            let with = if given.is_empty() { "NO" } else { "YES" };
            let text = format!("Access denied for user '{}'@'{host}' (using password: {with})", login.user);
            wire.send(&err(&SqlError::new(code::ACCESS, text))[..]).await?;
            return Ok(None);
        };
        if plugin == auth::SHA2 && !given.is_empty() {
            wire.send(&[1u8, 3][..]).await?;
        }
        wire.send(&ok()[..]).await?;
        Ok(Some((user.tenant, login.schema)))
    }
}

async fn turn_away(wire: &mut Wire<PacketCodec>, code: code::Code, text: String) -> Result<(), End> {
    tokio::time::timeout(WRITE, wire.send(&err(&SqlError::new(code, text))[..]))
        .await
        .map_err(|e| PacketError::from(io::Error::from(e)))??;
    wire.part().await;
    Ok(())
}

struct Session<'a, L: Leg<Work = Work, Output = Packets>> {
    front: &'a Rc<Front<L>>,
    wire: Wire<PacketCodec>,
    tenant: Option<usize>,
    context: Context,
    statements: BTreeMap<u32, Prepared>,
    next: u32,
}

/// What a command comes to: packets to send, or an error.
type Answer = Result<Option<Vec<Vec<u8>>>, SqlError>;

impl<L: Leg<Work = Work, Output = Packets>> Session<'_, L> {
    async fn serve(mut self) -> Result<(), End> {
        let mut stopping = self.front.stopping.subscribe();
        loop {
            self.wire.codec_mut().sequence = 0;
            let command = tokio::select! {
                biased;
                command = tokio_stream::StreamExt::next(&mut *self.wire) => command,
                _ = stopping.wait_for(|s| *s) => {
                    let text = "the dispatcher shuts down; connect again".to_string();
                    return turn_away(&mut self.wire, code::SHUTDOWN, text).await;
                }
                () = tokio::time::sleep(self.front.config().idle) => return Ok(()),
            };
            let command = match command {
                None => return Ok(()),
                Some(Ok(command)) => command,
                Some(Err(PacketError::Io(e))) if e.kind() == io::ErrorKind::ConnectionReset => return Ok(()),
                Some(Err(e)) => {
                    let long = matches!(e, PacketError::Length(_));
                    let why = if long { code::PACKET } else { code::MALFORMED };
                    self.wire.codec_mut().sequence = 1;
                    turn_away(&mut self.wire, why, e.to_string()).await?;
                    return Err(e.into());
                }
            };
            match self.command(command).await {
                Ok(()) => {}
                Err(End::Quit) => return Ok(()),
                Err(broken) => return Err(broken),
            }
        }
    }

    async fn command(&mut self, command: Bytes) -> Result<(), End> {
        let Some(&kind) = command.first() else {
            return self.say(&SqlError::new(code::MALFORMED, "an empty packet")).await;
        };
        let body = command.slice(1..);
        let answer: Answer = match kind {
            QUIT => return Err(End::Quit),
            PING => Ok(None),
            INIT_DB => {
                self.context.schema = Some(String::from_utf8_lossy(&body).into_owned());
                Ok(None)
            }
            RESET_CONNECTION => {
                self.statements.clear();
                self.context.names = None;
                Ok(None)
            }
            QUERY => return self.query(body).await,
            STMT_PREPARE => return self.prepare(body).await,
            STMT_EXECUTE => return self.execute(body).await,
            // Neither has an answer, whatever it names.
            STMT_SEND_LONG_DATA => {
                self.long_data(body);
                return Ok(());
            }
            STMT_CLOSE => {
                let id = Reader(body).u32().unwrap_or(0);
                self.statements.remove(&id);
                return Ok(());
            }
            STMT_RESET => self.statement(&body).map(|s| {
                s.long.clear();
                s.too_long = false;
                None
            }),
            STMT_FETCH => Err(SqlError::new(code::NOT_CARRIED, "cursors are not carried")),
            other => Err(SqlError::new(code::COMMAND, format!("command {other:#04x} is not known"))),
        };
        match answer {
            Ok(_) => self.write([&ok()[..]].into_iter()).await,
            Err(e) => self.say(&e).await,
        }
    }

    async fn say(&mut self, e: &SqlError) -> Result<(), End> {
        self.write([&err(e)[..]].into_iter()).await
    }

    async fn write<'b>(&mut self, packets: impl Iterator<Item = &'b [u8]>) -> Result<(), End> {
        let wire = &mut *self.wire;
        let all = async {
            for p in packets {
                wire.feed(p).await?;
            }
            SinkExt::<&[u8]>::flush(wire).await
        };
        tokio::time::timeout(WRITE, all).await.map_err(|e| PacketError::from(io::Error::from(e)))??;
        Ok(())
    }

    fn statement(&mut self, body: &Bytes) -> Result<&mut Prepared, SqlError> {
        let id = Reader(body.clone()).u32().unwrap_or(0);
        let unknown = || SqlError::new(code::NO_STATEMENT, format!("Unknown prepared statement {id}"));
        self.statements.get_mut(&id).ok_or_else(unknown)
    }

    /// Sends a request through the core and waits for its one answer, or for the client to leave.
    async fn ask(&mut self, kind: &Kind, work: Work) -> Result<Reply<Packets>, End> {
        let config = self.front.config();
        let hints = statement::hints(&work.sql);
        let hint = |name: &str| hints.iter().find(|h| h.0 == name).map(|h| h.1.as_str());
        // A hint out of range is none.
        let number = |name: &str, most: f64| {
            hint(name).and_then(|v| v.parse::<f64>().ok()).filter(|v| *v > 0.0 && *v <= most)
        };
        let group = statement::group(&work.sql);
        let class = match work.job {
            // Preparing runs nothing, so it may be repeated, whatever the statement does.
            Job::Prepare => config.rules.read,
            _ => config.rules.class(*kind == Kind::Read, hint("class"), &work.sql),
        };
        let limit = config.deadlines.get(class).copied().unwrap_or(10_000.0);
        let new = NewRequest {
            class,
            tenant: self.tenant,
            group,
            deadline: unix_ms() + number("limit", MOST_MS).unwrap_or(limit).min(limit),
            work: number("cpu", MOST_MS),
            memory_mb: number("mem", MOST_MB),
        };
        let (tx, mut answer) = oneshot::channel();
        let hub = &self.front.hub;
        let id = hub.open(new, work, Box::new(move |reply| drop(tx.send(reply))));
        let _leaves = Asked(hub, id);
        let mut watched = true;
        loop {
            let mut byte = [0; 1];
            tokio::select! {
                biased;
                reply = &mut answer => {
                    return Ok(reply.unwrap_or(Reply::Failed { why: "the request was lost" }));
                }
                // Only looked at: a client that sends its next command early has not left.
                seen = self.wire.get_ref().peek(&mut byte), if watched => match seen {
                    Ok(0) | Err(_) => return Err(End::Quit),
                    Ok(_) => watched = false,
                },
            }
        }
    }

    async fn pass_on(&mut self, reply: Reply<Packets>) -> Result<(), End> {
        match (error_of(&reply), reply) {
            (None, Reply::Served(packets)) => self.write(packets.iter()).await,
            (Some(e), _) => self.say(&e).await,
            (None, _) => Ok(()),
        }
    }

    async fn query(&mut self, sql: Bytes) -> Result<(), End> {
        match statement::kind(&sql) {
            Kind::NotCarried(why) => self.say(&SqlError::new(code::NOT_CARRIED, why)).await,
            Kind::Nothing => self.write([&ok()[..]].into_iter()).await,
            Kind::Names(names) => {
                self.context.names = Some(names);
                self.write([&ok()[..]].into_iter()).await
            }
            Kind::Use(schema) => {
                self.context.schema = Some(schema);
                self.write([&ok()[..]].into_iter()).await
            }
            kind => {
                let work = Work { context: self.context.clone(), sql, job: Job::Query };
                let reply = self.ask(&kind, work).await?;
                self.pass_on(reply).await
            }
        }
    }

    async fn prepare(&mut self, sql: Bytes) -> Result<(), End> {
        let kind = statement::kind(&sql);
        let why = match kind {
            Kind::NotCarried(why) => Some(why),
            Kind::Nothing | Kind::Use(_) | Kind::Names(_) => Some("this is not to be prepared"),
            _ => None,
        };
        if let Some(why) = why {
            return self.say(&SqlError::new(code::NOT_CARRIED, why)).await;
        }
        if self.statements.len() >= self.front.config().max_statements {
            let text = "too many prepared statements in this session; close some";
            return self.say(&SqlError::new(code::STATEMENTS, text)).await;
        }
        let work = Work { context: self.context.clone(), sql: sql.clone(), job: Job::Prepare };
        let packets = match self.ask(&kind, work).await? {
            Reply::Served(packets) => packets,
            other => return self.pass_on(other).await,
        };
        let mut all: Vec<Vec<u8>> = packets.iter().map(<[u8]>::to_vec).collect();
        // The id is the session's own: every engine connection has another.
        let id = self.next;
        if let Some(first) = all.first_mut().filter(|p| p.first() == Some(&0) && p.len() >= 12) {
            first[1..5].copy_from_slice(&id.to_le_bytes());
            let parameters = usize::from(u16::from_le_bytes([first[7], first[8]]));
            self.next = self.next.wrapping_add(1).max(1);
            let long = BTreeMap::new();
            let context = self.context.clone();
            let prepared = Prepared { context, sql, kind, parameters, bound: None, long, too_long: false };
            self.statements.insert(id, prepared);
        }
        self.write(all.iter().map(|p| &p[..])).await
    }

    async fn execute(&mut self, body: Bytes) -> Result<(), End> {
        let ready = self.statement(&body).and_then(|s| {
            let long = std::mem::take(&mut s.long);
            if std::mem::take(&mut s.too_long) {
                return Err(SqlError::new(code::PACKET, "the long data is above the bound"));
            }
            let short = |_| SqlError::new(code::MALFORMED, "the command ends too early");
            let mut r = Reader(body.slice(4..));
            let flags = r.u8().map_err(short)?;
            if flags != 0 {
                return Err(SqlError::new(code::NOT_CARRIED, "cursors are not carried"));
            }
            if r.u32().map_err(short)? != 1 {
                return Err(SqlError::new(code::ARGUMENTS, "the number of iterations is not 1"));
            }
            let execute = values::complete(s.parameters, r.0, &mut s.bound, &long)?;
            Ok((
                s.kind.clone(),
                Work { context: s.context.clone(), sql: s.sql.clone(), job: Job::Execute(execute) },
            ))
        });
        match ready {
            Ok((kind, work)) => {
                let reply = self.ask(&kind, work).await?;
                self.pass_on(reply).await
            }
            Err(e) => self.say(&e).await,
        }
    }

    fn long_data(&mut self, body: Bytes) {
        let most = self.front.config().max_packet;
        let Ok(s) = self.statement(&body) else { return };
        let mut r = Reader(body.slice(4..));
        let Ok(parameter) = r.u16() else { return };
        let held: usize = s.long.values().map(BytesMut::len).sum();
        // Head and data have to fit one packet to the engine.
        if held + r.0.len() + 16 > most || usize::from(parameter) >= s.parameters {
            s.too_long = true;
            return;
        }
        s.long.entry(parameter).or_default().extend_from_slice(&r.0);
    }
}
