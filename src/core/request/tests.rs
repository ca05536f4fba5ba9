use super::*;
use crate::core::answer::RejectionReason;
use crate::decision::model::Outcome;

const START: Millis = 1000.0;
const DEADLINE: Millis = 2000.0;
const WINDOW: Millis = 300.0;
const MAX_ATTEMPTS: usize = 2;

const REJECTED: Answer = Answer::Rejected {
    retry_after: None,
    reason: RejectionReason::NoCapacity,
};

fn keyed_idempotency(group: DeduplicationScope) -> Idempotency {
    Idempotency::Keyed {
        group,
        window: WINDOW,
    }
}

/// Returns a request with one attempt that ended with this outcome.
fn request_after_attempt(idempotency: Idempotency, outcome: Outcome) -> Request {
    let mut request = Request::new(0, idempotency, DEADLINE);
    request.push_attempt(Attempt::start("a".into(), START, DEADLINE));
    request.in_flight_mut(0).unwrap().finish(outcome);
    request
}

#[test]
fn a_retry_is_safe_unless_it_could_run_twice_unnoticed() {
    let cases = [
        (Idempotency::Idempotent, true),
        (keyed_idempotency(DeduplicationScope::All), true),
        (keyed_idempotency(DeduplicationScope::Zone), false),
        (keyed_idempotency(DeduplicationScope::Cell), false),
        (Idempotency::NonIdempotent, false),
    ];
    for (idempotency, is_safe_after_reset) in cases {
        let reset = request_after_attempt(idempotency, Outcome::Reset);
        assert_eq!(
            reset.is_retry_safe(),
            is_safe_after_reset,
            "{idempotency:?}"
        );
        assert!(request_after_attempt(idempotency, Outcome::Unreachable).is_retry_safe());
    }
}

#[test]
fn a_rejection_becomes_a_failure_if_an_attempt_may_have_run() {
    let request = request_after_attempt(Idempotency::NonIdempotent, Outcome::Reset);
    let failed = Answer::Failed {
        reason: FailureReason::MayHaveRun,
    };
    assert_eq!(request.final_answer(REJECTED), failed);
    let request = request_after_attempt(Idempotency::NonIdempotent, Outcome::Rejected);
    assert_eq!(request.final_answer(REJECTED), REJECTED);
}

#[test]
fn an_expired_request_times_out_whatever_is_proposed() {
    let mut request = request_after_attempt(Idempotency::NonIdempotent, Outcome::Reset);
    assert!(!request.expire(DEADLINE - 1.0));
    assert!(request.expire(DEADLINE));
    let timed_out = Answer::TimedOut { retry_safe: false };
    assert_eq!(request.final_answer(REJECTED), timed_out);
}

#[test]
fn retries_are_written_within_the_deduplication_window() {
    let request =
        request_after_attempt(keyed_idempotency(DeduplicationScope::Cell), Outcome::Reset);
    assert_eq!(request.write_deadline(), START + WINDOW);
    assert!(request.allows_attempt(START + WINDOW - 1.0, MAX_ATTEMPTS));
    assert!(!request.allows_attempt(START + WINDOW, MAX_ATTEMPTS));
    let request = request_after_attempt(Idempotency::NonIdempotent, Outcome::Reset);
    assert!(!request.allows_attempt(START, MAX_ATTEMPTS));
}

#[test]
fn attempts_are_limited_in_number_and_by_the_deadline() {
    let mut request = request_after_attempt(Idempotency::Idempotent, Outcome::Reset);
    assert!(request.allows_attempt(DEADLINE - 1.0, MAX_ATTEMPTS));
    assert!(!request.allows_attempt(DEADLINE, MAX_ATTEMPTS));
    request.push_attempt(Attempt::suppressed("b".into(), START, DEADLINE));
    assert!(!request.allows_attempt(START, MAX_ATTEMPTS));
    assert_eq!(request.attempt_deadline(START, Some(100.0)), START + 100.0);
    assert_eq!(request.attempt_deadline(START, Some(5000.0)), DEADLINE);
}

#[test]
fn all_attempts_of_an_expired_request_are_overdue() {
    let mut request = Request::new(0, Idempotency::Idempotent, DEADLINE);
    request.push_attempt(Attempt::start("a".into(), START, START + 100.0));
    request.push_attempt(Attempt::start("b".into(), START, DEADLINE));
    assert_eq!(request.overdue_attempts(START + 100.0), [0]);
    assert!(request.shorten_deadline(START + 50.0));
    assert!(request.expire(START + 50.0));
    assert_eq!(request.overdue_attempts(START + 50.0), [0, 1]);
}

#[test]
fn a_closed_request_is_finished_once_nothing_is_in_flight() {
    let mut request = Request::new(0, Idempotency::Idempotent, DEADLINE);
    request.push_attempt(Attempt::start("a".into(), START, DEADLINE));
    request.close();
    assert!(!request.is_finished());
    assert!(
        !request.expire(DEADLINE),
        "a closed request does not expire"
    );
    request.in_flight_mut(0).unwrap().cancel();
    assert!(request.is_finished());
}
