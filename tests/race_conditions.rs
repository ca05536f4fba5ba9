//! Narrow moments, each forced on real connections: a request in the turn of a close, half an answer at a close, late
//! connects, answers without an end, repeats that come too late, and clients that write in pieces. `docs/RACES.md` has
//! the list; what needs the process's own end is in `program.rs`.

mod protocol;
mod scenario;

use bytes::Bytes;
use protocol::*;
use query_dispatcher::admin::{Admin, Watched};
use query_dispatcher::clock::unix_time_millis;
use query_dispatcher::config::{MachineLimits, SocketSettings};
use query_dispatcher::core::{Core, CoreLimits, NewRequest};
use query_dispatcher::dispatch::request_router::{Reply, RequestRouter};
use query_dispatcher::frontend::frames::{Frontend, Work};
use query_dispatcher::server::instance_registry::InstanceRegistry;
use query_dispatcher::transport::buffer_pool::BufferPool;
use query_dispatcher::upstream::resp::RespUpstream;
use query_dispatcher::{DeduplicationScope, Idempotency};
use scenario::{change, on_one_thread};
use socket2::SockRef;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;

const LOOKUP: usize = 0;
const LOAD: usize = 1;
const KEYED: usize = 2;
const CLASSES: [&str; 3] = ["lookup", "load", "keyed"];

type Answers = Rc<RefCell<Vec<(u64, &'static str)>>>;

struct Stand {
    router: Rc<RequestRouter<RespUpstream>>,
    frontend: Rc<Frontend<RespUpstream>>,
    at: SocketAddr,
    engine: TcpListener,
    engines: Vec<SocketAddr>,
    answers: Answers,
}

/// A dispatcher before one engine that this test plays itself.
async fn stand(
    engine: TcpListener,
    keyed: (DeduplicationScope, f64),
    tweak: impl FnOnce(&mut SocketSettings),
) -> Stand {
    let (_, mut names, mut sockets) = scenario::core();
    tweak(&mut sockets);
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
        answer_margin: 20.0,
        page_timeout: 600.0,
    };
    let core = Core::new(settings, 1, bounds).unwrap();
    let pool = BufferPool::default();
    let router = RequestRouter::new(
        core,
        names,
        RespUpstream::new(sockets, vec![], pool.clone()),
    );
    let engines = vec![engine.local_addr().unwrap()];
    router.update_endpoints(&change(&engines, None));
    spawn_local(router.clone().run_clock());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    // The machine takes any answer whole, whether or not its client does.
    SockRef::from(&listener)
        .set_send_buffer_size(256 * 1024)
        .unwrap();
    let at = listener.local_addr().unwrap();
    let frontend = Frontend::new(
        router.clone(),
        pool,
        &MachineLimits {
            memory_mb: 64,
            max_sockets: 64,
        },
    );
    spawn_local(frontend.clone().accept(listener));
    Stand {
        router,
        frontend,
        at,
        engine,
        engines,
        answers: Rc::default(),
    }
}

async fn plain() -> Stand {
    stand(
        TcpListener::bind("127.0.0.1:0").await.unwrap(),
        (DeduplicationScope::All, 0.0),
        |_| {},
    )
    .await
}

/// An engine that keeps little of what it does not read.
fn narrow() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL as u32).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket.listen(16).unwrap()
}

impl Stand {
    /// A request straight at the hub; its answer is kept with its number.
    fn ask(&self, txn: u64, class: usize) {
        self.ask_for(txn, class, 5000.0, 1);
    }

    /// The same with its deadline and the size of its statement.
    fn ask_for(&self, txn: u64, class: usize, ms: f64, size: usize) {
        let deadline = unix_time_millis() + ms;
        let new = NewRequest {
            class,
            tenant: Some(0),
            group: None,
            deadline,
            work: None,
            memory_mb: None,
        };
        let statement = Bytes::from(format!("select '{}'", "x".repeat(size)));
        let answers = self.answers.clone();
        let told = move |reply| {
            let told = match reply {
                Reply::Served(_) => "served",
                Reply::Rejected { .. } => "refused",
                Reply::Failed { .. } => "failed",
                Reply::TimedOut { retry_safe: true } => "refused as late",
                Reply::TimedOut { retry_safe: false } => "failed as late",
            };
            answers.borrow_mut().push((txn, told));
        };
        self.router.open(
            new,
            Work::free(&name(txn), CLASSES[class], statement),
            Box::new(told),
        );
    }

