//! The MySQL front: sessions of clients. What a session holds (its schema and settings, its prepared statements, long
//! data) is kept here, so that each statement can run on any engine; what an engine connection alone can hold keeps
//! the session there for a while.

pub mod administrative_statements;
pub mod cursor;
mod settings;
mod sticky;

use crate::clock::MAX_ESTIMATED_MEMORY_MB;
use crate::clock::MAX_ESTIMATED_WORK_MS;
use crate::clock::unix_time_millis;
use crate::config::MysqlFrontendConfig;
use crate::core::{NewRequest, RequestId, RequestOutcome};
use crate::dispatch::request_router::{Reply, RequestRouter, Upstream};
use crate::frontend::mysql::administrative_statements::Ours;
use crate::frontend::mysql::cursor::{Cursor, cut};
use crate::log_line;
use crate::protocol::mysql::auth;
use crate::protocol::mysql::error::{ErrorCode, SqlError, code};
use crate::protocol::mysql::packet::*;
use crate::protocol::mysql::session::{SessionContext, SessionState};
use crate::protocol::mysql::values::{self, ParameterType};
use crate::protocol::statement::{self, Hints, StatementKind};
use crate::spool::{Admission, AdmissionRequest, SpoolId};
use crate::spool_io::{
    MAX_STATEMENT_CHARS, ResultListing, ResultOwner, ResultReader, SpoolError, Spools, packets,
    put_packet,
};
use crate::sticky_sessions::StickySessionTable;
use crate::transport::buffer_pool::BufferPool;
use crate::transport::connection_limiter::{
    Activity, ConnectionLimiter, ConnectionPermit, PermitGuard,
};
use crate::transport::descriptors::DescriptorBudget;
use crate::transport::framed_connection::FramedConnection;
use crate::transport::listener;
use crate::transport::pending_input::PendingInput;
use crate::transport::stream::Stream;
use crate::transport::tls::{self, TlsKeys};
use crate::upstream::mysql::downstream::Downstream;
use crate::upstream::mysql::work::{Job, Left, Output, Packets, Work, error_of};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::SinkExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio_util::codec::Encoder;

/// A client has this long to log in, and to take an answer.
const LOGIN: Duration = Duration::from_secs(10);
const WRITE: Duration = Duration::from_secs(10);
/// Clients beyond the bound that are told so at a time.
const TURNED_AWAY: usize = 64;
/// Bytes that are written at a time of a result that waits.
const CHUNK: usize = 12 * 1024;
/// Bytes of one fetch at most.
const FETCH: usize = 1 << 20;
/// Why a request fails that another session of its user's has killed.
const KILLED: &str = "it was killed by KILL QUERY";
/// COM_STMT_EXECUTE asks for a cursor.
const CURSOR_READ_ONLY: u8 = 1;

pub struct Frontend<U: Upstream<Work = Work, Output = Output>> {
    router: Rc<RequestRouter<U>>,
    pool: BufferPool,
    /// Swapped whole by a new configuration; a session keeps to the one in force at each step.
    config: RefCell<Rc<MysqlFrontendConfig>>,
    spools: Rc<Spools>,
    places: Rc<ConnectionLimiter>,
    /// What the machine lets the processes hold.
    descriptors: Cell<usize>,
    processes: Cell<usize>,
    record_rejection: Cell<usize>,
    next: Cell<u32>,
    /// For clients that want TLS.
    keys: RefCell<Option<Rc<TlsKeys>>>,
    /// Who holds engine connections.
    book: RefCell<StickySessionTable>,
    /// Open sessions by their numbers: their users and their clients.
    sessions: RefCell<BTreeMap<u32, (String, Rc<Downstream>)>>,
    stopping: tokio::sync::watch::Sender<bool>,
    /// Another process takes this dispatcher's clients.
    handed_over: Cell<bool>,
    /// Commands that are being answered, and last words.
    busy: Cell<usize>,
}

/// Counts while something is owed to a client.
struct Busy<'a>(&'a Cell<usize>);

impl<'a> Busy<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Busy(count)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// COM_QUIT stands among commands that were sent early: a client's last word, after which it waits for nothing, neither
/// for what it has asked nor for what stands before it here.
fn quits(mut bytes: &[u8]) -> bool {
    while let [a, b, c, _, rest @ ..] = bytes {
        let length = u32::from_le_bytes([*a, *b, *c, 0]) as usize;
        if length > 0 && rest.first() == Some(&COM_QUIT) {
            return true;
        }
        bytes = rest.get(length..).unwrap_or_default();
    }
    false
}

/// Why a session ends whose client is owed an answer: it has gone, or does not keep to its turn.
fn left(gone: io::Result<()>) -> End {
    match gone {
        Err(e) if e.kind() == io::ErrorKind::InvalidData => End::Broken(PacketError::OutOfOrder),
        _ => End::Quit,
    }
}

/// Bytes that are read of a client that is owed an answer: its next commands, sent early.
const AHEAD: usize = 64 * 1024;

struct Prepared {
    /// Names were resolved where the session stood then.
    schema: Option<String>,
    sql: Bytes,
    kind: StatementKind,
    parameters: usize,
    bound: Option<Vec<ParameterType>>,
    long_data: BTreeMap<u16, BytesMut>,
    /// Long data went past its bound; told at the execute, since the command itself has no answer.
    too_long: bool,
    /// It is one of ours, answered here.
    ours: Option<Ours>,
    /// Rows that are still to be fetched.
    cursor: Option<Cursor>,
}

/// A client that has logged in.
struct Known {
    number: u32,
    user: String,
    tenant: Option<usize>,
    schema: Option<String>,
    result_format: ResultFormat,
}

/// A request that its client may leave at any time.
struct Asked<'a, U: Upstream<Work = Work, Output = Output>>(&'a Rc<RequestRouter<U>>, RequestId);

