//! Tests of the MySQL frontend and upstream with fake clients and engines, mostly with prepared statements.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(clippy::too_many_lines, reason = "each test is one scenario")]

mod scenario;

use bytes::Bytes;
use futures_util::SinkExt;
use query_dispatcher::ListUpdate;
use query_dispatcher::discovery::EndpointListChange;
use query_dispatcher::dispatch::RequestRouter;
use query_dispatcher::frontend::mysql::Frontend;
use query_dispatcher::protocol::mysql::auth;
use query_dispatcher::protocol::mysql::error::{ErrorCode, SqlError};
use query_dispatcher::protocol::mysql::packet::*;
use query_dispatcher::spool_io::Spools;
use query_dispatcher::transport::buffer_pool::BufferPool;
use query_dispatcher::transport::memory_budget::Reservation;
use query_dispatcher::upstream::mysql::MysqlUpstream;
use scenario::*;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio_stream::StreamExt;
use tokio_util::codec::Framed;

type FramedConnection = Framed<TcpStream, PacketCodec>;

fn wire(tcp: TcpStream) -> FramedConnection {
    Framed::new(
        tcp,
        PacketCodec {
            max_packet: 1 << 20,
            sequence: 0,
            memory: Reservation::default(),
        },
    )
}

/// Returns the packets of a result with one column and one row; `complete` adds the packet that ends it.
fn rows(row: &[u8], complete: bool) -> Vec<Vec<u8>> {
    let column = [
        &[3][..],
        b"def",
        &[0, 0, 0, 1],
        b"n",
        &[0, 0x0c, 45, 0, 9, 0, 0, 0, 0xfd, 0, 0, 0, 0, 0],
    ];
    let eof = vec![0xfe, 0, 0, 2, 0];
    let mut packets = vec![vec![1], column.concat(), eof.clone(), row.to_vec()];
    packets.extend(complete.then_some(eof));
    packets
}

/// A row in the binary format: no NULL values, the text `a`.
const ROW: [u8; 4] = [0, 0, 1, b'a'];

/// Number of the next connection to any engine; numbers rise as at real engines.
static NEXT_CONNECTION: AtomicU32 = AtomicU32::new(7);

/// Numbers of the connections on which a statement was sent.
static CONNECTIONS_WITH_STATEMENTS: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Returns whether a statement kills a connection on which a statement was sent before.
fn kills_statement(sql: &str) -> bool {
    let number = sql.strip_prefix("KILL ").and_then(|n| n.parse().ok());
    let connections = CONNECTIONS_WITH_STATEMENTS.lock().unwrap();
    number.is_some_and(|number| connections.contains(&number))
}

