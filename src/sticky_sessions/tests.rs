use super::*;

fn terms() -> StickySessionLimits {
    StickySessionLimits {
        idle: 100.0,
        longest: 1000.0,
        drain: 50.0,
        most: 3,
        most_of_tenant: 2,
    }
}

const OPEN: After = After::Status { open: true };
const SHUT: After = After::Status { open: false };

fn begins(reason: Reason) -> Step {
    Step {
        begins: Some(reason),
        ..Step::default()
    }
}

fn says(p: &mut StickySession, step: Step, after: After) -> Next {
    p.sent(0.0, step);
    p.answered(0.0, after)
}

#[test]
fn a_transaction_holds_until_the_engine_tells_that_none_is_open() {
    let mut p = StickySession::new(terms(), 0.0);
    assert_eq!(says(&mut p, begins(Reason::Transaction), OPEN), Next::Keep);
    assert_eq!(says(&mut p, Step::default(), OPEN), Next::Keep);
    assert_eq!(
        says(&mut p, Step::default(), After::Error(1062)),
        Next::Keep,
        "a duplicate key ends nothing"
    );
    // COMMIT AND CHAIN opens the next one.
    let commit = Step {
        commits: true,
        ..Step::default()
    };
    assert_eq!(says(&mut p, commit, OPEN), Next::Keep);
    assert_eq!(says(&mut p, commit, SHUT), Next::Free);
    // With autocommit off a statement that reads no table opens none.
    assert_eq!(
        says(
            &mut StickySession::new(terms(), 0.0),
            begins(Reason::Transaction),
            SHUT
        ),
        Next::Free
    );
}

#[test]
fn a_deadlock_ends_the_transaction_and_nothing_else() {
    let mut p = StickySession::new(terms(), 0.0);
    says(&mut p, begins(Reason::Transaction), OPEN);
    assert_eq!(
        says(&mut p, Step::default(), After::Error(1213)),
        Next::Free
    );
    says(&mut p, begins(Reason::Temporary), OPEN);
    assert_eq!(
        says(&mut p, Step::default(), After::Error(1213)),
        Next::Keep
    );
    assert!(p.holds(Reason::Temporary) && !p.holds(Reason::Transaction));
}

#[test]
fn locks_hold_until_unlocked_and_the_rest_until_the_session_ends() {
    let mut p = StickySession::new(terms(), 0.0);
    assert_eq!(says(&mut p, begins(Reason::Tables), SHUT), Next::Keep);
    assert_eq!(
        says(
            &mut p,
            Step {
                unlocks: true,
                ..Step::default()
            },
            SHUT
        ),
        Next::Free
    );
    for reason in [Reason::Temporary, Reason::UserLock, Reason::Variable] {
        let mut p = StickySession::new(terms(), 0.0);
        assert_eq!(says(&mut p, begins(reason), SHUT), Next::Keep, "{reason:?}");
        assert_eq!(
            says(
                &mut p,
                Step {
                    unlocks: true,
                    ..Step::default()
                },
                SHUT
            ),
            Next::Keep,
            "{reason:?}"
        );
        assert_eq!(
            says(
                &mut StickySession::new(terms(), 0.0),
                begins(reason),
                After::Error(1064)
            ),
            Next::Free
        );
    }
}

#[test]
fn an_idle_pin_ends_and_one_whose_statement_runs_does_not() {
    let mut p = StickySession::new(terms(), 0.0);
    p.sent(10.0, begins(Reason::Transaction));
    assert_eq!(p.over(500.0), None, "it runs");
    p.answered(500.0, OPEN);
    assert_eq!((p.over(599.0), p.over(600.0)), (None, Some(Expired::Idle)));
    p.sent(600.0, Step::default());
    assert_eq!(p.over(1000.0), Some(Expired::Longest), "however busy");
}

#[test]
fn a_drain_gives_a_pin_its_time_from_when_it_was_first_seen() {
    let mut p = StickySession::new(terms(), 0.0);
    p.sent(0.0, begins(Reason::Transaction));
    p.drains(5.0);
    p.drains(40.0);
    assert_eq!(
        (p.over(54.0), p.over(55.0)),
        (None, Some(Expired::Drains)),
        "also while a statement runs"
    );
}

#[test]
fn only_a_commit_on_its_way_leaves_open_what_holds() {
    assert_eq!(fate(None), TransactionOutcome::RolledBack);
    assert_eq!(fate(Some(Step::default())), TransactionOutcome::RolledBack);
    assert_eq!(
        fate(Some(Step {
            commits: true,
            ..Step::default()
        })),
        TransactionOutcome::Unknown
    );
}

#[test]
fn pins_are_counted_by_tenant_and_given_back() {
    let (mut b, t) = (StickySessionTable::default(), terms());
    assert_eq!((b.take(&t, Some(0)), b.take(&t, Some(0))), (Ok(()), Ok(())));
    assert_eq!(b.take(&t, Some(0)), Err(StickySessionLimitError::Tenant));
    assert_eq!(b.take(&t, None), Ok(()));
    assert_eq!(b.take(&t, Some(1)), Err(StickySessionLimitError::All));
    b.give(Some(0));
    b.give(Some(7));
    assert_eq!(b.take(&t, Some(1)), Ok(()));
    for tenant in [Some(0), None, Some(1)] {
        b.give(tenant);
    }
    assert_eq!((b.all(), b.tenants.len()), (0, 0));
}
