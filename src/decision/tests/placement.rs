//! The choice among many engines.

use super::{controller, entry, handle, list, query};
use crate::decision::Controller;
use crate::decision::model::{Action, Event};
use crate::decision::placement::CHOICE_SIZE;
use std::ops::Range;

/// Sends queries and counts those that went to the engine "new".
fn count_new(controller: &mut Controller, ids: Range<u64>, work: f64) -> usize {
    let is_new =
        |action: &&Action| matches!(action, Action::Send { engine, .. } if engine == "new");
    let mut count = 0;
    for id in ids {
        let mut query = query(id);
        query.work = Some(work);
        let actions = handle(controller, 5000.0, Event::Query(query));
        count += actions.iter().filter(is_new).count();
    }
    count
}

/// Seen when half of the engines were replaced: every dispatcher knew four others with capacity, so
/// that none chose a warming one that its random admission allowed. Those were nearly idle while
/// the others ran out of memory.
#[test]
fn a_warming_engine_that_may_be_used_is_among_those_chosen_though_enough_others_are_known() {
    let mut controller = controller();
    let known = (0..2 * CHOICE_SIZE).map(|number| entry(&format!("met{number}"), None));
    let entries = known.chain([entry("new", Some(4000.0))]).collect();
    list(&mut controller, 5000.0, entries);
    for engine in controller.state.engines.iter_mut() {
        if engine.started.is_none() {
            engine.last_response = 4900.0;
        }
    }
    let new = count_new(&mut controller, 0..20, 10.0);
    assert!(
        (2..10).contains(&new),
        "{new} of 20 went to it: one of several"
    );
    assert_eq!(
        count_new(&mut controller, 20..40, 1e6),
        0,
        "none that is beyond its budget"
    );
}
