//! Tests of the simulator adapter with valid and invalid input. Invalid input ends the program with exactly
//! one line on standard error, and with nothing on standard output.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::Write;
use std::process::{Command, Output, Stdio};

const PROVISION: &str = r#"{"type":"provision","gateway_id":"gateway/0","prng":7,"profile_data":{"ceilings":{"most_tries":2,"new_key":1},"fleet_size":1,"grades":[{"name":"lookup","aim":800.0,"effect":"retryable","worth":1.0}],"machine_types":["std"],"rules":{"cold_from":0.3,"drain_grace":250.0,"fall_multiple":3.0,"grace_to_answer":20.0,"overload_for":1500.0,"warm_within":14000.0},"step":5.0}}"#;
const DEFINE_LIST: &str = r#"{"type":"table","list":0,"members":[{"class_of_host":"std","ready_at":null,"az":"a","engine":"engine-a","scale":1,"stripe":0,"state":"IN"}]}"#;
const ENDPOINT_LIST: &str =
    r#"{"type":"membership","gateway_id":"gateway/0","how":"stale_copy","revision":1,"list":0}"#;
const QUERY: &str = r#"{"type":"inbound","gateway_id":"gateway/0","corr":5,"band":"lookup","time_left":900.0,"odd":[1]}"#;
const BEGIN_BATCH: &str = r#"{"type":"turn","ts":10.0}"#;
const COMMIT: &str = r#"{"type":"commit"}"#;

fn run(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hitchwinch-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = lines.join("\n");
    input.push('\n');
    child
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

/// Asserts that the adapter fails with one error line, which names line `number` and contains `expected`.
fn assert_fails(lines: &[&str], number: usize, expected: &str) {
    let output = run(lines);
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success(), "{error}");
    assert!(output.stdout.is_empty());
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(
        error.contains(&format!("line {number}:")) && error.contains(expected),
        "{error}"
    );
}

#[test]
fn valid_batch_is_answered_and_input_may_end_between_batches() {
    let output = run(&[
        BEGIN_BATCH,
        PROVISION,
        DEFINE_LIST,
        ENDPOINT_LIST,
        QUERY,
        COMMIT,
        BEGIN_BATCH,
        COMMIT,
    ]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success() && output.stderr.is_empty());
    assert!(
        text.contains(r#""type":"call_out","gateway_id":"gateway/0","corr":5,"engine":"engine-a""#),
        "{text}"
    );
    assert_eq!(
        text.lines()
            .filter(|line| *line == r#"{"type":"end"}"#)
            .count(),
        2
    );
}

#[test]
fn invalid_input_ends_with_one_line_that_names_it() {
    assert_fails(&[BEGIN_BATCH, "{nonsense"], 2, "");
    assert_fails(
        &[
            BEGIN_BATCH,
            PROVISION,
            r#"{"type":"ring","gateway_id":"gateway/0"}"#,
            COMMIT,
        ],
        3,
        "nonce",
    );
    assert_fails(
        &[
            BEGIN_BATCH,
            r#"{"type":"ring","gateway_id":3,"nonce":1}"#,
            COMMIT,
        ],
        2,
        "string",
    );
    assert_fails(
        &[
            BEGIN_BATCH,
            r#"{"type":"ring","gateway_id":"gateway/9","nonce":1}"#,
            COMMIT,
        ],
        2,
        "gateway/9",
    );
    assert_fails(&[BEGIN_BATCH, PROVISION, ENDPOINT_LIST, COMMIT], 3, "table");
    assert_fails(&[BEGIN_BATCH, PROVISION], 3, "inside a batch");
    assert_fails(
        &[
            BEGIN_BATCH,
            &PROVISION.replace(r#""step":5.0"#, r#""step":-5.0"#),
            COMMIT,
        ],
        2,
        "step",
    );
    let too_many_widths = r#""step":5.0,"extra":{"width_by_class":[1,2,3]}"#;
    assert_fails(
        &[
            BEGIN_BATCH,
            &PROVISION.replace(r#""step":5.0"#, too_many_widths),
            COMMIT,
        ],
        2,
        "extra.width_by_class",
    );
}
