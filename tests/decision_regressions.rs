//! Regression tests of the decision module: each reproduces a failure found under load with a few scripted
//! events.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;
use common::*;
use query_dispatcher::*;

fn two_classes() -> Vec<Class> {
    vec![
        class(1.0, 800.0),
        Class {
            threads: 3.0,
            ..class(4.0, 2000.0)
        },
    ]
}

/// Submits a query that is sent at once, and ends it after `ms` with the work and load that its engine
/// reports.
fn serve_query(controller: &mut TestController, id: QueryId, class: ClassId, ms: f64, work: f64) {
    let sent = sent_attempts(&controller.submit(query(id, class)));
    assert_eq!(sent.len(), 1, "query {id}");
    controller.now += ms;
    controller.handle(Event::AttemptEnded(Ended {
        work: Some(work),
        latency: ms,
        report: vec![1.0, 0.1],
        ..attempt_ended(id, 0, Outcome::Served)
    }));
}

/// Widens the congestion window: submits rounds of this many queries, all answered in time, until a whole
/// round is sent at once.
fn widen_window(controller: &mut TestController, round: u64) {
    for first in (1000..9000).step_by(round as usize) {
        let mut sent: Vec<_> = (first..first + round)
            .flat_map(|id| sent_attempts(&controller.submit(query(id, 0))))
            .collect();
        if sent.len() as u64 == round {
            return sent
                .into_iter()
                .for_each(|(id, _)| drop(controller.end_attempt(id, 0, Outcome::Served)));
        }
        controller.now += 10.0;
        while let Some((id, _)) = sent.pop() {
            sent.extend(sent_attempts(&controller.end_attempt(
                id,
                0,
                Outcome::Served,
            )));
        }
    }
    panic!("the congestion window does not grow to {round} queries");
}

/// A window that had grown while one query at a time was sent let a five-fold burst fill every engine
/// before the first answer could report the overload.
#[test]
fn congestion_window_grows_only_with_use() {
    let mut settings = test_settings(vec![class(1.0, 800.0)]);
    settings.dispatchers = 50;
    let mut controller = TestController::new(settings, fleet(50)); // this dispatcher's budget: 16 threads
    for id in 0..200 {
        serve_query(&mut controller, id, 0, 10.0, 10.0);
    }
    let sent = |controller: &mut TestController, ids: std::ops::Range<u64>| -> usize {
        ids.map(|id| sent_attempts(&controller.submit(query(id, 0))).len())
            .sum()
    };
    assert_eq!(
        sent(&mut controller, 1000..1100),
        16,
        "one query at a time does not widen the window"
    );
    let more: usize = (1000..1016)
        .map(|id| sent_attempts(&controller.end_attempt(id, 0, Outcome::Served)).len())
        .sum();
    assert!(
        more > 16,
        "a fully used window grows, {more} queued queries were sent"
    );
}

#[test]
fn fast_failing_engine_is_ejected_and_restored_after_recovery() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 800.0)]), fleet(4));
    let mut late_sends_to_failing = 0;
    for id in 0..200 {
        controller.now += 5.0;
        let mut sent = sent_attempts(&controller.submit(query(id, 0)));
        let mut attempt = 0;
        while let Some((_, engine)) = sent.pop() {
            let failing = engine == "e0";
            late_sends_to_failing += u32::from(failing && id > 100);
            sent = sent_attempts(&controller.end_attempt(
                id,
                attempt,
                if failing {
                    Outcome::Error
                } else {
                    Outcome::Served
                },
            ));
            attempt += 1;
        }
    }
    assert!(
        late_sends_to_failing <= 1,
        "{late_sends_to_failing} sends to the failing engine after its ejection"
    );
    controller.advance(9000.0);
    let mut restored_sends = 0;
    for id in 200..260 {
        controller.now += 5.0;
        restored_sends += u32::from(sent_attempts(&controller.submit(query(id, 0)))[0].1 == "e0");
        controller.end_attempt(id, 0, Outcome::Served);
    }
    assert!(
        restored_sends >= 3,
        "a recovered engine is used again, {restored_sends} sends"
    );
}

#[test]
fn no_engine_is_ejected_when_all_fail_alike() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 800.0)]), fleet(4));
    for id in 0..100 {
        controller.now += 5.0;
        assert_eq!(
            sent_attempts(&controller.submit(query(id, 0))).len(),
            1,
            "some engine still gets the query"
        );
        controller.handle(Event::AttemptEnded(Ended {
            last: true,
            ..attempt_ended(id, 0, Outcome::Error)
        }));
    }
}

#[test]
fn queries_of_a_silent_engine_are_migrated_but_not_those_of_a_slow_fleet() {
    for hangs in [true, false] {
        let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(3));
        for id in 0..30 {
            serve_query(&mut controller, id, 0, 20.0, 20.0);
        }
        let (mut all, mut running) = (vec![], std::collections::VecDeque::new());
        for id in 30..500 {
            controller.now += 10.0;
            let out = controller.submit(query(id, 0));
            running.extend(
                sent_attempts(&out)
                    .into_iter()
                    .filter(|(_, e)| e != "e0" && hangs),
            );
            while running.len() > 20 {
                let (id, _) = running.pop_front().unwrap();
                controller.end_attempt(id, 0, Outcome::Served);
            }
            all.extend(out);
            all.extend(controller.advance(1.0));
        }
        let cancels = all
            .iter()
            .filter(|a| matches!(a, Action::Cancel { .. }))
            .count();
        assert_eq!(cancels > 0, hangs, "{cancels} cancelled attempts");
    }
}

