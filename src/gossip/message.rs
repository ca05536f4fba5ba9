//! The form of a message: one load report of one engine, in bytes below 128, so that it is text as well and the
//! simulator's wire can carry it.
//!
//! ```text
//! message = kind:1 ('r') engine:3 value:1 for each field of a report
//! ```
//!
//! `engine` is 21 bits of a hash of its id; a value is a step on a scale of its own: shares by steps of 0.02 to 1.26,
//! counts by ones to 40, then by a tenth each.

/// The most that one message may hold, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256;
const REPORT: u8 = b'r';
const HEAD: usize = 4;
/// Values of a report that a message has room for.
const FIELDS: usize = 16;

/// What a message tells.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReportMessage {
    /// Stands for the engine's name: [`short`].
    pub short: u32,
    pub report: Vec<f64>,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    #[error("a message of {0} bytes where {1} are due")]
    Length(usize, usize),
    #[error("a message of kind {0}, which is not known")]
    Kind(u8),
    #[error("a byte of 128 or more")]
    Byte,
}

/// 21 bits that stand for an engine's name (FNV-1a, folded).
pub fn short(engine: &str) -> u32 {
    let hash = engine.bytes().fold(0x811c_9dc5u32, |h, b| {
        (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
    });
    (hash ^ hash >> 21) & 0x1f_ffff
}

/// The message, unless the report has other fields than the settings name or a value that no engine has.
pub fn encode(short: u32, report: &[f64], fields: usize) -> Option<Vec<u8>> {
    if report.len() != fields || !(1..=FIELDS).contains(&fields) {
        return None;
    }
    let mut message = vec![REPORT];
    message.extend([14, 7, 0].map(|shift| (short >> shift & 0x7f) as u8));
    for v in report {
        message.push(step(*v)?);
    }
    Some(message)
}

/// What a message tells, or why it can't be read.
pub fn decode(message: &[u8], fields: usize) -> Result<LoadReportMessage, DecodeError> {
    let due = HEAD + fields.min(FIELDS);
    match message.first() {
        Some(&kind) if kind != REPORT => return Err(DecodeError::Kind(kind)),
        _ if message.len() != due => return Err(DecodeError::Length(message.len(), due)),
        _ if message.iter().any(|b| *b >= 128) => return Err(DecodeError::Byte),
        _ => {}
    }
    let short = message[1..HEAD]
        .iter()
        .fold(0, |s, b| s << 7 | u32::from(*b));
    Ok(LoadReportMessage {
        short,
        report: message[HEAD..].iter().map(|b| value(*b)).collect(),
    })
}

/// Steps 0 to 63: 0 to 1.26 by 0.02. 64 to 103: 1 to 40 by ones. From there each is a tenth more, to 394.
const FINE: f64 = 0.02;

fn step(v: f64) -> Option<u8> {
    let whole = v.fract() == 0.0;
    match v {
        _ if !v.is_finite() || v < 0.0 => None,
        0.0 => Some(0),
        _ if v <= 1.26 && !(whole && v >= 1.0) => Some((v / FINE).round() as u8),
        _ if v <= 40.0 => Some(63 + v.round() as u8),
        _ => Some((103.0 + (v / 40.0).log(1.1).round()).min(127.0) as u8),
    }
}

fn value(step: u8) -> f64 {
    match f64::from(step) {
        s if s < 64.0 => s * FINE,
        s if s < 104.0 => s - 63.0,
        s => 40.0 * 1.1f64.powf(s - 103.0),
    }
}
