//! Properties of the decision module that hold when each of many dispatchers gets a small part of the
//! traffic, tested with scripted events.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;
use common::*;
use query_dispatcher::*;

/// Settings of one dispatcher in a fleet of this size.
fn fleet_settings(dispatchers: u32, probes: bool) -> Settings {
    let mut settings = test_settings(vec![class(1.0, 2000.0)]);
    (settings.dispatchers, settings.limits.probes) = (dispatchers, probes);
    settings
}

/// Returns the engines that these actions probe.
fn probed_engines(actions: &[Action]) -> Vec<String> {
    let name = |a: &Action| {
        if let Action::Probe { engine } = a {
            Some(engine.clone())
        } else {
            None
        }
    };
    actions.iter().filter_map(name).collect()
}

fn engine_report(engine: &str, inflight: f64) -> Event {
    let report = vec![inflight, 0.1];
    Event::EngineReport {
        engine: engine.into(),
        outcome: Outcome::Served,
        report,
    }
}

/// Each of 100 dispatchers held a connection to nearly all of 30 engines: 4,296 connections for 11,825
/// requests.
#[test]
fn each_dispatcher_uses_a_small_subset_and_together_they_balance() {
    let mut used = std::collections::BTreeMap::<String, usize>::new();
    for seed in 0..60 {
        let mut controller = TestController::seeded(fleet_settings(100, false), fleet(30), seed);
        let mut subset = std::collections::BTreeSet::new();
        for id in 0..40 {
            let sent = sent_attempts(&controller.submit(query(id, 0)));
            assert_eq!(sent.len(), 1);
            subset.insert(sent[0].1.clone());
            controller.end_attempt(id, 0, Outcome::Served);
        }
        assert!(
            (2..=6).contains(&subset.len()),
            "dispatcher {seed} uses {subset:?}"
        );
        subset
            .into_iter()
            .for_each(|e| *used.entry(e).or_default() += 1);
    }
    assert_eq!(used.len(), 30, "every engine is used by some dispatcher");
    assert!(used.values().all(|n| (2..=20).contains(n)), "{used:?}");
}

#[test]
fn new_engines_are_not_tried_while_the_subset_has_capacity() {
    let mut controller = TestController::new(fleet_settings(100, false), fleet(10));
    let serve_query = |controller: &mut TestController, id| {
        let engine = sent_attempts(&controller.submit(query(id, 0)))[0].1.clone();
        controller.end_attempt(id, 0, Outcome::Served);
        engine
    };
    let subset: std::collections::BTreeSet<String> =
        (0..40).map(|id| serve_query(&mut controller, id)).collect();
    // Some of the thirty new engines precede the subset in the dispatcher's own order of engines.
    controller.handle(Event::EngineList {
        update: ListUpdate::Snapshot,
        entries: fleet(40),
    });
    for id in 40..120 {
        let engine = serve_query(&mut controller, id);
        assert!(
            subset.contains(&engine),
            "{engine} is new, and {subset:?} have capacity"
        );
    }
}

/// Any number of dispatchers share one cold engine and always have queries for it: the work that they send
/// in any window stays within the settings' multiple of the engine's capacity at the window's start.
#[test]
fn warming_engine_stays_under_its_limit_with_3_30_and_100_dispatchers() {
    for dispatchers in [3u32, 30, 100] {
        let settings = fleet_settings(dispatchers, false);
        let (rules, cores) = (settings.rules.clone(), settings.kinds[0].cores);
        let warming_engine = EngineEntry {
            started: Some(1000.0),
            ..engine_entry("new")
        };
        let mut controllers: Vec<TestController> = (0..dispatchers)
            .map(|seed| {
                TestController::seeded(
                    settings.clone(),
                    vec![warming_engine.clone()],
                    u64::from(seed) + 7,
                )
            })
            .collect();
        let mut sent: Vec<(f64, f64)> = vec![];
        for step in 0..300u64 {
            let now = 1000.0 + step as f64 * 20.0;
            for (index, controller) in controllers.iter_mut().enumerate() {
                controller.now = now;
                controller.handle(Event::Timer(0));
                if !(step + index as u64).is_multiple_of(5) {
                    continue;
                }
                let query = Query {
                    work: Some(500.0),
                    time_left: 200.0,
                    ..query(step, 0)
                };
                for (id, _) in sent_attempts(&controller.submit(query)) {
                    sent.push((now, 500.0));
                    controller.end_attempt(id, 0, Outcome::Served);
                }
            }
        }
        assert!(
            sent.len() > 20,
            "{dispatchers} dispatchers use the engine, {} sends",
            sent.len()
        );
        for (start, _) in &sent {
            let capacity = rules.initial_warm_up_capacity
                + (1.0 - rules.initial_warm_up_capacity)
                    * ((start - 1000.0) / rules.warm_up_period).min(1.0);
            let bound = rules.overload_multiple * capacity * cores * rules.overload_window;
            let window = sent
                .iter()
                .filter(|(at, _)| at >= start && *at < start + rules.overload_window);
            let sum: f64 = window.map(|(_, work)| work).sum();
            assert!(
                sum <= bound,
                "{dispatchers} dispatchers: work {sum} in the window from {start}, limit {bound}"
            );
        }
    }
}