/// The engine answers other queries, so it is not silent: only an attempt whose progress notes cease is
/// retried.
#[test]
fn attempt_without_progress_reports_is_retried_while_its_engine_responds() {
    for notes_cease in [true, false] {
        let mut settings = test_settings(vec![class(1.0, 8000.0)]);
        settings.engines.progress_interval = 100.0;
        let mut controller = TestController::new(settings, fleet(1));
        let long_query = Query {
            time_left: 8000.0,
            ..query(1, 0)
        };
        assert_eq!(sent_attempts(&controller.submit(long_query)).len(), 1);
        let mut all = vec![];
        for id in 2..20 {
            controller.submit(query(id, 0));
            all.extend(controller.advance(100.0));
            if !notes_cease {
                controller.handle(Event::Progress {
                    id: 1,
                    attempt: 0,
                    note: ProgressNote::Completed(0.1),
                });
            }
            controller.end_attempt(id, 0, Outcome::Served);
        }
        assert_eq!(
            all.contains(&Action::Cancel { id: 1, attempt: 0 }),
            notes_cease
        );
    }
}

#[test]
fn thread_budget_applies_only_to_a_saturated_engine() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(1));
    let sent = (0..16)
        .filter(|&id| !sent_attempts(&controller.submit(query(id, 0))).is_empty())
        .count();
    assert_eq!(sent, 16);
    // The engine holds 40 queries, most of them from others: this dispatcher's 15 and one more use up its
    // budget of 16 threads.
    controller.handle(Event::AttemptEnded(Ended {
        report: vec![40.0, 0.5],
        ..attempt_ended(0, 0, Outcome::Served)
    }));
    assert_eq!(sent_attempts(&controller.submit(query(100, 0))).len(), 1);
    assert!(
        sent_attempts(&controller.submit(query(101, 0))).is_empty(),
        "beyond the budget of a saturated engine"
    );
}

#[test]
fn overload_of_all_engines_shrinks_the_window_and_good_answers_grow_it() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 500.0)]), fleet(2));
    for id in 0..20 {
        assert_eq!(
            sent_attempts(&controller.submit(query(id, 0))).len(),
            1,
            "nothing is queued before a report of overload"
        );
    }
    controller.now += 100.0;
    for id in 0..20 {
        let inflight = if id < 6 { 60.0 } else { 1.0 };
        controller.handle(Event::AttemptEnded(Ended {
            report: vec![inflight, 0.1],
            ..attempt_ended(id, 0, Outcome::Served)
        }));
    }
    let mut id = 1000;
    let mut fill_window = |controller: &mut TestController| {
        let first = id;
        while !sent_attempts(&controller.submit(query(id, 0))).is_empty() {
            id += 1;
            assert!(id < first + 200, "the window has no limit");
        }
        let sent = id - first;
        for served in first..=id {
            controller.end_attempt(served, 0, Outcome::Served); // the last was queued until the others ended
        }
        id += 1;
        controller.advance(2000.0);
        sent
    };
    let reduced_window = fill_window(&mut controller);
    assert!(
        (16..24).contains(&reduced_window),
        "reduced, but not below half the budgets: {reduced_window}"
    );
    assert!(
        fill_window(&mut controller) > reduced_window,
        "answers in time widen the window"
    );
}

#[test]
fn attempt_with_a_bad_plan_is_retried() {
    let mut controller = TestController::new(test_settings(two_classes()), fleet(2));
    for id in 0..5 {
        let query = Query {
            work: Some(3000.0),
            time_left: 25000.0,
            ..query(id, 1)
        };
        assert_eq!(sent_attempts(&controller.submit(query)).len(), 1);
    }
    controller.now += 500.0;
    for id in 0..4 {
        let out = controller.handle(Event::Progress {
            id,
            attempt: 0,
            note: ProgressNote::Completed(0.5),
        });
        assert!(
            !out.iter().any(|a| matches!(a, Action::Cancel { .. })),
            "an attempt with the usual progress continues"
        );
    }
    let out = controller.handle(Event::Progress {
        id: 4,
        attempt: 0,
        note: ProgressNote::Completed(0.03),
    });
    assert!(out.contains(&Action::Cancel { id: 4, attempt: 0 }));
    assert_eq!(
        sent_attempts(&controller.end_attempt(4, 0, Outcome::Cancelled)).len(),
        1
    );
}

#[test]
fn readers_avoid_local_loads_and_migrate_from_foreign_ones() {
    let reader = Class {
        waits_for_loads: true,
        ..class(1.0, 3000.0)
    };
    let load = Class {
        holds_tables: true,
        idempotency: Idempotency::NonIdempotent,
        ..class(7.0, 4000.0)
    };
    let mut controller = TestController::new(test_settings(vec![reader, load]), fleet(2));
    let loading_engine = sent_attempts(&controller.submit(Query {
        tables: Some(1),
        ..query(0, 1)
    }))[0]
        .1
        .clone();
    for id in 1..8 {
        let sent = sent_attempts(&controller.submit(Query {
            tables: Some(1),
            ..query(id, 0)
        }));
        assert_ne!(
            sent[0].1, loading_engine,
            "the engine runs a load of this dispatcher"
        );
    }
    // A progress note reveals a load of another dispatcher.
    let waiting_engine = sent_attempts(&controller.submit(Query {
        tables: Some(2),
        ..query(20, 0)
    }))[0]
        .1
        .clone();
    let out = controller.handle(Event::Progress {
        id: 20,
        attempt: 0,
        note: ProgressNote::WaitsForLoad,
    });
    assert!(out.contains(&Action::Cancel { id: 20, attempt: 0 }));
    assert_ne!(
        sent_attempts(&controller.end_attempt(20, 0, Outcome::Cancelled))[0].1,
        waiting_engine
    );
}

