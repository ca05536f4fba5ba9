//! Comparison with recorded text, and the helpers that the tests of stored data and of the external interface share.
#![allow(dead_code)]

use std::path::{Path, PathBuf};

/// A file or folder below `tests/data`.
pub(crate) fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name)
}

/// Fails unless `given` equals the recorded file byte for byte. What was given instead is left in the folder for the
/// tests' temporary files, so that both can be compared.
pub(crate) fn assert_recorded(name: &str, given: &str) {
    let expected = std::fs::read_to_string(data(name)).unwrap_or_default();
    if expected == given {
        return;
    }
    let actual = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join("recorded")
        .join(name);
    std::fs::create_dir_all(actual.parent().unwrap()).unwrap();
    std::fs::write(&actual, given).unwrap();
    let (line, old, new) = first_difference(&expected, given);
    panic!(
        "{name}, line {line}:\nrecorded: {old}\ngiven:    {new}\nall that was given: {}",
        actual.display()
    );
}

/// The first line that differs, counted from 1, as recorded and as given.
fn first_difference<'text>(
    expected: &'text str,
    given: &'text str,
) -> (usize, &'text str, &'text str) {
    const NO_LINE: &str = "(the end)";
    let (mut old, mut new) = (expected.lines(), given.lines());
    for line in 1.. {
        match (old.next(), new.next()) {
            (None, None) => return (line, "(other line ends)", "(other line ends)"),
            (before, now) if before != now => {
                return (line, before.unwrap_or(NO_LINE), now.unwrap_or(NO_LINE));
            }
            _ => {}
        }
    }
    unreachable!("lines end")
}

/// Bytes as printable ASCII, everything else escaped.
pub(crate) fn printable(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

/// Replaces the number behind each of these JSON keys by `#`: ages and counts that depend on the moment.
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

/// A temporary folder that is removed with its handle.
pub(crate) struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    pub(crate) fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("hitchwinch-recorded-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        TemporaryFolder(path)
    }

    /// A copy of a folder below `tests/data`.
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

/// The names of all files in a folder, sorted.
pub(crate) fn file_names(folder: &Path) -> Vec<String> {
    let names = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().file_name());
    let mut names: Vec<String> = names.map(|name| name.into_string().unwrap()).collect();
    names.sort();
    names
}