#[test]
fn subset_is_widened_when_it_has_no_capacity() {
    let mut controller = TestController::new(fleet_settings(100, false), fleet(30));
    let mut full = std::collections::BTreeSet::new();
    for id in 0..12 {
        let sent = sent_attempts(&controller.submit(query(id, 0)));
        assert_eq!(
            sent.len(),
            1,
            "the next engine in the dispatcher's order replaces the full ones"
        );
        assert!(
            full.insert(sent[0].1.clone()),
            "{} has just rejected an attempt",
            sent[0].1
        );
        let retried = sent_attempts(&controller.end_attempt(id, 0, Outcome::Rejected));
        assert!(!full.contains(&retried[0].1));
        controller.end_attempt(id, 1, Outcome::Served);
    }
}

#[test]
fn idle_dispatcher_probes_two_engines_and_picks_the_less_loaded() {
    for loaded in 0..2 {
        let mut controller = TestController::new(fleet_settings(100, true), fleet(9));
        let pair = probed_engines(&controller.submit(query(1, 0)));
        assert_eq!(pair.len(), 2);
        assert_eq!(
            sent_attempts(&controller.handle(engine_report(&pair[loaded], 12.0))),
            vec![]
        );
        let sent = sent_attempts(&controller.handle(engine_report(&pair[1 - loaded], 2.0)));
        assert_eq!(sent, vec![(1, pair[1 - loaded].clone())]);
    }
}

#[test]
fn only_a_loaded_fleet_is_probed_for_each_query() {
    for (inflight, probes) in [(1.0, false), (9.0, true)] {
        let mut controller = TestController::new(fleet_settings(100, true), fleet(9));
        for i in 0..6 {
            controller.handle(engine_report(&format!("e{i}"), inflight));
        }
        controller.now += 600.0;
        let out = controller.submit(query(1, 0));
        assert_eq!(
            sent_attempts(&out).is_empty(),
            probes,
            "reports of {inflight} queries an engine"
        );
        assert_eq!(probed_engines(&out).len() >= 2, probes);
    }
}

#[test]
fn lost_late_duplicate_or_malformed_probes_delay_nothing() {
    let mut controller = TestController::new(fleet_settings(100, true), fleet(9));
    let pair = probed_engines(&controller.submit(query(1, 0)));
    controller.handle(engine_report("unknown", 1.0));
    controller.handle(engine_report(&pair[0], f64::NAN));
    controller.handle(engine_report(&pair[0], -4.0));
    assert_eq!(
        sent_attempts(&controller.advance(60.0)).len(),
        1,
        "sent when the wait for probes ends"
    );
    for _ in 0..3 {
        assert_eq!(
            sent_attempts(&controller.handle(engine_report(&pair[1], 3.0))),
            vec![]
        );
    }
}

#[test]
fn dispatchers_with_whole_queries_of_budget_do_not_wait_for_probes() {
    let mut controller = TestController::new(fleet_settings(2, true), fleet(4));
    assert_eq!(sent_attempts(&controller.submit(query(1, 0))).len(), 1);
}

