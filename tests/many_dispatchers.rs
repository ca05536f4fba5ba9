//! What holds when each of many gateways sees little, as scripted events.

mod common;
use common::*;
use query_dispatcher::*;

fn one_of(dispatchers: u32, probes: bool) -> Settings {
    let mut s = settings(vec![class(1.0, 2000.0)]);
    (s.dispatchers, s.limits.probes) = (dispatchers, probes);
    s
}

fn probed(actions: &[Action]) -> Vec<String> {
    let name = |a: &Action| {
        if let Action::Probe { engine } = a {
            Some(engine.clone())
        } else {
            None
        }
    };
    actions.iter().filter_map(name).collect()
}

fn answer(engine: &str, inflight: f64) -> Event {
    let report = vec![inflight, 0.1];
    Event::EngineReport {
        engine: engine.into(),
        outcome: Outcome::Served,
        report,
    }
}

fn fleet(n: usize) -> Vec<EngineEntry> {
    (0..n).map(|i| entry(&format!("e{i}"))).collect()
}

/// Seen with 100 gateways and 30 engines: each held a connection to nearly all, 4,296 for 11,825 requests.
#[test]
fn each_dispatcher_uses_a_small_subset_and_together_they_balance() {
    let mut used = std::collections::BTreeMap::<String, usize>::new();
    for seed in 0..60 {
        let mut g = Gateway::seeded(one_of(100, false), fleet(30), seed);
        let mut own = std::collections::BTreeSet::new();
        for id in 0..40 {
            let sent = sends(&g.take(query(id, 0)));
            assert_eq!(sent.len(), 1);
            own.insert(sent[0].1.clone());
            g.end(id, 0, Outcome::Served);
        }
        assert!(
            (2..=6).contains(&own.len()),
            "gateway {seed} keeps to {own:?}"
        );
        own.into_iter()
            .for_each(|e| *used.entry(e).or_default() += 1);
    }
    assert_eq!(used.len(), 30, "every engine has its gateways");
    assert!(used.values().all(|n| (2..=20).contains(n)), "{used:?}");
}

#[test]
fn new_engines_are_not_tried_while_the_subset_has_capacity() {
    let mut g = Gateway::new(one_of(100, false), fleet(10));
    let turn = |g: &mut Gateway, id| {
        let engine = sends(&g.take(query(id, 0)))[0].1.clone();
        g.end(id, 0, Outcome::Served);
        engine
    };
    let own: std::collections::BTreeSet<String> = (0..40).map(|id| turn(&mut g, id)).collect();
    // As many again as there were: in the gateway's order some of them come before what it has.
    g.does(Event::EngineList {
        update: ListUpdate::Snapshot,
        entries: fleet(40),
    });
    for id in 40..120 {
        let engine = turn(&mut g, id);
        assert!(
            own.contains(&engine),
            "{engine} is new, and {own:?} have room"
        );
    }
}

/// However many share one cold engine and want it all the time: what they send it in any window stays under the
/// bound in the settings, by what it can do at its age when the window begins.
#[test]
fn warming_engine_stays_under_its_limit_with_3_30_and_100_dispatchers() {
    for n in [3u32, 30, 100] {
        let s = one_of(n, false);
        let (r, cores) = (s.rules.clone(), s.kinds[0].cores);
        let cold = EngineEntry {
            started: Some(1000.0),
            ..entry("new")
        };
        let mut all: Vec<Gateway> = (0..n)
            .map(|seed| Gateway::seeded(s.clone(), vec![cold.clone()], u64::from(seed) + 7))
            .collect();
        let mut sent: Vec<(f64, f64)> = vec![];
        for step in 0..300u64 {
            let now = 1000.0 + step as f64 * 20.0;
            for (g, x) in all.iter_mut().enumerate() {
                x.now = now;
                x.does(Event::Timer(0));
                if !(step + g as u64).is_multiple_of(5) {
                    continue;
                }
                let q = Query {
                    work: Some(500.0),
                    time_left: 200.0,
                    ..query(step, 0)
                };
                for (id, _) in sends(&x.take(q)) {
                    sent.push((now, 500.0));
                    x.end(id, 0, Outcome::Served);
                }
            }
        }
        assert!(sent.len() > 20, "{n} gateways use it, {} sends", sent.len());
        for (start, _) in &sent {
            let able = r.initial_warm_up_capacity
                + (1.0 - r.initial_warm_up_capacity)
                    * ((start - 1000.0) / r.warm_up_period).min(1.0);
            let bound = r.overload_multiple * able * cores * r.overload_window;
            let window = sent
                .iter()
                .filter(|(t, _)| t >= start && *t < start + r.overload_window);
            let sum: f64 = window.map(|(_, w)| w).sum();
            assert!(
                sum <= bound,
                "{n} gateways: {sum} of {bound} in the window from {start}"
            );
        }
    }
}

