use super::*;

#[test]
fn changed_statuses_are_registered_at_once_until_the_lease_is_cancelled() {
    let mut registration = Registration::new(0.0, 30_000.0);
    assert_eq!(
        registration.due_request(0.0),
        Some(LeaseRequest::Register(Status::Starting))
    );
    registration.record_outcome(
        0.0,
        LeaseRequest::Register(Status::Starting),
        Outcome::Accepted,
        1.0,
    );
    assert_eq!(
        (
            registration.due_request(29_999.0),
            registration.due_request(30_000.0)
        ),
        (None, Some(LeaseRequest::Renew(Status::Starting)))
    );
    registration.set_status(1_000.0, Status::Up);
    assert_eq!(
        (registration.due_request(1_000.0), registration.dirty()),
        (Some(LeaseRequest::Register(Status::Up)), 1_000)
    );
    registration.record_outcome(
        1_000.0,
        LeaseRequest::Register(Status::Up),
        Outcome::Accepted,
        0.0,
    );
    assert_eq!(registration.next_due(), Some(28_000.0));
    registration.set_status(1_000.0, Status::OutOfService);
    assert_eq!(
        registration.due_request(1_000.0),
        Some(LeaseRequest::Register(Status::OutOfService))
    );
    assert_eq!(
        registration.dirty(),
        1_001,
        "lastDirtyTimestamp increases with every change"
    );
    assert!(registration.finish());
    assert_eq!(
        (registration.due_request(1e9), registration.next_due()),
        (None, None)
    );
    assert!(!registration.finish());
}

#[test]
fn a_lost_registration_is_repeated_at_once_and_a_failed_one_after_a_delay() {
    let mut registration = Registration::new(0.0, 30_000.0);
    registration.set_status(0.0, Status::Up);
    registration.record_outcome(
        0.0,
        LeaseRequest::Register(Status::Up),
        Outcome::Accepted,
        1.0,
    );
    registration.record_outcome(
        30_000.0,
        LeaseRequest::Renew(Status::Up),
        Outcome::NotRegistered,
        0.0,
    );
    assert_eq!(
        registration.due_request(30_000.0),
        Some(LeaseRequest::Register(Status::Up))
    );
    registration.record_outcome(
        30_000.0,
        LeaseRequest::Register(Status::Up),
        Outcome::Failed,
        0.0,
    );
    assert_eq!(
        (
            registration.due_request(30_500.0),
            registration.due_request(31_000.0)
        ),
        (None, Some(LeaseRequest::Register(Status::Up)))
    );
    // Even a registry that responds with 404 to every request receives at most one a second.
    registration.record_outcome(
        31_000.0,
        LeaseRequest::Register(Status::Up),
        Outcome::NotRegistered,
        0.0,
    );
    assert_eq!(registration.due_request(31_500.0), None);
}

#[test]
fn a_status_change_while_a_request_is_in_flight_is_registered_next() {
    let mut registration = Registration::new(0.0, 30_000.0);
    registration.set_status(5.0, Status::Up);
    registration.record_outcome(
        9.0,
        LeaseRequest::Register(Status::Starting),
        Outcome::Accepted,
        0.0,
    );
    assert_eq!(
        registration.due_request(9.0),
        Some(LeaseRequest::Register(Status::Up))
    );
    registration.hand_over();
    assert!(
        !registration.finish(),
        "another process maintains the lease"
    );
}
