//! Tests of a start from the snapshot of an earlier process.

use super::{SOURCE_A, SOURCE_B, Simulation, out_of_service, up};
use crate::decision::model::EngineState::{Draining, Gone, Ready};
use crate::decision::model::ListUpdate;
use crate::membership::MembershipConfig;
use crate::membership::report::Query;

#[test]
fn a_start_with_every_registry_unreachable_serves_the_snapshot_as_unconfirmed() {
    let mut earlier = Simulation::new(MembershipConfig::default());
    earlier.full_list(SOURCE_A, &[up("e", 5, 100), out_of_service("d", 5, 9_000)]);
    let snapshot = earlier.view.snapshot(earlier.now).unwrap();
    let stored = serde_json::to_string(&snapshot).unwrap();
    let mut simulation = Simulation::new(MembershipConfig::default());
    simulation.now += 40_000.0;
    let loaded = serde_json::from_str(&stored).unwrap();
    simulation.view.restore(simulation.now, loaded);
    assert!(
        simulation.published.is_empty(),
        "nothing is published while a registry may still answer"
    );
    let change = simulation.view.serve_restored(simulation.now);
    assert_eq!(
        change.as_ref().map(|change| change.update),
        Some(ListUpdate::Stale)
    );
    simulation.apply(change);
    assert_eq!(simulation.state("e"), Ready);
    assert_eq!(simulation.state("d"), Draining);
    assert_eq!(
        simulation.published["e"].started,
        Some(simulation.now),
        "it is warming up, since it may have restarted"
    );
    let report_at = simulation.now + 500.0;
    let report = simulation.view.report(report_at, &Query::default());
    assert_eq!(report.snapshot_age_ms, Some(40_500.0));
    assert_eq!(report.counts.unconfirmed, 2);
    // A lagging registry answers first: it cannot undo the drain, and it confirms the other engine.
    simulation.now += 1000.0;
    simulation.full_list(SOURCE_B, &[up("e", 5, 100), up("d", 5, 100)]);
    assert_eq!(simulation.state("e"), Ready);
    assert_eq!(simulation.state("d"), Draining);
    assert_eq!(simulation.published["e"].started, None);
}

#[test]
fn the_first_list_takes_precedence_over_the_snapshot() {
    let mut earlier = Simulation::new(MembershipConfig::default());
    earlier.full_list(SOURCE_A, &[up("removed", 5, 100), up("e", 5, 100)]);
    let snapshot = earlier.view.snapshot(earlier.now).unwrap();
    let mut simulation = Simulation::new(MembershipConfig::default());
    simulation.now += 500_000.0;
    simulation.view.restore(simulation.now, snapshot);
    simulation.full_list(SOURCE_A, &[up("e", 5, 100)]);
    assert_eq!(simulation.state("e"), Ready);
    assert_eq!(simulation.state("removed"), Gone);
    assert!(simulation.view.serve_restored(simulation.now).is_none());
}
