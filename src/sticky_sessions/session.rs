//! The state machine of one sticky session.

use super::StickySessionLimits;
use super::transaction::{Commits, TransactionOutcome, TransactionState};
use crate::decision::model::Millis;
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// `ER_PARSE_ERROR`: the engine cannot parse the statement, and has executed nothing of it.
const ER_PARSE_ERROR: u16 = 1064;

/// Connection state that makes a session keep its engine connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StickyReason {
    /// An open transaction, until the status flags of the engine report its end.
    Transaction,
    /// `LOCK TABLES`, until `UNLOCK TABLES`.
    TableLocks,
    /// A temporary table, until the session ends or is reset.
    TemporaryTable,
    /// `GET_LOCK`, until the session ends or is reset.
    UserLock,
    /// A variable that cannot be set again on another connection, until the session ends or is reset.
    SessionVariable,
}

/// The effect of a statement on the sticky session that runs it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatementEffect {
    /// The connection state that the statement creates if it succeeds.
    pub acquires: Option<StickyReason>,
    /// The statement is `UNLOCK TABLES`.
    pub unlocks_tables: bool,
    /// What the statement commits.
    pub commits: Commits,
    /// The statement opens a transaction if none is open: it is a `BEGIN`, or autocommit is off.
    pub opens_transaction: bool,
}

/// The part of an engine's response that matters to a sticky session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineResponse {
    /// The status flags of an OK packet or of the end of a result set.
    Status {
        /// `SERVER_STATUS_IN_TRANS` is set.
        in_transaction: bool,
    },
    /// An error packet with this error code.
    Error(u16),
    /// An error before the statement was sent: the engine rejected the session's context, or the preparation of
    /// the statement.
    NotExecuted,
}

impl EngineResponse {
    /// Returns whether the engine may have executed the statement, wholly or in part.
    pub fn follows_execution(self) -> bool {
        !matches!(
            self,
            EngineResponse::NotExecuted | EngineResponse::Error(ER_PARSE_ERROR)
        )
    }
}

/// What happens to the engine connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionDisposition {
    /// The session keeps its connection.
    Retain,
    /// No connection state remains: the connection may serve other sessions.
    Release,
}

/// Why the dispatcher ended a sticky session; an open transaction is rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Expired {
    /// No statement was sent within the idle timeout.
    #[error("no statement came for too long")]
    Idle,
    /// The session has reached its maximum lifetime.
    #[error("it was open for too long")]
    MaxLifetime,
    /// The engine has been draining for the drain timeout.
    #[error("its engine drains")]
    EngineDraining,
}

/// A session that holds an engine connection.
#[derive(Clone, Debug)]
pub struct StickySession {
    limits: StickySessionLimits,
    created_at: Millis,
    last_used_at: Millis,
    draining_since: Option<Millis>,
    in_flight: Option<StatementEffect>,
    transaction: TransactionState,
    /// The reasons to keep the connection apart from the transaction.
    reasons: BTreeSet<StickyReason>,
}

impl StickySession {
    /// Creates a session that begins at `now`, before its first statement.
    pub fn new(limits: StickySessionLimits, now: Millis) -> Self {
        StickySession {
            limits,
            created_at: now,
            last_used_at: now,
            draining_since: None,
            in_flight: None,
            transaction: TransactionState::default(),
            reasons: BTreeSet::new(),
        }
    }

    /// Records that a statement is sent to the engine.
    pub fn on_statement_sent(&mut self, now: Millis, statement: StatementEffect) {
        self.last_used_at = now;
        self.in_flight = Some(statement);
    }

    /// Records the response to the statement in flight and decides what happens to the connection.
    pub fn on_response(&mut self, now: Millis, response: EngineResponse) -> ConnectionDisposition {
        self.last_used_at = now;
        let statement = self.in_flight.take().unwrap_or_default();
        self.transaction = self.transaction.after(statement, response);
        match response {
            EngineResponse::Status { .. } => self.apply_effect(statement),
            failure if failure.follows_execution() => self.apply_effect_of_failure(statement),
            _ => {}
        }
        if self.reasons.is_empty() && !self.transaction.may_be_open() {
            ConnectionDisposition::Release
        } else {
            ConnectionDisposition::Retain
        }
    }

    /// Applies the effect of a successful statement, except on the transaction.
    fn apply_effect(&mut self, statement: StatementEffect) {
        if let Some(reason) = statement.acquires
            && reason != StickyReason::Transaction
        {
            self.reasons.insert(reason);
        }
        if statement.unlocks_tables {
            self.reasons.remove(&StickyReason::TableLocks);
        }
    }

    /// Applies what a statement that fails in the middle of its execution may leave on the connection: a lock that
    /// it has got and variables that it has assigned stay. Tables and table locks are made whole or not at all.
    fn apply_effect_of_failure(&mut self, statement: StatementEffect) {
        if let Some(reason @ (StickyReason::UserLock | StickyReason::SessionVariable)) =
            statement.acquires
        {
            self.reasons.insert(reason);
        }
    }

    /// Records that the engine is draining. Only the first call starts the drain timeout.
    pub fn on_engine_draining(&mut self, now: Millis) {
        self.draining_since.get_or_insert(now);
    }

    /// Returns when the session expires if nothing else happens, and why. A session with a statement in
    /// flight is not idle.
    pub fn expiry(&self) -> (Millis, Expired) {
        let lifetime_end = self.created_at + self.limits.max_lifetime;
        let idle_end = self.last_used_at + self.limits.idle_timeout;
        let idle = self
            .in_flight
            .is_none()
            .then_some((idle_end, Expired::Idle));
        let drain = self.draining_since.map(|since| {
            let drain_end = since + self.limits.drain_timeout;
            (drain_end, Expired::EngineDraining)
        });
        let mut earliest = (lifetime_end, Expired::MaxLifetime);
        for candidate in [idle, drain].into_iter().flatten() {
            if candidate.0 < earliest.0 {
                earliest = candidate;
            }
        }
        earliest
    }

    /// Returns why the session has expired, or `None` if it has not.
    pub fn expired(&self, now: Millis) -> Option<Expired> {
        let (expires_at, cause) = self.expiry();
        (now >= expires_at).then_some(cause)
    }

    /// Whether the session keeps its connection because of this kind of connection state.
    pub fn is_bound_by(&self, reason: StickyReason) -> bool {
        match reason {
            StickyReason::Transaction => self.transaction.may_be_open(),
            other => self.reasons.contains(&other),
        }
    }

    /// Returns the state of the transaction after the last response.
    pub fn transaction(&self) -> TransactionState {
        self.transaction
    }

    /// Returns what is known of the session's work if its connection is lost now.
    pub fn outcome_of_loss(&self) -> TransactionOutcome {
        self.transaction.outcome_of_loss(self.in_flight)
    }
}
