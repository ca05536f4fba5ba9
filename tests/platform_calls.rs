//! What the fleet bench's system-call filter refuses stays out of the program's sources (`docs/FILTER.md`): no other
//! program started, no fork, no Unix socket (tokio's signal driver made one), no `io_uring`, and no copy that the
//! standard library may turn into `splice`, `sendfile` or `copy_file_range`.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::{Path, PathBuf};

/// What may not stand in the program's code, and why.
const REFUSED: &[(&str, &str)] = &[
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
    for entry in std::fs::read_dir(dir).expect("the program's sources") {
        let path = entry.expect("a folder entry").path();
        if path.is_dir() {
            sources(&path, all);
        } else if path.extension().is_some_and(|e| e == "rs") {
            all.push(path);
        }
    }
}

/// The lines of code in a file, without comments and without its inline tests, which may start the program.
fn code(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let end = text.find("#[cfg(test)]\nmod tests {").unwrap_or(text.len());
    text[..end]
        .lines()
        .enumerate()
        .map(|(n, line)| (n + 1, line.split("//").next().unwrap_or("")))
        .filter(|(_, line)| !line.trim().is_empty())
}

/// Files of tests alone (`tests.rs`, `*_tests.rs`), declared under `#[cfg(test)]` by their module.
fn only_tests(file: &Path) -> bool {
    file.file_stem()
        .and_then(|s| s.to_str())
        .is_some_and(|s| s == "tests" || s.ends_with("_tests"))
}

fn offences(root: &Path) -> Vec<String> {
    let mut files = vec![];
    sources(root, &mut files);
    files.sort();
    let mut found = vec![];
    for file in files.into_iter().filter(|f| !only_tests(f)) {
        let text = std::fs::read_to_string(&file).expect("a source file");
        for (number, line) in code(&text) {
            for (what, reason) in REFUSED {
                if line.contains(what) {
                    found.push(format!("{}:{number}: `{what}`: {reason}", file.display()));
                }
            }
        }
    }
    found
}

#[test]
fn sources_use_no_call_that_the_filter_rejects() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let found = offences(&root);
    assert!(
        found.is_empty(),
        "refused on the fleet bench:\n{}",
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
    // A module whose tests are in a file of their own is read to its end.
    let declared = "#[cfg(test)]\nmod tests;\nfn spawn() { std::process::Command::new(\"x\"); }\n";
    std::fs::write(folder.join("declared.rs"), declared).unwrap();
    let found = offences(&folder);
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
