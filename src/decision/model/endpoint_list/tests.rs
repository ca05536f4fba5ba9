use super::*;
use crate::decision::tests::{entry, settings};

fn apply(list: &mut EndpointList, update: ListUpdate, entries: Vec<EngineEntry>) {
    list.apply(update, entries, &settings(), |index| index == 0);
}

#[test]
fn a_snapshot_removes_what_it_does_not_list_and_a_patch_does_not() {
    let mut list = EndpointList::default();
    let entries = vec![entry("a", None), entry("b", None)];
    apply(&mut list, ListUpdate::Snapshot, entries);
    apply(&mut list, ListUpdate::Patch, vec![entry("b", None)]);
    assert_eq!(list.ready().count(), 2);
    apply(&mut list, ListUpdate::Snapshot, vec![entry("b", None)]);
    assert_eq!(list.ready().count(), 1);
    assert_eq!(list[list.find("a").unwrap()].state, EngineState::Gone);
}

#[test]
fn an_index_is_reused_unless_a_request_refers_to_it() {
    let mut list = EndpointList::default();
    let entries = vec![entry("a", None), entry("b", None)];
    apply(&mut list, ListUpdate::Snapshot, entries);
    let entries = vec![entry("c", None), entry("d", None)];
    apply(&mut list, ListUpdate::Snapshot, entries);
    assert_eq!(list.find("a"), Some(0), "a request refers to it");
    assert_eq!(list.find("b"), None);
    assert_eq!(list.find("c"), Some(1));
    assert_eq!(list.find("d"), Some(2));
}

#[test]
fn a_restart_resets_an_engine_but_keeps_its_slow_start_usage() {
    let mut list = EndpointList::default();
    apply(&mut list, ListUpdate::Snapshot, vec![entry("a", Some(1.0))]);
    list[0].full_until = 9.0;
    list[0].slow_start_usage.record(1.0, 100.0, 5.0, 1.0);
    apply(&mut list, ListUpdate::Patch, vec![entry("a", None)]);
    assert_eq!(list[0].full_until, 9.0, "an unknown start is no restart");
    apply(&mut list, ListUpdate::Patch, vec![entry("a", Some(2.0))]);
    assert_eq!(list[0].full_until, f64::MIN);
    assert_eq!(list[0].slow_start_usage.queries_after(0.0, 5.0).sent, 1.0);
}
