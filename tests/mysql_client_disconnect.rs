//! MySQL clients that disconnect by COM_QUIT, a close, a reset or the end of TLS, and statements that are
//! killed: no statement of theirs starts on an engine afterwards. Each test forces the order of events: the
//! engine's response is held back and sent together with the disconnect, before the runtime polls either;
//! then the thread is blocked for longer than the detection limit. No complete command may reach the engine,
//! and the transaction of another client must get the only slot, sticky session and engine connection.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod scenario;

use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use query_dispatcher::ListUpdate;
use query_dispatcher::config::tls::{CertificateFiles, TlsSettings, TlsVersion};
use query_dispatcher::config::{EngineCredentials, MysqlFrontendConfig, SpoolSettings};
use query_dispatcher::core::{Core, CoreLimits};
use query_dispatcher::discovery::EndpointListChange;
use query_dispatcher::dispatch::RequestRouter;
use query_dispatcher::frontend::mysql::Frontend;
use query_dispatcher::protocol::mysql::auth;
use query_dispatcher::protocol::mysql::error::SqlError;
use query_dispatcher::protocol::mysql::packet::*;
use query_dispatcher::spool_io::Spools;
use query_dispatcher::sticky_sessions::StickySessionLimits;
use query_dispatcher::transport::buffer_pool::BufferPool;
use query_dispatcher::transport::memory_budget::Reservation;
use query_dispatcher::transport::tls::TlsKeys;
use query_dispatcher::upstream::mysql::MysqlUpstream;
use scenario::*;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use testbed::program::Folder;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::pki_types::{CertificateDer, ServerName};
use tokio_rustls::rustls::{ClientConfig, RootCertStore};
use tokio_stream::StreamExt;
use tokio_util::codec::{Encoder, Framed};

type FramedConnection<S = TcpStream> = Framed<S, PacketCodec>;

/// No statement may start for a client that disconnected longer ago than this.
const DISCONNECT_DETECTION_LIMIT: Duration = Duration::from_millis(100);
/// Time for which the thread of the runtime is blocked: longer than the detection limit.
const STALL: Duration = Duration::from_millis(120);
/// The statement of the client that disconnects.
const DEPARTED_STATEMENT: &str = "insert into sales_17.departed values (1)";

fn wire<S: AsyncRead + AsyncWrite>(io: S) -> FramedConnection<S> {
    Framed::new(
        io,
        PacketCodec {
            max_packet: 1 << 20,
            sequence: 0,
            memory: Reservation::default(),
        },
    )
}

/// Encodes packets with sequence numbers from `sequence` on.
fn framed<'a>(sequence: u8, packets: impl IntoIterator<Item = &'a [u8]>) -> Vec<u8> {
    let (mut codec, mut bytes) = (
        PacketCodec {
            max_packet: 1 << 20,
            sequence,
            memory: Reservation::default(),
        },
        BytesMut::new(),
    );
    packets
        .into_iter()
        .for_each(|p| codec.encode(p, &mut bytes).unwrap());
    bytes.to_vec()
}

/// Writes bytes to the kernel's send buffer at once.
fn send_now(tcp: &TcpStream, bytes: &[u8]) {
    assert_eq!(SockRef::from(tcp).send(bytes).unwrap(), bytes.len());
}

/// Makes the close of a connection a reset.
fn reset_on_close(tcp: &TcpStream) {
    SockRef::from(tcp).set_linger(Some(Duration::ZERO)).unwrap();
}

/// An engine's connection and the response that is held back on it.
struct HeldResponse {
    wire: FramedConnection,
    response: Vec<u8>,
}

/// The state that all fake engines share.
#[derive(Default)]
struct Engines {
    /// All commands that were received completely.
    received: RefCell<Vec<String>>,
    /// Prefix of the next command, or step of the login, whose response is held back.
    hold: Cell<Option<&'static str>>,
    held: RefCell<Option<HeldResponse>>,
    /// Closes all connections.
    close: Notify,
    /// Number of connections so far.
    connections: Cell<u32>,
}

