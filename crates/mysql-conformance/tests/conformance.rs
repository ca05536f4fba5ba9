//! The suite comes out as wanted, and the page tells what it found.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use mysql_conformance::{Came, page, play};
use tokio::task::LocalSet;

#[test]
fn every_script_comes_out_as_wanted_and_the_page_is_what_the_suite_writes() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let lines = LocalSet::new().block_on(&runtime, play()).unwrap();
    let wrong: Vec<_> = lines
        .iter()
        .filter(|l| matches!(l.1, Came::Differs(_)) || matches!(l.2, Some(Came::Differs(_))))
        .map(|l| (l.0.name, &l.1, &l.2))
        .collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/MYSQL-CONFORMANCE.md"
    );
    assert_eq!(
        std::fs::read_to_string(path).unwrap(),
        page(&lines),
        "write the page anew"
    );
}
