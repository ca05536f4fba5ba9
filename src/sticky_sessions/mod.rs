//! When a session keeps to one engine connection, for how long, and what becomes of it. Pure: time is passed in, and
//! what an engine's answer tells of the session's state.
//!
//! A pin is one attempt for the decision module: it chose the engine when the pin began, what runs there goes on while
//! the engine drains, and nothing of it is ever sent to another engine.

#[cfg(test)]
mod tests;

use crate::decision::model::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// What keeps a session on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StickyReason {
    /// A transaction is open: until the engine's status tells that none is.
    Transaction,
    /// LOCK TABLES, until UNLOCK TABLES.
    TableLocks,
    /// A temporary table, until the session ends or is reset.
    TemporaryTable,
    /// GET_LOCK, until the session ends or is reset.
    UserLock,
    /// A variable that cannot be set anew elsewhere, until the session ends or is reset.
    SessionVariable,
}

/// What a statement means to a pin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatementEffect {
    pub acquires: Option<StickyReason>,
    /// UNLOCK TABLES.
    pub unlocks_tables: bool,
    /// It commits, plainly or by the way: once it is sent, a lost answer leaves open what holds.
    pub commits: bool,
}

/// What an engine's answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineResponse {
    /// The status behind an OK or a result: a transaction is open.
    Status { in_transaction: bool },
    /// An error, by its code.
    Error(u16),
}

/// How the pins of a dispatcher are bounded.
#[derive(Clone, Debug, PartialEq)]
pub struct StickySessionLimits {
    /// A pin that no statement has used for this long ends.
    pub idle_timeout: Millis,
    /// No pin lives longer.
    pub max_lifetime: Millis,
    /// A pin whose engine drains has this long to end by itself.
    pub drain_timeout: Millis,
    /// Pins of all sessions together, and of one tenant.
    pub max_sessions: usize,
    pub max_sessions_per_tenant: usize,
}

/// Why a pin was ended by the dispatcher: what was open is rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Expired {
    #[error("no statement came for too long")]
    Idle,
    #[error("it was open for too long")]
    MaxLifetime,
    #[error("its engine drains")]
    EngineDraining,
}

/// What comes after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionDisposition {
    /// The session stays on its connection.
    Retain,
    /// Nothing holds it there, and the connection may serve others.
    Release,
}

/// What became of an open transaction whose connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// Engines roll back what was not committed when its connection breaks.
    RolledBack,
    /// A commit was on its way: only the engine knows. Never sent again.
    Unknown,
}

/// One session's pin.
#[derive(Clone, Debug)]
pub struct StickySession {
    terms: StickySessionLimits,
    since: Millis,
    used: Millis,
    drains: Option<Millis>,
    out: Option<StatementEffect>,
    reasons: BTreeSet<StickyReason>,
}

/// The engine has rolled the whole transaction back.
const DEADLOCK: u16 = 1213;

impl StickySession {
    pub fn new(terms: StickySessionLimits, now: Millis) -> Self {
        StickySession {
            terms,
            since: now,
            used: now,
            drains: None,
            out: None,
            reasons: BTreeSet::new(),
        }
    }

    /// A statement goes out.
    pub fn on_statement_sent(&mut self, now: Millis, step: StatementEffect) {
        (self.used, self.out) = (now, Some(step));
    }

    /// Its answer is here.
    pub fn on_response(&mut self, now: Millis, after: EngineResponse) -> ConnectionDisposition {
        self.used = now;
        let step = self.out.take().unwrap_or_default();
        match after {
            EngineResponse::Status { in_transaction } => {
                self.reasons
                    .extend(step.acquires.filter(|r| *r != StickyReason::Transaction));
                if step.unlocks_tables {
                    self.reasons.remove(&StickyReason::TableLocks);
                }
                match in_transaction {
                    true => self.reasons.insert(StickyReason::Transaction),
                    false => self.reasons.remove(&StickyReason::Transaction),
                };
            }
            EngineResponse::Error(DEADLOCK) => {
                self.reasons.remove(&StickyReason::Transaction);
            }
            // The statement came to nothing; what was open is open still.
            EngineResponse::Error(_) => {}
        }
        if self.reasons.is_empty() {
            ConnectionDisposition::Release
        } else {
            ConnectionDisposition::Retain
        }
    }

    /// The engine drains, as of now; it is told as often as it is seen.
    pub fn on_engine_draining(&mut self, now: Millis) {
        self.drains.get_or_insert(now);
    }

    /// When the pin ends if nothing else happens, and why. A statement that runs is not idle.
    pub fn expiry(&self) -> (Millis, Expired) {
        let mut due = (self.since + self.terms.max_lifetime, Expired::MaxLifetime);
        let idle = self
            .out
            .is_none()
            .then_some((self.used + self.terms.idle_timeout, Expired::Idle));
        let drain = self
            .drains
            .map(|at| (at + self.terms.drain_timeout, Expired::EngineDraining));
        for other in [idle, drain].into_iter().flatten() {
            if other.0 < due.0 {
                due = other;
            }
        }
        due
    }

    pub fn expired(&self, now: Millis) -> Option<Expired> {
        let (at, why) = self.expiry();
        (now >= at).then_some(why)
    }

    pub fn is_bound_by(&self, reason: StickyReason) -> bool {
        self.reasons.contains(&reason)
    }
}

impl TransactionOutcome {
    /// What became of the transaction when its connection broke with this statement out.
    pub fn of_lost_connection(out: Option<StatementEffect>) -> Self {
        match out.is_some_and(|s| s.commits) {
            true => TransactionOutcome::Unknown,
            false => TransactionOutcome::RolledBack,
        }
    }
}

/// Why no pin may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StickySessionLimitError {
    #[error("too many sessions hold an engine connection")]
    Total,
    #[error("too many sessions of this tenant hold an engine connection")]
    Tenant,
}

/// Counts who holds pins.
#[derive(Debug, Default)]
pub struct StickySessionTable {
    all: usize,
    tenants: BTreeMap<Option<usize>, usize>,
}

impl StickySessionTable {
    /// # Errors
    /// A bound is reached; nothing was counted.
    pub fn acquire(
        &mut self,
        terms: &StickySessionLimits,
        tenant: Option<usize>,
    ) -> Result<(), StickySessionLimitError> {
        if self.all >= terms.max_sessions {
            return Err(StickySessionLimitError::Total);
        }
        let of = self.tenants.get(&tenant).copied().unwrap_or(0);
        if of >= terms.max_sessions_per_tenant {
            return Err(StickySessionLimitError::Tenant);
        }
        self.all += 1;
        self.tenants.insert(tenant, of + 1);
        Ok(())
    }

    pub fn release(&mut self, tenant: Option<usize>) {
        let Some(of) = self.tenants.get_mut(&tenant) else {
            return;
        };
        *of -= 1;
        if *of == 0 {
            self.tenants.remove(&tenant);
        }
        self.all -= 1;
    }

    pub fn total(&self) -> usize {
        self.all
    }
}