#[test]
fn subset_is_widened_when_it_has_no_capacity() {
    let mut g = Gateway::new(one_of(100, false), fleet(30));
    let mut full = std::collections::BTreeSet::new();
    for id in 0..12 {
        let sent = sends(&g.take(query(id, 0)));
        assert_eq!(
            sent.len(),
            1,
            "the next in its order takes the place of those that are full"
        );
        assert!(
            full.insert(sent[0].1.clone()),
            "{} was full a moment ago",
            sent[0].1
        );
        let moved = sends(&g.end(id, 0, Outcome::Rejected));
        assert!(!full.contains(&moved[0].1));
        g.end(id, 1, Outcome::Served);
    }
}

#[test]
fn idle_dispatcher_probes_two_engines_and_picks_the_less_loaded() {
    for crowded in 0..2 {
        let mut g = Gateway::new(one_of(100, true), fleet(9));
        let pair = probed(&g.take(query(1, 0)));
        assert_eq!(pair.len(), 2);
        assert_eq!(sends(&g.does(answer(&pair[crowded], 12.0))), vec![]);
        let sent = sends(&g.does(answer(&pair[1 - crowded], 2.0)));
        assert_eq!(sent, vec![(1, pair[1 - crowded].clone())]);
    }
}

#[test]
fn only_a_loaded_fleet_is_probed_for_each_query() {
    for (inflight, asks) in [(1.0, false), (9.0, true)] {
        let mut g = Gateway::new(one_of(100, true), fleet(9));
        for i in 0..6 {
            g.does(answer(&format!("e{i}"), inflight));
        }
        g.now += 600.0;
        let out = g.take(query(1, 0));
        assert_eq!(
            sends(&out).is_empty(),
            asks,
            "reports of {inflight} queries an engine"
        );
        assert_eq!(probed(&out).len() >= 2, asks);
    }
}

#[test]
fn lost_late_duplicate_or_malformed_probes_delay_nothing() {
    let mut g = Gateway::new(one_of(100, true), fleet(9));
    let pair = probed(&g.take(query(1, 0)));
    g.does(answer("unknown", 1.0));
    g.does(answer(&pair[0], f64::NAN));
    g.does(answer(&pair[0], -4.0));
    assert_eq!(
        sends(&g.pass(60.0)).len(),
        1,
        "sent once the wait for probes is over"
    );
    for _ in 0..3 {
        assert_eq!(sends(&g.does(answer(&pair[1], 3.0))), vec![]);
    }
}

#[test]
fn dispatchers_with_whole_queries_of_budget_do_not_wait_for_probes() {
    let mut g = Gateway::new(one_of(2, true), fleet(4));
    assert_eq!(sends(&g.take(query(1, 0))).len(), 1);
}

/// Sends of many gateways with different seeds, each holding a few queries for under a period.
fn all_send(s: &Settings, entries: &[EngineEntry], inflight: f64) -> usize {
    let mut total = 0;
    for seed in 0..u64::from(s.dispatchers) {
        let mut g = Gateway {
            c: Controller::new(s.clone(), seed).unwrap(),
            now: 1000.0,
        };
        g.does(Event::EngineList {
            update: ListUpdate::Stale,
            entries: entries.to_vec(),
        });
        g.pass(2100.0); // one sampling period: the draws are made
        let mut out = vec![];
        for id in 0..3 {
            out.extend(g.take(query(id, 0)));
        }
        for _ in 0..60 {
            total += sends(&out).len();
            let asked = probed(&out);
            out = asked
                .iter()
                .flat_map(|e| g.does(answer(e, inflight)))
                .collect();
            out.extend(g.pass(20.0));
        }
    }
    total
}

#[test]
fn all_dispatchers_under_load_stay_near_an_engines_budget() {
    let sent = all_send(&one_of(100, true), &fleet(4), 40.0);
    assert!(
        (16..=80).contains(&sent),
        "{sent} sends for budgets of 4 x 16 threads"
    );
}

#[test]
fn all_dispatchers_use_a_warming_engines_budget_and_no_more() {
    let s = one_of(200, false);
    let cold = EngineEntry {
        started: Some(1000.0),
        ..entry("cold")
    };
    let r = &s.rules;
    let usual = s.classes[0].latency_objective / (1.0 + s.classes[0].latency_objective_slowdown);
    let stands =
        r.overload_multiple * r.initial_warm_up_capacity * s.kinds[0].cores * r.overload_window
            / usual;
    let sent = all_send(&s, &[cold], 0.0) as f64;
    assert!(sent <= stands, "{sent} sends, it stands {stands}");
    assert!(
        sent > 0.1 * stands,
        "{sent} sends leave it idle, it stands {stands}"
    );
}

