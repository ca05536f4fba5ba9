//! Regression tests of the decision module: each failure that was found under load, as a few scripted events.

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

/// Serves a query at once, with what its engine reports.
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

/// Queries in rounds of so many, all answered in time, until a whole round is sent at once.
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
    panic!("the window does not grow");
}

/// Seen at ikeja-main: a five-fold burst filled every engine before the first answer could tell.
#[test]
fn congestion_window_grows_only_with_use() {
    let mut settings = test_settings(vec![class(1.0, 800.0)]);
    settings.dispatchers = 50;
    let mut controller = TestController::new(settings, fleet(50)); // our budgets: 16 threads
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
        "one query at a time widens nothing"
    );
    let more: usize = (1000..1016)
        .map(|id| sent_attempts(&controller.end_attempt(id, 0, Outcome::Served)).len())
        .sum();
    assert!(
        more > 16,
        "a window in use grows, {more} of those held follow"
    );
}

#[test]
fn fast_failing_engine_is_ejected_and_restored_after_recovery() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 800.0)]), fleet(4));
    let mut bad_sends_late = 0;
    for id in 0..200 {
        controller.now += 5.0;
        let mut sent = sent_attempts(&controller.submit(query(id, 0)));
        let mut attempt = 0;
        while let Some((_, engine)) = sent.pop() {
            let bad = engine == "e0";
            bad_sends_late += u32::from(bad && id > 100);
            sent = sent_attempts(&controller.end_attempt(
                id,
                attempt,
                if bad { Outcome::Error } else { Outcome::Served },
            ));
            attempt += 1;
        }
    }
    assert!(
        bad_sends_late <= 1,
        "{bad_sends_late} sends to an engine that fails"
    );
    controller.advance(9000.0);
    let mut back = 0;
    for id in 200..260 {
        controller.now += 5.0;
        back += u32::from(sent_attempts(&controller.submit(query(id, 0)))[0].1 == "e0");
        controller.end_attempt(id, 0, Outcome::Served);
    }
    assert!(back >= 3, "mended engines serve again, {back} sends");
}

#[test]
fn no_engine_is_ejected_when_all_fail_alike() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 800.0)]), fleet(4));
    for id in 0..100 {
        controller.now += 5.0;
        assert_eq!(
            sent_attempts(&controller.submit(query(id, 0))).len(),
            1,
            "still served by someone"
        );
        controller.handle(Event::AttemptEnded(Ended {
            last: true,
            ..attempt_ended(id, 0, Outcome::Error)
        }));
    }
}

#[test]
fn queries_of_a_silent_engine_are_migrated_but_not_those_of_a_slow_fleet() {
    for hang in [true, false] {
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
                    .filter(|(_, e)| e != "e0" && hang),
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
        assert_eq!(cancels > 0, hang, "{cancels} cancels");
    }
}

/// Its engine answers others, so that the engine is not silent: only the one whose notes cease is sent anew.
#[test]
fn attempt_without_progress_reports_is_retried_while_its_engine_responds() {
    for ceases in [true, false] {
        let mut settings = test_settings(vec![class(1.0, 8000.0)]);
        settings.engines.progress_interval = 100.0;
        let mut controller = TestController::new(settings, fleet(1));
        let late = Query {
            time_left: 8000.0,
            ..query(1, 0)
        };
        assert_eq!(sent_attempts(&controller.submit(late)).len(), 1);
        let mut all = vec![];
        for id in 2..20 {
            controller.submit(query(id, 0));
            all.extend(controller.advance(100.0));
            if !ceases {
                controller.handle(Event::Progress {
                    id: 1,
                    attempt: 0,
                    note: ProgressNote::Completed(0.1),
                });
            }
            controller.end_attempt(id, 0, Outcome::Served);
        }
        assert_eq!(all.contains(&Action::Cancel { id: 1, attempt: 0 }), ceases);
    }
}

