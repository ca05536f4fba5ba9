//! The seven rules, by scripted events: each test fails if its guard is removed.

mod common;
use common::*;
use query_dispatcher::*;

fn draining(engine: &str) -> Event {
    let entries = vec![EngineEntry {
        state: EngineState::Draining,
        ..entry(engine)
    }];
    Event::EngineList {
        update: ListUpdate::Patch,
        entries,
    }
}

#[test]
fn rule_1_query_without_time_to_wait_is_answered_at_once() {
    let mut g = Gateway::new(settings(vec![class(1.0, 800.0)]), vec![]);
    let out = g.take(Query {
        time_left: 30.0,
        ..query(1, 0)
    });
    assert_eq!(finals(&out), [1]);
}

#[test]
fn rule_1_queued_query_gets_one_answer_in_time_and_nothing_after() {
    let mut g = Gateway::new(settings(vec![class(1.0, 800.0)]), vec![]);
    assert!(finals(&g.take(query(1, 0))).is_empty());
    let out = g.pass(4000.0);
    assert_eq!(finals(&out), [1]);
    let out = g.does(Event::EngineList {
        update: ListUpdate::Snapshot,
        entries: vec![entry("a")],
    });
    assert!(sends(&out).is_empty());
}

#[test]
fn rule_1_in_flight_query_fails_at_its_deadline() {
    let mut g = Gateway::new(settings(vec![class(1.0, 800.0)]), vec![entry("a")]);
    assert_eq!(sends(&g.take(query(1, 0))).len(), 1);
    g.now += 4000.0;
    let out = g.end(1, 0, Outcome::TimedOut);
    assert_eq!(finals(&out), [1]);
}

#[test]
fn rule_2_possibly_executed_unsafe_query_is_neither_retried_nor_rejected() {
    let unsafe_class = Class {
        idempotency: Idempotency::NonIdempotent,
        ..class(1.0, 800.0)
    };
    let mut g = Gateway::new(settings(vec![unsafe_class]), vec![entry("a"), entry("b")]);
    g.take(query(1, 0));
    let out = g.end(1, 0, Outcome::Reset);
    assert!(sends(&out).is_empty());
    assert!(out.contains(&Action::Fail { id: 1 }));
    g.take(query(2, 0));
    assert_eq!(
        sends(&g.end(2, 0, Outcome::Unreachable)).len(),
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
            entry("a"),
            EngineEntry {
                cell: 1,
                ..entry("b")
            },
            EngineEntry {
                cell: 1,
                ..entry("c")
            },
        ]
    };
    for id in 0..20 {
        let mut g = Gateway::new(settings(vec![keyed_class.clone()]), cells());
        let first = sends(&g.take(query(id, 0)))[0].1.clone();
        let again = sends(&g.end(id, 0, Outcome::Reset));
        assert_eq!(again.len(), 1);
        assert_eq!(
            again[0].1 == "a",
            first == "a",
            "another cell does not know the repeat"
        );
        g.now += 600.0;
        let out = g.end(id, 1, Outcome::Reset);
        assert!(sends(&out).is_empty(), "the window is over");
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
        let mut g = Gateway::new(settings(vec![keyed, class(1.0, 3000.0)]), vec![entry("a")]);
        assert_eq!(sends(&g.take(query(1, 0))).len(), 1);
        assert_eq!(sends(&g.take(query(2, 1))).len(), 1);
        g.end(2, 0, Outcome::Rejected);
        g.now += 40.0;
        let out = g.end(1, 0, Outcome::Reset);
        assert!(
            sends(&out).is_empty() && finals(&out).is_empty(),
            "it may be sent again, and waits: {out:?}"
        );
        let out = g.pass(80.0);
        assert_eq!(finals(&out), [1], "{group:?}");
        assert_eq!(
            out.contains(&Action::Fail { id: 1 }),
            group != DeduplicationScope::All
        );
    }
}

#[test]
fn rule_2_no_second_attempt_in_flight_where_hedging_is_forbidden() {
    let mut g = Gateway::new(
        settings(vec![class(1.0, 800.0)]),
        vec![entry("a"), entry("b")],
    );
    let mut out = g.take(query(1, 0));
    out.extend(g.pass(3900.0));
    assert_eq!(sends(&out).len(), 1);
}

#[test]
fn rule_3_nothing_is_sent_to_draining_or_removed_engines() {
    let mut g = Gateway::new(
        settings(vec![class(1.0, 800.0)]),
        vec![entry("a"), entry("b")],
    );
    g.does(draining("a"));
    for id in 0..10 {
        assert_eq!(sends(&g.take(query(id, 0)))[0].1, "b");
    }
    g.does(Event::EngineList {
        update: ListUpdate::Snapshot,
        entries: vec![entry("a")],
    });
    assert_eq!(sends(&g.take(query(99, 0)))[0].1, "a");
}

