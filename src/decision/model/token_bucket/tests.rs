use super::*;

#[test]
fn a_bucket_starts_full_and_refills_at_its_rate() {
    let mut bucket = TokenBucket::new(10.0, 0.3);
    let acquired = (0..5).filter(|_| bucket.try_acquire(0.0)).count();
    assert_eq!(acquired, 3);
    assert!(!bucket.try_acquire(99.0));
    assert!(bucket.try_acquire(100.0));
    assert!(!bucket.try_acquire(100.0));
}

#[test]
fn a_slow_bucket_still_holds_one_token() {
    let mut bucket = TokenBucket::new(0.1, 2.0);
    assert!(bucket.try_acquire(0.0));
    assert!(!bucket.try_acquire(9_000.0));
    assert!(bucket.try_acquire(10_000.0));
}
