use super::*;

const IN_TRANSACTION: EngineResponse = EngineResponse::Status {
    in_transaction: true,
};
const NOT_IN_TRANSACTION: EngineResponse = EngineResponse::Status {
    in_transaction: false,
};
const NO_EFFECT: StatementEffect = StatementEffect {
    acquires: None,
    unlocks_tables: false,
    commits: Commits::Nothing,
    opens_transaction: false,
};
const COMMIT: StatementEffect = StatementEffect {
    commits: Commits::OpenTransaction,
    ..NO_EFFECT
};
const UNLOCK_TABLES: StatementEffect = StatementEffect {
    unlocks_tables: true,
    ..NO_EFFECT
};

fn new_session() -> StickySession {
    let limits = StickySessionLimits {
        idle_timeout: 100.0,
        max_lifetime: 1000.0,
        drain_timeout: 50.0,
        max_sessions: 3,
        max_sessions_per_tenant: 2,
    };
    StickySession::new(limits, 0.0)
}

fn acquires(reason: StickyReason) -> StatementEffect {
    StatementEffect {
        acquires: Some(reason),
        ..NO_EFFECT
    }
}

fn run(
    session: &mut StickySession,
    statement: StatementEffect,
    response: EngineResponse,
) -> ConnectionDisposition {
    session.on_statement_sent(0.0, statement);
    session.on_response(0.0, response)
}

#[test]
fn a_transaction_retains_the_connection_until_the_status_flags_end_it() {
    use ConnectionDisposition::{Release, Retain};
    let mut session = new_session();
    let begin = acquires(StickyReason::Transaction);
    assert_eq!(run(&mut session, begin, IN_TRANSACTION), Retain);
    assert_eq!(run(&mut session, NO_EFFECT, IN_TRANSACTION), Retain);
    assert_eq!(
        run(&mut session, NO_EFFECT, EngineResponse::Error(1062)),
        Retain,
        "a duplicate-key error does not end the transaction"
    );
    // COMMIT AND CHAIN opens the next transaction.
    assert_eq!(run(&mut session, COMMIT, IN_TRANSACTION), Retain);
    assert_eq!(run(&mut session, COMMIT, NOT_IN_TRANSACTION), Release);
    // With autocommit off, a statement that reads no table opens no transaction.
    assert_eq!(run(&mut new_session(), begin, NOT_IN_TRANSACTION), Release);
}

#[test]
fn a_deadlock_ends_the_transaction_and_nothing_else() {
    use ConnectionDisposition::{Release, Retain};
    const DEADLOCK: EngineResponse = EngineResponse::Error(1213);
    let mut session = new_session();
    run(
        &mut session,
        acquires(StickyReason::Transaction),
        IN_TRANSACTION,
    );
    assert_eq!(run(&mut session, NO_EFFECT, DEADLOCK), Release);
    run(
        &mut session,
        acquires(StickyReason::TemporaryTable),
        IN_TRANSACTION,
    );
    assert_eq!(run(&mut session, NO_EFFECT, DEADLOCK), Retain);
    assert!(session.is_bound_by(StickyReason::TemporaryTable));
    assert!(!session.is_bound_by(StickyReason::Transaction));
}

#[test]
fn table_locks_bind_until_unlocked_and_other_state_until_the_session_ends() {
    use ConnectionDisposition::{Release, Retain};
    let mut session = new_session();
    let lock_tables = acquires(StickyReason::TableLocks);
    assert_eq!(run(&mut session, lock_tables, NOT_IN_TRANSACTION), Retain);
    assert_eq!(
        run(&mut session, UNLOCK_TABLES, NOT_IN_TRANSACTION),
        Release
    );
    for reason in [
        StickyReason::TemporaryTable,
        StickyReason::UserLock,
        StickyReason::SessionVariable,
    ] {
        let mut session = new_session();
        let statement = acquires(reason);
        assert_eq!(
            run(&mut session, statement, NOT_IN_TRANSACTION),
            Retain,
            "{reason:?}"
        );
        assert_eq!(
            run(&mut session, UNLOCK_TABLES, NOT_IN_TRANSACTION),
            Retain,
            "{reason:?}"
        );
        assert_eq!(
            run(&mut new_session(), statement, EngineResponse::Error(1064)),
            Release,
            "{reason:?}"
        );
    }
}

