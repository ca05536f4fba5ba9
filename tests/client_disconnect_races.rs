//! Two events that cross: each test forces the bad order on real connections, by holding a read, writing half a frame, or
//! letting both happen before the runtime hears of either. `docs/RACES.md` has the list.

mod protocol;
mod scenario;

use bytes::Bytes;
use protocol::*;
use query_dispatcher::clock::unix_time_millis;
use query_dispatcher::config::{MachineLimits, NameTable, SocketSettings};
use query_dispatcher::core::{Core, NewRequest};
use query_dispatcher::dispatch::request_router::{Reply, RequestRouter};
use query_dispatcher::frontend::frames::{Frontend, Work};
use query_dispatcher::transport::buffer_pool::BufferPool;
use query_dispatcher::upstream::resp::RespUpstream;
use scenario::{change, core, core_with, on_one_thread};
use socket2::SockRef;
use std::cell::RefCell;
use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;

/// Past it, nothing is sent on for a client that has left.
const TERM: Duration = Duration::from_millis(100);

struct Stand {
    router: Rc<RequestRouter<RespUpstream>>,
    frontend: Rc<Frontend<RespUpstream>>,
    at: SocketAddr,
    engine: TcpListener,
    engines: Vec<SocketAddr>,
}

/// A dispatcher before one engine that this test plays itself.
async fn stand(engine: TcpListener, tweak: impl FnOnce(&mut SocketSettings)) -> Stand {
    stand_with(core(), engine, tweak).await
}

async fn stand_with(
    (core, names, mut sockets): (Core, NameTable, SocketSettings),
    engine: TcpListener,
    tweak: impl FnOnce(&mut SocketSettings),
) -> Stand {
    tweak(&mut sockets);
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
    SockRef::from(&listener)
        .set_send_buffer_size(SMALL)
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
    }
}

/// One with room for hundreds of clients.
async fn large() -> Stand {
    let s = stand_with(
        core_with(1000),
        TcpListener::bind("127.0.0.1:0").await.unwrap(),
        |_| {},
    )
    .await;
    s.frontend.limit(&MachineLimits {
        memory_mb: 64,
        max_sockets: 1024,
    });
    s
}

async fn plain() -> Stand {
    stand(TcpListener::bind("127.0.0.1:0").await.unwrap(), |_| {}).await
}

/// An engine that keeps little of what it does not read.
async fn narrow() -> Stand {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL as u32).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    stand(socket.listen(16).unwrap(), |_| {}).await
}

impl Stand {
    /// All that comes in waits from now on: the engine drains.
    fn holds(&self) {
        self.router
            .update_endpoints(&change(&self.engines, Some((0, "drain"))));
    }

