//! What the MySQL soak recorded, and the rules that it is judged by.

use crate::fakes::engine::Execution;
use std::collections::HashMap;

/// An answer that is later than this after its deadline is lost, in milliseconds.
const LATE_MS: f64 = 500.0;
/// Nothing begins for a client later than this after it has gone, in milliseconds.
const GONE_GRACE_MS: f64 = 100.0;

/// How a command ended for its client. Times are Unix times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandEnd {
    /// A result, or the code of an error.
    Answered { at: f64, error: Option<u16> },
    /// The connection ended before the answer was whole.
    ConnectionEnded { at: f64, reason: String },
    /// The client closed its connection.
    ClientGone { at: f64 },
}

/// A command that was written whole to a connection.
#[derive(Clone, Debug)]
pub struct CommandRecord {
    /// Unique; the statement carries it.
    pub id: String,
    pub gateway: usize,
    /// The process of the gateway, counted from 0.
    pub process: usize,
    pub sent_at: f64,
    pub limit_ms: f64,
    /// It must not run twice.
    pub is_write: bool,
    /// `None`: nothing has come when the records are judged.
    pub end: Option<CommandEnd>,
}

/// A process that was killed without SIGTERM.
#[derive(Clone, Copy, Debug)]
pub struct Kill {
    pub gateway: usize,
    pub process: usize,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A command had no answer, though its client waited and its process was not killed without notice.
    Unanswered(String),
    /// An answer came long after its deadline.
    Late(String),
    /// A write ran more than once.
    RanTwice(String),
    /// An attempt reached an engine after its client had gone.
    AfterEnd(String),
}

/// All violations in these records.
pub fn judge(
    commands: &[CommandRecord],
    kills: &[Kill],
    executions: &[Execution],
) -> Vec<Violation> {
    let attempts = attempts_by_command(executions);
    let mut violations = vec![];
    for command in commands {
        let attempts = attempts
            .get(command.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        violations.extend(judge_answer(command, kills, attempts));
        violations.extend(judge_attempts(command, attempts));
    }
    violations
}

/// Statements carry the id of their command between quotes.
fn attempts_by_command(executions: &[Execution]) -> HashMap<&str, Vec<&Execution>> {
    let mut attempts: HashMap<&str, Vec<&Execution>> = HashMap::new();
    for execution in executions {
        if let Some(id) = execution.sql.split('\'').nth(1) {
            attempts.entry(id).or_default().push(execution);
        }
    }
    attempts
}

fn judge_answer(
    command: &CommandRecord,
    kills: &[Kill],
    attempts: &[&Execution],
) -> Option<Violation> {
    let was_killed = kills
        .iter()
        .any(|kill| (kill.gateway, kill.process) == (command.gateway, command.process));
    match &command.end {
        Some(CommandEnd::ClientGone { .. }) => None,
        Some(CommandEnd::Answered { at, .. }) => (at - command.sent_at
            > command.limit_ms + LATE_MS)
            .then(|| Violation::Late(describe(command, attempts))),
        Some(CommandEnd::ConnectionEnded { .. }) | None => {
            (!was_killed).then(|| Violation::Unanswered(describe(command, attempts)))
        }
    }
}

fn judge_attempts(command: &CommandRecord, attempts: &[&Execution]) -> Vec<Violation> {
    let mut violations = vec![];
    if command.is_write && attempts.len() > 1 {
        violations.push(Violation::RanTwice(describe(command, attempts)));
    }
    if let Some(CommandEnd::ClientGone { at }) = &command.end
        && attempts
            .iter()
            .any(|attempt| attempt.at > at + GONE_GRACE_MS)
    {
        violations.push(Violation::AfterEnd(describe(command, attempts)));
    }
    violations
}

fn describe(command: &CommandRecord, attempts: &[&Execution]) -> String {
    let attempts: Vec<String> = attempts
        .iter()
        .map(|attempt| format!("+{:.0} ms", attempt.at - command.sent_at))
        .collect();
    let since = |at: f64| format!("+{:.0} ms", at - command.sent_at);
    let end = match &command.end {
        Some(CommandEnd::Answered { at, error }) => format!("{error:?} {}", since(*at)),
        Some(CommandEnd::ConnectionEnded { at, reason }) => format!("{reason} {}", since(*at)),
        Some(CommandEnd::ClientGone { at }) => format!("gone {}", since(*at)),
        None => "nothing came".into(),
    };
    format!(
        "{} at {:.0}, g{}.{}, limit {} ms: {end}; attempts {attempts:?}",
        command.id, command.sent_at, command.gateway, command.process, command.limit_ms
    )
}
