//! The memory of a process while clients hold all that they can, with the least memory that the platform's pages
//! name and 1,024 descriptors. A usual client goes on with its requests.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::Path;
use std::time::Duration;
use testbed::platform::engines::{Fleet, ResultSize};
use testbed::platform::hostile_clients::{
    LEAST_MEMORY_MB, MAX_CLIENT_CONNECTIONS, MAX_FRAME_BYTES, MAX_OPEN_STREAMS, Outcome, Scenario,
    encode_ask, encode_request, hang, read_to_end,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::LocalSet;

/// Time for which the clients hold what they can.
const SPAN: Duration = Duration::from_secs(3);
/// Number of hostile clients: together with the usual one, as many as the descriptors allow.
const CROWD: usize = MAX_CLIENT_CONNECTIONS - 1;
/// Size of a statement that makes a request one of the largest.
const LARGE_STATEMENT_BYTES: usize = MAX_FRAME_BYTES - 200;

/// The scenarios run one at a time: together their connections exceed the usual limit of descriptors.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Runs hostile clients beside a usual one.
async fn run_crowd<F: Future<Output = std::io::Result<()>> + 'static>(
    name: &str,
    hostile_clients: usize,
    prepare: impl FnOnce(&Fleet),
    use_connection: impl Fn(usize, TcpStream) -> F + Clone + Send + 'static,
) -> Outcome {
    let scenario = Scenario {
        binary: Path::new(env!("CARGO_BIN_EXE_hitchwinch")),
        name,
        hostile_clients,
        span: SPAN,
    };
    let _guard = ONE_AT_A_TIME.lock().await;
    let run = scenario.run(prepare, use_connection);
    let outcome = LocalSet::new().run_until(run).await.unwrap();
    println!("{name}: {}", outcome.summary());
    outcome
}

fn assert_within_limits(outcome: &Outcome) {
    assert!(outcome.is_within_limits(), "{}", outcome.summary());
}

/// Asserts also that most of the usual client's requests are served: what hostile clients hold must leave room
/// for others.
fn assert_usual_client_is_served(outcome: &Outcome) {
    assert_within_limits(outcome);
    assert!(
        outcome.served() * 10 >= outcome.usual.len() * 9,
        "{}",
        outcome.summary()
    );
}

/// Nearly all of a large request on each connection, and then nothing.
async fn stop_half_way(client: usize, mut tcp: TcpStream) -> std::io::Result<()> {
    let frame = encode_request(client, 1, &[], LARGE_STATEMENT_BYTES);
    tcp.write_all(&frame[..frame.len() - 100]).await?;
    read_to_end(&mut tcp).await
}

#[tokio::test(flavor = "current_thread")]
async fn clients_that_stop_half_way_through_a_large_request_stay_within_the_memory_limit() {
    assert_usual_client_is_served(&run_crowd("half", CROWD, |_| {}, stop_half_way).await);
}

/// A large request, written slowly.
async fn write_slowly(client: usize, mut tcp: TcpStream) -> std::io::Result<()> {
    let frame = encode_request(client, 1, &[], LARGE_STATEMENT_BYTES);
    for piece in frame.chunks(16 * 1024) {
        tcp.write_all(piece).await?;
        tokio::time::sleep(Duration::from_millis(90)).await;
    }
    read_to_end(&mut tcp).await
}

#[tokio::test(flavor = "current_thread")]
async fn clients_that_write_large_requests_slowly_stay_within_the_memory_limit() {
    // These requests are complete in the end, and compete with the usual client's for the engines.
    assert_within_limits(&run_crowd("slow", CROWD, |_| {}, write_slowly).await);
}

/// As many requests as may be open, whose heads have as many short fields as a head can have.
async fn send_many_fields(client: usize, mut tcp: TcpStream) -> std::io::Result<()> {
    let fields = [("note", "12345678"); 252];
    for stream in 1..=MAX_OPEN_STREAMS {
        tcp.write_all(&encode_request(client, stream, &fields, 0))
            .await?;
    }
    read_to_end(&mut tcp).await
}

#[tokio::test(flavor = "current_thread")]
async fn requests_with_hundreds_of_short_fields_stay_within_the_memory_limit() {
    assert_within_limits(&run_crowd("fields", CROWD, hang, send_many_fields).await);
}

/// More requests than may be open, nearly all of each in the fields of its head.
async fn send_large_heads(client: usize, mut tcp: TcpStream) -> std::io::Result<()> {
    let value = "v".repeat(60_000);
    let fields = [("note", value.as_str()); 4];
    for stream in 1..=3 * MAX_OPEN_STREAMS {
        tcp.write_all(&encode_request(client, stream, &fields, 0))
            .await?;
    }
    read_to_end(&mut tcp).await
}

#[tokio::test(flavor = "current_thread")]
async fn requests_with_large_heads_stay_within_the_memory_limit() {
    assert_within_limits(&run_crowd("heads", CROWD, hang, send_large_heads).await);
}

/// Number of clients that read nothing: their results together are many times the memory.
const SILENT_READERS: usize = 100;

/// As many of the largest results as may be open, of which the client reads nothing.
async fn read_nothing(client: usize, mut tcp: TcpStream) -> std::io::Result<()> {
    for stream in 1..=MAX_OPEN_STREAMS {
        tcp.write_all(&encode_request(client, stream, &[], 0))
            .await?;
    }
    tokio::time::sleep(SPAN).await;
    Ok(())
}

#[tokio::test(flavor = "current_thread")]
async fn results_that_no_client_reads_stay_within_the_memory_limit() {
    let prepare = |fleet: &Fleet| {
        for engine in &fleet.engines {
            engine.result_size.set(ResultSize::Largest);
        }
    };
    assert_within_limits(&run_crowd("results", SILENT_READERS, prepare, read_nothing).await);
}

/// Readiness requests without end, whose answers nobody reads.
async fn ask_without_reading(_: usize, mut tcp: TcpStream) -> std::io::Result<()> {
    let asks = encode_ask(1).repeat(1000);
    loop {
        tcp.write_all(&asks).await?;
    }
}

#[tokio::test(flavor = "current_thread")]
async fn answers_that_no_client_reads_stay_within_the_memory_limit() {
    let outcome = run_crowd("unread", CROWD, |_| {}, ask_without_reading).await;
    assert!(!outcome.has_ended, "{}", outcome.summary());
    assert!(
        outcome.peak_memory_mb <= LEAST_MEMORY_MB as f64,
        "{}",
        outcome.summary()
    );
}
