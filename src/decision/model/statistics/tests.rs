use super::*;
use crate::decision::tests::assert_close;

#[test]
fn a_mean_weights_recent_samples_more() {
    let mut mean = DecayingMean::default();
    assert_eq!(mean.mean_or(7.0), 7.0);
    mean.add(1.0, 0.5);
    mean.add(4.0, 0.5);
    assert_close(mean.weight(), 1.5);
    assert_close(mean.mean_or(7.0), 3.0);
    assert_close(mean.shrunken_mean(), 4.5 / 2.5);
    mean.decay(0.5);
    assert_close(mean.weight(), 0.75);
    assert_close(mean.mean_or(7.0), 3.0);
}

#[test]
fn a_mean_is_trusted_from_a_weight_of_three() {
    let mut mean = DecayingMean::default();
    for _ in 0..2 {
        mean.add(5.0, 1.0);
    }
    assert!(!mean.is_trusted());
    assert_eq!(mean.trusted_mean_or(1.0), 1.0);
    mean.add(5.0, 1.0);
    assert!(mean.is_trusted());
    assert_eq!(mean.trusted_mean_or(1.0), 5.0);
}

#[test]
fn moments_are_those_of_the_pairs() {
    let mut regression = DecayingRegression::default();
    for (x, y) in [(0.0, 1.0), (2.0, 5.0), (4.0, 9.0)] {
        regression.add(x, y, 1.0);
    }
    let moments = regression.moments();
    assert_close(regression.weight(), 3.0);
    assert_close(moments.mean_x, 2.0);
    assert_close(moments.mean_y, 5.0);
    assert_close(moments.variance_x, 8.0 / 3.0);
    assert_close(moments.covariance, 16.0 / 3.0);
    assert_close(moments.variance_y, 32.0 / 3.0);
}

#[test]
fn equal_pairs_have_no_negative_variance() {
    let mut regression = DecayingRegression::default();
    for _ in 0..50 {
        regression.add(0.1, 0.3, 0.98);
    }
    let moments = regression.moments();
    assert!(moments.variance_x >= 0.0 && moments.variance_y >= 0.0);
}

#[test]
fn a_window_sum_includes_only_amounts_after_its_start() {
    let mut sum = SlidingWindowSum::default();
    sum.record(0.0, 10.0, 1.0);
    sum.record(5.0, 10.0, 2.0);
    assert_eq!(sum.sum_after(-1.0), 3.0);
    assert_eq!(
        sum.sum_after(0.0),
        2.0,
        "the start of the window is excluded"
    );
    sum.record(11.0, 10.0, 0.0);
    assert_eq!(
        sum.sum_after(-1.0),
        2.0,
        "amounts older than the window are discarded"
    );
}
