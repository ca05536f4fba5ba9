//! Race conditions, each forced on real connections: a request that arrives in the poll of a close, a
//! partial response at a close, connections that are established late, unterminated responses, late
//! retries, and clients that write in fragments. `docs/RACES.md` lists them; races with the exit of the
//! process are in `program.rs`.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod protocol;
mod scenario;

use bytes::Bytes;
use protocol::fixture::{DispatcherFixture, Parts};
use protocol::*;
use query_dispatcher::admin::{Admin, ReportSources};
use query_dispatcher::clock::process_clock_millis;
use query_dispatcher::config::SocketSettings;
use query_dispatcher::core::{Core, CoreLimits, NewRequest};
use query_dispatcher::dispatch::Reply;
use query_dispatcher::frontend::frames::Work;
use query_dispatcher::server::instance_registry::InstanceRegistry;
use query_dispatcher::transport::buffer_pool::BufferPool;
use query_dispatcher::{DeduplicationScope, Idempotency};
use scenario::{endpoint_list_snapshot, on_one_thread};
use socket2::SockRef;
use std::cell::RefCell;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const LOOKUP: usize = 0;
const LOAD: usize = 1;
const KEYED: usize = 2;
const CLASSES: [&str; 3] = ["lookup", "load", "keyed"];

type Answers = Rc<RefCell<Vec<(u64, &'static str)>>>;

/// A dispatcher with the answers to the requests that were submitted to its router.
struct RaceFixture {
    dispatcher: DispatcherFixture,
    answers: Answers,
}

impl Deref for RaceFixture {
    type Target = DispatcherFixture;

    fn deref(&self) -> &DispatcherFixture {
        &self.dispatcher
    }
}

/// Starts a dispatcher whose class `keyed` has the given deduplication scope and window in milliseconds.
async fn start(
    engine: TcpListener,
    keyed: (DeduplicationScope, f64),
    adjust: impl FnOnce(&mut SocketSettings),
) -> RaceFixture {
    let (_, mut names, mut sockets) = scenario::core();
    adjust(&mut sockets);
    let mut settings = scenario::settings();
    let idempotency = Idempotency::Keyed {
        group: keyed.0,
        window: keyed.1,
    };
    settings.classes.push(query_dispatcher::Class {
        idempotency,
        ..settings.classes[LOOKUP].clone()
    });
    names.classes = CLASSES.map(String::from).to_vec();
    let bounds = CoreLimits {
        max_open_requests: 100,
        answer_margin: Duration::from_millis(20),
        page_timeout: Duration::from_millis(600),
    };
    let core = Core::new(settings, 1, bounds).unwrap();
    let parts = Parts {
        core,
        names,
        sockets,
        engine,
        // Large enough for the kernel to buffer any response in full, whether or not its client reads.
        client_send_buffer: 256 * 1024,
    };
    RaceFixture {
        dispatcher: DispatcherFixture::start(parts).await,
        answers: Rc::default(),
    }
}

/// Starts a dispatcher without a deduplication window.
async fn start_default() -> RaceFixture {
    start(
        TcpListener::bind("127.0.0.1:0").await.unwrap(),
        (DeduplicationScope::All, 0.0),
        |_| {},
    )
    .await
}

impl RaceFixture {
    /// Submits a request to the router and records its answer with its number.
    fn submit(&self, txn: u64, class: usize) {
        self.submit_with(txn, class, 5000.0, 1);
    }

    /// Submits a request with a deadline in `timeout_ms` milliseconds and a statement of about
    /// `statement_bytes` bytes.
    fn submit_with(&self, txn: u64, class: usize, timeout_ms: f64, statement_bytes: usize) {
        let deadline = process_clock_millis() + timeout_ms;
        let request = NewRequest {
            class,
            tenant: Some(0),
            group: None,
            deadline,
            work: None,
            memory_mb: None,
        };
        let statement = Bytes::from(format!("select '{}'", "x".repeat(statement_bytes)));
        let answers = self.answers.clone();
        let record = move |reply| {
            let answer = match reply {
                Reply::Served(_) => "served",
                Reply::Rejected { .. } => "refused",
                Reply::Failed { .. } => "failed",
                Reply::TimedOut { retry_safe: true } => "refused as late",
                Reply::TimedOut { retry_safe: false } => "failed as late",
            };
            answers.borrow_mut().push((txn, answer));
        };
        self.router.open(
            request,
            Work::unbudgeted(&request_id(txn), CLASSES[class], statement),
            Box::new(record),
        );
    }

    /// Asserts that each request has exactly one answer, the expected one.
    fn expect_answers(&self, expected: &[(u64, &'static str)]) {
        let mut answers = self.answers.borrow().clone();
        answers.sort_unstable();
        assert_eq!(answers, expected);
    }

    /// Asserts that the engine receives no further connection for `ms` milliseconds.
    async fn expect_no_connection(&self, ms: u64) {
        let accepted = tokio::time::timeout(Duration::from_millis(ms), self.engine.accept()).await;
        assert!(accepted.is_err(), "the engine received another connection");
    }
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

fn request(stream: u32, txn: u64, class: &str) -> Vec<u8> {
    encode_request(stream, txn, class, "select a from t")
}

/// Sends the first half of the bytes of a reply.
async fn send_half_reply(engine: &mut TcpStream, fields: [&str; 4]) {
    let reply = encode_reply(fields);
    engine.write_all(&reply[..reply.len() / 2]).await.unwrap();
}

// ---- retries and the deduplication window

/// The answer, for each scope, to a request that may have run and can't be retried.
const SCOPES: [(DeduplicationScope, &str); 3] = [
    (DeduplicationScope::All, "refused"),
    (DeduplicationScope::Zone, "failed"),
    (DeduplicationScope::Cell, "failed"),
];

/// The connection breaks, and the retry waits for another connection that is established a second later.
async fn retry_before_a_late_connection(scope: DeduplicationScope, expected: &'static str) {
    let fixture = start(listener_without_backlog(), (scope, 300.0), |sockets| {
        sockets.connect_timeout = 4000.0
    })
    .await;
    fixture.submit(1, KEYED);
    let mut engine = fixture.accept_upstream().await;
    assert_eq!(read_request_id(&mut engine).await, request_id(1));
    let filler = TcpStream::connect(fixture.engines[0]).await.unwrap();
    drop(engine);
    sleep_ms(350).await;
    assert_eq!(
        fixture.router.unanswered_requests(),
        1,
        "the retry should still be pending after the window has ended"
    );
    drop((fixture.accept_upstream().await, filler));
    let mut late = fixture.accept_upstream().await;
    fixture.submit(2, LOOKUP);
    assert_eq!(
        read_request_id(&mut late).await,
        request_id(2),
        "the first request on the late connection should not be the retry"
    );
    serve_pages(&mut late, &request_id(2), 1).await;
    fixture.wait_for_open(0).await;
    fixture.expect_answers(&[(1, expected), (2, "served")]);
}

#[test]
fn retry_is_not_sent_past_its_window_on_a_late_connection() {
    on_one_thread(async {
        let [all, zone, cell] =
            SCOPES.map(|(scope, expected)| retry_before_a_late_connection(scope, expected));
        tokio::join!(all, zone, cell);
    });
}

/// The engine fails the request, and the retry is queued behind a request that is partially written.
async fn retry_behind_a_stalled_write(scope: DeduplicationScope, expected: &'static str) {
    let fixture = start(small_buffer_listener(), (scope, 250.0), |_| {}).await;
    fixture.submit(1, LOAD);
    let mut stalled = fixture.accept_upstream().await;
    read_request_id(&mut stalled).await;
    fixture.submit(2, KEYED);
    let mut engine = fixture.accept_upstream().await;
    assert_eq!(
        read_request_id(&mut engine).await,
        request_id(2),
        "the request should not share the connection of the load"
    );
    serve_pages(&mut stalled, &request_id(1), 1).await;
    fixture.wait_for_open(1).await;
    fixture.submit_with(3, LOOKUP, 5000.0, 250_000);
    expect_soon("a byte", stalled.peek(&mut [0])).await.unwrap();
    send_reply(&mut engine, [&request_id(2), "EIO", "-", ""]).await;
    sleep_ms(300).await;
    assert_eq!(
        fixture.router.unanswered_requests(),
        2,
        "the retry should still be pending after the window has ended"
    );
    assert_eq!(
        read_request_id(&mut stalled).await,
        request_id(3),
        "the partially written request should be completed first"
    );
    serve_pages(&mut stalled, &request_id(3), 1).await;
    fixture.submit(4, LOOKUP);
    assert_eq!(
        read_request_id(&mut stalled).await,
        request_id(4),
        "the retry should not be sent after the stalled write"
    );
    serve_pages(&mut stalled, &request_id(4), 1).await;
    fixture.wait_for_open(0).await;
    fixture.expect_answers(&[(1, "served"), (2, expected), (3, "served"), (4, "served")]);
}

#[test]
fn retry_is_not_sent_past_its_window_behind_a_stalled_write() {
    on_one_thread(async {
        let [all, zone, cell] =
            SCOPES.map(|(scope, expected)| retry_behind_a_stalled_write(scope, expected));
        tokio::join!(all, zone, cell);
    });
}

/// The window ends while the retry is partially written: the remaining bytes are never written.
#[test]
fn partly_written_retry_is_not_completed_past_its_window() {
    on_one_thread(async {
        let fixture = start(
            small_buffer_listener(),
            (DeduplicationScope::Cell, 1000.0),
            |_| {},
        )
        .await;
        fixture.submit_with(1, KEYED, 5000.0, 100_000);
        let mut engine = fixture.accept_upstream().await;
        read_request_id(&mut engine).await;
        send_reply(&mut engine, [&request_id(1), "EIO", "-", ""]).await;
        let mut retry_connection = fixture.accept_upstream().await;
        expect_soon("a byte", retry_connection.read_exact(&mut [0]))
            .await
            .unwrap();
        sleep_ms(1050).await;
        let mut all = vec![];
        let end = tokio::time::timeout(
            Duration::from_millis(500),
            retry_connection.read_to_end(&mut all),
        )
        .await;
        assert!(
            all.len() < 100_000,
            "received {} bytes of the retry ({end:?})",
            all.len()
        );
        fixture.wait_for_open(0).await;
        fixture.expect_answers(&[(1, "failed")]);
        fixture.expect_no_connection(100).await;
    });
}

/// Deduplication windows down to zero: no second attempt is sent after the window, whichever step of the
/// retry takes longer.
#[test]
fn short_deduplication_windows_get_no_retry_past_them() {
    on_one_thread(async {
        for (scope, expected) in SCOPES {
            for window in [0.0, 5.0, 20.0] {
                let fixture = start(
                    TcpListener::bind("127.0.0.1:0").await.unwrap(),
                    (scope, window),
                    |_| {},
                )
                .await;
                fixture.submit(1, KEYED);
                let mut engine = fixture.accept_upstream().await;
                read_request_id(&mut engine).await;
                drop(engine);
                fixture.wait_for_open(0).await;
                fixture.expect_answers(&[(1, expected)]);
                fixture.expect_no_connection(20).await;
            }
        }
    });
}

/// The deadline passes while the request is in flight: it is rejected as safe to retry only if every
/// engine would detect a duplicate.
#[test]
fn expired_keyed_request_is_rejected_only_with_fleet_wide_deduplication() {
    on_one_thread(async {
        for (scope, expected) in [
            (DeduplicationScope::All, "refused as late"),
            (DeduplicationScope::Zone, "failed as late"),
            (DeduplicationScope::Cell, "failed as late"),
        ] {
            let fixture = start(
                TcpListener::bind("127.0.0.1:0").await.unwrap(),
                (scope, 100.0),
                |_| {},
            )
            .await;
            fixture.submit_with(1, KEYED, 150.0, 1);
            let mut engine = fixture.accept_upstream().await;
            read_request_id(&mut engine).await;
            fixture.wait_for_open(0).await;
            fixture.expect_answers(&[(1, expected)]);
        }
    });
}

// ---- closes and data in transit

/// The process stalls while two connections exceed the idle limit and one client sends a request: that
/// request is served. The other connection is closed, and a request that its client sends afterwards is
/// not read, so that the client may send it again.
#[test]
fn request_in_the_poll_of_an_idle_close_is_served_and_a_later_one_is_not_read() {
    on_one_thread(async {
        let fixture = start_default().await;
        let mut active_client = Client::connect(fixture.address).await;
        let mut idle_client = Client::connect(fixture.address).await;
        for client in [&mut active_client, &mut idle_client] {
            client.send(&encode_frame(16, 1, &[0])).await;
            assert_eq!(client.receive().await.unwrap().0, 32);
        }
        sleep_ms(4700).await;
        // Both events occur before the runtime polls either connection.
        assert!(active_client.0.try_write(&request(2, 1, "lookup")).unwrap() > 0);
        std::thread::sleep(Duration::from_millis(900));
        let mut engine = fixture.accept_upstream().await;
        assert_eq!(read_request_id(&mut engine).await, request_id(1));
        serve_pages(&mut engine, &request_id(1), 1).await;
        active_client.expect_served(2).await;
        assert!(
            idle_client.receive().await.is_none(),
            "the idle connection should be closed"
        );
        let _ = idle_client.0.write_all(&request(2, 2, "lookup")).await;
        assert!(
            idle_client.receive().await.is_none(),
            "a request on the closed connection should get no answer"
        );
        let mut new_client = Client::connect(fixture.address).await;
        new_client.send(&request(1, 2, "lookup")).await;
        assert_eq!(
            read_request_id(&mut engine).await,
            request_id(2),
            "the second request should reach the engine only now"
        );
        serve_pages(&mut engine, &request_id(2), 1).await;
        new_client.expect_served(1).await;
    });
}

/// All connections are closed while the request of one client is in transit: it is served. The request
/// of another client arrives after its connection is closed, and is not read.
#[test]
fn request_in_the_poll_of_the_final_close_is_served_and_a_later_one_is_not_read() {
    on_one_thread(async {
        let fixture = start_default().await;
        let mut active_client = Client::connect(fixture.address).await;
        let mut idle_client = Client::connect(fixture.address).await;
        wait_until("second connection", || {
            fixture.frontend.connection_count() == 2
        })
        .await;
        fixture.frontend.announce_shutdown(true);
        for client in [&mut active_client, &mut idle_client] {
            assert_eq!(client.receive().await.unwrap().0, 64);
        }
        fixture.frontend.close_when_idle();
        assert!(active_client.0.try_write(&request(1, 1, "lookup")).unwrap() > 0);
        let mut engine = fixture.accept_upstream().await;
        assert_eq!(read_request_id(&mut engine).await, request_id(1));
        assert!(idle_client.receive().await.is_none());
        let _ = idle_client.0.write_all(&request(1, 2, "lookup")).await;
        assert!(idle_client.receive().await.is_none());
        serve_pages(&mut engine, &request_id(1), 1).await;
        active_client.expect_served(1).await;
        assert!(active_client.receive().await.is_none());
        drop(idle_client);
        wait_until("close of all connections", || {
            fixture.frontend.connection_count() == 0
        })
        .await;
        assert!(
            tokio::time::timeout(Duration::from_millis(50), engine.read_u8())
                .await
                .is_err(),
            "a further request reached the engine"
        );
    });
}

/// The connection is closed while a response is still in the kernel's send buffer, and the client then
/// sends another request: the client still receives the whole response.
#[test]
fn response_in_transit_survives_client_data_after_close() {
    on_one_thread(async {
        let fixture = start_default().await;
        let mut client = Client::with_small_buffer(fixture.address).await;
        client.send(&request(1, 1, "lookup")).await;
        let mut engine = fixture.accept_upstream().await;
        let id = read_request_id(&mut engine).await;
        serve_pages(&mut engine, &id, 9).await;
        fixture.wait_for_open(0).await;
        sleep_ms(20).await;
        fixture.frontend.close_when_idle();
        sleep_ms(20).await;
        client.send(&request(2, 2, "lookup")).await;
        sleep_ms(20).await;
        let (kind, stream, payload) = client
            .receive()
            .await
            .expect("the answer to the first request");
        assert_eq!((kind, stream, payload.len()), (4, 1, 2 + 9 * 5005));
        assert_eq!(client.receive().await.map(|f| f.0), Some(64));
        assert!(client.receive().await.is_none());
        assert_eq!(
            fixture.router.unanswered_requests(),
            0,
            "the late request should not be accepted"
        );
        drop(client);
        wait_until("close of all connections", || {
            fixture.frontend.connection_count() == 0
        })
        .await;
    });
}

/// Enough new callers connect to the operators' address for all earlier callers to be evicted, and the
/// earlier callers send a request in the same poll or one of the next few: a request written before the
/// caller sees its eviction is answered, and no connection is reset.
#[test]
fn admin_request_in_the_poll_of_its_eviction_is_answered() {
    on_one_thread(async {
        let fixture = start_default().await;
        for polls in 0..10 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let shared = Rc::new(InstanceRegistry::open(None).unwrap());
            let admin = Admin::new(
                fixture.router.clone(),
                BufferPool::default(),
                shared,
                ReportSources::default(),
                24,
            );
            spawn_local(admin.accept(listener));
            let mut callers = vec![];
            for _ in 0..24 {
                callers.push(TcpStream::connect(address).await.unwrap());
            }
            sleep_ms(10).await;
            let newcomers: Vec<_> = callers
                .iter()
                .map(|_| std::net::TcpStream::connect(address).unwrap())
                .collect();
            for _ in 0..polls {
                tokio::task::yield_now().await;
            }
            // Connections that are already closed were closed without unread data.
            let is_open = |client: &TcpStream| {
                SockRef::from(client)
                    .peek(&mut [std::mem::MaybeUninit::uninit()])
                    .is_err()
            };
            callers.retain(is_open);
            for caller in &callers {
                caller
                    .try_write(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    .unwrap();
            }
            for caller in &mut callers {
                let mut answer = String::new();
                let read = expect_soon("an answer", caller.read_to_string(&mut answer)).await;
                assert!(
                    read.is_ok() && answer.starts_with("HTTP/1.1 200 "),
                    "after {polls} polls: {read:?} {answer}"
                );
            }
            drop(newcomers);
        }
    });
}

// ---- partial responses and the close of their connection

/// The engine closes the connection after half of the bytes of a reply, or half of the pages of a
/// result: no part of it is served.
#[test]
fn partial_response_before_engine_close_ends_by_its_class_rule() {
    on_one_thread(async {
        for paged in [false, true] {
            for reset in [false, true] {
                let fixture = start_default().await;
                fixture.submit(1, LOOKUP);
                let mut first = fixture.accept_upstream().await;
                read_request_id(&mut first).await;
                fixture.submit(2, LOAD);
                let mut second = fixture.accept_upstream().await;
                read_request_id(&mut second).await;
                for (engine, id) in [(&mut first, request_id(1)), (&mut second, request_id(2))] {
                    if paged {
                        send_reply(engine, [&id, "ACK", "total=2", "a\tb\tc\n"]).await;
                        assert_eq!(read_command(engine).await.unwrap()[0], "PAGE");
                        send_half_reply(engine, [&id, "BLOCK", "index=1", "a\tb\tc\n"]).await;
                    } else {
                        send_half_reply(engine, [&id, "ACK", "total=1", "a\tb\tc\n"]).await;
                    }
                }
                sleep_ms(10).await;
                if reset {
                    for engine in [&first, &second] {
                        SockRef::from(engine)
                            .set_linger(Some(Duration::ZERO))
                            .unwrap();
                    }
                }
                drop((first, second));
                let mut retry_connection = fixture.accept_upstream().await;
                assert_eq!(read_request_id(&mut retry_connection).await, request_id(1));
                serve_pages(&mut retry_connection, &request_id(1), 1).await;
                fixture.wait_for_open(0).await;
                fixture.expect_answers(&[(1, "served"), (2, "failed")]);
                fixture.expect_no_connection(20).await;
            }
        }
    });
}

/// Half of a reply to a finished request arrives in the poll in which the connection is closed as idle:
/// a load that is submitted in the same poll still runs, and the partial reply is discarded.
#[test]
fn partial_response_in_the_poll_of_an_idle_close_is_discarded() {
    on_one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let fixture = start(listener, (DeduplicationScope::All, 0.0), |sockets| {
            sockets.idle_timeout = 200.0
        })
        .await;
        fixture.submit_with(1, LOOKUP, 60.0, 1);
        let mut engine = fixture.accept_upstream().await;
        read_request_id(&mut engine).await;
        fixture.wait_for_open(0).await;
        assert_eq!(read_command(&mut engine).await.unwrap()[0], "DROP");
        sleep_ms(100).await;
        let all = encode_reply([&request_id(1), "ACK", "total=1", "a\tb\tc\n"]);
        engine.try_write(&all[..20]).unwrap();
        std::thread::sleep(Duration::from_millis(200));
        assert!(
            read_command(&mut engine).await.is_none(),
            "the idle connection should be closed"
        );
        fixture.submit(2, LOAD);
        let mut other = fixture.accept_upstream().await;
        assert_eq!(read_request_id(&mut other).await, request_id(2));
        serve_pages(&mut other, &request_id(2), 1).await;
        fixture.wait_for_open(0).await;
        fixture.expect_answers(&[(1, "refused as late"), (2, "served")]);
    });
}

/// Half of a reply to a finished request arrives, and the rest never does: no later request is sent on
/// that connection, and the partial reply is not kept.
#[test]
fn partial_response_to_a_finished_request_is_discarded_without_failing_a_load() {
    on_one_thread(async {
        let fixture = start_default().await;
        fixture.submit_with(1, LOOKUP, 100.0, 1);
        let mut engine = fixture.accept_upstream().await;
        read_request_id(&mut engine).await;
        send_half_reply(&mut engine, [&request_id(1), "ACK", "total=1", "a\tb\tc\n"]).await;
        fixture.wait_for_open(0).await;
        assert_eq!(read_command(&mut engine).await.unwrap()[0], "DROP");
        sleep_ms(350).await;
        fixture.submit(2, LOAD);
        let other = tokio::time::timeout(Duration::from_millis(300), fixture.engine.accept()).await;
        let mut other = other.expect("on another connection").unwrap().0;
        assert_eq!(read_request_id(&mut other).await, request_id(2));
        serve_pages(&mut other, &request_id(2), 1).await;
        fixture.wait_for_open(0).await;
        fixture.expect_answers(&[(1, "refused as late"), (2, "served")]);
        let end = tokio::time::timeout(Duration::from_millis(1500), engine.read_u8()).await;
        assert!(
            matches!(end, Ok(Err(_))),
            "the connection with the partial reply should be closed"
        );
    });
}

/// Half of a reply arrives while the process is stalled, and the rest right after: the stall does not
/// count against the engine.
#[test]
fn partial_response_after_a_process_stall_is_awaited() {
    on_one_thread(async {
        let fixture = start_default().await;
        fixture.submit(1, LOAD);
        let mut engine = fixture.accept_upstream().await;
        read_request_id(&mut engine).await;
        sleep_ms(50).await;
        let all = encode_reply([&request_id(1), "ACK", "total=1", "a\tb\tc\n"]);
        let (first, rest) = all.split_at(all.len() / 2);
        engine.try_write(first).unwrap();
        std::thread::sleep(Duration::from_millis(1200));
        sleep_ms(20).await;
        engine.write_all(rest).await.unwrap();
        fixture.wait_for_open(0).await;
        fixture.expect_answers(&[(1, "served")]);
    });
}

// ---- connections that are established late, or never

/// One upstream connection is idle and another is still being established: a new request uses the idle
/// one at once.
#[test]
fn request_uses_the_established_connection_not_the_pending_one() {
    on_one_thread(async {
        let engine = listener_without_backlog();
        let filler = TcpStream::connect(engine.local_addr().unwrap())
            .await
            .unwrap();
        let fixture = start(engine, (DeduplicationScope::All, 0.0), |sockets| {
            sockets.connect_timeout = 4000.0
        })
        .await;
        fixture.submit(1, LOOKUP);
        sleep_ms(50).await;
        drop((fixture.accept_upstream().await, filler));
        fixture.submit(2, LOAD);
        let mut up = fixture.accept_upstream().await;
        assert_eq!(
            read_request_id(&mut up).await,
            request_id(2),
            "the load should get a connection of its own"
        );
        serve_pages(&mut up, &request_id(2), 1).await;
        fixture.wait_for_open(1).await;
        fixture.submit(3, LOOKUP);
        let first =
            tokio::time::timeout(Duration::from_millis(400), read_request_id(&mut up)).await;
        assert_eq!(
            first.as_deref(),
            Ok(&request_id(3)[..]),
            "the request should use the established connection at once"
        );
        serve_pages(&mut up, &request_id(3), 1).await;
        fixture.wait_for_open(1).await;
        let mut late = fixture.accept_upstream().await;
        assert_eq!(read_request_id(&mut late).await, request_id(1));
        serve_pages(&mut late, &request_id(1), 1).await;
        fixture.wait_for_open(0).await;
        fixture.expect_answers(&[(1, "served"), (2, "served"), (3, "served")]);
    });
}

/// A connection is not established in time: its requests, including loads, go to another engine, because
/// none ever ran.
#[test]
fn connect_timeout_loses_no_request() {
    on_one_thread(async {
        let engine = listener_without_backlog();
        let at = engine.local_addr().unwrap();
        let filler = TcpStream::connect(at).await.unwrap();
        let fixture = start(engine, (DeduplicationScope::Cell, 50.0), |sockets| {
            sockets.connect_timeout = 150.0
        })
        .await;
        let healthy = TcpListener::bind("127.0.0.1:0").await.unwrap();
        (0..3).for_each(|class| fixture.submit(class as u64, class));
        sleep_ms(50).await;
        fixture.router.update_endpoints(&endpoint_list_snapshot(
            &[at, healthy.local_addr().unwrap()],
            None,
        ));
        let received = Rc::default();
        spawn_local(serve_connections(healthy, Rc::clone(&received)));
        fixture.wait_for_open(0).await;
        fixture.expect_answers(&[(0, "served"), (1, "served"), (2, "served")]);
        drop((fixture.accept_upstream().await, filler));
        fixture.expect_no_connection(1200).await;
        received.borrow_mut().sort_unstable();
        assert_eq!(*received.borrow(), [0, 1, 2].map(request_id));
    });
}

/// Serves every connection to an engine until it is closed, and records the ids of all requests that arrive.
async fn serve_connections(engine: TcpListener, received: Rc<RefCell<Vec<String>>>) {
    while let Ok((mut tcp, _)) = engine.accept().await {
        let received = received.clone();
        spawn_local(async move {
            while let Some(command) = read_command(&mut tcp).await {
                assert_eq!(command[0], "GET", "{command:?}");
                received.borrow_mut().push(command[1].clone());
                serve_pages(&mut tcp, &command[1], 1).await;
            }
        });
    }
}

/// A connection is established a second late, when its request has already ended or its engine is
/// draining or was removed: nothing is sent on it, and each request gets its answer.
async fn late_connection_is_unused(state: &str, expected: &'static str) {
    let engine = listener_without_backlog();
    let at = engine.local_addr().unwrap();
    let filler = TcpStream::connect(at).await.unwrap();
    let fixture = start(engine, (DeduplicationScope::All, 0.0), |sockets| {
        sockets.connect_timeout = 4000.0
    })
    .await;
    fixture.submit_with(1, LOAD, if state == "expired" { 400.0 } else { 2000.0 }, 1);
    sleep_ms(50).await;
    drop((fixture.accept_upstream().await, filler));
    match state {
        "draining" => fixture.router.update_endpoints(&endpoint_list_snapshot(
            &fixture.engines,
            Some((0, "drain")),
        )),
        "removed" => fixture
            .router
            .update_endpoints(&endpoint_list_snapshot(&[], None)),
        _ => fixture.wait_for_open(0).await,
    }
    let mut late = fixture.accept_upstream().await;
    let first = tokio::time::timeout(Duration::from_millis(200), late.read_u8()).await;
    assert!(
        !matches!(first, Ok(Ok(_))),
        "{state}: something was sent on the late connection"
    );
    fixture.wait_for_open(0).await;
    fixture.expect_answers(&[(1, expected)]);
}

#[test]
fn late_connection_sends_nothing_for_finished_requests_or_draining_or_removed_engines() {
    on_one_thread(async {
        tokio::join!(
            late_connection_is_unused("expired", "failed as late"),
            late_connection_is_unused("draining", "refused"),
            late_connection_is_unused("removed", "refused"),
        );
    });
}

// ---- unterminated responses

/// The last page of a result never arrives, or a length announces more bytes than arrive. A request with
/// a near deadline is answered at that deadline, and nothing stays reserved; with time left, idempotent
/// requests are retried and loads fail.
async fn unterminated_response(
    class: usize,
    timeout_ms: f64,
    length_too_large: bool,
    expected: &'static str,
) {
    let fixture = start_default().await;
    fixture.submit_with(1, class, timeout_ms, 1);
    let mut engine = fixture.accept_upstream().await;
    read_request_id(&mut engine).await;
    if length_too_large {
        engine
            .write_all(b"*4\r\n$16\r\n0000000000000001\r\n$3\r\nACK\r\n$7\r\ntotal=1\r\n$5000\r\na\tb\tc\n")
            .await
            .unwrap();
    } else {
        send_reply(&mut engine, [&request_id(1), "ACK", "total=3", "a\tb\tc\n"]).await;
        for _ in 0..2 {
            assert_eq!(read_command(&mut engine).await.unwrap()[0], "PAGE");
        }
        send_reply(
            &mut engine,
            [&request_id(1), "BLOCK", "index=1", "a\tb\tc\n"],
        )
        .await;
    }
    let started = std::time::Instant::now();
    if expected == "served" {
        let mut retry_connection = fixture.accept_upstream().await;
        assert_eq!(read_request_id(&mut retry_connection).await, request_id(1));
        serve_pages(&mut retry_connection, &request_id(1), 1).await;
    }
    fixture.wait_for_open(0).await;
    assert!(
        started.elapsed().as_secs_f64() * 1000.0 < timeout_ms,
        "the request was answered after its deadline"
    );
    sleep_ms(1200).await;
    fixture.expect_answers(&[(1, expected)]);
    fixture.submit(2, LOAD);
    let next = async {
        // A connection whose reply stopped in the middle is closed by now; another connection continues
        // to be used.
        match read_command(&mut engine).await.filter(|w| w[0] == "DROP") {
            Some(_) if !length_too_large => read_request_id(&mut engine).await,
            _ if expected == "served" => String::new(),
            _ => read_request_id(&mut fixture.accept_upstream().await).await,
        }
    };
    let next = tokio::time::timeout(Duration::from_secs(1), next).await;
    let next = next.unwrap_or_else(|_| {
        panic!(
            "no further request was sent after {expected:?} with a deadline of {timeout_ms} ms, \
             length too large: {length_too_large}"
        )
    });
    assert!([request_id(2), String::new()].contains(&next));
}

#[test]
fn unterminated_response_gives_one_answer_and_releases_everything() {
    on_one_thread(async {
        tokio::join!(
            unterminated_response(LOOKUP, 300.0, false, "refused as late"),
            unterminated_response(LOOKUP, 300.0, true, "refused as late"),
            unterminated_response(LOAD, 300.0, false, "failed as late"),
            unterminated_response(LOAD, 300.0, true, "failed as late"),
            unterminated_response(LOOKUP, 4000.0, false, "served"),
            unterminated_response(LOOKUP, 4000.0, true, "served"),
            unterminated_response(LOAD, 4000.0, false, "failed"),
            unterminated_response(LOAD, 4000.0, true, "failed"),
        );
    });
}

// ---- fragmented messages and every message form

/// Returns everything that a client may send, in every form that the protocol allows, and the number of
/// requests among it.
fn message_forms() -> (Vec<u8>, u32) {
    let (txn, team) = (|number| request_id(number), ("team", "acme"));
    let requests = [
        encode_fields(&[
            ("verb", "lookup"),
            ("txn", &txn(1)),
            ("limit", "5000"),
            team,
            ("cpu", "820.0"),
            ("mem", "96"),
        ]),
        encode_fields(&[
            team,
            ("mem", "96"),
            ("limit", "5000"),
            ("cpu", "0.5"),
            ("txn", &txn(2)),
            ("verb", "lookup"),
        ]),
        encode_fields(&[
            ("", ""),
            ("verb", "lookup"),
            ("x", &"y".repeat(60_000)),
            ("txn", &txn(3)),
            team,
            ("limit", "5000"),
        ]),
        encode_fields(&[
            ("verb", "lookup"),
            ("txn", "ABCDEFABCDEFABCD"),
            ("limit", "5000.0"),
            team,
            ("Verb", "load"),
        ]),
        encode_fields(&[
            ("verb", "lookup"),
            ("txn", &txn(4)),
            ("limit", "5000"),
            team,
            (&"n".repeat(255), "v"),
        ]),
    ];
    let mut all = vec![];
    // Readiness queries without payload, without fields and with fields; cancellations of unknown
    // streams with a payload.
    for (stream, payload) in [
        (900, &[][..]),
        (901, &[0]),
        (902, &encode_fields(&[("a", "b")])),
    ] {
        all.extend(encode_frame(16, stream, payload));
        all.extend(encode_frame(8, stream + 50, payload));
    }
    let count = requests.len() as u32;
    // Stream numbers in descending order.
    for (index, mut payload) in requests.into_iter().enumerate() {
        payload.extend(b"select a\n\tfrom \"t\"\r\n");
        all.extend(encode_frame(2, 100 - index as u32, &payload));
    }
    // A frame of the maximum size.
    let mut largest = encode_fields(&[
        ("verb", "lookup"),
        ("txn", &txn(5)),
        ("limit", "5000"),
        team,
    ]);
    largest.resize(262_144 - 5, b'x');
    all.extend(encode_frame(2, 1000, &largest));
    (all, count + 1)
}

#[test]
fn every_message_form_is_served_alike_in_any_fragmentation() {
    on_one_thread(async {
        for fragment_bytes in [usize::MAX, 1, 3, 4096] {
            let fixture = start_default().await;
            let mut client = Client::connect(fixture.address).await;
            let (all, count) = message_forms();
            // Small fragments are used only for the first 1024 bytes: the large messages would take long
            // and test nothing else.
            let fragmented = if fragment_bytes < 4 { 1024 } else { all.len() };
            let (first, rest) = all.split_at(fragmented.min(all.len()));
            let engine = async {
                let mut engine = fixture.accept_upstream().await;
                let mut seen = vec![];
                for _ in 0..count {
                    let arguments = read_command(&mut engine).await.unwrap();
                    assert_eq!(arguments[0], "GET");
                    seen.push((arguments[1].clone(), arguments[3].len()));
                    serve_pages(&mut engine, &arguments[1], 1).await;
                }
                (engine, seen)
            };
            let client_side = async {
                for part in first.chunks(fragment_bytes) {
                    client.send(part).await;
                    if fragment_bytes < 4096 {
                        tokio::task::yield_now().await;
                    }
                }
                client.send(rest).await;
                let (mut ready, mut served) = (vec![], vec![]);
                while ready.len() < 3 || served.len() < count as usize {
                    let (kind, stream, payload) = client.receive().await.expect("an answer");
                    match kind {
                        32 => ready.push((stream, payload[0])),
                        _ => served.push((kind, stream, payload[0])),
                    }
                }
                served.sort_unstable();
                assert_eq!(ready, [(900, 0), (901, 0), (902, 0)]);
                assert_eq!(
                    served,
                    [96, 97, 98, 99, 100, 1000].map(|stream| (4, stream, 0))
                );
            };
            let ((_engine, mut seen), ()) = tokio::join!(engine, client_side);
            seen.sort_unstable();
            let largest = 262_144
                - 5
                - encode_fields(&[
                    ("verb", "lookup"),
                    ("txn", &request_id(5)),
                    ("limit", "5000"),
                    ("team", "acme"),
                ])
                .len();
            let ids = [1, 2, 3, 4].map(|number| (request_id(number), 20));
            assert_eq!(seen[..4], ids);
            assert_eq!(
                seen[4..],
                [(request_id(5), largest), ("ABCDEFABCDEFABCD".into(), 20)]
            );
        }
    });
}

/// A request arrives one byte at a time, over many polls, while another request of the connection runs;
/// its last byte arrives in the poll in which shutdown begins.
#[test]
fn slow_writer_is_served_while_writing_and_at_shutdown() {
    on_one_thread(async {
        let fixture = start_default().await;
        let mut client = Client::connect(fixture.address).await;
        client.send(&request(1, 1, "lookup")).await;
        let mut engine = fixture.accept_upstream().await;
        read_request_id(&mut engine).await;
        let slow = request(2, 2, "lookup");
        for byte in &slow[..slow.len() - 1] {
            client.send(&[*byte]).await;
            sleep_ms(4).await;
        }
        serve_pages(&mut engine, &request_id(1), 1).await;
        client.expect_served(1).await;
        fixture.frontend.announce_shutdown(true);
        fixture.frontend.close_when_idle();
        client.0.try_write(&slow[slow.len() - 1..]).unwrap();
        assert_eq!(read_request_id(&mut engine).await, request_id(2));
        serve_pages(&mut engine, &request_id(2), 1).await;
        assert_eq!(client.receive().await.unwrap().0, 64);
        client.expect_served(2).await;
        assert!(client.receive().await.is_none());
    });
}
