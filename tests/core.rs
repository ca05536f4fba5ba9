//! Tests of the request core with an injected clock. Most tests are scripts with one step per line:
//!
//! - `open NAME CLASS MS`: opens a request whose deadline is in MS milliseconds;
//! - `started NAME [ENGINE]`: expects that the core starts an attempt of the request (on this engine);
//! - `page NAME`: a page of the last attempt's result arrives;
//! - `end NAME OUTCOME`: the last attempt ends with this outcome;
//! - `cancelled NAME`: expects that the core cancels the last attempt;
//! - `abandon NAME`: the request's client disconnects;
//! - `answered NAME ANSWER`: expects that the core gives this answer;
//! - `drain ENGINE`, `undrain ENGINE`: an operator begins or ends an engine's drain;
//! - `wait MS`: MS milliseconds pass;
//! - `shutdown MS`: shutdown begins, with MS milliseconds for the last answers;
//! - `nothing`: expects that no command is left.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(clippy::too_many_lines, reason = "each test is one scenario")]

mod scenario;

use query_dispatcher::core::{
    Answer, AttemptId, Command, Core, CoreLimits, NewRequest, RequestId, StartAttempt,
};
use query_dispatcher::*;
use scenario::common::engine_entry;
use std::collections::BTreeMap;
use std::time::Duration;

/// A realistic Unix time in milliseconds, large enough to reveal arithmetic that loses precision.
const START: Millis = 1.79e12;

const LIMITS: CoreLimits = CoreLimits {
    max_open_requests: 3,
    answer_margin: Duration::from_millis(20),
    page_timeout: Duration::from_millis(600),
};

const LOOKUP: ClassId = 0;
const LOAD: ClassId = 1;

fn request(class: ClassId, deadline: Millis) -> NewRequest {
    NewRequest {
        class,
        tenant: None,
        group: None,
        deadline,
        work: None,
        memory_mb: None,
    }
}

fn without_zone(engine: &str) -> EngineEntry {
    EngineEntry {
        zone: None,
        ..engine_entry(engine)
    }
}

/// Runs the steps of a script on a core.
struct ScriptRunner<'a> {
    now: Millis,
    core: Core,
    requests: BTreeMap<&'a str, RequestId>,
    last_attempts: BTreeMap<RequestId, AttemptId>,
    /// Commands that no step has expected yet.
    commands: Vec<Command>,
}

impl<'a> ScriptRunner<'a> {
    /// Creates a core with engines `a` and `b`.
    fn new() -> Self {
        let mut settings = scenario::settings();
        settings.limits.max_attempts = 2;
        let mut core = Core::new(settings, 1, LIMITS).unwrap();
        assert!(!core.is_ready(), "no endpoint list has been received");
        let engines = vec![without_zone("a"), without_zone("b")];
        core.update_endpoints(START, ListUpdate::Stale, engines);
        assert!(core.is_ready());
        ScriptRunner {
            now: START,
            core,
            requests: BTreeMap::new(),
            last_attempts: BTreeMap::new(),
            commands: vec![],
        }
    }

