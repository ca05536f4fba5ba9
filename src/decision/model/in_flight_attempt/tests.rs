use super::*;
use crate::decision::model::Idempotency;
use crate::decision::tests::{assert_close, query, settings};

fn attempt() -> InFlightAttempt {
    let mut query = query(1);
    query.work = Some(100.0);
    let request = PendingRequest::new(query, Idempotency::Idempotent, 0.0, false);
    let class = ClassState::new(&settings(), 0);
    let mut attempt = InFlightAttempt::new(&request, &class, 0.0, 0.0);
    attempt.work = 100.0;
    attempt
}

#[test]
fn progress_is_extrapolated() {
    let mut attempt = attempt();
    assert!(attempt.record_progress(ProgressNote::Completed(0.25), 50.0));
    assert_close(attempt.remaining_work(), 75.0);
    let forecast = attempt.forecast(50.0, 0.0);
    assert_close(forecast.remaining, 150.0);
    assert_close(forecast.restart, 100.0);
    assert_close(forecast.pace, 2.0_f64.ln());
}

#[test]
fn an_idle_attempt_uses_no_thread() {
    let mut attempt = attempt();
    assert!(attempt.record_progress(ProgressNote::Idle, 10.0));
    assert_eq!(attempt.threads, 0.0);
    assert!(attempt.record_progress(ProgressNote::Active, 20.0));
    assert_eq!((attempt.threads, attempt.last_note_at), (1.0, 20.0));
}

#[test]
fn a_fraction_that_is_not_a_number_is_rejected() {
    let mut attempt = attempt();
    assert!(!attempt.record_progress(ProgressNote::Completed(f64::NAN), 10.0));
    assert_eq!((attempt.completed, attempt.last_note_at), (0.0, 10.0));
}
