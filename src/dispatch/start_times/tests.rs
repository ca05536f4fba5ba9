//! Starts of engines under clocks that are right, wrong and stepped.

use super::{MAX_CLOCK_ERROR_MS, Now, REQUEST_DELAYS_MS, StartTimes};
use crate::decision::model::{EngineState, ListUpdate};
use crate::gossip::{EngineAge, MAX_STARTS_PER_MESSAGE, StartId};
use crate::membership::{Change, Engine};

const HOUR_MS: f64 = 3_600_000.0;

fn at(process_ms: f64, clock_error_ms: f64) -> Now {
    Now {
        process_ms,
        wall_clock_ms: process_ms + clock_error_ms,
    }
}

#[test]
fn no_error_of_two_clocks_makes_an_engine_older_than_it_is() {
    const STARTED: f64 = 1e12;
    const HEARD_AFTER: f64 = 1500.0;
    for error in [-HOUR_MS, -5000.0, 0.0, 5000.0, HOUR_MS] {
        for engine_error in [-HOUR_MS, 0.0, HOUR_MS] {
            let mut starts = StartTimes::default();
            let now = at(STARTED + HEARD_AFTER, error);
            let latest = starts.locate(now, "e", STARTED + engine_error).latest;
            assert!((STARTED..=now.process_ms).contains(&latest));
        }
    }
}

#[test]
fn the_same_start_keeps_its_time_and_another_gets_its_own() {
    let mut starts = StartTimes::default();
    let first = starts.locate(at(1e12, 0.0), "e", 9e11);
    assert_eq!(
        starts.locate(at(1e12 + 60_000.0, HOUR_MS), "e", 9e11),
        first
    );
    let second = at(1e12 + 70_000.0, 0.0);
    assert_eq!(
        starts.locate(second, "e", 1e12 + 69_000.0).latest,
        second.process_ms
    );
}

#[test]
fn a_start_longer_ago_than_any_clock_error_is_old() {
    let mut starts = StartTimes::default();
    let day = 24.0 * HOUR_MS;
    let latest = starts.locate(at(1e12, 0.0), "e", 1e12 - day).latest;
    assert_eq!(latest, 1e12 - day + MAX_CLOCK_ERROR_MS);
}

#[test]
fn the_estimate_is_never_in_the_future() {
    let mut starts = StartTimes::default();
    let now = at(1e12, -HOUR_MS);
    assert_eq!(starts.locate(now, "told ahead", 1e12).estimate, 1e12);
    let right = at(1e12, 0.0);
    let time = starts.locate(right, "told rightly", 1e12 - 700.0);
    assert_eq!(time.estimate, 1e12 - 700.0);
}

#[test]
fn engines_that_are_removed_are_forgotten() {
    let engine = |id: &str, state| Engine {
        id: id.into(),
        address: None,
        state,
        zone: None,
        kind: None,
        cell: 0,
        started: Some(1.0),
    };
    let mut starts = StartTimes::default();
    for id in ["a", "b", "c"] {
        starts.locate(at(1e12, 0.0), id, 1e12);
    }
    starts.forget_removed(&Change {
        update: ListUpdate::Patch,
        engines: vec![engine("a", EngineState::Gone)],
    });
    assert_eq!(starts.by_engine.len(), 2);
    starts.forget_removed(&Change {
        update: ListUpdate::Snapshot,
        engines: vec![engine("b", EngineState::Ready)],
    });
    assert_eq!(starts.by_engine.len(), 1);
}

/// A dispatcher that has just started takes every engine for cold that started lately. A peer that heard of the start
/// knows better, whatever the wall clocks say.
#[test]
fn a_peer_that_has_known_a_start_for_longer_makes_the_engine_older() {
    const HEARD: f64 = 1e12;
    for error in [-HOUR_MS, 0.0, HOUR_MS] {
        let mut peer = StartTimes::default();
        peer.locate(at(HEARD, -error), "e", HEARD);
        let mut starts = StartTimes::default();
        let began = HEARD + 20_000.0;
        assert_eq!(starts.locate(at(began, error), "e", HEARD).latest, began);
        let requested = starts.due_requests(began);
        let ages = peer.ages(began + 3.0, &requested);
        assert_eq!(ages.len(), 1);
        let learned = starts.learn(began + 6.0, ages[0]);
        assert_eq!(learned, Some(("e", HEARD + 3.0)));
        let again = starts.locate(at(began + 1000.0, error), "e", HEARD);
        assert_eq!(again.latest, HEARD + 3.0, "the same start keeps its time");
    }
}

#[test]
fn a_peer_that_knows_less_or_another_start_changes_nothing() {
    let mut starts = StartTimes::default();
    let latest = starts.locate(at(1e12, 0.0), "e", 9e11).latest;
    let age = |start, min_age| EngineAge { start, min_age };
    let known = StartId::new("e", 9e11);
    assert_eq!(starts.learn(1e12 + 500.0, age(known, 400.0)), None);
    let earlier_start = StartId::new("e", 8e11);
    assert_eq!(starts.learn(1e12 + 500.0, age(earlier_start, 1e9)), None);
    assert_eq!(starts.locate(at(1e12, 0.0), "e", 9e11).latest, latest);
    assert_eq!(starts.ages(1e12, &[earlier_start]), []);
}

/// After a restart that the peer has not heard of, its age is that of the process before.
#[test]
fn a_restart_voids_what_was_learned_of_the_start_before() {
    let mut starts = StartTimes::default();
    starts.locate(at(1e12, 0.0), "e", 9e11);
    let restarted = at(1e12 + 5000.0, 0.0);
    starts.locate(restarted, "e", 1e12 + 4000.0);
    let old = EngineAge {
        start: StartId::new("e", 9e11),
        min_age: 1e9,
    };
    assert_eq!(starts.learn(1e12 + 5100.0, old), None);
}

#[test]
fn each_start_is_asked_about_a_few_times_a_message_at_a_time() {
    let mut starts = StartTimes::default();
    let count = MAX_STARTS_PER_MESSAGE + 5;
    for engine in 0..count {
        starts.locate(at(1e12, 0.0), &format!("e{engine}"), 1e12);
    }
    assert_eq!(starts.due_requests(1e12).len(), MAX_STARTS_PER_MESSAGE);
    assert_eq!(starts.due_requests(1e12).len(), 5);
    assert_eq!(starts.due_requests(1e12).len(), 0);
    let mut requested = count;
    for step in 1..1000 {
        requested += starts.due_requests(1e12 + f64::from(step) * 100.0).len();
    }
    assert_eq!(requested, count * REQUEST_DELAYS_MS.len());
    assert!(!starts.has_unresolved);
}