/// Serves one connection of a fake engine: logs the dispatcher in, prepares statements under ids that are
/// unique to the engine, reports the statements that it receives and answers them as instructed.
async fn engine(number: usize, tcp: TcpStream, requests: mpsc::UnboundedSender<EngineRequest>) {
    let mut w = wire(tcp);
    let nonce = vec![number as u8 + 1; 20];
    let connection = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
    let greeting = Greeting {
        connection,
        nonce,
        plugin: auth::CACHING_SHA2_PASSWORD.into(),
        capabilities: BASE_CAPABILITIES,
    };
    w.send(&greeting.write("8.0.0")[..]).await.unwrap();
    let Some(Ok(login)) = w.next().await else {
        return;
    };
    let login = Login::read(login).unwrap();
    assert_eq!(login.user, "engine");
    assert!(auth::verify_auth_response(
        &login.plugin,
        "inner",
        &greeting.nonce,
        &login.auth
    ));
    w.send(&[1u8, 3][..]).await.unwrap();
    w.send(&ok_packet()[..]).await.unwrap();
    let (instructions, mut inbox) = mpsc::unbounded_channel::<&'static str>();
    let mut statements: HashMap<u32, String> = HashMap::new();
    let mut long_data = String::new();
    loop {
        w.codec_mut().sequence = 0;
        let Some(Ok(p)) = w.next().await else { return };
        let text = String::from_utf8_lossy(&p[1..]).into_owned();
        let id = || u32::from_le_bytes(p[1..5].try_into().unwrap());
        let sql = match p[0] {
            COM_STMT_PREPARE => {
                let id = number as u32 * 1000 + statements.len() as u32 + 500;
                let params = text.matches('?').count() as u8;
                let head = [&[0][..], &id.to_le_bytes(), &[1, 0, params, 0, 0, 0, 0]].concat();
                w.feed(&head[..]).await.unwrap();
                let column = &rows(&ROW, false)[1];
                let eof: &[u8] = &[0xfe, 0, 0, 2, 0];
                for p in std::iter::repeat_n(&column[..], params.into())
                    .chain((params > 0).then_some(eof))
                {
                    w.feed(p).await.unwrap();
                }
                w.feed(&column[..]).await.unwrap();
                w.send(eof).await.unwrap();
                statements.insert(id, text);
                continue;
            }
            COM_STMT_SEND_LONG_DATA => {
                long_data.push_str(&text[6..]);
                continue;
            }
            COM_STMT_CLOSE => {
                statements
                    .remove(&id())
                    .expect("only statements of this connection are closed");
                continue;
            }
            COM_INIT_DB => {
                w.send(&ok_packet()[..]).await.unwrap();
                continue;
            }
            COM_STMT_EXECUTE => {
                let sql = statements
                    .get(&id())
                    .expect("the statement was prepared on this connection")
                    .clone();
                if sql.contains('?') {
                    assert_eq!(
                        &p[11..13],
                        [1, 0xfd],
                        "every connection receives the parameter types"
                    );
                    let parameter = if long_data.is_empty() {
                        text[13..].to_string()
                    } else {
                        std::mem::take(&mut long_data)
                    };
                    assert!(
                        parameter.ends_with("par"),
                        "the engine receives the parameter: {parameter:?}"
                    );
                }
                sql
            }
            // This engine does not tell its uptime.
            COM_QUERY if text == "SHOW GLOBAL STATUS LIKE 'Uptime'" => {
                w.send(&ok_packet()[..]).await.unwrap();
                continue;
            }
            COM_QUERY if text.starts_with("SET NAMES utf8mb4") => {
                w.send(&ok_packet()[..]).await.unwrap();
                continue;
            }
            COM_QUERY => text,
            COM_QUIT => return,
            other => panic!("engine got command {other}"),
        };
        let class = match () {
            () if kills_statement(&sql) => "dropped",
            () if sql.contains("select") => "lookup",
            () => "load",
        };
        requests
            .send(EngineRequest {
                engine: number,
                class: class.into(),
                instructions: instructions.clone(),
            })
            .unwrap();
        if class != "dropped" {
            CONNECTIONS_WITH_STATEMENTS
                .lock()
                .unwrap()
                .insert(connection);
        }
        if class == "dropped" {
            w.send(&ok_packet()[..]).await.unwrap();
            continue;
        }
        let mut is_incomplete = false;
        loop {
            let instruction = tokio::select! {
                instruction = inbox.recv() => instruction,
                // No command is sent beside a running statement; a cancelled one has its connection closed or
                // reset.
                next = w.next(), if !is_incomplete => { assert!(!matches!(next, Some(Ok(_)))); return }
            };
            let answer = match instruction {
                Some("rows") if class == "load" => vec![ok_packet()],
                Some("rows") => rows(&ROW, true),
                Some("half") => rows(&ROW, false),
                Some("full") => vec![err_packet(&SqlError::new(
                    ErrorCode::new(1040, "08004"),
                    "Too many connections",
                ))],
                Some("error") => vec![err_packet(&SqlError::new(
                    ErrorCode::new(1317, "70100"),
                    "interrupted",
                ))],
                _ => return,
            };
            for p in answer {
                w.send(&p[..]).await.unwrap();
            }
            is_incomplete = instruction == Some("half");
            if !is_incomplete {
                break;
            }
        }
    }
}