/// Counts the attempts that dispatchers with different seeds send; each gets three queries and runs for
/// less than a sampling period.
fn total_sends(settings: &Settings, entries: &[EngineEntry], inflight: f64) -> usize {
    let mut total = 0;
    for seed in 0..u64::from(settings.dispatchers) {
        let mut controller = TestController {
            inner: Controller::new(settings.clone(), seed).unwrap(),
            now: 1000.0,
        };
        controller.handle(Event::EngineList {
            update: ListUpdate::Stale,
            entries: entries.to_vec(),
        });
        controller.advance(2100.0); // one sampling period, after which the random draws are made
        let mut out = vec![];
        for id in 0..3 {
            out.extend(controller.submit(query(id, 0)));
        }
        for _ in 0..60 {
            total += sent_attempts(&out).len();
            let probed_engines = probed_engines(&out);
            out = probed_engines
                .iter()
                .flat_map(|e| controller.handle(engine_report(e, inflight)))
                .collect();
            out.extend(controller.advance(20.0));
        }
    }
    total
}

#[test]
fn all_dispatchers_under_load_stay_near_an_engines_budget() {
    let sent = total_sends(&fleet_settings(100, true), &fleet(4), 40.0);
    assert!(
        (16..=80).contains(&sent),
        "{sent} sends, four engines with budgets of 16 threads"
    );
}

#[test]
fn all_dispatchers_use_a_warming_engines_budget_and_no_more() {
    let settings = fleet_settings(200, false);
    let warming_engine = EngineEntry {
        started: Some(1000.0),
        ..engine_entry("cold")
    };
    let rules = &settings.rules;
    let mean_work = settings.classes[0].latency_objective
        / (1.0 + settings.classes[0].latency_objective_slowdown);
    let limit = rules.overload_multiple
        * rules.initial_warm_up_capacity
        * settings.kinds[0].cores
        * rules.overload_window
        / mean_work;
    let sent = total_sends(&settings, &[warming_engine], 0.0) as f64;
    assert!(sent <= limit, "{sent} sends, limit {limit}");
    assert!(
        sent > 0.1 * limit,
        "{sent} sends leave the engine idle, limit {limit}"
    );
}

/// What one dispatcher sent to a fake fleet.
#[derive(Default)]
struct RunResult {
    /// Number of final answers of each query.
    final_answers: std::collections::BTreeMap<QueryId, u32>,
    /// Time and engine of each attempt.
    sent: Vec<(f64, String)>,
    served: u32,
}

/// Submits a query every 10 ms for this many steps, each of 100 ms of work; an attempt ends after 40 ms
/// with the outcome that `outcome_of` returns for the time and the engine.
fn play(
    controller: &mut TestController,
    steps: u64,
    outcome_of: impl Fn(f64, &str) -> Outcome,
) -> RunResult {
    let mut result = RunResult::default();
    let mut in_flight: Vec<(f64, QueryId, u32, String)> = vec![];
    let mut attempt_counts = std::collections::BTreeMap::<QueryId, u32>::new();
    let first = controller.now as QueryId * 1000;
    for step in 0..steps + 100 {
        let mut actions = controller.advance(10.0);
        if step < steps {
            actions.extend(controller.submit(Query {
                work: Some(100.0),
                time_left: 600.0,
                ..query(first + step, 0)
            }));
        }
        loop {
            for (id, engine) in sent_attempts(&actions) {
                result.sent.push((controller.now, engine.clone()));
                let attempt = attempt_counts.entry(id).or_default();
                in_flight.push((controller.now + 40.0, id, *attempt, engine));
                *attempt += 1;
            }
            final_answers(&actions)
                .into_iter()
                .for_each(|id| *result.final_answers.entry(id).or_default() += 1);
            actions.clear();
            let Some(index) = in_flight.iter().position(|a| a.0 <= controller.now) else {
                break;
            };
            let (_, id, attempt, engine) = in_flight.swap_remove(index);
            let outcome = outcome_of(controller.now, &engine);
            if outcome == Outcome::Served {
                *result.final_answers.entry(id).or_default() += 1;
                result.served += 1;
            }
            actions = controller.end_attempt(id, attempt, outcome);
        }
    }
    assert_eq!(
        result.final_answers.len() as u64,
        steps,
        "every query gets a final answer"
    );
    assert!(
        result.final_answers.values().all(|n| *n == 1),
        "one final answer each: {:?}",
        result.final_answers
    );
    result
}