/// What a fleet of its own, played against one gateway, has seen: each query's end, and who got what when.
#[derive(Default)]
struct Played {
    ends: std::collections::BTreeMap<QueryId, u32>,
    sent: Vec<(f64, String)>,
    served: u32,
}

/// One query each 10 ms for `steps`, each needing 100 ms of work; `answers` says how an attempt ends after 40 ms.
fn play(g: &mut Gateway, steps: u64, answers: impl Fn(f64, &str) -> Outcome) -> Played {
    let mut p = Played::default();
    let mut out: Vec<(f64, QueryId, u32, String)> = vec![];
    let mut tries = std::collections::BTreeMap::<QueryId, u32>::new();
    let first = g.now as QueryId * 1000;
    for step in 0..steps + 100 {
        let mut todo = g.pass(10.0);
        if step < steps {
            todo.extend(g.take(Query {
                work: Some(100.0),
                time_left: 600.0,
                ..query(first + step, 0)
            }));
        }
        loop {
            for (id, engine) in sends(&todo) {
                p.sent.push((g.now, engine.clone()));
                let attempt = tries.entry(id).or_default();
                out.push((g.now + 40.0, id, *attempt, engine));
                *attempt += 1;
            }
            finals(&todo)
                .into_iter()
                .for_each(|id| *p.ends.entry(id).or_default() += 1);
            todo.clear();
            let Some(i) = out.iter().position(|o| o.0 <= g.now) else {
                break;
            };
            let (_, id, attempt, engine) = out.swap_remove(i);
            let outcome = answers(g.now, &engine);
            if outcome == Outcome::Served {
                *p.ends.entry(id).or_default() += 1;
                p.served += 1;
            }
            todo = g.end(id, attempt, outcome);
        }
    }
    assert_eq!(p.ends.len() as u64, steps, "every query came to an end");
    assert!(
        p.ends.values().all(|n| *n == 1),
        "one final answer each: {:?}",
        p.ends
    );
    p
}

/// Most work that was sent to one engine in any window of the settings.
fn most_in_a_window(p: &Played, engine: &str, window: f64) -> f64 {
    let of: Vec<f64> = p
        .sent
        .iter()
        .filter(|s| s.1 == engine)
        .map(|s| s.0)
        .collect();
    let from = |t: &f64| of.iter().filter(|u| *u >= t && **u < t + window).count();
    of.iter().map(from).max().unwrap_or(0) as f64 * 100.0
}

#[test]
fn all_warming_engines_are_used_to_their_limit_and_every_query_is_answered() {
    let mut s = one_of(1, false);
    s.kinds[0].cores = 2.0;
    let r = s.rules.clone();
    let cold = |i| EngineEntry {
        started: Some(1000.0),
        ..entry(&format!("e{i}"))
    };
    let mut g = Gateway::new(s, (0..3).map(cold).collect());
    let p = play(&mut g, 150, |_, _| Outcome::Served);
    for e in ["e0", "e1", "e2"] {
        let able = r.initial_warm_up_capacity
            + (1.0 - r.initial_warm_up_capacity) * 1500.0 / r.warm_up_period;
        let (most, bound) = (
            most_in_a_window(&p, e, r.overload_window),
            r.overload_multiple * able * 2.0 * 1500.0,
        );
        assert!(most <= bound, "{e}: {most} of {bound}");
        assert!(
            most > 0.5 * bound,
            "{e} is cold, not closed: {most} of {bound}"
        );
    }
    assert!(
        p.served >= 60 && p.ends.len() as u32 > p.served,
        "{} served, the rest refused",
        p.served
    );
}

