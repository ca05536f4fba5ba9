//! Tests of the choice among many engines.

use super::{controller, entry, handle, list, query, settings};
use crate::decision::Controller;
use crate::decision::model::{
    Action, DeduplicationScope, Ended, EngineEntry, Event, Idempotency, Outcome,
};
use crate::decision::placement::{CANDIDATE_LIMIT, CHOICE_SIZE};
use std::ops::Range;

/// Submits queries of this work and returns how many of them are sent to the engine "new".
fn count_sent_to_new(controller: &mut Controller, ids: Range<u64>, work: f64) -> usize {
    let is_new =
        |action: &&Action| matches!(action, Action::Send { engine, .. } if engine == "new");
    let mut count = 0;
    for id in ids {
        let mut query = query(id);
        query.work = Some(work);
        let actions = handle(controller, 5000.0, Event::Query(query));
        count += actions.iter().filter(is_new).count();
    }
    count
}

/// Number of engines, more than one decision examines.
const LARGE_FLEET: usize = 8 * CANDIDATE_LIMIT;

fn large_fleet() -> Vec<EngineEntry> {
    let entries = (0..LARGE_FLEET).map(|number| EngineEntry {
        zone: Some(number % 4),
        ..entry(&format!("e{number}"), None)
    });
    entries.collect()
}

fn first_engine(actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        Action::Send { engine, .. } => Some(engine.clone()),
        _ => None,
    })
}

#[test]
fn in_a_large_fleet_healthy_engines_are_found_behind_any_number_of_failing_ones() {
    let mut controller = controller();
    list(&mut controller, 5000.0, large_fleet());
    for engine in controller.state.engines.iter_mut().skip(10) {
        (0..20).for_each(|_| engine.record_outcome(Outcome::Error));
    }
    let healthy: Vec<String> = (0..10).map(|number| format!("e{number}")).collect();
    for id in 0..5 {
        let actions = handle(&mut controller, 5000.0, Event::Query(query(id)));
        let engine = first_engine(&actions).expect("the query is sent");
        assert!(healthy.contains(&engine), "{engine} is not healthy");
    }
}

#[test]
fn in_a_large_fleet_a_warming_engine_is_among_those_chosen() {
    let mut controller = controller();
    let mut entries = large_fleet();
    entries.push(EngineEntry {
        zone: Some(0),
        ..entry("new", Some(4900.0))
    });
    list(&mut controller, 5000.0, entries);
    for number in 0..LARGE_FLEET {
        let index = controller
            .state
            .engines
            .find(&format!("e{number}"))
            .unwrap();
        controller.state.engines.record_activity(index, 4900.0, 0.0);
    }
    let new = count_sent_to_new(&mut controller, 0..20, 10.0);
    assert!(new >= 2, "{new} of 20 queries went to the warming engine");
}

#[test]
fn in_a_large_fleet_a_query_that_may_repeat_only_in_its_zone_finds_an_engine_there() {
    let mut settings = settings();
    settings.limits.max_attempts = 2;
    settings.classes[0].idempotency = Idempotency::Keyed {
        group: DeduplicationScope::Zone,
        window: 5000.0,
    };
    let mut controller = Controller::new(settings, 1).unwrap();
    list(&mut controller, 5000.0, large_fleet());
    let actions = handle(&mut controller, 5000.0, Event::Query(query(1)));
    let first = first_engine(&actions).expect("the query is sent");
    let zone_of = |engine: &str| engine[1..].parse::<usize>().unwrap() % 4;
    // Only engines of other zones have responded before.
    for number in (0..LARGE_FLEET).filter(|number| number % 4 != zone_of(&first)) {
        let index = controller
            .state
            .engines
            .find(&format!("e{number}"))
            .unwrap();
        controller.state.engines.record_activity(index, 5000.0, 0.0);
    }
    let ended = Ended {
        id: 1,
        attempt: 0,
        outcome: Outcome::Reset,
        last: false,
        latency: 10.0,
        work: None,
        memory_mb: None,
        report: vec![],
    };
    let actions = handle(&mut controller, 5010.0, Event::AttemptEnded(ended));
    let second = first_engine(&actions).expect("the query is sent again");
    assert_eq!(zone_of(&second), zone_of(&first));
}

/// Guards against idle warming engines after half of the engines were replaced: every dispatcher
/// preferred four other engines that had responded before and had capacity, and never chose a
/// warming engine that its random admission allowed. The warming engines were nearly idle while the
/// others ran out of memory.
#[test]
fn a_warming_engine_that_may_be_used_is_among_those_chosen_though_enough_others_are_known() {
    let mut controller = controller();
    let known = (0..2 * CHOICE_SIZE).map(|number| entry(&format!("met{number}"), None));
    let entries = known.chain([entry("new", Some(4000.0))]).collect();
    list(&mut controller, 5000.0, entries);
    for engine in controller.state.engines.iter_mut() {
        if engine.started.is_none() {
            engine.last_response = 4900.0;
        }
    }
    let new = count_sent_to_new(&mut controller, 0..20, 10.0);
    assert!(
        (2..10).contains(&new),
        "{new} of 20 queries went to the warming engine, which is one of several"
    );
    assert_eq!(
        count_sent_to_new(&mut controller, 20..40, 1e6),
        0,
        "no query that exceeds the budget is sent to the warming engine"
    );
}
