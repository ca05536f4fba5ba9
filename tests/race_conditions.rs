//! Race conditions, each forced on real connections: a request in the poll of a close, a partial response at a close, late
//! connects, unterminated responses, late retries, and clients that write in fragments. `docs/RACES.md` has
//! the list; races with the exit of the process are in `program.rs`.

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
use scenario::{change, on_one_thread};
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

/// A dispatcher, and the answers to the requests that were submitted to its router.
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

/// Starts a dispatcher whose class `keyed` has this deduplication scope and window in milliseconds.
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
        // Large enough for the kernel to take any response in full, whether or not its client reads.
        client_send_buffer: 256 * 1024,
    };
    RaceFixture {
        dispatcher: DispatcherFixture::start(parts).await,
        answers: Rc::default(),
    }
}

async fn start_default() -> RaceFixture {
    start(
        TcpListener::bind("127.0.0.1:0").await.unwrap(),
        (DeduplicationScope::All, 0.0),
        |_| {},
    )
    .await
}

impl RaceFixture {
    /// Submits a request to the router; its answer is recorded with its number.
    fn submit(&self, txn: u64, class: usize) {
        self.submit_with(txn, class, 5000.0, 1);
    }

    /// Submits a request with this time to its deadline, in milliseconds, and this size of its statement.
    fn submit_with(&self, txn: u64, class: usize, ms: f64, size: usize) {
        let deadline = process_clock_millis() + ms;
        let request = NewRequest {
            class,
            tenant: Some(0),
            group: None,
            deadline,
            work: None,
            memory_mb: None,
        };
        let statement = Bytes::from(format!("select '{}'", "x".repeat(size)));
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

    /// Each request has exactly one answer, and it is this.
    fn expect_answers(&self, expected: &[(u64, &'static str)]) {
        let mut answers = self.answers.borrow().clone();
        answers.sort_unstable();
        assert_eq!(answers, expected);
    }

    /// The engine gets no further connection.
    async fn expect_no_connection(&self, ms: u64) {
        let accepted = tokio::time::timeout(Duration::from_millis(ms), self.engine.accept()).await;
        assert!(accepted.is_err(), "no connection comes");
    }
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

fn request(stream: u32, txn: u64, class: &str) -> Vec<u8> {
    encode_request(stream, txn, class, "select a from t")
}

/// Sends the first half of a reply's bytes.
async fn send_half_reply(engine: &mut TcpStream, fields: [&str; 4]) {
    let reply = encode_reply(fields);
    engine.write_all(&reply[..reply.len() / 2]).await.unwrap();
}

// ---- retries and the deduplication window of the engines

/// By scope: the answer to a request that may have run and can't be retried.
const GROUPS: [(DeduplicationScope, &str); 3] = [
    (DeduplicationScope::All, "refused"),
    (DeduplicationScope::Zone, "failed"),
    (DeduplicationScope::Cell, "failed"),
];

/// The connection breaks, and the retry waits for another that is established a second later.
async fn retry_before_a_late_connection(group: DeduplicationScope, expected: &'static str) {
    let fixture = start(listener_without_backlog(), (group, 300.0), |sockets| {
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
        "its retry is pending, and the window has ended"
    );
    drop((fixture.accept_upstream().await, filler));
    let mut late = fixture.accept_upstream().await;
    fixture.submit(2, LOOKUP);
    assert_eq!(
        read_request_id(&mut late).await,
        request_id(2),
        "its first request is another one"
    );
    serve_pages(&mut late, &request_id(2), 1).await;
    fixture.wait_for_open(0).await;
    fixture.expect_answers(&[(1, expected), (2, "served")]);
}

#[test]
fn retry_is_not_sent_past_its_window_on_a_late_connection() {
    on_one_thread(async {
        let [all, zone, cell] =
            GROUPS.map(|(group, expected)| retry_before_a_late_connection(group, expected));
        tokio::join!(all, zone, cell);
    });
}

/// The engine fails the request, and its retry is queued behind a request that is half written.
async fn retry_behind_a_stalled_write(group: DeduplicationScope, expected: &'static str) {
    let fixture = start(small_buffer_listener(), (group, 250.0), |_| {}).await;
    fixture.submit(1, LOAD);
    let mut stalled = fixture.accept_upstream().await;
    read_request_id(&mut stalled).await;
    fixture.submit(2, KEYED);
    let mut engine = fixture.accept_upstream().await;
    assert_eq!(
        read_request_id(&mut engine).await,
        request_id(2),
        "not beside a load"
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
        "its retry is pending, and the window has ended"
    );
    assert_eq!(
        read_request_id(&mut stalled).await,
        request_id(3),
        "its write began before"
    );
    serve_pages(&mut stalled, &request_id(3), 1).await;
    fixture.submit(4, LOOKUP);
    assert_eq!(
        read_request_id(&mut stalled).await,
        request_id(4),
        "nothing else was queued behind it"
    );
    serve_pages(&mut stalled, &request_id(4), 1).await;
    fixture.wait_for_open(0).await;
    fixture.expect_answers(&[(1, "served"), (2, expected), (3, "served"), (4, "served")]);
}

#[test]
fn retry_is_not_sent_past_its_window_behind_a_stalled_write() {
    on_one_thread(async {
        let [all, zone, cell] =
            GROUPS.map(|(group, expected)| retry_behind_a_stalled_write(group, expected));
        tokio::join!(all, zone, cell);
    });
}

/// The window ends while the retry is half written: the rest is never written.
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
        assert!(all.len() < 100_000, "{} bytes came ({end:?})", all.len());
        fixture.wait_for_open(0).await;
        fixture.expect_answers(&[(1, "failed")]);
        fixture.expect_no_connection(100).await;
    });
}

/// Windows down to zero: no second attempt is sent after its window, whichever step of the retry takes longer.
#[test]
fn short_deduplication_windows_get_no_retry_past_them() {
    on_one_thread(async {
        for (group, expected) in GROUPS {
            for window in [0.0, 5.0, 20.0] {
                let fixture = start(
                    TcpListener::bind("127.0.0.1:0").await.unwrap(),
                    (group, window),
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

/// The deadline passes with the request in flight: no rejection where only some engines would detect a duplicate.
#[test]
fn expired_keyed_request_is_rejected_only_with_fleet_wide_deduplication() {
    on_one_thread(async {
        for (group, expected) in [
            (DeduplicationScope::All, "refused as late"),
            (DeduplicationScope::Zone, "failed as late"),
            (DeduplicationScope::Cell, "failed as late"),
        ] {
            let fixture = start(
                TcpListener::bind("127.0.0.1:0").await.unwrap(),
                (group, 100.0),
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

/// The process is stalled while two connections exceed the idle limit and one client sends a request: it is served. The
/// other connection is closed, and what its client sends there then is not read, so that the client may send it again.
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
        // Both events before the runtime polls either.
        assert!(active_client.0.try_write(&request(2, 1, "lookup")).unwrap() > 0);
        std::thread::sleep(Duration::from_millis(900));
        let mut engine = fixture.accept_upstream().await;
        assert_eq!(read_request_id(&mut engine).await, request_id(1));
        serve_pages(&mut engine, &request_id(1), 1).await;
        active_client.expect_served(2).await;
        assert!(idle_client.receive().await.is_none(), "idle for too long");
        let _ = idle_client.0.write_all(&request(2, 2, "lookup")).await;
        assert!(
            idle_client.receive().await.is_none(),
            "nothing is answered there"
        );
        let mut new_client = Client::connect(fixture.address).await;
        new_client.send(&request(1, 2, "lookup")).await;
        assert_eq!(
            read_request_id(&mut engine).await,
            request_id(2),
            "for the first time"
        );
        serve_pages(&mut engine, &request_id(2), 1).await;
        new_client.expect_served(1).await;
    });
}

/// When all connections are closed: one client's request is in transit, another's arrives after its close.
#[test]
fn request_in_the_poll_of_the_final_close_is_served_and_a_later_one_is_not_read() {
    on_one_thread(async {
        let fixture = start_default().await;
        let mut active_client = Client::connect(fixture.address).await;
        let mut idle_client = Client::connect(fixture.address).await;
        wait_until("both", || fixture.frontend.connection_count() == 2).await;
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
        wait_until("none", || fixture.frontend.connection_count() == 0).await;
        assert!(
            tokio::time::timeout(Duration::from_millis(50), engine.read_u8())
                .await
                .is_err(),
            "one reached it"
        );
    });
}

/// The kernel has taken a response in full and its client has not when the connection is closed and the client sends
/// another request: the client still gets the whole response.
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
        let (kind, stream, payload) = client.receive().await.expect("its answer");
        assert_eq!((kind, stream, payload.len()), (4, 1, 2 + 9 * 5005));
        assert_eq!(client.receive().await.map(|f| f.0), Some(64));
        assert!(client.receive().await.is_none());
        assert_eq!(
            fixture.router.unanswered_requests(),
            0,
            "the late request is not accepted"
        );
        drop(client);
        wait_until("none", || fixture.frontend.connection_count() == 0).await;
    });
}

/// So many operators connect that all earlier callers are evicted, and these send a request in that poll or one of the
/// next few: a request written before its eviction is seen is answered, and no connection is reset.
#[test]
fn admin_request_in_the_poll_of_its_eviction_is_answered() {
    on_one_thread(async {
        let fixture = start_default().await;
        for turns in 0..10 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let at = listener.local_addr().unwrap();
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
                callers.push(TcpStream::connect(at).await.unwrap());
            }
            sleep_ms(10).await;
            let newcomers: Vec<_> = callers
                .iter()
                .map(|_| std::net::TcpStream::connect(at).unwrap())
                .collect();
            for _ in 0..turns {
                tokio::task::yield_now().await;
            }
            // Connections that are closed by now were closed with nothing unread.
            let open = |client: &TcpStream| {
                SockRef::from(client)
                    .peek(&mut [std::mem::MaybeUninit::uninit()])
                    .is_err()
            };
            callers.retain(open);
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
                    "{turns}: {read:?} {answer}"
                );
            }
            drop(newcomers);
        }
    });
}

// ---- partial responses and the close of their connection

/// Half of a reply's bytes or of a result's pages, and the engine closes: nothing of it is served.
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

/// Half a reply to a finished request arrives in the poll in which its connection is closed as idle: a load that is
/// submitted in the same poll runs all the same, and the half is discarded.
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
            "idle for too long"
        );
        fixture.submit(2, LOAD);
        let mut other = fixture.accept_upstream().await;
        assert_eq!(read_request_id(&mut other).await, request_id(2));
        serve_pages(&mut other, &request_id(2), 1).await;
        fixture.wait_for_open(0).await;
        fixture.expect_answers(&[(1, "refused as late"), (2, "served")]);
    });
}