/// Returns the largest work that was sent to one engine in any window of this many milliseconds.
fn peak_work_in_window(result: &RunResult, engine: &str, window: f64) -> f64 {
    let send_times: Vec<f64> = result
        .sent
        .iter()
        .filter(|s| s.1 == engine)
        .map(|s| s.0)
        .collect();
    let sends_in_window = |start: &f64| {
        send_times
            .iter()
            .filter(|at| *at >= start && **at < start + window)
            .count()
    };
    send_times.iter().map(sends_in_window).max().unwrap_or(0) as f64 * 100.0
}

#[test]
fn all_warming_engines_are_used_to_their_limit_and_every_query_is_answered() {
    let mut settings = fleet_settings(1, false);
    settings.kinds[0].cores = 2.0;
    let rules = settings.rules.clone();
    let warming_engine = |i| EngineEntry {
        started: Some(1000.0),
        ..engine_entry(&format!("e{i}"))
    };
    let mut controller = TestController::new(settings, (0..3).map(warming_engine).collect());
    let result = play(&mut controller, 150, |_, _| Outcome::Served);
    for engine in ["e0", "e1", "e2"] {
        let capacity = rules.initial_warm_up_capacity
            + (1.0 - rules.initial_warm_up_capacity) * 1500.0 / rules.warm_up_period;
        let (peak, bound) = (
            peak_work_in_window(&result, engine, rules.overload_window),
            rules.overload_multiple * capacity * 2.0 * 1500.0,
        );
        assert!(peak <= bound, "{engine}: work {peak}, limit {bound}");
        assert!(
            peak > 0.5 * bound,
            "{engine} is warming up but usable: work {peak}, limit {bound}"
        );
    }
    assert!(
        result.served >= 60 && result.final_answers.len() as u32 > result.served,
        "{} queries served, the rest must be refused",
        result.served
    );
}

#[test]
fn full_fleet_replacement_uses_only_the_new_engines() {
    let mut controller = TestController::new(fleet_settings(1, false), fleet(4));
    play(&mut controller, 40, |_, _| Outcome::Served);
    // Queries are in flight on the old engines when they are removed and their connections break.
    let in_flight: Vec<QueryId> = (1..=6).collect();
    let out: Vec<_> = in_flight
        .iter()
        .flat_map(|&id| sent_attempts(&controller.submit(query(id, 0))))
        .collect();
    assert_eq!(out.len(), 6);
    let replaced_at = controller.now;
    let removed = fleet(4).into_iter().map(|e| EngineEntry {
        state: EngineState::Gone,
        ..e
    });
    let new = (0..4).map(|i| EngineEntry {
        started: Some(replaced_at),
        ..engine_entry(&format!("new{i}"))
    });
    let mut actions = controller.handle(Event::EngineList {
        update: ListUpdate::Patch,
        entries: removed.chain(new).collect(),
    });
    in_flight
        .iter()
        .for_each(|&id| actions.extend(controller.end_attempt(id, 0, Outcome::Reset)));
    actions.extend(controller.advance(100.0));
    let retried = sent_attempts(&actions);
    assert_eq!(
        retried.len(),
        6,
        "idempotent queries are retried: {actions:?}"
    );
    assert!(
        retried.iter().all(|(_, e)| e.starts_with("new")),
        "{retried:?}"
    );
    in_flight
        .iter()
        .for_each(|&id| drop(controller.end_attempt(id, 1, Outcome::Served)));
    let result = play(&mut controller, 100, |_, _| Outcome::Served);
    assert!(result.sent.iter().all(|(_, e)| e.starts_with("new")));
    assert!(
        result.served > 80,
        "{} of 100 queries served",
        result.served
    );
}

