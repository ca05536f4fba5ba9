//! Plays seeded event streams against the decision module and the request core, and compares a digest of
//! every decision with the recorded one. A change that must not alter decisions (a rename, a split) leaves
//! all digests as they are; one that alters decisions on purpose records new digests and names the reason.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "recorded_decisions/controller_stream.rs"]
mod controller_stream;
#[path = "recorded_decisions/core_stream.rs"]
mod core_stream;
#[path = "recorded_decisions/expected.rs"]
mod expected;
#[path = "recorded_decisions/profiles.rs"]
mod profiles;
#[path = "recorded_decisions/random.rs"]
mod random;
#[path = "recorded_decisions/record.rs"]
mod record;
#[path = "recorded_decisions/vocabulary.rs"]
mod vocabulary;

use controller_stream::Stream;
use core_stream::{CoreStream, CoreTraffic};
use expected::EXPECTED;
use profiles::profile;
use record::Record;
use testbed::scenario::Scenario;
use testbed::simulation::{policy::Policy, run_scenario};

/// Seeds of the streams of each profile of the decision module.
const CONTROLLER_SEEDS: std::ops::Range<u64> = 0..16;
/// Seeds of the streams of each profile of the request core.
const CORE_SEEDS: std::ops::Range<u64> = 100..112;

const SCENARIO_SEED: u64 = 7;
/// Length of the part of each scenario that is played, in seconds.
const SCENARIO_S: f64 = 45.0;

/// Asserts that a finished record equals the recorded one of this profile.
fn compare(profile: &str, record: Record) {
    let (counts, digest) = record.finish();
    compare_texts(profile, &counts, &digest);
}

fn compare_texts(profile: &str, counts: &str, digest: &str) {
    let expected = EXPECTED.iter().find(|row| row.profile == profile);
    let (old_counts, old_digest) = expected.map_or(("", ""), |row| (row.counts, row.digest));
    assert!(
        (old_counts, old_digest) == (counts, digest),
        "the decisions of profile {profile} differ from the recorded ones\n\
         expected digest {old_digest}\n     new digest {digest}\n\
         expected counts {old_counts}\n     new counts {counts}"
    );
}

fn check_controller(name: &str) {
    let mut record = Record::default();
    for seed in CONTROLLER_SEEDS {
        let (settings, traffic) = profile(name);
        Stream::new(settings, traffic, seed, &mut record).play();
    }
    compare(name, record);
}

fn check_core(name: &str, base: &str, core_traffic: CoreTraffic) {
    let mut record = Record::default();
    for seed in CORE_SEEDS {
        let (settings, traffic) = profile(base);
        CoreStream::new(settings, traffic, core_traffic, seed, &mut record).play();
    }
    compare(name, record);
}

/// One test for each profile of the decision module.
macro_rules! controller_profiles {
    ($($name:ident),+ $(,)?) => {
        $(#[test]
        fn $name() {
            check_controller(stringify!($name));
        })+
    };
}

controller_profiles!(
    one_gateway,
    three_gateways_in_zones,
    fifty_gateways_with_probes,
    three_hundred_gateways_and_restarts,
    loads_hold_tables,
    keys_in_order,
    tenants_and_retry_budget,
    memory_overcommitted,
    list_by_subscription,
    hedging_in_places,
);

const CORE: CoreTraffic = CoreTraffic {
    max_open_requests: 1000,
    peers: 0,
    drains_engines: false,
    shuts_down: false,
};

#[test]
fn core_alone() {
    check_core("core_alone", "one_gateway", CORE);
}

#[test]
fn core_with_few_open_requests() {
    let traffic = CoreTraffic {
        max_open_requests: 12,
        ..CORE
    };
    check_core(
        "core_with_few_open_requests",
        "memory_overcommitted",
        traffic,
    );
}

#[test]
fn core_with_peers_and_operators() {
    let traffic = CoreTraffic {
        peers: 3,
        drains_engines: true,
        ..CORE
    };
    check_core(
        "core_with_peers_and_operators",
        "three_gateways_in_zones",
        traffic,
    );
}

#[test]
fn core_with_loads_that_stops() {
    let traffic = CoreTraffic {
        drains_engines: true,
        shuts_down: true,
        ..CORE
    };
    check_core("core_with_loads_that_stops", "loads_hold_tables", traffic);
}

/// Plays a scenario in virtual time with the real core at each dispatcher. The simulator mixes every event,
/// in order, into one hash.
fn check_scenario(file: &str) {
    let path = format!("{}/lab/scenarios/{file}.json5", env!("CARGO_MANIFEST_DIR"));
    let full = Scenario::read(path.as_ref()).expect("the scenario file is valid");
    let scenario = Scenario {
        seconds: SCENARIO_S,
        ..full
    };
    let run = run_scenario(&scenario, Policy::Module, SCENARIO_SEED);
    let counts = format!(
        "simulated-events={} simulated-attempts={}",
        run.events, run.attempts
    );
    compare_texts(
        &format!("scenario {file}"),
        &counts,
        &format!("{:016x}", run.hash),
    );
}

#[test]
fn scenario_calm() {
    check_scenario("calm");
}

#[test]
fn scenario_rolling_restart() {
    check_scenario("rolling-restart");
}

#[test]
fn scenario_festival_night() {
    check_scenario("festival-night");
}

/// Kinds of line that must occur often enough for the digests to be meaningful, with the minimum count of
/// each.
const EXERCISED: [(&str, u64); 42] = [
    ("answer-failed", 50),
    ("answer-refused", 50),
    ("answer-served", 500),
    ("answer-timed-out", 50),
    ("answering", 100),
    ("arrival", 10_000),
    ("avoided", 100),
    ("cancel", 100),
    ("client-left", 100),
    ("drop", 100),
    ("end-cancelled", 100),
    ("end-error", 100),
    ("end-full", 100),
    ("end-not-sent", 20),
    ("end-reset", 100),
    ("end-served", 5_000),
    ("end-timed-out", 100),
    ("end-unreachable", 100),
    ("fail", 100),
    ("figures", 100),
    ("hold-out", 50),
    ("list-failure", 100),
    ("list-patch", 1_000),
    ("list-stale", 100),
    ("list-whole", 100),
    ("load-report", 1_000),
    ("note-done", 1_000),
    ("note-idle", 100),
    ("note-spills", 100),
    ("note-waits-load", 100),
    ("note-waits-memory", 100),
    ("note-works", 100),
    ("peer-message", 50),
    ("probe", 100),
    ("put-back", 50),
    ("refuse", 1_000),
    ("send", 5_000),
    ("share", 100),
    ("stop", 10),
    ("streaming", 100),
    ("subscribe", 20),
    ("terms", 1_000),
];

#[test]
fn streams_exercise_every_kind_of_event_and_action() {
    for (kind, min_count) in EXERCISED {
        let pairs = EXPECTED
            .iter()
            .flat_map(|row| row.counts.split_whitespace());
        let of_kind =
            pairs.filter_map(|pair| pair.split_once('=').filter(|(name, _)| *name == kind));
        let total: u64 = of_kind
            .map(|(_, count)| count.parse::<u64>().expect("the count is a number"))
            .sum();
        assert!(
            total >= min_count,
            "{kind}: {total} in all profiles, expected at least {min_count}"
        );
    }
}
