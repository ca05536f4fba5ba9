//! The transaction of a sticky session, as far as the responses of its engine show it, and what is known of it
//! once the connection is lost.

use super::session::{EngineResponse, StatementEffect};

#[cfg(test)]
mod tests;

/// `ER_LOCK_DEADLOCK`: the engine has rolled back the whole transaction.
const ER_LOCK_DEADLOCK: u16 = 1213;

/// What a statement commits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Commits {
    /// The statement neither changes data nor commits.
    #[default]
    Nothing,
    /// Its own changes, unless a transaction is open, which they become part of.
    AutocommittedChanges,
    /// The open transaction, explicitly or implicitly. The statement itself changes no data: `COMMIT`, `BEGIN`,
    /// `LOCK TABLES`.
    OpenTransaction,
    /// The open transaction, implicitly, and then its own changes: the definition of tables or users.
    Everything,
}

/// The state of a session's transaction after the last response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    NotOpen,
    /// A transaction is open.
    Open,
    /// A statement has failed, and the error does not tell whether the transaction is still open or the engine
    /// has rolled it back.
    OpenOrRolledBack,
    /// A statement that commits has failed, and the error does not tell whether it had committed before.
    OpenOrCommitted,
}

/// What is known of a session's work after its engine connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The transaction is rolled back, including the statement in flight: engines roll back an uncommitted
    /// transaction when its connection breaks.
    RolledBack,
    /// The statement in flight may have been committed. Only the engine knows, so it is never retried.
    Unknown,
    /// No transaction was open, and the statement in flight has changed nothing. Earlier statements stay
    /// committed.
    NoTransaction,
}

impl TransactionState {
    /// Returns whether a transaction is open or may be open.
    pub fn may_be_open(self) -> bool {
        self != TransactionState::NotOpen
    }

    /// Returns the state after the engine's response to a statement. Only a successful response has status flags.
    pub(super) fn after(self, statement: StatementEffect, response: EngineResponse) -> Self {
        match response {
            EngineResponse::Status {
                in_transaction: true,
            } => TransactionState::Open,
            EngineResponse::Status {
                in_transaction: false,
            }
            | EngineResponse::Error(ER_LOCK_DEADLOCK) => TransactionState::NotOpen,
            failure if failure.follows_execution() => self.after_error(statement),
            EngineResponse::Error(_) | EngineResponse::NotExecuted => self,
        }
    }

    fn after_error(self, statement: StatementEffect) -> Self {
        let commits_open_transaction = matches!(
            statement.commits,
            Commits::OpenTransaction | Commits::Everything
        );
        match self {
            // An implicit commit precedes the statement that causes it, so that it holds if the statement fails.
            state if commits_open_transaction && state.may_be_open() => {
                TransactionState::OpenOrCommitted
            }
            TransactionState::NotOpen
                if statement.opens_transaction && !commits_open_transaction =>
            {
                TransactionState::OpenOrRolledBack
            }
            TransactionState::Open => TransactionState::OpenOrRolledBack,
            state => state,
        }
    }

    /// Returns what is known after the connection was lost before the response to the statement `in_flight`;
    /// `None` if no statement had been sent since the last response.
    pub fn outcome_of_loss(self, in_flight: Option<StatementEffect>) -> TransactionOutcome {
        let statement = in_flight.unwrap_or_default();
        match statement.commits {
            Commits::Everything => TransactionOutcome::Unknown,
            Commits::OpenTransaction if self.may_be_open() => TransactionOutcome::Unknown,
            // If the engine has rolled back the transaction, the statement has run outside of one.
            Commits::AutocommittedChanges
                if self != TransactionState::Open && !statement.opens_transaction =>
            {
                TransactionOutcome::Unknown
            }
            _ => self.outcome_without_commit(statement),
        }
    }

    /// Returns what is known of the transaction if the statement in flight cannot have committed anything.
    fn outcome_without_commit(self, statement: StatementEffect) -> TransactionOutcome {
        match self {
            TransactionState::OpenOrCommitted => TransactionOutcome::Unknown,
            TransactionState::Open | TransactionState::OpenOrRolledBack => {
                TransactionOutcome::RolledBack
            }
            TransactionState::NotOpen if statement.opens_transaction => {
                TransactionOutcome::RolledBack
            }
            TransactionState::NotOpen => TransactionOutcome::NoTransaction,
        }
    }
}