/// A client whose requests execute prepared statements on one session. Each statement is prepared on first
/// use.
struct MysqlClient {
    address: SocketAddr,
    wire: Option<FramedConnection>,
    /// Ids of prepared statements by their SQL.
    prepared: HashMap<String, u32>,
}

/// Logs in to the dispatcher and returns the session, or the error that the login was answered with.
async fn log_in(
    address: SocketAddr,
    user: &str,
    password: &str,
) -> Result<FramedConnection, SqlError> {
    let mut w = wire(TcpStream::connect(address).await.unwrap());
    let greeting = Greeting::read(w.next().await.unwrap().unwrap()).unwrap();
    let proof =
        auth::auth_response(auth::MYSQL_NATIVE_PASSWORD, password, &greeting.nonce).unwrap();
    let login = Login {
        user: user.into(),
        auth: proof,
        schema: None,
        plugin: auth::MYSQL_NATIVE_PASSWORD.into(),
        result_format: ResultFormat::default(),
    };
    w.send(&login.write(1 << 20)[..]).await.unwrap();
    let p = w.next().await.unwrap().unwrap();
    if p[0] == 0xff {
        Err(parse_err_packet(&p))
    } else {
        Ok(w)
    }
}

/// Sends a command as the first packet of a new sequence.
async fn command(w: &mut FramedConnection, kind: u8, parts: &[&[u8]]) {
    w.codec_mut().sequence = 0;
    w.send(&[&[kind], &parts.concat()[..]].concat()[..])
        .await
        .unwrap();
}

async fn packet(w: &mut FramedConnection) -> Bytes {
    w.next().await.unwrap().unwrap()
}

/// Reads a complete answer and returns its packets, or the error.
async fn result(w: &mut FramedConnection) -> Result<Vec<Bytes>, SqlError> {
    let mut all = vec![packet(w).await];
    match all[0][0] {
        0 => return Ok(all),
        0xff => return Err(parse_err_packet(&all[0])),
        _ => {}
    }
    let mut eof_count = 0;
    while eof_count < 2 {
        let p = packet(w).await;
        eof_count += usize::from(eof_status(&p).is_some());
        all.push(p);
    }
    Ok(all)
}

/// Prepares a statement and returns its id.
async fn prepare(w: &mut FramedConnection, sql: &str) -> Result<u32, SqlError> {
    command(w, COM_STMT_PREPARE, &[sql.as_bytes()]).await;
    let p = packet(w).await;
    if p[0] == 0xff {
        return Err(parse_err_packet(&p));
    }
    let (columns, params) = (p[5], p[7]);
    for _ in 0..columns + u8::from(columns > 0) + params + u8::from(params > 0) {
        packet(w).await;
    }
    Ok(u32::from_le_bytes(p[1..5].try_into().unwrap()))
}

/// Executes a statement. Drivers send the parameter types with the first execution only; the session
/// remembers them.
async fn execute(w: &mut FramedConnection, id: u32, with_types: bool) {
    let types: &[u8] = if with_types { &[1, 0xfd, 0] } else { &[0] };
    command(
        w,
        COM_STMT_EXECUTE,
        &[&id.to_le_bytes(), &[0, 1, 0, 0, 0], &[0], types, b"\x03par"],
    )
    .await;
}

impl Client for MysqlClient {
    async fn send(&mut self, _: &str, class: &str, ms: u64) {
        if self.wire.is_none() {
            self.wire = Some(log_in(self.address, "ann", "secret").await.unwrap());
        }
        let w = self.wire.as_mut().unwrap();
        let verb = if class == "lookup" {
            "select n from"
        } else {
            "insert into"
        };
        let sql = format!("{verb} sales_17.orders /* ? */ where x = ?").replace(" /* ? */", "");
        // The deadline is in the leading comment, so a request with another deadline is another statement.
        let sql = if ms == 5000 {
            sql
        } else {
            format!("/* limit={ms} */ {sql}")
        };
        let with_types = !self.prepared.contains_key(&sql);
        if with_types {
            let id = prepare(w, &sql).await.unwrap();
            self.prepared.insert(sql.clone(), id);
        }
        execute(w, self.prepared[&sql], with_types).await;
    }