#[test]
fn thread_budget_applies_only_to_a_saturated_engine() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(1));
    let free = (0..16)
        .filter(|&id| !sent_attempts(&controller.submit(query(id, 0))).is_empty())
        .count();
    assert_eq!(free, 16);
    // It holds 40 queries, most of them not ours: our 15 and one more make up the budget of 16 threads.
    controller.handle(Event::AttemptEnded(Ended {
        report: vec![40.0, 0.5],
        ..attempt_ended(0, 0, Outcome::Served)
    }));
    assert_eq!(sent_attempts(&controller.submit(query(100, 0))).len(), 1);
    assert!(
        sent_attempts(&controller.submit(query(101, 0))).is_empty(),
        "over the budget under pressure"
    );
}

#[test]
fn overload_of_all_engines_shrinks_the_window_and_good_answers_grow_it() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 500.0)]), fleet(2));
    for id in 0..20 {
        assert_eq!(
            sent_attempts(&controller.submit(query(id, 0))).len(),
            1,
            "nothing held before a sign"
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
            assert!(id < first + 200, "no limit");
        }
        let sent = id - first;
        for served in first..=id {
            controller.end_attempt(served, 0, Outcome::Served); // the last was held until the others ended
        }
        id += 1;
        controller.advance(2000.0);
        sent
    };
    let reduced_window = fill_window(&mut controller);
    assert!(
        (16..24).contains(&reduced_window),
        "cut, but not below half the budgets: {reduced_window}"
    );
    assert!(
        fill_window(&mut controller) > reduced_window,
        "grows by answers in time"
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
            "a usual pace stays"
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
    let loaded = sent_attempts(&controller.submit(Query {
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
        assert_ne!(sent[0].1, loaded, "our own load");
    }
    // A load that we do not know shows in a note.
    let there = sent_attempts(&controller.submit(Query {
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
        there
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
        "two seconds of its quota may wait"
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
        "somewhat over the estimate: {first}"
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
        "its class needs three times what it says: {learned}"
    );
}

#[test]
fn noisy_memory_estimates_regress_to_the_mean() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(1));
    let (mut spills, mut granted_mb, mut needed_mb) = (0, 0.0, 0.0);
    for id in 0..400u64 {
        // The need takes 1/2, 1 and 2 times the usual, the error 1/4, 1 and 4, in every pair: plain slack
        // would be short a third of the time and grant far more than is needed otherwise.
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
    assert!(spills <= 50, "{spills} of 200 spill");
    assert!(
        granted_mb < 1.5 * needed_mb,
        "{granted_mb} MB granted for {needed_mb}"
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
        "what it had and what it lacked"
    );
    let out = controller.handle(Event::Progress {
        id: 1,
        attempt: 1,
        note: ProgressNote::SpilledMemory(50.0),
    });
    assert!(
        !out.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "no engine has it: it runs"
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
        "little is lacking"
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
        assert_eq!(final_answers(&out), [0; 0], "2.3 s to go of 3");
        let out = controller.handle(Event::Progress {
            id: 1,
            attempt: 0,
            note: ProgressNote::Completed(0.05),
        });
        assert!(
            out.contains(&Action::Cancel { id: 1, attempt: 0 }),
            "19 s to go of 3"
        );
        let refused = out.contains(&Action::Refuse {
            id: 1,
            retry_after: Some(500.0),
        });
        assert_eq!(
            refused,
            idempotency == Idempotency::Idempotent,
            "it is still out and may run: {out:?}"
        );
        assert_eq!(final_answers(&out), [1]);
    }
}

/// The users' day of issue 10: most traffic comes to the gateways of one room, whose engines are fewer.
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
        "nothing is held while the other zone has room"
    );
    let other = sent.iter().filter(|(_, e)| e.as_str() >= "e4").count();
    assert!(
        other >= 12,
        "{other} of 20 to the four idle engines, the rest to the one that told nothing"
    );
}

#[test]
fn overload_sheds_the_costliest_requests_of_a_class_only() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(2));
    let of = |id, work| Query {
        work: Some(work),
        time_left: 9000.0,
        ..query(id, 0)
    };
    for id in 0..10 {
        controller.submit(of(id, 100.0));
        controller.handle(Event::AttemptEnded(Ended {
            work: Some(100.0),
            ..attempt_ended(id, 0, Outcome::Served)
        }));
    }
    assert_eq!(
        sent_attempts(&controller.submit(of(20, 1000.0))).len(),
        1,
        "no crowd, nothing is too heavy"
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
        sent_attempts(&controller.submit(of(21, 100.0))).len(),
        1,
        "a usual one runs"
    );
    let out = controller.submit(of(22, 1000.0));
    assert_eq!(final_answers(&out), [22], "ten times the usual");
    assert!(
        out.contains(&Action::Refuse {
            id: 22,
            retry_after: Some(500.0)
        }),
        "with advice"
    );
}