    /// Each has one answer, and it is this.
    fn answered(&self, wanted: &[(u64, &'static str)]) {
        let mut told = self.answers.borrow().clone();
        told.sort_unstable();
        assert_eq!(told, wanted);
    }

    async fn owes(&self, n: usize) {
        until("what is owed", || self.router.unanswered_requests() == n).await;
    }

    /// The engine's next connection.
    async fn dialled(&self) -> TcpStream {
        within("a connection", self.engine.accept())
            .await
            .unwrap()
            .0
    }

    /// Nothing more comes up at the engine.
    async fn undialled(&self, ms: u64) {
        let come = tokio::time::timeout(Duration::from_millis(ms), self.engine.accept()).await;
        assert!(come.is_err(), "nobody calls");
    }
}

async fn pass(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

fn fields(all: &[(&str, &str)]) -> Vec<u8> {
    let mut p = vec![all.len() as u8];
    for (n, v) in all {
        p.extend(
            [
                &[n.len() as u8],
                n.as_bytes(),
                &(v.len() as u16).to_be_bytes(),
                v.as_bytes(),
            ]
            .concat(),
        );
    }
    p
}

fn request(stream: u32, txn: u64, class: &str) -> Vec<u8> {
    let mut p = fields(&[
        ("verb", class),
        ("txn", &name(txn)),
        ("limit", "5000"),
        ("team", "acme"),
    ]);
    p.extend(b"select a from t");
    frame(2, stream, &p)
}

/// The first half of an answer's bytes.
async fn half(engine: &mut TcpStream, words: [&str; 4]) {
    let all = array(words);
    engine.write_all(&all[..all.len() / 2]).await.unwrap();
}

// ---- repeats, against the window in which engines know them

/// By group: what a client is told of a request that may have run and can't be sent again.
const GROUPS: [(DeduplicationScope, &str); 3] = [
    (DeduplicationScope::All, "refused"),
    (DeduplicationScope::Zone, "failed"),
    (DeduplicationScope::Cell, "failed"),
];

/// Its connection breaks, and the repeat waits for another that comes up a second later.
async fn repeat_before_a_late_connection(group: DeduplicationScope, told: &'static str) {
    let s = stand(tight(), (group, 300.0), |sockets| {
        sockets.connect_timeout = 4000.0
    })
    .await;
    s.ask(1, KEYED);
    let mut engine = s.dialled().await;
    assert_eq!(get(&mut engine).await, name(1));
    let filler = TcpStream::connect(s.engines[0]).await.unwrap();
    drop(engine);
    pass(350).await;
    assert_eq!(
        s.router.unanswered_requests(),
        1,
        "its repeat waits, and the window is over"
    );
    drop((s.dialled().await, filler));
    let mut late = s.dialled().await;
    s.ask(2, LOOKUP);
    assert_eq!(
        get(&mut late).await,
        name(2),
        "the first that it carries is another's"
    );
    serve(&mut late, &name(2), 1).await;
    s.owes(0).await;
    s.answered(&[(1, told), (2, "served")]);
}

#[test]
fn retry_is_not_sent_past_its_window_on_a_late_connection() {
    on_one_thread(async {
        let [a, b, c] = GROUPS.map(|(group, told)| repeat_before_a_late_connection(group, told));
        tokio::join!(a, b, c);
    });
}

/// Its engine fails it, and the repeat stands behind a request that is half on the wire.
async fn repeat_behind_a_stalled_write(group: DeduplicationScope, told: &'static str) {
    let s = stand(narrow(), (group, 250.0), |_| {}).await;
    s.ask(1, LOAD);
    let mut stalled = s.dialled().await;
    get(&mut stalled).await;
    s.ask(2, KEYED);
    let mut engine = s.dialled().await;
    assert_eq!(get(&mut engine).await, name(2), "not beside a load");
    serve(&mut stalled, &name(1), 1).await;
    s.owes(1).await;
    s.ask_for(3, LOOKUP, 5000.0, 250_000);
    within("a byte", stalled.peek(&mut [0])).await.unwrap();
    reply(&mut engine, [&name(2), "EIO", "-", ""]).await;
    pass(300).await;
    assert_eq!(
        s.router.unanswered_requests(),
        2,
        "its repeat waits, and the window is over"
    );
    assert_eq!(get(&mut stalled).await, name(3), "it was begun before");
    serve(&mut stalled, &name(3), 1).await;
    s.ask(4, LOOKUP);
    assert_eq!(
        get(&mut stalled).await,
        name(4),
        "nothing else stood behind it"
    );
    serve(&mut stalled, &name(4), 1).await;
    s.owes(0).await;
    s.answered(&[(1, "served"), (2, told), (3, "served"), (4, "served")]);
}

#[test]
fn retry_is_not_sent_past_its_window_behind_a_stalled_write() {
    on_one_thread(async {
        let [a, b, c] = GROUPS.map(|(group, told)| repeat_behind_a_stalled_write(group, told));
        tokio::join!(a, b, c);
    });
}

/// The window passes while the repeat is half on the wire: it never comes whole.
#[test]
fn partly_written_retry_is_not_completed_past_its_window() {
    on_one_thread(async {
        let s = stand(narrow(), (DeduplicationScope::Cell, 1000.0), |_| {}).await;
        s.ask_for(1, KEYED, 5000.0, 100_000);
        let mut engine = s.dialled().await;
        get(&mut engine).await;
        reply(&mut engine, [&name(1), "EIO", "-", ""]).await;
        let mut again = s.dialled().await;
        within("a byte", again.read_exact(&mut [0])).await.unwrap();
        pass(1050).await;
        let mut all = vec![];
        let end =
            tokio::time::timeout(Duration::from_millis(500), again.read_to_end(&mut all)).await;
        assert!(all.len() < 100_000, "{} bytes came ({end:?})", all.len());
        s.owes(0).await;
        s.answered(&[(1, "failed")]);
        s.undialled(100).await;
    });
}

/// Windows down to nothing: whatever of the retry's own course is longer, nothing goes out twice and too late.
#[test]
fn short_deduplication_windows_get_no_retry_past_them() {
    on_one_thread(async {
        for (group, told) in GROUPS {
            for window in [0.0, 5.0, 20.0] {
                let s = stand(
                    TcpListener::bind("127.0.0.1:0").await.unwrap(),
                    (group, window),
                    |_| {},
                )
                .await;
                s.ask(1, KEYED);
                let mut engine = s.dialled().await;
                get(&mut engine).await;
                drop(engine);
                s.owes(0).await;
                s.answered(&[(1, told)]);
                s.undialled(20).await;
            }
        }
    });
}

/// Its time ends with it out: that is no refusal where only some engines would know a repeat.
#[test]
fn expired_keyed_request_is_rejected_only_with_fleet_wide_deduplication() {
    on_one_thread(async {
        for (group, told) in [
            (DeduplicationScope::All, "refused as late"),
            (DeduplicationScope::Zone, "failed as late"),
            (DeduplicationScope::Cell, "failed as late"),
        ] {
            let s = stand(
                TcpListener::bind("127.0.0.1:0").await.unwrap(),
                (group, 100.0),
                |_| {},
            )
            .await;
            s.ask_for(1, KEYED, 150.0, 1);
            let mut engine = s.dialled().await;
            get(&mut engine).await;
            s.owes(0).await;
            s.answered(&[(1, told)]);
        }
    });
}

// ---- closes, against what is in the pipes

/// The process stands still while connections become idle for too long, and one of their clients asks: it is served. The
/// other is closed, and what it sends on that connection then is read by nobody, so that it may send it anew.
#[test]
fn request_in_the_poll_of_an_idle_close_is_served_and_a_later_one_is_not_read() {
    on_one_thread(async {
        let s = plain().await;
        let mut asks = Client::new(s.at).await;
        let mut rests = Client::new(s.at).await;
        for c in [&mut asks, &mut rests] {
            c.say(&frame(16, 1, &[0])).await;
            assert_eq!(c.hear().await.unwrap().0, 32);
        }
        pass(4700).await;
        // Both events before the runtime hears of either.
        assert!(asks.0.try_write(&request(2, 1, "lookup")).unwrap() > 0);
        std::thread::sleep(Duration::from_millis(900));
        let mut engine = s.dialled().await;
        assert_eq!(get(&mut engine).await, name(1));
        serve(&mut engine, &name(1), 1).await;
        asks.is_served(2).await;
        assert!(rests.hear().await.is_none(), "idle for too long");
        let _ = rests.0.write_all(&request(2, 2, "lookup")).await;
        assert!(rests.hear().await.is_none(), "nobody answers there");
        let mut anew = Client::new(s.at).await;
        anew.say(&request(1, 2, "lookup")).await;
        assert_eq!(get(&mut engine).await, name(2), "for the first time");
        serve(&mut engine, &name(2), 1).await;
        anew.is_served(1).await;
    });
}

/// At the end of all connections, in one turn: a client's request is on its way, another's comes after its close.
#[test]
fn request_in_the_poll_of_the_final_close_is_served_and_a_later_one_is_not_read() {
    on_one_thread(async {
        let s = plain().await;
        let mut asks = Client::new(s.at).await;
        let mut rests = Client::new(s.at).await;
        until("both", || s.frontend.connections() == 2).await;
        s.frontend.goodbye(true);
        for c in [&mut asks, &mut rests] {
            assert_eq!(c.hear().await.unwrap().0, 64);
        }
        s.frontend.end();
        assert!(asks.0.try_write(&request(1, 1, "lookup")).unwrap() > 0);
        let mut engine = s.dialled().await;
        assert_eq!(get(&mut engine).await, name(1));
        assert!(rests.hear().await.is_none());
        let _ = rests.0.write_all(&request(1, 2, "lookup")).await;
        assert!(rests.hear().await.is_none());
        serve(&mut engine, &name(1), 1).await;
        asks.is_served(1).await;
        assert!(asks.hear().await.is_none());
        drop(rests);
        until("none", || s.frontend.connections() == 0).await;
        assert!(
            tokio::time::timeout(Duration::from_millis(50), engine.read_u8())
                .await
                .is_err(),
            "one reached it"
        );
    });
}

/// The machine has taken an answer whole and its client has not, when the connection ends and the client asks again: it
/// has its answer whole all the same.
#[test]
fn response_in_transit_survives_client_data_after_close() {
    on_one_thread(async {
        let s = plain().await;
        let mut client = Client::narrow(s.at).await;
        client.say(&request(1, 1, "lookup")).await;
        let mut engine = s.dialled().await;
        let id = get(&mut engine).await;
        serve(&mut engine, &id, 9).await;
        s.owes(0).await;
        pass(20).await;
        s.frontend.end();
        pass(20).await;
        client.say(&request(2, 2, "lookup")).await;
        pass(20).await;
        let (kind, stream, payload) = client.hear().await.expect("its answer");
        assert_eq!((kind, stream, payload.len()), (4, 1, 2 + 9 * 5005));
        assert_eq!(client.hear().await.map(|f| f.0), Some(64));
        assert!(client.hear().await.is_none());
        assert_eq!(
            s.router.unanswered_requests(),
            0,
            "what it asked too late is not taken up"
        );
        drop(client);
        until("none", || s.frontend.connections() == 0).await;
    });
}

/// Operators connect in such a number that all callers before give way, and those call in that turn, or one of the next
/// few: what a caller has written before its end is seen is answered, and none of the connections is reset.
#[test]
fn admin_request_in_the_poll_of_its_eviction_is_answered() {
    on_one_thread(async {
        let s = plain().await;
        for turns in 0..10 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let at = listener.local_addr().unwrap();
            let shared = Rc::new(InstanceRegistry::open(None).unwrap());
            let admin = Admin::new(
                s.router.clone(),
                BufferPool::default(),
                shared,
                Watched::default(),
                24,
            );
            spawn_local(admin.accept(listener));
            let mut callers = vec![];
            for _ in 0..24 {
                callers.push(TcpStream::connect(at).await.unwrap());
            }
            pass(10).await;
            let newcomers: Vec<_> = callers
                .iter()
                .map(|_| std::net::TcpStream::connect(at).unwrap())
                .collect();
            for _ in 0..turns {
                tokio::task::yield_now().await;
            }
            // Those that have been closed by now have been closed with nothing unread.
            let open = |c: &TcpStream| {
                SockRef::from(c)
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
                let read = within("an answer", caller.read_to_string(&mut answer)).await;
                assert!(
                    read.is_ok() && answer.starts_with("HTTP/1.1 200 "),
                    "{turns}: {read:?} {answer}"
                );
            }
            drop(newcomers);
        }
    });
}

// ---- half an answer, against the end of its connection

/// Half an answer's bytes, or half of a result's pages, and the engine closes: nothing of it is served.
#[test]
fn partial_response_before_engine_close_ends_by_its_class_rule() {
    on_one_thread(async {
        for paged in [false, true] {
            for reset in [false, true] {
                let s = plain().await;
                s.ask(1, LOOKUP);
                let mut first = s.dialled().await;
                get(&mut first).await;
                s.ask(2, LOAD);
                let mut second = s.dialled().await;
                get(&mut second).await;
                for (engine, id) in [(&mut first, name(1)), (&mut second, name(2))] {
                    if paged {
                        reply(engine, [&id, "ACK", "total=2", "a\tb\tc\n"]).await;
                        assert_eq!(command(engine).await.unwrap()[0], "PAGE");
                        half(engine, [&id, "BLOCK", "index=1", "a\tb\tc\n"]).await;
                    } else {
                        half(engine, [&id, "ACK", "total=1", "a\tb\tc\n"]).await;
                    }
                }
                pass(10).await;
                if reset {
                    for engine in [&first, &second] {
                        SockRef::from(engine)
                            .set_linger(Some(Duration::ZERO))
                            .unwrap();
                    }
                }
                drop((first, second));
                let mut again = s.dialled().await;
                assert_eq!(get(&mut again).await, name(1));
                serve(&mut again, &name(1), 1).await;
                s.owes(0).await;
                s.answered(&[(1, "served"), (2, "failed")]);
                s.undialled(20).await;
            }
        }
    });
}

/// Half an answer to a request that is over comes in the turn in which we close its connection as idle: a load that is
/// asked for in the same turn runs all the same, and the half is served to nobody.
#[test]
fn partial_response_in_the_poll_of_an_idle_close_is_discarded() {
    on_one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let s = stand(listener, (DeduplicationScope::All, 0.0), |sockets| {
            sockets.idle_timeout = 200.0
        })
        .await;
        s.ask_for(1, LOOKUP, 60.0, 1);
        let mut engine = s.dialled().await;
        get(&mut engine).await;
        s.owes(0).await;
        assert_eq!(command(&mut engine).await.unwrap()[0], "DROP");
        pass(100).await;
        let all = array([&name(1), "ACK", "total=1", "a\tb\tc\n"]);
        engine.try_write(&all[..20]).unwrap();
        std::thread::sleep(Duration::from_millis(200));
        assert!(command(&mut engine).await.is_none(), "idle for too long");
        s.ask(2, LOAD);
        let mut other = s.dialled().await;
        assert_eq!(get(&mut other).await, name(2));
        serve(&mut other, &name(2), 1).await;
        s.owes(0).await;
        s.answered(&[(1, "refused as late"), (2, "served")]);
    });
}

