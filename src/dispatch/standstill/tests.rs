//! Tests of the arrival times that are assumed before, during and after a standstill.

use super::{CATCH_UP_MS, Heartbeat, STANDSTILL_MS};

#[test]
fn data_read_while_the_process_runs_has_just_arrived() {
    let heartbeat = Heartbeat::new(0.0);
    heartbeat.record(40.0);
    assert_eq!(heartbeat.earliest_arrival(40.0 + STANDSTILL_MS), 140.0);
    assert_eq!(heartbeat.standstills(), 0);
}

#[test]
fn data_read_after_a_standstill_may_have_waited_since_it_began() {
    let heartbeat = Heartbeat::new(0.0);
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
    heartbeat.record(later - 30.0);
    assert_eq!(heartbeat.earliest_arrival(later), later, "caught up");
}