impl<U: Upstream<Work = Work, Output = Output>> Drop for Asked<'_, U> {
    fn drop(&mut self) {
        self.0.abandon(self.1);
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

impl<U: Upstream<Work = Work, Output = Output>> Frontend<U> {
    pub fn new(
        router: Rc<RequestRouter<U>>,
        pool: BufferPool,
        config: MysqlFrontendConfig,
        spools: Rc<Spools>,
    ) -> Rc<Self> {
        let (stopping, _) = tokio::sync::watch::channel(false);
        // Sessions keep their place while they are idle, for they hold what they prepared.
        let places = ConnectionLimiter::new(config.max_clients, Activity::NoRequest);
        let config = RefCell::new(Rc::new(config));
        Rc::new(Frontend {
            router,
            pool,
            config,
            spools,
            places,
            descriptors: Cell::new(usize::MAX),
            processes: Cell::new(1),
            record_rejection: Cell::new(0),
            next: Cell::new(1),
            keys: RefCell::default(),
            book: RefCell::default(),
            sessions: RefCell::default(),
            stopping,
            handed_over: Cell::new(false),
            busy: Cell::new(0),
        })
    }

    fn config(&self) -> Rc<MysqlFrontendConfig> {
        self.config.borrow().clone()
    }

    /// Takes a new configuration: sessions that are open go on, under its bounds.
    pub fn configure(&self, config: MysqlFrontendConfig) {
        *self.config.borrow_mut() = Rc::new(config);
        self.share(self.processes.get() as u32);
    }

    /// From now on clients may go on in TLS.
    pub fn secure(&self, keys: Rc<TlsKeys>) {
        *self.keys.borrow_mut() = Some(keys);
    }

    /// So many processes of this dispatcher share the bound on clients.
    pub fn share(&self, processes: u32) {
        self.processes.set(processes.max(1) as usize);
        let (most, shares) = (
            self.config().max_clients / self.processes.get(),
            self.shares(),
        );
        self.places.set_limit(most.min(shares.clients).max(1));
    }

    fn shares(&self) -> DescriptorBudget {
        DescriptorBudget::per_process(self.descriptors.get(), self.processes.get())
    }

    /// The machine lets this dispatcher's processes hold so many descriptors: no more clients are let in than leave enough
    /// for the rest.
    pub fn within(&self, descriptors: usize) {
        self.descriptors.set(descriptors);
        let (most, clients) = (self.config().max_clients, self.shares().clients);
        if clients < most {
            log_line!(
                "max_clients {most}: {descriptors} descriptors have places for {clients}, so that many are let in"
            );
        }
        self.share(self.processes.get() as u32);
    }

    /// Sessions between statements end now, the others after the answer that they wait for. `to_another`: another process
    /// holds the listening socket and takes clients.
    pub fn stop(&self, to_another: bool) {
        self.handed_over.set(to_another);
        self.stopping.send_replace(true);
    }

    /// Sessions that are owed an answer, or the rest of one.
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Accepts clients until the stop. Those that the machine has accepted by then are told of it, unless another process
    /// holds the listening socket and will accept them.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut stopping = self.stopping.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stopping.wait_for(|s| *s) => break,
            };
            match accepted {
                Ok((tcp, peer)) => {
                    let frontend = self.clone();
                    let place: Option<PermitGuard> = self.places.try_acquire(Instant::now());
                    let away = usize::from(place.is_none());
                    // Those that are turned away politely are bounded as well.
                    if frontend.record_rejection.get() + away
                        > TURNED_AWAY.min(frontend.shares().final_clients)
                    {
                        continue;
                    }
                    frontend
                        .record_rejection
                        .set(frontend.record_rejection.get() + away);
                    spawn_local(async move {
                        let host = peer.ip().to_string();
                        if let Err(End::Broken(e)) =
                            frontend.session(tcp, &host, place.as_deref()).await
                        {
                            log_line!("mysql client {peer}: {e}");
                        }
                        frontend
                            .record_rejection
                            .set(frontend.record_rejection.get() - away);
                    });
                }
                Err(e) => {
                    log_line!("mysql accept: {e}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
        if self.handed_over.get() {
            return;
        }
        for tcp in listener::accepted(listener, TURNED_AWAY.min(self.shares().final_clients)) {
            let frontend = self.clone();
            spawn_local(async move {
                let codec = PacketCodec {
                    max_packet: frontend.config().max_packet,
                    sequence: 0,
                };
                frontend
                    .shut_down(&mut FramedConnection::new(
                        &frontend.pool,
                        Stream::from(tcp),
                        codec,
                    ))
                    .await
            });
        }
    }

    /// A client's last word: it has to go elsewhere.
    async fn shut_down(&self, wire: &mut FramedConnection<PacketCodec, Stream>) -> Result<(), End> {
        let _busy = Busy::new(&self.busy);
        let text = "the dispatcher shuts down; connect again".to_string();
        turn_away(wire, code::ER_SERVER_SHUTDOWN, text).await
    }

    async fn session(
        self: &Rc<Self>,
        tcp: TcpStream,
        host: &str,
        place: Option<&ConnectionPermit>,
    ) -> Result<(), End> {
        tcp.set_nodelay(true).map_err(PacketError::from)?;
        let codec = PacketCodec {
            max_packet: self.config().max_packet,
            sequence: 0,
        };
        let mut wire = FramedConnection::new(&self.pool, Stream::from(tcp), codec);
        let Some(place) = place else {
            return turn_away(&mut wire, code::ER_CON_COUNT, "Too many connections".into()).await;
        };
        let mut stopping = self.stopping.subscribe();
        let login = tokio::select! {
            login = tokio::time::timeout(LOGIN, self.log_in(&mut wire, host)) => Some(login),
            _ = stopping.wait_for(|s| *s) => None,
            () = place.eviction.notified() => return Ok(()),
        };
        let Some(login) = login else {
            return self.shut_down(&mut wire).await;
        };
        let Some(known) = login.map_err(|e| PacketError::from(io::Error::from(e)))?? else {
            return Ok(());
        };
        place.set_activity(Activity::Idle, Instant::now());
        let state = SessionState::new(known.schema);
        let downstream = Rc::new(Downstream::new(wire.get_ref().probe()));
        let own = (known.user.clone(), downstream.clone());
        self.sessions.borrow_mut().insert(known.number, own);
        let session = Session {
            frontend: self,
            wire,
            tenant: known.tenant,
            user: known.user,
            result_format: known.result_format,
            state,
            number: known.number,
            downstream,
            left: Left::default(),
            failed: None,
            hold: None,
            statements: BTreeMap::new(),
            next: 1,
        };
        session.serve().await
    }

    /// Greets, and checks the password; none if it was wrong.
    async fn log_in(
        &self,
        wire: &mut FramedConnection<PacketCodec, Stream>,
        host: &str,
    ) -> Result<Option<Known>, End> {
        let connection = self.next.get();
        self.next.set(connection.wrapping_add(1));
        let nonce = nonce()?;
        let keys = self.keys.borrow().clone();
        let capabilities = FRONTEND_CAPABILITIES | if keys.is_some() { CLIENT_SSL } else { 0 };
        let greeting = Greeting {
            connection,
            nonce: nonce.to_vec(),
            plugin: auth::MYSQL_NATIVE_PASSWORD.into(),
            capabilities,
        };
        wire.send(&greeting.write(&self.config().server_version)[..])
            .await?;
        let mut first = read_packet(&mut **wire).await?;
        if let Some(keys) = &keys {
            if Login::asks_tls(&first) {
                let ahead = BytesMut::from(&wire.read_buffer()[..]);
                wire.read_buffer_mut().clear();
                wire.get_mut()
                    .upgrade_to_tls(ahead, keys.server_config())
                    .await
                    .map_err(PacketError::from)?;
                first = read_packet(&mut **wire).await?;
            } else if keys.required() {
                let text =
                    "Connections using insecure transport are prohibited: this one is not in TLS";
                wire.send(
                    &err_packet(&SqlError::new(code::ER_SECURE_TRANSPORT_REQUIRED, text))[..],
                )
                .await?;
                return Ok(None);
            }
        }
        let login = Login::read(first)?;
        let user = self.prove(wire, &login, &nonce, host).await?;
        Ok(user.map(|tenant| Known {
            number: connection,
            user: login.user,
            tenant,
            schema: login.schema,
            result_format: login.result_format,
        }))
    }

    /// Checks who a client says it is, and tells it; the user's tenant, or none if the password was wrong.
    async fn prove(
        &self,
        wire: &mut FramedConnection<PacketCodec, Stream>,
        login: &Login,
        nonce: &[u8],
        host: &str,
    ) -> Result<Option<Option<usize>>, End> {
        let (mut plugin, mut proof) = (login.plugin.clone(), login.auth.clone());
        // One that names no way knows the oldest only.
        if plugin.is_empty() {
            plugin = auth::MYSQL_NATIVE_PASSWORD.into();
        }
        // A client that answered for another way is asked again, for one that is known here.
        if plugin != auth::MYSQL_NATIVE_PASSWORD && plugin != auth::CACHING_SHA2_PASSWORD {
            plugin = auth::MYSQL_NATIVE_PASSWORD.into();
            let ask = [
                &[0xfe][..],
                auth::MYSQL_NATIVE_PASSWORD.as_bytes(),
                &[0],
                nonce,
                &[0],
            ]
            .concat();
            wire.send(&ask[..]).await?;
            proof = read_packet(&mut **wire).await?.to_vec();
        }
        let config = self.config();
        let user = config.users.get(&login.user);
        // Some clients end the proof with a zero byte.
        let given = if proof == [0] { &[][..] } else { &proof };
        let shown = || wire.get_ref().certificate().and_then(tls::common_name);
        let known = user
            .filter(|u| auth::verify_auth_response(&plugin, &u.password, nonce, given))
            .filter(|u| {
                u.certificate_common_name.is_none() || u.certificate_common_name == shown()
            });
        let Some(user) = known else {
            let with = if given.is_empty() { "NO" } else { "YES" };
            let text = format!(
                "Access denied for user '{}'@'{host}' (using password: {with})",
                login.user
            );
            wire.send(&err_packet(&SqlError::new(code::ER_ACCESS_DENIED, text))[..])
                .await?;
            return Ok(None);
        };
        if plugin == auth::CACHING_SHA2_PASSWORD && !given.is_empty() {
            wire.send(&[1u8, 3][..]).await?;
        }
        wire.send(&ok_packet()[..]).await?;
        Ok(Some(user.tenant))
    }
}

/// Random bytes for a proof; no zero byte may stand among them: on the wire one ends them.
fn nonce() -> Result<[u8; 20], PacketError> {
    let mut nonce = [0u8; 20];
    getrandom::fill(&mut nonce)
        .map_err(|_| PacketError::Protocol("no random numbers are to be had"))?;
    nonce.iter_mut().for_each(|b| *b = *b % 127 + 1);
    Ok(nonce)
}

async fn turn_away(
    wire: &mut FramedConnection<PacketCodec, Stream>,
    code: ErrorCode,
    text: String,
) -> Result<(), End> {
    tokio::time::timeout(
        WRITE,
        wire.send(&err_packet(&SqlError::new(code, text))[..]),
    )
    .await
    .map_err(|e| PacketError::from(io::Error::from(e)))??;
    wire.close_gracefully().await;
    Ok(())
}

struct Session<'a, U: Upstream<Work = Work, Output = Output>> {
    frontend: &'a Rc<Frontend<U>>,
    wire: FramedConnection<PacketCodec, Stream>,
    tenant: Option<usize>,
    user: String,
    result_format: ResultFormat,
    state: SessionState,
    /// Its number here, as the greeting told it.
    number: u32,
    /// Its client, for those who act for it.
    downstream: Rc<Downstream>,
    /// What the statement before has left: its warnings, or its error.
    left: Left,
    failed: Option<SqlError>,
    /// The engine connection that it keeps to.
    hold: Option<sticky::Hold<'a, U>>,
    statements: BTreeMap<u32, Prepared>,
    next: u32,
}

/// What a command comes to: packets to send, or an error.
type Answer = Result<Option<Vec<Vec<u8>>>, SqlError>;

impl<U: Upstream<Work = Work, Output = Output>> Drop for Session<'_, U> {
    fn drop(&mut self) {
        self.frontend.sessions.borrow_mut().remove(&self.number);
    }
}