/// Half an answer to a request that is over, and never its rest: no later request stands behind it, and it is not held.
#[test]
fn partial_response_to_a_finished_request_is_discarded_without_failing_a_load() {
    on_one_thread(async {
        let s = plain().await;
        s.ask_for(1, LOOKUP, 100.0, 1);
        let mut engine = s.dialled().await;
        get(&mut engine).await;
        half(&mut engine, [&name(1), "ACK", "total=1", "a\tb\tc\n"]).await;
        s.owes(0).await;
        assert_eq!(command(&mut engine).await.unwrap()[0], "DROP");
        pass(350).await;
        s.ask(2, LOAD);
        let other = tokio::time::timeout(Duration::from_millis(300), s.engine.accept()).await;
        let mut other = other.expect("on another connection").unwrap().0;
        assert_eq!(get(&mut other).await, name(2));
        serve(&mut other, &name(2), 1).await;
        s.owes(0).await;
        s.answered(&[(1, "refused as late"), (2, "served")]);
        let end = tokio::time::timeout(Duration::from_millis(1500), engine.read_u8()).await;
        assert!(
            matches!(end, Ok(Err(_))),
            "and the one that stands in the middle is closed"
        );
    });
}

/// The process stands still, half an answer comes meanwhile, and its rest right after: the time in which nobody looked
/// counts against no engine.
#[test]
fn partial_response_after_a_process_stall_is_awaited() {
    on_one_thread(async {
        let s = plain().await;
        s.ask(1, LOAD);
        let mut engine = s.dialled().await;
        get(&mut engine).await;
        pass(50).await;
        let all = array([&name(1), "ACK", "total=1", "a\tb\tc\n"]);
        let (first, rest) = all.split_at(all.len() / 2);
        engine.try_write(first).unwrap();
        std::thread::sleep(Duration::from_millis(1200));
        pass(20).await;
        engine.write_all(rest).await.unwrap();
        s.owes(0).await;
        s.answered(&[(1, "served")]);
    });
}

