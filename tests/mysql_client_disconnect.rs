//! MySQL clients that have gone, by their last word, a close, a reset or the end of their TLS, and requests that are
//! killed: nothing of theirs begins on an engine any more. Each test forces the moment: the engine's word is held back,
//! and given in the same turn as the leave, before the runtime hears of either; then the thread is kept for longer than
//! the term. At the engine's end nothing may come whole; and another's transaction has to get the one place, pin and
//! connection that there are.

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

/// So late after a leave nothing may begin any more.
const TERM: Duration = Duration::from_millis(100);
/// The thread is kept from the runtime for so long.
const LATE: Duration = Duration::from_millis(120);
const LEAVERS: &str = "insert into sales_17.leaver values (1)";

fn wire<S: AsyncRead + AsyncWrite>(io: S) -> FramedConnection<S> {
    Framed::new(
        io,
        PacketCodec {
            max_packet: 1 << 20,
            sequence: 0,
        },
    )
}

/// Packets as they stand on the wire, counted from `sequence`.
fn framed<'a>(sequence: u8, packets: impl IntoIterator<Item = &'a [u8]>) -> Vec<u8> {
    let (mut codec, mut bytes) = (
        PacketCodec {
            max_packet: 1 << 20,
            sequence,
        },
        BytesMut::new(),
    );
    packets
        .into_iter()
        .for_each(|p| codec.encode(p, &mut bytes).unwrap());
    bytes.to_vec()
}

/// Hands bytes to the machine at once.
fn send_now(tcp: &TcpStream, bytes: &[u8]) {
    assert_eq!(SockRef::from(tcp).send(bytes).unwrap(), bytes.len());
}

fn reset(tcp: &TcpStream) {
    SockRef::from(tcp).set_linger(Some(Duration::ZERO)).unwrap();
}

/// A connection whose engine holds its word back, and that word.
struct Held {
    wire: FramedConnection,
    word: Vec<u8>,
}

/// All engines: what they were sent whole, and where one is to hold its word back.
#[derive(Default)]
struct Engines {
    came: RefCell<Vec<String>>,
    hold: Cell<Option<&'static str>>,
    held: RefCell<Option<Held>>,
    /// All connections end.
    close: Notify,
}

impl Engines {
    fn holds(&self, what: &str) -> bool {
        let holds = self
            .hold
            .get()
            .is_some_and(|h| what.to_ascii_lowercase().starts_with(h));
        if holds {
            self.hold.set(None);
        }
        holds
    }

