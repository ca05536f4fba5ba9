//! Tests of statuses and of the order of records.

use super::{SOURCE_A, SOURCE_B, Simulation, out_of_service, record, up};
use crate::decision::model::EngineState::{Draining, Gone, Ready};
use crate::membership::{InstanceRecord, MembershipConfig, Reason, Status, UpdateContent, Version};

#[test]
fn every_status_but_up_and_every_override_but_up_drains() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    let statuses = [
        Status::Down,
        Status::OutOfService,
        Status::Starting,
        Status::Unknown,
    ];
    for (number, status) in statuses.into_iter().enumerate() {
        let plain_id = format!("plain{number}");
        let overridden_id = format!("overridden{number}");
        let overridden = InstanceRecord {
            overridden: Some(status),
            ..up(&overridden_id, 5, 100)
        };
        let plain = record(&plain_id, status, 5, 100);
        simulation.delta(SOURCE_A, &[plain, overridden], &[]);
        assert_eq!(simulation.state(&plain_id), Draining, "{status:?}");
        assert_eq!(simulation.state(&overridden_id), Draining, "{status:?}");
    }
    let overridden_up = InstanceRecord {
        overridden: Some(Status::Up),
        ..record("down", Status::Down, 5, 100)
    };
    simulation.delta(SOURCE_A, &[overridden_up], &[]);
    assert_eq!(
        simulation.state("down"),
        Draining,
        "an override to UP does not put an engine into service"
    );
    simulation.delta(SOURCE_A, &[], &[("plain0", Version::new(5, 200))]);
    assert_eq!(simulation.state("plain0"), Gone);
}

#[test]
fn an_unknown_status_name_is_read_as_unknown() {
    assert_eq!(Status::parse("GARBLED"), Status::Unknown);
}

#[test]
fn an_outdated_list_of_any_source_does_not_put_a_drained_engine_back() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    simulation.full_list(SOURCE_A, &[up("e", 5, 100)]);
    simulation.delta(SOURCE_A, &[out_of_service("e", 5, 5_000)], &[]);
    assert_eq!(simulation.state("e"), Draining);
    // An older cached answer of the same registry, then a lagging second registry, then the second registry
    // alone while the first is unreachable.
    simulation.full_list(SOURCE_A, &[up("e", 5, 100)]);
    assert_eq!(simulation.state("e"), Draining);
    simulation.full_list(SOURCE_B, &[up("e", 5, 100)]);
    assert_eq!(simulation.state("e"), Draining);
    simulation.advance(20_000.0);
    simulation.full_list(SOURCE_B, &[up("e", 5, 100)]);
    assert_eq!(simulation.state("e"), Draining);
    assert_eq!(simulation.reason("e"), Reason::OlderThanDrain);
    assert!(simulation.view.members()["e"].records.outdated_records > 0);
    // A newer record of either registry puts the engine back.
    simulation.full_list(SOURCE_B, &[up("e", 6, 100)]);
    assert_eq!(simulation.state("e"), Ready);
}

#[test]
fn an_answer_to_an_earlier_request_never_counts_after_one_to_a_later_request() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    // The registry sends no timestamps, so only the order of requests orders its records.
    simulation.full_list(SOURCE_A, &[up("e", 0, 0)]);
    simulation.now += 100.0;
    simulation.full_list(SOURCE_A, &[record("e", Status::Down, 0, 0)]);
    let requested_at = simulation.now - 50.0;
    let late_answer = UpdateContent::Full(vec![up("e", 0, 0)]);
    simulation.update(SOURCE_A, requested_at, late_answer);
    assert_eq!(simulation.state("e"), Draining);
    simulation.now += 100.0;
    simulation.full_list(SOURCE_A, &[up("e", 0, 0)]);
    assert_eq!(simulation.state("e"), Ready);
}

#[test]
fn answers_count_after_the_clock_was_set_back() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    simulation.full_list(SOURCE_A, &[up("e", 5, 100), up("f", 5, 100)]);
    simulation.now -= 3_600_000.0;
    simulation.full_list(SOURCE_A, &[record("e", Status::Down, 5, 200)]);
    assert_eq!(simulation.state("e"), Draining);
    assert_eq!(simulation.state("f"), Gone);
}
