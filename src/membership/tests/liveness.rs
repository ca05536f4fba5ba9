//! Tests of the liveness evidence from connections.

use super::{SOURCE_A, Simulation, up};
use crate::decision::model::EngineState::Ready;
use crate::membership::{InstanceRecord, MembershipConfig, Observation};

fn opened_now(simulation: &Simulation) -> Observation {
    Observation::Opened { at: simulation.now }
}

#[test]
fn connections_that_were_all_lost_and_are_back_show_a_restart_whatever_the_list_says() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    let listed = InstanceRecord {
        started: Some(10.0),
        ..up("e", 5, 100)
    };
    simulation.full_list(SOURCE_A, std::slice::from_ref(&listed));
    let opened = opened_now(&simulation);
    assert!(
        !simulation.observe("e", opened),
        "the first connection is no evidence of a restart"
    );
    // The registry is unreachable from here on.
    simulation.advance(60_000.0);
    let one_of_two = Observation::Broken {
        open_connections: 1,
    };
    assert!(!simulation.observe("e", one_of_two));
    let last = Observation::Broken {
        open_connections: 0,
    };
    assert!(!simulation.observe("e", last));
    assert!(simulation.view.members()["e"].liveness.is_unreachable());
    simulation.now += 3_000.0;
    let back_at = simulation.now - 2.0;
    assert!(simulation.observe("e", Observation::Opened { at: back_at }));
    assert_eq!(simulation.state("e"), Ready);
    assert_eq!(simulation.published["e"].started, Some(back_at));
    // The old list arrives again, and changes nothing.
    simulation.full_list(SOURCE_A, &[listed]);
    assert_eq!(simulation.published["e"].started, Some(back_at));
    let opened = opened_now(&simulation);
    assert!(
        !simulation.observe("e", opened),
        "the restart is reported only once"
    );
}

#[test]
fn an_engine_without_connections_while_no_registry_answered_is_taken_as_restarted() {
    let mut simulation = Simulation::new(MembershipConfig::default());
    let closed = Observation::Closed {
        open_connections: 0,
    };
    simulation.full_list(SOURCE_A, &[up("e", 5, 100)]);
    let opened = opened_now(&simulation);
    simulation.observe("e", opened);
    simulation.observe("e", closed);
    simulation.now += 6_000.0;
    let opened = opened_now(&simulation);
    assert!(
        !simulation.observe("e", opened),
        "the registry would have reported a restart"
    );
    simulation.observe("e", closed);
    simulation.advance(30_000.0);
    let opened = opened_now(&simulation);
    assert!(
        simulation.observe("e", opened),
        "no registry would have reported it"
    );
}
