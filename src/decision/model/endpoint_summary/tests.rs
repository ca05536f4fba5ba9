//! Compares the summary and the order that are updated incrementally with ones computed from
//! scratch.

use super::{EndpointSummary, PreferenceOrder};
use crate::decision::model::endpoint_list::EndpointList;
use crate::decision::model::{EngineEntry, EngineState, ListUpdate};
use crate::decision::tests::{entry, settings};

const ZONE: Option<usize> = Some(1);
const SALT: u64 = 77;

fn random_entry(random: &mut oorandom::Rand64) -> EngineEntry {
    let state = match random.rand_range(0..4) {
        0 => EngineState::Draining,
        1 => EngineState::Gone,
        _ => EngineState::Ready,
    };
    let started = random.rand_range(0..3) == 0;
    EngineEntry {
        state,
        zone: Some(random.rand_range(0..3) as usize),
        started: started.then(|| random.rand_range(0..100) as f64),
        ..entry(&format!("e{}", random.rand_range(0..200)), None)
    }
}

/// Asserts that all aggregates of the list equal those of a full pass over its engines.
fn assert_up_to_date(list: &EndpointList) {
    let engines: Vec<_> = list.indices().map(|index| &list[index]).collect();
    let ready: Vec<usize> = list
        .indices()
        .filter(|&index| engines[index].is_ready())
        .collect();
    assert_eq!(list.ready_indices(), ready);
    let zones: std::collections::BTreeSet<_> = ready.iter().map(|&i| engines[i].zone).collect();
    assert!(list.ready_zones().eq(zones));
    let zones: std::collections::BTreeSet<_> = engines.iter().map(|engine| engine.zone).collect();
    assert_eq!(list.zone_count(), zones.len());
    let budget: f64 = ready
        .iter()
        .map(|&index| engines[index].thread_budget)
        .sum();
    assert!((list.thread_budget() - budget).abs() < 1e-6);
    let mut order = ready.clone();
    order.sort_by_key(|&index| {
        (
            engines[index].zone != ZONE,
            engines[index].rank(SALT),
            index,
        )
    });
    let own: Vec<usize> = list.in_preference_order(ZONE, SALT, f64::MAX, 0).collect();
    assert_eq!(own, order);
    let mut ranks: Vec<u64> = ready.iter().map(|&index| engines[index].rank(5)).collect();
    ranks.sort_unstable();
    let below = ranks
        .iter()
        .filter(|rank| **rank < list.median_rank(5))
        .count();
    let tolerance = ranks.len() / 64 + 1;
    assert!(
        below.abs_diff(ranks.len() / 2) <= tolerance,
        "{below} of {} are below the median",
        ranks.len()
    );
}

#[test]
fn incremental_changes_match_a_computation_from_scratch() {
    for seed in 0..20 {
        let mut random = oorandom::Rand64::new(seed);
        let mut list = EndpointList::default();
        for step in 0..400 {
            let (update, count) = match random.rand_range(0..100) {
                0 => (ListUpdate::Snapshot, 150),
                _ => (ListUpdate::Patch, 1 + random.rand_range(0..3)),
            };
            let entries = (0..count).map(|_| random_entry(&mut random)).collect();
            let referenced = random.rand_range(0..200) as usize;
            list.apply(update, entries, &settings(), |index| index == referenced);
            if step % 3 == 0 {
                assert_up_to_date(&list);
            }
        }
    }
}

#[test]
fn removing_an_engine_and_adding_it_back_changes_nothing() {
    let mut list = EndpointList::default();
    let entries = (0..40).map(|number| entry(&format!("e{number}"), None));
    list.apply(ListUpdate::Snapshot, entries.collect(), &settings(), |_| {
        false
    });
    let engines: Vec<_> = list
        .iter_mut()
        .map(|engine| {
            std::mem::replace(
                engine,
                crate::decision::model::endpoint::Engine::new(&entry("x", None), &settings()),
            )
        })
        .collect();
    let mut summary = EndpointSummary::new(&engines);
    let mut order = PreferenceOrder::new(ZONE, SALT, summary.ready(), &engines);
    let before = (summary.ready().to_vec(), order.as_slice().to_vec());
    for index in [0, 17, 39] {
        summary.remove(index, &engines[index]);
        order.remove(index, &engines);
        assert!(!summary.ready().contains(&index) && !order.as_slice().contains(&index));
        summary.add(index, &engines[index]);
        order.add(index, &engines);
    }
    let after = (summary.ready().to_vec(), order.as_slice().to_vec());
    assert_eq!(after, before);
}
