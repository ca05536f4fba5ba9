use super::*;

#[test]
fn queries_of_a_key_are_first_in_the_order_of_arrival() {
    let mut queues = OrderedQueues::default();
    queues.push("a", 1);
    queues.push("a", 2);
    queues.push("b", 3);
    assert!(queues.get("a").unwrap().is_first(1));
    assert!(!queues.get("a").unwrap().is_first(2));
    assert!(queues.get("b").unwrap().is_first(3));
    queues.remove("a", 1, 0.0);
    assert!(queues.get("a").unwrap().is_first(2));
}

#[test]
fn a_key_is_quiet_until_the_latest_time_and_is_kept_until_then() {
    let mut queues = OrderedQueues::default();
    queues.push("a", 1);
    queues.extend_quiet_period("a", 100.0);
    queues.extend_quiet_period("a", 50.0);
    queues.remove("a", 1, 60.0);
    assert!(queues.get("a").unwrap().is_quiet(99.0));
    assert!(!queues.get("a").unwrap().is_quiet(100.0));
    queues.remove_idle(99.0);
    assert!(queues.get("a").is_some());
    queues.remove_idle(100.0);
    assert!(queues.get("a").is_none());
}

#[test]
fn an_idle_queue_is_removed_with_its_last_query() {
    let mut queues = OrderedQueues::default();
    queues.push("a", 1);
    queues.remove("a", 1, 0.0);
    assert!(queues.get("a").is_none());
    queues.extend_quiet_period("a", 100.0);
    assert!(queues.get("a").is_none(), "a key that is not in use");
}
