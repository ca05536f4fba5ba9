use super::*;

#[test]
fn a_wakeup_is_requested_if_the_last_was_due_or_it_is_earlier() {
    let mut timers = Timers::default();
    timers.start(0.0);
    assert!(timers.is_due(0.0));
    assert!(timers.take_subscription(0.0));
    assert_eq!(timers.schedule(0.0, 2000.0, true), Some(2000.0));
    assert!(!timers.is_due(1999.0));
    assert_eq!(timers.schedule(10.0, 20.0, false), Some(30.0));
    assert_eq!(timers.schedule(15.0, 20.0, false), None);
    assert!(timers.is_due(30.0));
}

#[test]
fn a_failed_subscription_brings_the_wakeup_forward() {
    let mut timers = Timers::default();
    timers.start(0.0);
    assert!(timers.take_subscription(0.0));
    assert!(!timers.take_subscription(1e9));
    timers.retry_subscription(100.0);
    assert_eq!(timers.schedule(200.0, 5000.0, true), Some(2100.0));
    assert!(!timers.take_subscription(2099.0));
    assert!(timers.take_subscription(2100.0));
}

#[test]
fn a_period_ends_once() {
    let mut timers = Timers::default();
    timers.start(100.0);
    timers.start(500.0);
    assert_eq!(timers.started_at(), 100.0);
    assert!(!timers.end_period(2099.0));
    assert!(timers.end_period(2100.0));
    assert!(!timers.end_period(2100.0));
}
