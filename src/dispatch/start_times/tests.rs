//! Tests of engine start times with wall clocks that are right, wrong or stepped.

use super::{ClockReading, MAX_CLOCK_ERROR_MS, REQUEST_DELAYS_MS, StartTimes};
use crate::decision::model::{EngineState, ListUpdate};
use crate::gossip::{EngineAge, MAX_STARTS_PER_MESSAGE, StartId};
use crate::membership::{DiscoveredEngine, EndpointListChange};

const HOUR_MS: f64 = 3_600_000.0;

fn at(process_ms: f64, clock_error_ms: f64) -> ClockReading {
    ClockReading {
        process_ms,
        wall_clock_ms: process_ms + clock_error_ms,
    }
}

#[test]
fn errors_of_two_clocks_never_make_an_engine_older_than_it_is() {
    const STARTED: f64 = 1e12;
    const REPORT_DELAY_MS: f64 = 1500.0;
    for error in [-HOUR_MS, -5000.0, 0.0, 5000.0, HOUR_MS] {
        for engine_error in [-HOUR_MS, 0.0, HOUR_MS] {
            let mut starts = StartTimes::default();
            let now = at(STARTED + REPORT_DELAY_MS, error);
            let latest = starts.record_start(now, "e", STARTED + engine_error).latest;
            assert!((STARTED..=now.process_ms).contains(&latest));
        }
    }
}

#[test]
fn the_same_start_keeps_its_time_and_another_gets_its_own() {
    let mut starts = StartTimes::default();
    let first = starts.record_start(at(1e12, 0.0), "e", 9e11);
    assert_eq!(
        starts.record_start(at(1e12 + 60_000.0, HOUR_MS), "e", 9e11),
        first
    );
    let second = at(1e12 + 70_000.0, 0.0);
    assert_eq!(
        starts.record_start(second, "e", 1e12 + 69_000.0).latest,
        second.process_ms
    );
}

#[test]
fn a_start_longer_ago_than_any_clock_error_is_old() {
    let mut starts = StartTimes::default();
    let day = 24.0 * HOUR_MS;
    let latest = starts.record_start(at(1e12, 0.0), "e", 1e12 - day).latest;
    assert_eq!(latest, 1e12 - day + MAX_CLOCK_ERROR_MS);
}

#[test]
fn the_estimate_is_never_in_the_future() {
    let mut starts = StartTimes::default();
    let now = at(1e12, -HOUR_MS);
    assert_eq!(
        starts
            .record_start(now, "reported in the future", 1e12)
            .estimate,
        1e12
    );
    let right = at(1e12, 0.0);
    let time = starts.record_start(right, "reported correctly", 1e12 - 700.0);
    assert_eq!(time.estimate, 1e12 - 700.0);
}

#[test]
fn unlisted_engines_are_removed() {
    let engine = |id: &str, state| DiscoveredEngine {
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
        starts.record_start(at(1e12, 0.0), id, 1e12);
    }
    starts.remove_unlisted(&EndpointListChange {
        update: ListUpdate::Patch,
        engines: vec![engine("a", EngineState::Gone)],
    });
    assert_eq!(starts.by_engine.len(), 2);
    starts.remove_unlisted(&EndpointListChange {
        update: ListUpdate::Snapshot,
        engines: vec![engine("b", EngineState::Ready)],
    });
    assert_eq!(starts.by_engine.len(), 1);
}

/// A dispatcher that has just started assumes that every recently started engine has just started. A peer
/// that has known the start for longer provides a lower bound of the engine's age that does not depend on the
/// wall clocks.
#[test]
fn a_peer_that_has_known_a_start_for_longer_raises_the_age_of_the_engine() {
    const REPORTED: f64 = 1e12;
    for error in [-HOUR_MS, 0.0, HOUR_MS] {
        let mut peer = StartTimes::default();
        peer.record_start(at(REPORTED, -error), "e", REPORTED);
        let mut starts = StartTimes::default();
        let began = REPORTED + 20_000.0;
        assert_eq!(
            starts.record_start(at(began, error), "e", REPORTED).latest,
            began
        );
        let requested = starts.due_requests(began);
        let ages = peer.ages(began + 3.0, &requested);
        assert_eq!(ages.len(), 1);
        let learned = starts.apply_peer_age(began + 6.0, ages[0]);
        assert_eq!(learned, Some(("e", REPORTED + 3.0)));
        let again = starts.record_start(at(began + 1000.0, error), "e", REPORTED);
        assert_eq!(
            again.latest,
            REPORTED + 3.0,
            "the same start keeps its time"
        );
    }
}

#[test]
fn a_lower_age_or_another_start_from_a_peer_changes_nothing() {
    let mut starts = StartTimes::default();
    let latest = starts.record_start(at(1e12, 0.0), "e", 9e11).latest;
    let age = |start, min_age| EngineAge { start, min_age };
    let known = StartId::new("e", 9e11);
    assert_eq!(starts.apply_peer_age(1e12 + 500.0, age(known, 400.0)), None);
    let earlier_start = StartId::new("e", 8e11);
    assert_eq!(
        starts.apply_peer_age(1e12 + 500.0, age(earlier_start, 1e9)),
        None
    );
    assert_eq!(starts.record_start(at(1e12, 0.0), "e", 9e11).latest, latest);
    assert_eq!(starts.ages(1e12, &[earlier_start]), []);
}

/// A peer that has not yet received an engine's restart still reports the age of the previous process.
#[test]
fn a_peer_age_of_the_previous_start_is_ignored_after_a_restart() {
    let mut starts = StartTimes::default();
    starts.record_start(at(1e12, 0.0), "e", 9e11);
    let restarted = at(1e12 + 5000.0, 0.0);
    starts.record_start(restarted, "e", 1e12 + 4000.0);
    let old = EngineAge {
        start: StartId::new("e", 9e11),
        min_age: 1e9,
    };
    assert_eq!(starts.apply_peer_age(1e12 + 5100.0, old), None);
}

#[test]
fn the_age_of_each_start_is_requested_a_few_times_in_messages_of_limited_size() {
    let mut starts = StartTimes::default();
    let count = MAX_STARTS_PER_MESSAGE + 5;
    for engine in 0..count {
        starts.record_start(at(1e12, 0.0), &format!("e{engine}"), 1e12);
    }
    assert_eq!(starts.due_requests(1e12).len(), MAX_STARTS_PER_MESSAGE);
    assert_eq!(starts.due_requests(1e12).len(), 5);
    assert_eq!(starts.due_requests(1e12).len(), 0);
    let mut requested = count;
    for step in 1..1000 {
        requested += starts.due_requests(1e12 + f64::from(step) * 100.0).len();
    }
    assert_eq!(requested, count * REQUEST_DELAYS_MS.len());
    assert!(!starts.has_requests_left);
}