/// Half a reply to a finished request, and never its rest: no later request is sent behind it, and it is not buffered.
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
            "and the connection with the partial reply is closed"
        );
    });
}

/// The process is stalled, half a reply arrives meanwhile, and its rest right after: the stall
/// does not count against the engine.
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

/// One upstream connection is idle, another is still being established: a new request uses the idle one at once.
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
            "alone on one of its own"
        );
        serve_pages(&mut up, &request_id(2), 1).await;
        fixture.wait_for_open(1).await;
        fixture.submit(3, LOOKUP);
        let first =
            tokio::time::timeout(Duration::from_millis(400), read_request_id(&mut up)).await;
        assert_eq!(first.as_deref(), Ok(&request_id(3)[..]), "at once");
        serve_pages(&mut up, &request_id(3), 1).await;
        fixture.wait_for_open(1).await;
        let mut late = fixture.accept_upstream().await;
        assert_eq!(read_request_id(&mut late).await, request_id(1));
        serve_pages(&mut late, &request_id(1), 1).await;
        fixture.wait_for_open(0).await;
        fixture.expect_answers(&[(1, "served"), (2, "served"), (3, "served")]);
    });
}

/// A connection is not established in time: its requests go to another engine, loads too, since none ever ran.
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
        fixture
            .router
            .update_endpoints(&change(&[at, healthy.local_addr().unwrap()], None));
        let mut served = 0;
        let serving = async {
            let mut open = vec![];
            while served < 3 {
                let mut tcp = healthy.accept().await.unwrap().0;
                // On one connection or several: each is read until no further request comes.
                while let Ok(id) =
                    tokio::time::timeout(Duration::from_millis(30), read_request_id(&mut tcp)).await
                {
                    serve_pages(&mut tcp, &id, 1).await;
                    served += 1;
                }
                open.push(tcp);
            }
        };
        expect_soon("three", serving).await;
        fixture.wait_for_open(0).await;
        fixture.expect_answers(&[(0, "served"), (1, "served"), (2, "served")]);
        drop((fixture.accept_upstream().await, filler));
        fixture.expect_no_connection(1200).await;
    });
}

