//! Tests of address ownership and of rejected addresses.

use super::{SOURCE_A, Simulation, address, up, up_at};
use crate::decision::model::EngineState::{Draining, Gone, Ready};
use crate::membership::report::Query;
use crate::membership::{InstanceRecord, MembershipConfig, Networks};

#[test]
fn an_address_that_two_instances_list_belongs_to_the_newer() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    let old = up_at("old", 5, 77);
    let other = up_at("other", 5, 78);
    let new = up_at("new", 9, 77);
    simulation.full_list(SOURCE_A, &[old.clone(), other.clone()]);
    simulation.full_list(SOURCE_A, &[old.clone(), other.clone(), new.clone()]);
    assert_eq!(simulation.state("old"), Draining);
    assert_eq!(simulation.published_address("old"), None);
    assert_eq!(simulation.state("new"), Ready);
    assert_eq!(simulation.published_address("new"), Some(address(77)));
    let report = simulation.view.report(simulation.now, &Query::default());
    assert!(
        report
            .members
            .iter()
            .any(|member| member.superseded_by.as_deref() == Some("new"))
    );
    // Listed again in another order: the address stays with the newer instance.
    simulation.full_list(SOURCE_A, &[new, other.clone(), old.clone()]);
    assert_eq!(simulation.state("old"), Draining);
    assert_eq!(simulation.state("new"), Ready);
    // When the newer instance is removed, the address returns to the one that is still listed with it.
    simulation.full_list(SOURCE_A, &[old, other]);
    assert_eq!(simulation.state("new"), Gone);
    assert_eq!(simulation.state("old"), Ready);
    assert_eq!(simulation.published_address("old"), Some(address(77)));
}

fn up_at_text(id: &str, address: &str, dirty: u64) -> InstanceRecord {
    InstanceRecord {
        address: Some(address.parse().unwrap()),
        ..up(id, dirty, 100)
    }
}

fn restricted_simulation() -> Simulation {
    let networks = ["127.0.0.0/8".parse().unwrap(), "fd00::/8".parse().unwrap()];
    Simulation::new(MembershipConfig {
        networks: Networks::only(&networks),
        ..MembershipConfig::default()
    })
}

#[test]
fn addresses_outside_the_networks_are_rejected_counted_and_logged() {
    let mut simulation = restricted_simulation();
    let unusable = [
        "198.51.100.7:3306",
        "[::ffff:198.51.100.7]:3306",
        "0.0.0.0:1",
        "127.0.0.1:0",
        "[ff02::1]:9",
    ];
    for (number, address) in unusable.into_iter().enumerate() {
        let id = format!("unusable{number}");
        simulation.delta(SOURCE_A, &[up_at_text(&id, address, 5)], &[]);
        assert_eq!(simulation.state(&id), Gone, "{address}");
    }
    let mapped = up_at_text("ok", "[::ffff:127.0.0.1]:3306", 5);
    simulation.delta(SOURCE_A, &[mapped], &[]);
    assert_eq!(
        simulation.published_address("ok"),
        Some(address(3306)),
        "an IPv4-mapped address counts as the IPv4 address"
    );
    // A known engine that is listed with a rejected address drains and keeps its former address.
    let rejected = up_at_text("ok", "198.51.100.7:3306", 6);
    simulation.delta(SOURCE_A, &[rejected], &[]);
    assert_eq!(simulation.state("ok"), Draining);
    assert_eq!(simulation.published_address("ok"), Some(address(3306)));
    assert_eq!(simulation.view.rejections().total(), 6);
    let logged = |line: &String| line.contains("198.51.100.7:3306") && line.contains("outside");
    assert!(simulation.log_lines.iter().any(logged));
    let corrected = up_at_text("ok", "127.0.0.1:3307", 7);
    simulation.delta(SOURCE_A, &[corrected], &[]);
    assert_eq!(simulation.state("ok"), Ready);
    assert_eq!(simulation.published_address("ok"), Some(address(3307)));
}
