use super::*;

#[test]
fn a_rejected_query_counts_against_the_sampled_budget_only() {
    let mut usage = SlowStartUsage::default();
    usage.record(0.0, 1000.0, 80.0, 1.0);
    usage.record(0.0, 1000.0, 80.0, 0.25);
    let expected = QueryCounts {
        sent: 2.0,
        sampled: 2.5,
    };
    assert_eq!(usage.queries_after(-1.0, 40.0), expected);
}

#[test]
fn usage_at_the_start_of_the_window_is_excluded() {
    let mut usage = SlowStartUsage::default();
    usage.record(0.0, 1000.0, 80.0, 1.0);
    let none = QueryCounts {
        sent: 0.0,
        sampled: 0.0,
    };
    assert_eq!(usage.queries_after(0.0, 80.0), none);
}