#[test]
fn requests_over_a_tenant_quota_are_not_queued() {
    let mut settings = test_settings(vec![class(1.0, 3000.0)]);
    settings.tenants = vec![Tenant { quota_per_s: 5.0 }];
    let mut controller = TestController::new(settings, vec![]);
    let refused: Vec<u64> = (0..20)
        .flat_map(|id| {
            final_answers(&controller.submit(Query {
                tenant: Some(0),
                ..query(id, 0)
            }))
        })
        .collect();
    assert_eq!(
        refused,
        (10..20).collect::<Vec<u64>>(),
        "two seconds of the quota may be queued"
    );
}

#[test]
fn priorities_are_equal_when_memory_overcommits() {
    let ranks = |overcommits_memory| {
        let mut settings = test_settings(two_classes());
        settings.engines.overcommits_memory = overcommits_memory;
        let mut controller = TestController::new(settings, fleet(2));
        let mut all = controller.submit(query(0, 0));
        all.extend(controller.submit(query(1, 1)));
        all.iter()
            .filter_map(|a| match a {
                Action::Terms { priority, .. } => Some(*priority),
                _ => None,
            })
            .collect::<Vec<u8>>()
    };
    assert_eq!(ranks(true), [1, 1]);
    assert_eq!(ranks(false), [3, 1]);
}

#[test]
fn memory_grants_correct_estimates_biased_by_class() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(1));
    let estimated = |id| Query {
        memory_mb: Some(100.0),
        ..query(id, 0)
    };
    let first = granted_memory(&controller.submit(estimated(0))).unwrap();
    assert!(
        (110.0..130.0).contains(&first),
        "a margin over the estimate: {first}"
    );
    for id in 0..10 {
        controller.handle(Event::AttemptEnded(Ended {
            memory_mb: Some(300.0),
            ..attempt_ended(id, 0, Outcome::Served)
        }));
        controller.submit(estimated(id + 1));
    }
    let out = controller.submit(estimated(50));
    let learned = granted_memory(&out).unwrap();
    assert!(
        (310.0..375.0).contains(&learned),
        "queries of the class need three times their estimates: {learned}"
    );
}

#[test]
fn noisy_memory_estimates_regress_to_the_mean() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(1));
    let (mut spills, mut granted_mb, mut needed_mb) = (0, 0.0, 0.0);
    for id in 0..400u64 {
        // The need is 1/2, 1 or 2 times the usual and the error of the estimate 1/4, 1 or 4, in every
        // combination: a fixed margin would be too small a third of the time and grant far more than is
        // needed otherwise.
        let (need, error) = (
            100.0 * 2f64.powi((id % 3) as i32 - 1),
            4f64.powi((id / 3 % 3) as i32 - 1),
        );
        let out = controller.submit(Query {
            memory_mb: Some(need * error),
            ..query(id, 0)
        });
        let memory_mb = granted_memory(&out).unwrap();
        if id >= 200 {
            spills += u32::from(memory_mb < need);
            (granted_mb, needed_mb) = (granted_mb + memory_mb, needed_mb + need);
        }
        controller.handle(Event::AttemptEnded(Ended {
            memory_mb: Some(need),
            ..attempt_ended(id, 0, Outcome::Served)
        }));
    }
    assert!(spills <= 50, "{spills} of 200 queries spilled");
    assert!(
        granted_mb < 1.5 * needed_mb,
        "{granted_mb} MB granted, {needed_mb} MB needed"
    );
}

#[test]
fn spilling_query_is_retried_once_with_the_missing_memory() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(3));
    let first = granted_memory(&controller.submit(Query {
        memory_mb: Some(100.0),
        ..query(1, 0)
    }))
    .unwrap();
    controller.now += 5.0;
    let out = controller.handle(Event::Progress {
        id: 1,
        attempt: 0,
        note: ProgressNote::SpilledMemory(200.0),
    });
    assert!(out.contains(&Action::Cancel { id: 1, attempt: 0 }));
    let out = controller.end_attempt(1, 0, Outcome::Cancelled);
    assert_eq!(sent_attempts(&out).len(), 1);
    assert_eq!(
        granted_memory(&out),
        Some(first + 200.0),
        "the first grant and the memory that was missing"
    );
    let out = controller.handle(Event::Progress {
        id: 1,
        attempt: 1,
        note: ProgressNote::SpilledMemory(50.0),
    });
    assert!(
        !out.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "no engine has the memory: the attempt continues"
    );
    controller.submit(Query {
        memory_mb: Some(100.0),
        ..query(2, 0)
    });
    let out = controller.handle(Event::Progress {
        id: 2,
        attempt: 0,
        note: ProgressNote::SpilledMemory(5.0),
    });
    assert!(
        !out.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "too little memory is missing for a retry"
    );
}

