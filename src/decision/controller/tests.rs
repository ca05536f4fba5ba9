//! Formulas (2) to (4) against values worked by hand, and the send path called directly.

use super::*;

fn gateway() -> Controller {
    let class = |priority_weight, threads| Class {
        priority_weight,
        latency_objective: 1000.0,
        latency_objective_slowdown: 2.0,
        late_answer_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        in_order: false,
        allowed_zones: None,
        allowed_kinds: None,
        threads,
        holds_tables: false,
        waits_for_loads: false,
    };
    let settings = Settings {
        dispatchers: 1,
        zone: None,
        step: 5.0,
        classes: vec![class(1.0, 1.0), class(8.0, 2.0)],
        tenants: vec![],
        kinds: vec![Kind { cores: 8.0, memory_mb: 1024.0 }],
        over_quota_weight: 1.0,
        limits: Limits {
            max_attempts: 1,
            hedging: false,
            cancel: false,
            probes: false,
            sends_retry_after: false,
            max_retry_after: 0.0,
        },
        engines: EngineCapabilities {
            accepts_memory_grants: false,
            accepts_priority: false,
            max_grant_share: 0.0,
            reports_cost: false,
            overcommits_memory: false,
            progress_interval: 0.0,
        },
        rules: Rules {
            answer_grace: 20.0,
            drain_grace: 250.0,
            initial_warm_up_capacity: 0.3,
            warm_up_period: 1000.0,
            overload_multiple: 3.0,
            overload_window: 1000.0,
            order_quiet_period: 0.0,
            retry_budget: None,
        },
        report_fields: vec![],
        must_subscribe: false,
        cross_zone_cost: 0.0,
    };
    let mut c = Controller::new(settings, 1).unwrap();
    let engine = "e".to_string();
    let state = EngineState::Ready;
    let e = EngineEntry { engine, state, started: None, kind: Some(0), zone: None, cell: 0 };
    c.handle(0.0, Event::EngineList { update: ListUpdate::Snapshot, entries: vec![e] }, &mut vec![]);
    c
}

/// The budget is 16 threads. 200 queries of 80 ms on one thread load it by 0.5, 10 of 480 ms on two by 0.3;
/// the surplus 0.2 is split 200 x 1 to 10 x 8: p = 0.5 + 0.2 x 200/280 and 0.3 + 0.2 x 80/280.
fn period(c: &mut Controller, slowdowns: [f64; 2], held: bool) {
    for (i, (arrivals, service)) in [(200.0, 80.0), (10.0, 480.0)].into_iter().enumerate() {
        let s = &mut c.classes[i];
        (s.arrivals, s.served, s.service_sum) = (arrivals, 10.0, 10.0 * service);
        (s.slowdown_sum, s.held) = (10.0 * slowdowns[i], held);
    }
    c.sample();
}

fn close(a: f64, b: f64) {
    assert!((a - b).abs() < 1e-6, "{a} is not {b}");
}

#[test]
fn the_prediction_alone_gives_formula_4() {
    let mut c = gateway();
    period(&mut c, [4.0, 1.0], false);
    close(c.classes[0].share, 0.642857143);
    close(c.classes[1].share, 0.357142857);
    assert_eq!(c.classes[0].error_sum, 0.0, "sums stay when a class held nothing");
}

#[test]
fn the_integral_moves_the_shares_by_formula_3() {
    let mut c = gateway();
    period(&mut c, [4.0, 1.0], true);
    // Class 1 is worth most: e = 8/1 - 4/1 for the other; u = 1/0.642857 + 4 and 1/0.357143.
    close(c.classes[0].error_sum, 4.0);
    close(c.classes[0].share, 0.18 / (0.18 + 0.357142857));
    period(&mut c, [6.0, 1.0], true);
    close(c.classes[0].error_sum, 6.0);
    period(&mut c, [6.0, 0.0], true);
    close(c.classes[0].error_sum, 6.0);
}

#[test]
fn u_keeps_its_floor() {
    let mut c = gateway();
    c.classes[0].error_sum = -1000.0;
    period(&mut c, [4.0, 1.0], false);
    // u = 0.1/0.642857 and 1/0.357143.
    close(c.classes[0].share, 6.428571429 / (6.428571429 + 0.357142857));
}

