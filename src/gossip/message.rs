//! Wire format of a message that carries one load report of one engine.
//!
//! | offset | bytes | field |
//! | --- | --- | --- |
//! | 0 | 1 | kind: `r` for a load report |
//! | 1 | 3 | hash of the engine's name ([`engine_hash`]), 21 bits, 7 per byte, most significant first |
//! | 4 | 1 each | values of the report, in the order of the settings' report fields |
//!
//! Every byte is below 128, so that a message is also ASCII text, which the simulator's protocol can carry. A
//! value is encoded as a step of a scale:
//!
//! | steps | values |
//! | --- | --- |
//! | 0 to 63 | shares from 0 to 1.26 in steps of 0.02 |
//! | 64 to 103 | counts from 1 to 40 in steps of 1 |
//! | 104 to 127 | values from 44 to 394, each 10 % above the previous one |

use super::seven_bit::{self, HASH_BYTES, decode_number, encode_number};

/// Maximum size of a message, in bytes. The price in the settings is that of a message of this size.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Kind byte of a load report.
const LOAD_REPORT_KIND: u8 = b'r';
/// Size of the kind and the engine's hash, in bytes.
const HEADER_BYTES: usize = 1 + HASH_BYTES;
/// Maximum number of values in a message.
const MAX_REPORT_FIELDS: usize = 16;
/// Highest step of the linear scale of shares, its value, and the difference between two steps.
const LAST_SHARE_STEP: f64 = 63.0;
const MAX_SHARE: f64 = 1.26;
const SHARE_STEP: f64 = 0.02;
/// Highest step of the linear scale of counts, and its value.
const LAST_COUNT_STEP: f64 = 103.0;
const MAX_COUNT: f64 = 40.0;
/// Highest step of all, and the ratio of two successive values above [`MAX_COUNT`].
const LAST_STEP: f64 = 127.0;
const GROWTH_PER_STEP: f64 = 1.1;

/// Content of a message.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReportMessage {
    /// Hash of the engine's name.
    pub engine_hash: u32,
    /// Values of the report.
    pub report: Vec<f64>,
}

/// Reason why a message cannot be decoded.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The length does not fit the number of report fields in the settings.
    #[error("a message of {actual} bytes where {expected} are due")]
    Length {
        /// Length of the message, in bytes.
        actual: usize,
        /// Length that the settings' report fields require, in bytes.
        expected: usize,
    },
    /// The first byte is an unknown kind.
    #[error("a message of kind {0}, which is not known")]
    UnknownKind(u8),
    /// A byte is 128 or more.
    #[error("a byte of 128 or more")]
    ByteOutOfRange,
}

/// Returns the 21-bit hash of an engine's name.
pub(crate) fn engine_hash(engine: &str) -> u32 {
    seven_bit::hash(engine.bytes())
}

/// Encodes a load report. Returns `None` if the number of values differs from `report_fields` or is out of
/// bounds, or if a value is negative or not finite.
pub(crate) fn encode(engine_hash: u32, report: &[f64], report_fields: usize) -> Option<Vec<u8>> {
    if report.len() != report_fields || !(1..=MAX_REPORT_FIELDS).contains(&report_fields) {
        return None;
    }
    let mut message = vec![LOAD_REPORT_KIND];
    message.extend(encode_number::<HASH_BYTES>(engine_hash));
    for value in report {
        message.push(encode_value(*value)?);
    }
    Some(message)
}

/// Decodes a load report of `report_fields` values.
///
/// # Errors
/// The message is of another kind or length, or contains a byte of 128 or more.
pub(crate) fn decode(
    message: &[u8],
    report_fields: usize,
) -> Result<LoadReportMessage, DecodeError> {
    if let Some(&kind) = message.first()
        && kind != LOAD_REPORT_KIND
    {
        return Err(DecodeError::UnknownKind(kind));
    }
    let expected = HEADER_BYTES + report_fields.min(MAX_REPORT_FIELDS);
    if message.len() != expected {
        let actual = message.len();
        return Err(DecodeError::Length { actual, expected });
    }
    if !message.is_ascii() {
        return Err(DecodeError::ByteOutOfRange);
    }
    let engine_hash = decode_number(&message[1..HEADER_BYTES]);
    let report = message[HEADER_BYTES..]
        .iter()
        .map(|step| decode_value(*step))
        .collect();
    Ok(LoadReportMessage {
        engine_hash,
        report,
    })
}

/// Returns the step of the scale closest to a value, or `None` if the value is negative or not finite.
fn encode_value(value: f64) -> Option<u8> {
    if !value.is_finite() || value < 0.0 {
        return None;
    }
    let is_count = value >= 1.0 && value.fract() == 0.0;
    let step = if value <= MAX_SHARE && !is_count {
        (value / SHARE_STEP).round()
    } else if value <= MAX_COUNT {
        LAST_SHARE_STEP + value.round()
    } else {
        let beyond = (value / MAX_COUNT).log(GROWTH_PER_STEP).round();
        (LAST_COUNT_STEP + beyond).min(LAST_STEP)
    };
    Some(step as u8)
}

fn decode_value(step: u8) -> f64 {
    let step = f64::from(step);
    if step <= LAST_SHARE_STEP {
        step * SHARE_STEP
    } else if step <= LAST_COUNT_STEP {
        step - LAST_SHARE_STEP
    } else {
        MAX_COUNT * GROWTH_PER_STEP.powf(step - LAST_COUNT_STEP)
    }
}
