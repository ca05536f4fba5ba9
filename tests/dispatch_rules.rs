//! Tests of the seven dispatch rules with scripted events. Each test fails if the check that enforces
//! its rule is removed.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;
use common::*;
use query_dispatcher::*;

fn draining(engine: &str) -> Event {
    let entries = vec![EngineEntry {
        state: EngineState::Draining,
        ..engine_entry(engine)
    }];
    Event::EngineList {
        update: ListUpdate::Patch,
        entries,
    }
}

#[test]
fn rule_1_query_without_time_to_wait_is_answered_at_once() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 800.0)]), vec![]);
    let out = controller.submit(Query {
        time_left: 30.0,
        ..query(1, 0)
    });
    assert_eq!(final_answers(&out), [1]);
}

#[test]
fn rule_1_queued_query_gets_one_answer_in_time_and_nothing_after() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 800.0)]), vec![]);
    assert!(final_answers(&controller.submit(query(1, 0))).is_empty());
    let out = controller.advance(4000.0);
    assert_eq!(final_answers(&out), [1]);
    let out = controller.handle(Event::EngineList {
        update: ListUpdate::Snapshot,
        entries: vec![engine_entry("a")],
    });
    assert!(sent_attempts(&out).is_empty());
}

#[test]
fn rule_1_in_flight_query_fails_at_its_deadline() {
    let mut controller = TestController::new(
        test_settings(vec![class(1.0, 800.0)]),
        vec![engine_entry("a")],
    );
    assert_eq!(sent_attempts(&controller.submit(query(1, 0))).len(), 1);
    controller.now += 4000.0;
    let out = controller.end_attempt(1, 0, Outcome::TimedOut);
    assert_eq!(final_answers(&out), [1]);
}

#[test]
fn rule_2_possibly_executed_unsafe_query_is_neither_retried_nor_rejected() {
    let unsafe_class = Class {
        idempotency: Idempotency::NonIdempotent,
        ..class(1.0, 800.0)
    };
    let mut controller = TestController::new(
        test_settings(vec![unsafe_class]),
        vec![engine_entry("a"), engine_entry("b")],
    );
    controller.submit(query(1, 0));
    let out = controller.end_attempt(1, 0, Outcome::Reset);
    assert!(sent_attempts(&out).is_empty());
    assert!(out.contains(&Action::Fail { id: 1 }));
    controller.submit(query(2, 0));
    assert_eq!(
        sent_attempts(&controller.end_attempt(2, 0, Outcome::Unreachable)).len(),
        1,
        "a query that certainly never ran may be sent to another engine"
    );
}

#[test]
fn rule_2_keyed_query_is_retried_only_in_its_group_and_window() {
    let keyed = Idempotency::Keyed {
        group: DeduplicationScope::Cell,
        window: 500.0,
    };
    let keyed_class = Class {
        idempotency: keyed,
        ..class(1.0, 3000.0)
    };
    let cells = || {
        vec![
            engine_entry("a"),
            EngineEntry {
                cell: 1,
                ..engine_entry("b")
            },
            EngineEntry {
                cell: 1,
                ..engine_entry("c")
            },
        ]
    };
    for id in 0..20 {
        let mut controller = TestController::new(test_settings(vec![keyed_class.clone()]), cells());
        let first = sent_attempts(&controller.submit(query(id, 0)))[0].1.clone();
        let again = sent_attempts(&controller.end_attempt(id, 0, Outcome::Reset));
        assert_eq!(again.len(), 1);
        assert_eq!(
            again[0].1 == "a",
            first == "a",
            "a repeat stays in its cell, since another cell does not recognize it"
        );
        controller.now += 600.0;
        let out = controller.end_attempt(id, 1, Outcome::Reset);
        assert!(
            sent_attempts(&out).is_empty(),
            "no repeat is sent after the deduplication window"
        );
        assert!(
            out.contains(&Action::Fail { id }),
            "the query fails, since a refusal would promise that a retry is safe"
        );
    }
}

