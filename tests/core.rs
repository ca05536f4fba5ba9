//! Scenarios on an injected clock, a step a line: `send NAME CLASS MS`, `start NAME` (an attempt is to
//! start), `begin NAME` (its result has begun), `end NAME OUTCOME`, `drop NAME` (an attempt is to be dropped),
//! `out ENGINE`, `back ENGINE` (by hand), `start NAME ENGINE` (there), `leave NAME`, `expect NAME ANSWER`, `wait MS`, `stop MS`, `nothing` (no command is left).

mod scenario;

use query_dispatcher::core::{Answer, AttemptId, Command, Core, CoreLimits, NewRequest, RequestId};
use query_dispatcher::*;
use scenario::settings;
use std::collections::BTreeMap;

fn play(script: &str) {
    // A Unix time: what is wrong with large numbers shows here.
    let mut now = 1.79e12;
    let mut settings = settings();
    settings.limits.max_attempts = 2;
    let bounds = CoreLimits {
        max_open_requests: 3,
        answer_margin: 20.0,
        page_timeout: 600.0,
    };
    let mut core = Core::new(settings, 1, bounds).unwrap();
    assert!(!core.is_ready(), "no list is in hand");
    let engine = |e: &str| EngineEntry {
        engine: e.into(),
        state: EngineState::Ready,
        started: None,
        kind: Some(0),
        zone: None,
        cell: 0,
    };
    core.update_endpoints(now, ListUpdate::Stale, vec![engine("a"), engine("b")]);
    assert!(core.is_ready());
    let mut ids: BTreeMap<&str, RequestId> = BTreeMap::new();
    let mut last: BTreeMap<RequestId, AttemptId> = BTreeMap::new();
    let mut left: Vec<Command> = vec![];
    for line in script.lines().map(str::trim) {
        left.extend(core.take_commands());
        let words: Vec<&str> = line.split_whitespace().collect();
        let mut next = |wanted: &dyn Fn(&Command) -> bool| {
            let found = left.iter().position(wanted);
            left.remove(found.unwrap_or_else(|| panic!("{line}: only {left:?}")))
        };
        match words[..] {
            ["send", name, class, ms] => {
                let class = usize::from(class == "load");
                let deadline = now + ms.parse::<f64>().unwrap();
                let new = NewRequest {
                    class,
                    tenant: None,
                    group: None,
                    deadline,
                    work: None,
                    memory_mb: None,
                };
                ids.insert(name, core.open(now, new));
            }
            ["start", name] => {
                let of = |c: &Command| matches!(c, Command::Start { attempt, .. } if attempt.request == ids[name]);
                if let Command::Start { attempt, .. } = next(&of) {
                    last.insert(attempt.request, attempt);
                }
            }
            ["start", name, on] => {
                let of = |c: &Command| {
                    matches!(c, Command::Start { attempt, engine, .. }
                        if attempt.request == ids[name] && engine == on)
                };
                if let Command::Start { attempt, .. } = next(&of) {
                    last.insert(attempt.request, attempt);
                }
            }
            ["out", engine] => drop(core.drain_engine(now, engine)),
            ["back", engine] => drop(core.undrain_engine(now, engine)),
            ["drop", name] => {
                let attempt = last[&ids[name]];
                next(&|c| *c == Command::Cancel { attempt });
            }
            ["expect", name, what] => {
                let of = |c: &Command| matches!(c, Command::Answer { request, .. } if *request == ids[name]);
                let Command::Answer { answer, .. } = next(&of) else {
                    unreachable!()
                };
                let told = match answer {
                    Answer::Served(_) => "served",
                    Answer::Rejected { .. } => "refused",
                    Answer::Failed { .. } => "failed",
                    Answer::TimedOut { retry_safe: true } => "late",
                    Answer::TimedOut { retry_safe: false } => "late-and-may-have-run",
                };
                assert_eq!(told, what, "{line}");
            }
            ["begin", name] => core.page_received(now, last[&ids[name]]),
            ["end", name, how] => {
                let outcome = match how {
                    "served" => Outcome::Served,
                    "reset" => Outcome::Reset,
                    "full" => Outcome::Rejected,
                    "unreachable" => Outcome::Unreachable,
                    _ => panic!("{line}"),
                };
                core.attempt_ended(now, last[&ids[name]], outcome, vec![]);
            }
            ["leave", name] => core.abandon(now, ids[name]),
            ["stop", ms] => core.begin_shutdown(now, now + ms.parse::<f64>().unwrap()),
            ["wait", ms] => {
                let end = now + ms.parse::<f64>().unwrap();
                while let Some(at) = core.next_wakeup().filter(|at| *at <= end) {
                    now = at.max(now);
                    core.tick(now);
                }
                now = end;
            }
            ["nothing"] => assert!(left.is_empty(), "{line}: {left:?}"),
            [] => {}
            _ => panic!("no such step: {line}"),
        }
    }
    let asked = |c: &Command| !matches!(c, Command::Log(_));
    left.extend(core.take_commands());
    assert!(!left.iter().any(asked), "left over: {left:?}");
}

