//! What one profile brought: a digest of every line in order, and how often each kind of line came.

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

    /// The counts as `kind=count`, by kind, and the digest in hexadecimal.
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

/// A number as the hexadecimal form of its bits, so that no digit is lost.
pub(crate) fn bits(number: f64) -> String {
    format!("{:016x}", number.to_bits())
}

/// The same for a number that may be absent.
pub(crate) fn optional_bits(number: Option<f64>) -> String {
    number.map_or_else(|| "-".to_string(), bits)
}
