use super::*;

fn terms() -> StickySessionLimits {
    StickySessionLimits {
        idle_timeout: 100.0,
        max_lifetime: 1000.0,
        drain_timeout: 50.0,
        max_sessions: 3,
        max_sessions_per_tenant: 2,
    }
}

const OPEN: EngineResponse = EngineResponse::Status {
    in_transaction: true,
};
const SHUT: EngineResponse = EngineResponse::Status {
    in_transaction: false,
};

fn begins(reason: StickyReason) -> StatementEffect {
    StatementEffect {
        acquires: Some(reason),
        ..StatementEffect::default()
    }
}

fn says(
    p: &mut StickySession,
    step: StatementEffect,
    after: EngineResponse,
) -> ConnectionDisposition {
    p.on_statement_sent(0.0, step);
    p.on_response(0.0, after)
}

#[test]
fn a_transaction_holds_until_the_engine_tells_that_none_is_open() {
    let mut p = StickySession::new(terms(), 0.0);
    assert_eq!(
        says(&mut p, begins(StickyReason::Transaction), OPEN),
        ConnectionDisposition::Retain
    );
    assert_eq!(
        says(&mut p, StatementEffect::default(), OPEN),
        ConnectionDisposition::Retain
    );
    assert_eq!(
        says(
            &mut p,
            StatementEffect::default(),
            EngineResponse::Error(1062)
        ),
        ConnectionDisposition::Retain,
        "a duplicate key ends nothing"
    );
    // COMMIT AND CHAIN opens the next one.
    let commit = StatementEffect {
        commits: true,
        ..StatementEffect::default()
    };
    assert_eq!(says(&mut p, commit, OPEN), ConnectionDisposition::Retain);
    assert_eq!(says(&mut p, commit, SHUT), ConnectionDisposition::Release);
    // With autocommit off a statement that reads no table opens none.
    assert_eq!(
        says(
            &mut StickySession::new(terms(), 0.0),
            begins(StickyReason::Transaction),
            SHUT
        ),
        ConnectionDisposition::Release
    );
}

#[test]
fn a_deadlock_ends_the_transaction_and_nothing_else() {
    let mut p = StickySession::new(terms(), 0.0);
    says(&mut p, begins(StickyReason::Transaction), OPEN);
    assert_eq!(
        says(
            &mut p,
            StatementEffect::default(),
            EngineResponse::Error(1213)
        ),
        ConnectionDisposition::Release
    );
    says(&mut p, begins(StickyReason::TemporaryTable), OPEN);
    assert_eq!(
        says(
            &mut p,
            StatementEffect::default(),
            EngineResponse::Error(1213)
        ),
        ConnectionDisposition::Retain
    );
    assert!(
        p.is_bound_by(StickyReason::TemporaryTable) && !p.is_bound_by(StickyReason::Transaction)
    );
}

#[test]
fn locks_hold_until_unlocked_and_the_rest_until_the_session_ends() {
    let mut p = StickySession::new(terms(), 0.0);
    assert_eq!(
        says(&mut p, begins(StickyReason::TableLocks), SHUT),
        ConnectionDisposition::Retain
    );
    assert_eq!(
        says(
            &mut p,
            StatementEffect {
                unlocks_tables: true,
                ..StatementEffect::default()
            },
            SHUT
        ),
        ConnectionDisposition::Release
    );
    for reason in [
        StickyReason::TemporaryTable,
        StickyReason::UserLock,
        StickyReason::SessionVariable,
    ] {
        let mut p = StickySession::new(terms(), 0.0);
        assert_eq!(
            says(&mut p, begins(reason), SHUT),
            ConnectionDisposition::Retain,
            "{reason:?}"
        );
        assert_eq!(
            says(
                &mut p,
                StatementEffect {
                    unlocks_tables: true,
                    ..StatementEffect::default()
                },
                SHUT
            ),
            ConnectionDisposition::Retain,
            "{reason:?}"
        );
        assert_eq!(
            says(
                &mut StickySession::new(terms(), 0.0),
                begins(reason),
                EngineResponse::Error(1064)
            ),
            ConnectionDisposition::Release
        );
    }
}

#[test]
fn an_idle_pin_ends_and_one_whose_statement_runs_does_not() {
    let mut p = StickySession::new(terms(), 0.0);
    p.on_statement_sent(10.0, begins(StickyReason::Transaction));
    assert_eq!(p.expired(500.0), None, "it runs");
    p.on_response(500.0, OPEN);
    assert_eq!(
        (p.expired(599.0), p.expired(600.0)),
        (None, Some(Expired::Idle))
    );
    p.on_statement_sent(600.0, StatementEffect::default());
    assert_eq!(
        p.expired(1000.0),
        Some(Expired::MaxLifetime),
        "however busy"
    );
}

#[test]
fn a_drain_gives_a_pin_its_time_from_when_it_was_first_seen() {
    let mut p = StickySession::new(terms(), 0.0);
    p.on_statement_sent(0.0, begins(StickyReason::Transaction));
    p.on_engine_draining(5.0);
    p.on_engine_draining(40.0);
    assert_eq!(
        (p.expired(54.0), p.expired(55.0)),
        (None, Some(Expired::EngineDraining)),
        "also while a statement runs"
    );
}

#[test]
fn only_a_commit_on_its_way_leaves_open_what_holds() {
    assert_eq!(
        TransactionOutcome::of_lost_connection(None),
        TransactionOutcome::RolledBack
    );
    assert_eq!(
        TransactionOutcome::of_lost_connection(Some(StatementEffect::default())),
        TransactionOutcome::RolledBack
    );
    assert_eq!(
        TransactionOutcome::of_lost_connection(Some(StatementEffect {
            commits: true,
            ..StatementEffect::default()
        })),
        TransactionOutcome::Unknown
    );
}

#[test]
fn pins_are_counted_by_tenant_and_given_back() {
    let (mut b, t) = (StickySessionTable::default(), terms());
    assert_eq!(
        (b.acquire(&t, Some(0)), b.acquire(&t, Some(0))),
        (Ok(()), Ok(()))
    );
    assert_eq!(b.acquire(&t, Some(0)), Err(StickySessionLimitError::Tenant));
    assert_eq!(b.acquire(&t, None), Ok(()));
    assert_eq!(b.acquire(&t, Some(1)), Err(StickySessionLimitError::Total));
    b.release(Some(0));
    b.release(Some(7));
    assert_eq!(b.acquire(&t, Some(1)), Ok(()));
    for tenant in [Some(0), None, Some(1)] {
        b.release(tenant);
    }
    assert_eq!((b.total(), b.tenants.len()), (0, 0));
}
