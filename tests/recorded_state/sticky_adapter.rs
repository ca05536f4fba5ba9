//! Adapter to sticky sessions: the only file of this test that uses the library's sticky session items.

use super::recording::{Recording, float};
use query_dispatcher::sticky_sessions::{
    Commits, ConnectionDisposition, EngineResponse, Expired, StatementEffect, StickyReason,
    StickySession, StickySessionLimitError, StickySessionLimits, StickySessionTable,
    TransactionOutcome,
};

#[derive(Clone, Copy)]
pub(crate) struct Options {
    pub(crate) idle_timeout: f64,
    pub(crate) max_lifetime: f64,
    pub(crate) drain_timeout: f64,
    pub(crate) max_sessions: usize,
    pub(crate) max_sessions_per_tenant: usize,
}

#[derive(Clone, Copy)]
pub(crate) enum Binding {
    Transaction,
    TableLock,
    TemporaryTable,
    UserLock,
    Variable,
}

pub(crate) const STICKY_REASONS: [Binding; 5] = [
    Binding::Transaction,
    Binding::TableLock,
    Binding::TemporaryTable,
    Binding::UserLock,
    Binding::Variable,
];

#[derive(Clone, Copy)]
pub(crate) struct Statement {
    pub(crate) acquires: Option<Binding>,
    pub(crate) unlocks_tables: bool,
    pub(crate) commits: bool,
}

#[derive(Clone, Copy)]
pub(crate) enum Answer {
    Status { transaction_open: bool },
    Error(u16),
}

fn limits(options: Options) -> StickySessionLimits {
    StickySessionLimits {
        idle_timeout: options.idle_timeout,
        max_lifetime: options.max_lifetime,
        drain_timeout: options.drain_timeout,
        max_sessions: options.max_sessions,
        max_sessions_per_tenant: options.max_sessions_per_tenant,
    }
}

fn reason(binding: Binding) -> StickyReason {
    match binding {
        Binding::Transaction => StickyReason::Transaction,
        Binding::TableLock => StickyReason::TableLocks,
        Binding::TemporaryTable => StickyReason::TemporaryTable,
        Binding::UserLock => StickyReason::UserLock,
        Binding::Variable => StickyReason::SessionVariable,
    }
}

fn effect(statement: Statement) -> StatementEffect {
    let begins = matches!(statement.acquires, Some(Binding::Transaction));
    StatementEffect {
        acquires: statement.acquires.map(reason),
        unlocks_tables: statement.unlocks_tables,
        commits: match statement.commits || begins {
            true => Commits::OpenTransaction,
            false => Commits::AutocommittedChanges,
        },
        opens_transaction: begins,
    }
}

#[derive(Clone)]
pub(crate) struct RecordedStickySession(StickySession);

impl RecordedStickySession {
    pub(crate) fn new(options: Options, now: f64) -> Self {
        RecordedStickySession(StickySession::new(limits(options), now))
    }

    pub(crate) fn statement_sent(&mut self, now: f64, statement: Statement) {
        self.0.on_statement_sent(now, effect(statement));
    }

    /// Records the answer to a statement; returns true if the session releases its connection.
    pub(crate) fn answer_received(
        &mut self,
        now: f64,
        answer: Answer,
        recording: &mut Recording,
    ) -> bool {
        let response = match answer {
            Answer::Status { transaction_open } => EngineResponse::Status {
                in_transaction: transaction_open,
            },
            Answer::Error(code) => EngineResponse::Error(code),
        };
        let disposition = self.0.on_response(now, response);
        let kind = match disposition {
            ConnectionDisposition::Retain => "session kept",
            ConnectionDisposition::Release => "session free",
        };
        recording.count(kind);
        recording.state(kind);
        disposition == ConnectionDisposition::Release
    }

    pub(crate) fn engine_draining(&mut self, now: f64) {
        self.0.on_engine_draining(now);
    }

    /// Records what is known of the session's work if its connection is lost now.
    pub(crate) fn record_lost_connection(&self, recording: &mut Recording) {
        let kind = match self.0.outcome_of_loss() {
            TransactionOutcome::RolledBack => "rolled back",
            TransactionOutcome::Unknown => "outcome unknown",
            TransactionOutcome::NoTransaction => "no transaction",
        };
        recording.count(kind);
        recording.state(kind);
    }

    /// Records when and why the session ends; returns true if it has ended.
    pub(crate) fn record_expiry(&self, now: f64, recording: &mut Recording) -> bool {
        let (expires_at, reason_to_end) = self.0.expiry();
        let bindings = STICKY_REASONS.map(|binding| self.0.is_bound_by(reason(binding)));
        recording.state(&format!(
            "ends {} {} {bindings:?}",
            float(expires_at),
            expiry_kind(reason_to_end)
        ));
        let ended = self.0.expired(now);
        if let Some(expired) = ended {
            recording.count(expiry_kind(expired));
            recording.state(&format!("ended {}", expiry_kind(expired)));
            recording.wording(&expired.to_string());
        }
        ended.is_some()
    }
}

fn expiry_kind(expired: Expired) -> &'static str {
    match expired {
        Expired::Idle => "idle timeout",
        Expired::MaxLifetime => "lifetime over",
        Expired::EngineDraining => "drain timeout",
    }
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
        let result = self.0.acquire(&limits(options), tenant);
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
