//! Requests of a dispatcher to a peer for how long it has known the starts of engines, and the responses.
//!
//! A dispatcher that has just started cannot tell an engine's age from wall clocks: they may be wrong. A peer that has
//! heard of the start earlier knows a span of real time since, and the engine is at least as old; the way of the message
//! only adds to it.
//!
//! | message | bytes |
//! | --- | --- |
//! | request | `q`, then 6 bytes for each start: the engine's hash and that of the start as it was told, 21 bits each |
//! | response | `s`, then 8 bytes for each start: the same 6, and its age in tenths of a second, 14 bits |
//!
//! Every byte is below 128, the highest bits first, as in the other messages.

use super::message::{MAX_MESSAGE_BYTES, engine_hash};
use super::seven_bit::{self, HASH_BYTES, decode_number, encode_number};
use crate::decision::model::Millis;

const REQUEST_KIND: u8 = b'q';
const RESPONSE_KIND: u8 = b's';
const START_BYTES: usize = 2 * HASH_BYTES;
const AGE_BYTES: usize = 2;
/// The unit of an age in a message, in ms.
const AGE_UNIT_MS: Millis = 100.0;
/// The largest age of a message, in units; older engines are told with it.
const MAX_AGE_UNITS: f64 = 16_383.0;

/// Starts that a message names at most: a response to a whole request is one message.
pub const MAX_STARTS: usize = (MAX_MESSAGE_BYTES - 1) / (START_BYTES + AGE_BYTES);

/// Identifies one start of one engine among dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StartId {
    engine_hash: u32,
    start_hash: u32,
}

impl StartId {
    /// The start that discovery tells of this engine with this time.
    pub fn new(engine: &str, told: Millis) -> Self {
        StartId {
            engine_hash: engine_hash(engine),
            start_hash: seven_bit::hash(told.to_bits().to_be_bytes()),
        }
    }
}

/// An engine is at least this old.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineAge {
    /// Which of its starts is meant.
    pub start: StartId,
    /// Time since its start, in ms.
    pub min_age: Millis,
}

/// A message about starts.
#[derive(Clone, Debug, PartialEq)]
pub enum AgeMessage {
    /// How long ago were these?
    Request(Vec<StartId>),
    /// So long ago at least.
    Response(Vec<EngineAge>),
}

impl AgeMessage {
    /// The message's bytes, with the first [`MAX_STARTS`] of its starts.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            AgeMessage::Request(starts) => {
                let starts = starts.iter().take(MAX_STARTS);
                let bytes = starts.flat_map(|start| encode_start(*start));
                std::iter::once(REQUEST_KIND).chain(bytes).collect()
            }
            AgeMessage::Response(ages) => {
                let ages = ages.iter().take(MAX_STARTS);
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

    /// Reads a message; `None` if it is none about starts, or not whole.
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

/// The entries of a body that holds whole ones, one to [`MAX_STARTS`].
fn entries(body: &[u8], size: usize) -> Option<std::slice::ChunksExact<'_, u8>> {
    let count = body.len() / size;
    let is_whole = body.len().is_multiple_of(size) && (1..=MAX_STARTS).contains(&count);
    is_whole.then(|| body.chunks_exact(size))
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