#[test]
fn every_request_gets_one_answer_under_races() {
    play(
        "send a lookup 900\n start a\n end a served\n expect a served\n end a reset\n leave a\n nothing",
    );
    play("send a lookup 900\n start a\n leave a\n drop a\n end a served\n nothing");
    play(
        "send a lookup 900\n start a\n begin a\n leave a\n drop a\n end a served\n wait 2000\n nothing",
    );
    play(
        "send a lookup 900\n start a\n wait 900\n drop a\n expect a late\n end a served\n nothing",
    );
    play(
        "send a load 900\n start a\n wait 900\n drop a\n expect a late-and-may-have-run\n nothing",
    );
}

#[test]
fn possibly_executed_requests_are_retried_only_if_idempotent() {
    play("send a lookup 900\n start a\n end a reset\n start a\n end a served\n expect a served");
    play(
        "send a lookup 900\n start a\n begin a\n end a reset\n start a\n end a served\n expect a served",
    );
    play("send a load 900\n start a\n end a reset\n expect a failed\n wait 2000\n nothing");
    play(
        "send a load 900\n start a\n begin a\n end a reset\n expect a failed\n wait 2000\n nothing",
    );
    play("send a load 900\n start a\n end a unreachable\n start a\n end a reset\n expect a failed");
    play(
        "send a load 900\n start a\n end a full\n start a\n end a full\n expect a refused\n wait 2000",
    );
}

#[test]
fn limits_and_expired_deadlines_are_answered_at_once() {
    play("send a lookup 10\n expect a refused\n nothing");
    let four = "send a lookup 900\n start a\n send b lookup 900\n start b\n send c lookup 900\n start c
        send d lookup 900\n expect d refused\n nothing\n leave a\n drop a\n leave b\n drop b\n leave c\n drop c";
    play(four);
}

#[test]
fn final_answers_are_given_before_shutdown() {
    play(
        "send a lookup 5000\n start a\n send b load 5000\n start b\n stop 1000\n send c lookup 5000\n start c
         end c served\n expect c served\n wait 1000\n drop a\n expect a late\n drop b
         expect b late-and-may-have-run\n send d lookup 5000\n expect d refused\n nothing",
    );
}

/// Guards against an engine that operators have mended and that is left out for what its old process did.
#[test]
fn restored_engine_is_evaluated_by_its_new_process() {
    play(
        "out b
        send x lookup 4000
        start x a
        out a
        back b
        wait 100
        send y lookup 4000
        start y b
        back a
        wait 1
        end x reset
        start x b
        send z lookup 4000
        start z a",
    );
}

/// A core before engines `a` and `b` in one cell, with one class of this effect.
fn keyed(idempotency: Idempotency) -> (f64, Core) {
    let now = 1.79e12;
    let mut settings = settings();
    settings.limits.max_attempts = 3;
    settings.classes[0].idempotency = idempotency;
    let bounds = CoreLimits {
        max_open_requests: 3,
        answer_margin: 20.0,
        page_timeout: 600.0,
    };
    let mut core = Core::new(settings, 1, bounds).unwrap();
    let engine = |e: &str| EngineEntry {
        engine: e.into(),
        state: EngineState::Ready,
        started: None,
        kind: Some(0),
        zone: Some(0),
        cell: 0,
    };
    core.update_endpoints(now, ListUpdate::Stale, vec![engine("a"), engine("b")]);
    (now, core)
}

