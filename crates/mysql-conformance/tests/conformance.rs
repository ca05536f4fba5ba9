//! Runs the suite: every case has the expected outcome, and the committed page matches the suite's output.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use mysql_conformance::{CaseOutcome, render_page, run_cases};
use tokio::task::LocalSet;

#[test]
fn every_script_comes_out_as_wanted_and_the_page_is_what_the_suite_writes() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let reports = LocalSet::new().block_on(&runtime, run_cases()).unwrap();
    let unexpected: Vec<_> = reports
        .iter()
        .filter(|report| {
            matches!(report.1, CaseOutcome::Unexpected(_))
                || matches!(report.2, Some(CaseOutcome::Unexpected(_)))
        })
        .map(|report| (report.0.name, &report.1, &report.2))
        .collect();
    assert!(unexpected.is_empty(), "{unexpected:#?}");
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/MYSQL-CONFORMANCE.md"
    );
    assert_eq!(
        std::fs::read_to_string(path).unwrap(),
        render_page(&reports),
        "the page is out of date: write it again with `cargo run -p mysql-conformance -- --write {path}`"
    );
}