#[test]
fn full_fleet_replacement_uses_only_the_new_engines() {
    let mut g = Gateway::new(one_of(1, false), fleet(4));
    play(&mut g, 40, |_, _| Outcome::Served);
    // Queries are out on the old ones when they go: their connections break with them.
    let held: Vec<QueryId> = (1..=6).collect();
    let out: Vec<_> = held
        .iter()
        .flat_map(|&id| sends(&g.take(query(id, 0))))
        .collect();
    assert_eq!(out.len(), 6);
    let at = g.now;
    let gone = fleet(4).into_iter().map(|e| EngineEntry {
        state: EngineState::Gone,
        ..e
    });
    let new = (0..4).map(|i| EngineEntry {
        started: Some(at),
        ..entry(&format!("new{i}"))
    });
    let mut again = g.does(Event::EngineList {
        update: ListUpdate::Patch,
        entries: gone.chain(new).collect(),
    });
    held.iter()
        .for_each(|&id| again.extend(g.end(id, 0, Outcome::Reset)));
    again.extend(g.pass(100.0));
    let moved = sends(&again);
    assert_eq!(
        moved.len(),
        6,
        "what is harmless to repeat goes on: {again:?}"
    );
    assert!(moved.iter().all(|(_, e)| e.starts_with("new")), "{moved:?}");
    held.iter()
        .for_each(|&id| drop(g.end(id, 1, Outcome::Served)));
    let p = play(&mut g, 100, |_, _| Outcome::Served);
    assert!(p.sent.iter().all(|(_, e)| e.starts_with("new")));
    assert!(p.served > 80, "{} of 100", p.served);
}

#[test]
fn engine_out_of_connections_is_retried_once_a_second_and_loses_no_query() {
    let mut asked = 0;
    for seed in 0..30 {
        let mut g = Gateway::seeded(one_of(30, false), fleet(6), seed);
        let p = play(&mut g, 500, |_, e| {
            if e == "e0" {
                Outcome::Unreachable
            } else {
                Outcome::Served
            }
        });
        assert_eq!(
            p.served, 500,
            "gateway {seed}: the next engine serves what was refused"
        );
        let at: Vec<f64> = p.sent.iter().filter(|s| s.1 == "e0").map(|s| s.0).collect();
        // One is at work on the connection while others may be sent: a try is what begins a second later.
        let rounds = at
            .iter()
            .zip(std::iter::once(&f64::MIN).chain(&at))
            .filter(|(t, u)| **t > **u + 900.0);
        assert!(
            rounds.count() <= 6 && at.len() <= 30,
            "gateway {seed}: {} connections in 5 s",
            at.len()
        );
        asked += at.len();
    }
    assert!(asked > 0, "nobody met it: the test tells nothing");
}

#[test]
fn duplicate_or_unknown_list_entries_change_nothing() {
    let mut g = Gateway::new(one_of(1, false), fleet(3));
    let out = sends(&g.take(query(1, 0)));
    for update in [ListUpdate::Patch, ListUpdate::Snapshot, ListUpdate::Patch] {
        let repeated = g.does(Event::EngineList {
            update,
            entries: fleet(3),
        });
        assert_eq!(
            (sends(&repeated), finals(&repeated)),
            (vec![], vec![]),
            "what is out stays out"
        );
    }
    let gone = EngineEntry {
        state: EngineState::Gone,
        ..entry("never")
    };
    g.does(Event::EngineList {
        update: ListUpdate::Patch,
        entries: vec![gone.clone(), gone],
    });
    let p = play(&mut g, 60, |_, _| Outcome::Served);
    assert!(p.sent.iter().all(|(_, e)| e != "never"));
    assert_eq!((out.len(), p.served), (1, 60));
    // The id of one that has gone comes back as a new process: it is cold, and what was known of it is forgotten.
    let gone = EngineEntry {
        state: EngineState::Gone,
        ..entry("e0")
    };
    g.does(Event::EngineList {
        update: ListUpdate::Patch,
        entries: vec![gone],
    });
    let new = EngineEntry {
        started: Some(g.now),
        ..entry("e0")
    };
    g.does(Event::EngineList {
        update: ListUpdate::Patch,
        entries: vec![new],
    });
    let p = play(&mut g, 100, |_, _| Outcome::Served);
    let r = settings(vec![class(1.0, 1.0)]).rules;
    let bound = r.overload_multiple
        * (r.initial_warm_up_capacity + 0.7 * 1500.0 / r.warm_up_period)
        * 8.0
        * r.overload_window;
    assert!(most_in_a_window(&p, "e0", r.overload_window) <= bound);
}

/// Its failures and its crowd were true half a minute ago; nobody has met it since.
#[test]
fn rarely_used_engine_is_not_evaluated_by_old_observations() {
    let mut g = Gateway::new(one_of(1, false), fleet(2));
    let p = play(&mut g, 60, |_, e| {
        if e == "e0" {
            Outcome::Error
        } else {
            Outcome::Served
        }
    });
    assert!(
        p.sent.iter().filter(|s| s.1 == "e0").count() < 30,
        "left while it fails"
    );
    g.does(answer("e0", 60.0));
    g.pass(30_000.0);
    let p = play(&mut g, 100, |_, _| Outcome::Served);
    let of = p.sent.iter().filter(|s| s.1 == "e0").count();
    assert!(of >= 25, "{of} of {} half a minute later", p.sent.len());
}