    async fn held(&self) -> Held {
        loop {
            if let Some(held) = self.held.take() {
                return held;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn log_in_here(engines: Rc<Engines>, tcp: TcpStream) {
    let mut w = wire(tcp);
    let greeting = Greeting {
        connection: 7,
        nonce: vec![9; 20],
        plugin: auth::MYSQL_NATIVE_PASSWORD.into(),
        capabilities: BASE_CAPABILITIES,
    };
    w.send(&greeting.write("8.0.0")[..]).await.unwrap();
    let Some(Ok(_)) = w.next().await else { return };
    let word = framed(2, [&ok_packet()[..]]);
    if engines.holds("login") {
        *engines.held.borrow_mut() = Some(Held { wire: w, word });
        return;
    }
    w.get_mut().write_all(&word).await.unwrap();
    if engines.holds("silent") {
        *engines.held.borrow_mut() = Some(Held {
            wire: w,
            word: vec![],
        });
        return;
    }
    serve(engines, w).await;
}

/// Answers whatever comes whole, and keeps account of it.
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
        let what = match p[0] {
            COM_QUERY => text,
            COM_STMT_PREPARE => format!("prepare {text}"),
            COM_STMT_EXECUTE => "execute".into(),
            COM_QUIT => return,
            other => format!("command {other}"),
        };
        status = match &what[..] {
            begin if begin.starts_with("begin") => {
                SERVER_STATUS_AUTOCOMMIT | SERVER_STATUS_IN_TRANS
            }
            "commit" | "rollback" => SERVER_STATUS_AUTOCOMMIT,
            _ => status,
        };
        let done = [0, 0, 0, status as u8, 0, 0, 0];
        let word = match &what[..] {
            // Number 1, without columns, of as many parameters as it names (one at most).
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
            _ => framed(1, [&done[..]]),
        };
        engines.came.borrow_mut().push(what.clone());
        if engines.holds(&what) {
            *engines.held.borrow_mut() = Some(Held { wire: w, word });
            return;
        }
        if w.get_mut().write_all(&word).await.is_err() {
            return;
        }
    }
}

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

/// More than the machine keeps unread and unsent of one connection.
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

struct Stand {
    router: Rc<RequestRouter<MysqlUpstream>>,
    frontend: Rc<Frontend<MysqlUpstream>>,
    address: SocketAddr,
    engines: Rc<Engines>,
    at: Vec<SocketAddr>,
    /// What had come at the last leave.
    before: Cell<usize>,
}

/// One pin and one connection to each of so many engines.
async fn stand(engines: usize) -> Stand {
    let (all, mut at) = (Rc::new(Engines::default()), vec![]);
    for _ in 0..engines {
        let socket = TcpSocket::new_v4().unwrap();
        // It takes little that it does not read.
        socket.set_recv_buffer_size(4096).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(64).unwrap();
        at.push(listener.local_addr().unwrap());
        let all = all.clone();
        spawn_local(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                spawn_local(log_in_here(all.clone(), tcp));
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
    let large = SpoolSettings::in_memory(64 << 20);
    let (spools, done) =
        Spools::open(&large, names.classes.clone(), names.tenants.clone()).unwrap();
    spawn_local(spools.clone().run(done));
    let access = EngineCredentials {
        max_connections: 1,
        ..access()
    };
    let router = RequestRouter::new(
        core,
        names,
        MysqlUpstream::new(access, sockets, pool.clone(), spools.clone()),
    );
    router.update_endpoints(&change(&at, None));
    spawn_local(router.clone().run_clock());
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let config = mysql_front();
    let pins = StickySessionLimits {
        max_sessions: 1,
        max_sessions_per_tenant: 1,
        ..config.sticky_sessions.clone()
    };
    let frontend = Frontend::new(
        router.clone(),
        pool,
        MysqlFrontendConfig {
            max_clients: 400,
            sticky_sessions: pins,
            ..config
        },
        spools,
    );
    spawn_local(frontend.clone().accept(listener));
    Stand {
        router,
        frontend,
        address,
        engines: all,
        at,
        before: Cell::new(0),
    }
}

impl Stand {
    async fn session(&self) -> FramedConnection {
        self.numbered().await.0
    }

    async fn numbered(&self) -> (FramedConnection, u32) {
        let mut w = wire(connect(self.address).await);
        let number = prove(&mut w, None).await;
        (w, number)
    }

    /// From here on nothing of the leaver's may come.
    fn leaves(&self) {
        self.before.set(self.engines.came.borrow().len());
    }

    fn since(&self) -> Vec<String> {
        let came = self.engines.came.borrow();
        let others =
            |w: &&String| !w.starts_with("KILL") && !w.to_ascii_lowercase().starts_with("set ");
        came[self.before.get()..]
            .iter()
            .filter(others)
            .cloned()
            .collect()
    }

    /// The engine's word and the leave are with the machine before the runtime hears of either, and it hears late.
    async fn in_one_turn<T>(&self, tells: &str, leave: impl FnOnce() -> T) -> T {
        let held = self.engines.held().await;
        self.leaves();
        send_now(held.wire.get_ref(), &held.word);
        let kept = leave();
        std::thread::sleep(LATE);
        spawn_local(serve(self.engines.clone(), held.wire));
        self.nothing_more(tells).await;
        kept
    }

    /// Nothing of the leaver's has come, and all that it held is free.
    async fn nothing_more(&self, tells: &str) {
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert_eq!(self.since(), Vec::<String>::new(), "{tells}");
        assert_eq!(
            self.router.unanswered_requests(),
            0,
            "{tells}: its place in the budget"
        );
        let mut other = self.session().await;
        for sql in ["begin", "insert into sales_17.other values (1)", "commit"] {
            ask(&mut other, COM_QUERY, sql).await;
            let p = packet(&mut other).await;
            assert_eq!(
                p[0],
                0,
                "{tells}: another's {sql}: {:?}",
                parse_err_packet(&p)
            );
        }
        assert_eq!(
            self.since(),
            ["begin", "insert into sales_17.other values (1)", "commit"],
            "{tells}"
        );
    }
}

/// A client whose machine holds nothing back.
async fn connect(address: SocketAddr) -> TcpStream {
    let tcp = TcpStream::connect(address).await.unwrap();
    tcp.set_nodelay(true).unwrap();
    tcp
}

/// Reads the greeting and logs in; in TLS the caller has read the greeting.
async fn prove<S: AsyncRead + AsyncWrite + Unpin>(
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
    let ends = ResultFormat::default();
    let plugin = auth::MYSQL_NATIVE_PASSWORD.into();
    let mut login = Login {
        user: "ann".into(),
        auth: proof,
        schema: None,
        plugin,
        result_format: ends,
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

async fn ask<S: AsyncRead + AsyncWrite + Unpin>(w: &mut FramedConnection<S>, kind: u8, text: &str) {
    w.codec_mut().sequence = 0;
    w.send(&[&[kind], text.as_bytes()].concat()[..])
        .await
        .unwrap();
}

async fn told(w: &mut FramedConnection) -> Result<(), SqlError> {
    let p = packet(w).await;
    if p[0] == 0xff {
        Err(parse_err_packet(&p))
    } else {
        Ok(())
    }
}

fn command(kind: u8, text: &str) -> Vec<u8> {
    framed(0, [&[&[kind], text.as_bytes()].concat()[..]])
}

const WAYS: [&str; 6] = [
    "quit",
    "closed",
    "reset",
    "a ping and closed",
    "a ping and quit",
    "a statement, a ping and quit",
];

/// A client leaves in one of these ways; what is kept of it stays open.
fn leave(w: FramedConnection, way: &str) -> Option<FramedConnection> {
    let tcp = w.get_ref();
    if way.starts_with("a statement") {
        send_now(
            tcp,
            &command(COM_QUERY, "insert into sales_17.leaver values (2)"),
        );
    }
    if way.contains("ping") {
        send_now(tcp, &command(COM_PING, ""));
    }
    if way == "reset" {
        reset(tcp);
    }
    if way.ends_with("quit") {
        send_now(tcp, &command(COM_QUIT, ""));
        return Some(w);
    }
    None
}

#[test]
fn no_statement_is_sent_when_upstream_login_and_disconnect_arrive_together() {
    on_one_thread(async {
        for way in WAYS {
            let stand = stand(1).await;
            let mut w = stand.session().await;
            stand.engines.hold.set(Some("login"));
            ask(&mut w, COM_QUERY, LEAVERS).await;
            stand.in_one_turn(way, || leave(w, way)).await;
        }
    });
}

#[test]
fn no_transaction_begins_when_sticky_session_and_disconnect_arrive_together() {
    on_one_thread(async {
        for way in WAYS {
            let stand = stand(1).await;
            let mut w = stand.session().await;
            stand.engines.hold.set(Some("login"));
            ask(&mut w, COM_QUERY, "begin /* leaver */").await;
            stand.in_one_turn(way, || leave(w, way)).await;
        }
    });
}

/// The engine's connection stands ready, and the statement itself comes with the leave.
#[test]
fn statement_arriving_with_its_clients_disconnect_is_not_sent() {
    on_one_thread(async {
        for way in WAYS {
            let stand = stand(1).await;
            let mut other = stand.session().await;
            ask(
                &mut other,
                COM_QUERY,
                "insert into sales_17.other values (0)",
            )
            .await;
            told(&mut other).await.unwrap();
            let w = stand.session().await;
            stand.leaves();
            send_now(w.get_ref(), &command(COM_QUERY, LEAVERS));
            let kept = leave(w, way);
            std::thread::sleep(LATE);
            stand.nothing_more(way).await;
            drop(kept);
        }
    });
}

/// More than a client may say early stands before its end: nobody looks for the end behind it, the session ends there.
#[test]
fn disconnect_behind_a_full_read_ahead_buffer_is_not_forwarded() {
    on_one_thread(async {
        let stand = stand(1).await;
        let mut w = stand.session().await;
        stand.engines.hold.set(Some("login"));
        ask(&mut w, COM_QUERY, LEAVERS).await;
        let more = command(COM_QUERY, &format!("{LEAVERS} /* {} */", "x".repeat(4_000)));
        let leave = || {
            let said = (0..25)
                .filter(|_| SockRef::from(w.get_ref()).send(&more).is_ok())
                .count();
            assert!(said * more.len() > 64 * 1024, "{said}");
            drop(w);
        };
        stand.in_one_turn("behind much", leave).await;
    });
}

/// The session has settings, or a statement prepared, that its next connection lacks.
#[test]
fn nothing_runs_when_setup_or_prepare_completes_with_the_disconnect() {
    on_one_thread(async {
        for (hold, way) in ["set ", "prepare"]
            .into_iter()
            .flat_map(|h| ["quit", "closed", "reset"].map(|w| (h, w)))
        {
            let stand = stand(1).await;
            let mut w = stand.session().await;
            match hold {
                "set " => ask(&mut w, COM_QUERY, "set time_zone = '+04:00'").await,
                _ => ask(&mut w, COM_STMT_PREPARE, LEAVERS).await,
            }
            let first = packet(&mut w).await;
            assert_eq!(first[0], 0);
            stand.engines.close.notify_waiters();
            tokio::time::sleep(Duration::from_millis(5)).await;
            stand.engines.hold.set(Some(hold));
            match hold {
                "set " => ask(&mut w, COM_QUERY, LEAVERS).await,
                _ => {
                    let execute = [&[COM_STMT_EXECUTE], &first[1..5], &[0, 1, 0, 0, 0]].concat();
                    w.codec_mut().sequence = 0;
                    w.send(&execute[..]).await.unwrap();
                }
            }
            stand
                .in_one_turn(&format!("{hold}: {way}"), || leave(w, way))
                .await;
        }
    });
}

/// The pin holds, and its next statement waits for one that runs there.
#[test]
fn open_transaction_ends_on_disconnect_and_frees_its_sticky_session() {
    on_one_thread(async {
        for way in WAYS {
            let stand = stand(1).await;
            let mut w = stand.session().await;
            ask(&mut w, COM_QUERY, "begin").await;
            assert_eq!(packet(&mut w).await[0], 0);
            stand.engines.hold.set(Some("insert"));
            ask(&mut w, COM_QUERY, LEAVERS).await;
            let held = stand.engines.held().await;
            stand.leaves();
            let kept = leave(w, way);
            tokio::time::sleep(TERM).await;
            drop(SockRef::from(held.wire.get_ref()).send(&held.word));
            spawn_local(serve(stand.engines.clone(), held.wire));
            stand.nothing_more(way).await;
            drop(kept);
        }
    });
}

#[test]
fn no_retry_when_upstream_failure_and_disconnect_arrive_together() {
    on_one_thread(async {
        for way in WAYS {
            let stand = stand(2).await;
            let mut w = stand.session().await;
            stand.engines.hold.set(Some("select"));
            ask(&mut w, COM_QUERY, "select n from sales_17.leaver").await;
            let held = stand.engines.held().await;
            stand.leaves();
            reset(held.wire.get_ref());
            drop(held);
            let kept = leave(w, way);
            std::thread::sleep(LATE);
            stand.nothing_more(way).await;
            drop(kept);
        }
    });
}

/// A last word behind other commands: neither what waits nor what stands before it begins.
#[test]
fn quit_behind_pipelined_commands_is_seen_in_time() {
    on_one_thread(async {
        let stand = stand(1).await;
        let mut w = stand.session().await;
        stand.engines.hold.set(Some("login"));
        ask(&mut w, COM_QUERY, LEAVERS).await;
        let held = stand.engines.held().await;
        stand.leaves();
        let kept = leave(w, "a statement, a ping and quit");
        tokio::time::sleep(TERM).await;
        assert_eq!(stand.router.unanswered_requests(), 0, "it is left");
        drop(SockRef::from(held.wire.get_ref()).send(&held.word));
        spawn_local(serve(stand.engines.clone(), held.wire));
        stand.nothing_more("behind others").await;
        drop(kept);
    });
}

/// It takes nothing of a large answer, and goes behind further commands.
#[test]
fn commands_behind_an_unread_response_are_dropped_on_disconnect() {
    on_one_thread(async {
        for way in ["quit", "half closed"] {
            let stand = stand(1).await;
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(4096).unwrap();
            let mut w = wire(socket.connect(stand.address).await.unwrap());
            w.get_ref().set_nodelay(true).unwrap();
            prove(&mut w, None).await;
            ask(&mut w, COM_QUERY, "select large from sales_17.orders").await;
            while stand.engines.came.borrow().is_empty() || stand.router.unanswered_requests() > 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            stand.leaves();
            let tcp = w.get_ref();
            send_now(tcp, &command(COM_QUERY, LEAVERS));
            send_now(tcp, &command(COM_PING, ""));
            match way {
                "quit" => send_now(tcp, &command(COM_QUIT, "")),
                _ => SockRef::from(tcp)
                    .shutdown(std::net::Shutdown::Write)
                    .unwrap(),
            }
            tokio::time::sleep(TERM).await;
            assert_eq!(
                stand.frontend.pending_answers(),
                1,
                "it has not taken its answer"
            );
            SockRef::from(tcp).set_recv_buffer_size(1 << 20).unwrap();
            let mut all = vec![];
            drop(w.get_mut().read_to_end(&mut all).await);
            assert!(
                all.len() > 200 * 60_000,
                "the answer came whole: {}",
                all.len()
            );
            stand.nothing_more(way).await;
        }
    });
}

/// An engine that reads nothing for a while: some of a command, or of the long data before it, is there, and the rest must
/// not follow. On a new connection, on a pin, and with a prepared statement.
#[test]
fn partly_written_command_is_not_completed_after_disconnect() {
    on_one_thread(async {
        for first in ["silent", "begin", "prepare"] {
            for way in ["quit", "closed", "reset"] {
                let stand = stand(1).await;
                let mut w = stand.session().await;
                stand.engines.hold.set(Some(first));
                if first != "silent" {
                    match first {
                        "begin" => ask(&mut w, COM_QUERY, "begin").await,
                        _ => {
                            ask(
                                &mut w,
                                COM_STMT_PREPARE,
                                "insert into sales_17.leaver values (?)",
                            )
                            .await
                        }
                    }
                    let Held { wire, word } = stand.engines.held().await;
                    send_now(wire.get_ref(), &word);
                    assert_eq!(packet(&mut w).await[0], 0);
                    *stand.engines.held.borrow_mut() = Some(Held { wire, word: vec![] });
                }
                let much = "x".repeat(60_000);
                match first {
                    "prepare" => {
                        packet(&mut w).await;
                        packet(&mut w).await;
                        ask(
                            &mut w,
                            COM_STMT_SEND_LONG_DATA,
                            &format!("\u{1}\0\0\0\0\0{much}"),
                        )
                        .await;
                        w.codec_mut().sequence = 0;
                        let execute = [COM_STMT_EXECUTE, 1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, 0xfd, 0];
                        w.send(&execute[..]).await.unwrap();
                    }
                    _ => ask(&mut w, COM_QUERY, &format!("{LEAVERS} /* {much} */")).await,
                }
                let held = stand.engines.held().await;
                tokio::time::sleep(Duration::from_millis(30)).await;
                assert_eq!(
                    stand.router.unanswered_requests(),
                    1,
                    "{first}: it is asked"
                );
                stand.leaves();
                let kept = leave(w, way);
                tokio::time::sleep(TERM).await;
                spawn_local(serve(stand.engines.clone(), held.wire));
                stand.nothing_more(&format!("{way}, behind {first}")).await;
                drop(kept);
            }
        }
    });
}

#[test]
fn nothing_starts_for_hundreds_of_clients_that_disconnect_together() {
    on_one_thread(async {
        let stand = stand(1).await;
        stand.router.update_endpoints(&EndpointListChange {
            update: ListUpdate::Snapshot,
            engines: vec![],
        });
        let mut all = vec![];
        for way in WAYS.iter().cycle().take(200) {
            let mut w = stand.session().await;
            ask(
                &mut w,
                COM_QUERY,
                &format!("insert into sales_17.leaver values ('{way}')"),
            )
            .await;
            all.push((w, way));
        }
        while stand.router.unanswered_requests() < all.len() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let kept: Vec<_> = all.into_iter().map(|(w, way)| leave(w, way)).collect();
        stand.router.update_endpoints(&change(&stand.at, None));
        tokio::time::sleep(TERM).await;
        assert_eq!(
            stand.router.unanswered_requests(),
            0,
            "the last of them is heeded within the term"
        );
        stand.nothing_more("hundreds").await;
        drop(kept);
    });
}

/// KILL QUERY while the engine's connection comes up, alone or for a pin; by turns the engine's word comes after the kill
/// is answered, or in the same turn as the kill.
#[test]
fn killed_statement_starts_nowhere_and_its_session_continues() {
    on_one_thread(async {
        for (sql, code) in [(LEAVERS, 1317), ("begin /* leaver */", 1213)] {
            for one_turn in [false, true] {
                let stand = stand(1).await;
                let (mut victim, number) = stand.numbered().await;
                let mut killer = stand.session().await;
                stand.engines.hold.set(Some("login"));
                ask(&mut victim, COM_QUERY, sql).await;
                let held = stand.engines.held().await;
                stand.leaves();
                send_now(
                    killer.get_ref(),
                    &command(COM_QUERY, &format!("KILL QUERY {number}")),
                );
                killer.codec_mut().sequence = 1;
                if !one_turn {
                    told(&mut killer).await.unwrap();
                }
                send_now(held.wire.get_ref(), &held.word);
                spawn_local(serve(stand.engines.clone(), held.wire));
                if one_turn {
                    told(&mut killer).await.unwrap();
                }
                let e = told(&mut victim).await.unwrap_err();
                assert_eq!(e.code, code, "{}", e.message);
                assert!(e.message.contains("KILL QUERY"), "{}", e.message);
                stand
                    .nothing_more(&format!("{sql}, in one turn: {one_turn}"))
                    .await;
                ask(&mut victim, COM_PING, "").await;
                told(&mut victim).await.unwrap();
            }
        }
    });
}

/// In TLS: its end alone, its end behind a last word, and the connection's own end.
#[test]
fn no_statement_is_sent_for_a_tls_client_that_disconnects() {
    let folder = Folder::new("mysql-gone").unwrap();
    let own = rcgen::generate_simple_self_signed(vec!["a.example".into()]).unwrap();
    let (cert, key) = (folder.path().join("a.pem"), folder.path().join("a.key"));
    std::fs::write(&cert, own.cert.pem()).unwrap();
    std::fs::write(&key, own.signing_key.serialize_pem()).unwrap();
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
        .add(CertificateDer::from(own.cert.der().to_vec()))
        .unwrap();
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = TlsConnector::from(Arc::new(config));
    on_one_thread(async {
        for way in ["its end", "quit", "a ping and quit", "closed", "reset"] {
            let stand = stand(1).await;
            stand.frontend.enable_tls(TlsKeys::load(&source).unwrap());
            let mut w = wire(connect(stand.address).await);
            let greeting = Greeting::read(packet(&mut w).await).unwrap();
            let mut wish = (BASE_CAPABILITIES | CLIENT_SSL).to_le_bytes().to_vec();
            wish.resize(32, 0);
            w.send(&wish[..]).await.unwrap();
            let host = ServerName::try_from("a.example").unwrap();
            let tls = connector.connect(host, w.into_inner()).await.unwrap();
            let mut w = wire(tls);
            w.codec_mut().sequence = 2;
            prove(&mut w, Some(greeting)).await;
            stand.engines.hold.set(Some("login"));
            ask(&mut w, COM_QUERY, LEAVERS).await;
            let leave = move || {
                let (tcp, tls) = w.get_mut().get_mut();
                match way {
                    "its end" => tls.send_close_notify(),
                    "quit" => tls.writer().write_all(&command(COM_QUIT, "")).unwrap(),
                    "a ping and quit" => {
                        let both = [command(COM_PING, ""), command(COM_QUIT, "")].concat();
                        tls.writer().write_all(&both).unwrap();
                    }
                    "reset" => reset(tcp),
                    _ => {}
                }
                let mut bytes = vec![];
                while tls.wants_write() {
                    tls.write_tls(&mut bytes).unwrap();
                }
                send_now(tcp, &bytes);
                (way != "closed" && way != "reset").then_some(w)
            };
            stand.in_one_turn(way, leave).await;
        }
    });
}
