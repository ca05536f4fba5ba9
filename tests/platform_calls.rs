//! The program's sources must not use system calls that the fleet bench's filter rejects
//! (`docs/FILTER.md`): starting another program, fork, Unix sockets (tokio's signal driver creates
//! a pair), `io_uring`, and copies that the standard library may implement with `splice`,
//! `sendfile` or `copy_file_range`.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::{Path, PathBuf};

/// Patterns that must not occur in the program's code, each with the reason.
const FORBIDDEN: &[(&str, &str)] = &[
    ("process::Command", "starts another program"),
    ("Command::new", "starts another program"),
    ("fork(", "forks"),
    ("UnixStream", "a Unix socket"),
    ("UnixListener", "a Unix socket"),
    ("UnixDatagram", "a Unix socket"),
    ("socketpair", "a Unix socket"),
    (
        "tokio::signal",
        "tokio's signal driver makes a Unix socket pair",
    ),
    ("io_uring", "io_uring"),
    ("std::io::copy", "may be done by splice or sendfile"),
    ("io::copy_bidirectional", "a copy past the pool's buffers"),
    ("fs::copy", "may be done by copy_file_range or sendfile"),
];

fn sources(dir: &Path, all: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("the source directory is readable") {
        let path = entry.expect("the directory entry is readable").path();
        if path.is_dir() {
            sources(&path, all);
        } else if path.extension().is_some_and(|e| e == "rs") {
            all.push(path);
        }
    }
}

/// Returns the numbered lines of code of a file, without comments and without inline tests, which
/// may start the program.
fn code(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let end = text.find("#[cfg(test)]\nmod tests {").unwrap_or(text.len());
    text[..end]
        .lines()
        .enumerate()
        .map(|(n, line)| (n + 1, line.split("//").next().unwrap_or("")))
        .filter(|(_, line)| !line.trim().is_empty())
}

/// Returns whether a file has only tests (`tests.rs`, `*_tests.rs`), which its module declares
/// under `#[cfg(test)]`.
fn is_test_file(file: &Path) -> bool {
    file.file_stem()
        .and_then(|s| s.to_str())
        .is_some_and(|s| s == "tests" || s.ends_with("_tests"))
}

fn find_forbidden_calls(root: &Path) -> Vec<String> {
    let mut files = vec![];
    sources(root, &mut files);
    files.sort();
    let mut found = vec![];
    for file in files.into_iter().filter(|f| !is_test_file(f)) {
        let text = std::fs::read_to_string(&file).expect("the source file is readable");
        for (number, line) in code(&text) {
            for (pattern, reason) in FORBIDDEN {
                if line.contains(pattern) {
                    found.push(format!(
                        "{}:{number}: `{pattern}`: {reason}",
                        file.display()
                    ));
                }
            }
        }
    }
    found
}

#[test]
fn sources_use_no_call_that_the_filter_rejects() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let found = find_forbidden_calls(&root);
    assert!(
        found.is_empty(),
        "calls that the fleet bench's filter rejects:\n{}",
        found.join("\n")
    );
}

#[test]
fn source_check_detects_forbidden_calls() {
    let folder = std::env::temp_dir().join(format!("hitchwinch-calls-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("inner")).unwrap();
    let bad = "use tokio::signal::unix::signal;\n// std::process::Command in a comment is no call\nfn f() {}\n";
    std::fs::write(folder.join("inner/bad.rs"), bad).unwrap();
    let tested =
        "fn g() {}\n#[cfg(test)]\nmod tests { fn h() { std::process::Command::new(\"x\"); } }\n";
    std::fs::write(folder.join("tested.rs"), tested).unwrap();
    std::fs::write(
        folder.join("inner/tests.rs"),
        "fn t() { std::process::Command::new(\"x\"); }\n",
    )
    .unwrap();
    // A module with its tests in a separate file is checked to its end.
    let declared = "#[cfg(test)]\nmod tests;\nfn spawn() { std::process::Command::new(\"x\"); }\n";
    std::fs::write(folder.join("declared.rs"), declared).unwrap();
    let found = find_forbidden_calls(&folder);
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(found.len(), 3, "{found:?}");
    assert!(
        found[0].ends_with("declared.rs:3: `process::Command`: starts another program"),
        "{found:?}"
    );
    assert!(
        found[1].ends_with("declared.rs:3: `Command::new`: starts another program"),
        "{found:?}"
    );
    assert!(
        found[2]
            .ends_with("bad.rs:1: `tokio::signal`: tokio's signal driver makes a Unix socket pair")
    );
}
