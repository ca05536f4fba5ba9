//! Messages in which a dispatcher requests the minimum ages of engines from a peer, and the responses.
//!
//! A dispatcher that has just started cannot derive an engine's age from wall clocks, because they may be
//! wrong. A peer that learned of the start earlier has measured the time since then, and the engine is at
//! least that old. The time that the message takes only makes the engine older.
//!
//! | message | bytes |
//! | --- | --- |
//! | request | `q`, then 6 bytes for each start: 21-bit hashes of the engine and of the reported start time |
//! | response | `s`, then 8 bytes for each start: the same 6 bytes, and its age in units of 0.1 s, 14 bits |
//!
//! Every byte is below 128, most significant bits first, as in the other messages.

use super::message::{MAX_MESSAGE_BYTES, engine_hash};
use super::seven_bit::{self, HASH_BYTES, decode_number, encode_number};
use crate::decision::model::Millis;

const REQUEST_KIND: u8 = b'q';
const RESPONSE_KIND: u8 = b's';
const START_BYTES: usize = 2 * HASH_BYTES;
const AGE_BYTES: usize = 2;
/// Unit of an age in a message, in ms.
const AGE_UNIT_MS: Millis = 100.0;
/// Maximum age in a message, in units of [`AGE_UNIT_MS`]; it is sent for older engines too.
const MAX_AGE_UNITS: f64 = 16_383.0;

/// Maximum number of starts in a message, chosen so that the response to a full request fits into one
/// message.
pub const MAX_STARTS_PER_MESSAGE: usize = (MAX_MESSAGE_BYTES - 1) / (START_BYTES + AGE_BYTES);

/// Identifies one start of one engine in messages between dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StartId {
    engine_hash: u32,
    start_hash: u32,
}

impl StartId {
    /// Identifies the start of an engine by the start time that discovery reports.
    pub fn new(engine: &str, reported_start: Millis) -> Self {
        StartId {
            engine_hash: engine_hash(engine),
            start_hash: seven_bit::hash(reported_start.to_bits().to_be_bytes()),
        }
    }
}

/// Minimum age of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineAge {
    /// The engine's start from which the age counts.
    pub start: StartId,
    /// Minimum time since that start, in ms.
    pub min_age: Millis,
}

/// A message about starts of engines.
#[derive(Clone, Debug, PartialEq)]
pub enum AgeMessage {
    /// Requests the minimum time since each start.
    Request(Vec<StartId>),
    /// States the minimum time since each start.
    Response(Vec<EngineAge>),
}

impl AgeMessage {
    /// Encodes the message with the first [`MAX_STARTS_PER_MESSAGE`] of its starts.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            AgeMessage::Request(starts) => {
                let starts = starts.iter().take(MAX_STARTS_PER_MESSAGE);
                let bytes = starts.flat_map(|start| encode_start(*start));
                std::iter::once(REQUEST_KIND).chain(bytes).collect()
            }
            AgeMessage::Response(ages) => {
                let ages = ages.iter().take(MAX_STARTS_PER_MESSAGE);
                let bytes = ages.flat_map(|age| {
                    let units = (age.min_age.max(0.0) / AGE_UNIT_MS).floor();
                    let units = units.min(MAX_AGE_UNITS) as u32;
                    let mut bytes = encode_start(age.start);
                    bytes.extend(encode_number::<AGE_BYTES>(units));
                    bytes
                });
                std::iter::once(RESPONSE_KIND).chain(bytes).collect()
            }
        }
    }

    /// Decodes a message. Returns `None` if it is of another kind or malformed.
    pub fn decode(message: &[u8]) -> Option<Self> {
        let (&kind, body) = message.split_first()?;
        if !body.is_ascii() {
            return None;
        }
        match kind {
            REQUEST_KIND => {
                let starts = entries(body, START_BYTES)?;
                Some(AgeMessage::Request(starts.map(decode_start).collect()))
            }
            RESPONSE_KIND => {
                let ages = entries(body, START_BYTES + AGE_BYTES)?;
                let age = |entry: &[u8]| EngineAge {
                    start: decode_start(&entry[..START_BYTES]),
                    min_age: f64::from(decode_number(&entry[START_BYTES..])) * AGE_UNIT_MS,
                };
                Some(AgeMessage::Response(ages.map(age).collect()))
            }
            _ => None,
        }
    }
}

/// Splits a body into entries of `size` bytes. Returns `None` unless it consists of 1 to
/// [`MAX_STARTS_PER_MESSAGE`] complete entries.
fn entries(body: &[u8], size: usize) -> Option<std::slice::ChunksExact<'_, u8>> {
    let count = body.len() / size;
    let is_complete =
        body.len().is_multiple_of(size) && (1..=MAX_STARTS_PER_MESSAGE).contains(&count);
    is_complete.then(|| body.chunks_exact(size))
}

fn encode_start(start: StartId) -> Vec<u8> {
    let mut bytes = encode_number::<HASH_BYTES>(start.engine_hash).to_vec();
    bytes.extend(encode_number::<HASH_BYTES>(start.start_hash));
    bytes
}

fn decode_start(bytes: &[u8]) -> StartId {
    let (engine, start) = bytes.split_at(HASH_BYTES);
    StartId {
        engine_hash: decode_number(engine),
        start_hash: decode_number(start),
    }
}

#[cfg(test)]
mod tests;
