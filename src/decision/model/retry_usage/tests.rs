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
        usage.record_arrival(at, Some(BUDGET));
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
    usage.record_arrival(0.0, Some(BUDGET));
    usage.record_attempt(0.0, Some(BUDGET), false);
    let counts = usage.count(0.0, BUDGET);
    assert_eq!(counts.arrivals, 1.0);
    assert_eq!(counts.retries, 0.0);
}

/// Guards against memory that grows while queries arrive and none is sent.
#[test]
fn arrivals_without_attempts_are_bounded() {
    let mut usage = RetryUsage::default();
    for number in 0..200_000 {
        usage.record_arrival(f64::from(number), Some(BUDGET));
    }
    let in_window = BUDGET.window as usize;
    assert_eq!(usage.arrivals.len(), in_window + 1);
    assert_eq!(usage.count(199_999.0, BUDGET).arrivals, 100.0);
    for _ in 0..2 * MAX_ARRIVALS {
        usage.record_arrival(200_000.0, Some(BUDGET));
    }
    assert_eq!(usage.arrivals.len(), MAX_ARRIVALS);
    let mut without_budget = RetryUsage::default();
    without_budget.record_arrival(0.0, None);
    assert!(without_budget.arrivals.is_empty());
}