#[test]
fn attempt_that_cannot_meet_its_deadline_is_abandoned_and_a_non_idempotent_one_fails() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        let mut controller = TestController::new(
            test_settings(vec![Class {
                idempotency,
                ..class(1.0, 900.0)
            }]),
            fleet(2),
        );
        let heavy = |id| Query {
            work: Some(9000.0),
            ..query(id, 0)
        };
        controller.handle(Event::Query(heavy(1)));
        controller.now += 1000.0;
        let out = controller.handle(Event::Progress {
            id: 1,
            attempt: 0,
            note: ProgressNote::Completed(0.3),
        });
        assert_eq!(
            final_answers(&out),
            [0; 0],
            "2.3 s of work left, 3 s of time"
        );
        let out = controller.handle(Event::Progress {
            id: 1,
            attempt: 0,
            note: ProgressNote::Completed(0.05),
        });
        assert!(
            out.contains(&Action::Cancel { id: 1, attempt: 0 }),
            "19 s of work left, 3 s of time"
        );
        let refused = out.contains(&Action::Refuse {
            id: 1,
            retry_after: Some(500.0),
        });
        assert_eq!(
            refused,
            idempotency == Idempotency::Idempotent,
            "only an idempotent query is refused for a retry, its attempt may still run: {out:?}"
        );
        assert_eq!(final_answers(&out), [1]);
    }
}

/// Most traffic arrives at the dispatchers of one zone, whose engines are too few for it.
#[test]
fn overloaded_zone_spills_to_another_zone() {
    let mut settings = test_settings(two_classes());
    (
        settings.dispatchers,
        settings.zone,
        settings.cross_zone_cost,
    ) = (100, Some(0), 0.04);
    let engines = (0..8)
        .map(|i| EngineEntry {
            zone: Some(i / 4),
            ..engine_entry(&format!("e{i}"))
        })
        .collect();
    let mut controller = TestController::new(settings, engines);
    widen_window(&mut controller, 40);
    let outcome = Outcome::Served;
    for i in [4, 5, 6, 7, 0, 1, 2, 0, 1, 2, 0, 1, 2] {
        let (engine, inflight) = (format!("e{i}"), if i < 4 { 40.0 } else { 2.0 });
        controller.handle(Event::EngineReport {
            engine,
            outcome,
            report: vec![inflight, 0.1],
        });
    }
    let sent: Vec<_> = (0..20)
        .flat_map(|id| sent_attempts(&controller.submit(query(id, id as usize % 2))))
        .collect();
    assert_eq!(
        sent.len(),
        20,
        "nothing is queued while the other zone has capacity"
    );
    let to_other_zone = sent.iter().filter(|(_, e)| e.as_str() >= "e4").count();
    assert!(
        to_other_zone >= 12,
        "{to_other_zone} of 20 to the four idle engines, the rest to the one without reports"
    );
}

#[test]
fn overload_sheds_the_costliest_requests_of_a_class_only() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(2));
    let query_with_work = |id, work| Query {
        work: Some(work),
        time_left: 9000.0,
        ..query(id, 0)
    };
    for id in 0..10 {
        controller.submit(query_with_work(id, 100.0));
        controller.handle(Event::AttemptEnded(Ended {
            work: Some(100.0),
            ..attempt_ended(id, 0, Outcome::Served)
        }));
    }
    assert_eq!(
        sent_attempts(&controller.submit(query_with_work(20, 1000.0))).len(),
        1,
        "without overload no query is too costly"
    );
    for k in 0..20 {
        let (engine, outcome) = (format!("e{}", k % 2), Outcome::Served);
        controller.handle(Event::EngineReport {
            engine,
            outcome,
            report: vec![22.0, 0.1],
        });
    }
    assert_eq!(
        sent_attempts(&controller.submit(query_with_work(21, 100.0))).len(),
        1,
        "a query of the usual work is sent"
    );
    let out = controller.submit(query_with_work(22, 1000.0));
    assert_eq!(
        final_answers(&out),
        [22],
        "a query of ten times the usual work is refused"
    );
    assert!(
        out.contains(&Action::Refuse {
            id: 22,
            retry_after: Some(500.0)
        }),
        "the refusal suggests a delay"
    );
}

#[test]
fn invalid_settings_name_their_field() {
    let rejected_field = |change: fn(&mut Settings)| {
        let mut settings = test_settings(vec![class(1.0, 800.0)]);
        change(&mut settings);
        Controller::new(settings, 1).err().map(|e| e.field)
    };
    assert_eq!(rejected_field(|_| {}), None);
    assert_eq!(
        rejected_field(|settings| settings.classes.clear()),
        Some("classes".into())
    );
    assert_eq!(
        rejected_field(|settings| settings.dispatchers = 0),
        Some("gateways".into())
    );
    assert_eq!(
        rejected_field(|settings| settings.classes[0].latency_objective = f64::NAN),
        Some("classes[0].aim".into())
    );
    assert_eq!(
        rejected_field(|settings| settings.rules.overload_window = -1.0),
        Some("rules.fall_window".into())
    );
    assert_eq!(
        rejected_field(|settings| settings.classes[0].allowed_kinds = Some(vec![9])),
        Some("classes[0].only_kinds".into())
    );
}

