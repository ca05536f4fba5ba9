//! Property test: the dispatch rules hold in random valid sequences of events, as far as an outside
//! observer can check them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(
    clippy::too_many_lines,
    reason = "the scenario is not split into steps"
)]

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use query_dispatcher::*;
use std::collections::BTreeMap;

/// State of a query as an outside observer knows it.
struct ObservedQuery {
    class: ClassId,
    key: Option<String>,
    deadline: f64,
    finished: bool,
    /// Number, engine and start time of each attempt in flight.
    attempts_in_flight: Vec<(u32, String, f64)>,
    attempts: u32,
    /// Time and cell of the first attempt that may have run.
    first_run: Option<(f64, i64)>,
}

/// Deduplication window of the keyed class, ms.
const KEYED_WINDOW: f64 = 800.0;
/// Window of the retry budget, ms.
const RETRY_BUDGET_SPAN: f64 = 3000.0;

fn scenario_settings() -> Settings {
    let keyed = Idempotency::Keyed {
        group: DeduplicationScope::Cell,
        window: KEYED_WINDOW,
    };
    let mut settings = test_settings(vec![
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
    // The dispatcher's share of a thread budget is below one query, so that pairs are probed.
    (settings.dispatchers, settings.limits.probes) = (50, true);
    // With the full initial capacity, engines that are warming up still get random admissions.
    settings.rules.initial_warm_up_capacity = 1.0;
    settings.rules.retry_budget = Some(RetryBudget {
        min_retries: 2.0,
        retry_ratio: 0.3,
        window: RETRY_BUDGET_SPAN,
    });
    settings
}

fn engine(index: u8, state: EngineState, started: Option<f64>) -> EngineEntry {
    let index = index % 5;
    EngineEntry {
        state,
        started,
        kind: Some(usize::from(index % 2)),
        zone: Some(usize::from(index / 3)),
        cell: i64::from(index / 2),
        ..engine_entry(&format!("e{index}"))
    }
}

fn run_steps(steps: &[(u8, u8, u16)]) -> Result<Vec<Action>, TestCaseError> {
    let settings = scenario_settings();
    let mut controller = TestController::new(
        settings.clone(),
        (0..5)
            .map(|i| engine(i, EngineState::Ready, None))
            .collect(),
    );
    let mut queries: BTreeMap<QueryId, ObservedQuery> = BTreeMap::new();
    let mut states: BTreeMap<String, EngineEntry> = (0..5)
        .map(|i| (format!("e{i}"), engine(i, EngineState::Ready, None)))
        .collect();
    let (mut arrivals, mut retries): (Vec<f64>, Vec<f64>) = (vec![], vec![]);
    let mut quiet_until: BTreeMap<String, (QueryId, f64)> = BTreeMap::new();
    let mut all_actions = vec![];
    let mut next = 0;
    for &(kind, selector, variation) in steps {
        controller.now += f64::from(variation % 50);
        let expired: Vec<(QueryId, u32)> = queries
            .iter()
            .flat_map(|(&id, observed)| {
                observed
                    .attempts_in_flight
                    .iter()
                    .map(move |(a, _, _)| (id, *a, observed.deadline))
            })
            .filter(|(_, _, d)| *d <= controller.now)
            .map(|(id, a, _)| (id, a))
            .collect();
        let mut events: Vec<Event> = vec![];
        for (id, attempt) in expired {
            let last = queries[&id].finished;
            events.push(Event::AttemptEnded(Ended {
                last,
                ..attempt_ended(id, attempt, Outcome::TimedOut)
            }));
        }
        let in_flight: Vec<(QueryId, u32)> = queries
            .iter()
            .filter(|(_, observed)| observed.deadline > controller.now)
            .flat_map(|(&id, observed)| {
                observed
                    .attempts_in_flight
                    .iter()
                    .map(move |(a, _, _)| (id, *a))
            })
            .collect();
        match kind % 7 {
            0 | 1 => {
                let class = usize::from(selector % 4);
                let key = (class == 3).then(|| format!("k{}", selector / 4 % 2));
                let arrival = Query {
                    key,
                    time_left: f64::from(variation % 3000) + 1.0,
                    work: [None, Some(f64::NAN), Some(100.0), Some(1e300)]
                        [usize::from(variation % 4)],
                    ..query(next, class)
                };
                next += 1;
                arrivals.push(controller.now);
                let deadline = controller.now + arrival.time_left;
                let new_entry = ObservedQuery {
                    class,
                    key: arrival.key.clone(),
                    deadline,
                    finished: false,
                    attempts_in_flight: vec![],
                    attempts: 0,
                    first_run: None,
                };
                queries.insert(arrival.id, new_entry);
                events.push(Event::Query(arrival));
            }
            2 | 3 if !in_flight.is_empty() => {
                let (id, attempt) = in_flight[usize::from(selector) % in_flight.len()];
                let outcome = [
                    Outcome::Served,
                    Outcome::Served,
                    Outcome::Error,
                    Outcome::Rejected,
                    Outcome::Unreachable,
                    Outcome::Reset,
                ][usize::from(variation % 6)];
                let last = outcome == Outcome::Served || queries[&id].finished;
                events.push(Event::AttemptEnded(Ended {
                    last,
                    work: Some(120.0),
                    report: vec![f64::from(selector), 0.5],
                    ..attempt_ended(id, attempt, outcome)
                }));
            }
            4 => {
                let state = [EngineState::Ready, EngineState::Draining, EngineState::Gone]
                    [usize::from(variation % 3)];
                let changed = engine(
                    selector,
                    state,
                    (variation % 5 == 0).then_some(controller.now),
                );
                events.push(Event::EngineList {
                    update: ListUpdate::Patch,
                    entries: vec![changed],
                });
            }
            5 => {
                let id = u64::from(selector);
                // Events that have to be ignored: unknown ids, attempts that were never started, and
                // finished queries.
                events.push(match variation % 3 {
                    0 => Event::AttemptEnded(attempt_ended(id + 100_000, 3, Outcome::Served)),
                    1 => Event::Progress {
                        id,
                        attempt: 9,
                        note: ProgressNote::Completed(f64::NAN),
                    },
                    _ => Event::ClientDisconnected(id),
                });
            }
            6 => {
                // Load reports, whether probed for or not: from unknown engines, malformed, failed, or of
                // any load.
                let report = [
                    vec![],
                    vec![f64::NAN, 0.1],
                    vec![f64::from(selector), 0.4],
                    vec![-1.0],
                ];
                events.push(Event::EngineReport {
                    engine: format!("e{}", selector % 7),
                    outcome: [Outcome::Served, Outcome::Unreachable, Outcome::Rejected]
                        [usize::from(variation % 3)],
                    report: report[usize::from(variation % 4)].clone(),
                });
            }
            _ => {}
        }
        events.push(Event::Timer(0));
        for event in events {
            match &event {
                Event::EngineList { entries, .. } => {
                    states.extend(
                        entries
                            .iter()
                            .map(|changed| (changed.engine.clone(), changed.clone())),
                    );
                }
                Event::ClientDisconnected(id) => {
                    if let Some(observed) = queries.get_mut(id) {
                        observed.finished = true;
                    }
                }
                _ => {}
            }
            if let Event::AttemptEnded(ending) = &event
                && let Some(observed) = queries.get_mut(&ending.id)
            {
                let never_ran = matches!(ending.outcome, Outcome::Rejected | Outcome::Unreachable);
                if let Some(position) = observed
                    .attempts_in_flight
                    .iter()
                    .position(|(a, _, _)| *a == ending.attempt)
                {
                    let (_, name, sent) = observed.attempts_in_flight.remove(position);
                    if !never_ran && observed.first_run.is_none() {
                        observed.first_run = Some((sent, states[&name].cell));
                    }
                    if let (Some(key), false, true) =
                        (&observed.key, never_ran, ending.outcome != Outcome::Served)
                    {
                        quiet_until.insert(
                            key.clone(),
                            (
                                ending.id,
                                controller.now + settings.rules.order_quiet_period,
                            ),
                        );
                    }
                }
                observed.finished |= ending.last;
            }
            let actions = controller.handle(event);
            for action in &actions {
                match action {
                    Action::Send { id, engine, .. } => {
                        let observed = &queries[id];
                        let class_settings = &settings.classes[observed.class];
                        let target = &states[engine];
                        prop_assert!(
                            !observed.finished && controller.now < observed.deadline,
                            "an attempt was sent after the final answer or the deadline"
                        );
                        prop_assert!(
                            observed.attempts_in_flight.is_empty(),
                            "two attempts are in flight"
                        );
                        prop_assert!(observed.attempts < settings.limits.max_attempts);
                        prop_assert_eq!(target.state, EngineState::Ready);
                        prop_assert!(
                            class_settings
                                .allowed_kinds
                                .as_ref()
                                .is_none_or(|k| k.contains(&target.kind.unwrap()))
                        );
                        prop_assert!(
                            class_settings
                                .allowed_zones
                                .as_ref()
                                .is_none_or(|z| z.contains(&target.zone.unwrap()))
                        );
                        if let Some((sent, cell)) = observed.first_run {
                            prop_assert!(
                                class_settings.idempotency != Idempotency::NonIdempotent,
                                "an effect may happen twice"
                            );
                            if let Idempotency::Keyed { .. } = class_settings.idempotency {
                                prop_assert!(
                                    controller.now < sent + KEYED_WINDOW && target.cell == cell
                                );
                            }
                        }
                        if let Some(key) = &observed.key {
                            for (&other, earlier) in queries.range(..*id) {
                                let same = earlier.key.as_ref() == Some(key);
                                let free =
                                    earlier.finished && earlier.attempts_in_flight.is_empty();
                                prop_assert!(
                                    !same || free,
                                    "query {other} of the same key has not finished"
                                );
                            }
                            let (by, until) = quiet_until.get(key).copied().unwrap_or((*id, 0.0));
                            prop_assert!(
                                by == *id || controller.now >= until,
                                "an attempt was sent in the quiet period of its key"
                            );
                        }
                        if observed.attempts > 0 {
                            retries.push(controller.now);
                            let used = retries
                                .iter()
                                .filter(|t| **t >= controller.now - RETRY_BUDGET_SPAN)
                                .count() as f64;
                            let base = arrivals
                                .iter()
                                .filter(|t| **t > controller.now - RETRY_BUDGET_SPAN)
                                .count() as f64;
                            prop_assert!(used <= 2.0 + 0.3 * base, "the retry budget was exceeded");
                        }
                        let observed = queries.get_mut(id).unwrap();
                        observed.attempts_in_flight.push((
                            observed.attempts,
                            engine.clone(),
                            controller.now,
                        ));
                        observed.attempts += 1;
                    }
                    Action::Refuse { id, .. } | Action::Fail { id } => {
                        let observed = queries.get_mut(id).unwrap();
                        prop_assert!(!observed.finished, "a query got a second final answer");
                        if matches!(action, Action::Refuse { .. }) {
                            let safe = settings.classes[observed.class].idempotency
                                == Idempotency::Idempotent;
                            prop_assert!(
                                safe || observed.first_run.is_none(),
                                "a query was refused although a retry is not safe"
                            );
                        }
                        observed.finished = true;
                    }
                    _ => {}
                }
            }
            all_actions.extend(actions);
        }
        for (id, observed) in &queries {
            let answered = observed.finished
                || controller.now <= observed.deadline + settings.rules.answer_grace + 50.0
                || !observed.attempts_in_flight.is_empty();
            prop_assert!(answered, "query {} got no final answer in time", id);
        }
    }
    Ok(all_actions)
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
            let first = run_steps(&steps)?;
            prop_assert!(
                first == run_steps(&steps)?,
                "the decisions differ between two runs"
            );
            Ok(())
        })
        .unwrap();
}