// ---- connections that come up late, or never

/// One connection to an engine is up and rests, another is still coming up: what comes in is not made to wait.
#[test]
fn request_uses_the_established_connection_not_the_pending_one() {
    on_one_thread(async {
        let engine = tight();
        let filler = TcpStream::connect(engine.local_addr().unwrap())
            .await
            .unwrap();
        let s = stand(engine, (DeduplicationScope::All, 0.0), |sockets| {
            sockets.connect_timeout = 4000.0
        })
        .await;
        s.ask(1, LOOKUP);
        pass(50).await;
        drop((s.dialled().await, filler));
        s.ask(2, LOAD);
        let mut up = s.dialled().await;
        assert_eq!(get(&mut up).await, name(2), "alone on one of its own");
        serve(&mut up, &name(2), 1).await;
        s.owes(1).await;
        s.ask(3, LOOKUP);
        let first = tokio::time::timeout(Duration::from_millis(400), get(&mut up)).await;
        assert_eq!(first.as_deref(), Ok(&name(3)[..]), "at once");
        serve(&mut up, &name(3), 1).await;
        s.owes(1).await;
        let mut late = s.dialled().await;
        assert_eq!(get(&mut late).await, name(1));
        serve(&mut late, &name(1), 1).await;
        s.owes(0).await;
        s.answered(&[(1, "served"), (2, "served"), (3, "served")]);
    });
}