#[test]
fn the_send_path_itself_refuses_a_second_copy_and_a_query_that_is_over() {
    let mut c = gateway();
    c.s.limits.max_attempts = 5;
    let (tenant, key, tables, work, memory_mb) = (None, None, None, None, None);
    let q = Query { id: 1, class: 0, tenant, key, tables, time_left: 900.0, work, memory_mb };
    let mut out = vec![];
    c.handle(1.0, Event::Query(q), &mut out);
    assert!(out.iter().any(|a| matches!(a, Action::Send { id: 1, .. })));
    assert!(!c.send(1, 0, &mut out), "a second copy, no caller can bypass the guard");
    c.s.limits.hedging = true;
    assert!(c.send(1, 0, &mut out), "where copies are allowed");
    c.handle(2.0, Event::ClientDisconnected(1), &mut out);
    assert!(!c.send(1, 0, &mut out), "nothing after the end");
}

/// Seen on the long day: new ids came all day, and what was gone was kept and looked through for good.
#[test]
fn engines_that_are_gone_leave_their_places_to_new_ones_once_no_query_refers_to_them() {
    let mut c = gateway();
    let (tenant, key, tables, work, memory_mb) = (None, None, None, None, None);
    let q = Query { id: 1, class: 0, tenant, key, tables, time_left: 900.0, work, memory_mb };
    c.handle(2.0, Event::Query(q), &mut vec![]);
    for n in 1..100 {
        let e = EngineEntry {
            engine: format!("n{n}"),
            state: EngineState::Ready,
            started: None,
            kind: Some(0),
            zone: None,
            cell: 0,
        };
        c.handle(3.0, Event::EngineList { update: ListUpdate::Snapshot, entries: vec![e] }, &mut vec![]);
    }
    assert!(c.engines.len() <= 3 && c.names.len() <= 3, "{} are kept", c.engines.len());
    assert_eq!(c.engines[c.held[&1].attempts[0].engine].out.len(), 1, "the one with a query out is");
}

/// Seen when six in ten engines were replaced at once: for its whole cold time an engine was held to the share
/// of capacity that it started with, and stood at 3 to 11% of its memory while the warm ones were full.
#[test]
fn a_cold_engine_gets_more_as_it_warms_and_never_more_than_it_can_do_by_its_age() {
    let mut c = gateway();
    let started = Some(10.0);
    let state = EngineState::Ready;
    let e = EngineEntry { engine: "new".into(), state, started, kind: Some(0), zone: None, cell: 0 };
    c.handle(10.0, Event::EngineList { update: ListUpdate::Snapshot, entries: vec![e] }, &mut vec![]);
    let new = c.names["new"];
    // The most of one query's work that fits, alone in its window: 0.6 x 3 x 8 cores x 1 s x the capacity.
    for (age, capacity) in [(0.0, 0.3), (500.0, 0.65), (1000.0, 1.0), (1500.0, 1.0)] {
        c.now = 10.0 + age;
        let most = COLD_SAFETY * 3.0 * 8.0 * 1000.0 * capacity;
        assert!(c.cold_chance(&c.engines[new], most * 0.999) > 0.0, "{age} ms after its start");
        c.engines[new].sent.charge(c.now, 1000.0, most * 0.5, 1.0);
        assert!(c.cold_chance(&c.engines[new], most * 0.501) == 0.0, "what it got in this window counts");
        c.engines[new].sent = Sent::default();
    }
}

/// Seen when half of the engines were replaced: every gateway knew four warm engines with room, so that none went to
/// a cold one that its draw had let it use. Those stood nearly idle while the warm ones ran out of memory.
#[test]
fn a_cold_engine_that_may_be_used_is_among_those_chosen_though_enough_others_were_met() {
    let mut c = gateway();
    let entry = |n: usize, started: Option<Millis>| EngineEntry {
        engine: if started.is_some() { "new".into() } else { format!("met{n}") },
        state: EngineState::Ready,
        started,
        kind: Some(0),
        zone: None,
        cell: 0,
    };
    let met = (0..2 * REACH).map(|n| entry(n, None));
    let entries = met.chain([entry(0, Some(4000.0))]).collect();
    c.handle(5000.0, Event::EngineList { update: ListUpdate::Snapshot, entries }, &mut vec![]);
    c.engines.iter_mut().filter(|x| x.started.is_none()).for_each(|x| x.heard = 4900.0);
    let ask = |c: &mut Controller, ids: std::ops::Range<u64>, work| {
        let mut out = vec![];
        for id in ids {
            let (tenant, key, tables, memory_mb) = (None, None, None, None);
            let q = Query { id, class: 0, tenant, key, tables, time_left: 900.0, work, memory_mb };
            c.handle(5000.0, Event::Query(q), &mut out);
        }
        let new = |a: &&Action| matches!(a, Action::Send { engine, .. } if engine == "new");
        out.iter().filter(new).count()
    };
    let new = ask(&mut c, 0..20, Some(10.0));
    assert!((2..10).contains(&new), "{new} of 20 went to it: one of several");
    assert_eq!(ask(&mut c, 20..40, Some(1e6)), 0, "none that is beyond its budget");
}
