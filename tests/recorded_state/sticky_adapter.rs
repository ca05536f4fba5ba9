//! Sticky sessions as the streams use them. The only file of this test that names the machine's own items.

use super::recording::{Recording, float};
use query_dispatcher::sticky_sessions::{
    After, Expired, Next, Reason, Step, StickySession, StickySessionLimitError,
    StickySessionLimits, StickySessionTable, TransactionOutcome, fate,
};

#[derive(Clone, Copy)]
pub struct Options {
    pub idle_timeout: f64,
    pub longest: f64,
    pub drain_timeout: f64,
    pub session_limit: usize,
    pub tenant_limit: usize,
}

#[derive(Clone, Copy)]
pub enum Hold {
    Transaction,
    TableLock,
    TemporaryTable,
    UserLock,
    Variable,
}

pub const HOLDS: [Hold; 5] = [
    Hold::Transaction,
    Hold::TableLock,
    Hold::TemporaryTable,
    Hold::UserLock,
    Hold::Variable,
];

#[derive(Clone, Copy)]
pub struct Statement {
    pub begins: Option<Hold>,
    pub unlocks: bool,
    pub commits: bool,
}

#[derive(Clone, Copy)]
pub enum Answer {
    Status { transaction_open: bool },
    Error(u16),
}

fn terms(options: Options) -> StickySessionLimits {
    StickySessionLimits {
        idle: options.idle_timeout,
        longest: options.longest,
        drain: options.drain_timeout,
        most: options.session_limit,
        most_of_tenant: options.tenant_limit,
    }
}

fn reason(hold: Hold) -> Reason {
    match hold {
        Hold::Transaction => Reason::Transaction,
        Hold::TableLock => Reason::Tables,
        Hold::TemporaryTable => Reason::Temporary,
        Hold::UserLock => Reason::UserLock,
        Hold::Variable => Reason::Variable,
    }
}

fn step(statement: Statement) -> Step {
    Step {
        begins: statement.begins.map(reason),
        unlocks: statement.unlocks,
        commits: statement.commits,
    }
}

#[derive(Clone)]
pub struct RecordedStickySession(StickySession);

impl RecordedStickySession {
    pub fn new(options: Options, now: f64) -> Self {
        RecordedStickySession(StickySession::new(terms(options), now))
    }

    pub fn sent(&mut self, now: f64, statement: Statement) {
        self.0.sent(now, step(statement));
    }

    /// True if the session is free again.
    pub fn answered(&mut self, now: f64, answer: Answer, recording: &mut Recording) -> bool {
        let after = match answer {
            Answer::Status { transaction_open } => After::Status {
                open: transaction_open,
            },
            Answer::Error(code) => After::Error(code),
        };
        let next = self.0.answered(now, after);
        let kind = match next {
            Next::Keep => "session kept",
            Next::Free => "session free",
        };
        recording.count(kind);
        recording.state(kind);
        next == Next::Free
    }

    pub fn engine_drains(&mut self, now: f64) {
        self.0.drains(now);
    }

    /// Records when and why it ends; true if that is now.
    pub fn record_end(&self, now: f64, recording: &mut Recording) -> bool {
        let (at, over) = self.0.due();
        let holds = HOLDS.map(|hold| self.0.holds(reason(hold)));
        recording.state(&format!("ends {} {} {holds:?}", float(at), end_kind(over)));
        let ended = self.0.over(now);
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
        Expired::Longest => "lifetime over",
        Expired::Drains => "drain timeout",
    }
}

/// What became of a transaction whose connection was lost.
pub fn record_lost_connection(sent: Option<Statement>, recording: &mut Recording) {
    let kind = match fate(sent.map(step)) {
        TransactionOutcome::RolledBack => "rolled back",
        TransactionOutcome::Unknown => "outcome unknown",
    };
    recording.count(kind);
    recording.state(kind);
}

#[derive(Default)]
pub struct SessionLimits(StickySessionTable);

impl SessionLimits {
    pub fn acquire(
        &mut self,
        options: Options,
        tenant: Option<usize>,
        recording: &mut Recording,
    ) -> bool {
        let result = self.0.take(&terms(options), tenant);
        let kind = match result {
            Ok(()) => "session begun",
            Err(StickySessionLimitError::All) => "session limit reached",
            Err(StickySessionLimitError::Tenant) => "tenant limit reached",
        };
        recording.count(kind);
        recording.state(&format!("{kind} {}", self.0.all()));
        if let Err(error) = result {
            recording.wording(&error.to_string());
        }
        result.is_ok()
    }

    pub fn release(&mut self, tenant: Option<usize>, recording: &mut Recording) {
        self.0.give(tenant);
        recording.state(&format!("released {}", self.0.all()));
    }
}
