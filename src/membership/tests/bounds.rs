//! Tests of the limits on stored data.

use super::{SOURCE_A, Simulation, up};
use crate::membership::{InstanceRecord, MembershipConfig};

const MAX_INSTANCES: usize = 50;
const MAX_TOMBSTONES: usize = 20;

fn bounded_simulation() -> Simulation {
    Simulation::new(MembershipConfig {
        max_instances: MAX_INSTANCES,
        max_tombstones: MAX_TOMBSTONES,
        tombstone_ttl: 5_000.0,
        ..MembershipConfig::default()
    })
}

#[test]
fn churn_of_ids_does_not_grow_memory() {
    let mut simulation = bounded_simulation();
    for first in 0..2_000u64 {
        simulation.now += 100.0;
        let records: Vec<InstanceRecord> = (first..first + 10)
            .map(|number| up(&format!("c{number}"), number, 1))
            .collect();
        simulation.full_list(SOURCE_A, &records);
        let stored = simulation.view.members().len();
        assert!(stored <= MAX_INSTANCES + MAX_TOMBSTONES, "{stored}");
    }
    let too_many: Vec<InstanceRecord> = (0..500)
        .map(|number| up(&format!("x{number}"), 9_999, 1))
        .collect();
    simulation.full_list(SOURCE_A, &too_many);
    assert!(simulation.view.members().len() <= MAX_INSTANCES + MAX_TOMBSTONES);
    assert!(simulation.view.instances_over_limit() > 0);
    let without_address: Vec<InstanceRecord> = (0..500)
        .map(|number| InstanceRecord {
            address: None,
            ..up(&format!("p{number}"), 1, 1)
        })
        .collect();
    simulation.delta(SOURCE_A, &without_address, &[]);
    assert!(simulation.view.rejections().recent().count() <= 64);
    assert_eq!(simulation.view.rejections().total(), 500);
}