    async fn answer(&mut self, _: &str) -> &'static str {
        match result(self.wire.as_mut().unwrap()).await {
            Ok(all) if all.len() == 1 => "served",
            Ok(all) => {
                assert_eq!(all[3][..], ROW, "the row is unchanged");
                "served"
            }
            Err(e) if e.code == 3168 => "refused",
            Err(e) if e.code == 3024 => "late",
            Err(e) => {
                assert_eq!(e.code, 1317, "{}", e.message);
                "failed"
            }
        }
    }

    fn disconnect(&mut self) {
        self.wire = None;
    }

    fn address(&self) -> SocketAddr {
        self.address
    }

    async fn reconnect(&mut self) {
        (self.wire, self.prepared) = (None, HashMap::new());
    }
}

type EngineRequests = mpsc::UnboundedReceiver<EngineRequest>;

/// Starts the fixture like [`set_up_all`], for tests that need no frontend.
async fn set_up() -> (
    Rc<RequestRouter<MysqlUpstream>>,
    MysqlClient,
    Vec<SocketAddr>,
    EngineRequests,
) {
    let (router, _, client, addresses, requests) = set_up_all().await;
    (router, client, addresses, requests)
}

/// Starts the fixture like [`set_up_all`], for tests that use the frontend and not the engines' addresses.
async fn set_up_front() -> (
    Rc<RequestRouter<MysqlUpstream>>,
    Rc<Frontend<MysqlUpstream>>,
    MysqlClient,
    EngineRequests,
) {
    let (router, frontend, client, _, requests) = set_up_all().await;
    (router, frontend, client, requests)
}

/// Starts a dispatcher with two engines, and a client that logs in on its first request.
async fn set_up_all() -> (
    Rc<RequestRouter<MysqlUpstream>>,
    Rc<Frontend<MysqlUpstream>>,
    MysqlClient,
    Vec<SocketAddr>,
    EngineRequests,
) {
    let (addresses, requests) = start_engines(engine).await;
    let (core, names, sockets) = core();
    let pool = BufferPool::default();
    let (spools, disk_completions) = Spools::open(
        &spool_settings(),
        names.classes.clone(),
        names.tenants.clone(),
    )
    .unwrap();
    spawn_local(spools.clone().run(disk_completions));
    let router = RequestRouter::new(
        core,
        names,
        MysqlUpstream::new(engine_credentials(), sockets, pool.clone(), spools.clone()),
    );
    router.update_endpoints(&endpoint_list_snapshot(&addresses, None));
    spawn_local(router.clone().run_clock());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let frontend = Frontend::new(router.clone(), pool, mysql_frontend_config(), spools);
    spawn_local(frontend.clone().accept(listener));
    (
        router,
        frontend,
        MysqlClient {
            address,
            wire: None,
            prepared: HashMap::new(),
        },
        addresses,
        requests,
    )
}

#[test]
fn shared_frontend_scenarios_pass_on_prepared_statements() {
    for (label, script) in SHARED_SCENARIOS {
        println!("{label}");
        on_one_thread(async {
            let (router, mut client, addresses, mut requests) = set_up().await;
            run_script(&router, &mut client, &addresses, &mut requests, script).await;
        });
    }
}

/// A prepare command is sent to an engine like any read, and counts as one.
#[test]
fn every_command_sent_to_an_engine_is_counted_once() {
    let script = "send a load\n engine load\n reply rows\n expect a served
        metrics replies.load.success=1 replies.lookup.success=1 dispatches=2
        send b load\n engine load\n close\n expect b failed\n metrics replies.load.error=1 dispatches=3";
    on_one_thread(async {
        let (router, mut client, addresses, mut requests) = set_up().await;
        run_script(&router, &mut client, &addresses, &mut requests, script).await;
    });
}

