use super::*;

const BUDGET: RetryBudget = RetryBudget {
    min_retries: 1.0,
    retry_ratio: 0.1,
    window: 100.0,
};

#[test]
fn counts_cover_only_the_window() {
    let mut usage = RetryUsage::default();
    for at in [0.0, 50.0, 100.0] {
        usage.record_arrival(at);
        usage.record_attempt(at, Some(BUDGET), true);
    }
    let counts = usage.count(100.0, BUDGET);
    assert_eq!(counts.arrivals, 2.0, "the start of the window excluded");
    assert_eq!(counts.retries, 3.0, "the start of the window included");
    let counts = usage.count(150.5, BUDGET);
    assert_eq!(counts.arrivals, 1.0);
    assert_eq!(counts.retries, 1.0);
}

#[test]
fn a_first_attempt_is_not_a_retry() {
    let mut usage = RetryUsage::default();
    usage.record_arrival(0.0);
    usage.record_attempt(0.0, Some(BUDGET), false);
    let counts = usage.count(0.0, BUDGET);
    assert_eq!(counts.arrivals, 1.0);
    assert_eq!(counts.retries, 0.0);
}