#[test]
fn subscription_is_requested_and_renewed_after_a_break() {
    let mut settings = test_settings(vec![class(1.0, 800.0)]);
    settings.must_subscribe = true;
    let mut controller = TestController {
        inner: Controller::new(settings, 1).unwrap(),
        now: 0.0,
    };
    let subscriptions = |out: &[Action]| out.iter().filter(|a| **a == Action::Subscribe).count();
    let out = controller.handle(Event::EngineList {
        update: ListUpdate::Stale,
        entries: fleet(1),
    });
    assert_eq!(subscriptions(&out), 1);
    assert_eq!(subscriptions(&controller.advance(5000.0)), 0);
    controller.handle(Event::DiscoveryFailed);
    assert_eq!(
        subscriptions(&controller.advance(100.0)),
        0,
        "not renewed at once"
    );
    assert_eq!(subscriptions(&controller.advance(2000.0)), 1);
}

#[test]
fn idle_dispatcher_sets_one_timer_a_period_and_wakes_at_once_when_busy() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 800.0)]), fleet(1));
    let timers = |out: &[Action]| {
        out.iter()
            .filter(|a| matches!(a, Action::Timer { .. }))
            .count()
    };
    assert!(
        timers(&controller.advance(10_000.0)) <= 6,
        "timers of an idle dispatcher in 10 s"
    );
    let out = controller.submit(query(1, 0));
    let wakes_soon = out
        .iter()
        .any(|a| matches!(a, Action::Timer { at, .. } if *at <= controller.now + 20.0));
    assert!(wakes_soon, "a query sets a timer on arrival");
}

/// Without estimates, report queries that spilled at their start had completed 2% after 2 s.
#[test]
fn spilling_query_without_an_estimate_is_retried_once_with_the_missing_memory() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(2));
    let out = controller.submit(query(1, 0));
    assert_eq!(
        granted_memory(&out),
        Some(0.0),
        "the engine chooses the grant"
    );
    let out = controller.handle(Event::Progress {
        id: 1,
        attempt: 0,
        note: ProgressNote::SpilledMemory(700.0),
    });
    assert!(out.contains(&Action::Cancel { id: 1, attempt: 0 }));
    let out = controller.end_attempt(1, 0, Outcome::Cancelled);
    assert_eq!(
        granted_memory(&out),
        Some(1724.0),
        "one thread's share of the memory and the memory that was missing"
    );
    let out = controller.handle(Event::Progress {
        id: 1,
        attempt: 1,
        note: ProgressNote::SpilledMemory(700.0),
    });
    assert!(
        !out.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "a second spill is not retried"
    );
}

/// Some engines report only `util`, and congestion at the disks leaves their cores idle.
#[test]
fn overload_is_detected_from_cpu_reports_alone() {
    let sent_after = |busy: f64, ms: f64| {
        let mut settings = test_settings(vec![class(1.0, 800.0)]);
        (settings.dispatchers, settings.report_fields) = (4, vec![ReportField::CpuBusy]);
        let mut controller = TestController::new(settings, fleet(4));
        for id in 0..40 {
            let (now, sent) = (
                controller.now,
                sent_attempts(&controller.submit(query(id, 0))),
            );
            controller.now = now + if id < 20 { 200.0 } else { ms };
            let report = vec![if id < 20 { 0.3 } else { busy }];
            if sent.len() == 1 {
                controller.handle(Event::AttemptEnded(Ended {
                    report,
                    ..attempt_ended(id, 0, Outcome::Served)
                }));
            }
        }
        (100..200)
            .map(|id| sent_attempts(&controller.submit(query(id, 0))).len())
            .sum::<usize>()
    };
    let baseline = sent_after(0.3, 200.0);
    assert!(sent_after(1.0, 200.0) < baseline, "busy cores");
    assert!(
        sent_after(0.3, 1500.0) < baseline,
        "idle cores, slow answers"
    );
}

/// When most attempts end without an answer, no report shows the overload.
#[test]
fn long_unanswered_attempts_signal_overload_unless_the_engine_responded_since() {
    let sent_after = |engines_responded: bool| {
        let mut settings = test_settings(vec![class(1.0, 800.0)]);
        settings.dispatchers = 4;
        let mut controller = TestController::new(settings, fleet(4));
        let sent: Vec<_> = (0..16)
            .flat_map(|id| sent_attempts(&controller.submit(query(id, 0))))
            .collect();
        controller.now += 3000.0;
        for (id, engine) in sent {
            if engines_responded {
                let outcome = Outcome::Served;
                controller.handle(Event::EngineReport {
                    engine,
                    outcome,
                    report: vec![1.0, 0.1],
                });
            }
            controller.handle(Event::AttemptEnded(Ended {
                last: true,
                ..attempt_ended(id, 0, Outcome::TimedOut)
            }));
        }
        (100..200)
            .map(|id| sent_attempts(&controller.submit(query(id, 0))).len())
            .sum::<usize>()
    };
    assert!(
        sent_after(false) < sent_after(true),
        "{} sends without responses, {} with them",
        sent_after(false),
        sent_after(true)
    );
}

