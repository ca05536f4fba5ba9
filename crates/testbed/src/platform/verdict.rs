//! Judges what clients, engines and the test itself recorded by the rules of the protocol.

use crate::platform::clients::Request;
use crate::platform::engines::Execution;
use crate::platform::settings::{DEDUPLICATION_WINDOW, DRAIN_GRACE, Effect, Settings};
use query_dispatcher::protocol::frames::code;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// An answer later than this after its deadline is lost.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// An attempt that begins later than this after its request's end is forwarded after the end.
const AFTER_END: Duration = Duration::from_millis(100);
/// An engine may be told this much more time than its client has left.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(150);
/// Every limit on sockets is this much longer.
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// It got no answer, or one later than half a second after its deadline.
    Unanswered(String),
    /// It got more than one answer, or one that cannot be read.
    AnsweredTwice(String),
    /// It was answered as served with rows that no engine made for it.
    WrongResult(String),
    /// An attempt began after its client had gone, or after its final answer.
    StartedAfterEnd(String),
    /// It ran twice where that has an effect, or was refused though it may have run.
    Repeated(String),
    /// An attempt began at an engine past the grace after the notice that it drains or is gone.
    SentToDraining(String),
    /// An engine was told more time than the client had left.
    TimeLimitTooLong(String),
    /// A warming engine got more than it bears.
    SlowStartOverload(String),
}

/// An engine that clients of discovery know to drain, or be gone, from a moment on until it starts again.
#[derive(Clone, Copy, Debug)]
pub struct DrainNotice {
    pub engine: usize,
    pub told_at: Instant,
    pub until: Option<Instant>,
}

/// The end of a dispatcher's process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEnd {
    pub dispatcher: usize,
    pub process: usize,
    /// It was killed without notice: its clients' requests are theirs again.
    pub killed_at: Option<Instant>,
}

/// The start of an engine that everybody was told of.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    pub engine: usize,
    pub started_at: Instant,
    pub until: Instant,
    /// Mean work of a request, in milliseconds on one core.
    pub work_ms: f64,
}

/// Everything that a test recorded.
#[derive(Default)]
pub struct Records {
    pub requests: Vec<Request>,
    pub executions: Vec<Execution>,
    pub drains: Vec<DrainNotice>,
    pub process_ends: Vec<ProcessEnd>,
    pub slow_starts: Vec<SlowStart>,
}

/// All violations. Times in them count from `epoch`.
pub fn judge(records: &Records, settings: &Settings, epoch: Instant) -> Vec<Violation> {
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
        judge_answers(records, request, attempts, &mut found);
        judge_attempts(request, attempts, settings, &mut found);
        if !found.is_empty() {
            let text = describe(request, attempts, epoch);
            violations.extend(found.into_iter().map(|violation| violation(text.clone())));
        }
    }
    judge_drains(records, &mut violations);
    judge_slow_starts(records, settings, &mut violations);
    violations
}

fn judge_answers(
    records: &Records,
    request: &Request,
    attempts: &[&Execution],
    found: &mut Vec<fn(String) -> Violation>,
) {
    if request.answers.len() > 1 || request.answers.iter().any(|a| a.code == u8::MAX) {
        found.push(Violation::AnsweredTwice);
    }
    let Some(answer) = request.answers.first() else {
        if request.gone_at.is_none() && !is_excused(records, request, attempts) {
            found.push(Violation::Unanswered);
        }
        return;
    };
    if request.gone_at.is_none() && answer.at > request.deadline() + LATE_ANSWER + SOCKET_SLACK {
        found.push(Violation::Unanswered);
    }
    if answer.code == code::SERVED && !is_result_of(request, attempts, &answer.body) {
        found.push(Violation::WrongResult);
    }
}

/// Its process was killed without notice, or it crossed the end of an idle connection and was never forwarded.
fn is_excused(records: &Records, request: &Request, attempts: &[&Execution]) -> bool {
    let killed = records.process_ends.iter().any(|end| {
        let is_its = (end.dispatcher, end.process) == (request.dispatcher, request.process);
        is_its && end.killed_at.is_some()
    });
    killed || request.crossed_idle_end && attempts.is_empty()
}

fn is_result_of(request: &Request, attempts: &[&Execution], body: &str) -> bool {
    let mut engines = attempts.iter().map(|attempt| attempt.engine);
    engines.any(|engine| {
        let row = format!("{}\te{engine}\t1\n", request.id);
        body == row || body == row.repeat(2)
    })
}

fn judge_attempts(
    request: &Request,
    attempts: &[&Execution],
    settings: &Settings,
    found: &mut Vec<fn(String) -> Violation>,
) {
    let answered_at = request.answers.first().map(|answer| answer.at);
    let ended_at = [request.gone_at, answered_at].into_iter().flatten().min();
    for attempt in attempts {
        if ended_at.is_some_and(|end| attempt.at > end + AFTER_END) {
            found.push(Violation::StartedAfterEnd);
        }
        let left = request.deadline().saturating_duration_since(attempt.at);
        if attempt.time_limit > left + TIME_LIMIT_SLACK {
            found.push(Violation::TimeLimitTooLong);
        }
    }
    if is_repeated(request, attempts, settings) {
        found.push(Violation::Repeated);
    }
}

/// Attempts that an engine rejected never ran; the fake engines reject at once, so those are not answered.
fn is_repeated(request: &Request, attempts: &[&Execution], settings: &Settings) -> bool {
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

fn judge_drains(records: &Records, violations: &mut Vec<Violation>) {
    let grace = Duration::from_secs_f64(DRAIN_GRACE / 1000.0) + SOCKET_SLACK;
    for notice in &records.drains {
        let is_late = |execution: &&Execution| {
            execution.engine == notice.engine
                && execution.at > notice.told_at + grace
                && notice.until.is_none_or(|until| execution.at < until)
        };
        for execution in records.executions.iter().filter(is_late) {
            let late = execution.at - notice.told_at;
            let text = format!("{} at e{} after {late:?}", execution.request, notice.engine);
            violations.push(Violation::SentToDraining(text));
        }
    }
}

/// N + 2 x root of N + 2 requests in any window, under 30: N + 3 x root of N + 3.
fn slow_start_budget(start: &SlowStart, settings: &Settings, window_begin: Instant) -> f64 {
    let age = window_begin.saturating_duration_since(start.started_at);
    let progress = (age.as_secs_f64() * 1000.0 / settings.warm_up_period).min(1.0);
    let capacity = settings.initial_capacity + (1.0 - settings.initial_capacity) * progress;
    let work = settings.overload_multiple * settings.cores * capacity * settings.overload_window;
    let count = work / start.work_ms;
    if count < 30.0 {
        count + 3.0 * count.sqrt() + 3.0
    } else {
        count + 2.0 * count.sqrt() + 2.0
    }
}

fn judge_slow_starts(records: &Records, settings: &Settings, violations: &mut Vec<Violation>) {
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
        request.gone_at.map(since),
        request.connection_ended_at.map(since),
    )
}
