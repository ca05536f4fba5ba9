//! The state machine of one sticky session.

use super::StickySessionLimits;
use crate::decision::model::Millis;
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// `ER_LOCK_DEADLOCK`: the engine has rolled back the whole transaction.
const ER_LOCK_DEADLOCK: u16 = 1213;

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
    /// The statement commits, explicitly or implicitly. If the connection is lost after it is sent and before
    /// the response, the transaction outcome is unknown.
    pub commits: bool,
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

/// The outcome of an open transaction whose engine connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// Engines roll back an uncommitted transaction when its connection breaks.
    RolledBack,
    /// A commit was in flight. Only the engine knows its outcome, so it is never retried.
    Unknown,
}

impl TransactionOutcome {
    /// Returns the outcome of a transaction whose connection was lost before the response to the statement
    /// `in_flight`.
    pub fn of_lost_connection(in_flight: Option<StatementEffect>) -> Self {
        if in_flight.is_some_and(|statement| statement.commits) {
            TransactionOutcome::Unknown
        } else {
            TransactionOutcome::RolledBack
        }
    }
}

/// A session that holds an engine connection.
#[derive(Clone, Debug)]
pub struct StickySession {
    limits: StickySessionLimits,
    created_at: Millis,
    last_used_at: Millis,
    draining_since: Option<Millis>,
    in_flight: Option<StatementEffect>,
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
        match response {
            EngineResponse::Status { in_transaction } => {
                self.apply_effect(statement);
                self.set_in_transaction(in_transaction);
            }
            EngineResponse::Error(ER_LOCK_DEADLOCK) => self.set_in_transaction(false),
            // The statement had no effect, and an open transaction stays open.
            EngineResponse::Error(_) => {}
        }
        if self.reasons.is_empty() {
            ConnectionDisposition::Release
        } else {
            ConnectionDisposition::Retain
        }
    }

    /// Applies the effect of a successful statement, except on the transaction, whose state the status flags
    /// report.
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

    fn set_in_transaction(&mut self, in_transaction: bool) {
        if in_transaction {
            self.reasons.insert(StickyReason::Transaction);
        } else {
            self.reasons.remove(&StickyReason::Transaction);
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
        self.reasons.contains(&reason)
    }
}