    fn step(&mut self, line: &'a str) {
        self.commands.extend(self.core.take_commands());
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["open", name, class, ms] => self.open(name, class, after(self.now, ms)),
            ["started", name] => self.expect_start(line, name, None),
            ["started", name, engine] => self.expect_start(line, name, Some(engine)),
            ["page", name] => self.core.page_received(self.now, self.last_attempt(name)),
            ["end", name, word] => self.end(name, outcome(word)),
            ["cancelled", name] => self.expect_cancel(line, name),
            ["abandon", name] => self.core.abandon(self.now, self.requests[name]),
            ["answered", name, word] => self.expect_answer(line, name, word),
            ["drain", engine] => drop(self.core.drain_engine(self.now, engine)),
            ["undrain", engine] => drop(self.core.undrain_engine(self.now, engine)),
            ["wait", ms] => self.wait_until(after(self.now, ms)),
            ["shutdown", ms] => self.core.begin_shutdown(self.now, after(self.now, ms)),
            ["nothing"] => assert!(self.commands.is_empty(), "{line}: {:?}", self.commands),
            [] => {}
            _ => panic!("unknown step: {line}"),
        }
    }

    /// Removes and returns the first command that matches; panics if there is none.
    fn expect(&mut self, line: &str, matches: impl Fn(&Command) -> bool) -> Command {
        let position = self.commands.iter().position(matches);
        let position = position
            .unwrap_or_else(|| panic!("{line}: not among the commands {:?}", self.commands));
        self.commands.remove(position)
    }

    fn open(&mut self, name: &'a str, class: &str, deadline: Millis) {
        let class = match class {
            "lookup" => LOOKUP,
            "load" => LOAD,
            _ => panic!("unknown class: {class}"),
        };
        let id = self.core.open(self.now, request(class, deadline));
        self.requests.insert(name, id);
    }

    fn expect_start(&mut self, line: &str, name: &str, engine: Option<&str>) {
        let request = self.requests[name];
        let command = self.expect(line, |command| {
            matches!(command, Command::Start(start) if start.attempt.request == request
                && engine.is_none_or(|engine| start.engine == engine))
        });
        if let Command::Start(StartAttempt { attempt, .. }) = command {
            self.last_attempts.insert(request, attempt);
        }
    }

    fn expect_cancel(&mut self, line: &str, name: &str) {
        let attempt = self.last_attempt(name);
        self.expect(line, |command| *command == Command::Cancel { attempt });
    }

    fn expect_answer(&mut self, line: &str, name: &str, word: &str) {
        let id = self.requests[name];
        let command = self.expect(
            line,
            |command| matches!(command, Command::Answer { request, .. } if *request == id),
        );
        let Command::Answer { answer, .. } = command else {
            unreachable!()
        };
        assert_eq!(answer_word(&answer), word, "{line}");
    }

    fn end(&mut self, name: &str, outcome: Outcome) {
        let attempt = self.last_attempt(name);
        self.core.attempt_ended(self.now, attempt, outcome, vec![]);
    }

    fn wait_until(&mut self, end: Millis) {
        while let Some(at) = self.core.next_wakeup().filter(|at| *at <= end) {
            self.now = at.max(self.now);
            self.core.tick(self.now);
        }
        self.now = end;
    }

    fn last_attempt(&self, name: &str) -> AttemptId {
        self.last_attempts[&self.requests[name]]
    }
}

fn after(now: Millis, ms: &str) -> Millis {
    now + ms.parse::<f64>().unwrap()
}

fn outcome(word: &str) -> Outcome {
    match word {
        "served" => Outcome::Served,
        "reset" => Outcome::Reset,
        "rejected" => Outcome::Rejected,
        "unreachable" => Outcome::Unreachable,
        _ => panic!("unknown outcome: {word}"),
    }
}

fn answer_word(answer: &Answer) -> &'static str {
    match answer {
        Answer::Served(_) => "served",
        Answer::Rejected { .. } => "rejected",
        Answer::Failed { .. } => "failed",
        Answer::TimedOut { retry_safe: true } => "timed-out",
        Answer::TimedOut { retry_safe: false } => "timed-out-and-may-have-run",
    }
}

/// Runs a script; at its end no commands other than log lines may be left.
fn run_script(script: &str) {
    let mut runner = ScriptRunner::new();
    for line in script.lines() {
        runner.step(line.trim());
    }
    runner.commands.extend(runner.core.take_commands());
    runner
        .commands
        .retain(|command| !matches!(command, Command::Log(_)));
    assert!(
        runner.commands.is_empty(),
        "unexpected commands: {:?}",
        runner.commands
    );
}

