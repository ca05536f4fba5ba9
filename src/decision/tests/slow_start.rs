//! Tests of the slow-start budget of a warming engine.

use super::{controller, entry, list};
use crate::decision::model::FleetEvidence;
use crate::decision::model::slow_start_usage::SlowStartUsage;
use crate::decision::slow_start::SLOW_START_SAFETY_FACTOR;

/// Guards against a budget that does not grow during warm-up: after six in ten engines were replaced
/// at once, each new engine was limited to its initial capacity for its whole warm-up and used 3 to
/// 11% of its memory while the others were full.
#[test]
fn a_warming_engine_gets_more_with_its_age_and_never_more_than_it_bears_at_that_age() {
    let mut controller = controller();
    list(&mut controller, 10.0, vec![entry("new", Some(10.0))]);
    let new = controller.state.engines.find("new").unwrap();
    // The greatest work of a query that fits alone in its window is 0.6 x 3 x 8 cores x 1 s x the
    // capacity.
    for (age, capacity) in [(0.0, 0.3), (500.0, 0.65), (1000.0, 1.0), (1500.0, 1.0)] {
        let now = 10.0 + age;
        controller.state.now = now;
        let max_work = SLOW_START_SAFETY_FACTOR * 3.0 * 8.0 * 1000.0 * capacity;
        let probability = |controller: &super::Controller, work| {
            controller.slow_start_probability(&controller.state.engines[new], work)
        };
        assert!(
            probability(&controller, max_work * 0.999) > 0.0,
            "a query within the budget is admitted {age} ms after the start"
        );
        let usage = &mut controller.state.engines[new].slow_start_usage;
        usage.record(now, 1000.0, max_work * 0.5, 1.0);
        assert!(
            probability(&controller, max_work * 0.501) == 0.0,
            "work that was sent in this window counts against the budget"
        );
        controller.state.engines[new].slow_start_usage = SlowStartUsage::default();
    }
}

/// Returns the probability of admission of a first query of this work at an engine that starts now.
fn first_probability(dispatchers: u32, evidence: Option<FleetEvidence>, work: f64) -> f64 {
    let mut settings = super::settings();
    settings.dispatchers = dispatchers;
    let mut controller = crate::decision::controller::Controller::new(settings, 1).unwrap();
    list(&mut controller, 10.0, vec![entry("new", Some(10.0))]);
    if let Some(evidence) = evidence {
        controller.observe_fleet(evidence);
    }
    let new = controller.state.engines.find("new").unwrap();
    controller.slow_start_probability(&controller.state.engines[new], work)
}

/// Returns the work of a query of which a starting engine sustains `queries` in a window; in all, it
/// sustains 3 x 8 cores x 1 s x 0.3 of its capacity.
fn work_for(queries: f64) -> f64 {
    3.0 * 8.0 * 1000.0 * 0.3 / queries
}

/// Returns the mean number of queries that a fleet of `running` dispatchers sends in one window, if
/// each sends its share.
fn fleet_total(running: u32, dispatchers: u32, evidence: Option<FleetEvidence>, work: f64) -> f64 {
    f64::from(running) * first_probability(dispatchers, evidence, work)
}

/// The configuration names 150 of 300 dispatchers and no evidence corrects it, so that each dispatcher
/// stays within the share that applies to twice the configured number.
#[test]
fn a_fleet_of_twice_the_configured_size_stays_under_the_limit_in_the_mean() {
    let work = work_for(100.0);
    let limit = 100.0 + 2.0 * 10.0 + 2.0;
    let sum = fleet_total(300, 150, None, work);
    let deviations = 4.0 * sum.sqrt();
    assert!(sum + deviations <= limit + 1e-9, "{sum} of {limit}");
    assert!(sum > 0.5 * limit, "only {sum} of {limit} is used");
}

#[test]
fn a_confirmed_number_gives_each_dispatcher_more_than_an_unconfirmed_one() {
    let work = work_for(100.0);
    let confirmed = FleetEvidence {
        min_dispatchers: 0,
        confirmed_until: Some(1000.0),
    };
    let (with, without) = (
        fleet_total(150, 150, Some(confirmed), work),
        fleet_total(150, 150, None, work),
    );
    assert!(with > 1.2 * without, "{with} and {without}");
    assert!(with + 4.0 * with.sqrt() <= 100.0 + 1e-9, "{with}");
}

#[test]
fn dispatchers_that_are_reported_beyond_the_configured_number_share_as_well() {
    let work = work_for(100.0);
    let reported = FleetEvidence {
        min_dispatchers: 600,
        confirmed_until: None,
    };
    let sum = fleet_total(600, 150, Some(reported), work);
    assert!(sum + 4.0 * sum.sqrt() <= 100.0 + 1e-9, "{sum}");
}

/// The limit is in queries of mean work: rare heavy queries have no larger allowance for random
/// variation than the others.
#[test]
fn heavy_queries_have_the_allowance_of_mean_ones() {
    let mut settings = super::settings();
    settings.dispatchers = 10;
    let mut controller = crate::decision::controller::Controller::new(settings, 1).unwrap();
    list(&mut controller, 10.0, vec![entry("new", Some(10.0))]);
    let new = controller.state.engines.find("new").unwrap();
    let heavy = work_for(2.0);
    let probability = |controller: &super::Controller| {
        controller.slow_start_probability(&controller.state.engines[new], heavy)
    };
    let alone = probability(&controller);
    (0..100).for_each(|_| {
        controller
            .state
            .mean_slow_start_work
            .add(heavy / 100.0, 1.0)
    });
    let among_light = probability(&controller);
    assert!(among_light <= alone, "{among_light} and {alone}");
}