fn lookup(deadline: f64) -> NewRequest {
    NewRequest {
        class: 0,
        tenant: None,
        group: None,
        deadline,
        work: None,
        memory_mb: None,
    }
}

/// The attempts started and the answers given since the last call.
fn done(core: &mut Core) -> (Vec<(AttemptId, f64)>, Vec<Answer>) {
    let (mut started, mut answers) = (vec![], vec![]);
    for command in core.take_commands() {
        match command {
            Command::Start {
                attempt, write_by, ..
            } => started.push((attempt, write_by)),
            Command::Answer { answer, .. } => answers.push(answer),
            _ => {}
        }
    }
    (started, answers)
}

/// Nothing binds the first attempt; a repeat is written within the window of the first that may have run, or never.
#[test]
fn retry_is_sent_within_the_deduplication_window_of_the_first_attempt() {
    for group in [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ] {
        let (now, mut core) = keyed(Idempotency::Keyed {
            group,
            window: 100.0,
        });
        core.open(now, lookup(now + 3000.0));
        let (first, _) = done(&mut core);
        assert_eq!(first[0].1, f64::INFINITY);
        // It never ran, so that the second is the first that may have.
        core.attempt_ended(now + 10.0, first[0].0, Outcome::Unreachable, vec![]);
        let (second, _) = done(&mut core);
        assert_eq!(second[0].1, f64::INFINITY);
        core.attempt_ended(now + 40.0, second[0].0, Outcome::Reset, vec![]);
        let (third, _) = done(&mut core);
        assert_eq!(third[0].1, now + 110.0, "from when the second was sent");
        // It stood before a connection until then.
        core.attempt_ended(now + 111.0, third[0].0, Outcome::NeverStarted, vec![]);
        let (more, answers) = done(&mut core);
        assert!(more.is_empty());
        let refused = matches!(answers[..], [Answer::Rejected { .. }]);
        assert_eq!(refused, group == DeduplicationScope::All, "{answers:?}");
    }
    let (now, mut core) = keyed(Idempotency::Idempotent);
    core.open(now, lookup(now + 3000.0));
    let (first, _) = done(&mut core);
    core.attempt_ended(now + 40.0, first[0].0, Outcome::Reset, vec![]);
    assert_eq!(
        done(&mut core).0[0].1,
        f64::INFINITY,
        "safe ones are repeated at any time"
    );
}

/// Where only some engines would drop a repeat, no refusal goes out once one may have run, whoever words it.
#[test]
fn possibly_executed_keyed_request_is_rejected_only_with_fleet_wide_deduplication() {
    for (group, retry_safe) in [
        (DeduplicationScope::All, true),
        (DeduplicationScope::Zone, false),
        (DeduplicationScope::Cell, false),
    ] {
        for stops in [false, true] {
            let (now, mut core) = keyed(Idempotency::Keyed {
                group,
                window: 4000.0,
            });
            core.open(now, lookup(now + 500.0));
            assert_eq!(done(&mut core).0.len(), 1);
            if stops {
                core.begin_shutdown(now, now + 200.0);
            }
            core.tick(now + if stops { 200.0 } else { 480.0 });
            assert_eq!(
                done(&mut core).1,
                [Answer::TimedOut { retry_safe }],
                "{group:?}"
            );
        }
        let (now, mut core) = keyed(Idempotency::Keyed {
            group,
            window: 4000.0,
        });
        core.open(now, lookup(now + 500.0));
        let (first, _) = done(&mut core);
        core.attempt_ended(now + 1.0, first[0].0, Outcome::Unreachable, vec![]);
        let (second, _) = done(&mut core);
        core.attempt_ended(now + 480.0, second[0].0, Outcome::Rejected, vec![]);
        let (_, answers) = done(&mut core);
        assert!(
            matches!(answers[..], [Answer::Rejected { .. }]),
            "none ever ran: {answers:?}"
        );
    }
}
