//! Tests of the arrival times that are assumed before, during and after a standstill or a busy period.

use super::{BUSY_MS, CATCH_UP_MS, Heartbeat, STANDSTILL_MS};

#[test]
fn data_read_while_the_process_runs_has_just_arrived() {
    let heartbeat = Heartbeat::new(0.0);
    heartbeat.record(20.0);
    heartbeat.record(40.0);
    assert_eq!(heartbeat.earliest_arrival(40.0 + BUSY_MS), 40.0 + BUSY_MS);
    assert_eq!(heartbeat.standstills(), 0);
}

#[test]
fn data_read_after_a_standstill_may_have_waited_since_it_began() {
    let heartbeat = Heartbeat::new(0.0);
    heartbeat.record(20.0);
    heartbeat.record(40.0);
    assert_eq!(
        heartbeat.earliest_arrival(2040.0),
        40.0,
        "before the heartbeat"
    );
    heartbeat.record(2040.0);
    assert_eq!(
        heartbeat.earliest_arrival(2041.0),
        40.0,
        "after the heartbeat"
    );
    assert_eq!(heartbeat.standstills(), 1);
    let later = 2040.0 + CATCH_UP_MS;
    for before in [80.0, 60.0, 40.0, 20.0] {
        heartbeat.record(later - before);
    }
    assert_eq!(heartbeat.earliest_arrival(later), later, "caught up");
}

/// Guards against the time of the last late heartbeat alone: data may wait through several rounds of the tasks.
#[test]
fn data_read_in_a_busy_period_may_have_waited_since_its_first_late_heartbeat() {
    let heartbeat = Heartbeat::new(0.0);
    heartbeat.record(20.0);
    heartbeat.record(40.0);
    let mut now = 40.0;
    for gap in [
        BUSY_MS + 1.0,
        STANDSTILL_MS + 1.0,
        10.0,
        30.0,
        BUSY_MS + 1.0,
    ] {
        now += gap;
        heartbeat.record(now);
        assert_eq!(heartbeat.earliest_arrival(now), 40.0, "at {now}");
    }
    assert_eq!(heartbeat.earliest_arrival(now + BUSY_MS + 1.0), 40.0);
    assert_eq!(heartbeat.standstills(), 1);
    for _ in 0..5 {
        now += 20.0;
        heartbeat.record(now);
    }
    assert_eq!(heartbeat.earliest_arrival(now), now, "caught up");
    now += BUSY_MS + 1.0;
    assert_eq!(
        heartbeat.earliest_arrival(now),
        now - BUSY_MS - 1.0,
        "a new period"
    );
}

#[test]
fn data_waits_for_four_late_heartbeats_at_most() {
    let heartbeat = Heartbeat::new(0.0);
    let gap = BUSY_MS + 1.0;
    for round in 1..20 {
        let now = f64::from(round) * gap;
        heartbeat.record(now);
        let waited = f64::from(round.min(4)) * gap;
        assert_eq!(heartbeat.earliest_arrival(now), now - waited, "{round}");
    }
}

/// What four rounds hide together is within what engines may be given more than the client has left.
#[test]
fn waits_that_do_not_count_as_busy_are_within_the_slack() {
    const TIME_LIMIT_SLACK_MS: f64 = 150.0;
    assert!(super::MAX_ROUNDS as f64 * BUSY_MS < TIME_LIMIT_SLACK_MS);
}
