//! Tests of the check before each attempt, and of the violation counters.

use super::{Violation, ViolationCounts, check_start};
use crate::core::attempt::Attempt;
use crate::core::request::Request;
use crate::decision::model::{Idempotency, Outcome};

fn request(idempotency: Idempotency, outcomes: &[Outcome]) -> Request {
    let mut request = Request::new(0, idempotency, 1000.0);
    for outcome in outcomes {
        let index = request.push_attempt(Attempt::start("e".into(), 0.0, 1000.0));
        request.in_flight_mut(index).unwrap().finish(*outcome);
    }
    request
}

#[test]
fn no_attempt_starts_on_a_closed_request_or_an_engine_out_of_service() {
    let mut closed = request(Idempotency::Idempotent, &[]);
    assert_eq!(check_start(&closed, true), Ok(()));
    assert_eq!(
        check_start(&closed, false),
        Err(Violation::EngineOutOfService)
    );
    closed.close();
    assert_eq!(check_start(&closed, true), Err(Violation::AttemptAfterEnd));
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_never_ran() {
    let never_ran = request(Idempotency::NonIdempotent, &[Outcome::Rejected]);
    assert_eq!(check_start(&never_ran, true), Ok(()));
    let may_have_run = request(Idempotency::NonIdempotent, &[Outcome::Reset]);
    assert_eq!(
        check_start(&may_have_run, true),
        Err(Violation::RepeatedEffect)
    );
    let idempotent = request(Idempotency::Idempotent, &[Outcome::Reset]);
    assert_eq!(check_start(&idempotent, true), Ok(()));
}

#[test]
fn violations_are_counted_by_kind() {
    let mut counts = ViolationCounts::default();
    counts.record(Violation::LateAnswer);
    counts.record(Violation::LateAnswer);
    for violation in Violation::ALL {
        let expected = if violation == Violation::LateAnswer {
            2
        } else {
            0
        };
        assert_eq!(counts.count(violation), expected, "{violation:?}");
    }
}
