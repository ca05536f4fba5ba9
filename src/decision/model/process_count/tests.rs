use super::*;

#[test]
fn an_ended_process_is_counted_until_the_window_has_passed() {
    let mut processes = ProcessCount::default();
    assert_eq!(processes.max_since(0.0), 1.0);
    processes.set(100.0, 2);
    processes.set(200.0, 0);
    assert_eq!(processes.max_since(199.0), 2.0);
    assert_eq!(processes.max_since(200.0), 1.0);
}
