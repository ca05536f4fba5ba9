//! A restarted dispatcher learns the ages of engines from its peers, whatever its machine's wall clock
//! reports.
//!
//! Guards against this failure: after every restart of a dispatcher, all engines that had started within the
//! last two hours counted as cold and stayed half idle for the whole warm-up. Wall clocks must not be trusted
//! with ages, and a new process had no other source. When the start time from discovery was trusted instead,
//! the same scenario (roll+mass) was served as before.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::Path;
use std::time::{Duration, Instant};
use testbed::platform::clients::{Connection, RequestLog, Target};
use testbed::platform::dispatcher::{Dispatcher, Faults, Shim};
use testbed::platform::engines::Fleet;
use testbed::platform::journal::{Instance, Journal, Lifecycle};
use testbed::platform::settings::{Class, Effect, Settings};
use testbed::program::Folder;
use tokio::task::LocalSet;

const HOUR_MS: i64 = 3_600_000;
const WORK: Duration = Duration::from_millis(20);
const REQUESTS: u64 = 100;
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Warm-up period and the overload window after it; the second dispatcher starts later than this.
const WARM_UP: Duration = Duration::from_millis(2500);

fn settings() -> Settings {
    Settings {
        classes: vec![Class {
            name: "lookup",
            effect: Effect::Retryable,
            objective: 1200.0,
            deadline: 1200.0,
            weight: 1.0,
        }],
        dispatchers: 2,
        warm_up_period: 1500.0,
        overload_window: 1000.0,
        overload_multiple: 2.0,
        peers: Settings::free_peer_addresses(2).unwrap(),
        ..Settings::default()
    }
}

fn instance(fleet: &Fleet, lifecycle: Lifecycle, started_at_ms: f64) -> Instance {
    Instance {
        id: fleet.engines[0].id(),
        address: fleet.engines[0].address,
        lifecycle,
        started_at_ms,
    }
}

/// Starts a dispatcher when the only engine is already warm, and returns how many of its requests are served.
/// With `has_peer`, the other dispatcher, which observed the engine's start, still runs and answers requests
/// for ages.
async fn served_after_late_start(name: &str, clock_offset_ms: i64, has_peer: bool) -> usize {
    let folder = Folder::new(name).unwrap();
    let settings = settings();
    let fleet = Fleet::start(1, WORK, 1000).await.unwrap();
    let listed = [instance(&fleet, Lifecycle::InService, 0.0)];
    let journal = Journal::start(&listed).await.unwrap();
    let shim = Shim::build(&folder).unwrap();
    let binary = Path::new(env!("CARGO_BIN_EXE_hitchwinch"));
    let start = async |rank: usize, clock_offset_ms: i64| {
        let listen = "127.0.0.1:0".parse().unwrap();
        let config =
            settings.config_file(rank, listen, journal.address(), &journal.known_section());
        let faults = Faults {
            clock_offset_ms,
            ..Faults::default()
        };
        let name = format!("n{rank}");
        Dispatcher::start(binary, &folder, &name, &config, Some((&shim, faults)))
            .await
            .unwrap()
    };
    let mut peer = start(0, 0).await;
    fleet.engines[0].restart().await.unwrap();
    journal.announce(&[instance(&fleet, Lifecycle::InService, testbed::now())]);
    tokio::time::sleep(WARM_UP + Duration::from_millis(200)).await;
    if !has_peer {
        peer.kill().await;
    }
    let late = start(1, clock_offset_ms).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let log = RequestLog::default();
    let target = Target {
        address: late.address,
        dispatcher: 1,
        process: 0,
    };
    let connection = Connection::open(target, &log).await.unwrap();
    let started_at = Instant::now();
    for number in 0..REQUESTS {
        let id = format!("{number:016x}");
        let limit = Duration::from_millis(150);
        connection.send(&id, "lookup", limit).await.unwrap();
        tokio::time::sleep_until((started_at + REQUEST_INTERVAL * number as u32).into()).await;
    }
    connection.wait_until_idle(Duration::from_secs(3)).await;
    let answers = log.requests();
    let is_served = |code: u8| code == query_dispatcher::protocol::frames::code::SERVED;
    let first = answers.iter().filter_map(|request| request.answers.first());
    first.filter(|answer| is_served(answer.code)).count()
}

#[tokio::test(flavor = "current_thread")]
async fn a_dispatcher_that_starts_late_uses_engines_that_its_peers_know_to_be_warm() {
    LocalSet::new()
        .run_until(async {
            let (right, ahead, behind, alone) = tokio::join!(
                served_after_late_start("ages-right", 0, true),
                served_after_late_start("ages-ahead", HOUR_MS, true),
                served_after_late_start("ages-behind", -HOUR_MS, true),
                served_after_late_start("ages-alone", HOUR_MS, false),
            );
            let all = REQUESTS as usize;
            for (clock, served) in [("right", right), ("ahead", ahead), ("behind", behind)] {
                assert!(
                    served >= all * 9 / 10,
                    "clock {clock}: {served} of {all} served"
                );
            }
            assert!(
                alone < all * 9 / 10,
                "without a peer the engine counts as cold: {alone} of {all} served"
            );
        })
        .await;
}
