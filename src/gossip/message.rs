//! The wire format of a message: one load report of one engine.
//!
//! | offset | bytes | field |
//! | --- | --- | --- |
//! | 0 | 1 | kind: `r`, a load report |
//! | 1 | 3 | the engine's hash ([`engine_hash`]), 21 bits, 7 in each byte, the highest first |
//! | 4 | 1 each | the report's values, in the order of the settings' report fields |
//!
//! Every byte is below 128, so that a message is text as well and the simulator's protocol can carry it. A value is a
//! step of a scale:
//!
//! | steps | values |
//! | --- | --- |
//! | 0 to 63 | 0 to 1.26, by 0.02: shares |
//! | 64 to 103 | 1 to 40, by 1: counts |
//! | 104 to 127 | each a tenth more than the one before, from 44 to 394 |

use super::seven_bit::{self, HASH_BYTES, decode_number, encode_number};

/// The longest message of the protocol, in bytes; the peers' messages are charged by it.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// The kind of a load report.
const LOAD_REPORT_KIND: u8 = b'r';
/// The kind and the engine's hash, in bytes.
const HEADER_BYTES: usize = 1 + HASH_BYTES;
/// Values that a message can hold.
const MAX_REPORT_FIELDS: usize = 16;
/// The highest step of the linear scale of shares, its value and the distance of two steps.
const LAST_SHARE_STEP: f64 = 63.0;
const MAX_SHARE: f64 = 1.26;
const SHARE_STEP: f64 = 0.02;
/// The highest step of the linear scale of counts, and its value.
const LAST_COUNT_STEP: f64 = 103.0;
const MAX_COUNT: f64 = 40.0;
/// The highest step, and the ratio of two values beyond [`MAX_COUNT`].
const LAST_STEP: f64 = 127.0;
const GROWTH_PER_STEP: f64 = 1.1;

/// The content of a message.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReportMessage {
    /// Stands for the engine's name: `engine_hash`.
    pub engine_hash: u32,
    /// The report's values.
    pub report: Vec<f64>,
}

/// Why a message cannot be read.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The settings' report fields need another length.
    #[error("a message of {actual} bytes where {expected} are due")]
    Length {
        /// Bytes of the message.
        actual: usize,
        /// Bytes that the settings' report fields need.
        expected: usize,
    },
    /// The first byte is no kind that is known.
    #[error("a message of kind {0}, which is not known")]
    UnknownKind(u8),
    /// Some byte is 128 or more.
    #[error("a byte of 128 or more")]
    ByteOutOfRange,
}

/// 21 bits that stand for an engine's name.
pub(crate) fn engine_hash(engine: &str) -> u32 {
    seven_bit::hash(engine.bytes())
}

/// The message; none if the report has other than `report_fields` values, or one that no engine has.
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

/// Reads a message of `report_fields` values.
///
/// # Errors
/// The message is of another kind or length, or holds a byte of 128 or more.
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

/// The step of the scale next to a value; none for what is no value of a report.
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