#[test]
fn engine_out_of_connections_is_retried_once_a_second_and_loses_no_query() {
    let mut connections = 0;
    for seed in 0..30 {
        let mut controller = TestController::seeded(fleet_settings(30, false), fleet(6), seed);
        let result = play(&mut controller, 500, |_, e| {
            if e == "e0" {
                Outcome::Unreachable
            } else {
                Outcome::Served
            }
        });
        assert_eq!(
            result.served, 500,
            "dispatcher {seed}: another engine serves the queries that e0 cannot accept"
        );
        let attempt_times: Vec<f64> = result
            .sent
            .iter()
            .filter(|s| s.1 == "e0")
            .map(|s| s.0)
            .collect();
        // Several attempts may be sent before the first one fails: a try begins 900 ms or more after the
        // last attempt.
        let tries = attempt_times
            .iter()
            .zip(std::iter::once(&f64::MIN).chain(&attempt_times))
            .filter(|(at, previous)| **at > **previous + 900.0);
        assert!(
            tries.count() <= 6 && attempt_times.len() <= 30,
            "dispatcher {seed}: {} connections in 5 s",
            attempt_times.len()
        );
        connections += attempt_times.len();
    }
    assert!(
        connections > 0,
        "no dispatcher used e0: the test proves nothing"
    );
}

#[test]
fn duplicate_or_unknown_list_entries_change_nothing() {
    let mut controller = TestController::new(fleet_settings(1, false), fleet(3));
    let in_flight = sent_attempts(&controller.submit(query(1, 0)));
    for update in [ListUpdate::Patch, ListUpdate::Snapshot, ListUpdate::Patch] {
        let repeated = controller.handle(Event::EngineList {
            update,
            entries: fleet(3),
        });
        assert_eq!(
            (sent_attempts(&repeated), final_answers(&repeated)),
            (vec![], vec![]),
            "a repeated entry leaves attempts in flight alone"
        );
    }
    let removed = EngineEntry {
        state: EngineState::Gone,
        ..engine_entry("never")
    };
    controller.handle(Event::EngineList {
        update: ListUpdate::Patch,
        entries: vec![removed.clone(), removed],
    });
    let result = play(&mut controller, 60, |_, _| Outcome::Served);
    assert!(result.sent.iter().all(|(_, e)| e != "never"));
    assert_eq!((in_flight.len(), result.served), (1, 60));
    // A removed engine's id returns as a new process: it is cold, and earlier observations of it are
    // discarded.
    let removed = EngineEntry {
        state: EngineState::Gone,
        ..engine_entry("e0")
    };
    controller.handle(Event::EngineList {
        update: ListUpdate::Patch,
        entries: vec![removed],
    });
    let restarted = EngineEntry {
        started: Some(controller.now),
        ..engine_entry("e0")
    };
    controller.handle(Event::EngineList {
        update: ListUpdate::Patch,
        entries: vec![restarted],
    });
    let result = play(&mut controller, 100, |_, _| Outcome::Served);
    let rules = test_settings(vec![class(1.0, 1.0)]).rules;
    let bound = rules.overload_multiple
        * (rules.initial_warm_up_capacity + 0.7 * 1500.0 / rules.warm_up_period)
        * 8.0
        * rules.overload_window;
    assert!(peak_work_in_window(&result, "e0", rules.overload_window) <= bound);
}

/// The engine's failures and load are half a minute old, and it has not been used since.
#[test]
fn rarely_used_engine_is_not_evaluated_by_old_observations() {
    let mut controller = TestController::new(fleet_settings(1, false), fleet(2));
    let result = play(&mut controller, 60, |_, e| {
        if e == "e0" {
            Outcome::Error
        } else {
            Outcome::Served
        }
    });
    assert!(
        result.sent.iter().filter(|s| s.1 == "e0").count() < 30,
        "avoided while it fails"
    );
    controller.handle(engine_report("e0", 60.0));
    controller.advance(30_000.0);
    let result = play(&mut controller, 100, |_, _| Outcome::Served);
    let recent_sends = result.sent.iter().filter(|s| s.1 == "e0").count();
    assert!(
        recent_sends >= 25,
        "{recent_sends} of {} sends half a minute later",
        result.sent.len()
    );
}
