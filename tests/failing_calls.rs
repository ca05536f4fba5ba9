//! The program while some of its system calls are interrupted, return early or fail transiently.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::Path;
use std::time::{Duration, Instant};
use testbed::platform::clients::{Connection, RequestLog, Target};
use testbed::platform::dispatcher::{Dispatcher, Faults, Shim};
use testbed::platform::engines::Fleet;
use testbed::platform::journal::{Instance, Journal, Lifecycle};
use testbed::platform::settings::{Class, Effect, Settings};
use testbed::platform::verdict::{Records, find_violations};
use testbed::program::Folder;
use tokio::task::LocalSet;

const REQUESTS: u64 = 400;
const CONNECTIONS: usize = 8;
const LIMIT: Duration = Duration::from_millis(1500);
/// Rate of injected failures: a twentieth of all calls.
const CALL_FAILURES_PER_MILLION: u32 = 50_000;

fn settings() -> Settings {
    Settings {
        classes: vec![Class {
            name: "lookup",
            effect: Effect::Retryable,
            objective: 500.0,
            deadline: 1500.0,
            weight: 1.0,
        }],
        ..Settings::default()
    }
}

async fn run_requests() -> Records {
    let folder = Folder::new("failing-calls").unwrap();
    let fleet = Fleet::start(4, Duration::from_millis(20), 100)
        .await
        .unwrap();
    let listed: Vec<Instance> = fleet
        .engines
        .iter()
        .map(|engine| Instance {
            id: engine.id(),
            address: engine.address,
            lifecycle: Lifecycle::InService,
            started_at_ms: 0.0,
        })
        .collect();
    let journal = Journal::start(&listed).await.unwrap();
    let listen = "127.0.0.1:0".parse().unwrap();
    let config = settings().config_file(0, listen, journal.address(), &journal.known_section());
    let shim = Shim::build(&folder).unwrap();
    let binary = Path::new(env!("CARGO_BIN_EXE_hitchwinch"));
    let no_faults = Some((&shim, Faults::default()));
    let dispatcher = Dispatcher::start(binary, &folder, "n0", &config, no_faults)
        .await
        .unwrap();
    let faults = Faults {
        call_failures_per_million: CALL_FAILURES_PER_MILLION,
        ..Faults::default()
    };
    dispatcher.set_faults(faults).unwrap();
    let target = Target {
        address: dispatcher.address,
        dispatcher: 0,
        process: 0,
    };
    let log = RequestLog::default();
    let mut connections = vec![];
    for _ in 0..CONNECTIONS {
        connections.push(Connection::open(target, &log).await.unwrap());
    }
    for number in 0..REQUESTS {
        let connection = &connections[number as usize % CONNECTIONS];
        let id = format!("{number:016x}");
        // If the dispatcher has closed a connection, its requests stay without an answer, which the
        // test checks.
        let _ = connection.send(&id, "lookup", LIMIT).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(LIMIT + Duration::from_millis(700)).await;
    Records {
        requests: log.requests(),
        executions: fleet.executions(),
        ..Records::default()
    }
}

/// The dispatcher repeats interrupted calls, continues after short reads, and sends a request to
/// another engine if it fails before a byte is written.
#[tokio::test(flavor = "current_thread")]
async fn every_request_is_answered_while_system_calls_fail_for_a_moment() {
    let began = Instant::now();
    let records = LocalSet::new().run_until(run_requests()).await;
    assert_eq!(find_violations(&records, &settings(), began), []);
    let answered = records.requests.iter().filter(|r| !r.answers.is_empty());
    assert_eq!(answered.count(), REQUESTS as usize);
}
