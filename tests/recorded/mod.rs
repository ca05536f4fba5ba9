//! Comparison with recorded text, and helpers shared by the tests of stored data and of the external
//! interface.
#![allow(dead_code)]

use std::path::{Path, PathBuf};

/// Returns the path of a file or folder below `tests/data`.
pub(crate) fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name)
}

/// Asserts that `actual` equals the recorded file byte for byte. On a difference, `actual` is written to
/// Cargo's folder for temporary files of tests, so that both can be compared.
pub(crate) fn assert_recorded(name: &str, actual: &str) {
    let expected = std::fs::read_to_string(data(name)).unwrap_or_default();
    if expected == actual {
        return;
    }
    let actual_path = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join("recorded")
        .join(name);
    std::fs::create_dir_all(actual_path.parent().unwrap()).unwrap();
    std::fs::write(&actual_path, actual).unwrap();
    let (line, old, new) = first_difference(&expected, actual);
    panic!(
        "{name}, line {line}:\nrecorded: {old}\nactual:   {new}\nwhole actual text: {}",
        actual_path.display()
    );
}

/// Returns the number of the first line that differs, counted from 1, with its expected and its actual text.
fn first_difference<'text>(
    expected: &'text str,
    actual: &'text str,
) -> (usize, &'text str, &'text str) {
    const NO_LINE: &str = "(end of text)";
    let (mut old, mut new) = (expected.lines(), actual.lines());
    for line in 1.. {
        match (old.next(), new.next()) {
            (None, None) => return (line, "(different line endings)", "(different line endings)"),
            (before, now) if before != now => {
                return (line, before.unwrap_or(NO_LINE), now.unwrap_or(NO_LINE));
            }
            _ => {}
        }
    }
    unreachable!("both texts have a last line")
}

/// Writes bytes as printable ASCII, with all other bytes escaped.
pub(crate) fn printable(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

/// Replaces the number after each of these JSON keys with `#`: ages and counts that depend on the time of
/// the run.
pub(crate) fn mask_numbers(json: &str, keys: &[&str]) -> String {
    let masked = json
        .lines()
        .map(|line| match line.trim_start().split_once("\": ") {
            Some((key, value)) if keys.contains(&key.trim_start_matches('"')) => {
                let comma = if value.ends_with(',') { "," } else { "" };
                format!(
                    "{}\": #{comma}\n",
                    &line[..line.len() - value.len() - "\": ".len()]
                )
            }
            _ => format!("{line}\n"),
        });
    masked.collect()
}

/// A temporary folder that is removed when the value is dropped.
pub(crate) struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    pub(crate) fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("hitchwinch-recorded-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        TemporaryFolder(path)
    }

    /// Creates a temporary copy of a folder below `tests/data`.
    pub(crate) fn copy_of(source: &str, name: &str) -> Self {
        let folder = Self::new(name);
        copy(&data(source), &folder.0);
        folder
    }

    pub(crate) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        let target = to.join(entry.file_name());
        match entry.path().is_dir() {
            true => copy(&entry.path(), &target),
            false => std::fs::write(target, std::fs::read(entry.path()).unwrap()).unwrap(),
        }
    }
}

/// Returns the sorted names of all entries in a folder.
pub(crate) fn file_names(folder: &Path) -> Vec<String> {
    let names = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().file_name());
    let mut names: Vec<String> = names.map(|name| name.into_string().unwrap()).collect();
    names.sort();
    names
}