#[test]
fn rule_4_warming_engine_gets_this_dispatchers_part_of_its_budget_in_any_window() {
    let mut s = settings(vec![class(1.0, 300.0)]);
    s.dispatchers = 2;
    let r = s.rules.clone();
    let cold = EngineEntry {
        started: Some(1000.0),
        ..entry("a")
    };
    let mut g = Gateway::new(s, vec![cold]);
    let mut work: Vec<(f64, f64)> = vec![];
    for id in 0..600 {
        g.now += 10.0;
        // No estimates and no answers: the class's usual work is aim / (1 + stretch).
        for _ in sends(&g.take(query(id, 0))) {
            work.push((g.now, 100.0));
        }
        let ids: Vec<u64> = (0..id).collect();
        for id in ids.iter().rev().take(3) {
            g.does(Event::ClientDisconnected(*id));
            g.end(*id, 0, Outcome::Cancelled);
        }
    }
    assert!(work.len() > 10, "it is used, {} sends", work.len());
    for (start, _) in &work {
        // It warms evenly: what it can do by its age when the window begins.
        let able = r.initial_warm_up_capacity
            + (1.0 - r.initial_warm_up_capacity) * ((start - 1000.0) / r.warm_up_period).min(1.0);
        let part = r.overload_multiple * able * 8.0 * r.overload_window / 2.0;
        let sum: f64 = work
            .iter()
            .filter(|(t, _)| t >= start && *t <= start + r.overload_window)
            .map(|(_, w)| w)
            .sum();
        assert!(sum <= part, "{sum} of {part} from {start}");
    }
}

#[test]
fn rule_5_queries_of_one_key_run_in_order_with_a_quiet_period() {
    let mut s = settings(vec![Class {
        in_order: true,
        ..class(1.0, 3000.0)
    }]);
    s.limits.cancel = false;
    let mut g = Gateway::new(s, vec![entry("a"), entry("b")]);
    let keyed = |id| Query {
        key: Some("k".into()),
        ..query(id, 0)
    };
    assert_eq!(sends(&g.take(keyed(1))).len(), 1);
    assert!(sends(&g.take(keyed(2))).is_empty());
    assert_eq!(
        sends(&g.take(Query {
            key: Some("other".into()),
            ..query(3, 0)
        }))
        .len(),
        1
    );
    assert!(
        sends(&g.does(Event::ClientDisconnected(1))).is_empty(),
        "its attempt is still out"
    );
    let out = g.does(Event::AttemptEnded(Ended {
        last: true,
        ..ended(1, 0, Outcome::TimedOut)
    }));
    assert!(sends(&out).is_empty(), "the key rests");
    assert!(sends(&g.pass(280.0)).is_empty());
    assert_eq!(sends(&g.pass(60.0)), [(2, sends_engine(&mut g))]);
}

fn sends_engine(g: &mut Gateway) -> String {
    // Where query 2 went shows in its own retry: the other engine is taken then.
    let again = sends(&g.end(2, 0, Outcome::Unreachable));
    if again[0].1 == "a" {
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
            entry("wrong-zone"),
            EngineEntry {
                zone: Some(1),
                kind: Some(1),
                ..entry("wrong-kind")
            },
            EngineEntry {
                zone: Some(1),
                ..entry("right")
            },
        ]
    };
    let mut g = Gateway::new(settings(vec![bound]), engines());
    for id in 0..10 {
        assert_eq!(sends(&g.take(query(id, 0)))[0].1, "right");
    }
    g.does(draining("right"));
    assert!(sends(&g.take(query(99, 0))).is_empty());
}

#[test]
fn rule_7_retries_stay_within_the_retry_budget() {
    let mut s = settings(vec![class(1.0, 3000.0)]);
    s.rules.retry_budget = Some(RetryBudget {
        min_retries: 2.0,
        retry_ratio: 0.1,
        window: 10000.0,
    });
    let mut g = Gateway::new(s, vec![entry("a"), entry("b"), entry("c")]);
    let (mut taken, mut further) = (0.0, 0.0);
    for id in 0..60 {
        g.now += 10.0;
        taken += 1.0;
        let mut n = sends(&g.take(query(id, 0))).len();
        let mut attempt = 0;
        while n > 0 {
            n = sends(&g.end(id, attempt, Outcome::Error)).len();
            attempt += 1;
            further += n as f64;
            assert!(further <= 2.0 + 0.1 * taken);
        }
    }
    assert!(further >= 6.0, "the ration is used, {further}");
}

/// A client that holds an engine's connection and asks nothing takes no thread there: transactions that idle would
/// keep everybody else off, 8 of them off 8 cores.
#[test]
fn idle_held_attempt_frees_its_threads() {
    let wide = Class {
        threads: 4.0,
        idempotency: Idempotency::NonIdempotent,
        ..class(1.0, 2000.0)
    };
    for idle in [false, true] {
        let mut g = Gateway::new(settings(vec![wide.clone()]), vec![entry("e")]);
        let mut held = 0;
        for id in 0..12 {
            held += sends(&g.take(query(id, 0))).len();
            g.does(Event::Streaming { id, attempt: 0 });
            let note = if idle {
                ProgressNote::Idle
            } else {
                ProgressNote::Active
            };
            g.does(Event::Progress {
                id,
                attempt: 0,
                note,
            });
        }
        assert_eq!(
            held == 12,
            idle,
            "{held} of 12 on an engine that bears 16 threads"
        );
        if idle {
            // Once they ask again, all of them count.
            (0..12).for_each(|id| {
                drop(g.does(Event::Progress {
                    id,
                    attempt: 0,
                    note: ProgressNote::Active,
                }))
            });
            assert_eq!(sends(&g.take(query(12, 0))), vec![]);
        }
    }
}