impl Engines {
    /// Returns whether the response to this command is held back; only one response is.
    fn holds(&self, command: &str) -> bool {
        let holds = self
            .hold
            .get()
            .is_some_and(|prefix| command.to_ascii_lowercase().starts_with(prefix));
        if holds {
            self.hold.set(None);
        }
        holds
    }

    /// Waits for the response that is held back.
    async fn held(&self) -> HeldResponse {
        loop {
            if let Some(held) = self.held.take() {
                return held;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Serves one connection of a fake engine from its greeting on.
async fn serve_from_login(engines: Rc<Engines>, tcp: TcpStream) {
    let mut w = wire(tcp);
    let number = engines.connections.get() + 1;
    engines.connections.set(number);
    let greeting = Greeting {
        connection: number,
        nonce: vec![9; 20],
        plugin: auth::MYSQL_NATIVE_PASSWORD.into(),
        capabilities: BASE_CAPABILITIES,
    };
    w.send(&greeting.write("8.0.0")[..]).await.unwrap();
    let Some(Ok(_)) = w.next().await else { return };
    let response = framed(2, [&ok_packet()[..]]);
    if engines.holds("login") {
        *engines.held.borrow_mut() = Some(HeldResponse { wire: w, response });
        return;
    }
    w.get_mut().write_all(&response).await.unwrap();
    if engines.holds("silent") {
        *engines.held.borrow_mut() = Some(HeldResponse {
            wire: w,
            response: vec![],
        });
        return;
    }
    serve(engines, w).await;
}

/// Answers and records every complete command.
async fn serve(engines: Rc<Engines>, mut w: FramedConnection) {
    let mut status = SERVER_STATUS_AUTOCOMMIT;
    loop {
        w.codec_mut().sequence = 0;
        let p = tokio::select! {
            p = w.next() => p,
            () = engines.close.notified() => return,
        };
        let Some(Ok(p)) = p else { return };
        let text = String::from_utf8_lossy(&p[1..]).into_owned();
        let received = match p[0] {
            COM_QUERY => text,
            COM_STMT_PREPARE => format!("prepare {text}"),
            COM_STMT_EXECUTE => "execute".into(),
            COM_QUIT => return,
            other => format!("command {other}"),
        };
        status = match &received[..] {
            begin if begin.starts_with("begin") => {
                SERVER_STATUS_AUTOCOMMIT | SERVER_STATUS_IN_TRANS
            }
            "commit" | "rollback" => SERVER_STATUS_AUTOCOMMIT,
            _ => status,
        };
        let ok = [0, 0, 0, status as u8, 0, 0, 0];
        let response = match &received[..] {
            // Statement 1, without columns, with one parameter if the SQL has a placeholder.
            prepare if prepare.contains('?') => framed(
                1,
                [
                    &[0, 1, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0][..],
                    &column(),
                    &eof_packet(SERVER_STATUS_AUTOCOMMIT),
                ],
            ),
            prepare if prepare.starts_with("prepare") => {
                framed(1, [&[0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0][..]])
            }
            large if large.starts_with("select large") => large_result(),
            _ => framed(1, [&ok[..]]),
        };
        engines.received.borrow_mut().push(received.clone());
        if engines.holds(&received) {
            *engines.held.borrow_mut() = Some(HeldResponse { wire: w, response });
            return;
        }
        if w.get_mut().write_all(&response).await.is_err() {
            return;
        }
    }
}

/// Returns the definition of a column.
fn column() -> Vec<u8> {
    [
        &[3][..],
        b"def",
        &[0, 0, 0, 1],
        b"n",
        &[0, 0x0c, 45, 0, 9, 0, 0, 0, 0xfd, 0, 0, 0, 0, 0],
    ]
    .concat()
}

/// Returns a result that is larger than the kernel's buffers of one connection.
fn large_result() -> Vec<u8> {
    let (column, end) = (column(), eof_packet(SERVER_STATUS_AUTOCOMMIT));
    let row = [&[0xfc][..], &60_000u16.to_le_bytes(), &[b'x'; 60_000]].concat();
    let rows = std::iter::repeat_n(&row[..], 200);
    framed(
        1,
        [&[1][..], &column, &end]
            .into_iter()
            .chain(rows)
            .chain([&end[..]]),
    )
}

/// A dispatcher with fake engines.
struct Fixture {
    router: Rc<RequestRouter<MysqlUpstream>>,
    frontend: Rc<Frontend<MysqlUpstream>>,
    address: SocketAddr,
    engines: Rc<Engines>,
    engine_addresses: Vec<SocketAddr>,
    /// Number of commands that engines had received at the last disconnect.
    received_before: Cell<usize>,
}

/// Starts a dispatcher with this number of engines, one connection to each and one sticky session.
async fn start(engine_count: usize) -> Fixture {
    let (engines, mut engine_addresses) = (Rc::new(Engines::default()), vec![]);
    for _ in 0..engine_count {
        let socket = TcpSocket::new_v4().unwrap();
        // The kernel buffers little of what the engine does not read.
        socket.set_recv_buffer_size(4096).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(64).unwrap();
        engine_addresses.push(listener.local_addr().unwrap());
        let engines = engines.clone();
        spawn_local(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                spawn_local(serve_from_login(engines.clone(), tcp));
            }
        });
    }
    let (_, names, sockets) = core();
    let core = Core::new(
        settings(),
        1,
        CoreLimits {
            max_open_requests: 1000,
            answer_margin: Duration::from_millis(20),
            page_timeout: Duration::from_millis(600),
        },
    )
    .unwrap();
    let pool = BufferPool::default();
    let large_spool = SpoolSettings::in_memory(64 << 20);
    let (spools, disk_completions) =
        Spools::open(&large_spool, names.classes.clone(), names.tenants.clone()).unwrap();
    spawn_local(spools.clone().run(disk_completions));
    let credentials = EngineCredentials {
        max_connections: 1,
        ..engine_credentials()
    };
    let router = RequestRouter::new(
        core,
        names,
        MysqlUpstream::new(credentials, sockets, pool.clone(), spools.clone()),
    );
    router.update_endpoints(&endpoint_list_snapshot(&engine_addresses, None));
    spawn_local(router.clone().run_clock());
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let config = mysql_frontend_config();
    let sticky_sessions = StickySessionLimits {
        max_sessions: 1,
        max_sessions_per_tenant: 1,
        ..config.sticky_sessions.clone()
    };
    let frontend = Frontend::new(
        router.clone(),
        pool,
        MysqlFrontendConfig {
            max_clients: 400,
            sticky_sessions,
            ..config
        },
        spools,
    );
    spawn_local(frontend.clone().accept(listener));
    Fixture {
        router,
        frontend,
        address,
        engines,
        engine_addresses,
        received_before: Cell::new(0),
    }
}

impl Fixture {
    async fn session(&self) -> FramedConnection {
        self.session_with_id().await.0
    }

    /// Opens a session and returns it with its connection id.
    async fn session_with_id(&self) -> (FramedConnection, u32) {
        let mut w = wire(connect(self.address).await);
        let id = log_in(&mut w, None).await;
        (w, id)
    }

    /// Marks the disconnect: from here on, engines may receive no statement of the departed client.
    fn mark_disconnect(&self) {
        self.received_before
            .set(self.engines.received.borrow().len());
    }

    /// Returns the commands since the disconnect that are not the dispatcher's own: KILL, the query for the uptime
    /// before it, and SET.
    fn received_since_disconnect(&self) -> Vec<String> {
        let received = self.engines.received.borrow();
        let is_statement = |sql: &&String| {
            !sql.starts_with("KILL")
                && *sql != "SHOW GLOBAL STATUS LIKE 'Uptime'"
                && !sql.to_ascii_lowercase().starts_with("set ")
        };
        received[self.received_before.get()..]
            .iter()
            .filter(is_statement)
            .cloned()
            .collect()
    }

    /// Sends the held response and disconnects the client before the runtime polls either, and stalls the
    /// runtime.
    async fn disconnect_with_held_response<T>(
        &self,
        label: &str,
        disconnect: impl FnOnce() -> T,
    ) -> T {
        let held = self.engines.held().await;
        self.mark_disconnect();
        send_now(held.wire.get_ref(), &held.response);
        let still_open = disconnect();
        std::thread::sleep(STALL);
        spawn_local(serve(self.engines.clone(), held.wire));
        self.expect_nothing_sent(label).await;
        still_open
    }

    /// Expects that no statement of the departed client has reached an engine, and that its resources are
    /// released: another client's transaction succeeds.
    async fn expect_nothing_sent(&self, label: &str) {
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert_eq!(
            self.received_since_disconnect(),
            Vec::<String>::new(),
            "{label}"
        );
        assert_eq!(
            self.router.unanswered_requests(),
            0,
            "{label}: the departed client has an open request"
        );
        let mut other = self.session().await;
        for sql in ["begin", "insert into sales_17.other values (1)", "commit"] {
            send_command(&mut other, COM_QUERY, sql).await;
            let p = packet(&mut other).await;
            assert_eq!(
                p[0],
                0,
                "{label}: another client's {sql}: {:?}",
                parse_err_packet(&p)
            );
        }
        assert_eq!(
            self.received_since_disconnect(),
            ["begin", "insert into sales_17.other values (1)", "commit"],
            "{label}"
        );
    }
}

/// Connects a client that sends without delay.
async fn connect(address: SocketAddr) -> TcpStream {
    let tcp = TcpStream::connect(address).await.unwrap();
    tcp.set_nodelay(true).unwrap();
    tcp
}

/// Logs in after reading the greeting, unless it is passed in (over TLS). Returns the connection id.
async fn log_in<S: AsyncRead + AsyncWrite + Unpin>(
    w: &mut FramedConnection<S>,
    greeting: Option<Greeting>,
) -> u32 {
    let flags = if greeting.is_some() { CLIENT_SSL } else { 0 };
    let greeting = match greeting {
        Some(greeting) => greeting,
        None => Greeting::read(packet(w).await).unwrap(),
    };
    let proof =
        auth::auth_response(auth::MYSQL_NATIVE_PASSWORD, "secret", &greeting.nonce).unwrap();
    let result_format = ResultFormat::default();
    let plugin = auth::MYSQL_NATIVE_PASSWORD.into();
    let mut login = Login {
        user: "ann".into(),
        auth: proof,
        schema: None,
        plugin,
        result_format,
    }
    .write(1 << 20);
    let flags = u32::from_le_bytes(login[..4].try_into().unwrap()) | flags;
    login[..4].copy_from_slice(&flags.to_le_bytes());
    w.send(&login[..]).await.unwrap();
    assert_eq!(packet(w).await[0], 0);
    greeting.connection
}

async fn packet<S: AsyncRead + AsyncWrite + Unpin>(w: &mut FramedConnection<S>) -> Bytes {
    w.next().await.unwrap().unwrap()
}

/// Sends a command as the first packet of a new sequence.
async fn send_command<S: AsyncRead + AsyncWrite + Unpin>(
    w: &mut FramedConnection<S>,
    kind: u8,
    text: &str,
) {
    w.codec_mut().sequence = 0;
    w.send(&[&[kind], text.as_bytes()].concat()[..])
        .await
        .unwrap();
}

/// Reads an answer of one packet, or an error.
async fn read_answer(w: &mut FramedConnection) -> Result<(), SqlError> {
    let p = packet(w).await;
    if p[0] == 0xff {
        Err(parse_err_packet(&p))
    } else {
        Ok(())
    }
}

fn encode_command(kind: u8, text: &str) -> Vec<u8> {
    framed(0, [&[&[kind], text.as_bytes()].concat()[..]])
}

/// Ways of a client to disconnect.
const DISCONNECTS: [&str; 6] = [
    "quit",
    "closed",
    "reset",
    "a ping and closed",
    "a ping and quit",
    "a statement, a ping and quit",
];

/// Disconnects a client in one of these ways; returns the connection if it stays open.
fn disconnect(w: FramedConnection, way: &str) -> Option<FramedConnection> {
    let tcp = w.get_ref();
    if way.starts_with("a statement") {
        send_now(
            tcp,
            &encode_command(COM_QUERY, "insert into sales_17.departed values (2)"),
        );
    }
    if way.contains("ping") {
        send_now(tcp, &encode_command(COM_PING, ""));
    }
    if way == "reset" {
        reset_on_close(tcp);
    }
    if way.ends_with("quit") {
        send_now(tcp, &encode_command(COM_QUIT, ""));
        return Some(w);
    }
    None
}

#[test]
fn no_statement_is_sent_when_upstream_login_and_disconnect_arrive_together() {
    on_one_thread(async {
        for way in DISCONNECTS {
            let fixture = start(1).await;
            let mut w = fixture.session().await;
            fixture.engines.hold.set(Some("login"));
            send_command(&mut w, COM_QUERY, DEPARTED_STATEMENT).await;
            fixture
                .disconnect_with_held_response(way, || disconnect(w, way))
                .await;
        }
    });
}

#[test]
fn no_transaction_begins_when_sticky_session_and_disconnect_arrive_together() {
    on_one_thread(async {
        for way in DISCONNECTS {
            let fixture = start(1).await;
            let mut w = fixture.session().await;
            fixture.engines.hold.set(Some("login"));
            send_command(&mut w, COM_QUERY, "begin /* departed */").await;
            fixture
                .disconnect_with_held_response(way, || disconnect(w, way))
                .await;
        }
    });
}

/// An engine connection is idle, and the statement arrives together with the disconnect.
#[test]
fn statement_arriving_with_its_clients_disconnect_is_not_sent() {
    on_one_thread(async {
        for way in DISCONNECTS {
            let fixture = start(1).await;
            let mut other = fixture.session().await;
            send_command(
                &mut other,
                COM_QUERY,
                "insert into sales_17.other values (0)",
            )
            .await;
            read_answer(&mut other).await.unwrap();
            let w = fixture.session().await;
            fixture.mark_disconnect();
            send_now(w.get_ref(), &encode_command(COM_QUERY, DEPARTED_STATEMENT));
            let still_open = disconnect(w, way);
            std::thread::sleep(STALL);
            fixture.expect_nothing_sent(way).await;
            drop(still_open);
        }
    });
}

/// Before its disconnect the client pipelines more than is read ahead: the session ends there, without a
/// search for the disconnect.
#[test]
fn disconnect_behind_a_full_read_ahead_buffer_is_not_forwarded() {
    on_one_thread(async {
        let fixture = start(1).await;
        let mut w = fixture.session().await;
        fixture.engines.hold.set(Some("login"));
        send_command(&mut w, COM_QUERY, DEPARTED_STATEMENT).await;
        let pipelined = encode_command(
            COM_QUERY,
            &format!("{DEPARTED_STATEMENT} /* {} */", "x".repeat(4_000)),
        );
        let disconnect = || {
            let sent = (0..25)
                .filter(|_| SockRef::from(w.get_ref()).send(&pipelined).is_ok())
                .count();
            assert!(sent * pipelined.len() > 64 * 1024, "{sent}");
            drop(w);
        };
        fixture
            .disconnect_with_held_response("behind pipelined commands", disconnect)
            .await;
    });
}

/// The session has settings or a prepared statement that its next engine connection lacks.
#[test]
fn nothing_runs_when_setup_or_prepare_completes_with_the_disconnect() {
    on_one_thread(async {
        for (hold, way) in ["set ", "prepare"]
            .into_iter()
            .flat_map(|h| ["quit", "closed", "reset"].map(|w| (h, w)))
        {
            let fixture = start(1).await;
            let mut w = fixture.session().await;
            match hold {
                "set " => send_command(&mut w, COM_QUERY, "set time_zone = '+04:00'").await,
                _ => send_command(&mut w, COM_STMT_PREPARE, DEPARTED_STATEMENT).await,
            }
            let first = packet(&mut w).await;
            assert_eq!(first[0], 0);
            fixture.engines.close.notify_waiters();
            tokio::time::sleep(Duration::from_millis(5)).await;
            fixture.engines.hold.set(Some(hold));
            match hold {
                "set " => send_command(&mut w, COM_QUERY, DEPARTED_STATEMENT).await,
                _ => {
                    let execute = [&[COM_STMT_EXECUTE], &first[1..5], &[0, 1, 0, 0, 0]].concat();
                    w.codec_mut().sequence = 0;
                    w.send(&execute[..]).await.unwrap();
                }
            }
            fixture
                .disconnect_with_held_response(&format!("{hold}: {way}"), || disconnect(w, way))
                .await;
        }
    });
}

/// The session is sticky, and a statement runs in its transaction when its client disconnects.
#[test]
fn open_transaction_ends_on_disconnect_and_frees_its_sticky_session() {
    on_one_thread(async {
        for way in DISCONNECTS {
            let fixture = start(1).await;
            let mut w = fixture.session().await;
            send_command(&mut w, COM_QUERY, "begin").await;
            assert_eq!(packet(&mut w).await[0], 0);
            fixture.engines.hold.set(Some("insert"));
            send_command(&mut w, COM_QUERY, DEPARTED_STATEMENT).await;
            let held = fixture.engines.held().await;
            fixture.mark_disconnect();
            let still_open = disconnect(w, way);
            tokio::time::sleep(DISCONNECT_DETECTION_LIMIT).await;
            drop(SockRef::from(held.wire.get_ref()).send(&held.response));
            spawn_local(serve(fixture.engines.clone(), held.wire));
            fixture.expect_nothing_sent(way).await;
            drop(still_open);
        }
    });
}

#[test]
fn no_retry_when_upstream_failure_and_disconnect_arrive_together() {
    on_one_thread(async {
        for way in DISCONNECTS {
            let fixture = start(2).await;
            let mut w = fixture.session().await;
            fixture.engines.hold.set(Some("select"));
            send_command(&mut w, COM_QUERY, "select n from sales_17.departed").await;
            let held = fixture.engines.held().await;
            fixture.mark_disconnect();
            reset_on_close(held.wire.get_ref());
            drop(held);
            let still_open = disconnect(w, way);
            std::thread::sleep(STALL);
            fixture.expect_nothing_sent(way).await;
            drop(still_open);
        }
    });
}

/// COM_QUIT arrives behind other commands: neither the queued statement nor the pipelined one starts.
#[test]
fn quit_behind_pipelined_commands_is_seen_in_time() {
    on_one_thread(async {
        let fixture = start(1).await;
        let mut w = fixture.session().await;
        fixture.engines.hold.set(Some("login"));
        send_command(&mut w, COM_QUERY, DEPARTED_STATEMENT).await;
        let held = fixture.engines.held().await;
        fixture.mark_disconnect();
        let still_open = disconnect(w, "a statement, a ping and quit");
        tokio::time::sleep(DISCONNECT_DETECTION_LIMIT).await;
        assert_eq!(
            fixture.router.unanswered_requests(),
            0,
            "the statement is abandoned"
        );
        drop(SockRef::from(held.wire.get_ref()).send(&held.response));
        spawn_local(serve(fixture.engines.clone(), held.wire));
        fixture
            .expect_nothing_sent("quit behind pipelined commands")
            .await;
        drop(still_open);
    });
}

/// The client reads nothing of a large answer and disconnects behind further commands.
#[test]
fn commands_behind_an_unread_response_are_dropped_on_disconnect() {
    on_one_thread(async {
        for way in ["quit", "half closed"] {
            let fixture = start(1).await;
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(4096).unwrap();
            let mut w = wire(socket.connect(fixture.address).await.unwrap());
            w.get_ref().set_nodelay(true).unwrap();
            log_in(&mut w, None).await;
            send_command(&mut w, COM_QUERY, "select large from sales_17.orders").await;
            while fixture.engines.received.borrow().is_empty()
                || fixture.router.unanswered_requests() > 0
            {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            fixture.mark_disconnect();
            let tcp = w.get_ref();
            send_now(tcp, &encode_command(COM_QUERY, DEPARTED_STATEMENT));
            send_now(tcp, &encode_command(COM_PING, ""));
            match way {
                "quit" => send_now(tcp, &encode_command(COM_QUIT, "")),
                _ => SockRef::from(tcp)
                    .shutdown(std::net::Shutdown::Write)
                    .unwrap(),
            }
            tokio::time::sleep(DISCONNECT_DETECTION_LIMIT).await;
            assert_eq!(
                fixture.frontend.pending_answers(),
                1,
                "the client has not read its answer"
            );
            SockRef::from(tcp).set_recv_buffer_size(1 << 20).unwrap();
            let mut answer = vec![];
            drop(w.get_mut().read_to_end(&mut answer).await);
            assert!(
                answer.len() > 200 * 60_000,
                "the answer is complete: {} bytes",
                answer.len()
            );
            fixture.expect_nothing_sent(way).await;
        }
    });
}

/// While the engine reads nothing, a command or the long data before it is partly written when its client
/// disconnects: the rest must not be written. Played on a new connection, in a sticky session and with a
/// prepared statement.
#[test]
fn partly_written_command_is_not_completed_after_disconnect() {
    on_one_thread(async {
        for first in ["silent", "begin", "prepare"] {
            for way in ["quit", "closed", "reset"] {
                let fixture = start(1).await;
                let mut w = fixture.session().await;
                fixture.engines.hold.set(Some(first));
                if first != "silent" {
                    match first {
                        "begin" => send_command(&mut w, COM_QUERY, "begin").await,
                        _ => {
                            send_command(
                                &mut w,
                                COM_STMT_PREPARE,
                                "insert into sales_17.departed values (?)",
                            )
                            .await
                        }
                    }
                    let HeldResponse { wire, response } = fixture.engines.held().await;
                    send_now(wire.get_ref(), &response);
                    assert_eq!(packet(&mut w).await[0], 0);
                    *fixture.engines.held.borrow_mut() = Some(HeldResponse {
                        wire,
                        response: vec![],
                    });
                }
                let padding = "x".repeat(60_000);
                match first {
                    "prepare" => {
                        packet(&mut w).await;
                        packet(&mut w).await;
                        send_command(
                            &mut w,
                            COM_STMT_SEND_LONG_DATA,
                            &format!("\u{1}\0\0\0\0\0{padding}"),
                        )
                        .await;
                        w.codec_mut().sequence = 0;
                        let execute = [COM_STMT_EXECUTE, 1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, 0xfd, 0];
                        w.send(&execute[..]).await.unwrap();
                    }
                    _ => {
                        send_command(
                            &mut w,
                            COM_QUERY,
                            &format!("{DEPARTED_STATEMENT} /* {padding} */"),
                        )
                        .await
                    }
                }
                let held = fixture.engines.held().await;
                tokio::time::sleep(Duration::from_millis(30)).await;
                assert_eq!(
                    fixture.router.unanswered_requests(),
                    1,
                    "{first}: the request is open"
                );
                fixture.mark_disconnect();
                let still_open = disconnect(w, way);
                tokio::time::sleep(DISCONNECT_DETECTION_LIMIT).await;
                spawn_local(serve(fixture.engines.clone(), held.wire));
                fixture
                    .expect_nothing_sent(&format!("{way}, after {first}"))
                    .await;
                drop(still_open);
            }
        }
    });
}

#[test]
fn nothing_starts_for_hundreds_of_clients_that_disconnect_together() {
    on_one_thread(async {
        let fixture = start(1).await;
        fixture.router.update_endpoints(&EndpointListChange {
            update: ListUpdate::Snapshot,
            engines: vec![],
        });
        let mut clients = vec![];
        for way in DISCONNECTS.iter().cycle().take(200) {
            let mut w = fixture.session().await;
            send_command(
                &mut w,
                COM_QUERY,
                &format!("insert into sales_17.departed values ('{way}')"),
            )
            .await;
            clients.push((w, way));
        }
        while fixture.router.unanswered_requests() < clients.len() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let still_open: Vec<_> = clients
            .into_iter()
            .map(|(w, way)| disconnect(w, way))
            .collect();
        fixture
            .router
            .update_endpoints(&endpoint_list_snapshot(&fixture.engine_addresses, None));
        tokio::time::sleep(DISCONNECT_DETECTION_LIMIT).await;
        assert_eq!(
            fixture.router.unanswered_requests(),
            0,
            "every disconnect is detected within the limit"
        );
        fixture.expect_nothing_sent("hundreds of disconnects").await;
        drop(still_open);
    });
}

/// KILL QUERY arrives while an engine connection is established, for a single statement or for a sticky
/// session. The engine's response is sent after the kill is answered, or together with the kill.
#[test]
fn killed_statement_starts_nowhere_and_its_session_continues() {
    on_one_thread(async {
        for (sql, code) in [(DEPARTED_STATEMENT, 1317), ("begin /* departed */", 1213)] {
            for together in [false, true] {
                let fixture = start(1).await;
                let (mut victim, id) = fixture.session_with_id().await;
                let mut killer = fixture.session().await;
                fixture.engines.hold.set(Some("login"));
                send_command(&mut victim, COM_QUERY, sql).await;
                let held = fixture.engines.held().await;
                fixture.mark_disconnect();
                send_now(
                    killer.get_ref(),
                    &encode_command(COM_QUERY, &format!("KILL QUERY {id}")),
                );
                killer.codec_mut().sequence = 1;
                if !together {
                    read_answer(&mut killer).await.unwrap();
                }
                send_now(held.wire.get_ref(), &held.response);
                spawn_local(serve(fixture.engines.clone(), held.wire));
                if together {
                    read_answer(&mut killer).await.unwrap();
                }
                let e = read_answer(&mut victim).await.unwrap_err();
                assert_eq!(e.code, code, "{}", e.message);
                assert!(e.message.contains("KILL QUERY"), "{}", e.message);
                fixture
                    .expect_nothing_sent(&format!("{sql}, together: {together}"))
                    .await;
                send_command(&mut victim, COM_PING, "").await;
                read_answer(&mut victim).await.unwrap();
            }
        }
    });
}

/// Over TLS, clients disconnect by close_notify, by COM_QUIT, or by a close or reset of the connection.
#[test]
fn no_statement_is_sent_for_a_tls_client_that_disconnects() {
    let folder = Folder::new("mysql-gone").unwrap();
    let certified = rcgen::generate_simple_self_signed(vec!["a.example".into()]).unwrap();
    let (cert, key) = (folder.path().join("a.pem"), folder.path().join("a.key"));
    std::fs::write(&cert, certified.cert.pem()).unwrap();
    std::fs::write(&key, certified.signing_key.serialize_pem()).unwrap();
    let source = TlsSettings {
        min_version: TlsVersion::Tls12,
        required: false,
        client_ca: None,
        certificates: vec![CertificateFiles {
            chain: cert,
            private_key: key,
        }],
    };
    let mut roots = RootCertStore::empty();
    roots
        .add(CertificateDer::from(certified.cert.der().to_vec()))
        .unwrap();
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = TlsConnector::from(Arc::new(config));
    on_one_thread(async {
        for way in ["close_notify", "quit", "a ping and quit", "closed", "reset"] {
            let fixture = start(1).await;
            fixture.frontend.enable_tls(TlsKeys::load(&source).unwrap());
            let mut w = wire(connect(fixture.address).await);
            let greeting = Greeting::read(packet(&mut w).await).unwrap();
            let mut ssl_request = (BASE_CAPABILITIES | CLIENT_SSL).to_le_bytes().to_vec();
            ssl_request.resize(32, 0);
            w.send(&ssl_request[..]).await.unwrap();
            let host = ServerName::try_from("a.example").unwrap();
            let tls = connector.connect(host, w.into_inner()).await.unwrap();
            let mut w = wire(tls);
            w.codec_mut().sequence = 2;
            log_in(&mut w, Some(greeting)).await;
            fixture.engines.hold.set(Some("login"));
            send_command(&mut w, COM_QUERY, DEPARTED_STATEMENT).await;
            let disconnect = move || {
                let (tcp, tls) = w.get_mut().get_mut();
                match way {
                    "close_notify" => tls.send_close_notify(),
                    "quit" => tls
                        .writer()
                        .write_all(&encode_command(COM_QUIT, ""))
                        .unwrap(),
                    "a ping and quit" => {
                        let commands =
                            [encode_command(COM_PING, ""), encode_command(COM_QUIT, "")].concat();
                        tls.writer().write_all(&commands).unwrap();
                    }
                    "reset" => reset_on_close(tcp),
                    _ => {}
                }
                let mut bytes = vec![];
                while tls.wants_write() {
                    tls.write_tls(&mut bytes).unwrap();
                }
                send_now(tcp, &bytes);
                (way != "closed" && way != "reset").then_some(w)
            };
            fixture.disconnect_with_held_response(way, disconnect).await;
        }
    });
}
