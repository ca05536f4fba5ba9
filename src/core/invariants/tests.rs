//! The guard of what is sent.

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
fn nothing_starts_after_the_end_or_at_an_engine_out_of_service() {
    let mut ended = request(Idempotency::Idempotent, &[]);
    assert_eq!(check_start(&ended, true), Ok(()));
    assert_eq!(
        check_start(&ended, false),
        Err(Violation::EngineOutOfService)
    );
    ended.close();
    assert_eq!(check_start(&ended, true), Err(Violation::AttemptAfterEnd));
}

#[test]
fn what_must_not_run_twice_is_repeated_only_if_it_never_ran() {
    let never_ran = request(Idempotency::NonIdempotent, &[Outcome::Rejected]);
    assert_eq!(check_start(&never_ran, true), Ok(()));
    let may_have_run = request(Idempotency::NonIdempotent, &[Outcome::Reset]);
    assert_eq!(
        check_start(&may_have_run, true),
        Err(Violation::RepeatedEffect)
    );
    let harmless = request(Idempotency::Idempotent, &[Outcome::Reset]);
    assert_eq!(check_start(&harmless, true), Ok(()));
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
        assert_eq!(counts.of(violation), expected, "{violation:?}");
    }
}