#[test]
fn invalid_settings_name_their_field() {
    let field = |change: fn(&mut Settings)| {
        let mut settings = test_settings(vec![class(1.0, 800.0)]);
        change(&mut settings);
        Controller::new(settings, 1).err().map(|e| e.field)
    };
    assert_eq!(field(|_| {}), None);
    assert_eq!(
        field(|settings| settings.classes.clear()),
        Some("classes".into())
    );
    assert_eq!(
        field(|settings| settings.dispatchers = 0),
        Some("gateways".into())
    );
    assert_eq!(
        field(|settings| settings.classes[0].latency_objective = f64::NAN),
        Some("classes[0].aim".into())
    );
    assert_eq!(
        field(|settings| settings.rules.overload_window = -1.0),
        Some("rules.fall_window".into())
    );
    assert_eq!(
        field(|settings| settings.classes[0].allowed_kinds = Some(vec![9])),
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
    assert_eq!(subscriptions(&controller.advance(100.0)), 0, "not in haste");
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
    assert!(timers(&controller.advance(10_000.0)) <= 6, "idle");
    let out = controller.submit(query(1, 0));
    let soon = out
        .iter()
        .any(|a| matches!(a, Action::Timer { at, .. } if *at <= controller.now + 20.0));
    assert!(soon, "a query is looked after from its arrival on");
}

/// Seen at launceston-hive: without estimates reports that spilled at their start were 2% done after 2 s.
#[test]
fn spilling_query_without_an_estimate_is_retried_once_with_the_missing_memory() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(2));
    let out = controller.submit(query(1, 0));
    assert_eq!(granted_memory(&out), Some(0.0), "the engine chooses");
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
        "a thread's part of the memory and what it lacked"
    );
    let out = controller.handle(Event::Progress {
        id: 1,
        attempt: 1,
        note: ProgressNote::SpilledMemory(700.0),
    });
    assert!(
        !out.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "only once"
    );
}

/// Seen at launceston-hive: only `util` is told, and a jam at the disks leaves cores idle.
#[test]
fn overload_is_detected_from_cpu_reports_alone() {
    let sent_by = |busy: f64, ms: f64| {
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
    let calm = sent_by(0.3, 200.0);
    assert!(sent_by(1.0, 200.0) < calm, "busy cores");
    assert!(sent_by(0.3, 1500.0) < calm, "idle cores, long answers");
}

/// Seen at ikeja-main: in a storm of attempts that end without an answer no report tells of the jam.
#[test]
fn long_unanswered_attempts_signal_overload_unless_the_engine_responded_since() {
    let left = |spoke: bool| {
        let mut settings = test_settings(vec![class(1.0, 800.0)]);
        settings.dispatchers = 4;
        let mut controller = TestController::new(settings, fleet(4));
        let sent: Vec<_> = (0..16)
            .flat_map(|id| sent_attempts(&controller.submit(query(id, 0))))
            .collect();
        controller.now += 3000.0;
        for (id, engine) in sent {
            if spoke {
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
        left(false) < left(true),
        "{} beside {}",
        left(false),
        left(true)
    );
}

/// Seen at milano-main: half of the look-ups that stood in an engine's line for memory came too late.
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
    // The other turns it away: a move would lose the place in line for nothing.
    assert_eq!(sent_attempts(&controller.submit(query(2, 0)))[0].1, first);
    controller.end_attempt(1, 1, Outcome::Rejected);
    let out = controller.handle(Event::Progress {
        id: 2,
        attempt: 0,
        note: ProgressNote::WaitsForMemory,
    });
    assert!(!out.contains(&Action::Cancel { id: 2, attempt: 0 }));
}

/// Seen on churn days: an engine barred for a second then got all that had waited, and turned it away again.
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
        "it has as many as when it was full"
    );
    controller.end_attempt(0, 0, Outcome::Served);
    assert!(
        (1..=2).contains(&sent_attempts(&controller.end_attempt(1, 0, Outcome::Served)).len()),
        "as it serves"
    );
}

