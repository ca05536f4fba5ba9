use super::*;
use crate::decision::model::Outcome;
use crate::decision::tests::{assert_close, query, settings};

fn answer(work: f64) -> Ended {
    Ended {
        id: 1,
        attempt: 0,
        outcome: Outcome::Served,
        last: true,
        latency: 0.0,
        work: Some(work),
        memory_mb: None,
        report: vec![],
    }
}

fn estimated(work: f64) -> Query {
    Query {
        work: Some(work),
        ..query(1)
    }
}

#[test]
fn before_any_answer_work_is_derived_from_the_latency_objective() {
    let cost = CostEstimator::new(&settings(), 0);
    // 1000 ms on one thread, slowed by 2.
    assert_close(cost.usual_work(), 1000.0 / 3.0);
    assert_close(cost.expected_latency(100.0), 100.0);
    assert_close(cost.latency_objective(100.0), 1200.0);
    assert_close(cost.work(&query(1)), 1000.0 / 3.0);
}

#[test]
fn biased_estimates_are_corrected() {
    let mut cost = CostEstimator::new(&settings(), 0);
    for estimate in [10.0, 20.0, 40.0, 80.0, 160.0, 320.0].repeat(20) {
        cost.record_answer(&estimated(estimate), &answer(3.0 * estimate), 30.0, false);
    }
    let corrected = cost.work(&estimated(50.0));
    assert!((140.0..160.0).contains(&corrected), "{corrected} for 150");
}

#[test]
fn estimates_without_information_are_drawn_to_the_mean() {
    let mut cost = CostEstimator::new(&settings(), 0);
    for estimate in [1.0, 10.0, 100.0, 1000.0].repeat(30) {
        cost.record_answer(&estimated(estimate), &answer(100.0), 100.0, false);
    }
    let corrected = cost.work(&estimated(10_000.0));
    assert!((90.0..200.0).contains(&corrected), "{corrected} for 100");
}

#[test]
fn work_is_inferred_only_from_the_latency_of_undisturbed_attempts() {
    let mut cost = CostEstimator::new(&settings(), 1);
    let unreported = Ended {
        work: None,
        ..answer(0.0)
    };
    for _ in 0..5 {
        cost.record_answer(&query(1), &unreported, 50.0, false);
    }
    // 1000 ms on two threads, slowed by 2.
    assert_close(cost.usual_work(), 2000.0 / 3.0);
    for _ in 0..5 {
        cost.record_answer(&query(1), &unreported, 50.0, true);
    }
    assert_close(cost.usual_work(), 100.0);
}
