//! Short soak of the program: random overlapping faults, over dozens of processes. For many seeds, run
//! `testbed soak` by hand (docs/ON-CALL.md).

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::Path;
use std::time::Duration;
use testbed::platform::soak::{Scale, run_seed};

const SPAN: Duration = Duration::from_secs(10);

fn assert_clean(seed: u64) {
    let binary = Path::new(env!("CARGO_BIN_EXE_hitchwinch"));
    let outcome = run_seed(binary, seed, Scale::draw(seed, SPAN)).unwrap();
    println!("seed {seed}: {}", outcome.summary());
    assert!(outcome.is_clean(), "seed {seed}: {}", outcome.summary());
}

#[test]
fn random_faults_that_overlap_break_no_rule() {
    assert_clean(2);
    assert_clean(3);
}
