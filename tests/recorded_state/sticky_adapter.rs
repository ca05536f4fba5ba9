//! Sticky sessions as the streams use them. The only file of this test that names the machine's own items.

use super::recording::{Recording, float};
use query_dispatcher::sticky_sessions::{
    ConnectionDisposition, EngineResponse, Expired, StatementEffect, StickyReason, StickySession,
    StickySessionLimitError, StickySessionLimits, StickySessionTable, TransactionOutcome,
};

#[derive(Clone, Copy)]
pub(crate) struct Options {
    pub(crate) idle_timeout: f64,
    pub(crate) longest: f64,
    pub(crate) drain_timeout: f64,
    pub(crate) session_limit: usize,
    pub(crate) tenant_limit: usize,
}

#[derive(Clone, Copy)]
pub(crate) enum Hold {
    Transaction,
    TableLock,
    TemporaryTable,
    UserLock,
    Variable,
}

pub(crate) const HOLDS: [Hold; 5] = [
    Hold::Transaction,
    Hold::TableLock,
    Hold::TemporaryTable,
    Hold::UserLock,
    Hold::Variable,
];

#[derive(Clone, Copy)]
pub(crate) struct Statement {
    pub(crate) begins: Option<Hold>,
    pub(crate) unlocks: bool,
    pub(crate) commits: bool,
}

#[derive(Clone, Copy)]
pub(crate) enum Answer {
    Status { transaction_open: bool },
    Error(u16),
}

fn terms(options: Options) -> StickySessionLimits {
    StickySessionLimits {
        idle_timeout: options.idle_timeout,
        max_lifetime: options.longest,
        drain_timeout: options.drain_timeout,
        max_sessions: options.session_limit,
        max_sessions_per_tenant: options.tenant_limit,
    }
}

fn reason(hold: Hold) -> StickyReason {
    match hold {
        Hold::Transaction => StickyReason::Transaction,
        Hold::TableLock => StickyReason::TableLocks,
        Hold::TemporaryTable => StickyReason::TemporaryTable,
        Hold::UserLock => StickyReason::UserLock,
        Hold::Variable => StickyReason::SessionVariable,
    }
}

fn step(statement: Statement) -> StatementEffect {
    StatementEffect {
        acquires: statement.begins.map(reason),
        unlocks_tables: statement.unlocks,
        commits: statement.commits,
    }
}

#[derive(Clone)]
pub(crate) struct RecordedStickySession(StickySession);

impl RecordedStickySession {
    pub(crate) fn new(options: Options, now: f64) -> Self {
        RecordedStickySession(StickySession::new(terms(options), now))
    }

    pub(crate) fn sent(&mut self, now: f64, statement: Statement) {
        self.0.on_statement_sent(now, step(statement));
    }

    /// True if the session is free again.
    pub(crate) fn answered(&mut self, now: f64, answer: Answer, recording: &mut Recording) -> bool {
        let after = match answer {
            Answer::Status { transaction_open } => EngineResponse::Status {
                in_transaction: transaction_open,
            },
            Answer::Error(code) => EngineResponse::Error(code),
        };
        let next = self.0.on_response(now, after);
        let kind = match next {
            ConnectionDisposition::Retain => "session kept",
            ConnectionDisposition::Release => "session free",
        };
        recording.count(kind);
        recording.state(kind);
        next == ConnectionDisposition::Release
    }

    pub(crate) fn engine_drains(&mut self, now: f64) {
        self.0.on_engine_draining(now);
    }

    /// Records when and why it ends; true if that is now.
    pub(crate) fn record_end(&self, now: f64, recording: &mut Recording) -> bool {
        let (at, over) = self.0.expiry();
        let holds = HOLDS.map(|hold| self.0.is_bound_by(reason(hold)));
        recording.state(&format!("ends {} {} {holds:?}", float(at), end_kind(over)));
        let ended = self.0.expired(now);
        if let Some(over) = ended {
            recording.count(end_kind(over));
            recording.state(&format!("ended {}", end_kind(over)));
            recording.wording(&over.to_string());
        }
        ended.is_some()
    }
}

fn end_kind(over: Expired) -> &'static str {
    match over {
        Expired::Idle => "idle timeout",
        Expired::MaxLifetime => "lifetime over",
        Expired::EngineDraining => "drain timeout",
    }
}

/// What became of a transaction whose connection was lost.
pub(crate) fn record_lost_connection(sent: Option<Statement>, recording: &mut Recording) {
    let kind = match TransactionOutcome::of_lost_connection(sent.map(step)) {
        TransactionOutcome::RolledBack => "rolled back",
        TransactionOutcome::Unknown => "outcome unknown",
    };
    recording.count(kind);
    recording.state(kind);
}

#[derive(Default)]
pub(crate) struct SessionLimits(StickySessionTable);

impl SessionLimits {
    pub(crate) fn acquire(
        &mut self,
        options: Options,
        tenant: Option<usize>,
        recording: &mut Recording,
    ) -> bool {
        let result = self.0.acquire(&terms(options), tenant);
        let kind = match result {
            Ok(()) => "session begun",
            Err(StickySessionLimitError::Total) => "session limit reached",
            Err(StickySessionLimitError::Tenant) => "tenant limit reached",
        };
        recording.count(kind);
        recording.state(&format!("{kind} {}", self.0.total()));
        if let Err(error) = result {
            recording.wording(&error.to_string());
        }
        result.is_ok()
    }

    pub(crate) fn release(&mut self, tenant: Option<usize>, recording: &mut Recording) {
        self.0.release(tenant);
        recording.state(&format!("released {}", self.0.total()));
    }
}
