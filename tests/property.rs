//! Random legal event sequences: what can be checked from outside holds for every one.

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use query_dispatcher::*;
use std::collections::BTreeMap;

/// What an outside observer knows of a query.
struct Seen {
    class: ClassId,
    key: Option<String>,
    deadline: f64,
    over: bool,
    out: Vec<(u32, String, f64)>,
    attempts: u32,
    first_run: Option<(f64, i64)>,
}

const KEYED_WINDOW: f64 = 800.0;
const SPAN: f64 = 3000.0;

fn world() -> Settings {
    let keyed = Idempotency::Keyed {
        group: DeduplicationScope::Cell,
        window: KEYED_WINDOW,
    };
    let mut s = settings(vec![
        class(1.0, 500.0),
        Class {
            idempotency: Idempotency::NonIdempotent,
            threads: 2.0,
            ..class(5.0, 2000.0)
        },
        Class {
            idempotency: keyed,
            allowed_kinds: Some(vec![1]),
            ..class(2.0, 800.0)
        },
        Class {
            in_order: true,
            allowed_zones: Some(vec![0]),
            ..class(3.0, 900.0)
        },
    ]);
    // Our part of a budget is below one query, so that pairs are probed.
    (s.dispatchers, s.limits.probes) = (50, true);
    s.rules.initial_warm_up_capacity = 1.0; // and cold engines still get their draws
    s.rules.retry_budget = Some(RetryBudget {
        min_retries: 2.0,
        retry_ratio: 0.3,
        window: SPAN,
    });
    s
}

fn engine(i: u8, state: EngineState, started: Option<f64>) -> EngineEntry {
    let i = i % 5;
    EngineEntry {
        state,
        started,
        kind: Some(usize::from(i % 2)),
        zone: Some(usize::from(i / 3)),
        cell: i64::from(i / 2),
        ..entry(&format!("e{i}"))
    }
}