/// A connection is established a second late, and by then its request is finished, or its engine drains or was removed:
/// it carries nothing, and each request has its answer.
async fn late_connection_is_unused(how: &str, expected: &'static str) {
    let engine = listener_without_backlog();
    let at = engine.local_addr().unwrap();
    let filler = TcpStream::connect(at).await.unwrap();
    let fixture = start(engine, (DeduplicationScope::All, 0.0), |sockets| {
        sockets.connect_timeout = 4000.0
    })
    .await;
    fixture.submit_with(1, LOAD, if how == "over" { 400.0 } else { 2000.0 }, 1);
    sleep_ms(50).await;
    drop((fixture.accept_upstream().await, filler));
    match how {
        "drains" => fixture
            .router
            .update_endpoints(&change(&fixture.engines, Some((0, "drain")))),
        "gone" => fixture.router.update_endpoints(&change(&[], None)),
        _ => fixture.wait_for_open(0).await,
    }
    let mut late = fixture.accept_upstream().await;
    let first = tokio::time::timeout(Duration::from_millis(200), late.read_u8()).await;
    assert!(!matches!(first, Ok(Ok(_))), "{how}: it carries something");
    fixture.wait_for_open(0).await;
    fixture.expect_answers(&[(1, expected)]);
}

#[test]
fn late_connection_sends_nothing_for_finished_requests_or_draining_or_removed_engines() {
    on_one_thread(async {
        tokio::join!(
            late_connection_is_unused("over", "failed as late"),
            late_connection_is_unused("drains", "refused"),
            late_connection_is_unused("gone", "refused"),
        );
    });
}