/// Half of the look-ups that waited in an engine's memory queue were answered late.
#[test]
fn query_waiting_for_memory_migrates_to_an_engine_with_capacity() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(2));
    let first = sent_attempts(&controller.submit(query(1, 0)))[0].1.clone();
    let out = controller.handle(Event::Progress {
        id: 1,
        attempt: 0,
        note: ProgressNote::WaitsForMemory,
    });
    assert!(out.contains(&Action::Cancel { id: 1, attempt: 0 }));
    assert_ne!(
        sent_attempts(&controller.end_attempt(1, 0, Outcome::Cancelled))[0].1,
        first
    );
    // The other engine rejects the attempt: a migration would lose the place in the queue for nothing.
    assert_eq!(sent_attempts(&controller.submit(query(2, 0)))[0].1, first);
    controller.end_attempt(1, 1, Outcome::Rejected);
    let out = controller.handle(Event::Progress {
        id: 2,
        attempt: 0,
        note: ProgressNote::WaitsForMemory,
    });
    assert!(!out.contains(&Action::Cancel { id: 2, attempt: 0 }));
}

/// An engine that had been skipped for a second as full then got all queued queries at once, and rejected
/// them again.
#[test]
fn full_engine_is_refilled_at_its_service_rate() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(1));
    (0..5).for_each(|id| assert_eq!(sent_attempts(&controller.submit(query(id, 0))).len(), 1));
    controller.submit(query(5, 0));
    controller.end_attempt(5, 0, Outcome::Rejected);
    (6..16).for_each(|id| assert_eq!(sent_attempts(&controller.submit(query(id, 0))).len(), 0));
    assert_eq!(
        sent_attempts(&controller.advance(1100.0)).len(),
        0,
        "it has as many attempts in flight as when it was full"
    );
    controller.end_attempt(0, 0, Outcome::Served);
    assert!(
        (1..=2).contains(&sent_attempts(&controller.end_attempt(1, 0, Outcome::Served)).len()),
        "refilled at the rate at which it serves"
    );
}

/// A fast-failing engine was the only one with capacity, and used up the attempts of all queries.
#[test]
fn fast_failing_engine_is_skipped_while_a_healthy_one_is_full() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(2));
    for id in 0..40 {
        controller.now += 5.0;
        let mut sent = sent_attempts(&controller.submit(query(id, 0)));
        let mut attempt = 0;
        while let Some((id, engine)) = sent.pop() {
            let outcome = if engine == "e0" {
                Outcome::Error
            } else {
                Outcome::Served
            };
            sent = sent_attempts(&controller.end_attempt(id, attempt, outcome));
            attempt += 1;
        }
    }
    assert_eq!(sent_attempts(&controller.submit(query(50, 0)))[0].1, "e1");
    assert_eq!(
        sent_attempts(&controller.end_attempt(50, 0, Outcome::Rejected)).len(),
        0,
        "the query waits for the healthy engine"
    );
}

/// One report query that was as wide as the window blocked look-ups for a second.
#[test]
fn wide_query_does_not_block_a_higher_class() {
    let mut settings = test_settings(two_classes());
    settings.dispatchers = 100;
    let mut controller = TestController::new(settings, fleet(20)); // this dispatcher's budgets: 3.2 threads
    assert_eq!(
        sent_attempts(&controller.submit(query(1, 1))).len(),
        1,
        "a query of three threads"
    );
    assert_eq!(
        sent_attempts(&controller.submit(query(2, 0))).len(),
        1,
        "a look-up runs beside it"
    );
    assert_eq!(
        sent_attempts(&controller.submit(query(3, 1))).len(),
        0,
        "a second wide query is queued"
    );
}

/// Queries whose probe answers were late were dropped although every engine had capacity.
#[test]
fn requests_with_capacity_are_sent_before_the_timer_sheds_load() {
    let mut settings = test_settings(vec![class(1.0, 800.0)]);
    (settings.dispatchers, settings.limits.probes) = (100, true);
    settings.tenants = vec![Tenant { quota_per_s: 0.0 }];
    let mut controller = TestController::new(settings, fleet(4));
    for id in 0..2 {
        let mut out = controller.submit(Query {
            tenant: Some(0),
            ..query(id, 0)
        });
        assert_eq!(sent_attempts(&out).len(), 0, "two engines are probed first");
        out.extend(controller.advance(60.0));
        assert_eq!(
            (sent_attempts(&out).len(), final_answers(&out).len()),
            (1, 0),
            "over the tenant quota, but no other query waits"
        );
        controller.end_attempt(id, 0, Outcome::Served);
    }
}

/// Among many dispatchers, each receives recent reports of only a few engines.
#[test]
fn overload_of_most_zones_shrinks_the_window_and_unknown_engines_use_their_zone() {
    let sent = |overloaded_zones: usize| {
        let mut settings = test_settings(vec![class(1.0, 800.0)]);
        settings.dispatchers = 10;
        let engines = (0..12)
            .map(|i| EngineEntry {
                zone: Some(i / 4),
                ..engine_entry(&format!("e{i}"))
            })
            .collect();
        let mut controller = TestController::new(settings, engines);
        widen_window(&mut controller, 40);
        controller.now += 1000.0;
        for i in (0..12 * 3).filter(|i| i % 12 / 4 < overloaded_zones) {
            let (engine, outcome) = (format!("e{}", i % 12), Outcome::Served);
            controller.handle(Event::EngineReport {
                engine,
                outcome,
                report: vec![40.0, 0.1],
            });
        }
        controller.now += 600.0; // no report is fresh any more
        (0..40)
            .map(|id| sent_attempts(&controller.submit(query(id, 0))).len())
            .sum::<usize>()
    };
    let (one, two) = (sent(1), sent(2));
    assert!(
        one >= 20,
        "two of three zones are not overloaded, {one} sends"
    );
    assert!(
        two < one,
        "most zones are overloaded, {two} sends beside {one}"
    );
}