impl<U: Upstream<Work = Work, Output = Output>> Session<'_, U> {
    async fn serve(mut self) -> Result<(), End> {
        let mut stopping = self.frontend.stopping.subscribe();
        loop {
            self.wire.codec_mut().sequence = 0;
            let command = tokio::select! {
                            biased;
                            command = tokio_stream::StreamExt::next(&mut *self.wire) => command,
                            _ = stopping.wait_for(|s| *s) => {
                                // What it has asked by now is answered first.
                                if self.wire.get_ref().pending_input() == PendingInput::Bytes {
                                    tokio::task::yield_now().await;
                                    continue;
                                }
                                return self.frontend.shut_down(&mut self.wire).await;
                            }
            ()= tokio::time::sleep(self.frontend.config().idle_timeout)=> { if self.wire.get_ref().pending_input()!= PendingInput::Bytes {
                                    return Ok(());
                                }
                                tokio::task::yield_now().await;
                                continue;
                            }
                        };
            let command = match command {
                None => return Ok(()),
                Some(Ok(command)) => command,
                // Gone between two commands, in TLS without a word of farewell.
                Some(Err(PacketError::Io(e)))
                    if matches!(
                        e.kind(),
                        io::ErrorKind::ConnectionReset | io::ErrorKind::UnexpectedEof
                    ) =>
                {
                    return Ok(());
                }
                Some(Err(e)) => {
                    let long = matches!(e, PacketError::TooLarge(_));
                    let reason = if long {
                        code::ER_NET_PACKET_TOO_LARGE
                    } else {
                        code::ER_MALFORMED_PACKET
                    };
                    self.wire.codec_mut().sequence = 1;
                    turn_away(&mut self.wire, reason, e.to_string()).await?;
                    return Err(e.into());
                }
            };
            let _busy = Busy::new(&self.frontend.busy);
            self.downstream.begins();
            match self.command(command).await {
                Ok(()) => {}
                Err(End::Quit) => return Ok(()),
                Err(broken) => return Err(broken),
            }
        }
    }

    async fn command(&mut self, command: Bytes) -> Result<(), End> {
        let Some(&kind) = command.first() else {
            return self
                .say(&SqlError::new(code::ER_MALFORMED_PACKET, "an empty packet"))
                .await;
        };
        let body = command.slice(1..);
        let answer: Answer = match kind {
            COM_QUIT => return Err(End::Quit),
            COM_PING => Ok(None),
            COM_INIT_DB => {
                self.state
                    .use_schema(String::from_utf8_lossy(&body).into_owned());
                Ok(None)
            }
            COM_RESET_CONNECTION => {
                self.forget();
                Ok(None)
            }
            COM_CHANGE_USER => return self.change_user(body).await,
            // Several statements in one are not carried; that they are off is no news.
            COM_SET_OPTION if body[..] == [1, 0] => {
                return self
                    .write([&eof_packet(SERVER_STATUS_AUTOCOMMIT)[..]].into_iter())
                    .await;
            }
            COM_SET_OPTION => Err(SqlError::new(
                code::ER_NOT_SUPPORTED_YET,
                "several statements at once are not carried",
            )),
            COM_STATISTICS => {
                let text = format!("Sessions: {}", self.frontend.sessions.borrow().len());
                return self.write([text.as_bytes()].into_iter()).await;
            }
            COM_QUERY => return self.query(body).await,
            COM_STMT_PREPARE => return self.prepare(body).await,
            COM_STMT_EXECUTE => return self.execute(body).await,
            // Neither has an answer, whatever it names.
            COM_STMT_SEND_LONG_DATA => {
                self.long_data(body);
                return Ok(());
            }
            COM_STMT_CLOSE => {
                let id = PayloadReader(body).u32().unwrap_or(0);
                self.statements.remove(&id);
                return Ok(());
            }
            COM_STMT_RESET => self.statement(&body).map(|s| {
                s.long_data.clear();
                s.too_long = false;
                s.cursor = None;
                None
            }),
            COM_STMT_FETCH => return self.fetch(body).await,
            other => Err(SqlError::new(
                code::ER_UNKNOWN_COM,
                format!("command {other:#04x} is not known"),
            )),
        };
        match answer {
            Ok(_) => {
                let ok = self.ok();
                self.write([&ok[..]].into_iter()).await
            }
            Err(e) => self.say(&e).await,
        }
    }

    /// All but who and where it is, as at the start. What is open on an engine ends with its connection.
    fn forget(&mut self) {
        self.statements.clear();
        self.hold = None;
        self.state.reset();
        *self.left.borrow_mut() = None;
        self.failed = None;
    }

    /// Another user takes the session over, if it can prove that it is that one; else it ends.
    async fn change_user(&mut self, body: Bytes) -> Result<(), End> {
        let mut r = PayloadReader(body);
        let user = r.text();
        let n = r.u8()?;
        r.bytes(n.into())?;
        let schema = Some(r.text()).filter(|s| !s.is_empty());
        let nonce = nonce()?;
        // Whatever it has sent was made for the nonce of its log-in: it is asked for a new one.
        let ask = [
            &[0xfe][..],
            auth::MYSQL_NATIVE_PASSWORD.as_bytes(),
            &[0],
            &nonce,
            &[0],
        ]
        .concat();
        self.wire.send(&ask[..]).await?;
        let proof = tokio::time::timeout(LOGIN, read_packet(&mut *self.wire)).await;
        let auth = proof
            .map_err(|e| PacketError::from(io::Error::from(e)))??
            .to_vec();
        let login = Login {
            user,
            auth,
            schema,
            plugin: auth::MYSQL_NATIVE_PASSWORD.into(),
            result_format: self.result_format,
        };
        let frontend = self.frontend;
        let Some(tenant) = frontend
            .prove(&mut self.wire, &login, &nonce, "this session")
            .await?
        else {
            return Err(End::Quit);
        };
        self.forget();
        self.state = SessionState::new(login.schema);
        (self.tenant, self.user) = (tenant, login.user);
        let own = (self.user.clone(), self.downstream.clone());
        frontend.sessions.borrow_mut().insert(self.number, own);
        Ok(())
    }

    /// What the statement before has left, as SHOW WARNINGS tells it.
    async fn warnings(&mut self) -> Result<(), End> {
        let left = self.left.borrow().clone();
        let all = match (left, &self.failed) {
            (Some(rows), _) => rows,
            (None, failed) => {
                let rows = failed
                    .iter()
                    .map(|e| vec!["Error".into(), e.code.to_string(), e.message.clone()]);
                joined(&table(&["Level", "Code", "Message"], rows, false))
            }
        };
        self.hand_over(all).await
    }

    /// Another session of the same user is told that what it asks is killed.
    async fn kill(&mut self, number: u32) -> Result<(), End> {
        let told = match self.frontend.sessions.borrow().get(&number) {
            Some((user, downstream)) if *user == self.user => {
                downstream.kill();
                Ok(())
            }
            Some(_) => Err(SqlError::new(
                code::ER_KILL_DENIED,
                format!("You are not owner of thread {number}"),
            )),
            None => Err(SqlError::new(
                code::ER_NO_SUCH_THREAD,
                format!("Unknown thread id: {number}"),
            )),
        };
        match told {
            Ok(()) => {
                let ok = self.ok();
                self.write([&ok[..]].into_iter()).await
            }
            Err(e) => self.say(&e).await,
        }
    }

    async fn say(&mut self, e: &SqlError) -> Result<(), End> {
        self.write([&err_packet(e)[..]].into_iter()).await
    }

    async fn write<'b>(&mut self, packets: impl Iterator<Item = &'b [u8]>) -> Result<(), End> {
        let wire = &mut *self.wire;
        let all = async {
            for p in packets {
                wire.feed(p).await?;
            }
            SinkExt::<&[u8]>::flush(wire).await
        };
        tokio::time::timeout(WRITE, all)
            .await
            .map_err(|e| PacketError::from(io::Error::from(e)))??;
        Ok(())
    }

    fn statement(&mut self, body: &Bytes) -> Result<&mut Prepared, SqlError> {
        let id = PayloadReader(body.clone()).u32().unwrap_or(0);
        let unknown = || {
            SqlError::new(
                code::ER_UNKNOWN_STMT_HANDLER,
                format!("Unknown prepared statement {id}"),
            )
        };
        self.statements.get_mut(&id).ok_or_else(unknown)
    }

    /// Sends a request through the core and waits for its one answer, or for the client to leave.
    async fn ask(
        &mut self,
        kind: &StatementKind,
        context: SessionContext,
        sql: Bytes,
        job: Job,
    ) -> Result<Reply<Output>, End> {
        let config = self.frontend.config();
        let hints = Hints::parse(&sql);
        // A hint out of range is none.
        let number = |name: &str, most: f64| {
            hints
                .get(name)
                .and_then(|v| v.parse::<f64>().ok())
                .filter(|v| *v > 0.0 && *v <= most)
        };
        let group = statement::table_group(&sql);
        let class = match job {
            // Preparing runs nothing, so it may be repeated, whatever the statement does.
            Job::Prepare => config.class_rules.read_class,
            _ => {
                config
                    .class_rules
                    .class_of(*kind == StatementKind::Read, hints.get("class"), &sql)
            }
        };
        let ask = AdmissionRequest {
            tenant: self.tenant,
            class,
            protected: *kind != StatementKind::Read,
        };
        // Where its result could not be kept, nothing is sent: nothing has run.
        if !matches!(job, Job::Prepare)
            && let Admission::Rejected {
                reason,
                retry_after,
            } = self.frontend.spools.admit(ask)
        {
            self.frontend
                .router
                .record_rejection(class, RequestOutcome::Overload);
            return Ok(Reply::Rejected {
                retry_after,
                reason,
            });
        }
        let statement = String::from_utf8_lossy(&sql)
            .chars()
            .take(MAX_STATEMENT_CHARS)
            .collect();
        let who = ResultOwner {
            user: self.user.clone(),
            statement,
            binary: matches!(job, Job::Execute(_)),
        };
        let downstream = self.downstream.clone();
        let work = Work {
            context,
            sql,
            job,
            ask,
            who,
            left: self.left.clone(),
            downstream,
        };
        let limit = config.deadlines.get(class).copied().unwrap_or(10_000.0);
        let new = NewRequest {
            class,
            tenant: self.tenant,
            group,
            deadline: unix_time_millis()
                + number("limit", MAX_ESTIMATED_WORK_MS)
                    .unwrap_or(limit)
                    .min(limit),
            work: number("cpu", MAX_ESTIMATED_WORK_MS),
            memory_mb: number("mem", MAX_ESTIMATED_MEMORY_MB),
        };
        let (tx, mut answer) = oneshot::channel();
        let frontend = self.frontend;
        let router = &frontend.router;
        let id = router.open(new, work, Box::new(move |reply| drop(tx.send(reply))));
        let _leaves = Asked(router, id);
        tokio::select! {
            biased;
            reply = &mut answer => Ok(reply.unwrap_or(Reply::Failed { reason: "the request was lost" })),
            () = self.downstream.killed() => Ok(Reply::Failed { reason: KILLED }),
            // A client that sends its next command early has not left; one that quits has, and one that closes.
            gone = self.wire.read_ahead(AHEAD, quits) => Err(left(gone)),
        }
    }

    async fn pass_on(&mut self, reply: Reply<Output>) -> Result<(), End> {
        match (error_of(&reply), reply) {
            (None, Reply::Served(Output::Short(packets))) => {
                self.hand_over(packets.into_bytes()).await
            }
            (None, Reply::Served(Output::Long(spool))) => {
                match self.frontend.spools.reader(spool, 0) {
                    Some(reader) => self.stream(reader).await,
                    None => {
                        self.say(&SqlError::new(
                            code::ER_TOO_BIG_SELECT,
                            SpoolError::Removed.to_string(),
                        ))
                        .await
                    }
                }
            }
            (Some(e), _) => self.say(&e).await,
            (None, _) => Ok(()),
        }
    }

    /// A whole short result, with its ends as the client wants them.
    async fn hand_over(&mut self, all: Bytes) -> Result<(), End> {
        let ends = self.result_format;
        if ends == ResultFormat::default() {
            return self.write(packets(&all)).await;
        }
        match cut(&all) {
            Some((head, rows, tail)) => {
                let status = eof_status(&tail).unwrap_or(SERVER_STATUS_AUTOCOMMIT);
                let last = ends.last(status, None);
                let head = self.columns(&head);
                let all = head
                    .iter()
                    .map(|p| &p[..])
                    .chain(packets(&rows))
                    .chain([&last[..]]);
                self.write(all).await
            }
            None => {
                let each: Vec<Vec<u8>> = packets(&all)
                    .map(|p| {
                        if p.first() == Some(&0) {
                            ends.ok(p)
                        } else {
                            p.to_vec()
                        }
                    })
                    .collect();
                self.write(each.iter().map(|p| &p[..])).await
            }
        }
    }

    /// What stands before rows, as the client wants it.
    fn columns(&self, head: &[u8]) -> Vec<Vec<u8>> {
        let wanted = |p: &&[u8]| !(self.result_format.deprecate_eof && eof_status(p).is_some());
        packets(head).filter(wanted).map(<[u8]>::to_vec).collect()
    }

    /// A result from its spool, at the client's pace.
    async fn stream(&mut self, mut reader: ResultReader) -> Result<(), End> {
        let spools = self.frontend.spools.clone();
        let id = reader.id();
        let Some((head, tail)) = spools.with_result(id, |h| (h.header.clone(), h.trailer.clone()))
        else {
            return self
                .say(&SqlError::new(
                    code::ER_TOO_BIG_SELECT,
                    SpoolError::Removed.to_string(),
                ))
                .await;
        };
        let head = self.columns(&head);
        self.write(head.iter().map(|p| &p[..])).await?;
        loop {
            match reader.next_page().await {
                Ok(Some(page)) => {
                    self.write_slowly(&page, spools.client_stall_timeout())
                        .await?
                }
                Ok(None) => break,
                // Rows are out already: the error ends them, and nothing looks whole.
                Err(e) => {
                    return self
                        .say(&SqlError::new(
                            code::ER_TOO_BIG_SELECT,
                            format!("the result breaks off: {e}"),
                        ))
                        .await;
                }
            }
        }
        let status = tail
            .as_deref()
            .and_then(eof_status)
            .unwrap_or(SERVER_STATUS_AUTOCOMMIT);
        let last = self
            .result_format
            .last(status, spools.handle(id).as_deref());
        self.write([&last[..]].into_iter()).await
    }

    /// Rows at the client's pace: a client that takes nothing for a while is closed, one that takes little is not.
    async fn write_slowly(&mut self, page: &[u8], stall: Duration) -> Result<(), End> {
        let mut chunk = self.frontend.pool.take();
        SinkExt::<&[u8]>::flush(&mut *self.wire).await?;
        for row in packets(page) {
            self.wire.codec_mut().encode(row, &mut chunk)?;
            if chunk.len() >= CHUNK {
                self.take_out(&mut chunk, stall).await?;
            }
        }
        self.take_out(&mut chunk, stall).await
    }

    async fn take_out(&mut self, chunk: &mut BytesMut, stall: Duration) -> Result<(), End> {
        let tcp = self.wire.get_mut();
        while !chunk.is_empty() {
            let n = tokio::time::timeout(stall, tcp.write(chunk)).await;
            let n = n
                .map_err(|e| PacketError::from(io::Error::from(e)))?
                .map_err(PacketError::from)?;
            if n == 0 {
                return Err(PacketError::from(io::Error::from(io::ErrorKind::WriteZero)).into());
            }
            chunk.advance(n);
        }
        Ok(())
    }

    async fn query(&mut self, sql: Bytes) -> Result<(), End> {
        match administrative_statements::parse(&sql) {
            Some(Ok(statement)) => return self.answer_ours(statement, false).await,
            Some(Err(e)) => {
                return self
                    .say(&SqlError::new(code::ER_PARSE, e.to_string()))
                    .await;
            }
            None => {}
        }
        match statement::classify(&sql) {
            StatementKind::Unsupported(reason) => {
                self.say(&SqlError::new(code::ER_NOT_SUPPORTED_YET, reason))
                    .await
            }
            StatementKind::ShowWarnings => self.warnings().await,
            StatementKind::KillQuery(number) => self.kill(number).await,
            StatementKind::Set => self.set(sql).await,
            StatementKind::Use(schema) => {
                self.state.use_schema(schema);
                let ok = self.ok();
                self.write([&ok[..]].into_iter()).await
            }
            kind => {
                let context = self.context_for(&sql);
                match self.carry(&kind, context, sql, Job::Query).await? {
                    Ok(reply) => self.pass_on(reply).await,
                    Err(e) => self.say(&e).await,
                }
            }
        }
    }

    /// Answers a statement of ours: what waits for this user, or its pages. Nothing runs on any engine.
    async fn answer_ours(&mut self, statement: Ours, binary: bool) -> Result<(), End> {
        let spools = self.frontend.spools.clone();
        match statement {
            Ours::Results => {
                let lines = spools.list(&self.user).await;
                self.hand_over(joined(&listing(&lines, binary))).await
            }
            Ours::Fetch { handle, from } => {
                let id = match spools.resume(&self.user, &handle).await {
                    Ok(id) => id,
                    Err(e) => {
                        return self
                            .say(&SqlError::new(code::ER_NONEXISTING_GRANT, e.to_string()))
                            .await;
                    }
                };
                match self.resumable(id, from, binary) {
                    Ok(reader) => self.stream(reader).await,
                    Err(e) => self.say(&e).await,
                }
            }
        }
    }

    fn resumable(&self, id: SpoolId, from: u32, binary: bool) -> Result<ResultReader, SqlError> {
        let spools = &self.frontend.spools;
        let gone = || SqlError::new(code::ER_NONEXISTING_GRANT, SpoolError::Removed.to_string());
        let (pages, is_binary) = spools
            .with_result(id, |h| (h.page_count(), h.owner.binary))
            .ok_or_else(gone)?;
        if is_binary != binary {
            let text = match is_binary {
                true => "this result is of a prepared statement: prepare the FETCH as well",
                false => "this result is of a plain statement: send the FETCH as one",
            };
            return Err(SqlError::new(code::ER_NOT_SUPPORTED_YET, text));
        }
        if from as usize >= pages.max(1) {
            return Err(SqlError::new(
                code::ER_NONEXISTING_GRANT,
                format!("it has {pages} pages, counted from 0"),
            ));
        }
        spools.reader(id, from).ok_or_else(gone)
    }

    async fn prepare(&mut self, sql: Bytes) -> Result<(), End> {
        let own = match administrative_statements::parse(&sql) {
            Some(Err(e)) => {
                return self
                    .say(&SqlError::new(code::ER_PARSE, e.to_string()))
                    .await;
            }
            Some(Ok(own)) => Some(own),
            None => None,
        };
        let kind = statement::classify(&sql);
        let reason = match kind {
            _ if own.is_some() => None,
            StatementKind::Unsupported(reason) => Some(reason),
            StatementKind::Set
            | StatementKind::Use(_)
            | StatementKind::ShowWarnings
            | StatementKind::KillQuery(_) => Some("this is not to be prepared"),
            _ => None,
        };
        if let Some(reason) = reason {
            return self
                .say(&SqlError::new(code::ER_NOT_SUPPORTED_YET, reason))
                .await;
        }
        if self.statements.len() >= self.frontend.config().max_statements {
            let text = "too many prepared statements in this session; close some";
            return self
                .say(&SqlError::new(
                    code::ER_MAX_PREPARED_STMT_COUNT_REACHED,
                    text,
                ))
                .await;
        }
        let mut all: Vec<Vec<u8>> = match &own {
            Some(own) => match self.prepared_ours(own).await {
                Ok(all) => all,
                Err(e) => return self.say(&e).await,
            },
            None => {
                let context = self.state.context().clone();
                match self
                    .carry(&kind, context, sql.clone(), Job::Prepare)
                    .await?
                {
                    Ok(Reply::Served(Output::Short(packets))) => {
                        packets.iter().map(<[u8]>::to_vec).collect()
                    }
                    Ok(other) => return self.pass_on(other).await,
                    Err(e) => return self.say(&e).await,
                }
            }
        };
        // The id is the session's own: every engine connection has another.
        let id = self.next;
        if let Some(first) = all
            .first_mut()
            .filter(|p| p.first() == Some(&0) && p.len() >= 12)
        {
            first[1..5].copy_from_slice(&id.to_le_bytes());
            let parameters = usize::from(u16::from_le_bytes([first[7], first[8]]));
            self.next = self.next.wrapping_add(1).max(1);
            let long = BTreeMap::new();
            let schema = self.state.context().schema.clone();
            let prepared = Prepared {
                schema,
                sql,
                kind,
                parameters,
                bound: None,
                long_data: long,
                too_long: false,
                ours: own,
                cursor: None,
            };
            self.statements.insert(id, prepared);
        }
        let ends = self.result_format;
        let wanted = |p: &&Vec<u8>| !(ends.deprecate_eof && eof_status(p).is_some());
        self.write(all.iter().filter(wanted).map(|p| &p[..])).await
    }

    /// What preparing a statement of ours brings: no parameters, and the columns of its result.
    async fn prepared_ours(&self, own: &Ours) -> Result<Vec<Vec<u8>>, SqlError> {
        let head: Vec<Vec<u8>> = match own {
            Ours::Results => listing(&[], true)
                .into_iter()
                .take(COLUMNS.len() + 2)
                .collect(),
            Ours::Fetch { handle, .. } => {
                let spools = &self.frontend.spools;
                let id = spools.resume(&self.user, handle).await;
                let id =
                    id.map_err(|e| SqlError::new(code::ER_NONEXISTING_GRANT, e.to_string()))?;
                let head = spools.with_result(id, |h| h.header.clone());
                let head = head.ok_or_else(|| {
                    SqlError::new(code::ER_NONEXISTING_GRANT, SpoolError::Removed.to_string())
                })?;
                packets(&head).map(<[u8]>::to_vec).collect()
            }
        };
        // The count of columns goes into the first packet; columns and their end follow.
        let columns = head.len().saturating_sub(2) as u16;
        let mut first = vec![0, 0, 0, 0, 0];
        first.extend(columns.to_le_bytes());
        first.extend([0, 0, 0, 0, 0]);
        Ok(std::iter::once(first)
            .chain(head.into_iter().skip(1))
            .collect())
    }

    async fn execute(&mut self, body: Bytes) -> Result<(), End> {
        let ready = self.statement(&body).and_then(|s| {
            let long = std::mem::take(&mut s.long_data);
            s.cursor = None;
            if std::mem::take(&mut s.too_long) {
                return Err(SqlError::new(
                    code::ER_NET_PACKET_TOO_LARGE,
                    "the long data is above the bound",
                ));
            }
            let short = |_| SqlError::new(code::ER_MALFORMED_PACKET, "the command ends too early");
            let mut r = PayloadReader(body.slice(4..));
            let flags = r.u8().map_err(short)?;
            if flags & !CURSOR_READ_ONLY != 0 {
                return Err(SqlError::new(
                    code::ER_NOT_SUPPORTED_YET,
                    "only read-only cursors are carried",
                ));
            }
            if r.u32().map_err(short)? != 1 {
                return Err(SqlError::new(
                    code::ER_WRONG_ARGUMENTS,
                    "the number of iterations is not 1",
                ));
            }
            let execute = values::complete_parameters(s.parameters, r.0, &mut s.bound, &long)?;
            let cursor = flags == CURSOR_READ_ONLY;
            Ok((
                s.kind.clone(),
                s.schema.clone(),
                s.sql.clone(),
                execute,
                s.ours.clone(),
                cursor,
            ))
        });
        match ready {
            Ok((_, _, _, _, Some(own), _)) => self.answer_ours(own, true).await,
            Ok((kind, schema, sql, execute, None, cursor)) => {
                // Names as they were, all else as the session stands now.
                let context = SessionContext {
                    schema,
                    ..self.context_for(&sql)
                };
                match self
                    .carry(&kind, context, sql, Job::Execute(execute))
                    .await?
                {
                    Ok(Reply::Served(output)) if cursor => self.open_cursor(&body, output).await,
                    Ok(reply) => self.pass_on(reply).await,
                    Err(e) => self.say(&e).await,
                }
            }
            Err(e) => self.say(&e).await,
        }
    }

    /// The columns go out, the rows wait to be fetched. A result without rows needs no cursor.
    async fn open_cursor(&mut self, body: &Bytes, output: Output) -> Result<(), End> {
        let spools = self.frontend.spools.clone();
        let (head, cursor) = match output {
            Output::Short(packets) => {
                let all = packets.into_bytes();
                let Some((head, rows, _)) = cut(&all) else {
                    return self.hand_over(all).await;
                };
                (head, Cursor::over(rows))
            }
            Output::Long(id) => {
                let head = spools.with_result(id, |h| h.header.clone());
                let (Some(head), Some(reader)) = (head, spools.reader(id, 0)) else {
                    return self
                        .say(&SqlError::new(
                            code::ER_TOO_BIG_SELECT,
                            SpoolError::Removed.to_string(),
                        ))
                        .await;
                };
                (head, Cursor::paged(reader))
            }
        };
        if let Ok(s) = self.statement(body) {
            s.cursor = Some(cursor);
        }
        let mut all: Vec<Vec<u8>> = packets(&head).map(<[u8]>::to_vec).collect();
        all.pop();
        all.push(
            self.result_format
                .last(SERVER_STATUS_AUTOCOMMIT | SERVER_STATUS_CURSOR_EXISTS, None),
        );
        self.write(all.iter().map(|p| &p[..])).await
    }

    /// The next rows of a cursor.
    async fn fetch(&mut self, body: Bytes) -> Result<(), End> {
        let rows = body
            .get(4..8)
            .map_or(0, |b| u32::from_le_bytes([b[0], b[1], b[2], b[3]]));
        let cursor = match self.statement(&body) {
            Ok(s) => s.cursor.take(),
            Err(e) => return self.say(&e).await,
        };
        let Some(mut cursor) = cursor else {
            return self
                .say(&SqlError::new(
                    code::ER_STMT_HAS_NO_OPEN_CURSOR,
                    "no cursor is open on this statement",
                ))
                .await;
        };
        // Whatever number is asked for, what is held at a time is bounded; the rest comes with the next fetch.
        let (pages, more) = match cursor.fetch(rows.max(1), FETCH).await {
            Ok(fetched) => fetched,
            Err(e) => {
                return self
                    .say(&SqlError::new(
                        code::ER_TOO_BIG_SELECT,
                        format!("the result breaks off: {e}"),
                    ))
                    .await;
            }
        };
        let stall = self.frontend.spools.client_stall_timeout();
        for page in pages {
            self.write_slowly(&page, stall).await?;
        }
        let status = if more {
            SERVER_STATUS_CURSOR_EXISTS
        } else {
            SERVER_STATUS_CURSOR_EXISTS | SERVER_STATUS_LAST_ROW_SENT
        };
        if more && let Ok(s) = self.statement(&body) {
            s.cursor = Some(cursor);
        }
        let last = self
            .result_format
            .last(SERVER_STATUS_AUTOCOMMIT | status, None);
        self.write([&last[..]].into_iter()).await
    }

    fn long_data(&mut self, body: Bytes) {
        let most = self.frontend.config().max_packet;
        let Ok(s) = self.statement(&body) else { return };
        let mut r = PayloadReader(body.slice(4..));
        let Ok(parameter) = r.u16() else { return };
        let held: usize = s.long_data.values().map(BytesMut::len).sum();
        // Head and data have to fit one packet to the engine.
        if held + r.0.len() + 16 > most || usize::from(parameter) >= s.parameters {
            s.too_long = true;
            return;
        }
        s.long_data
            .entry(parameter)
            .or_default()
            .extend_from_slice(&r.0);
    }
}