/// Seen on a reload day: an engine that failed fast was the only one with room, and took the attempts of all.
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
        "it waits for the other"
    );
}

/// Seen at launceston-hive and milano-main: one report of the window's width shut look-ups out for a second.
#[test]
fn wide_query_does_not_block_a_higher_class() {
    let mut settings = test_settings(two_classes());
    settings.dispatchers = 100;
    let mut controller = TestController::new(settings, fleet(20)); // our budgets: 3.2 threads
    assert_eq!(
        sent_attempts(&controller.submit(query(1, 1))).len(),
        1,
        "three threads"
    );
    assert_eq!(
        sent_attempts(&controller.submit(query(2, 0))).len(),
        1,
        "a look-up goes beside them"
    );
    assert_eq!(
        sent_attempts(&controller.submit(query(3, 1))).len(),
        0,
        "no second wide one"
    );
}

/// Seen at milano-main: queries whose probes were late were given up with room on every engine.
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
        assert_eq!(sent_attempts(&out).len(), 0, "its pair is asked first");
        out.extend(controller.advance(60.0));
        assert_eq!(
            (sent_attempts(&out).len(), final_answers(&out).len()),
            (1, 0),
            "beyond its share, but nobody waits"
        );
        controller.end_attempt(id, 0, Outcome::Served);
    }
}

/// Seen at launceston-hive and ikeja-main: among many gateways few engines are heard of in time.
#[test]
fn overload_of_most_zones_shrinks_the_window_and_unknown_engines_use_their_zone() {
    let sent = |told: usize| {
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
        for i in (0..12 * 3).filter(|i| i % 12 / 4 < told) {
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
    assert!(one >= 20, "a jam of one zone leaves two others, {one}");
    assert!(two < one, "most zones jammed, {two} beside {one}");
}

/// Seen at ikeja-main: loads stood behind other gateways' loads for their whole aim.
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
    for (id, wait, moves) in [(1, 500.0, true), (2, 2500.0, false)] {
        assert_eq!(sent_attempts(&controller.submit(query(id))).len(), 1);
        controller.now += wait;
        let out = controller.handle(Event::Progress {
            id,
            attempt: 0,
            note: ProgressNote::WaitsForLoad,
        });
        assert_eq!(
            out.contains(&Action::Cancel { id, attempt: 0 }),
            moves,
            "after {wait} ms of 4000"
        );
        if moves {
            assert_eq!(
                sent_attempts(&controller.end_attempt(id, 0, Outcome::Cancelled)).len(),
                1,
                "within the window"
            );
        }
    }
}

/// Loads of one group share one half of the engines, its readers the other, at every gateway alike.
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
    let mut used = [
        std::collections::BTreeSet::new(),
        std::collections::BTreeSet::new(),
    ];
    for gateway in 0..10 {
        let mut controller =
            TestController::new(test_settings(vec![load.clone(), reader.clone()]), fleet(12));
        for id in 0..20 {
            let class = (id + gateway) % 2;
            let out = controller.submit(Query {
                tables: Some(7),
                ..query(id as u64, class)
            });
            used[class].extend(sent_attempts(&out).into_iter().map(|(_, e)| e));
            controller.end_attempt(id as u64, 0, Outcome::Served); // while it runs, others may leave their half
        }
    }
    assert!(used.iter().all(|u| u.len() >= 3), "{used:?}");
    assert!(used[0].is_disjoint(&used[1]), "{used:?}");
}

