use super::*;

#[test]
fn reservations_end_at_the_limit_and_are_freed_on_drop() {
    let budget = MemoryBudget::new(100);
    let first = budget.reserve(60, Purpose::Small).unwrap();
    assert!(budget.reserve(41, Purpose::Small).is_none());
    let second = budget.reserve(40, Purpose::Small).unwrap();
    drop(first);
    assert_eq!(budget.usage().reserved, second.bytes());
    drop(second);
    let expected = BudgetUsage {
        limit: 100,
        reserved: 0,
        peak: 100,
        denied: 1,
    };
    assert_eq!(budget.usage(), expected);
}

#[test]
fn unfinished_messages_leave_half_of_the_budget() {
    let budget = MemoryBudget::new(100);
    let mut unfinished = budget.reserve(30, Purpose::Unfinished).unwrap();
    assert!(!unfinished.resize(51), "over half of the limit");
    assert!(unfinished.resize(50));
    assert!(budget.reserve(1, Purpose::Unfinished).is_none());
    let small = budget.reserve(50, Purpose::Small).unwrap();
    unfinished.set_purpose(Purpose::Small);
    drop(small);
    assert!(budget.reserve(25, Purpose::Unfinished).is_some());
    drop(unfinished);
    assert_eq!(budget.usage().reserved, 0);
}

#[test]
fn a_denied_resize_keeps_what_was_reserved() {
    let budget = MemoryBudget::new(10);
    let mut reservation = budget.reserve(4, Purpose::Small).unwrap();
    assert!(!reservation.resize(11));
    assert_eq!((reservation.bytes(), budget.usage().reserved), (4, 4));
    assert!(reservation.resize(0));
    assert_eq!(budget.usage().reserved, 0);
}

#[test]
fn a_lower_limit_keeps_reservations_and_denies_further_ones() {
    let budget = MemoryBudget::new(10);
    let reservation = budget.reserve(8, Purpose::Small).unwrap();
    budget.set_limit(4);
    assert!(budget.reserve(1, Purpose::Small).is_none());
    drop(reservation);
    assert!(budget.reserve(4, Purpose::Small).is_some());
}

#[test]
fn large_messages_leave_a_quarter_to_small_ones() {
    let budget = MemoryBudget::new(100);
    let large = budget.reserve(75, Purpose::Large).unwrap();
    assert!(budget.reserve(1, Purpose::Large).is_none());
    assert!(budget.reserve(1, Purpose::Unfinished).is_none());
    assert!(budget.reserve(25, Purpose::Small).is_some());
    drop(large);
}
