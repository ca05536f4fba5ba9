//! Records of the MySQL soak, and the rules that they are checked against.

use crate::fakes::engine::Execution;
use std::collections::HashMap;

/// Maximum time from a command's deadline to its answer, in milliseconds.
const MAX_ANSWER_DELAY_MS: f64 = 500.0;
/// Maximum time from a client's disconnect to the last attempt at an engine, in milliseconds.
const DISCONNECT_GRACE_MS: f64 = 100.0;

/// End of a command on the client's side. Times are Unix times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandEnd {
    /// It was answered with a result, or with an error of this code.
    Answered { at: f64, error: Option<u16> },
    /// The connection ended before the answer was complete.
    ConnectionEnded { at: f64, reason: String },
    /// The client closed its connection.
    ClientGone { at: f64 },
}

/// Record of a command that was written completely to a connection. Times are Unix times in milliseconds.
#[derive(Clone, Debug)]
pub struct CommandRecord {
    /// Unique id, which the statement contains.
    pub id: String,
    pub gateway: usize,
    /// Number of the gateway's process, from 0.
    pub process: usize,
    pub sent_at: f64,
    /// Deadline of the command's class, in milliseconds.
    pub limit_ms: f64,
    /// Whether the command must not run twice.
    pub is_write: bool,
    /// `None` if the client had received no answer when the records were checked.
    pub end: Option<CommandEnd>,
}

/// Kill of a gateway's process without SIGTERM.
#[derive(Clone, Copy, Debug)]
pub struct Kill {
    pub gateway: usize,
    pub process: usize,
}

/// Violation of a rule; each holds a description of the command.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A command had no answer, although its client waited and its process was not killed without SIGTERM.
    Unanswered(String),
    /// An answer came later than 500 ms after its deadline.
    Late(String),
    /// A write ran more than once.
    RanTwice(String),
    /// An attempt reached an engine after the client had disconnected.
    AfterEnd(String),
}

/// Returns all violations in these records.
pub fn find_violations(
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
        violations.extend(check_answer(command, kills, attempts));
        violations.extend(check_attempts(command, attempts));
    }
    violations
}

/// Groups executions by the id of their command, which the statement contains in single quotes.
fn attempts_by_command(executions: &[Execution]) -> HashMap<&str, Vec<&Execution>> {
    let mut attempts: HashMap<&str, Vec<&Execution>> = HashMap::new();
    for execution in executions {
        if let Some(id) = execution.sql.split('\'').nth(1) {
            attempts.entry(id).or_default().push(execution);
        }
    }
    attempts
}

fn check_answer(
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
            > command.limit_ms + MAX_ANSWER_DELAY_MS)
            .then(|| Violation::Late(describe(command, attempts))),
        Some(CommandEnd::ConnectionEnded { .. }) | None => {
            (!was_killed).then(|| Violation::Unanswered(describe(command, attempts)))
        }
    }
}

fn check_attempts(command: &CommandRecord, attempts: &[&Execution]) -> Vec<Violation> {
    let mut violations = vec![];
    if command.is_write && attempts.len() > 1 {
        violations.push(Violation::RanTwice(describe(command, attempts)));
    }
    if let Some(CommandEnd::ClientGone { at }) = &command.end
        && attempts
            .iter()
            .any(|attempt| attempt.at > at + DISCONNECT_GRACE_MS)
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
