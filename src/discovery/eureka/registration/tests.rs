use super::*;

#[test]
fn it_is_up_only_when_ready_and_out_of_service_while_it_winds_down() {
    let mut r = Registration::new(0.0, 30_000.0);
    assert_eq!(r.due(0.0), Some(Step::Register(Status::Starting)));
    r.done(0.0, Step::Register(Status::Starting), Outcome::Done, 1.0);
    assert_eq!(
        (r.due(29_999.0), r.due(30_000.0)),
        (None, Some(Step::Renew(Status::Starting)))
    );
    r.want(1_000.0, Status::Up);
    assert_eq!(
        (r.due(1_000.0), r.dirty()),
        (Some(Step::Register(Status::Up)), 1_000)
    );
    r.done(1_000.0, Step::Register(Status::Up), Outcome::Done, 0.0);
    assert_eq!(r.next(), Some(28_000.0));
    r.want(1_000.0, Status::OutOfService);
    assert_eq!(r.due(1_000.0), Some(Step::Register(Status::OutOfService)));
    assert_eq!(r.dirty(), 1_001, "it never stands still");
    assert!(r.finish());
    assert_eq!((r.due(1e9), r.next()), (None, None));
    assert!(!r.finish());
}

#[test]
fn a_registry_that_forgot_us_is_told_again_at_once_and_a_failure_after_a_pause() {
    let mut r = Registration::new(0.0, 30_000.0);
    r.want(0.0, Status::Up);
    r.done(0.0, Step::Register(Status::Up), Outcome::Done, 1.0);
    r.done(30_000.0, Step::Renew(Status::Up), Outcome::Unknown, 0.0);
    assert_eq!(r.due(30_000.0), Some(Step::Register(Status::Up)));
    r.done(30_000.0, Step::Register(Status::Up), Outcome::Failed, 0.0);
    assert_eq!(
        (r.due(30_500.0), r.due(31_000.0)),
        (None, Some(Step::Register(Status::Up)))
    );
    // Even a registry that answers 404 to all is asked no more than once a second.
    r.done(31_000.0, Step::Register(Status::Up), Outcome::Unknown, 0.0);
    assert_eq!(r.due(31_500.0), None);
}

#[test]
fn a_change_while_a_step_is_out_is_told_next() {
    let mut r = Registration::new(0.0, 30_000.0);
    r.want(5.0, Status::Up);
    r.done(9.0, Step::Register(Status::Starting), Outcome::Done, 0.0);
    assert_eq!(r.due(9.0), Some(Step::Register(Status::Up)));
    r.leave();
    assert!(!r.finish(), "another process goes on with it");
}