fn play(steps: &[(u8, u8, u16)]) -> Result<Vec<Action>, TestCaseError> {
    let s = world();
    let mut g = Gateway::new(
        s.clone(),
        (0..5)
            .map(|i| engine(i, EngineState::Ready, None))
            .collect(),
    );
    let mut seen: BTreeMap<QueryId, Seen> = BTreeMap::new();
    let mut states: BTreeMap<String, EngineEntry> = (0..5)
        .map(|i| (format!("e{i}"), engine(i, EngineState::Ready, None)))
        .collect();
    let (mut taken, mut further): (Vec<f64>, Vec<f64>) = (vec![], vec![]);
    let mut rests: BTreeMap<String, (QueryId, f64)> = BTreeMap::new();
    let mut all = vec![];
    let mut next = 0;
    for &(kind, pick, x) in steps {
        g.now += f64::from(x % 50);
        let due: Vec<(QueryId, u32)> = seen
            .iter()
            .flat_map(|(&id, q)| q.out.iter().map(move |(a, _, _)| (id, *a, q.deadline)))
            .filter(|(_, _, d)| *d <= g.now)
            .map(|(id, a, _)| (id, a))
            .collect();
        let mut events: Vec<Event> = vec![];
        for (id, attempt) in due {
            let last = seen[&id].over;
            events.push(Event::AttemptEnded(Ended {
                last,
                ..ended(id, attempt, Outcome::TimedOut)
            }));
        }
        let flying: Vec<(QueryId, u32)> = seen
            .iter()
            .filter(|(_, q)| q.deadline > g.now)
            .flat_map(|(&id, q)| q.out.iter().map(move |(a, _, _)| (id, *a)))
            .collect();
        match kind % 7 {
            0 | 1 => {
                let class = usize::from(pick % 4);
                let key = (class == 3).then(|| format!("k{}", pick / 4 % 2));
                let q = Query {
                    key,
                    time_left: f64::from(x % 3000) + 1.0,
                    work: [None, Some(f64::NAN), Some(100.0), Some(1e300)][usize::from(x % 4)],
                    ..query(next, class)
                };
                next += 1;
                taken.push(g.now);
                let deadline = g.now + q.time_left;
                let entry = Seen {
                    class,
                    key: q.key.clone(),
                    deadline,
                    over: false,
                    out: vec![],
                    attempts: 0,
                    first_run: None,
                };
                seen.insert(q.id, entry);
                events.push(Event::Query(q));
            }
            2 | 3 if !flying.is_empty() => {
                let (id, attempt) = flying[usize::from(pick) % flying.len()];
                let outcome = [
                    Outcome::Served,
                    Outcome::Served,
                    Outcome::Error,
                    Outcome::Rejected,
                    Outcome::Unreachable,
                    Outcome::Reset,
                ][usize::from(x % 6)];
                let last = outcome == Outcome::Served || seen[&id].over;
                events.push(Event::AttemptEnded(Ended {
                    last,
                    work: Some(120.0),
                    report: vec![f64::from(pick), 0.5],
                    ..ended(id, attempt, outcome)
                }));
            }
            4 => {
                let state = [EngineState::Ready, EngineState::Draining, EngineState::Gone]
                    [usize::from(x % 3)];
                let e = engine(pick, state, (x % 5 == 0).then_some(g.now));
                events.push(Event::EngineList {
                    update: ListUpdate::Patch,
                    entries: vec![e],
                });
            }
            5 => {
                let id = u64::from(pick);
                // Odd but harmless: unknown ids, attempts never made, queries long over.
                events.push(match x % 3 {
                    0 => Event::AttemptEnded(ended(id + 100_000, 3, Outcome::Served)),
                    1 => Event::Progress {
                        id,
                        attempt: 9,
                        note: ProgressNote::Completed(f64::NAN),
                    },
                    _ => Event::ClientDisconnected(id),
                });
            }
            6 => {
                // Answers of probes, asked or not: unknown engines, garbage, failures, crowds.
                let report = [
                    vec![],
                    vec![f64::NAN, 0.1],
                    vec![f64::from(pick), 0.4],
                    vec![-1.0],
                ];
                events.push(Event::EngineReport {
                    engine: format!("e{}", pick % 7),
                    outcome: [Outcome::Served, Outcome::Unreachable, Outcome::Rejected]
                        [usize::from(x % 3)],
                    report: report[usize::from(x % 4)].clone(),
                });
            }
            _ => {}
        }
        events.push(Event::Timer(0));
        for event in events {
            match &event {
                Event::EngineList { entries, .. } => {
                    states.extend(entries.iter().map(|e| (e.engine.clone(), e.clone())));
                }
                Event::ClientDisconnected(id) => {
                    if let Some(q) = seen.get_mut(id) {
                        q.over = true;
                    }
                }
                _ => {}
            }
            if let Event::AttemptEnded(e) = &event
                && let Some(q) = seen.get_mut(&e.id)
            {
                let proven = matches!(e.outcome, Outcome::Rejected | Outcome::Unreachable);
                if let Some(k) = q.out.iter().position(|(a, _, _)| *a == e.attempt) {
                    let (_, name, sent) = q.out.remove(k);
                    if !proven && q.first_run.is_none() {
                        q.first_run = Some((sent, states[&name].cell));
                    }
                    if let (Some(key), false, true) = (&q.key, proven, e.outcome != Outcome::Served)
                    {
                        rests.insert(key.clone(), (e.id, g.now + s.rules.order_quiet_period));
                    }
                }
                q.over |= e.last;
            }
            let actions = g.does(event);
            for a in &actions {
                match a {
                    Action::Send { id, engine, .. } => {
                        let q = &seen[id];
                        let c = &s.classes[q.class];
                        let e = &states[engine];
                        prop_assert!(!q.over && g.now < q.deadline, "sent after the end");
                        prop_assert!(q.out.is_empty(), "two attempts out");
                        prop_assert!(q.attempts < s.limits.max_attempts);
                        prop_assert_eq!(e.state, EngineState::Ready);
                        prop_assert!(
                            c.allowed_kinds
                                .as_ref()
                                .is_none_or(|k| k.contains(&e.kind.unwrap()))
                        );
                        prop_assert!(
                            c.allowed_zones
                                .as_ref()
                                .is_none_or(|z| z.contains(&e.zone.unwrap()))
                        );
                        if let Some((sent, cell)) = q.first_run {
                            prop_assert!(
                                c.idempotency != Idempotency::NonIdempotent,
                                "an effect may happen twice"
                            );
                            if let Idempotency::Keyed { .. } = c.idempotency {
                                prop_assert!(g.now < sent + KEYED_WINDOW && e.cell == cell);
                            }
                        }
                        if let Some(key) = &q.key {
                            for (&other, o) in seen.range(..*id) {
                                let same = o.key.as_ref() == Some(key);
                                let free = o.over && o.out.is_empty();
                                prop_assert!(!same || free, "{other} of the same key is not over");
                            }
                            let (by, until) = rests.get(key).copied().unwrap_or((*id, 0.0));
                            prop_assert!(by == *id || g.now >= until, "the key rests");
                        }
                        if q.attempts > 0 {
                            further.push(g.now);
                            let used =
                                further.iter().filter(|t| **t >= g.now - SPAN).count() as f64;
                            let base = taken.iter().filter(|t| **t > g.now - SPAN).count() as f64;
                            prop_assert!(used <= 2.0 + 0.3 * base, "over the ration");
                        }
                        let q = seen.get_mut(id).unwrap();
                        q.out.push((q.attempts, engine.clone(), g.now));
                        q.attempts += 1;
                    }
                    Action::Refuse { id, .. } | Action::Fail { id } => {
                        let q = seen.get_mut(id).unwrap();
                        prop_assert!(!q.over, "a second final answer");
                        if matches!(a, Action::Refuse { .. }) {
                            let safe = s.classes[q.class].idempotency == Idempotency::Idempotent;
                            prop_assert!(
                                safe || q.first_run.is_none(),
                                "a refusal that promises too much"
                            );
                        }
                        q.over = true;
                    }
                    _ => {}
                }
            }
            all.extend(actions);
        }
        for (id, q) in &seen {
            let answered =
                q.over || g.now <= q.deadline + s.rules.answer_grace + 50.0 || !q.out.is_empty();
            prop_assert!(answered, "query {} was lost", id);
        }
    }
    Ok(all)
}

#[test]
fn rules_hold_and_decisions_are_deterministic_for_random_events() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = prop::collection::vec((any::<u8>(), any::<u8>(), any::<u16>()), 1..250);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let first = play(&steps)?;
            prop_assert!(first == play(&steps)?, "not the same twice");
            Ok(())
        })
        .unwrap();
}
