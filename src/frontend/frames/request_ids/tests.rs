use super::claim_table::MAX_CLAIMS;
use super::*;
use std::path::PathBuf;

struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Self {
        let id = std::process::id();
        let path = std::env::temp_dir().join(format!("hitchwinch-request-ids-{id}-{name}"));
        std::fs::create_dir_all(&path).unwrap();
        Directory(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn id(number: usize) -> String {
    format!("{number:016x}")
}

/// Reserves an id, and releases it after its request may have run or not.
fn run(ids: &RequestIds, number: usize, may_have_run: bool) -> Option<IdConflict> {
    let reserved = match ids.reserve(&id(number), true) {
        Ok(reserved) => reserved,
        Err(conflict) => return Some(conflict),
    };
    if may_have_run {
        reserved.executions().record_start();
    }
    None
}

#[test]
fn an_open_id_is_reserved_once_whatever_its_class() {
    let ids = RequestIds::default();
    let open = ids.reserve(&id(1), false).unwrap();
    assert_eq!(ids.reserve(&id(1), true).unwrap_err(), IdConflict::Open);
    drop(open);
    let again = ids.reserve(&id(1), false).unwrap();
    again.executions().record_start();
    drop(again);
    assert!(ids.reserve(&id(1), false).is_ok(), "it may run twice");
}

#[test]
fn an_id_that_may_have_run_is_refused_and_one_that_never_ran_is_not() {
    let ids = RequestIds::default();
    assert_eq!(run(&ids, 1, false), None);
    assert_eq!(run(&ids, 1, true), None);
    assert_eq!(run(&ids, 1, true), Some(IdConflict::MayHaveRun));
    let rejected = ids.reserve(&id(2), true).unwrap();
    rejected.executions().record_start();
    rejected.executions().record_never_ran();
    drop(rejected);
    assert_eq!(run(&ids, 2, true), None);
}

#[test]
fn the_oldest_ids_are_forgotten() {
    let ids = RequestIds::default();
    for number in 0..=MAX_CLAIMS {
        assert_eq!(run(&ids, number, true), None);
        assert_eq!(run(&ids, usize::MAX, false), None);
    }
    assert_eq!(run(&ids, 0, true), None);
    assert_eq!(run(&ids, MAX_CLAIMS, true), Some(IdConflict::MayHaveRun));
}

fn shared(directory: &Directory, processes: usize) -> RequestIds {
    let ids = RequestIds::default();
    ids.share(&directory.0).unwrap();
    ids.set_process_count(processes);
    ids
}

#[test]
fn processes_share_their_claims_and_releases() {
    let directory = Directory::new("share");
    let (first, second) = (shared(&directory, 2), shared(&directory, 2));
    let open = first.reserve(&id(1), true).unwrap();
    assert_eq!(run(&second, 1, true), Some(IdConflict::MayHaveRun));
    drop(open);
    assert_eq!(run(&second, 1, true), None, "it never ran");
    assert_eq!(run(&first, 1, true), Some(IdConflict::MayHaveRun));
    let third = shared(&directory, 3);
    assert_eq!(run(&third, 1, true), Some(IdConflict::MayHaveRun));
}

#[test]
fn lines_that_were_cut_off_or_are_unknown_are_ignored() {
    let directory = Directory::new("lines");
    let first = shared(&directory, 1);
    assert_eq!(run(&first, 1, true), None);
    let path = directory.0.join("request-ids");
    let mut text = std::fs::read_to_string(&path).unwrap();
    text.push_str("+ 00\n");
    text.push_str(&"x".repeat(100_000));
    text.push_str("\n? 0000000000000001 0000000000000002\n");
    std::fs::write(&path, text).unwrap();
    let second = shared(&directory, 2);
    assert_eq!(run(&second, 1, true), Some(IdConflict::MayHaveRun));
    assert_eq!(run(&second, 2, true), None);
}

#[test]
fn a_large_log_is_replaced_by_the_claims_in_force() {
    let directory = Directory::new("large");
    let path = directory.0.join("request-ids");
    let ids = shared(&directory, 1);
    let mut largest = 0;
    for number in 0..40_000 {
        assert_eq!(run(&ids, number, number % 2 == 0), None);
        if number % 1000 == 0 {
            largest = largest.max(std::fs::metadata(&path).unwrap().len());
        }
    }
    assert!(largest < 2 << 20, "{largest}");
    let other = shared(&directory, 2);
    assert_eq!(run(&other, 39_998, true), Some(IdConflict::MayHaveRun));
    assert_eq!(run(&other, 39_999, true), None);
    assert_eq!(run(&ids, 39_999, true), Some(IdConflict::MayHaveRun));
}

#[test]
fn a_log_that_was_removed_is_begun_again() {
    let directory = Directory::new("removed");
    let ids = shared(&directory, 1);
    assert_eq!(run(&ids, 1, true), None);
    std::fs::remove_file(directory.0.join("request-ids")).unwrap();
    assert_eq!(run(&ids, 1, true), Some(IdConflict::MayHaveRun));
    assert_eq!(run(&ids, 2, true), None);
    assert_eq!(
        run(&shared(&directory, 2), 2, true),
        Some(IdConflict::MayHaveRun)
    );
}

#[test]
fn without_the_log_a_process_that_is_alone_goes_on_and_others_refuse() {
    let directory = Directory::new("gone");
    let ids = shared(&directory, 1);
    std::fs::remove_dir_all(&directory.0).unwrap();
    assert_eq!(run(&ids, 1, true), None);
    assert_eq!(run(&ids, 1, true), Some(IdConflict::MayHaveRun));
    ids.set_process_count(2);
    assert_eq!(run(&ids, 3, true), Some(IdConflict::Unknown));
}
