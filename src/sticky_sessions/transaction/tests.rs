use super::*;

const READ: StatementEffect = StatementEffect {
    acquires: None,
    unlocks_tables: false,
    commits: Commits::Nothing,
    opens_transaction: false,
};
const WRITE: StatementEffect = StatementEffect {
    commits: Commits::AutocommittedChanges,
    ..READ
};
const COMMIT: StatementEffect = StatementEffect {
    commits: Commits::OpenTransaction,
    ..READ
};
const BEGIN: StatementEffect = StatementEffect {
    opens_transaction: true,
    ..COMMIT
};
const DEFINE_TABLE: StatementEffect = StatementEffect {
    commits: Commits::Everything,
    ..READ
};
/// With autocommit off, every statement on tables opens a transaction.
const MANUAL_READ: StatementEffect = StatementEffect {
    opens_transaction: true,
    ..READ
};
const MANUAL_WRITE: StatementEffect = StatementEffect {
    opens_transaction: true,
    ..WRITE
};

const OPEN: EngineResponse = EngineResponse::Status {
    in_transaction: true,
};
const NOT_OPEN: EngineResponse = EngineResponse::Status {
    in_transaction: false,
};
const DUPLICATE_KEY: EngineResponse = EngineResponse::Error(1062);
const DEADLOCK: EngineResponse = EngineResponse::Error(1213);

fn state_after(history: &[(StatementEffect, EngineResponse)]) -> TransactionState {
    history.iter().fold(
        TransactionState::default(),
        |state, (statement, response)| state.after(*statement, *response),
    )
}

/// Guards against a statement that commits by itself and is told to be rolled back when its connection is lost.
#[test]
fn only_what_an_open_transaction_holds_counts_as_rolled_back() {
    use TransactionOutcome::{NoTransaction, RolledBack, Unknown};
    let begun: &[_] = &[(BEGIN, OPEN)];
    let failed: &[_] = &[(BEGIN, OPEN), (WRITE, DUPLICATE_KEY)];
    let definition_failed: &[_] = &[(BEGIN, OPEN), (WRITE, OPEN), (DEFINE_TABLE, DUPLICATE_KEY)];
    let commit_failed: &[_] = &[(BEGIN, OPEN), (COMMIT, DUPLICATE_KEY)];
    let deadlocked: &[_] = &[(BEGIN, OPEN), (WRITE, DEADLOCK)];
    let committed: &[_] = &[(BEGIN, OPEN), (COMMIT, NOT_OPEN)];
    let manual_failed: &[_] = &[(MANUAL_WRITE, DUPLICATE_KEY)];
    let cases: [(&[(StatementEffect, EngineResponse)], _, _); 31] = [
        (&[], None, NoTransaction),
        (&[], Some(READ), NoTransaction),
        (&[], Some(WRITE), Unknown),
        (&[], Some(COMMIT), NoTransaction),
        (&[], Some(BEGIN), RolledBack),
        (&[], Some(DEFINE_TABLE), Unknown),
        (&[], Some(MANUAL_READ), RolledBack),
        (&[], Some(MANUAL_WRITE), RolledBack),
        (begun, None, RolledBack),
        (begun, Some(READ), RolledBack),
        (begun, Some(WRITE), RolledBack),
        (begun, Some(COMMIT), Unknown),
        (begun, Some(BEGIN), Unknown),
        (begun, Some(DEFINE_TABLE), Unknown),
        (committed, None, NoTransaction),
        (committed, Some(WRITE), Unknown),
        (deadlocked, None, NoTransaction),
        (deadlocked, Some(WRITE), Unknown),
        (failed, None, RolledBack),
        (failed, Some(READ), RolledBack),
        (failed, Some(WRITE), Unknown),
        (failed, Some(COMMIT), Unknown),
        (definition_failed, None, Unknown),
        (definition_failed, Some(READ), Unknown),
        (definition_failed, Some(WRITE), Unknown),
        (commit_failed, None, Unknown),
        (commit_failed, Some(READ), Unknown),
        (manual_failed, None, RolledBack),
        (manual_failed, Some(MANUAL_WRITE), RolledBack),
        (manual_failed, Some(COMMIT), Unknown),
        (manual_failed, Some(DEFINE_TABLE), Unknown),
    ];
    for (history, in_flight, expected) in cases {
        let outcome = state_after(history).outcome_of_loss(in_flight);
        assert_eq!(outcome, expected, "after {history:?}, with {in_flight:?}");
    }
}

#[test]
fn status_flags_resolve_the_state_after_an_error() {
    let failed = [(BEGIN, OPEN), (WRITE, DUPLICATE_KEY)];
    let state = state_after(&failed);
    assert_eq!(state, TransactionState::OpenOrRolledBack);
    assert_eq!(state.after(READ, OPEN), TransactionState::Open);
    assert_eq!(state.after(READ, NOT_OPEN), TransactionState::NotOpen);
    assert_eq!(
        state.after(READ, DUPLICATE_KEY),
        TransactionState::OpenOrRolledBack
    );
    // Without an open transaction, an error opens none, unless autocommit is off.
    for statement in [READ, WRITE, COMMIT, BEGIN, DEFINE_TABLE] {
        let state = state_after(&[(statement, DUPLICATE_KEY)]);
        assert_eq!(state, TransactionState::NotOpen, "{statement:?}");
    }
    let state = state_after(&[(MANUAL_READ, DUPLICATE_KEY)]);
    assert_eq!(state, TransactionState::OpenOrRolledBack);
}
