//! The record of one profile: a digest of all lines in order, and the number of lines of each kind.

use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

#[derive(Default)]
pub(crate) struct Record {
    hasher: Sha256,
    counts: BTreeMap<&'static str, u64>,
}

impl Record {
    /// Appends one line: its kind, which is counted, and its details.
    pub(crate) fn line(&mut self, kind: &'static str, details: &str) {
        self.hasher.update(format!("{kind} {details}\n"));
        *self.counts.entry(kind).or_default() += 1;
    }

    /// Returns the counts as `kind=count`, ordered by kind, and the digest in hexadecimal.
    pub(crate) fn finish(self) -> (String, String) {
        let counts: Vec<String> = self
            .counts
            .iter()
            .map(|(kind, count)| format!("{kind}={count}"))
            .collect();
        let digest = self
            .hasher
            .finalize()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        (counts.join(" "), digest)
    }
}

/// Writes a number as its bits in hexadecimal, so that no digit is lost.
pub(crate) fn bits(number: f64) -> String {
    format!("{:016x}", number.to_bits())
}

/// Writes an optional number as its bits in hexadecimal, or `-` if it is absent.
pub(crate) fn optional_bits(number: Option<f64>) -> String {
    number.map_or_else(|| "-".to_string(), bits)
}