/// No engine has capacity until the deduplication window ends. The query can no longer be sent then, so
/// that it is answered instead of waiting further.
#[test]
fn queued_keyed_query_is_answered_when_its_window_ends() {
    for group in [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ] {
        let keyed = Class {
            idempotency: Idempotency::Keyed {
                group,
                window: 100.0,
            },
            ..class(1.0, 3000.0)
        };
        let mut controller = TestController::new(
            test_settings(vec![keyed, class(1.0, 3000.0)]),
            vec![engine_entry("a")],
        );
        assert_eq!(sent_attempts(&controller.submit(query(1, 0))).len(), 1);
        assert_eq!(sent_attempts(&controller.submit(query(2, 1))).len(), 1);
        controller.end_attempt(2, 0, Outcome::Rejected);
        controller.now += 40.0;
        let out = controller.end_attempt(1, 0, Outcome::Reset);
        assert!(
            sent_attempts(&out).is_empty() && final_answers(&out).is_empty(),
            "the query may still be sent again and waits: {out:?}"
        );
        let out = controller.advance(80.0);
        assert_eq!(final_answers(&out), [1], "{group:?}");
        assert_eq!(
            out.contains(&Action::Fail { id: 1 }),
            group != DeduplicationScope::All
        );
    }
}

#[test]
fn rule_2_no_second_attempt_in_flight_where_hedging_is_forbidden() {
    let mut controller = TestController::new(
        test_settings(vec![class(1.0, 800.0)]),
        vec![engine_entry("a"), engine_entry("b")],
    );
    let mut out = controller.submit(query(1, 0));
    out.extend(controller.advance(3900.0));
    assert_eq!(sent_attempts(&out).len(), 1);
}

#[test]
fn rule_3_nothing_is_sent_to_draining_or_removed_engines() {
    let mut controller = TestController::new(
        test_settings(vec![class(1.0, 800.0)]),
        vec![engine_entry("a"), engine_entry("b")],
    );
    controller.handle(draining("a"));
    for id in 0..10 {
        assert_eq!(sent_attempts(&controller.submit(query(id, 0)))[0].1, "b");
    }
    controller.handle(Event::EngineList {
        update: ListUpdate::Snapshot,
        entries: vec![engine_entry("a")],
    });
    assert_eq!(sent_attempts(&controller.submit(query(99, 0)))[0].1, "a");
}

#[test]
fn rule_4_warming_engine_gets_this_dispatchers_part_of_its_budget_in_any_window() {
    let mut settings = test_settings(vec![class(1.0, 300.0)]);
    settings.dispatchers = 2;
    let rules = settings.rules.clone();
    let warming_engine = EngineEntry {
        started: Some(1000.0),
        ..engine_entry("a")
    };
    let mut controller = TestController::new(settings, vec![warming_engine]);
    let mut work: Vec<(f64, f64)> = vec![];
    for id in 0..600 {
        controller.now += 10.0;
        // Without estimates and answers, the usual work of the class is its latency objective divided
        // by 1 + its slowdown allowance.
        for _ in sent_attempts(&controller.submit(query(id, 0))) {
            work.push((controller.now, 100.0));
        }
        let ids: Vec<u64> = (0..id).collect();
        for id in ids.iter().rev().take(3) {
            controller.handle(Event::ClientDisconnected(*id));
            controller.end_attempt(*id, 0, Outcome::Cancelled);
        }
    }
    assert!(
        work.len() > 10,
        "the budget is not used: {} attempts",
        work.len()
    );
    for (start, _) in &work {
        // The capacity grows linearly with the engine's age; its value at the start of the window
        // applies.
        let capacity = rules.initial_warm_up_capacity
            + (1.0 - rules.initial_warm_up_capacity)
                * ((start - 1000.0) / rules.warm_up_period).min(1.0);
        let limit = rules.overload_multiple * capacity * 8.0 * rules.overload_window / 2.0;
        let sum: f64 = work
            .iter()
            .filter(|(at, _)| at >= start && *at <= start + rules.overload_window)
            .map(|(_, work)| work)
            .sum();
        assert!(sum <= limit, "{sum} of {limit} from {start}");
    }
}

#[test]
fn rule_5_queries_of_one_key_run_in_order_with_a_quiet_period() {
    let mut settings = test_settings(vec![Class {
        in_order: true,
        ..class(1.0, 3000.0)
    }]);
    settings.limits.cancel = false;
    let mut controller = TestController::new(settings, vec![engine_entry("a"), engine_entry("b")]);
    let keyed = |id| Query {
        key: Some("k".into()),
        ..query(id, 0)
    };
    assert_eq!(sent_attempts(&controller.submit(keyed(1))).len(), 1);
    assert!(sent_attempts(&controller.submit(keyed(2))).is_empty());
    assert_eq!(
        sent_attempts(&controller.submit(Query {
            key: Some("other".into()),
            ..query(3, 0)
        }))
        .len(),
        1
    );
    assert!(
        sent_attempts(&controller.handle(Event::ClientDisconnected(1))).is_empty(),
        "the attempt of the first query is still in flight"
    );
    let out = controller.handle(Event::AttemptEnded(Ended {
        last: true,
        ..attempt_ended(1, 0, Outcome::TimedOut)
    }));
    assert!(
        sent_attempts(&out).is_empty(),
        "the quiet period of the key has not ended"
    );
    assert!(sent_attempts(&controller.advance(280.0)).is_empty());
    assert_eq!(
        sent_attempts(&controller.advance(60.0)),
        [(2, engine_of_second_query(&mut controller))]
    );
}

