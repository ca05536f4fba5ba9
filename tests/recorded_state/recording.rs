//! The recording of one profile: digests over everything that a state machine gave out, in order, and counts by kind.

use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// What a profile's recording must come to.
pub(crate) struct Expected {
    pub(crate) profile: &'static str,
    /// Digest over states, decisions and encoded bytes.
    pub(crate) state: &'static str,
    /// Digest over what people and other programs read: messages, reasons, JSON.
    pub(crate) wording: &'static str,
    /// How often each kind of output occurred. No count is zero.
    pub(crate) counts: &'static [(&'static str, u64)],
}

/// Takes the outputs of all streams of one profile.
#[derive(Default)]
pub(crate) struct Recording {
    state: Sha256,
    wording: Sha256,
    counts: BTreeMap<&'static str, u64>,
}

impl Recording {
    /// Appends one line to the digest over states and decisions.
    pub(crate) fn state(&mut self, line: &str) {
        append(&mut self.state, line);
    }

    /// Appends one line to the digest over texts.
    pub(crate) fn wording(&mut self, line: &str) {
        append(&mut self.wording, line);
    }

    /// Counts one output of this kind.
    pub(crate) fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// Compares with what is expected; on a difference it prints what the recording comes to now.
    pub(crate) fn check(self, expected: &Expected) {
        let state = hexadecimal(&self.state.finalize());
        let wording = hexadecimal(&self.wording.finalize());
        let counts: Vec<(&str, u64)> = self.counts.into_iter().collect();
        let same_counts = counts == expected.counts;
        let same = same_counts && state == expected.state && wording == expected.wording;
        let profile = expected.profile;
        assert!(
            same,
            "profile {profile:?} differs\nstate: expected {} new {state}\nwording: expected {} new {wording}\n\
             counts: expected {:?} new {counts:?}",
            expected.state, expected.wording, expected.counts
        );
    }
}

fn append(digest: &mut Sha256, line: &str) {
    digest.update(line.as_bytes());
    digest.update(b"\n");
}

/// Asserts that each of these kinds of output occurs in some profile.
pub(crate) fn assert_exercised(required: &[&str], profiles: &[&Expected]) {
    for kind in required {
        let occurs = |profile: &&Expected| {
            profile
                .counts
                .iter()
                .any(|(name, count)| name == kind && *count > 0)
        };
        assert!(profiles.iter().any(occurs), "no stream gives out {kind:?}");
    }
}

pub(crate) fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A float by its exact bits.
pub(crate) fn float(value: f64) -> String {
    format!("{:016x}", value.to_bits())
}

pub(crate) fn optional_float(value: Option<f64>) -> String {
    value.map_or("none".into(), float)
}

/// A value by its own standard text, for types whose text is not the project's (numbers, text, addresses).
pub(crate) fn optional<Value: ToString>(value: Option<Value>) -> String {
    value.map_or("none".into(), |value| value.to_string())
}
