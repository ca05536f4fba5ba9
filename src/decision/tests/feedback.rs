//! Tests of the formulas (2) to (4) against values calculated by hand.

use super::{assert_close, controller};
use crate::decision::Controller;

/// Ends a sampling period with fixed loads and these slowdowns by class. The budget is 16 threads.
/// 200 queries of 80 ms on one thread are a load of 0.5, and 10 queries of 480 ms on two threads a
/// load of 0.3. The surplus of 0.2 is split in the ratio of 200 x 1 to 10 x 8, so that
/// p = 0.5 + 0.2 x 200/280 and 0.3 + 0.2 x 80/280.
fn end_period(controller: &mut Controller, slowdowns: [f64; 2], is_backlogged: bool) {
    let loads = [(200.0, 80.0), (10.0, 480.0)];
    for (class, (arrivals, service_time)) in loads.into_iter().enumerate() {
        let period = &mut controller.state.classes[class].period;
        period.arrivals = arrivals;
        period.served = 10.0;
        period.service_time = 10.0 * service_time;
        period.slowdown = 10.0 * slowdowns[class];
        period.is_backlogged = is_backlogged;
    }
    controller.sample();
}

fn allocation(controller: &Controller, class: usize) -> f64 {
    controller.state.classes[class].allocation
}

fn error_sum(controller: &Controller, class: usize) -> f64 {
    controller.state.classes[class].error_sum
}

#[test]
fn the_prediction_alone_gives_formula_4() {
    let mut controller = controller();
    end_period(&mut controller, [4.0, 1.0], false);
    assert_close(allocation(&controller, 0), 0.642857143);
    assert_close(allocation(&controller, 1), 0.357142857);
    assert_eq!(
        error_sum(&controller, 0),
        0.0,
        "the error sums do not change when a class was not backlogged"
    );
}

#[test]
fn the_integral_moves_the_allocations_by_formula_3() {
    let mut controller = controller();
    end_period(&mut controller, [4.0, 1.0], true);
    // The class at index 1 has the greatest weight, so that e = 8/1 - 4/1 for the other class, and
    // u = 1/0.642857 + 4 and 1/0.357143.
    assert_close(error_sum(&controller, 0), 4.0);
    assert_close(allocation(&controller, 0), 0.18 / (0.18 + 0.357142857));
    end_period(&mut controller, [6.0, 1.0], true);
    assert_close(error_sum(&controller, 0), 6.0);
    end_period(&mut controller, [6.0, 0.0], true);
    assert_close(error_sum(&controller, 0), 6.0);
}

#[test]
fn the_inverse_rate_keeps_its_floor() {
    let mut controller = controller();
    controller.state.classes[0].error_sum = -1000.0;
    end_period(&mut controller, [4.0, 1.0], false);
    // u = 0.1/0.642857 and 1/0.357143.
    let expected = 6.428571429 / (6.428571429 + 0.357142857);
    assert_close(allocation(&controller, 0), expected);
}
