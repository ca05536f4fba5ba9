use super::{LineLimiter, LinePermit, MAX_LINES_PER_SECOND};

#[test]
fn lines_beyond_the_limit_are_suppressed_and_counted() {
    let limiter = LineLimiter::new();
    let admitted = (0..MAX_LINES_PER_SECOND + 7)
        .filter(|_| limiter.acquire(5).is_some())
        .count() as u64;
    assert_eq!(admitted, MAX_LINES_PER_SECOND);
    assert_eq!(limiter.acquire(6), Some(LinePermit { suppressed: 7 }));
    assert_eq!(limiter.acquire(6), Some(LinePermit { suppressed: 0 }));
}
