use super::*;
use crate::decision::tests::{assert_close, settings};

#[test]
fn load_is_the_fraction_of_all_threads_in_use() {
    let mut class = ClassState::new(&settings(), 1);
    assert_close(class.allocation, 0.5);
    class.period.arrivals = 10.0;
    class.period.record_answer(480.0, 960.0);
    class.update_service_time();
    // 10 queries of 480 ms on two threads in 2 s: 4.8 of 16 threads.
    assert_close(class.load(2000.0, 16.0), 0.3);
    assert_eq!(class.load(2000.0, 0.0), 0.0);
    assert_close(class.period.mean_slowdown(), 2.0);
}

#[test]
fn a_period_starts_empty_and_is_backlogged_if_queries_wait() {
    let mut class = ClassState::new(&settings(), 0);
    class.period.record_answer(10.0, 0.0);
    class.update_service_time();
    class.queue.push_back(1);
    class.begin_period();
    assert!(class.period.is_backlogged);
    assert_eq!(class.period.served, 0.0);
    class.update_service_time();
    assert_eq!(class.service_time, 10.0, "an empty period changes nothing");
}