/// Loads waited behind loads of other dispatchers for their whole latency objective.
#[test]
fn keyed_load_behind_another_migrates_within_its_deduplication_window() {
    let idempotency = Idempotency::Keyed {
        group: DeduplicationScope::All,
        window: 4000.0,
    };
    let load = Class {
        idempotency,
        holds_tables: true,
        ..class(10.0, 3000.0)
    };
    let mut controller = TestController::new(test_settings(vec![load]), fleet(4));
    let query = |id| Query {
        tables: Some(7),
        time_left: 20000.0,
        ..query(id, 0)
    };
    for (id, wait, migrates) in [(1, 500.0, true), (2, 2500.0, false)] {
        assert_eq!(sent_attempts(&controller.submit(query(id))).len(), 1);
        controller.now += wait;
        let out = controller.handle(Event::Progress {
            id,
            attempt: 0,
            note: ProgressNote::WaitsForLoad,
        });
        assert_eq!(
            out.contains(&Action::Cancel { id, attempt: 0 }),
            migrates,
            "after {wait} ms of the window of 4000 ms"
        );
        if migrates {
            assert_eq!(
                sent_attempts(&controller.end_attempt(id, 0, Outcome::Cancelled)).len(),
                1,
                "sent again within the deduplication window"
            );
        }
    }
}

/// Loads of a table group share one half of the engines and its readers the other, at every dispatcher alike.
#[test]
fn loads_and_readers_of_a_table_group_use_different_engines() {
    let load = Class {
        holds_tables: true,
        idempotency: Idempotency::NonIdempotent,
        ..class(7.0, 4000.0)
    };
    let reader = Class {
        waits_for_loads: true,
        ..class(1.0, 1000.0)
    };
    let mut engines_by_class = [
        std::collections::BTreeSet::new(),
        std::collections::BTreeSet::new(),
    ];
    for dispatcher in 0..10 {
        let mut controller =
            TestController::new(test_settings(vec![load.clone(), reader.clone()]), fleet(12));
        for id in 0..20 {
            let class = (id + dispatcher) % 2;
            let out = controller.submit(Query {
                tables: Some(7),
                ..query(id as u64, class)
            });
            engines_by_class[class].extend(sent_attempts(&out).into_iter().map(|(_, e)| e));
            controller.end_attempt(id as u64, 0, Outcome::Served); // during a load others may leave their half
        }
    }
    assert!(
        engines_by_class.iter().all(|engines| engines.len() >= 3),
        "{engines_by_class:?}"
    );
    assert!(
        engines_by_class[0].is_disjoint(&engines_by_class[1]),
        "{engines_by_class:?}"
    );
}

/// If answers report no cost, overload inflated the measured work and with it the latency objectives.
#[test]
fn overload_does_not_inflate_the_work_behind_latency_objectives() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 800.0)]), fleet(1));
    let mut answer = |id, ms: f64, inflight: f64| {
        assert_eq!(sent_attempts(&controller.submit(query(id, 0))).len(), 1);
        controller.now += ms;
        controller.handle(Event::AttemptEnded(Ended {
            report: vec![inflight, 0.1],
            ..attempt_ended(id, 0, Outcome::Served)
        }));
    };
    (0..20).for_each(|id| answer(id, 100.0, 1.0));
    (20..80).for_each(|id| answer(id, 2000.0, 40.0));
    let out: Vec<_> = (100..130)
        .flat_map(|id| controller.submit(query(id, 0)))
        .collect();
    assert!(
        !final_answers(&out).is_empty(),
        "work of 100 ms is due in 1 s, and answers take 2 s"
    );
}

/// While the reachable engines were saturated, a third of all attempts went to unreachable ones.
#[test]
fn unreachable_engine_is_not_retried_even_when_others_are_full() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(2));
    let (_, unreachable) = sent_attempts(&controller.submit(query(1, 0))).remove(0);
    let (_, other) = sent_attempts(&controller.end_attempt(1, 0, Outcome::Unreachable)).remove(0);
    assert_ne!(unreachable, other);
    assert!(
        sent_attempts(&controller.end_attempt(1, 1, Outcome::Rejected)).is_empty(),
        "the full engine and the unreachable one are both skipped"
    );
    assert_eq!(
        sent_attempts(&controller.advance(1100.0)).len(),
        1,
        "both may be used again"
    );
}

/// Each engine drew its half independently, so the loads of a busy table group had one engine of six.
#[test]
fn loads_of_a_table_group_get_half_of_the_engines_and_readers_the_other_half() {
    let load = Class {
        idempotency: Idempotency::NonIdempotent,
        holds_tables: true,
        threads: 2.0,
        ..class(4.0, 4000.0)
    };
    let reader = Class {
        waits_for_loads: true,
        ..class(1.0, 2000.0)
    };
    for group in 0..12u64 {
        let mut controller =
            TestController::new(test_settings(vec![load.clone(), reader.clone()]), fleet(6));
        let mut engines_by_class = [
            std::collections::BTreeSet::new(),
            std::collections::BTreeSet::new(),
        ];
        for id in 0..200 {
            let class = id as usize % 2;
            let sent = sent_attempts(&controller.submit(Query {
                tables: Some(group),
                ..query(id, class)
            }));
            engines_by_class[class].extend(sent.into_iter().map(|(_, engine)| engine));
            controller.end_attempt(id, 0, Outcome::Served);
        }
        assert_eq!(
            (engines_by_class[0].len(), engines_by_class[1].len()),
            (3, 3),
            "group {group}"
        );
        assert!(
            engines_by_class[0].is_disjoint(&engines_by_class[1]),
            "group {group}"
        );
    }
}