fn engine_of_second_query(controller: &mut TestController) -> String {
    // The retry of query 2 goes to the other engine, which shows where its first attempt went.
    let retried = sent_attempts(&controller.end_attempt(2, 0, Outcome::Unreachable));
    if retried[0].1 == "a" {
        "b".into()
    } else {
        "a".into()
    }
}

#[test]
fn rule_6_restricted_class_stays_in_its_zone_and_kind_during_an_outage() {
    let restricted_class = Class {
        allowed_zones: Some(vec![1]),
        allowed_kinds: Some(vec![0]),
        ..class(1.0, 800.0)
    };
    let engines = || {
        vec![
            engine_entry("wrong-zone"),
            EngineEntry {
                zone: Some(1),
                kind: Some(1),
                ..engine_entry("wrong-kind")
            },
            EngineEntry {
                zone: Some(1),
                ..engine_entry("right")
            },
        ]
    };
    let mut controller = TestController::new(test_settings(vec![restricted_class]), engines());
    for id in 0..10 {
        assert_eq!(
            sent_attempts(&controller.submit(query(id, 0)))[0].1,
            "right"
        );
    }
    controller.handle(draining("right"));
    assert!(sent_attempts(&controller.submit(query(99, 0))).is_empty());
}

#[test]
fn rule_7_retries_stay_within_the_retry_budget() {
    let mut settings = test_settings(vec![class(1.0, 3000.0)]);
    settings.rules.retry_budget = Some(RetryBudget {
        min_retries: 2.0,
        retry_ratio: 0.1,
        window: 10000.0,
    });
    let mut controller = TestController::new(
        settings,
        vec![engine_entry("a"), engine_entry("b"), engine_entry("c")],
    );
    let (mut arrivals, mut retries) = (0.0, 0.0);
    for id in 0..60 {
        controller.now += 10.0;
        arrivals += 1.0;
        let mut started = sent_attempts(&controller.submit(query(id, 0))).len();
        let mut attempt = 0;
        while started > 0 {
            started = sent_attempts(&controller.end_attempt(id, attempt, Outcome::Error)).len();
            attempt += 1;
            retries += started as f64;
            assert!(retries <= 2.0 + 0.1 * arrivals);
        }
    }
    assert!(
        retries >= 6.0,
        "the retry budget is not used: {retries} retries"
    );
}

/// A client that holds a connection to an engine without a running statement uses no thread there.
/// Otherwise idle transactions would block all other queries: 8 of them would block 8 cores.
#[test]
fn idle_held_attempt_frees_its_threads() {
    let multi_threaded = Class {
        threads: 4.0,
        idempotency: Idempotency::NonIdempotent,
        ..class(1.0, 2000.0)
    };
    for idle in [false, true] {
        let mut controller = TestController::new(
            test_settings(vec![multi_threaded.clone()]),
            vec![engine_entry("e")],
        );
        let mut started = 0;
        for id in 0..12 {
            started += sent_attempts(&controller.submit(query(id, 0))).len();
            controller.handle(Event::Streaming { id, attempt: 0 });
            let note = if idle {
                ProgressNote::Idle
            } else {
                ProgressNote::Active
            };
            controller.handle(Event::Progress {
                id,
                attempt: 0,
                note,
            });
        }
        assert_eq!(
            started == 12,
            idle,
            "{started} of 12 queries started on an engine that sustains 16 threads"
        );
        if idle {
            // All attempts count again as soon as they are active.
            (0..12).for_each(|id| {
                drop(controller.handle(Event::Progress {
                    id,
                    attempt: 0,
                    note: ProgressNote::Active,
                }))
            });
            assert_eq!(sent_attempts(&controller.submit(query(12, 0))), vec![]);
        }
    }
}
