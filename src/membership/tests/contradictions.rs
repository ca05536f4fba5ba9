//! Tests of sources that answer and differ on one instance.

use super::{SOURCE_A, SOURCE_B, Simulation, many, out_of_service, up};
use crate::decision::model::EngineState::{Draining, Gone, Ready};
use crate::membership::report::{MemberFilter, Query};
use crate::membership::{MembershipConfig, Reason, Status, Version};

#[test]
fn a_contradiction_is_resolved_towards_draining_and_reported() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    simulation.full_list(SOURCE_A, &[out_of_service("e", 5, 100)]);
    simulation.full_list(SOURCE_B, &[up("e", 5, 100_000)]);
    assert_eq!(simulation.state("e"), Draining);
    assert!(matches!(
        simulation.reason("e"),
        Reason::Contradicted(_, Status::OutOfService)
    ));
    let query = Query {
        filter: Some(MemberFilter::Contradicted),
        ..Query::default()
    };
    let report = simulation.view.report(simulation.now, &query);
    assert_eq!(report.members.len(), 1);
    assert_eq!(report.counts.contradicted, 1);
    let reason = &report.members[0].reason;
    assert!(reason.contains(SOURCE_A), "{reason}");
    // A newer timestamp that the instance itself set resolves the contradiction.
    simulation.delta(SOURCE_B, &[up("e", 6, 100_500)], &[]);
    assert_eq!(simulation.state("e"), Ready);
}

#[test]
fn replicas_that_keep_contradicting_each_other_change_the_engine_once() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    simulation.full_list(SOURCE_A, &[up("e", 5, 100)]);
    simulation.full_list(SOURCE_B, &[up("e", 5, 100)]);
    for round in 0..50 {
        let updated = 200 + 10 * round;
        simulation.now += 1000.0;
        simulation.full_list(SOURCE_A, &[out_of_service("e", 5, updated)]);
        simulation.now += 1000.0;
        simulation.full_list(SOURCE_B, &[up("e", 5, updated + 5)]);
        assert_eq!(simulation.state("e"), Draining, "round {round}");
    }
    assert_eq!(
        simulation.view.members()["e"].state_changes,
        2,
        "into service, and out of it"
    );
}

#[test]
fn an_engine_that_one_replica_drops_and_another_lists_drains_during_the_grace() {
    let mut simulation = Simulation::new(MembershipConfig {
        missing_grace: 10_000.0,
        ..MembershipConfig::default()
    });
    simulation.full_list(SOURCE_A, &[up("e", 5, 100), up("f", 5, 100)]);
    simulation.full_list(SOURCE_B, &[up("e", 5, 100), up("f", 5, 100)]);
    simulation.delta(SOURCE_A, &[], &[("e", Version::new(5, 200))]);
    assert_eq!(simulation.state("e"), Draining);
    assert_eq!(simulation.state("f"), Ready);
    assert!(matches!(simulation.reason("e"), Reason::MissingFrom(_)));
    simulation.advance(9_000.0);
    simulation.delta(SOURCE_A, &[], &[]);
    simulation.delta(SOURCE_B, &[], &[]);
    assert_eq!(simulation.state("e"), Draining);
    simulation.advance(1_500.0);
    assert_eq!(
        simulation.state("e"),
        Ready,
        "an instance that renews its lease anywhere is alive"
    );
    simulation.delta(SOURCE_B, &[], &[("e", Version::new(5, 300))]);
    assert_eq!(simulation.state("e"), Gone);
}

#[test]
fn one_replica_that_loses_its_list_drains_no_engine() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    simulation.full_list(SOURCE_A, &many(50));
    simulation.full_list(SOURCE_B, &many(50));
    simulation.full_list(SOURCE_A, &[]);
    let published = &simulation.published;
    assert!(
        published.values().all(|engine| engine.state == Ready),
        "preserved, not drained"
    );
    assert_eq!(simulation.view.preserved_count(), 50);
}
