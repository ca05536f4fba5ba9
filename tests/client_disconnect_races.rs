//! Race conditions between client disconnects and requests. Each test forces the critical order on real
//! connections: by holding a read, writing half a frame, or causing both events before the runtime polls
//! either. `docs/RACES.md` lists them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod protocol;
mod scenario;

use bytes::Bytes;
use protocol::fixture::{DispatcherFixture, Parts};
use protocol::*;
use query_dispatcher::clock::process_clock_millis;
use query_dispatcher::config::{MachineLimits, NameTable, SocketSettings};
use query_dispatcher::core::{Core, NewRequest};
use query_dispatcher::dispatch::Reply;
use query_dispatcher::frontend::frames::Work;
use scenario::{core, core_with, endpoint_list_snapshot, on_one_thread};
use socket2::SockRef;
use std::cell::RefCell;
use std::io::{ErrorKind, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Nothing is forwarded for a client that disconnected longer ago than this.
const DISCONNECT_DETECTION_LIMIT: Duration = Duration::from_millis(100);

async fn start(engine: TcpListener, adjust: impl FnOnce(&mut SocketSettings)) -> DispatcherFixture {
    start_with(core(), engine, adjust).await
}

async fn start_with(
    (core, names, mut sockets): (Core, NameTable, SocketSettings),
    engine: TcpListener,
    adjust: impl FnOnce(&mut SocketSettings),
) -> DispatcherFixture {
    adjust(&mut sockets);
    let parts = Parts {
        core,
        names,
        sockets,
        engine,
        client_send_buffer: SMALL_BUFFER_BYTES,
    };
    DispatcherFixture::start(parts).await
}

/// Starts a dispatcher that admits hundreds of clients.
async fn start_with_many_clients() -> DispatcherFixture {
    let fixture = start_with(
        core_with(1000),
        TcpListener::bind("127.0.0.1:0").await.unwrap(),
        |_| {},
    )
    .await;
    fixture.frontend.apply_limits(&MachineLimits {
        memory_mb: 64,
        max_sockets: 1024,
    });
    fixture
}

async fn start_default() -> DispatcherFixture {
    start(TcpListener::bind("127.0.0.1:0").await.unwrap(), |_| {}).await
}

/// Starts a dispatcher whose engine's kernel buffers little of what the engine does not read.
async fn start_with_slow_engine() -> DispatcherFixture {
    start(small_buffer_listener(), |_| {}).await
}

/// Drains the engine: requests that arrive from now on are queued.
fn drain_engine(dispatcher: &DispatcherFixture) {
    let drained = endpoint_list_snapshot(&dispatcher.engines, Some((0, "drain")));
    dispatcher.router.update_endpoints(&drained);
}

/// Restores the engine: queued requests are dispatched.
fn restore_engine(dispatcher: &DispatcherFixture) {
    dispatcher
        .router
        .update_endpoints(&endpoint_list_snapshot(&dispatcher.engines, None));
}

/// Expects that a request of another client is the next to reach the engine, and so none that was queued
/// before it.
async fn expect_only(dispatcher: &DispatcherFixture, txn: u64) {
    let mut client = Client::connect(dispatcher.address).await;
    client.send(&request(1, txn, "lookup", "")).await;
    let mut engine = dispatcher.accept_upstream().await;
    assert_eq!(read_request_id(&mut engine).await, request_id(txn));
}

fn request(stream: u32, txn: u64, class: &str, literal: &str) -> Vec<u8> {
    let statement = format!("select a from t where b = '{literal}'");
    encode_request(stream, txn, class, &statement)
}

/// Encodes requests of an unknown class, which fail one by one while their client is throttled.
fn malformed_requests(from: u32, count: u32) -> Vec<u8> {
    (from..from + count)
        .flat_map(|stream| request(stream, stream.into(), "nonsense", ""))
        .collect()
}

/// Submits a request to the router, in the same poll as the test's previous step; its answer is recorded.
fn submit(
    fixture: &DispatcherFixture,
    txn: u64,
    class: usize,
    answers: &Rc<RefCell<Vec<&'static str>>>,
) {
    let request = NewRequest {
        class,
        tenant: Some(0),
        group: None,
        deadline: process_clock_millis() + 5000.0,
        work: None,
        memory_mb: None,
    };
    let work = Work::unbudgeted(
        &request_id(txn),
        ["lookup", "load"][class],
        Bytes::from_static(b"select 1"),
    );
    let answers = answers.clone();
    let record = move |reply| {
        answers.borrow_mut().push(match reply {
            Reply::Served(_) => "served",
            Reply::Rejected { .. } => "refused",
            Reply::Failed { .. } => "failed",
            Reply::TimedOut { .. } => "late",
        })
    };
    fixture.router.open(request, work, Box::new(record));
}

// ---- client disconnects and queued requests

/// Queues `request_count` requests, disconnects their client after `before`, and makes dispatch possible only
/// after the detection limit: none of the requests may be dispatched.
async fn disconnect_while_queued(
    before: impl AsyncFnOnce(&mut Client),
    request_count: usize,
    disconnect: impl AsyncFnOnce(Client) -> Option<Client>,
) {
    let fixture = start_default().await;
    drain_engine(&fixture);
    let mut client = Client::with_small_buffer(fixture.address).await;
    for number in 1..=request_count {
        client
            .send(&request(number as u32, number as u64, "lookup", ""))
            .await;
    }
    fixture.wait_for_open(request_count).await;
    before(&mut client).await;
    let still_open = disconnect(client).await;
    tokio::time::sleep(DISCONNECT_DETECTION_LIMIT).await;
    assert_eq!(
        fixture.router.unanswered_requests(),
        0,
        "the disconnect is seen and the request removed"
    );
    restore_engine(&fixture);
    expect_only(&fixture, 1).await;
    drop(still_open);
}

async fn cancel(mut client: Client) -> Option<Client> {
    client.send(&encode_frame(8, 1, &[])).await;
    Some(client)
}

async fn close(client: Client) -> Option<Client> {
    drop(client);
    None
}

async fn by_reset(client: Client) -> Option<Client> {
    client.reset();
    None
}

#[test]
fn no_request_is_forwarded_after_a_cancel_frame_close_or_reset() {
    on_one_thread(async {
        disconnect_while_queued(async |_| {}, 1, cancel).await;
        disconnect_while_queued(async |_| {}, 1, close).await;
        disconnect_while_queued(async |_| {}, 1, by_reset).await;
        disconnect_while_queued(async |_| {}, 32, close).await;
    });
}

/// Fourteen invalid requests delay the next frame by some two seconds.
#[test]
fn disconnect_behind_malformed_frames_is_seen_while_the_client_is_throttled() {
    on_one_thread(async {
        let malformed_frames =
            async |client: &mut Client| client.send(&malformed_requests(100, 14)).await;
        disconnect_while_queued(malformed_frames, 1, cancel).await;
        disconnect_while_queued(malformed_frames, 1, close).await;
        disconnect_while_queued(malformed_frames, 1, by_reset).await;
    });
}

/// The counts exceed the read-ahead limit (65), reach far into the frames that are rejected (500 and 4,000),
/// and exceed the limit of pending answers (40,000).
#[test]
fn disconnect_is_seen_behind_any_number_of_malformed_frames() {
    on_one_thread(async {
        for count in [65, 500, 4000] {
            let malformed_frames =
                async |client: &mut Client| client.send(&malformed_requests(100, count)).await;
            disconnect_while_queued(malformed_frames, 1, cancel).await;
            disconnect_while_queued(malformed_frames, 1, close).await;
            disconnect_while_queued(malformed_frames, 1, by_reset).await;
        }
        // The client need not be able to send everything: the dispatcher may disconnect it before it closes.
        let flood = async |client: &mut Client| {
            let _ = client
                .0
                .try_write(&malformed_requests(100, 40_000))
                .unwrap();
        };
        disconnect_while_queued(flood, 1, close).await;
    });
}

/// Large malformed frames fill the read-ahead buffer.
#[test]
fn disconnect_is_seen_behind_large_malformed_frames() {
    on_one_thread(async {
        let malformed_frames = async |client: &mut Client| {
            let large = "x".repeat(60_000);
            let requests: Vec<u8> = (100..120)
                .flat_map(|stream| request(stream, stream.into(), "nonsense", &large))
                .collect();
            client.send(&requests).await;
        };
        disconnect_while_queued(malformed_frames, 1, cancel).await;
        disconnect_while_queued(malformed_frames, 1, close).await;
    });
}

/// Each frame has an answer: the malformed ones, the rejected ones and the readiness query; and a valid
/// request after them is served.
#[test]
fn every_frame_of_a_burst_is_answered() {
    on_one_thread(async {
        let fixture = start_default().await;
        let mut client = Client::connect(fixture.address).await;
        // Four requests fill the read-ahead buffer; further ones are rejected meanwhile.
        let large = "x".repeat(20_000);
        let requests: Vec<u8> = (1..=100)
            .flat_map(|stream| request(stream, stream.into(), "nonsense", &large))
            .collect();
        client
            .send(&[requests, encode_frame(16, 101, &[0])].concat())
            .await;
        let mut answers_by_stream = std::collections::BTreeMap::new();
        while answers_by_stream.len() < 101 {
            let (kind, stream, payload) = client.receive().await.expect("every frame is answered");
            assert!(
                answers_by_stream
                    .insert(stream, (kind, payload[0]))
                    .is_none(),
                "a second answer on stream {stream}"
            );
        }
        assert_eq!(answers_by_stream.remove(&101), Some((32, 0)));
        let failed = answers_by_stream
            .values()
            .filter(|answer| **answer == (4, 2))
            .count();
        let refused = answers_by_stream
            .values()
            .filter(|answer| **answer == (4, 14))
            .count();
        assert_eq!(failed + refused, 100);
        assert!(
            failed >= 4 && refused > 50,
            "{failed} failed, {refused} refused"
        );
        client.send(&request(1000, 1, "lookup", "")).await;
        let mut engine = fixture.accept_upstream().await;
        let id = read_request_id(&mut engine).await;
        serve_pages(&mut engine, &id, 1).await;
        assert_eq!(
            client.receive().await.map(|f| (f.0, f.1, f.2[0])),
            Some((4, 1000, 0))
        );
    });
}

/// The client is disconnected once too many responses are pending, which cancels all of its requests.
#[test]
fn client_that_sends_without_reading_is_disconnected() {
    on_one_thread(async {
        let fixture = start_default().await;
        drain_engine(&fixture);
        let mut client = Client::with_small_buffer(fixture.address).await;
        client.send(&request(1, 1, "lookup", "")).await;
        fixture.wait_for_open(1).await;
        let flood = malformed_requests(100, 60_000);
        let sent = expect_soon("end of the connection", client.0.write_all(&flood)).await;
        assert!(sent.is_err(), "the connection is closed");
        fixture.wait_for_open(0).await;
        restore_engine(&fixture);
        expect_only(&fixture, 2).await;
    });
}

/// Hundreds of clients with queued requests disconnect in one poll: the last of them is seen as well.
#[test]
fn hundreds_of_disconnects_in_one_poll_are_all_seen() {
    on_one_thread(async {
        let fixture = start_with_many_clients().await;
        drain_engine(&fixture);
        let mut clients = vec![];
        for number in 0..200u64 {
            let mut client = Client::connect(fixture.address).await;
            client
                .send(
                    &[
                        request(1, 2 * number + 10, "lookup", ""),
                        request(2, 2 * number + 11, "lookup", ""),
                    ]
                    .concat(),
                )
                .await;
            clients.push(client);
        }
        fixture.wait_for_open(400).await;
        let mut disconnects = clients.into_iter().enumerate();
        let still_open: Vec<_> = disconnects
            .by_ref()
            .filter_map(|(number, client)| match number % 3 {
                0 => {
                    client
                        .0
                        .try_write(&[encode_frame(8, 1, &[]), encode_frame(8, 2, &[])].concat())
                        .unwrap();
                    Some(client)
                }
                1 => {
                    client.reset();
                    None
                }
                _ => None,
            })
            .collect();
        tokio::time::sleep(DISCONNECT_DETECTION_LIMIT).await;
        assert_eq!(fixture.router.unanswered_requests(), 0);
        restore_engine(&fixture);
        expect_only(&fixture, 1).await;
        drop(still_open);
    });
}

/// A request that was read ahead and not accepted is never forwarded either.
#[test]
fn request_behind_malformed_frames_is_dropped_on_disconnect() {
    on_one_thread(async {
        let fixture = start_default().await;
        for disconnect in [true, false] {
            let mut client = Client::connect(fixture.address).await;
            let mut frames = [malformed_requests(100, 10), request(1, 7, "lookup", "")].concat();
            if disconnect {
                frames.extend(encode_frame(8, 1, &[]));
            }
            client.send(&frames).await;
            let still_open = disconnect.then_some(client);
            // Ten invalid requests delay the valid one by a second.
            let accepted =
                tokio::time::timeout(Duration::from_millis(1500), fixture.engine.accept()).await;
            if let Ok(accepted) = accepted {
                let mut engine = accepted.unwrap().0;
                panic!("{:?}", read_command(&mut engine).await);
            }
            drop(still_open);
        }
        expect_only(&fixture, 8).await;
    });
}

#[test]
fn disconnect_is_seen_while_a_response_write_is_blocked() {
    on_one_thread(async {
        for disconnect in [true, false] {
            let fixture = start_default().await;
            let mut client = Client::with_small_buffer(fixture.address).await;
            client.send(&request(1, 1, "lookup", "")).await;
            let mut engine = fixture.accept_upstream().await;
            let id = read_request_id(&mut engine).await;
            drain_engine(&fixture);
            client.send(&request(2, 2, "lookup", "")).await;
            fixture.wait_for_open(2).await;
            serve_pages(&mut engine, &id, 9).await;
            // The response is being written to a client that reads none of it.
            fixture.wait_for_open(1).await;
            let still_open = match disconnect {
                true => {
                    client.send(&encode_frame(8, 2, &[])).await;
                    Some(client)
                }
                false => close(client).await,
            };
            tokio::time::sleep(DISCONNECT_DETECTION_LIMIT).await;
            assert_eq!(fixture.router.unanswered_requests(), 0);
            restore_engine(&fixture);
            let mut other = Client::connect(fixture.address).await;
            other.send(&request(1, 3, "lookup", "")).await;
            assert_eq!(read_request_id(&mut engine).await, request_id(3));
            drop(still_open);
        }
    });
}

#[test]
fn close_is_seen_after_a_protocol_error() {
    on_one_thread(async {
        let unreadable_frames = async |client: &mut Client| {
            client
                .send(&[&encode_frame(99, 1, &[])[..], &[7; 100_000]].concat())
                .await
        };
        disconnect_while_queued(unreadable_frames, 1, close).await;
        disconnect_while_queued(unreadable_frames, 1, by_reset).await;
    });
}

/// After a malformed frame whose end is known, a queued request can still be cancelled.
#[test]
fn cancel_frame_is_honoured_after_a_protocol_error() {
    on_one_thread(async {
        let unknown_kind = async |client: &mut Client| client.send(&encode_frame(99, 1, &[])).await;
        disconnect_while_queued(unknown_kind, 1, cancel).await;
        let reused_stream =
            async |client: &mut Client| client.send(&request(1, 9, "lookup", "")).await;
        disconnect_while_queued(reused_stream, 1, cancel).await;
        let truncated =
            async |client: &mut Client| client.send(&encode_frame(2, 9, &[4, 200])).await;
        disconnect_while_queued(truncated, 1, cancel).await;
    });
}

/// All that the kernel buffers of a client after a protocol error is read in time, and its close is seen.
#[test]
fn close_is_seen_behind_megabytes_after_a_protocol_error() {
    on_one_thread(async {
        let flood = async |client: &mut Client| {
            client.send(&[255; 8]).await;
            let garbage = vec![7; 4 << 20];
            let mut sent = 0;
            while let Ok(n) = client.0.try_write(&garbage[sent..]) {
                sent += n;
            }
            assert!(sent > 100_000, "the kernel buffers {sent} bytes");
        };
        disconnect_while_queued(flood, 1, close).await;
        disconnect_while_queued(flood, 1, by_reset).await;
    });
}

/// Stalls the process for longer than the detection limit, from the disconnect on. Afterwards the disconnect
/// and the endpoint list that makes dispatch possible are seen in one poll, with an upstream connection
/// established.
async fn disconnect_during_stall(disconnect: impl AsyncFnOnce(Client) -> Option<Client>) {
    let fixture = start_default().await;
    let mut other = Client::connect(fixture.address).await;
    other.send(&request(1, 1, "lookup", "")).await;
    let mut engine = fixture.accept_upstream().await;
    let id = read_request_id(&mut engine).await;
    serve_pages(&mut engine, &id, 1).await;
    fixture.wait_for_open(0).await;
    drain_engine(&fixture);
    let mut client = Client::connect(fixture.address).await;
    client.send(&request(1, 2, "lookup", "")).await;
    fixture.wait_for_open(1).await;
    let still_open = disconnect(client).await;
    std::thread::sleep(DISCONNECT_DETECTION_LIMIT * 3 / 2);
    restore_engine(&fixture);
    other.send(&request(2, 3, "lookup", "")).await;
    assert_eq!(
        read_request_id(&mut engine).await,
        request_id(3),
        "nothing of the disconnected client"
    );
    drop(still_open);
}

#[test]
fn no_attempt_starts_for_a_client_lost_while_the_process_was_stalled() {
    on_one_thread(async {
        let cancel = async |client: Client| {
            client.0.try_write(&encode_frame(8, 1, &[])).unwrap();
            Some(client)
        };
        disconnect_during_stall(cancel).await;
        disconnect_during_stall(close).await;
        disconnect_during_stall(by_reset).await;
    });
}

/// The engine's connection is reset and the client disconnects in one poll: no second attempt starts.
#[test]
fn no_retry_when_client_disconnect_and_engine_reset_arrive_together() {
    on_one_thread(async {
        for client_first in [true, false] {
            for by_reset in [true, false] {
                let fixture = start_default().await;
                // A second, idle connection, to which a retry would be written at once.
                let (mut first_client, mut second_client) = (
                    Client::connect(fixture.address).await,
                    Client::connect(fixture.address).await,
                );
                first_client.send(&request(1, 1, "load", "")).await;
                let mut first = fixture.accept_upstream().await;
                let first_id = read_request_id(&mut first).await;
                second_client.send(&request(1, 2, "load", "")).await;
                let mut second = fixture.accept_upstream().await;
                let second_id = read_request_id(&mut second).await;
                serve_pages(&mut first, &first_id, 1).await;
                serve_pages(&mut second, &second_id, 1).await;
                fixture.wait_for_open(0).await;
                first_client.send(&request(2, 3, "lookup", "")).await;
                let on_first = tokio::select! {
                    read = async { first.peek(&mut [0]).await } => read.is_ok(),
                    read = async { second.peek(&mut [0]).await } => read.is_err(),
                };
                let (mut busy, mut idle) = if on_first {
                    (first, second)
                } else {
                    (second, first)
                };
                assert_eq!(read_request_id(&mut busy).await, request_id(3));
                let disconnect = |client: Client| {
                    if by_reset {
                        client.reset()
                    } else {
                        drop(client)
                    }
                };
                if client_first {
                    disconnect(first_client);
                    Client(busy).reset();
                } else {
                    Client(busy).reset();
                    disconnect(first_client);
                }
                std::thread::sleep(DISCONNECT_DETECTION_LIMIT * 3 / 2);
                fixture.wait_for_open(0).await;
                second_client.send(&request(2, 4, "lookup", "")).await;
                assert_eq!(
                    read_request_id(&mut idle).await,
                    request_id(4),
                    "nothing of the disconnected client"
                );
            }
        }
    });
}

/// The upstream connection is not established yet: the engine's accept queue is full.
#[test]
fn late_upstream_connection_sends_nothing_for_a_disconnected_client() {
    on_one_thread(async {
        let engine = listener_without_backlog();
        let filler = TcpStream::connect(engine.local_addr().unwrap())
            .await
            .unwrap();
        let fixture = start(engine, |sockets| sockets.connect_timeout = 4000.0).await;
        let mut client = Client::connect(fixture.address).await;
        client.send(&request(1, 1, "lookup", "")).await;
        fixture.wait_for_open(1).await;
        client.send(&encode_frame(8, 1, &[])).await;
        fixture.wait_for_open(0).await;
        drop((fixture.accept_upstream().await, filler));
        let mut late = fixture.accept_upstream().await;
        let mut other = Client::connect(fixture.address).await;
        other.send(&request(1, 2, "lookup", "")).await;
        assert_eq!(
            read_request_id(&mut late).await,
            request_id(2),
            "the first request on the late connection is the other client's"
        );
    });
}

/// A request is half written when its client disconnects: the rest is never written.
#[test]
fn partly_written_request_is_not_completed_after_disconnect() {
    on_one_thread(async {
        let fixture = start_with_slow_engine().await;
        let mut client = Client::connect(fixture.address).await;
        client
            .send(&request(1, 1, "lookup", &"x".repeat(250_000)))
            .await;
        let mut engine = fixture.accept_upstream().await;
        let mut first = [0; 1];
        expect_soon("a byte of the request", engine.read_exact(&mut first))
            .await
            .unwrap();
        SockRef::from(&engine)
            .set_recv_buffer_size(SMALL_BUFFER_BYTES)
            .unwrap();
        client.send(&encode_frame(8, 1, &[])).await;
        fixture.wait_for_open(0).await;
        tokio::time::sleep(DISCONNECT_DETECTION_LIMIT).await;
        let mut received = vec![];
        let end = expect_soon("end of the connection", engine.read_to_end(&mut received)).await;
        assert!(
            end.is_err() || received.len() < 250_000,
            "{} bytes were received",
            received.len()
        );
    });
}

/// A large request is half written, and two more wait behind it from the same poll on. After `event` (their
/// client cancels them, or their engine drains), neither may be written.
async fn behind_a_stalled_write(event: impl AsyncFnOnce(&DispatcherFixture, &mut Client)) {
    let fixture = start_with_slow_engine().await;
    let mut client = Client::connect(fixture.address).await;
    let mut large = request(1, 1, "lookup", &"x".repeat(250_000));
    large.extend(request(2, 2, "lookup", ""));
    large.extend(request(3, 3, "lookup", ""));
    client.send(&large).await;
    fixture.wait_for_open(3).await;
    let mut engine = fixture.accept_upstream().await;
    expect_soon("a byte of the request", engine.peek(&mut [0]))
        .await
        .unwrap();
    event(&fixture, &mut client).await;
    tokio::time::sleep(DISCONNECT_DETECTION_LIMIT).await;
    assert_eq!(
        read_request_id(&mut engine).await,
        request_id(1),
        "the write of the first request had begun"
    );
    client.send(&encode_frame(8, 1, &[])).await;
    assert_eq!(
        read_command(&mut engine).await.unwrap(),
        ["DROP", &request_id(1)],
        "nothing but the cancellation of the first request"
    );
}

#[test]
fn request_behind_a_stalled_write_is_withdrawn_on_disconnect() {
    on_one_thread(behind_a_stalled_write(async |fixture, client| {
        client
            .send(&[encode_frame(8, 2, &[]), encode_frame(8, 3, &[])].concat())
            .await;
        fixture.wait_for_open(1).await;
    }));
}

#[test]
fn request_behind_a_stalled_write_is_not_sent_to_a_draining_engine() {
    on_one_thread(behind_a_stalled_write(async |fixture, _| {
        drain_engine(fixture)
    }));
}

/// The request is dispatched and its client disconnects in one poll.
#[test]
fn disconnect_in_the_poll_that_dispatches_the_request_prevents_forwarding() {
    on_one_thread(async {
        let fixture = start_default().await;
        let answers = Rc::default();
        drain_engine(&fixture);
        submit(&fixture, 1, 0, &answers);
        restore_engine(&fixture);
        fixture.router.abandon(1);
        expect_only(&fixture, 2).await;
        assert!(
            answers.borrow().is_empty(),
            "an abandoned request gets no answer"
        );
    });
}

/// The upstream connection breaks, and the client disconnects while the retry waits for a new connection.
#[test]
fn pending_retry_is_dropped_on_disconnect() {
    on_one_thread(async {
        let fixture = start(listener_without_backlog(), |sockets| {
            sockets.connect_timeout = 4000.0
        })
        .await;
        let mut client = Client::connect(fixture.address).await;
        client.send(&request(1, 1, "lookup", "")).await;
        let mut engine = fixture.accept_upstream().await;
        read_request_id(&mut engine).await;
        let filler = TcpStream::connect(fixture.engines[0]).await.unwrap();
        drop(engine);
        // Once a later readiness query is answered, the dispatcher has seen the break.
        client.send(&encode_frame(16, 9, &[0])).await;
        assert_eq!(client.receive().await.unwrap().0, 32);
        assert_eq!(
            fixture.router.unanswered_requests(),
            1,
            "the retry is pending"
        );
        drop(client);
        fixture.wait_for_open(0).await;
        drop((fixture.accept_upstream().await, filler));
        let mut other = Client::connect(fixture.address).await;
        other.send(&request(1, 2, "lookup", "")).await;
        let mut late = fixture.accept_upstream().await;
        assert_eq!(read_request_id(&mut late).await, request_id(2));
    });
}

// ---- connections and requests

/// The engine closes an idle connection, and a request is assigned to it before the runtime sees the close.
#[test]
fn load_on_a_just_closed_upstream_connection_never_ran() {
    on_one_thread(async {
        let fixture = start_default().await;
        let answers = Rc::default();
        submit(&fixture, 1, 0, &answers);
        let mut engine = fixture.accept_upstream().await;
        let id = read_request_id(&mut engine).await;
        serve_pages(&mut engine, &id, 1).await;
        fixture.wait_for_open(0).await;
        drop(engine);
        submit(&fixture, 2, 1, &answers);
        let mut engine = fixture.accept_upstream().await;
        let id = read_request_id(&mut engine).await;
        serve_pages(&mut engine, &id, 1).await;
        fixture.wait_for_open(0).await;
        assert_eq!(*answers.borrow(), ["served", "served"]);
    });
}

/// A client sends a request on its idle connection in the poll in which that connection is evicted.
#[test]
fn request_crossing_an_idle_close_is_served() {
    on_one_thread(async {
        let fixture = start_default().await;
        let connection_limit = 64 * 2 / 5;
        let mut idle = vec![];
        for _ in 0..connection_limit {
            let mut client = Client::connect(fixture.address).await;
            client.send(&encode_frame(16, 1, &[0])).await;
            assert_eq!(client.receive().await.unwrap().0, 32);
            idle.push(client);
        }
        // The new connection and the request both precede the next poll, in this order.
        let newcomer = std::net::TcpStream::connect(fixture.address).unwrap();
        let written = idle[0].0.try_write(&request(2, 1, "lookup", "")).unwrap();
        assert!(written > 0);
        let mut engine = fixture.accept_upstream().await;
        let id = read_request_id(&mut engine).await;
        serve_pages(&mut engine, &id, 1).await;
        let (kind, stream, payload) = idle[0].receive().await.expect("the request is answered");
        assert_eq!((kind, stream, payload[0]), (4, 2, 0));
        assert!(
            idle[0].receive().await.is_none(),
            "the connection is evicted afterwards"
        );
        drop(newcomer);
    });
}

/// A request id is reused while a duplicate response to the first request with this id is pending.
#[test]
fn duplicate_response_is_not_matched_to_a_later_request_with_the_same_id() {
    on_one_thread(async {
        let fixture = start_default().await;
        let answers = Rc::default();
        for duplicate in ["ACK", "EIO"] {
            submit(&fixture, 1, 0, &answers);
            let mut engine = fixture.accept_upstream().await;
            let id = read_request_id(&mut engine).await;
            serve_pages(&mut engine, &id, 1).await;
            fixture.wait_for_open(0).await;
            submit(&fixture, 1, 0, &answers);
            let mut other = fixture.accept_upstream().await;
            assert_eq!(
                read_request_id(&mut other).await,
                id,
                "the second request uses another connection"
            );
            let fields = if duplicate == "ACK" { "total=1" } else { "-" };
            send_reply(&mut engine, [&id, duplicate, fields, "x\ty\tz\n"]).await;
            tokio::task::yield_now().await;
            send_reply(&mut other, [&id, "EIO", "-", ""]).await;
            drop((engine, other));
            let mut third = fixture.accept_upstream().await;
            assert_eq!(
                read_request_id(&mut third).await,
                id,
                "the duplicate response was discarded"
            );
            serve_pages(&mut third, &id, 1).await;
            fixture.wait_for_open(0).await;
            drop(third);
        }
        assert_eq!(*answers.borrow(), ["served"; 4]);
    });
}

/// Without progress notes, silence does not indicate a fault: a healthy engine receives a further request
/// beside a long query.
#[test]
fn engine_without_progress_reports_accepts_more_during_long_queries() {
    on_one_thread(async {
        let fixture = start_default().await;
        let answers = Rc::default();
        submit(&fixture, 1, 0, &answers);
        let mut engine = fixture.accept_upstream().await;
        read_request_id(&mut engine).await;
        tokio::time::sleep(Duration::from_millis(1100)).await;
        submit(&fixture, 2, 0, &answers);
        assert_eq!(
            read_request_id(&mut engine).await,
            request_id(2),
            "the second request uses the same connection"
        );
    });
}

/// A result is truncated or malformed, or a response never ends, while other requests share the connection.
#[test]
fn broken_shared_connection_loses_no_idempotent_request() {
    on_one_thread(async {
        for fault in ["reset", "endless", "malformed"] {
            let fixture = start_default().await;
            let answers = Rc::default();
            (1..=3).for_each(|n| submit(&fixture, n, 0, &answers));
            let mut engine = fixture.accept_upstream().await;
            let mut ids = vec![];
            for _ in 0..3 {
                ids.push(read_request_id(&mut engine).await);
            }
            send_reply(&mut engine, [&ids[0], "ACK", "total=3", "a\tb\tc\n"]).await;
            read_command(&mut engine)
                .await
                .expect("a page is requested");
            match fault {
                "reset" => SockRef::from(&engine)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap(),
                "endless" => engine.write_all(b"*4\r\n$16\r\n00000000").await.unwrap(),
                _ => send_reply(&mut engine, [&ids[0], "BLOCK", "index=1", "no rows"]).await,
            }
            let still_open = (fault == "endless").then_some(engine);
            let mut retry_connection = fixture.accept_upstream().await;
            let mut served = 0;
            while served < 3 {
                let Some(arguments) = read_command(&mut retry_connection).await else {
                    retry_connection = fixture.accept_upstream().await;
                    continue;
                };
                if arguments[0] == "GET" {
                    serve_pages(&mut retry_connection, &arguments[1], 1).await;
                    served += 1;
                }
            }
            fixture.wait_for_open(0).await;
            assert_eq!(*answers.borrow(), ["served"; 3], "{fault}");
            drop(still_open);
        }
    });
}

// ---- shutdown and data in flight

/// The kernel has accepted a connection, its request is written, and shutdown begins in the same poll.
#[test]
fn connection_accepted_by_the_kernel_is_served_during_shutdown() {
    on_one_thread(async {
        let fixture = start_default().await;
        tokio::task::yield_now().await;
        let mut client = std::net::TcpStream::connect(fixture.address).unwrap();
        client.write_all(&request(1, 1, "lookup", "")).unwrap();
        fixture.frontend.announce_shutdown(false);
        client.set_nonblocking(true).unwrap();
        let mut client = Client(TcpStream::from_std(client).unwrap());
        assert_eq!(
            client.receive().await.unwrap().0,
            64,
            "the client receives the shutdown notice"
        );
        let mut engine = fixture.accept_upstream().await;
        let id = read_request_id(&mut engine).await;
        serve_pages(&mut engine, &id, 1).await;
        assert_eq!(
            client.receive().await.map(|f| (f.0, f.1, f.2[0])),
            Some((4, 1, 0)),
            "the request is served"
        );
        let later_connection = TcpStream::connect(fixture.address)
            .await
            .map_err(|e| e.kind());
        assert!(
            matches!(later_connection, Err(ErrorKind::ConnectionRefused)),
            "later connections are refused"
        );
    });
}

/// Half a frame has arrived when idle connections are closed; the rest follows, and the client reads the
/// response late.
#[test]
fn connections_close_only_after_responses_are_fully_read() {
    on_one_thread(async {
        let fixture = start_default().await;
        let mut client = Client::with_small_buffer(fixture.address).await;
        let request_bytes = request(1, 1, "lookup", "");
        client.send(&request_bytes[..request_bytes.len() / 2]).await;
        let mut idle = Client::connect(fixture.address).await;
        wait_until("two connections", || {
            fixture.frontend.connection_count() == 2
        })
        .await;
        fixture.frontend.announce_shutdown(true);
        fixture.frontend.close_when_idle();
        assert_eq!(idle.receive().await.unwrap().0, 64);
        assert!(
            idle.receive().await.is_none(),
            "an idle connection is closed"
        );
        client.send(&request_bytes[request_bytes.len() / 2..]).await;
        let mut engine = fixture.accept_upstream().await;
        let id = read_request_id(&mut engine).await;
        serve_pages(&mut engine, &id, 9).await;
        fixture.wait_for_open(0).await;
        assert_eq!(
            fixture.frontend.connection_count(),
            1,
            "the response is written and not read"
        );
        assert_eq!(client.receive().await.unwrap().0, 64);
        let (kind, stream, payload) = client.receive().await.unwrap();
        assert_eq!((kind, stream, payload.len()), (4, 1, 2 + 9 * 5005));
        assert!(client.receive().await.is_none());
        wait_until("close of the last connection", || {
            fixture.frontend.connection_count() == 0
        })
        .await;
    });
}

/// SIGTERM arrives while one load is in flight and one is queued: the first may have run, the second never
/// did.
#[test]
fn shutdown_fails_a_sent_load_and_rejects_a_queued_one() {
    on_one_thread(async {
        let fixture = start_default().await;
        let answers = Rc::default();
        submit(&fixture, 1, 1, &answers);
        let mut engine = fixture.accept_upstream().await;
        read_request_id(&mut engine).await;
        drain_engine(&fixture);
        submit(&fixture, 2, 1, &answers);
        fixture
            .router
            .begin_shutdown(process_clock_millis() + 100.0);
        restore_engine(&fixture);
        let mut sorted_answers = vec![];
        while fixture.router.unanswered_requests() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        sorted_answers.extend(answers.borrow().iter().copied());
        sorted_answers.sort_unstable();
        assert!(
            sorted_answers == ["failed", "late"]
                || sorted_answers == ["failed", "refused"]
                || sorted_answers == ["late", "late"],
            "{sorted_answers:?}"
        );
        let next = read_command(&mut engine).await.unwrap();
        assert_eq!(next, ["DROP", &request_id(1)], "neither load is retried");
    });
}

/// Clients send many frames and disconnect: none of their requests is forwarded, and other clients are
/// served.
#[test]
fn clients_that_flood_and_disconnect_do_not_affect_others() {
    on_one_thread(async {
        let fixture = start_default().await;
        let mut clients = vec![];
        for number in 0..20 {
            let mut client = Client::connect(fixture.address).await;
            let requests = (1..=5).flat_map(|index| {
                request(
                    1000 + index,
                    u64::from(1000 * (number + 1) + index),
                    "lookup",
                    "",
                )
            });
            client
                .send(&[malformed_requests(1, 40), requests.collect()].concat())
                .await;
            clients.push(client);
        }
        drop(clients);
        let mut client = Client::connect(fixture.address).await;
        let began = std::time::Instant::now();
        client.send(&request(1, 7, "lookup", "")).await;
        let mut engine = fixture.accept_upstream().await;
        assert_eq!(read_request_id(&mut engine).await, request_id(7));
        serve_pages(&mut engine, &request_id(7), 1).await;
        assert_eq!(client.receive().await.unwrap().2[0], 0);
        assert!(began.elapsed() < Duration::from_secs(1));
        // Longer than forty invalid requests of each client would have delayed its valid ones.
        tokio::time::sleep(Duration::from_millis(1200)).await;
        client.send(&request(2, 8, "lookup", "")).await;
        assert_eq!(
            read_request_id(&mut engine).await,
            request_id(8),
            "no request of the disconnected clients"
        );
        wait_until("their connections to close", || {
            fixture.frontend.connection_count() == 1
        })
        .await;
    });
}