/// It does not come up within the settings' time: what waits on it goes to another engine, loads too, for none ever ran.
#[test]
fn connect_timeout_loses_no_request() {
    on_one_thread(async {
        let engine = tight();
        let at = engine.local_addr().unwrap();
        let filler = TcpStream::connect(at).await.unwrap();
        let s = stand(engine, (DeduplicationScope::Cell, 50.0), |sockets| {
            sockets.connect_timeout = 150.0
        })
        .await;
        let healthy = TcpListener::bind("127.0.0.1:0").await.unwrap();
        (0..3).for_each(|class| s.ask(class as u64, class));
        pass(50).await;
        s.router
            .update_endpoints(&change(&[at, healthy.local_addr().unwrap()], None));
        let mut served = 0;
        let serving = async {
            let mut open = vec![];
            while served < 3 {
                let mut tcp = healthy.accept().await.unwrap().0;
                // On one connection or several: each is read until nothing more comes.
                while let Ok(id) =
                    tokio::time::timeout(Duration::from_millis(30), get(&mut tcp)).await
                {
                    serve(&mut tcp, &id, 1).await;
                    served += 1;
                }
                open.push(tcp);
            }
        };
        within("three", serving).await;
        s.owes(0).await;
        s.answered(&[(0, "served"), (1, "served"), (2, "served")]);
        drop((s.dialled().await, filler));
        s.undialled(1200).await;
    });
}

