//! Checks the records of clients, engines and the test itself against the rules of the protocol.

use crate::platform::clients::Request;
use crate::platform::engines::{Execution, is_result};
use crate::platform::settings::{DEDUPLICATION_WINDOW, DRAIN_GRACE, Effect, Settings};
use query_dispatcher::protocol::frames::code;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Maximum time from a request's deadline to its answer; a later answer counts as missing.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);
/// Maximum time from a request's end to the arrival of its last attempt at an engine.
const MAX_START_AFTER_END: Duration = Duration::from_millis(100);
/// Maximum by which the time limit sent to an engine may exceed the time that the client has left.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(150);
/// Time added to the protocol's limits, for delays of real sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// Violation of a rule; each holds a description of the request or engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request got no answer, or one later than half a second after its deadline.
    Unanswered(String),
    /// A request got more than one answer, or a malformed one.
    AnsweredTwice(String),
    /// A request was answered as served with rows that no engine returned for it.
    WrongResult(String),
    /// An attempt began after the client had gone, or after the request was answered.
    StartedAfterEnd(String),
    /// A request ran twice where that has an effect, or was refused although it may have run.
    Repeated(String),
    /// An attempt reached a draining or gone engine after the grace period that follows the notice.
    SentToDraining(String),
    /// The time limit sent to an engine exceeds the time that the client had left.
    TimeLimitTooLong(String),
    /// An engine that is warming up got more requests than it sustains.
    SlowStartOverload(String),
}

/// Period in which the dispatchers know that an engine is draining or gone, until it starts again.
#[derive(Clone, Copy, Debug)]
pub struct DrainNotice {
    pub engine: usize,
    /// Time at which the dispatchers count as notified.
    pub notified_at: Instant,
    /// Time of the engine's next start.
    pub until: Option<Instant>,
}

/// End of a dispatcher's process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEnd {
    pub dispatcher: usize,
    pub process: usize,
    /// Time at which it was killed without SIGTERM. Its open requests need no answer.
    pub killed_at: Option<Instant>,
}

/// Start of an engine of which every dispatcher was notified.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    pub engine: usize,
    pub started_at: Instant,
    /// End of the slow-start window.
    pub until: Instant,
    /// Mean execution time of a request, in milliseconds on one core.
    pub work_ms: f64,
}

/// All records of a test.
#[derive(Default)]
pub struct Records {
    pub requests: Vec<Request>,
    pub executions: Vec<Execution>,
    pub drains: Vec<DrainNotice>,
    pub process_ends: Vec<ProcessEnd>,
    pub slow_starts: Vec<SlowStart>,
}

/// Returns all violations. Times in their descriptions are relative to `epoch`.
pub fn find_violations(records: &Records, settings: &Settings, epoch: Instant) -> Vec<Violation> {
    let mut executions: HashMap<&str, Vec<&Execution>> = HashMap::new();
    for execution in &records.executions {
        executions
            .entry(&execution.request)
            .or_default()
            .push(execution);
    }
    let mut violations = vec![];
    for request in &records.requests {
        let none = vec![];
        let attempts = executions.get(request.id.as_str()).unwrap_or(&none);
        let mut found = vec![];
        check_answers(records, request, attempts, &mut found);
        check_attempts(request, attempts, settings, &mut found);
        if !found.is_empty() {
            let text = describe(request, attempts, epoch);
            violations.extend(found.into_iter().map(|violation| violation(text.clone())));
        }
    }
    check_drains(records, &mut violations);
    check_slow_starts(records, settings, &mut violations);
    violations
}

fn check_answers(
    records: &Records,
    request: &Request,
    attempts: &[&Execution],
    found: &mut Vec<fn(String) -> Violation>,
) {
    if request.answers.len() > 1 || request.answers.iter().any(|a| a.code == u8::MAX) {
        found.push(Violation::AnsweredTwice);
    }
    let Some(answer) = request.answers.first() else {
        if request.abandoned_at.is_none() && !needs_no_answer(records, request, attempts) {
            found.push(Violation::Unanswered);
        }
        return;
    };
    if request.abandoned_at.is_none()
        && answer.at > request.deadline() + MAX_ANSWER_DELAY + SOCKET_SLACK
    {
        found.push(Violation::Unanswered);
    }
    if answer.code == code::SERVED && !is_result_of(request, attempts, &answer.body) {
        found.push(Violation::WrongResult);
    }
}

/// Returns whether a request needs no answer: its process was killed without SIGTERM, or it crossed the end of
/// an idle connection and was never forwarded.
fn needs_no_answer(records: &Records, request: &Request, attempts: &[&Execution]) -> bool {
    let was_killed = records.process_ends.iter().any(|end| {
        let is_same = (end.dispatcher, end.process) == (request.dispatcher, request.process);
        is_same && end.killed_at.is_some()
    });
    was_killed || request.crossed_idle_close && attempts.is_empty()
}

fn is_result_of(request: &Request, attempts: &[&Execution], body: &str) -> bool {
    let mut engines = attempts.iter().map(|attempt| attempt.engine);
    engines.any(|engine| is_result(&request.id, engine, body))
}