/// The columns of a listing of results.
const COLUMNS: [&str; 7] = [
    "handle",
    "statement",
    "pages",
    "rows",
    "bytes",
    "age_s",
    "expires_in_s",
];

/// A listing of results, as a result of text columns.
fn listing(lines: &[ResultListing], binary: bool) -> Vec<Vec<u8>> {
    let rows = lines.iter().map(|l| {
        let expires = l.expires_in_s.map_or("while it is read".to_string(), |s| {
            format!("{:.1}", s.max(0.0))
        });
        vec![
            l.handle.clone(),
            l.statement.clone(),
            l.pages.to_string(),
            l.rows.to_string(),
            l.bytes.to_string(),
            format!("{:.1}", l.age_s),
            expires,
        ]
    });
    table(&COLUMNS, rows, binary)
}

/// A result of text columns.
fn table(columns: &[&str], rows: impl Iterator<Item = Vec<String>>, binary: bool) -> Vec<Vec<u8>> {
    let text = |s: &str| {
        let mut p = vec![];
        put_length_encoded_integer(&mut p, s.len() as u64);
        p.extend(s.bytes());
        p
    };
    let column = |name: &str| {
        let words: Vec<u8> = ["def", "", "", "", name, name]
            .into_iter()
            .flat_map(text)
            .collect();
        // 512 bytes of utf8mb4 at most, a string.
        [
            &words[..],
            &[0x0c, UTF8MB4_GENERAL_CI, 0, 0, 2, 0, 0, 0xfd, 0, 0, 0, 0, 0],
        ]
        .concat()
    };
    let mut all = vec![vec![columns.len() as u8]];
    all.extend(columns.iter().map(|c| column(c)));
    all.push(eof_packet(SERVER_STATUS_AUTOCOMMIT).to_vec());
    for fields in rows {
        // A row of the binary protocol: its mark, no NULL among so few columns.
        let mut row = if binary { vec![0, 0, 0] } else { vec![] };
        fields.iter().for_each(|f| row.extend(text(f)));
        all.push(row);
    }
    all.push(eof_packet(SERVER_STATUS_AUTOCOMMIT).to_vec());
    all
}

/// Packets, each behind its length.
fn joined(all: &[Vec<u8>]) -> Bytes {
    let mut bytes = BytesMut::new();
    all.iter().for_each(|p| put_packet(&mut bytes, p));
    bytes.freeze()
}
