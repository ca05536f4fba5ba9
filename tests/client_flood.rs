//! One client that sends small or invalid frames at full speed on one connection: the answers to other clients
//! come in time, and the process's memory stays within its limit.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::Path;
use std::time::Duration;
use testbed::platform::clients::{encode_frame, encode_with_fields};
use testbed::platform::hostile_clients::{Outcome, Scenario, encode_ask, read_to_end};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::{LocalSet, spawn_local};

use query_dispatcher::protocol::frames::kind;

/// Time for which the client sends.
const SPAN: Duration = Duration::from_secs(2);
/// Number of frames that are encoded and written at once.
const BATCH: u32 = 500;

/// Writes what `batch` encodes for the streams from its argument on, at full speed, and reads all answers.
async fn flood(tcp: TcpStream, batch: impl Fn(u32) -> Vec<u8>) -> std::io::Result<()> {
    let (mut read, mut write) = tcp.into_split();
    let reader = spawn_local(async move { read_to_end(&mut read).await });
    let mut stream = 1;
    while !reader.is_finished() {
        write.write_all(&batch(stream)).await?;
        stream += BATCH;
    }
    Ok(())
}

/// One flood at a time: they are not to compete with each other for the processor.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn run_flood(name: &str, batch: impl Fn(u32) -> Vec<u8> + Clone + Send + 'static) -> Outcome {
    let scenario = Scenario {
        binary: Path::new(env!("CARGO_BIN_EXE_hitchwinch")),
        name,
        hostile_clients: 1,
        span: SPAN,
    };
    let _guard = ONE_AT_A_TIME.lock().await;
    let run = scenario.run(|_| {}, move |_, tcp| flood(tcp, batch.clone()));
    let outcome = LocalSet::new().run_until(run).await.unwrap();
    println!("{name}: {}", outcome.summary());
    outcome
}

/// Asserts that all requests of the usual client were served: its engines are idle.
fn assert_usual_client_is_served(outcome: &Outcome) {
    assert!(outcome.is_within_limits(), "{}", outcome.summary());
    assert_eq!(
        outcome.served(),
        outcome.usual.len(),
        "{}",
        outcome.summary()
    );
}

fn request(stream: u32, class: &str, limit: &str, further: (&str, &str)) -> Vec<u8> {
    let id = format!("{:016x}", u64::from(stream));
    let fields = [("verb", class), ("txn", &id), ("limit", limit), further];
    let statement = format!("select 1 from sales_{stream}.orders");
    encode_with_fields(kind::REQUEST, stream, &fields, statement.as_bytes())
}

fn batch_of(from: u32, encode: impl Fn(u32) -> Vec<u8>) -> Vec<u8> {
    (from..from + BATCH).flat_map(encode).collect()
}

#[tokio::test(flavor = "current_thread")]
async fn readiness_requests_at_full_speed_delay_no_other_client() {
    let outcome = run_flood("asks", |from| batch_of(from, encode_ask)).await;
    assert_usual_client_is_served(&outcome);
}

#[tokio::test(flavor = "current_thread")]
async fn requests_of_ever_new_classes_at_full_speed_delay_no_other_client() {
    let encode = |stream| request(stream, &format!("c{stream}"), "500", ("a", "b"));
    let outcome = run_flood("classes", move |from| batch_of(from, encode)).await;
    assert_usual_client_is_served(&outcome);
}

#[tokio::test(flavor = "current_thread")]
async fn requests_with_fields_of_ever_new_names_at_full_speed_delay_no_other_client() {
    let encode = |stream| request(stream, "lookup", "500", (&format!("f{stream}"), "b"));
    let outcome = run_flood("fields", move |from| batch_of(from, encode)).await;
    assert_usual_client_is_served(&outcome);
}

/// Requests that are rejected as soon as they are read: no time is left for them.
#[tokio::test(flavor = "current_thread")]
async fn requests_without_time_at_full_speed_delay_no_other_client() {
    let encode = |stream| request(stream, "lookup", "0", ("a", "b"));
    let outcome = run_flood("no-time", move |from| batch_of(from, encode)).await;
    assert_usual_client_is_served(&outcome);
}

/// Requests that the decision module rejects, since they cannot be answered in time.
#[tokio::test(flavor = "current_thread")]
async fn requests_with_little_time_at_full_speed_delay_no_other_client() {
    let encode = |stream| request(stream, "lookup", "42", ("cpu", "100000"));
    let outcome = run_flood("little-time", move |from| batch_of(from, encode)).await;
    assert_usual_client_is_served(&outcome);
}

#[tokio::test(flavor = "current_thread")]
async fn requests_that_are_cancelled_at_once_at_full_speed_delay_no_other_client() {
    let encode = |stream| {
        let cancel = encode_frame(kind::LEAVE, stream, &[]);
        [request(stream, "lookup", "500", ("a", "b")), cancel].concat()
    };
    let outcome = run_flood("cancelled", move |from| batch_of(from, encode)).await;
    assert_usual_client_is_served(&outcome);
}

#[tokio::test(flavor = "current_thread")]
async fn cancel_frames_at_full_speed_delay_no_other_client() {
    let encode = |stream| encode_frame(kind::LEAVE, stream, &[]);
    let outcome = run_flood("leaves", move |from| batch_of(from, encode)).await;
    assert_usual_client_is_served(&outcome);
}

/// After the first frame of an unknown type, the connection is read only for cancel frames and its end.
#[tokio::test(flavor = "current_thread")]
async fn frames_of_unknown_types_at_full_speed_delay_no_other_client() {
    let encode = |stream| encode_frame(99, stream, &[]);
    let outcome = run_flood("types", move |from| batch_of(from, encode)).await;
    assert_usual_client_is_served(&outcome);
}
