//! A test of the program with thousands of engines on loopback: every request must be answered in time
//! regardless of the number of engines.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use testbed::platform::clients::{Connection, RequestLog, Target};
use testbed::platform::dispatcher::Dispatcher;
use testbed::platform::engines::{Behaviour, Engine, Fleet};
use testbed::platform::journal::{Instance, Journal, Lifecycle};
use testbed::platform::settings::{Class, Effect, Settings};
use testbed::platform::verdict::{Records, find_violations};
use testbed::program::Folder;
use testbed::random::{Stream, Streams};
use tokio::task::{LocalSet, spawn_local};

const ENGINES: usize = 3200;
/// Number of engines that stay in service when all others begin to drain.
const REMAINING: usize = 20;
const CONNECTIONS: usize = 40;
const REQUESTS_PER_SECOND: f64 = 300.0;
const WORK: Duration = Duration::from_millis(250);
const SLOTS: usize = 2;
const FAULTS_START: Duration = Duration::from_secs(2);
const DRAIN_START: Duration = Duration::from_secs(4);
const TRAFFIC_END: Duration = Duration::from_secs(7);
/// Time for the last answers: the longest deadline, the half second after which an answer counts as lost, and
/// a margin.
const LAST_ANSWERS_WAIT: Duration = Duration::from_millis(3500);

fn class(name: &'static str, effect: Effect, deadline: f64, weight: f64) -> Class {
    Class {
        name,
        effect,
        objective: deadline / 3.0,
        deadline,
        weight,
    }
}

fn settings() -> Settings {
    Settings {
        classes: vec![
            class("lookup", Effect::Retryable, 1500.0, 1.0),
            class("ledger", Effect::Deduplicated, 2000.0, 3.0),
            class("load", Effect::Fragile, 2500.0, 4.0),
        ],
        dispatchers: 4,
        cores: 1.0,
        ..Settings::default()
    }
}

fn instance(engine: &Rc<Engine>, lifecycle: Lifecycle) -> Instance {
    Instance {
        id: engine.id(),
        address: engine.address,
        lifecycle,
        started_at_ms: 0.0,
    }
}

/// Makes a third of the engines hang and a third reject requests as full.
fn inject_faults(fleet: &Fleet) {
    for engine in &fleet.engines {
        match engine.number % 3 {
            0 => engine.behaviour.set(Behaviour::Hanging),
            1 => engine.behaviour.set(Behaviour::Full),
            _ => {}
        }
    }
}

/// Announces the drain of all but [`REMAINING`] engines, each in an event of its own.
fn drain_all_but_a_few(fleet: &Fleet, journal: &Journal) {
    for engine in &fleet.engines[REMAINING..] {
        journal.announce(&[instance(engine, Lifecycle::Draining)]);
    }
}

async fn send_one(connections: &[Rc<Connection>], random: &mut Stream) {
    let connection = connections[random.below(connections.len())].clone();
    let (class, limit) = match random.below(10) {
        0 => ("load", 2500),
        1..=3 => ("ledger", 2000),
        _ => ("lookup", 300 + random.below(1200) as u64),
    };
    let id = format!("{:016x}", random.bits());
    let limit = Duration::from_millis(limit);
    let stream = connection.send(&id, class, limit).await.unwrap();
    if random.chance(0.1) {
        let cancel_delay = Duration::from_millis(random.below(200) as u64);
        spawn_local(async move {
            tokio::time::sleep(cancel_delay).await;
            let _ = connection.cancel(stream).await;
        });
    }
}

async fn run_scenario() -> Records {
    let folder = Folder::new("large-fleet").unwrap();
    let fleet = Fleet::start(ENGINES, WORK, SLOTS).await.unwrap();
    let listed: Vec<Instance> = fleet
        .engines
        .iter()
        .map(|engine| instance(engine, Lifecycle::InService))
        .collect();
    let journal = Journal::start(&listed).await.unwrap();
    let listen = "127.0.0.1:0".parse().unwrap();
    let config = settings().config_file(0, listen, journal.address(), &journal.known_section());
    let binary = Path::new(env!("CARGO_BIN_EXE_hitchwinch"));
    let dispatcher = Dispatcher::start(binary, &folder, "n0", &config, None)
        .await
        .unwrap();
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
    let mut random = Streams::new(1).stream("traffic");
    let started_at = Instant::now();
    let mut faults = vec![FAULTS_START, DRAIN_START];
    for number in 0.. {
        let due = Duration::from_secs_f64(f64::from(number) / REQUESTS_PER_SECOND);
        if due > TRAFFIC_END {
            break;
        }
        tokio::time::sleep(due.saturating_sub(started_at.elapsed())).await;
        if faults.first().is_some_and(|at| started_at.elapsed() > *at) {
            match faults.remove(0) {
                FAULTS_START => inject_faults(&fleet),
                _ => drain_all_but_a_few(&fleet, &journal),
            }
        }
        send_one(&connections, &mut random).await;
    }
    tokio::time::sleep(LAST_ANSWERS_WAIT).await;
    println!("processor time: {:.2} s", dispatcher.processor_seconds());
    Records {
        requests: log.requests(),
        executions: fleet.executions(),
        ..Records::default()
    }
}

/// Guards against list events and decisions that each iterate over all engines, or over all engines for each
/// queued request. Under overload, while nearly all of 3,200 engines begin to drain in one event each, these
/// add up to seconds without answers.
#[tokio::test(flavor = "current_thread")]
async fn a_drain_of_thousands_of_engines_under_overload_holds_no_answer_back() {
    let started_at = Instant::now();
    let records = LocalSet::new().run_until(run_scenario()).await;
    let violations = find_violations(&records, &settings(), started_at);
    let first: Vec<_> = violations.iter().take(5).collect();
    assert!(
        violations.is_empty(),
        "{} of {} requests: {first:#?}",
        violations.len(),
        records.requests.len()
    );
}