#[test]
fn an_idle_session_expires_and_one_with_a_statement_in_flight_does_not() {
    let mut session = new_session();
    session.on_statement_sent(10.0, acquires(StickyReason::Transaction));
    assert_eq!(session.expired(500.0), None, "a statement is in flight");
    session.on_response(500.0, IN_TRANSACTION);
    assert_eq!(session.expired(599.0), None);
    assert_eq!(session.expired(600.0), Some(Expired::Idle));
    session.on_statement_sent(600.0, NO_EFFECT);
    assert_eq!(
        session.expired(1000.0),
        Some(Expired::MaxLifetime),
        "the maximum lifetime also applies to a busy session"
    );
}

#[test]
fn the_drain_timeout_runs_from_the_first_time_the_drain_was_seen() {
    let mut session = new_session();
    session.on_statement_sent(0.0, acquires(StickyReason::Transaction));
    session.on_engine_draining(5.0);
    session.on_engine_draining(40.0);
    assert_eq!(session.expired(54.0), None);
    assert_eq!(
        session.expired(55.0),
        Some(Expired::EngineDraining),
        "also while a statement is in flight"
    );
}

/// Guards against a lock or a variable that stays on a pooled connection: the statement failed after it had got it.
#[test]
fn a_failed_statement_may_have_acquired_locks_and_variables() {
    use ConnectionDisposition::{Release, Retain};
    const STORAGE_FAILED: EngineResponse = EngineResponse::Error(1030);
    for (reason, after_failure) in [
        (StickyReason::UserLock, Retain),
        (StickyReason::SessionVariable, Retain),
        (StickyReason::TemporaryTable, Release),
        (StickyReason::TableLocks, Release),
    ] {
        let statement = acquires(reason);
        let disposition = run(&mut new_session(), statement, STORAGE_FAILED);
        assert_eq!(disposition, after_failure, "{reason:?}");
        let disposition = run(&mut new_session(), statement, EngineResponse::NotExecuted);
        assert_eq!(disposition, Release, "{reason:?}");
    }
    assert!(STORAGE_FAILED.follows_execution() && IN_TRANSACTION.follows_execution());
    assert!(!EngineResponse::NotExecuted.follows_execution());
}

/// Guards against a connection that returns to the pool while its transaction may be open: an error has no status
/// flags, and with autocommit off the statement may have opened one.
#[test]
fn a_first_statement_that_fails_with_autocommit_off_retains_the_connection() {
    use ConnectionDisposition::{Release, Retain};
    let statement = StatementEffect {
        commits: Commits::AutocommittedChanges,
        opens_transaction: true,
        ..NO_EFFECT
    };
    let mut session = new_session();
    let response = EngineResponse::Error(1205);
    assert_eq!(run(&mut session, statement, response), Retain);
    assert_eq!(run(&mut session, COMMIT, NOT_IN_TRANSACTION), Release);
}

#[test]
fn the_outcome_of_a_loss_depends_on_the_statement_in_flight() {
    let mut session = new_session();
    let begin = acquires(StickyReason::Transaction);
    run(&mut session, begin, IN_TRANSACTION);
    assert_eq!(session.outcome_of_loss(), TransactionOutcome::RolledBack);
    session.on_statement_sent(0.0, COMMIT);
    assert_eq!(session.outcome_of_loss(), TransactionOutcome::Unknown);
    session.on_response(0.0, NOT_IN_TRANSACTION);
    assert_eq!(session.outcome_of_loss(), TransactionOutcome::NoTransaction);
}