#[test]
fn every_request_gets_one_answer_under_races() {
    run_script(
        "open a lookup 900
        started a
        end a served
        answered a served
        end a reset
        abandon a
        nothing",
    );
    run_script(
        "open a lookup 900
        started a
        abandon a
        cancelled a
        end a served
        nothing",
    );
    run_script(
        "open a lookup 900
        started a
        page a
        abandon a
        cancelled a
        end a served
        wait 2000
        nothing",
    );
    run_script(
        "open a lookup 900
        started a
        wait 900
        cancelled a
        answered a timed-out
        end a served
        nothing",
    );
    run_script(
        "open a load 900
        started a
        wait 900
        cancelled a
        answered a timed-out-and-may-have-run
        nothing",
    );
}

#[test]
fn an_idempotent_request_that_may_have_run_is_retried() {
    run_script(
        "open a lookup 900
        started a
        end a reset
        started a
        end a served
        answered a served",
    );
    run_script(
        "open a lookup 900
        started a
        page a
        end a reset
        started a
        end a served
        answered a served",
    );
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_never_ran() {
    run_script(
        "open a load 900
        started a
        end a reset
        answered a failed
        wait 2000
        nothing",
    );
    run_script(
        "open a load 900
        started a
        page a
        end a reset
        answered a failed
        wait 2000
        nothing",
    );
    run_script(
        "open a load 900
        started a
        end a unreachable
        started a
        end a reset
        answered a failed",
    );
    run_script(
        "open a load 900
        started a
        end a rejected
        started a
        end a rejected
        answered a rejected
        wait 2000",
    );
}

#[test]
fn limits_and_expired_deadlines_are_answered_at_once() {
    run_script(
        "open a lookup 10
        answered a rejected
        nothing",
    );
    run_script(
        "open a lookup 900
        started a
        open b lookup 900
        started b
        open c lookup 900
        started c
        open d lookup 900
        answered d rejected
        nothing
        abandon a
        cancelled a
        abandon b
        cancelled b
        abandon c
        cancelled c",
    );
}

#[test]
fn final_answers_are_given_before_shutdown() {
    run_script(
        "open a lookup 5000
        started a
        open b load 5000
        started b
        shutdown 1000
        open c lookup 5000
        started c
        end c served
        answered c served
        wait 1000
        cancelled a
        answered a timed-out
        cancelled b
        answered b timed-out-and-may-have-run
        open d lookup 5000
        answered d rejected
        nothing",
    );
}

/// Guards against avoiding an engine that operators have repaired because of outcomes of its old process.
#[test]
fn undrained_engine_is_evaluated_by_its_new_process() {
    run_script(
        "drain b
        open x lookup 4000
        started x a
        drain a
        undrain b
        wait 100
        open y lookup 4000
        started y b
        undrain a
        wait 1
        end x reset
        started x b
        open z lookup 4000
        started z a",
    );
}

/// Creates a core with engines `a` and `b` in one cell, and look-ups of this idempotency.
fn core_with(idempotency: Idempotency) -> Core {
    let mut settings = scenario::settings();
    settings.limits.max_attempts = 3;
    settings.classes[LOOKUP].idempotency = idempotency;
    let mut core = Core::new(settings, 1, LIMITS).unwrap();
    core.update_endpoints(
        START,
        ListUpdate::Stale,
        vec![engine_entry("a"), engine_entry("b")],
    );
    core
}

fn core_with_keys(group: DeduplicationScope, window: Millis) -> Core {
    core_with(Idempotency::Keyed { group, window })
}

/// The attempts started and the answers given since commands were last taken.
#[derive(Default)]
struct StartsAndAnswers {
    started: Vec<StartAttempt>,
    answers: Vec<Answer>,
}

impl StartsAndAnswers {
    fn take_from(core: &mut Core) -> Self {
        let mut taken = StartsAndAnswers::default();
        for command in core.take_commands() {
            match command {
                Command::Start(start) => taken.started.push(start),
                Command::Answer { answer, .. } => taken.answers.push(answer),
                _ => {}
            }
        }
        taken
    }

    fn is_rejected(&self) -> bool {
        matches!(self.answers[..], [Answer::Rejected { .. }])
    }
}

/// Returns the first attempt that was started since commands were last taken.
fn first_started(core: &mut Core) -> StartAttempt {
    StartsAndAnswers::take_from(core).started.swap_remove(0)
}

/// Attempts may be written at any time until one may have run; later ones must be written within the
/// deduplication window that begins with the start of that one.
#[test]
fn retry_is_sent_within_the_deduplication_window_of_the_first_attempt() {
    for group in [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ] {
        let mut core = core_with_keys(group, 100.0);
        core.open(START, request(LOOKUP, START + 3000.0));
        let first = first_started(&mut core);
        assert_eq!(first.write_by, f64::INFINITY);
        // The first attempt never ran, so the second is the first that may have run.
        core.attempt_ended(START + 10.0, first.attempt, Outcome::Unreachable, vec![]);
        let second = first_started(&mut core);
        assert_eq!(second.write_by, f64::INFINITY);
        core.attempt_ended(START + 40.0, second.attempt, Outcome::Reset, vec![]);
        let third = first_started(&mut core);
        assert_eq!(
            third.write_by,
            START + 110.0,
            "the window begins with the second attempt"
        );
        // The third attempt waited for a connection until the window ended.
        core.attempt_ended(START + 111.0, third.attempt, Outcome::NeverStarted, vec![]);
        let taken = StartsAndAnswers::take_from(&mut core);
        assert!(taken.started.is_empty());
        let is_rejected = taken.is_rejected();
        assert_eq!(is_rejected, group == DeduplicationScope::All, "{group:?}");
    }
}

#[test]
fn a_retry_of_an_idempotent_request_is_written_at_any_time() {
    let mut core = core_with(Idempotency::Idempotent);
    core.open(START, request(LOOKUP, START + 3000.0));
    let first = first_started(&mut core);
    core.attempt_ended(START + 40.0, first.attempt, Outcome::Reset, vec![]);
    assert_eq!(first_started(&mut core).write_by, f64::INFINITY);
}

/// Whether a keyed request that may have run is safe to retry, by the scope of its deduplication key.
const KEYED_RETRIES: [(DeduplicationScope, bool); 3] = [
    (DeduplicationScope::All, true),
    (DeduplicationScope::Zone, false),
    (DeduplicationScope::Cell, false),
];

/// If only some engines recognize a duplicate, no answer may state that a retry is safe once an attempt may
/// have run.
#[test]
fn a_keyed_request_that_timed_out_is_retry_safe_only_if_all_engines_share_its_key() {
    for (group, retry_safe) in KEYED_RETRIES {
        for shutdown_after in [None, Some(200.0)] {
            let mut core = core_with_keys(group, 4000.0);
            core.open(START, request(LOOKUP, START + 500.0));
            assert_eq!(StartsAndAnswers::take_from(&mut core).started.len(), 1);
            if let Some(ms) = shutdown_after {
                core.begin_shutdown(START, START + ms);
            }
            core.tick(START + shutdown_after.unwrap_or(480.0));
            let answers = StartsAndAnswers::take_from(&mut core).answers;
            assert_eq!(answers, [Answer::TimedOut { retry_safe }], "{group:?}");
        }
    }
}

#[test]
fn a_keyed_request_that_never_ran_is_rejected() {
    for (group, _) in KEYED_RETRIES {
        let mut core = core_with_keys(group, 4000.0);
        core.open(START, request(LOOKUP, START + 500.0));
        let first = first_started(&mut core);
        core.attempt_ended(START + 1.0, first.attempt, Outcome::Unreachable, vec![]);
        let second = first_started(&mut core);
        core.attempt_ended(START + 480.0, second.attempt, Outcome::Rejected, vec![]);
        let taken = StartsAndAnswers::take_from(&mut core);
        assert!(taken.is_rejected(), "{group:?}: {:?}", taken.answers);
    }
}
