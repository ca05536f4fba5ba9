//! Tests of instances that disappear in large numbers.

use super::{SOURCE_A, Simulation, many};
use crate::decision::model::EngineState::{Gone, Ready};
use crate::membership::report::{MemberFilter, Query};
use crate::membership::{InstanceRecord, MembershipConfig, Observation, Status, Version};

#[test]
fn a_list_of_one_engine_after_one_of_200_preserves_the_others_and_reports_them() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    simulation.full_list(SOURCE_A, &many(200));
    simulation.full_list(SOURCE_A, &many(1));
    assert_eq!(simulation.ready_count(), 200);
    let query = Query {
        filter: Some(MemberFilter::Preserved),
        limit: Some(3),
        ..Query::default()
    };
    let report = simulation.view.report(simulation.now, &query);
    assert_eq!(report.counts.preserved, 199);
    assert_eq!(report.members.len(), 3);
    assert_eq!(report.next.as_deref(), Some("e0003"));
    let preservation = report.members[0].preservation.as_ref().unwrap();
    assert!(preservation.reason.contains("199 of 200"));
    assert!(simulation.logged("199 of 200"));
}

#[test]
fn refused_connections_confirm_a_disappearance_and_a_list_that_names_the_engine_ends_it() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    simulation.full_list(SOURCE_A, &many(200));
    simulation.full_list(SOURCE_A, &many(1));
    let refused = Observation::Refused {
        open_connections: 0,
    };
    simulation.observe("e0007", refused);
    assert_eq!(simulation.state("e0007"), Gone);
    assert_eq!(simulation.state("e0008"), Ready);
    simulation.full_list(SOURCE_A, &many(200));
    assert_eq!(simulation.view.preserved_count(), 0);
    assert_eq!(simulation.state("e0007"), Ready);
    // The preservation of a second disappearance ends after its duration.
    simulation.full_list(SOURCE_A, &many(1));
    simulation.advance(60_000.0);
    simulation.full_list(SOURCE_A, &many(1));
    assert_eq!(simulation.state("e0100"), Ready);
    simulation.advance(61_000.0);
    simulation.full_list(SOURCE_A, &many(1));
    assert_eq!(simulation.state("e0100"), Gone);
    assert_eq!(simulation.state("e0000"), Ready);
}

#[test]
fn engines_of_a_list_that_shrinks_step_by_step_are_preserved_too() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    simulation.full_list(SOURCE_A, &many(100));
    for listed in (0..100).rev().step_by(5) {
        simulation.now += 1000.0;
        simulation.full_list(SOURCE_A, &many(listed));
    }
    let ready = simulation.ready_count();
    assert!(
        (74..=80).contains(&ready),
        "{ready}: a quarter may be removed within the duration"
    );
}

#[test]
fn a_few_missing_engines_and_engines_that_drained_before_are_not_preserved() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    simulation.full_list(SOURCE_A, &many(20));
    simulation.full_list(SOURCE_A, &many(18));
    assert_eq!(simulation.state("e0019"), Gone);
    assert_eq!(simulation.view.preserved_count(), 0);
    let drained: Vec<InstanceRecord> = many(18)
        .into_iter()
        .map(|record| InstanceRecord {
            status: Status::OutOfService,
            version: Version::new(5, 200),
            ..record
        })
        .collect();
    simulation.full_list(SOURCE_A, &drained);
    simulation.full_list(SOURCE_A, &many(1));
    assert_eq!(
        simulation.view.preserved_count(),
        0,
        "the removal of a drained engine was expected"
    );
    assert_eq!(simulation.state("e0005"), Gone);
}

#[test]
fn administratively_drained_engines_do_not_count_as_missing() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    simulation.full_list(SOURCE_A, &many(8));
    let drained = (2..8).map(|number| format!("e{number:04}")).collect();
    simulation.view.set_administratively_drained(drained);
    simulation.full_list(SOURCE_A, &many(2));
    assert_eq!(simulation.view.preserved_count(), 0);
}
