use super::*;

#[test]
fn deadlines_fall_due_in_order_of_time_and_then_of_request() {
    let mut queue = DeadlineQueue::default();
    queue.insert(30.0, 1);
    queue.insert(10.0, 3);
    queue.insert(10.0, 2);
    queue.insert(-5.0, 4);
    queue.insert(10.0, 2);
    assert_eq!(queue.earliest(), Some(0.0));
    let due: Vec<RequestId> = std::iter::from_fn(|| queue.pop_due(10.0)).collect();
    assert_eq!(due, [4, 2, 3]);
    assert_eq!(queue.earliest(), Some(30.0));
    assert_eq!(queue.pop_due(29.9), None);
}

#[test]
fn a_removed_deadline_does_not_fall_due() {
    let mut queue = DeadlineQueue::default();
    queue.insert(10.0, 1);
    queue.insert(20.0, 1);
    queue.remove(10.0, 1);
    queue.remove(15.0, 1);
    assert_eq!(queue.pop_due(15.0), None);
    assert_eq!(queue.pop_due(20.0), Some(1));
    assert_eq!(queue.earliest(), None);
}
