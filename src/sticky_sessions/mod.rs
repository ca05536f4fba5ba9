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
pub enum Reason {
    /// A transaction is open: until the engine's status tells that none is.
    Transaction,
    /// LOCK TABLES, until UNLOCK TABLES.
    Tables,
    /// A temporary table, until the session ends or is reset.
    Temporary,
    /// GET_LOCK, until the session ends or is reset.
    UserLock,
    /// A variable that cannot be set anew elsewhere, until the session ends or is reset.
    Variable,
}

/// What a statement means to a pin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Step {
    pub begins: Option<Reason>,
    /// UNLOCK TABLES.
    pub unlocks: bool,
    /// It commits, plainly or by the way: once it is sent, a lost answer leaves open what holds.
    pub commits: bool,
}

/// What an engine's answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    /// The status behind an OK or a result: a transaction is open.
    Status { open: bool },
    /// An error, by its code.
    Error(u16),
}

/// How the pins of a dispatcher are bounded.
#[derive(Clone, Debug, PartialEq)]
pub struct StickySessionLimits {
    /// A pin that no statement has used for this long ends.
    pub idle: Millis,
    /// No pin lives longer.
    pub longest: Millis,
    /// A pin whose engine drains has this long to end by itself.
    pub drain: Millis,
    /// Pins of all sessions together, and of one tenant.
    pub most: usize,
    pub most_of_tenant: usize,
}

/// Why a pin was ended by the dispatcher: what was open is rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Expired {
    #[error("no statement came for too long")]
    Idle,
    #[error("it was open for too long")]
    Longest,
    #[error("its engine drains")]
    Drains,
}

/// What comes after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The session stays on its connection.
    Keep,
    /// Nothing holds it there, and the connection may serve others.
    Free,
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
    out: Option<Step>,
    reasons: BTreeSet<Reason>,
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
    pub fn sent(&mut self, now: Millis, step: Step) {
        (self.used, self.out) = (now, Some(step));
    }

    /// Its answer is here.
    pub fn answered(&mut self, now: Millis, after: After) -> Next {
        self.used = now;
        let step = self.out.take().unwrap_or_default();
        match after {
            After::Status { open } => {
                self.reasons
                    .extend(step.begins.filter(|r| *r != Reason::Transaction));
                if step.unlocks {
                    self.reasons.remove(&Reason::Tables);
                }
                match open {
                    true => self.reasons.insert(Reason::Transaction),
                    false => self.reasons.remove(&Reason::Transaction),
                };
            }
            After::Error(DEADLOCK) => drop(self.reasons.remove(&Reason::Transaction)),
            // The statement came to nothing; what was open is open still.
            After::Error(_) => {}
        }
        if self.reasons.is_empty() {
            Next::Free
        } else {
            Next::Keep
        }
    }

    /// The engine drains, as of now; it is told as often as it is seen.
    pub fn drains(&mut self, now: Millis) {
        self.drains.get_or_insert(now);
    }

    /// When the pin ends if nothing else happens, and why. A statement that runs is not idle.
    pub fn due(&self) -> (Millis, Expired) {
        let mut due = (self.since + self.terms.longest, Expired::Longest);
        let idle = self
            .out
            .is_none()
            .then_some((self.used + self.terms.idle, Expired::Idle));
        let drain = self
            .drains
            .map(|at| (at + self.terms.drain, Expired::Drains));
        for other in [idle, drain].into_iter().flatten() {
            if other.0 < due.0 {
                due = other;
            }
        }
        due
    }

    pub fn over(&self, now: Millis) -> Option<Expired> {
        let (at, why) = self.due();
        (now >= at).then_some(why)
    }

    pub fn holds(&self, reason: Reason) -> bool {
        self.reasons.contains(&reason)
    }
}

/// What became of the transaction when its connection broke with this statement out.
pub fn fate(out: Option<Step>) -> TransactionOutcome {
    match out.is_some_and(|s| s.commits) {
        true => TransactionOutcome::Unknown,
        false => TransactionOutcome::RolledBack,
    }
}

/// Why no pin may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StickySessionLimitError {
    #[error("too many sessions hold an engine connection")]
    All,
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
    pub fn take(
        &mut self,
        terms: &StickySessionLimits,
        tenant: Option<usize>,
    ) -> Result<(), StickySessionLimitError> {
        if self.all >= terms.most {
            return Err(StickySessionLimitError::All);
        }
        let of = self.tenants.get(&tenant).copied().unwrap_or(0);
        if of >= terms.most_of_tenant {
            return Err(StickySessionLimitError::Tenant);
        }
        self.all += 1;
        self.tenants.insert(tenant, of + 1);
        Ok(())
    }

    pub fn give(&mut self, tenant: Option<usize>) {
        let Some(of) = self.tenants.get_mut(&tenant) else {
            return;
        };
        *of -= 1;
        if *of == 0 {
            self.tenants.remove(&tenant);
        }
        self.all -= 1;
    }

    pub fn all(&self) -> usize {
        self.all
    }
}