/// A connection that is up a second late, and by then its request is over, its engine drains, or is gone: it carries
/// nothing, and each request has its answer.
async fn late_and_unwanted(how: &str, told: &'static str) {
    let engine = tight();
    let at = engine.local_addr().unwrap();
    let filler = TcpStream::connect(at).await.unwrap();
    let s = stand(engine, (DeduplicationScope::All, 0.0), |sockets| {
        sockets.connect_timeout = 4000.0
    })
    .await;
    s.ask_for(1, LOAD, if how == "over" { 400.0 } else { 2000.0 }, 1);
    pass(50).await;
    drop((s.dialled().await, filler));
    match how {
        "drains" => s
            .router
            .update_endpoints(&change(&s.engines, Some((0, "drain")))),
        "gone" => s.router.update_endpoints(&change(&[], None)),
        _ => s.owes(0).await,
    }
    let mut late = s.dialled().await;
    let first = tokio::time::timeout(Duration::from_millis(200), late.read_u8()).await;
    assert!(!matches!(first, Ok(Ok(_))), "{how}: it carries something");
    s.owes(0).await;
    s.answered(&[(1, told)]);
}

#[test]
fn late_connection_sends_nothing_for_finished_requests_or_draining_or_removed_engines() {
    on_one_thread(async {
        tokio::join!(
            late_and_unwanted("over", "failed as late"),
            late_and_unwanted("drains", "refused"),
            late_and_unwanted("gone", "refused"),
        );
    });
}

