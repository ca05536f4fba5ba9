//! The recording of one profile: digests of all outputs of a state machine, in order, and counts by kind.

use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// The recording that a profile must reproduce.
pub(crate) struct Expected {
    pub(crate) profile: &'static str,
    /// Digest of states, decisions and encoded bytes.
    pub(crate) state: &'static str,
    /// Digest of the texts that people and other programs read: messages, reasons, JSON.
    pub(crate) wording: &'static str,
    /// Number of outputs of each kind; kinds that do not occur are absent.
    pub(crate) counts: &'static [(&'static str, u64)],
}

/// Collects the outputs of all streams of one profile.
#[derive(Default)]
pub(crate) struct Recording {
    state: Sha256,
    wording: Sha256,
    counts: BTreeMap<&'static str, u64>,
}

impl Recording {
    /// Appends one line to the digest of states and decisions.
    pub(crate) fn state(&mut self, line: &str) {
        append(&mut self.state, line);
    }

    /// Appends one line to the digest of texts.
    pub(crate) fn wording(&mut self, line: &str) {
        append(&mut self.wording, line);
    }

    /// Counts one output of this kind.
    pub(crate) fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// Asserts that the recording equals the expected one; the failure message holds the new values.
    pub(crate) fn check(self, expected: &Expected) {
        let state = hexadecimal(&self.state.finalize());
        let wording = hexadecimal(&self.wording.finalize());
        let counts: Vec<(&str, u64)> = self.counts.into_iter().collect();
        let same_counts = counts == expected.counts;
        let same = same_counts && state == expected.state && wording == expected.wording;
        let profile = expected.profile;
        assert!(
            same,
            "profile {profile:?} differs\nstate: expected {} actual {state}\n\
             wording: expected {} actual {wording}\n\
             counts: expected {:?} actual {counts:?}",
            expected.state, expected.wording, expected.counts
        );
    }
}

fn append(digest: &mut Sha256, line: &str) {
    digest.update(line.as_bytes());
    digest.update(b"\n");
}

/// Asserts that each of these kinds of output occurs in at least one profile.
pub(crate) fn assert_exercised(required: &[&str], profiles: &[&Expected]) {
    for kind in required {
        let occurs = |profile: &&Expected| {
            profile
                .counts
                .iter()
                .any(|(name, count)| name == kind && *count > 0)
        };
        assert!(
            profiles.iter().any(occurs),
            "no stream produces an output of the kind {kind:?}"
        );
    }
}

pub(crate) fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Writes a float as its bits in hexadecimal.
pub(crate) fn float(value: f64) -> String {
    format!("{:016x}", value.to_bits())
}

pub(crate) fn optional_float(value: Option<f64>) -> String {
    value.map_or("none".into(), float)
}

/// Writes a value as its `Display` text; for types of the standard library only (numbers, strings,
/// addresses), whose text the project cannot change.
pub(crate) fn optional<Value: ToString>(value: Option<Value>) -> String {
    value.map_or("none".into(), |value| value.to_string())
}