#[test]
fn prepared_statement_migrates_from_a_draining_engine_and_back() {
    let script = "send a lookup\n engine lookup\n reply rows\n expect a served\n drain
        send b lookup\n engine lookup\n moved\n reply rows\n expect b served\n restore\n drain
        send c lookup\n engine lookup\n moved\n reply rows\n expect c served\n restore
        send d load\n engine load\n drain\n reply rows\n expect d served\n ran 4";
    on_one_thread(async {
        let (router, mut client, addresses, mut requests) = set_up().await;
        run_script(&router, &mut client, &addresses, &mut requests, script).await;
    });
}

#[test]
fn unsupported_commands_get_an_error_and_the_session_continues() {
    on_one_thread(async {
        let (_router, client, _, mut requests) = set_up().await;
        let wrong_password = log_in(client.address, "ann", "wrong").await.err().unwrap();
        assert_eq!(wrong_password.code, 1045);
        assert_eq!(
            log_in(client.address, "bob", "").await.err().unwrap().code,
            1045
        );
        let mut w = log_in(client.address, "ann", "secret").await.unwrap();
        for sql in [
            "xa start 'x'",
            "set names latin1",
            "load data local infile 'x' into table t",
            "call p()",
        ] {
            command(&mut w, COM_QUERY, &[sql.as_bytes()]).await;
            assert_eq!(result(&mut w).await.unwrap_err().code, 1235, "{sql}");
        }
        for (kind, code) in [
            (COM_STMT_FETCH, 1243),
            (0x77, 1047),
            (COM_STMT_RESET, 1243),
            (COM_STMT_EXECUTE, 1243),
        ] {
            command(&mut w, kind, &[&[9, 0, 0, 0]]).await;
            assert_eq!(
                result(&mut w).await.unwrap_err().code,
                code,
                "command {kind}"
            );
        }
        for (kind, body) in [
            (COM_PING, ""),
            (COM_INIT_DB, "sales_17"),
            (COM_QUERY, "set names utf8mb4"),
        ] {
            command(&mut w, kind, &[body.as_bytes()]).await;
            assert!(result(&mut w).await.is_ok(), "command {kind}");
        }
        let id = prepare(&mut w, "select n from t where x = ?")
            .await
            .unwrap();
        command(
            &mut w,
            COM_STMT_EXECUTE,
            &[
                &id.to_le_bytes(),
                &[2, 1, 0, 0, 0, 0, 1, 0xfd, 0],
                b"\x03par",
            ],
        )
        .await;
        assert_eq!(
            result(&mut w).await.unwrap_err().code,
            1235,
            "a cursor for update"
        );
        command(
            &mut w,
            COM_STMT_EXECUTE,
            &[
                &id.to_le_bytes(),
                &[0, 1, 0, 0, 0, 0, 1, 0xfd, 0],
                b"\x09par",
            ],
        )
        .await;
        assert_eq!(
            result(&mut w).await.unwrap_err().code,
            1210,
            "a truncated parameter"
        );
        // Long data in two pieces is joined; the long data of the next execution exceeds the limit.
        for piece in [&b"long "[..], b"par"] {
            command(
                &mut w,
                COM_STMT_SEND_LONG_DATA,
                &[&id.to_le_bytes(), &[0, 0], piece],
            )
            .await;
        }
        let execute = [&id.to_le_bytes()[..], &[0, 1, 0, 0, 0, 0, 1, 0xfd, 0]].concat();
        command(&mut w, COM_STMT_EXECUTE, &[&execute]).await;
        let request = requests.recv().await.unwrap();
        request.instructions.send("rows").unwrap();
        assert_eq!(result(&mut w).await.unwrap()[3][..], ROW);
        command(
            &mut w,
            COM_STMT_SEND_LONG_DATA,
            &[&id.to_le_bytes(), &[0, 0], &[b'x'; 70_000][..65_000]],
        )
        .await;
        command(
            &mut w,
            COM_STMT_SEND_LONG_DATA,
            &[&id.to_le_bytes(), &[0, 0], &[b'x'; 1000]],
        )
        .await;
        command(&mut w, COM_STMT_EXECUTE, &[&execute]).await;
        assert_eq!(
            result(&mut w).await.unwrap_err().code,
            1153,
            "long data above the limit"
        );
        prepare(&mut w, "select 2").await.unwrap();
        let third = prepare(&mut w, "select 3").await.unwrap();
        assert_eq!(prepare(&mut w, "select 4").await.unwrap_err().code, 1461);
        command(&mut w, COM_STMT_CLOSE, &[&third.to_le_bytes()]).await;
        prepare(&mut w, "select 4").await.unwrap();
        assert!(
            requests.try_recv().is_err(),
            "none of the invalid commands ran"
        );
        command(&mut w, COM_QUERY, &[&[b' '; 70_000]]).await;
        assert_eq!(
            result(&mut w).await.unwrap_err().code,
            1153,
            "a packet above the limit"
        );
        assert!(w.next().await.is_none(), "and the session ends");
    });
}

