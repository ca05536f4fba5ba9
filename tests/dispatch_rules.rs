//! The seven dispatch rules as scripted events: each test fails when the check that enforces its rule is removed.

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
        "proven unrun: free to go elsewhere"
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
            "another cell does not know the repeat"
        );
        controller.now += 600.0;
        let out = controller.end_attempt(id, 1, Outcome::Reset);
        assert!(sent_attempts(&out).is_empty(), "the window is over");
        assert!(
            out.contains(&Action::Fail { id }),
            "a refusal would promise too much"
        );
    }
}

/// No engine has room, and the window passes: it could not be sent any more, so that nothing is waited for.
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
            "it may be sent again, and waits: {out:?}"
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
        // No estimates and no answers: the class's usual work is aim / (1 + stretch).
        for _ in sent_attempts(&controller.submit(query(id, 0))) {
            work.push((controller.now, 100.0));
        }
        let ids: Vec<u64> = (0..id).collect();
        for id in ids.iter().rev().take(3) {
            controller.handle(Event::ClientDisconnected(*id));
            controller.end_attempt(*id, 0, Outcome::Cancelled);
        }
    }
    assert!(work.len() > 10, "it is used, {} sends", work.len());
    for (start, _) in &work {
        // It warms evenly: what it can do by its age when the window begins.
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
        "its attempt is still out"
    );
    let out = controller.handle(Event::AttemptEnded(Ended {
        last: true,
        ..attempt_ended(1, 0, Outcome::TimedOut)
    }));
    assert!(sent_attempts(&out).is_empty(), "the key rests");
    assert!(sent_attempts(&controller.advance(280.0)).is_empty());
    assert_eq!(
        sent_attempts(&controller.advance(60.0)),
        [(2, engine_of_second_query(&mut controller))]
    );
}

fn engine_of_second_query(controller: &mut TestController) -> String {
    // Where query 2 went shows in its own retry: the other engine is taken then.
    let retried = sent_attempts(&controller.end_attempt(2, 0, Outcome::Unreachable));
    if retried[0].1 == "a" {
        "b".into()
    } else {
        "a".into()
    }
}

#[test]
fn rule_6_restricted_class_stays_in_its_zone_and_kind_during_an_outage() {
    let bound = Class {
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
    let mut controller = TestController::new(test_settings(vec![bound]), engines());
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
    let (mut received, mut retries) = (0.0, 0.0);
    for id in 0..60 {
        controller.now += 10.0;
        received += 1.0;
        let mut started = sent_attempts(&controller.submit(query(id, 0))).len();
        let mut attempt = 0;
        while started > 0 {
            started = sent_attempts(&controller.end_attempt(id, attempt, Outcome::Error)).len();
            attempt += 1;
            retries += started as f64;
            assert!(retries <= 2.0 + 0.1 * received);
        }
    }
    assert!(retries >= 6.0, "the ration is used, {retries}");
}

/// A client that holds an engine's connection and asks nothing takes no thread there: transactions that idle would
/// keep everybody else off, 8 of them off 8 cores.
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
            "{started} of 12 on an engine that bears 16 threads"
        );
        if idle {
            // Once they ask again, all of them count.
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