fn check_attempts(
    request: &Request,
    attempts: &[&Execution],
    settings: &Settings,
    found: &mut Vec<fn(String) -> Violation>,
) {
    let answered_at = request.answers.first().map(|answer| answer.at);
    let ended_at = [request.abandoned_at, answered_at]
        .into_iter()
        .flatten()
        .min();
    for attempt in attempts {
        if ended_at.is_some_and(|end| attempt.at > end + MAX_START_AFTER_END) {
            found.push(Violation::StartedAfterEnd);
        }
        let left = request.deadline().saturating_duration_since(attempt.at);
        if attempt.time_limit > left + TIME_LIMIT_SLACK {
            found.push(Violation::TimeLimitTooLong);
        }
    }
    if breaks_effect_rule(request, attempts, settings) {
        found.push(Violation::Repeated);
    }
}

/// Returns whether a request violates the effect of its class. Attempts that an engine rejected never ran: the
/// fake engines reject a request before they run it.
fn breaks_effect_rule(request: &Request, attempts: &[&Execution], settings: &Settings) -> bool {
    let Some(class) = settings.class(request.class) else {
        return false;
    };
    let may_have_run: Vec<&&Execution> = attempts.iter().filter(|a| !a.rejected).collect();
    let was_refused = request
        .answers
        .first()
        .is_some_and(|answer| answer.code == code::REFUSED);
    match class.effect {
        Effect::Retryable => false,
        Effect::Fragile => may_have_run.len() > 1 || was_refused && !may_have_run.is_empty(),
        Effect::Deduplicated => {
            let window = Duration::from_secs_f64(DEDUPLICATION_WINDOW / 1000.0) + SOCKET_SLACK;
            let first = may_have_run.first().map(|attempt| attempt.at);
            let is_late = |attempt: &&Execution| first.is_some_and(|at| attempt.at > at + window);
            attempts.iter().any(is_late)
        }
    }
}

fn check_drains(records: &Records, violations: &mut Vec<Violation>) {
    let grace = Duration::from_secs_f64(DRAIN_GRACE / 1000.0) + SOCKET_SLACK;
    for notice in &records.drains {
        let is_late = |execution: &&Execution| {
            execution.engine == notice.engine
                && execution.at > notice.notified_at + grace
                && notice.until.is_none_or(|until| execution.at < until)
        };
        for execution in records.executions.iter().filter(is_late) {
            let late = execution.at - notice.notified_at;
            let text = format!("{} at e{} after {late:?}", execution.request, notice.engine);
            violations.push(Violation::SentToDraining(text));
        }
    }
}

/// Returns the maximum number of requests in an overload window that begins at `window_begin`. Where the engine
/// sustains N of them, it is N + 2 * sqrt(N) + 2, or N + 3 * sqrt(N) + 3 if N is below 30.
fn slow_start_budget(start: &SlowStart, settings: &Settings, window_begin: Instant) -> f64 {
    let age = window_begin.saturating_duration_since(start.started_at);
    let progress = (age.as_secs_f64() * 1000.0 / settings.warm_up_period).min(1.0);
    let capacity = settings.initial_capacity + (1.0 - settings.initial_capacity) * progress;
    let work = settings.overload_multiple * settings.cores * capacity * settings.overload_window;
    let sustained = work / start.work_ms;
    if sustained < 30.0 {
        sustained + 3.0 * sustained.sqrt() + 3.0
    } else {
        sustained + 2.0 * sustained.sqrt() + 2.0
    }
}

fn check_slow_starts(records: &Records, settings: &Settings, violations: &mut Vec<Violation>) {
    let window = Duration::from_secs_f64(settings.overload_window / 1000.0);
    for start in &records.slow_starts {
        let is_in = |e: &&Execution| {
            e.engine == start.engine && e.at >= start.started_at && e.at < start.until
        };
        let times: Vec<Instant> = records
            .executions
            .iter()
            .filter(is_in)
            .map(|e| e.at)
            .collect();
        for (first, &begin) in times.iter().enumerate() {
            let count = times[first..]
                .iter()
                .filter(|at| **at < begin + window)
                .count();
            let budget = slow_start_budget(start, settings, begin);
            if count as f64 > budget {
                let age = begin.duration_since(start.started_at);
                let text = format!(
                    "e{}: {count} of {budget:.1} at an age of {age:?}",
                    start.engine
                );
                violations.push(Violation::SlowStartOverload(text));
                break;
            }
        }
    }
}

fn describe(request: &Request, attempts: &[&Execution], epoch: Instant) -> String {
    let since = |at: Instant| match at.checked_duration_since(request.sent_at) {
        Some(after) => format!("+{:.3}", after.as_secs_f64()),
        None => format!("-{:.3}", (request.sent_at - at).as_secs_f64()),
    };
    let attempts: Vec<String> = attempts
        .iter()
        .map(|a| format!("e{} {} limit {:?}", a.engine, since(a.at), a.time_limit))
        .collect();
    let answers: Vec<String> = request
        .answers
        .iter()
        .map(|a| format!("{} {}", a.code, since(a.at)))
        .collect();
    format!(
        "at {:.3}: {} {} n{}.{} limit {:?}, gone {:?}, connection ended {:?}, answers {answers:?}, attempts {attempts:?}",
        request
            .sent_at
            .saturating_duration_since(epoch)
            .as_secs_f64(),
        request.class,
        request.id,
        request.dispatcher,
        request.process,
        request.limit,
        request.abandoned_at.map(since),
        request.connection_ended_at.map(since),
    )
}