// ---- unterminated responses

/// The first page arrives and the last never does; or a length announces more than arrives. A request with a near deadline
/// is answered then, and nothing stays reserved; with time left, idempotent ones are retried and loads are failed.
async fn unterminated_response(
    class: usize,
    ms: f64,
    length_too_large: bool,
    expected: &'static str,
) {
    let fixture = start_default().await;
    fixture.submit_with(1, class, ms, 1);
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
    assert!(started.elapsed().as_secs_f64() * 1000.0 < ms, "in time");
    sleep_ms(1200).await;
    fixture.expect_answers(&[(1, expected)]);
    fixture.submit(2, LOAD);
    let next = async {
        // A connection that broke off in the middle of a reply is closed by now; another one goes on.
        match read_command(&mut engine).await.filter(|w| w[0] == "DROP") {
            Some(_) if !length_too_large => read_request_id(&mut engine).await,
            _ if expected == "served" => String::new(),
            _ => read_request_id(&mut fixture.accept_upstream().await).await,
        }
    };
    let next = tokio::time::timeout(Duration::from_secs(1), next).await;
    let next = next.unwrap_or_else(|_| {
        panic!("something stays reserved after {expected} in {ms} ms, length too large: {length_too_large}")
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

/// Everything that a client may send, in every form that the protocol allows; and how many requests are among it.
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
    // Readiness queries with no payload, no fields, and some fields; cancels of unknown streams, with a payload.
    for (stream, payload) in [
        (900, &[][..]),
        (901, &[0]),
        (902, &encode_fields(&[("a", "b")])),
    ] {
        all.extend(encode_frame(16, stream, payload));
        all.extend(encode_frame(8, stream + 50, payload));
    }
    let count = requests.len() as u32;
    // Streams in any order.
    for (index, mut payload) in requests.into_iter().enumerate() {
        payload.extend(b"select a\n\tfrom \"t\"\r\n");
        all.extend(encode_frame(2, 100 - index as u32, &payload));
    }
    // As large as a frame may be.
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
        for piece in [usize::MAX, 1, 3, 4096] {
            let fixture = start_default().await;
            let mut client = Client::connect(fixture.address).await;
            let (all, count) = message_forms();
            // Byte by byte only the small ones: the large ones take long and test nothing else.
            let slow = if piece < 4 { 1024 } else { all.len() };
            let (first, rest) = all.split_at(slow.min(all.len()));
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
                for part in first.chunks(piece) {
                    client.send(part).await;
                    if piece < 4096 {
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

/// One byte at a time, over many polls, while another request of the connection runs; its last byte arrives in the poll
/// in which shutdown begins.
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