/// A statement is queued when its client disconnects: by COM_QUIT, by a close behind a pipelined command, by
/// a close or by a reset. When engines are available 100 ms later, another client's statement is the first
/// that reaches one.
#[test]
fn queued_statement_is_not_forwarded_after_its_session_ends() {
    on_one_thread(async {
        for how in ["quit", "pipelined and closed", "closed", "reset"] {
            let (router, client, addresses, mut requests) = set_up().await;
            let mut w = log_in(client.address, "ann", "secret").await.unwrap();
            router.update_endpoints(&EndpointListChange {
                update: ListUpdate::Snapshot,
                engines: vec![],
            });
            command(
                &mut w,
                COM_QUERY,
                &[b"insert into sales_17.orders values (1)"],
            )
            .await;
            while router.unanswered_requests() == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let open_session = match how {
                "quit" => {
                    command(&mut w, COM_QUIT, &[]).await;
                    Some(w)
                }
                "pipelined and closed" => {
                    command(&mut w, COM_PING, &[]).await;
                    drop(w);
                    None
                }
                "reset" => {
                    socket2::SockRef::from(w.get_ref())
                        .set_linger(Some(Duration::ZERO))
                        .unwrap();
                    drop(w);
                    None
                }
                _ => {
                    drop(w);
                    None
                }
            };
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert_eq!(
                router.unanswered_requests(),
                0,
                "{how}: the statement is abandoned and its capacity released"
            );
            router.update_endpoints(&endpoint_list_snapshot(&addresses, None));
            let mut other = log_in(client.address, "ann", "secret").await.unwrap();
            command(&mut other, COM_QUERY, &[b"select n from sales_17.orders"]).await;
            assert_eq!(requests.recv().await.unwrap().class, "lookup", "{how}");
            drop(open_session);
        }
    });
}

/// A command that arrives while a statement runs is no disconnect: both are answered.
#[test]
fn pipelined_command_is_answered_in_order() {
    on_one_thread(async {
        let (_router, client, _, mut requests) = set_up().await;
        let mut w = log_in(client.address, "ann", "secret").await.unwrap();
        command(&mut w, COM_QUERY, &[b"select n from sales_17.orders"]).await;
        let first = requests.recv().await.unwrap();
        command(&mut w, COM_PING, &[]).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        first.instructions.send("rows").unwrap();
        w.codec_mut().sequence = 1;
        assert!(result(&mut w).await.is_ok());
        w.codec_mut().sequence = 1;
        assert!(result(&mut w).await.is_ok(), "the ping is answered");
    });
}