/// While a load of another dispatcher held a table group, one reader after another was sent to wait behind
/// it, though the first reader's progress note had reported the load.
#[test]
fn readers_avoid_an_engine_after_a_reported_load_on_their_table_group() {
    let load = Class {
        idempotency: Idempotency::NonIdempotent,
        holds_tables: true,
        threads: 2.0,
        ..class(4.0, 4000.0)
    };
    let reader = Class {
        waits_for_loads: true,
        ..class(1.0, 2000.0)
    };
    let mut controller = TestController::new(test_settings(vec![load, reader]), fleet(6));
    let read = |controller: &mut TestController, id| {
        let sent = sent_attempts(&controller.submit(Query {
            tables: Some(5),
            ..query(id, 1)
        }));
        sent[0].1.clone()
    };
    let loading_engine = read(&mut controller, 1);
    controller.handle(Event::Progress {
        id: 1,
        attempt: 0,
        note: ProgressNote::WaitsForLoad,
    });
    controller.end_attempt(1, 0, Outcome::Cancelled);
    controller.end_attempt(1, 1, Outcome::Served);
    let sends_to_loading_engine = |controller: &mut TestController, ids: std::ops::Range<u64>| {
        ids.filter(|&id| {
            let engine = read(controller, id);
            controller.end_attempt(id, 0, Outcome::Served);
            engine == loading_engine
        })
        .count()
    };
    assert_eq!(
        sends_to_loading_engine(&mut controller, 10..50),
        0,
        "the note is still in effect"
    );
    controller.advance(1100.0);
    assert!(
        sends_to_loading_engine(&mut controller, 50..90) > 0,
        "the note has expired: the engine is used again"
    );
}

/// With few engines, the loads of a busy table group waited behind each other in their half of the engines
/// until their deadline.
#[test]
fn load_may_use_the_other_half_when_its_own_is_locked() {
    let load = Class {
        idempotency: Idempotency::NonIdempotent,
        holds_tables: true,
        threads: 2.0,
        ..class(4.0, 4000.0)
    };
    let reader = Class {
        waits_for_loads: true,
        ..class(1.0, 2000.0)
    };
    let mut controller = TestController::new(test_settings(vec![load, reader]), fleet(6));
    let load = |id| Query {
        tables: Some(5),
        ..query(id, 0)
    };
    let mut sent: Vec<_> = (1..7)
        .flat_map(|id| sent_attempts(&controller.submit(load(id))))
        .collect();
    sent.extend(sent_attempts(&controller.advance(3500.0)));
    assert_eq!(
        sent.iter()
            .map(|(_, engine)| engine)
            .collect::<std::collections::BTreeSet<_>>()
            .len(),
        6,
        "one load on each engine"
    );
}

/// While some engines were administratively drained, most late look-ups waited behind a load on their half
/// of the engines, though the loads had seconds left.
#[test]
fn load_with_slack_waits_for_its_own_half() {
    let load = Class {
        idempotency: Idempotency::NonIdempotent,
        holds_tables: true,
        threads: 2.0,
        ..class(4.0, 4000.0)
    };
    let reader = Class {
        waits_for_loads: true,
        ..class(1.0, 2000.0)
    };
    let mut controller = TestController::new(test_settings(vec![load, reader]), fleet(6));
    for id in 0..10 {
        serve_query(&mut controller, id, 0, 200.0, 200.0); // teaches the dispatcher that loads are short
    }
    let load = |id| Query {
        tables: Some(5),
        time_left: 8000.0,
        ..query(id, 0)
    };
    let sent: Vec<_> = (11..17)
        .flat_map(|id| sent_attempts(&controller.submit(load(id))))
        .collect();
    assert_eq!(
        sent.len(),
        3,
        "one load on each engine of their half: {sent:?}"
    );
    let sent = sent_attempts(&controller.advance(3500.0));
    assert_eq!(
        sent.len(),
        3,
        "the other loads leave their half before their deadline"
    );
}

/// Engines that returned from an administrative drain got a third of what they sustain, since answers under
/// overload take several times as long as their work.
#[test]
fn slow_start_usage_is_charged_by_estimate_not_latency() {
    let sent = |work| {
        let mut settings = test_settings(vec![class(1.0, 3000.0)]);
        settings.engines.reports_cost = false;
        let mut controller = TestController::new(settings, fleet(1));
        for id in 0..10 {
            serve_query(&mut controller, id, 0, 2500.0, 300.0);
        }
        let warming_engine = EngineEntry {
            started: Some(controller.now),
            ..engine_entry("e0")
        };
        controller.handle(Event::EngineList {
            update: ListUpdate::Patch,
            entries: vec![warming_engine],
        });
        let is_sent = |id: &u64| {
            !sent_attempts(&controller.submit(Query {
                work,
                ..query(*id, 0)
            }))
            .is_empty()
        };
        (100..200).filter(is_sent).count()
    };
    let (estimated, unestimated) = (sent(Some(300.0)), sent(None));
    assert!(
        estimated > unestimated,
        "{estimated} sends with estimates, {unestimated} without"
    );
}
