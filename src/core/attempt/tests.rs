use super::*;

const START: Millis = 1000.0;
const DEADLINE: Millis = 2000.0;
const PAGE_TIMEOUT: Millis = 600.0;

fn in_flight() -> Attempt {
    Attempt::start("a".into(), START, DEADLINE)
}

#[test]
fn an_attempt_in_flight_may_have_run_and_is_overdue_from_its_deadline() {
    let attempt = in_flight();
    assert!(attempt.is_in_flight() && attempt.may_have_run());
    assert!(!attempt.is_overdue(DEADLINE - 1.0));
    assert!(attempt.is_overdue(DEADLINE));
}

#[test]
fn a_suppressed_attempt_has_ended_and_never_ran() {
    let attempt = Attempt::suppressed("a".into(), START, DEADLINE);
    assert!(!attempt.is_in_flight() && !attempt.may_have_run());
    assert!(!attempt.is_overdue(DEADLINE));
}

#[test]
fn only_some_outcomes_prove_that_an_attempt_never_ran() {
    let outcomes = [
        (Outcome::Served, true),
        (Outcome::Error, true),
        (Outcome::Rejected, false),
        (Outcome::TimedOut, true),
        (Outcome::Unreachable, false),
        (Outcome::Reset, true),
        (Outcome::Cancelled, true),
        (Outcome::NeverStarted, false),
    ];
    for (outcome, may_have_run) in outcomes {
        let mut attempt = in_flight();
        attempt.finish(outcome);
        assert!(!attempt.is_in_flight(), "{outcome:?}");
        assert_eq!(attempt.may_have_run(), may_have_run, "{outcome:?}");
    }
}

#[test]
fn later_outcomes_do_not_change_the_first() {
    let mut attempt = in_flight();
    attempt.finish(Outcome::Unreachable);
    attempt.finish(Outcome::Served);
    attempt.cancel();
    attempt.receive_page(START + 1.0);
    assert!(!attempt.is_in_flight() && !attempt.may_have_run());
}

#[test]
fn each_page_extends_the_period_of_receiving() {
    let mut attempt = in_flight();
    assert!(!attempt.is_receiving(START, PAGE_TIMEOUT));
    attempt.receive_page(START);
    attempt.receive_page(START + 100.0);
    assert!(attempt.is_receiving(START + 699.0, PAGE_TIMEOUT));
    assert!(!attempt.is_receiving(START + 700.0, PAGE_TIMEOUT));
    assert!(attempt.is_in_flight());
}
