//! One MySQL client that sends small or invalid statements at full speed, under ever new names: the answers to other
//! clients come in time, and the process's memory does not grow.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod session_fixture;

use session_fixture::{query_rows, run, sleep_ms, start};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use testbed::clients::mysql::{Session, SessionOptions};

use query_dispatcher::protocol::mysql::packet::COM_QUERY;

/// Time for which the client sends.
const SPAN: Duration = Duration::from_secs(3);
/// Number of statements that are sent before their answers are read.
const BATCH: usize = 50;
/// Longest time for an answer to the usual client: the deadline of a statement is longer.
const MAX_LATENCY: Duration = Duration::from_secs(1);
/// Largest growth of the process's memory during a flood, in megabytes.
const MAX_GROWTH_MB: f64 = 16.0;

/// Sends statements until `stop`; returns how many.
fn flood(address: SocketAddr, statement: fn(usize) -> String, stop: &AtomicBool) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let options = SessionOptions::default();
        let mut session = Session::log_in(address, "guest", "guest", options)
            .await
            .unwrap();
        let mut sent = 0;
        while !stop.load(Ordering::Relaxed) {
            for number in sent..sent + BATCH {
                let sql = statement(number);
                session.send(COM_QUERY, &[sql.as_bytes()]).await.unwrap();
            }
            for _ in 0..BATCH {
                // An error is an answer too.
                drop(session.answer().await);
            }
            sent += BATCH;
        }
        sent
    })
}

fn play(name: &str, statement: fn(usize) -> String) {
    run(async {
        let fixture = start(&format!("flood-{name}"), 2, "", "").await;
        let mut usual = fixture.session().await;
        query_rows(&mut usual, "select 1 from t").await;
        let (_, memory_before) = fixture.program.memory();
        let address = fixture.program.address;
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(AtomicUsize::new(0));
        let thread = std::thread::spawn({
            let (stop, sent) = (stop.clone(), sent.clone());
            move || sent.store(flood(address, statement, &stop), Ordering::Relaxed)
        });
        let started_at = Instant::now();
        let mut slowest = Duration::ZERO;
        while started_at.elapsed() < SPAN {
            let asked_at = Instant::now();
            query_rows(&mut usual, "select 1 from t").await;
            slowest = slowest.max(asked_at.elapsed());
            sleep_ms(20).await;
        }
        stop.store(true, Ordering::Relaxed);
        // The engines run on this thread, and the flood waits for their answers.
        while !thread.is_finished() {
            sleep_ms(5).await;
        }
        thread.join().unwrap();
        let (_, memory_after) = fixture.program.memory();
        let sent = sent.load(Ordering::Relaxed);
        println!(
            "{name}: {sent} statements, slowest answer {slowest:?}, {memory_before:.1} to {memory_after:.1} MB"
        );
        assert!(slowest < MAX_LATENCY, "{slowest:?}");
        assert!(memory_after - memory_before < MAX_GROWTH_MB);
    });
}

#[test]
fn reads_of_ever_new_tables_at_full_speed_delay_no_other_client() {
    play("tables", |number| format!("select a from t{number}"));
}

#[test]
fn settings_of_ever_new_names_at_full_speed_delay_no_other_client() {
    play("variables", |number| format!("set @v{number} = {number}"));
}

#[test]
fn ever_new_schemas_at_full_speed_delay_no_other_client() {
    play("schemas", |number| format!("use schema_{number}"));
}

#[test]
fn invalid_statements_at_full_speed_delay_no_other_client() {
    play("invalid", |number| format!("set global x{number} = ((("));
}