// ---- answers without an end

/// The first page is there and the last never comes; or a length promises more than comes. A deadline that is near gets
/// its answer then, and nothing is held after; with time left, safe ones are sent again and loads are failed.
async fn without_an_end(class: usize, ms: f64, promises: bool, told: &'static str) {
    let s = plain().await;
    s.ask_for(1, class, ms, 1);
    let mut engine = s.dialled().await;
    get(&mut engine).await;
    if promises {
        engine
            .write_all(b"*4\r\n$16\r\n0000000000000001\r\n$3\r\nACK\r\n$7\r\ntotal=1\r\n$5000\r\na\tb\tc\n")
            .await
            .unwrap();
    } else {
        reply(&mut engine, [&name(1), "ACK", "total=3", "a\tb\tc\n"]).await;
        for _ in 0..2 {
            assert_eq!(command(&mut engine).await.unwrap()[0], "PAGE");
        }
        reply(&mut engine, [&name(1), "BLOCK", "index=1", "a\tb\tc\n"]).await;
    }
    let asked = std::time::Instant::now();
    if told == "served" {
        let mut again = s.dialled().await;
        assert_eq!(get(&mut again).await, name(1));
        serve(&mut again, &name(1), 1).await;
    }
    s.owes(0).await;
    assert!(asked.elapsed().as_secs_f64() * 1000.0 < ms, "in time");
    pass(1200).await;
    s.answered(&[(1, told)]);
    s.ask(2, LOAD);
    let next = async {
        // What was cut off in its middle is closed by now, and what was not goes on.
        match command(&mut engine).await.filter(|w| w[0] == "DROP") {
            Some(_) if !promises => get(&mut engine).await,
            _ if told == "served" => String::new(),
            _ => get(&mut s.dialled().await).await,
        }
    };
    let next = tokio::time::timeout(Duration::from_secs(1), next).await;
    let next = next.unwrap_or_else(|_| {
        panic!("something is held after {told} in {ms} ms, promises: {promises}")
    });
    assert!([name(2), String::new()].contains(&next));
}

#[test]
fn unterminated_response_gives_one_answer_and_releases_everything() {
    on_one_thread(async {
        tokio::join!(
            without_an_end(LOOKUP, 300.0, false, "refused as late"),
            without_an_end(LOOKUP, 300.0, true, "refused as late"),
            without_an_end(LOAD, 300.0, false, "failed as late"),
            without_an_end(LOAD, 300.0, true, "failed as late"),
            without_an_end(LOOKUP, 4000.0, false, "served"),
            without_an_end(LOOKUP, 4000.0, true, "served"),
            without_an_end(LOAD, 4000.0, false, "failed"),
            without_an_end(LOAD, 4000.0, true, "failed"),
        );
    });
}

// ---- clients' messages in pieces, and in every form

/// All that a client may send, in forms that the protocol allows; how many requests are among it.
fn forms() -> (Vec<u8>, u32) {
    let (txn, team) = (|n| name(n), ("team", "acme"));
    let requests = [
        fields(&[
            ("verb", "lookup"),
            ("txn", &txn(1)),
            ("limit", "5000"),
            team,
            ("cpu", "820.0"),
            ("mem", "96"),
        ]),
        fields(&[
            team,
            ("mem", "96"),
            ("limit", "5000"),
            ("cpu", "0.5"),
            ("txn", &txn(2)),
            ("verb", "lookup"),
        ]),
        fields(&[
            ("", ""),
            ("verb", "lookup"),
            ("x", &"y".repeat(60_000)),
            ("txn", &txn(3)),
            team,
            ("limit", "5000"),
        ]),
        fields(&[
            ("verb", "lookup"),
            ("txn", "ABCDEFABCDEFABCD"),
            ("limit", "5000.0"),
            team,
            ("Verb", "load"),
        ]),
        fields(&[
            ("verb", "lookup"),
            ("txn", &txn(4)),
            ("limit", "5000"),
            team,
            (&"n".repeat(255), "v"),
        ]),
    ];
    let mut all = vec![];
    // Asked with no fields, with none at all, and with some; left on a stream that nobody knows, with a payload.
    for (stream, payload) in [(900, &[][..]), (901, &[0]), (902, &fields(&[("a", "b")]))] {
        all.extend(frame(16, stream, payload));
        all.extend(frame(8, stream + 50, payload));
    }
    let n = requests.len() as u32;
    // Streams in any order.
    for (i, mut payload) in requests.into_iter().enumerate() {
        payload.extend(b"select a\n\tfrom \"t\"\r\n");
        all.extend(frame(2, 100 - i as u32, &payload));
    }
    // As large as a frame may be.
    let mut largest = fields(&[
        ("verb", "lookup"),
        ("txn", &txn(5)),
        ("limit", "5000"),
        team,
    ]);
    largest.resize(262_144 - 5, b'x');
    all.extend(frame(2, 1000, &largest));
    (all, n + 1)
}