    /// What waits is let go.
    fn lets_go(&self) {
        self.router.update_endpoints(&change(&self.engines, None));
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

    /// A request that nobody else has sent reaches the engine next: what waited before it never comes.
    async fn nothing_but(&self, txn: u64) {
        let mut client = Client::new(self.at).await;
        client.say(&request(1, txn, "lookup", "")).await;
        let mut engine = self.dialled().await;
        assert_eq!(get(&mut engine).await, name(txn));
    }
}

fn request(stream: u32, txn: u64, class: &str, more: &str) -> Vec<u8> {
    let mut p = vec![4];
    for (n, v) in [
        ("verb", class),
        ("txn", &name(txn)),
        ("limit", "5000"),
        ("team", "acme"),
    ] {
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
    p.extend(format!("select a from t where b = '{more}'").bytes());
    frame(2, stream, &p)
}

/// Requests of no class, which are failed one by one, and their client made to wait.
fn useless(from: u32, n: u32) -> Vec<u8> {
    (from..from + n)
        .flat_map(|s| request(s, s.into(), "nonsense", ""))
        .collect()
}

/// A request straight at the hub, in the same turn as what the test does before; its answer is pushed there.
fn ask(s: &Stand, txn: u64, class: usize, answers: &Rc<RefCell<Vec<&'static str>>>) {
    let new = NewRequest {
        class,
        tenant: Some(0),
        group: None,
        deadline: unix_time_millis() + 5000.0,
        work: None,
        memory_mb: None,
    };
    let work = Work::free(
        &name(txn),
        ["lookup", "load"][class],
        Bytes::from_static(b"select 1"),
    );
    let answers = answers.clone();
    let told = move |reply| {
        answers.borrow_mut().push(match reply {
            Reply::Served(_) => "served",
            Reply::Rejected { .. } => "refused",
            Reply::Failed { .. } => "failed",
            Reply::TimedOut { .. } => "late",
        })
    };
    s.router.open(new, work, Box::new(told));
}

// ---- a client that leaves, against its request that waits

/// A request waits, its client leaves in this way, and the term later it would be let go.
async fn left_while_it_waits(
    before: impl AsyncFnOnce(&mut Client),
    open: usize,
    leaves: impl AsyncFnOnce(Client) -> Option<Client>,
) {
    let s = plain().await;
    s.holds();
    let mut client = Client::narrow(s.at).await;
    for n in 1..=open {
        client.say(&request(n as u32, n as u64, "lookup", "")).await;
    }
    s.owes(open).await;
    before(&mut client).await;
    let kept = leaves(client).await;
    tokio::time::sleep(TERM).await;
    assert_eq!(
        s.router.unanswered_requests(),
        0,
        "it is left by now, and what it held is free"
    );
    s.lets_go();
    s.nothing_but(1).await;
    drop(kept);
}

async fn by_type_8(mut c: Client) -> Option<Client> {
    c.say(&frame(8, 1, &[])).await;
    Some(c)
}

async fn by_closing(c: Client) -> Option<Client> {
    drop(c);
    None
}

async fn by_reset(c: Client) -> Option<Client> {
    c.resets();
    None
}

#[test]
fn no_request_is_forwarded_after_a_cancel_frame_close_or_reset() {
    on_one_thread(async {
        left_while_it_waits(async |_| {}, 1, by_type_8).await;
        left_while_it_waits(async |_| {}, 1, by_closing).await;
        left_while_it_waits(async |_| {}, 1, by_reset).await;
        left_while_it_waits(async |_| {}, 32, by_closing).await;
    });
}

/// Fourteen useless frames hold the next back for some two seconds.
#[test]
fn disconnect_behind_malformed_frames_is_seen_while_the_client_is_throttled() {
    on_one_thread(async {
        let junk = async |c: &mut Client| c.say(&useless(100, 14)).await;
        left_while_it_waits(junk, 1, by_type_8).await;
        left_while_it_waits(junk, 1, by_closing).await;
        left_while_it_waits(junk, 1, by_reset).await;
    });
}

/// Behind any number of them: as many as are made to wait, as are turned away, and more than may be.
#[test]
fn disconnect_is_seen_behind_any_number_of_malformed_frames() {
    on_one_thread(async {
        for n in [65, 500, 4000] {
            let junk = async |c: &mut Client| c.say(&useless(100, n)).await;
            left_while_it_waits(junk, 1, by_type_8).await;
            left_while_it_waits(junk, 1, by_closing).await;
            left_while_it_waits(junk, 1, by_reset).await;
        }
        // What it sends it need not even be able to send: it is cut off, or has closed.
        let flood = async |c: &mut Client| {
            let _ = c.0.try_write(&useless(100, 40_000)).unwrap();
        };
        left_while_it_waits(flood, 1, by_closing).await;
    });
}

/// Large useless frames, too, which fill what may be kept of them.
#[test]
fn disconnect_is_seen_behind_large_malformed_frames() {
    on_one_thread(async {
        let junk = async |c: &mut Client| {
            let large = "x".repeat(60_000);
            let all: Vec<u8> = (100..120)
                .flat_map(|s| request(s, s.into(), "nonsense", &large))
                .collect();
            c.say(&all).await;
        };
        left_while_it_waits(junk, 1, by_type_8).await;
        left_while_it_waits(junk, 1, by_closing).await;
    });
}

/// Each of its frames has an answer, the useless ones, those that were turned away and its question; and one that asks
/// well after them is served.
#[test]
fn every_frame_of_a_burst_is_answered() {
    on_one_thread(async {
        let s = plain().await;
        let mut client = Client::new(s.at).await;
        // Four fill what may be kept; others are turned away meanwhile.
        let large = "x".repeat(20_000);
        let all: Vec<u8> = (1..=100)
            .flat_map(|n| request(n, n.into(), "nonsense", &large))
            .collect();
        client.say(&[all, frame(16, 101, &[0])].concat()).await;
        let mut told = std::collections::BTreeMap::new();
        while told.len() < 101 {
            let (kind, stream, payload) = client.hear().await.expect("every answer");
            assert!(
                told.insert(stream, (kind, payload[0])).is_none(),
                "one answer each"
            );
        }
        assert_eq!(told.remove(&101), Some((32, 0)));
        let failed = told.values().filter(|a| **a == (4, 2)).count();
        let refused = told.values().filter(|a| **a == (4, 14)).count();
        assert_eq!(failed + refused, 100);
        assert!(
            failed >= 4 && refused > 50,
            "{failed} failed, {refused} refused"
        );
        client.say(&request(1000, 1, "lookup", "")).await;
        let mut engine = s.dialled().await;
        let id = get(&mut engine).await;
        serve(&mut engine, &id, 1).await;
        assert_eq!(
            client.hear().await.map(|f| (f.0, f.1, f.2[0])),
            Some((4, 1000, 0))
        );
    });
}

/// It is cut off once more is owed to it than may be, and by that has left all that it asked.
#[test]
fn client_that_sends_without_reading_is_disconnected() {
    on_one_thread(async {
        let s = plain().await;
        s.holds();
        let mut client = Client::narrow(s.at).await;
        client.say(&request(1, 1, "lookup", "")).await;
        s.owes(1).await;
        let flood = useless(100, 60_000);
        let sent = within("an end", client.0.write_all(&flood)).await;
        assert!(sent.is_err(), "it has been closed");
        s.owes(0).await;
        s.lets_go();
        s.nothing_but(2).await;
    });
}

/// Hundreds of clients with requests that wait close in one turn: the last of them is heeded as well.
#[test]
fn hundreds_of_disconnects_in_one_poll_are_all_seen() {
    on_one_thread(async {
        let s = large().await;
        s.holds();
        let mut crowd = vec![];
        for n in 0..200u64 {
            let mut c = Client::new(s.at).await;
            c.say(
                &[
                    request(1, 2 * n + 10, "lookup", ""),
                    request(2, 2 * n + 11, "lookup", ""),
                ]
                .concat(),
            )
            .await;
            crowd.push(c);
        }
        s.owes(400).await;
        let mut ways = crowd.into_iter().enumerate();
        let kept: Vec<_> = ways
            .by_ref()
            .filter_map(|(n, c)| match n % 3 {
                0 => {
                    c.0.try_write(&[frame(8, 1, &[]), frame(8, 2, &[])].concat())
                        .unwrap();
                    Some(c)
                }
                1 => {
                    c.resets();
                    None
                }
                _ => None,
            })
            .collect();
        tokio::time::sleep(TERM).await;
        assert_eq!(s.router.unanswered_requests(), 0);
        s.lets_go();
        s.nothing_but(1).await;
        drop(kept);
    });
}

/// What was read ahead and not taken up is never sent either.
#[test]
fn request_behind_malformed_frames_is_dropped_on_disconnect() {
    on_one_thread(async {
        let s = plain().await;
        for leave in [true, false] {
            let mut client = Client::new(s.at).await;
            let mut all = [useless(100, 10), request(1, 7, "lookup", "")].concat();
            if leave {
                all.extend(frame(8, 1, &[]));
            }
            client.say(&all).await;
            let kept = leave.then_some(client);
            // Ten useless frames hold it back for a second.
            let come = tokio::time::timeout(Duration::from_millis(1500), s.engine.accept()).await;
            if let Ok(come) = come {
                let mut engine = come.unwrap().0;
                panic!("{:?}", command(&mut engine).await);
            }
            drop(kept);
        }
        s.nothing_but(8).await;
    });
}

#[test]
fn disconnect_is_seen_while_a_response_write_is_blocked() {
    on_one_thread(async {
        for leaves in [true, false] {
            let s = plain().await;
            let mut client = Client::narrow(s.at).await;
            client.say(&request(1, 1, "lookup", "")).await;
            let mut engine = s.dialled().await;
            let id = get(&mut engine).await;
            s.holds();
            client.say(&request(2, 2, "lookup", "")).await;
            s.owes(2).await;
            serve(&mut engine, &id, 9).await;
            // The answer is given, and stands before a client that reads none of it.
            s.owes(1).await;
            let kept = match leaves {
                true => {
                    client.say(&frame(8, 2, &[])).await;
                    Some(client)
                }
                false => by_closing(client).await,
            };
            tokio::time::sleep(TERM).await;
            assert_eq!(s.router.unanswered_requests(), 0);
            s.lets_go();
            let mut other = Client::new(s.at).await;
            other.say(&request(1, 3, "lookup", "")).await;
            assert_eq!(get(&mut engine).await, name(3));
            drop(kept);
        }
    });
}

#[test]
fn close_is_seen_after_a_protocol_error() {
    on_one_thread(async {
        let fault = async |c: &mut Client| {
            c.say(&[&frame(99, 1, &[])[..], &[7; 100_000]].concat())
                .await
        };
        left_while_it_waits(fault, 1, by_closing).await;
        left_while_it_waits(fault, 1, by_reset).await;
    });
}

/// After what cannot be used, where frames can still be told apart, a request that waits can still be left.
#[test]
fn cancel_frame_is_honoured_after_a_protocol_error() {
    on_one_thread(async {
        let unknown = async |c: &mut Client| c.say(&frame(99, 1, &[])).await;
        left_while_it_waits(unknown, 1, by_type_8).await;
        let twice = async |c: &mut Client| c.say(&request(1, 9, "lookup", "")).await;
        left_while_it_waits(twice, 1, by_type_8).await;
        let short = async |c: &mut Client| c.say(&frame(2, 9, &[4, 200])).await;
        left_while_it_waits(short, 1, by_type_8).await;
    });
}

/// All that the machine holds of a client after a fault is through in time, and its end seen.
#[test]
fn close_is_seen_behind_megabytes_after_a_protocol_error() {
    on_one_thread(async {
        let flood = async |c: &mut Client| {
            c.say(&[255; 8]).await;
            let all = vec![7; 4 << 20];
            let mut sent = 0;
            while let Ok(n) = c.0.try_write(&all[sent..]) {
                sent += n;
            }
            assert!(sent > 100_000, "the machine takes much: {sent}");
        };
        left_while_it_waits(flood, 1, by_closing).await;
        left_while_it_waits(flood, 1, by_reset).await;
    });
}

/// The dispatcher has had no turn since its client has gone, longer than the term: all that it hears at once is that the
/// request may go, with its connection to the engine up.
async fn gone_while_it_had_no_turn(leaves: impl AsyncFnOnce(Client) -> Option<Client>) {
    let s = plain().await;
    let mut other = Client::new(s.at).await;
    other.say(&request(1, 1, "lookup", "")).await;
    let mut engine = s.dialled().await;
    let id = get(&mut engine).await;
    serve(&mut engine, &id, 1).await;
    s.owes(0).await;
    s.holds();
    let mut client = Client::new(s.at).await;
    client.say(&request(1, 2, "lookup", "")).await;
    s.owes(1).await;
    let kept = leaves(client).await;
    std::thread::sleep(TERM * 3 / 2);
    s.lets_go();
    other.say(&request(2, 3, "lookup", "")).await;
    assert_eq!(
        get(&mut engine).await,
        name(3),
        "nothing of the one that has gone"
    );
    drop(kept);
}

#[test]
fn no_attempt_starts_for_a_client_lost_while_the_process_was_stalled() {
    on_one_thread(async {
        let by_type_8 = async |c: Client| {
            c.0.try_write(&frame(8, 1, &[])).unwrap();
            Some(c)
        };
        gone_while_it_had_no_turn(by_type_8).await;
        gone_while_it_had_no_turn(by_closing).await;
        gone_while_it_had_no_turn(by_reset).await;
    });
}

/// In one turn, without one between: the engine's connection is reset and the client leaves. No second attempt begins.
#[test]
fn no_retry_when_client_disconnect_and_engine_reset_arrive_together() {
    on_one_thread(async {
        for client_first in [true, false] {
            for by_reset in [true, false] {
                let s = plain().await;
                // A second connection, at rest: there a retry would be written at once.
                let (mut one, mut two) = (Client::new(s.at).await, Client::new(s.at).await);
                one.say(&request(1, 1, "load", "")).await;
                let mut first = s.dialled().await;
                let a = get(&mut first).await;
                two.say(&request(1, 2, "load", "")).await;
                let mut second = s.dialled().await;
                let b = get(&mut second).await;
                serve(&mut first, &a, 1).await;
                serve(&mut second, &b, 1).await;
                s.owes(0).await;
                one.say(&request(2, 3, "lookup", "")).await;
                let on_first = tokio::select! {
                    read = async { first.peek(&mut [0]).await } => read.is_ok(),
                    read = async { second.peek(&mut [0]).await } => read.is_err(),
                };
                let (mut busy, mut rests) = if on_first {
                    (first, second)
                } else {
                    (second, first)
                };
                assert_eq!(get(&mut busy).await, name(3));
                let leave = |c: Client| if by_reset { c.resets() } else { drop(c) };
                if client_first {
                    leave(one);
                    Client(busy).resets();
                } else {
                    Client(busy).resets();
                    leave(one);
                }
                std::thread::sleep(TERM * 3 / 2);
                s.owes(0).await;
                two.say(&request(2, 4, "lookup", "")).await;
                assert_eq!(
                    get(&mut rests).await,
                    name(4),
                    "nothing of the one that has gone"
                );
            }
        }
    });
}

/// Its connection to the engine is not up yet: the engine's queue is full.
#[test]
fn late_upstream_connection_sends_nothing_for_a_disconnected_client() {
    on_one_thread(async {
        let engine = tight();
        let filler = TcpStream::connect(engine.local_addr().unwrap())
            .await
            .unwrap();
        let s = stand(engine, |sockets| sockets.connect_timeout = 4000.0).await;
        let mut client = Client::new(s.at).await;
        client.say(&request(1, 1, "lookup", "")).await;
        s.owes(1).await;
        client.say(&frame(8, 1, &[])).await;
        s.owes(0).await;
        drop((s.dialled().await, filler));
        let mut late = s.dialled().await;
        let mut other = Client::new(s.at).await;
        other.say(&request(1, 2, "lookup", "")).await;
        assert_eq!(
            get(&mut late).await,
            name(2),
            "it is up, and the first that it carries is another's"
        );
    });
}

/// A request is half on the wire when its client leaves: it never comes whole.
#[test]
fn partly_written_request_is_not_completed_after_disconnect() {
    on_one_thread(async {
        let s = narrow().await;
        let mut client = Client::new(s.at).await;
        client
            .say(&request(1, 1, "lookup", &"x".repeat(250_000)))
            .await;
        let mut engine = s.dialled().await;
        let mut first = [0; 1];
        within("a byte", engine.read_exact(&mut first))
            .await
            .unwrap();
        SockRef::from(&engine).set_recv_buffer_size(SMALL).unwrap();
        client.say(&frame(8, 1, &[])).await;
        s.owes(0).await;
        tokio::time::sleep(TERM).await;
        let mut all = vec![];
        let end = within("an end", engine.read_to_end(&mut all)).await;
        assert!(
            end.is_err() || all.len() < 250_000,
            "{} bytes came",
            all.len()
        );
    });
}

/// One large request stands half written; behind it, in the same turn, one whose client then leaves, or whose engine
/// then drains.
async fn behind_a_stalled_write(crosses: impl AsyncFnOnce(&Stand, &mut Client)) {
    let s = narrow().await;
    let mut client = Client::new(s.at).await;
    let mut large = request(1, 1, "lookup", &"x".repeat(250_000));
    large.extend(request(2, 2, "lookup", ""));
    large.extend(request(3, 3, "lookup", ""));
    client.say(&large).await;
    s.owes(3).await;
    let mut engine = s.dialled().await;
    within("a byte", engine.peek(&mut [0])).await.unwrap();
    crosses(&s, &mut client).await;
    tokio::time::sleep(TERM).await;
    assert_eq!(get(&mut engine).await, name(1), "it was begun before");
    client.say(&frame(8, 1, &[])).await;
    assert_eq!(
        command(&mut engine).await.unwrap(),
        ["DROP", &name(1)],
        "nothing but its end"
    );
}

#[test]
fn request_behind_a_stalled_write_is_withdrawn_on_disconnect() {
    on_one_thread(behind_a_stalled_write(async |s, client| {
        client
            .say(&[frame(8, 2, &[]), frame(8, 3, &[])].concat())
            .await;
        s.owes(1).await;
    }));
}

#[test]
fn request_behind_a_stalled_write_is_not_sent_to_a_draining_engine() {
    on_one_thread(behind_a_stalled_write(async |s, _| s.holds()));
}

/// In one turn, before the runtime hears of either: the request is let go, and its client leaves.
#[test]
fn disconnect_in_the_poll_that_dispatches_the_request_prevents_forwarding() {
    on_one_thread(async {
        let s = plain().await;
        let answers = Rc::default();
        s.holds();
        ask(&s, 1, 0, &answers);
        s.lets_go();
        s.router.abandon(1);
        s.nothing_but(2).await;
        assert!(answers.borrow().is_empty(), "and it is owed nothing");
    });
}

/// Its connection broke, and the retry waits for another to come up: its client leaves.
#[test]
fn pending_retry_is_dropped_on_disconnect() {
    on_one_thread(async {
        let s = stand(tight(), |sockets| sockets.connect_timeout = 4000.0).await;
        let mut client = Client::new(s.at).await;
        client.say(&request(1, 1, "lookup", "")).await;
        let mut engine = s.dialled().await;
        get(&mut engine).await;
        let filler = TcpStream::connect(s.engines[0]).await.unwrap();
        drop(engine);
        // The dispatcher has seen the break once it has answered what came after it.
        client.say(&frame(16, 9, &[0])).await;
        assert_eq!(client.hear().await.unwrap().0, 32);
        assert_eq!(s.router.unanswered_requests(), 1, "it is tried again");
        drop(client);
        s.owes(0).await;
        drop((s.dialled().await, filler));
        let mut other = Client::new(s.at).await;
        other.say(&request(1, 2, "lookup", "")).await;
        let mut late = s.dialled().await;
        assert_eq!(get(&mut late).await, name(2));
    });
}

// ---- connections, against requests

/// The engine closes a connection at rest, and a request is given to it before the runtime has heard of that.
#[test]
fn load_on_a_just_closed_upstream_connection_never_ran() {
    on_one_thread(async {
        let s = plain().await;
        let answers = Rc::default();
        ask(&s, 1, 0, &answers);
        let mut engine = s.dialled().await;
        let id = get(&mut engine).await;
        serve(&mut engine, &id, 1).await;
        s.owes(0).await;
        drop(engine);
        ask(&s, 2, 1, &answers);
        let mut engine = s.dialled().await;
        let id = get(&mut engine).await;
        serve(&mut engine, &id, 1).await;
        s.owes(0).await;
        assert_eq!(*answers.borrow(), ["served", "served"]);
    });
}

/// A client asks on its idle connection in the very turn in which that gives way to another.
#[test]
fn request_crossing_an_idle_close_is_served() {
    on_one_thread(async {
        let s = plain().await;
        let places = 64 * 2 / 5;
        let mut idle = vec![];
        for _ in 0..places {
            let mut c = Client::new(s.at).await;
            c.say(&frame(16, 1, &[0])).await;
            assert_eq!(c.hear().await.unwrap().0, 32);
            idle.push(c);
        }
        // Both before the runtime hears of either, the newcomer first.
        let newcomer = std::net::TcpStream::connect(s.at).unwrap();
        let asked = idle[0].0.try_write(&request(2, 1, "lookup", "")).unwrap();
        assert!(asked > 0);
        let mut engine = s.dialled().await;
        let id = get(&mut engine).await;
        serve(&mut engine, &id, 1).await;
        let (kind, stream, payload) = idle[0].hear().await.expect("its answer");
        assert_eq!((kind, stream, payload[0]), (4, 2, 0));
        assert!(idle[0].hear().await.is_none(), "and then it has given way");
        drop(newcomer);
    });
}

/// An id is used again while a second answer to its first request is still to come.
#[test]
fn duplicate_response_is_not_matched_to_a_later_request_with_the_same_id() {
    on_one_thread(async {
        let s = plain().await;
        let answers = Rc::default();
        for second in ["ACK", "EIO"] {
            ask(&s, 1, 0, &answers);
            let mut engine = s.dialled().await;
            let id = get(&mut engine).await;
            serve(&mut engine, &id, 1).await;
            s.owes(0).await;
            ask(&s, 1, 0, &answers);
            let mut other = s.dialled().await;
            assert_eq!(get(&mut other).await, id, "on another connection");
            let fields = if second == "ACK" { "total=1" } else { "-" };
            reply(&mut engine, [&id, second, fields, "x\ty\tz\n"]).await;
            tokio::task::yield_now().await;
            reply(&mut other, [&id, "EIO", "-", ""]).await;
            drop((engine, other));
            let mut third = s.dialled().await;
            assert_eq!(get(&mut third).await, id, "the second answer was nobody's");
            serve(&mut third, &id, 1).await;
            s.owes(0).await;
            drop(third);
        }
        assert_eq!(*answers.borrow(), ["served"; 4]);
    });
}

/// Without notes, silence tells nothing: long queries on all connections, and a healthy engine takes another.
#[test]
fn engine_without_progress_reports_accepts_more_during_long_queries() {
    on_one_thread(async {
        let s = plain().await;
        let answers = Rc::default();
        ask(&s, 1, 0, &answers);
        let mut engine = s.dialled().await;
        get(&mut engine).await;
        tokio::time::sleep(Duration::from_millis(1100)).await;
        ask(&s, 2, 0, &answers);
        assert_eq!(get(&mut engine).await, name(2), "on the same connection");
    });
}

/// A result that began breaks off, or an answer never ends, while others share the connection.
#[test]
fn broken_shared_connection_loses_no_idempotent_request() {
    on_one_thread(async {
        for how in ["reset", "endless", "spoilt"] {
            let s = plain().await;
            let answers = Rc::default();
            (1..=3).for_each(|n| ask(&s, n, 0, &answers));
            let mut engine = s.dialled().await;
            let mut ids = vec![];
            for _ in 0..3 {
                ids.push(get(&mut engine).await);
            }
            reply(&mut engine, [&ids[0], "ACK", "total=3", "a\tb\tc\n"]).await;
            command(&mut engine).await.expect("a page is asked for");
            match how {
                "reset" => SockRef::from(&engine)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap(),
                "endless" => engine.write_all(b"*4\r\n$16\r\n00000000").await.unwrap(),
                _ => reply(&mut engine, [&ids[0], "BLOCK", "index=1", "no rows"]).await,
            }
            let kept = (how == "endless").then_some(engine);
            let mut again = s.dialled().await;
            let mut served = 0;
            while served < 3 {
                let Some(words) = command(&mut again).await else {
                    again = s.dialled().await;
                    continue;
                };
                if words[0] == "GET" {
                    serve(&mut again, &words[1], 1).await;
                    served += 1;
                }
            }
            s.owes(0).await;
            assert_eq!(*answers.borrow(), ["served"; 3], "{how}");
            drop(kept);
        }
    });
}

// ---- the end, against what is in the pipes

/// A connection that the machine has accepted, with its request written, and the goodbye in the same turn.
#[test]
fn connection_accepted_by_the_kernel_is_served_during_shutdown() {
    on_one_thread(async {
        let s = plain().await;
        tokio::task::yield_now().await;
        let mut client = std::net::TcpStream::connect(s.at).unwrap();
        client.write_all(&request(1, 1, "lookup", "")).unwrap();
        s.frontend.goodbye(false);
        client.set_nonblocking(true).unwrap();
        let mut client = Client(TcpStream::from_std(client).unwrap());
        assert_eq!(client.hear().await.unwrap().0, 64, "it is told");
        let mut engine = s.dialled().await;
        let id = get(&mut engine).await;
        serve(&mut engine, &id, 1).await;
        assert_eq!(
            client.hear().await.map(|f| (f.0, f.1, f.2[0])),
            Some((4, 1, 0)),
            "and served"
        );
        let refused = TcpStream::connect(s.at).await.map_err(|e| e.kind());
        assert!(
            matches!(refused, Err(ErrorKind::ConnectionRefused)),
            "later ones go elsewhere"
        );
    });
}

/// Half a frame is here when connections are to end, then its rest; and a client that takes its answer late.
#[test]
fn connections_close_only_after_responses_are_fully_read() {
    on_one_thread(async {
        let s = plain().await;
        let mut client = Client::narrow(s.at).await;
        let asks = request(1, 1, "lookup", "");
        client.say(&asks[..asks.len() / 2]).await;
        let mut idle = Client::new(s.at).await;
        until("both", || s.frontend.connections() == 2).await;
        s.frontend.goodbye(true);
        s.frontend.end();
        assert_eq!(idle.hear().await.unwrap().0, 64);
        assert!(idle.hear().await.is_none(), "nothing is owed on it");
        client.say(&asks[asks.len() / 2..]).await;
        let mut engine = s.dialled().await;
        let id = get(&mut engine).await;
        serve(&mut engine, &id, 9).await;
        s.owes(0).await;
        assert_eq!(
            s.frontend.connections(),
            1,
            "the answer is given, and not taken"
        );
        assert_eq!(client.hear().await.unwrap().0, 64);
        let (kind, stream, payload) = client.hear().await.unwrap();
        assert_eq!((kind, stream, payload.len()), (4, 1, 2 + 9 * 5005));
        assert!(client.hear().await.is_none());
        until("none", || s.frontend.connections() == 0).await;
    });
}

/// SIGTERM's order comes while one load is out and one waits: the first may have run, the second never did.
#[test]
fn shutdown_fails_a_sent_load_and_rejects_a_queued_one() {
    on_one_thread(async {
        let s = plain().await;
        let answers = Rc::default();
        ask(&s, 1, 1, &answers);
        let mut engine = s.dialled().await;
        get(&mut engine).await;
        s.holds();
        ask(&s, 2, 1, &answers);
        s.router.begin_shutdown(unix_time_millis() + 100.0);
        s.lets_go();
        let mut told = vec![];
        while s.router.unanswered_requests() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        told.extend(answers.borrow().iter().copied());
        told.sort_unstable();
        assert!(
            told == ["failed", "late"] || told == ["failed", "refused"] || told == ["late", "late"],
            "{told:?}"
        );
        let next = command(&mut engine).await.unwrap();
        assert_eq!(next, ["DROP", &name(1)], "and neither is sent again");
    });
}

/// Clients that send much at once and go: nothing of theirs is sent on, and others are served beside them.
#[test]
fn clients_that_flood_and_disconnect_do_not_affect_others() {
    on_one_thread(async {
        let s = plain().await;
        let mut crowd = vec![];
        for n in 0..20 {
            let mut c = Client::new(s.at).await;
            let mine = (1..=5)
                .flat_map(|k| request(1000 + k, u64::from(1000 * (n + 1) + k), "lookup", ""));
            c.say(&[useless(1, 40), mine.collect()].concat()).await;
            crowd.push(c);
        }
        drop(crowd);
        let mut client = Client::new(s.at).await;
        let began = std::time::Instant::now();
        client.say(&request(1, 7, "lookup", "")).await;
        let mut engine = s.dialled().await;
        assert_eq!(get(&mut engine).await, name(7));
        serve(&mut engine, &name(7), 1).await;
        assert_eq!(client.hear().await.unwrap().2[0], 0);
        assert!(began.elapsed() < Duration::from_secs(1));
        // As long as forty useless frames of each would have held the rest back.
        tokio::time::sleep(Duration::from_millis(1200)).await;
        client.say(&request(2, 8, "lookup", "")).await;
        assert_eq!(get(&mut engine).await, name(8), "nothing of the crowd's");
        until("they are gone", || s.frontend.connections() == 1).await;
    });
}