/// When shutdown begins, one client is in the listen queue, one is idle between commands, and the command of
/// a third is unread.
#[test]
fn shutdown_answers_pending_commands_and_notifies_other_sessions() {
    on_one_thread(async {
        let (_router, frontend, client, mut requests) = set_up_front().await;
        let mut active = log_in(client.address, "ann", "secret").await.unwrap();
        let mut idle = log_in(client.address, "ann", "secret").await.unwrap();
        // All three events precede the next poll of the runtime.
        let queued = std::net::TcpStream::connect(client.address).unwrap();
        let sql = [
            &[30, 0, 0, 0, COM_QUERY][..],
            b"select n from sales_17.orders",
        ]
        .concat();
        assert_eq!(active.get_ref().try_write(&sql).unwrap(), sql.len());
        frontend.announce_shutdown(false);
        requests
            .recv()
            .await
            .unwrap()
            .instructions
            .send("rows")
            .unwrap();
        active.codec_mut().sequence = 1;
        assert!(result(&mut active).await.is_ok());
        for w in [&mut active, &mut idle] {
            w.codec_mut().sequence = 0;
            assert_eq!(parse_err_packet(&packet(w).await).code, 1053);
        }
        queued.set_nonblocking(true).unwrap();
        let mut queued = wire(TcpStream::from_std(queued).unwrap());
        assert_eq!(parse_err_packet(&packet(&mut queued).await).code, 1053);
    });
}

/// Guards against a session that ends without an answer after a truncated command, or after more pipelined
/// commands than are read ahead: such protocol errors used to be handled as connection failures, and the
/// client could not tell whether its statement had run.
#[test]
fn a_command_that_ends_its_session_is_answered_first() {
    on_one_thread(async {
        let (router, client, _, mut requests) = set_up().await;
        let mut w = log_in(client.address, "ann", "secret").await.unwrap();
        command(&mut w, COM_CHANGE_USER, &[b"ann\0\x14only a part"]).await;
        let answer = tokio::time::timeout(Duration::from_secs(2), w.next()).await;
        let answer = answer.unwrap().expect("an answer before the end").unwrap();
        assert_eq!(parse_err_packet(&answer).code, 1835, "a truncated command");
        assert!(w.next().await.is_none(), "and the session ends");

        let mut w = log_in(client.address, "ann", "secret").await.unwrap();
        command(&mut w, COM_QUERY, &[b"select n from sales_17.orders"]).await;
        let held = requests.recv().await.unwrap();
        for _ in 0..30 {
            let pipelined = [
                b"select n from sales_17.orders /* ",
                &[b'x'; 4000][..],
                b"*/",
            ];
            command(&mut w, COM_QUERY, &pipelined).await;
        }
        w.codec_mut().sequence = 1;
        let answer = tokio::time::timeout(Duration::from_secs(2), w.next()).await;
        let answer = answer.unwrap().expect("an answer before the end").unwrap();
        assert_eq!(
            parse_err_packet(&answer).code,
            1835,
            "too many pipelined commands"
        );
        assert_eq!(
            router.unanswered_requests(),
            0,
            "the statement is abandoned"
        );
        drop(held);
        let counts = router.invariants();
        assert!(
            counts.contains("violations.closed_unanswered=0"),
            "{counts}"
        );
    });
}

/// The process ends while a statement runs on an engine: the connection that closes with it unanswered is
/// counted.
#[test]
fn a_session_that_ends_with_a_command_unanswered_is_counted() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let local = tokio::task::LocalSet::new();
    let (router, w, held) = local.block_on(&runtime, async {
        let (router, client, _, mut requests) = set_up().await;
        let mut w = log_in(client.address, "ann", "secret").await.unwrap();
        command(&mut w, COM_QUERY, &[b"select n from sales_17.orders"]).await;
        let held = requests.recv().await.unwrap();
        (router, w, held)
    });
    let closed_unanswered = |router: &RequestRouter<MysqlUpstream>| {
        let text = router.invariants();
        text.lines()
            .find_map(|line| line.strip_prefix("violations.closed_unanswered="))
            .map(ToString::to_string)
    };
    assert_eq!(closed_unanswered(&router), Some("0".into()));
    {
        let _runtime = runtime.enter();
        drop(local);
    }
    assert_eq!(closed_unanswered(&router), Some("1".into()));
    drop((w, held));
}