#[test]
fn every_message_form_is_served_alike_in_any_fragmentation() {
    on_one_thread(async {
        for piece in [usize::MAX, 1, 3, 4096] {
            let s = plain().await;
            let mut client = Client::new(s.at).await;
            let (all, n) = forms();
            // Byte by byte only the small ones: the large take the machine long, and bring nothing else to light.
            let slow = if piece < 4 { 1024 } else { all.len() };
            let (first, rest) = all.split_at(slow.min(all.len()));
            let engine = async {
                let mut engine = s.dialled().await;
                let mut seen = vec![];
                for _ in 0..n {
                    let words = command(&mut engine).await.unwrap();
                    assert_eq!(words[0], "GET");
                    seen.push((words[1].clone(), words[3].len()));
                    serve(&mut engine, &words[1], 1).await;
                }
                (engine, seen)
            };
            let talk = async {
                for part in first.chunks(piece) {
                    client.say(part).await;
                    if piece < 4096 {
                        tokio::task::yield_now().await;
                    }
                }
                client.say(rest).await;
                let (mut ready, mut served) = (vec![], vec![]);
                while ready.len() < 3 || served.len() < n as usize {
                    let (kind, stream, payload) = client.hear().await.expect("an answer");
                    match kind {
                        32 => ready.push((stream, payload[0])),
                        _ => served.push((kind, stream, payload[0])),
                    }
                }
                served.sort_unstable();
                assert_eq!(ready, [(900, 0), (901, 0), (902, 0)]);
                assert_eq!(served, [96, 97, 98, 99, 100, 1000].map(|s| (4, s, 0)));
            };
            let ((_engine, mut seen), ()) = tokio::join!(engine, talk);
            seen.sort_unstable();
            let largest = 262_144
                - 5
                - fields(&[
                    ("verb", "lookup"),
                    ("txn", &name(5)),
                    ("limit", "5000"),
                    ("team", "acme"),
                ])
                .len();
            let ids = [1, 2, 3, 4].map(|n| (name(n), 20));
            assert_eq!(seen[..4], ids);
            assert_eq!(
                seen[4..],
                [(name(5), largest), ("ABCDEFABCDEFABCD".into(), 20)]
            );
        }
    });
}

/// One byte at a time, over many turns, while another request of its connection runs; then its last bytes come in the turn
/// of the goodbye.
#[test]
fn slow_writer_is_served_while_writing_and_at_shutdown() {
    on_one_thread(async {
        let s = plain().await;
        let mut client = Client::new(s.at).await;
        client.say(&request(1, 1, "lookup")).await;
        let mut engine = s.dialled().await;
        get(&mut engine).await;
        let slow = request(2, 2, "lookup");
        for byte in &slow[..slow.len() - 1] {
            client.say(&[*byte]).await;
            pass(4).await;
        }
        serve(&mut engine, &name(1), 1).await;
        client.is_served(1).await;
        s.frontend.goodbye(true);
        s.frontend.end();
        client.0.try_write(&slow[slow.len() - 1..]).unwrap();
        assert_eq!(get(&mut engine).await, name(2));
        serve(&mut engine, &name(2), 1).await;
        assert_eq!(client.hear().await.unwrap().0, 64);
        client.is_served(2).await;
        assert!(client.hear().await.is_none());
    });
}
