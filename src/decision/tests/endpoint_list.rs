//! Tests of the endpoint list over a long time.

use super::{controller, entry, handle, list, query};
use crate::decision::model::Event;

/// Guards against unbounded growth of the endpoint list: in a long run with new engine ids all the
/// time, engines that were gone were kept and searched forever.
#[test]
fn the_index_of_an_engine_that_is_gone_is_reused_once_no_query_refers_to_it() {
    let mut controller = controller();
    handle(&mut controller, 2.0, Event::Query(query(1)));
    for number in 1..100 {
        let entries = vec![entry(&format!("n{number}"), None)];
        list(&mut controller, 3.0, entries);
    }
    let engines = &controller.state.engines;
    assert!(
        engines.indices().len() <= 3 && engines.name_count() <= 3,
        "{} engines are kept",
        engines.indices().len()
    );
    let engine = controller.state.requests[&1].attempts[0].engine;
    assert_eq!(
        engines[engine].in_flight.len(),
        1,
        "the engine with a query in flight is kept"
    );
}
