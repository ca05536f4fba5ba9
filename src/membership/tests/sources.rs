//! Tests of unreachable sources and of sources that the configuration replaces.

use super::{SOURCE_A, SOURCE_B, Simulation, many, up};
use crate::decision::model::EngineState::{Gone, Ready};
use crate::membership::MembershipConfig;

#[test]
fn the_last_list_stays_in_force_while_every_registry_is_unreachable() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    simulation.full_list(SOURCE_A, &[up("e", 5, 100)]);
    for _ in 0..100 {
        simulation.advance(10_000.0);
        simulation.fail(SOURCE_A);
        assert_eq!(simulation.state("e"), Ready);
    }
}

#[test]
fn replacing_the_servers_drops_nothing_until_the_new_ones_answer() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    simulation.full_list(SOURCE_A, &many(10));
    let config = MembershipConfig::default();
    let change = simulation
        .view
        .configure(simulation.now, config, &[SOURCE_B.to_string()]);
    simulation.apply(change);
    assert_eq!(simulation.published.len(), 10);
    simulation.advance(60_000.0);
    simulation.full_list(SOURCE_B, &many(9));
    assert_eq!(simulation.state("e0009"), Gone);
    assert_eq!(simulation.state("e0008"), Ready);
}