/// Seen at ikeja-main and launceston-hive: where answers tell no cost a jam inflated work, and with it the aims.
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
        "work of 100 ms is due in 1 s, and answers take 2"
    );
}

/// Seen at ikeja-main: with the living engines under pressure a third of all attempts went to dead ones.
#[test]
fn unreachable_engine_is_not_retried_even_when_others_are_full() {
    let mut controller = TestController::new(test_settings(vec![class(1.0, 3000.0)]), fleet(2));
    let (_, dead) = sent_attempts(&controller.submit(query(1, 0))).remove(0);
    let (_, other) = sent_attempts(&controller.end_attempt(1, 0, Outcome::Unreachable)).remove(0);
    assert_ne!(dead, other);
    assert!(
        sent_attempts(&controller.end_attempt(1, 1, Outcome::Rejected)).is_empty(),
        "the full one rests, and so does the dead one"
    );
    assert_eq!(
        sent_attempts(&controller.advance(1100.0)).len(),
        1,
        "both are tried again"
    );
}

/// Seen at lakaz-main: a hot group's loads had one engine of six, since each engine drew its half alone.
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
        let mut taken = [
            std::collections::BTreeSet::new(),
            std::collections::BTreeSet::new(),
        ];
        for id in 0..200 {
            let class = id as usize % 2;
            let sent = sent_attempts(&controller.submit(Query {
                tables: Some(group),
                ..query(id, class)
            }));
            taken[class].extend(sent.into_iter().map(|settings| settings.1));
            controller.end_attempt(id, 0, Outcome::Served);
        }
        assert_eq!((taken[0].len(), taken[1].len()), (3, 3), "group {group}");
        assert!(taken[0].is_disjoint(&taken[1]), "group {group}");
    }
}

/// Seen at lakaz-main: while a load of another gateway held a group, reader after reader was sent behind it,
/// though the first one's note had told.
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
    let behind = read(&mut controller, 1);
    controller.handle(Event::Progress {
        id: 1,
        attempt: 0,
        note: ProgressNote::WaitsForLoad,
    });
    controller.end_attempt(1, 0, Outcome::Cancelled);
    controller.end_attempt(1, 1, Outcome::Served);
    let met = |controller: &mut TestController, ids: std::ops::Range<u64>| {
        ids.filter(|&id| {
            let engine = read(controller, id);
            controller.end_attempt(id, 0, Outcome::Served);
            engine == behind
        })
        .count()
    };
    assert_eq!(met(&mut controller, 10..50), 0, "the note still counts");
    controller.advance(1100.0);
    assert!(
        met(&mut controller, 50..90) > 0,
        "loads end: the engine is back in use"
    );
}

/// Seen on a churn day: with few engines the loads of a hot group stood behind each other in their half of them
/// until their time was over.
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
            .map(|settings| &settings.1)
            .collect::<std::collections::BTreeSet<_>>()
            .len(),
        6,
        "one on each"
    );
}

/// Seen on a day with engines out by hand: most late look-ups stood behind a load on their half of the engines,
/// though loads had seconds to spare.
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
        serve_query(&mut controller, id, 0, 200.0, 200.0); // so that loads are known to be short
    }
    let load = |id| Query {
        tables: Some(5),
        time_left: 8000.0,
        ..query(id, 0)
    };
    let sent: Vec<_> = (11..17)
        .flat_map(|id| sent_attempts(&controller.submit(load(id))))
        .collect();
    assert_eq!(sent.len(), 3, "one on each of its half: {sent:?}");
    let sent = sent_attempts(&controller.advance(3500.0));
    assert_eq!(
        sent.len(),
        3,
        "the others leave it before their time is over"
    );
}

/// Seen on a day with engines out by hand: those put back got a third of what they bear, for in a jam answers
/// take several times their work.
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
        let goes = |id: &u64| {
            !sent_attempts(&controller.submit(Query {
                work,
                ..query(*id, 0)
            }))
            .is_empty()
        };
        (100..200).filter(goes).count()
    };
    let (told, untold) = (sent(Some(300.0)), sent(None));
    assert!(told > untold, "{told} beside {untold}");
}
