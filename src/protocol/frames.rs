//! Frames of the platform's protocol: length, kind, stream number and payload, in network byte order.
//!
//! A payload consists of a code (only in frames of the dispatcher), the number of fields, the
//! fields and a body. A field is a name with a length of one byte and a value with a length of two
//! bytes.

use crate::transport::buffer_pool::BUFFER_BYTES;
use crate::transport::incoming_message::{
    complete_purpose, copy_with_capacity, reserve_rest, shrink_if_empty,
};
use crate::transport::memory_budget::{MemoryBudget, Purpose, Reservation};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::borrow::Cow;
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// Kinds of frames.
pub mod kind {
    /// A client's request.
    pub const REQUEST: u8 = 2;
    /// The final answer to a request; on stream 0, the answer to bytes that cannot be decoded.
    pub const ANSWER: u8 = 4;
    /// The client no longer waits for a stream's answer.
    pub const LEAVE: u8 = 8;
    /// A client's readiness probe.
    pub const ASK: u8 = 16;
    /// The answer to a readiness probe.
    pub const STATE: u8 = 32;
    /// The dispatcher accepts no new requests on the connection.
    pub const GOODBYE: u8 = 64;
}

/// Codes of answers and states.
pub mod code {
    /// The request was served, or the dispatcher is ready.
    pub const SERVED: u8 = 0;
    /// The request failed.
    pub const FAILED: u8 = 2;
    /// The request never ran, or the dispatcher is not ready.
    pub const REFUSED: u8 = 14;
}

/// Size of the length, in bytes.
const LENGTH_BYTES: usize = 4;
/// Size of the kind and the stream number, in bytes; the minimum length.
const HEADER_BYTES: usize = 5;
/// Maximum length, in bytes, of a frame without the length itself.
const MAX_LENGTH: usize = 262_144;
/// Memory that an open request takes beside its payload, in bytes: its records in the router, in the decision module
/// and on a connection to an engine.
const OPEN_REQUEST_BYTES: usize = 2048;

/// A received frame.
#[derive(Debug)]
pub struct Frame {
    /// One of [`kind`].
    pub kind: u8,
    /// The stream of the frame.
    pub stream: u32,
    /// The size of the payload, in bytes.
    pub bytes: usize,
    /// The bytes after the stream number.
    pub payload: Payload,
}

/// The payload of a received frame.
#[derive(Debug)]
pub enum Payload {
    /// The payload of a request, and the memory that is reserved for it.
    Kept {
        /// The bytes after the stream number.
        bytes: Bytes,
        /// Reservation of these bytes and of what an open request takes beside them.
        memory: Reservation,
    },
    /// The payload was read and not kept, since the budget has no room for it.
    Denied,
    /// The payload was read and not kept, since frames of this kind have none.
    Ignored,
}

/// Why a client's bytes are rejected, or its connection failed.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The length of a frame is out of range.
    #[error("a frame's length of {0} is outside 5 to 262144")]
    Length(usize),
    /// The payload ends within its fields.
    #[error("a frame ends inside its fields")]
    Truncated,
    /// Clients must not send frames of this kind.
    #[error("type {0} is no frame of a client")]
    Kind(u8),
    /// The stream number of a request was already used on the connection.
    #[error("stream {0} is not new on its connection")]
    Stream(u32),
    /// The client closed the connection within a frame.
    #[error("the client closed within a frame")]
    Unfinished,
    /// The rest of a frame did not arrive in time.
    #[error("a frame does not come whole")]
    Stalled,
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Decodes and encodes frames. The payloads of requests are kept within a memory budget; what it has no room for, and
/// the payloads of other frames, are skipped as they arrive.
pub struct FrameCodec {
    budget: MemoryBudget,
    /// The frame of which a part has been decoded.
    partial: Option<PartialFrame>,
}

/// A frame whose head is decoded.
struct PartialFrame {
    kind: u8,
    stream: u32,
    /// The size of the payload.
    bytes: usize,
    rest: Rest,
}

/// The rest of a partial frame.
enum Rest {
    /// The whole payload of this many bytes is collected in the connection's buffer.
    Collected { bytes: usize, memory: Reservation },
    /// This many bytes are still to be skipped.
    Skipped { bytes: usize, payload: Payload },
}

impl FrameCodec {
    /// Creates a codec that keeps payloads within this budget.
    pub fn new(budget: MemoryBudget) -> Self {
        FrameCodec {
            budget,
            partial: None,
        }
    }

    /// Returns whether a frame has been decoded in part.
    pub fn is_within_frame(&self) -> bool {
        self.partial.is_some()
    }

    /// Decodes the head of a frame, once it has arrived.
    fn decode_head(&self, src: &mut BytesMut) -> Result<Option<PartialFrame>, FrameError> {
        let Some((head, _)) = src.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        // The length is checked before memory is reserved for the frame.
        if !(HEADER_BYTES..=MAX_LENGTH).contains(&length) {
            return Err(FrameError::Length(length));
        }
        if src.len() < LENGTH_BYTES + HEADER_BYTES {
            return Ok(None);
        }
        src.advance(LENGTH_BYTES);
        let kind = src.get_u8();
        let stream = src.get_u32();
        let bytes = length - HEADER_BYTES;
        let rest = match kind {
            kind::REQUEST => self.begin_request(bytes, src.len()),
            _ => Rest::Skipped {
                bytes,
                payload: Payload::Ignored,
            },
        };
        Ok(Some(PartialFrame {
            kind,
            stream,
            bytes,
            rest,
        }))
    }

    /// Reserves memory for a request's payload of this size, of which `arrived` bytes or more have arrived.
    fn begin_request(&self, bytes: usize, arrived: usize) -> Rest {
        let (reserved, purpose) = if arrived >= bytes {
            (bytes + OPEN_REQUEST_BYTES, complete_purpose(bytes))
        } else {
            (arrived, Purpose::Unfinished)
        };
        match self.budget.reserve(reserved, purpose) {
            Some(memory) => Rest::Collected { bytes, memory },
            None => Rest::Skipped {
                bytes,
                payload: Payload::Denied,
            },
        }
    }
}

impl Rest {
    /// Continues with what has arrived in `src`; returns the payload once it is complete.
    fn advance(&mut self, src: &mut BytesMut) -> Option<Payload> {
        if let Rest::Collected { bytes, memory } = self {
            if src.len() >= *bytes {
                return Some(take_payload(src, *bytes, std::mem::take(memory)));
            }
            if reserve_rest(src, *bytes, memory) {
                return None;
            }
            *self = Rest::Skipped {
                bytes: *bytes,
                payload: Payload::Denied,
            };
        }
        self.skip(src)
    }

    fn skip(&mut self, src: &mut BytesMut) -> Option<Payload> {
        let Rest::Skipped { bytes, payload } = self else {
            return None;
        };
        let skipped = src.len().min(*bytes);
        src.advance(skipped);
        *bytes -= skipped;
        shrink_if_empty(src);
        (*bytes == 0).then(|| std::mem::replace(payload, Payload::Ignored))
    }
}

/// Takes a complete payload out of `src`; returns [`Payload::Denied`] if an open request's memory is not available.
fn take_payload(src: &mut BytesMut, bytes: usize, mut memory: Reservation) -> Payload {
    memory.set_purpose(complete_purpose(bytes));
    let has_room = memory.resize(bytes + OPEN_REQUEST_BYTES);
    // A small payload is copied, so that the connection can reuse its buffer.
    let payload = match bytes {
        0..=BUFFER_BYTES => {
            let copy = Bytes::copy_from_slice(&src[..bytes]);
            src.advance(bytes);
            copy
        }
        _ => take_large_payload(src, bytes),
    };
    shrink_if_empty(src);
    if has_room {
        Payload::Kept {
            bytes: payload,
            memory,
        }
    } else {
        Payload::Denied
    }
}

/// Takes a payload with the buffer that holds it; what follows it moves to a new buffer.
fn take_large_payload(src: &mut BytesMut, bytes: usize) -> Bytes {
    let payload = src.split_to(bytes);
    *src = copy_with_capacity(src, BUFFER_BYTES.max(src.len()));
    payload.freeze()
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        if self.partial.is_none() {
            self.partial = self.decode_head(src)?;
        }
        let Some(partial) = &mut self.partial else {
            return Ok(None);
        };
        let Some(payload) = partial.rest.advance(src) else {
            return Ok(None);
        };
        let frame = Frame {
            kind: partial.kind,
            stream: partial.stream,
            bytes: partial.bytes,
            payload,
        };
        self.partial = None;
        Ok(Some(frame))
    }

    /// The end of the connection within a frame is an error, whether the frame's bytes are kept or skipped.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        match self.decode(src)? {
            Some(frame) => Ok(Some(frame)),
            None if src.is_empty() && self.partial.is_none() => Ok(None),
            None => Err(FrameError::Unfinished),
        }
    }
}

/// A frame to be sent. Its body is copied once, into the connection's buffer.
pub struct OutgoingFrame<'a> {
    /// One of [`kind`].
    pub kind: u8,
    /// The stream of the frame.
    pub stream: u32,
    /// One of [`code`]; without a code the frame has no payload.
    pub code: Option<u8>,
    /// Names and values of the fields.
    pub fields: &'a [(&'a str, &'a str)],
    /// The bytes after the fields.
    pub body: &'a [u8],
}

impl Encoder<OutgoingFrame<'_>> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: OutgoingFrame<'_>, dst: &mut BytesMut) -> Result<(), FrameError> {
        let field_bytes = |(name, value): &(&str, &str)| 3 + name.len() + value.len();
        let fields: usize = frame.fields.iter().map(field_bytes).sum();
        let payload = frame.code.map_or(0, |_| 2 + fields + frame.body.len());
        let length = HEADER_BYTES + payload;
        if length > MAX_LENGTH {
            return Err(FrameError::Length(length));
        }
        dst.reserve(LENGTH_BYTES + length);
        dst.put_u32(length as u32);
        dst.put_u8(frame.kind);
        dst.put_u32(frame.stream);
        if let Some(code) = frame.code {
            dst.put_u8(code);
            dst.put_u8(frame.fields.len() as u8);
            for (name, value) in frame.fields {
                dst.put_u8(name.len() as u8);
                dst.put_slice(name.as_bytes());
                dst.put_u16(value.len() as u16);
                dst.put_slice(value.as_bytes());
            }
            dst.put_slice(frame.body);
        }
        Ok(())
    }
}

/// The fields of a client's payload, and where they end.
#[derive(Debug)]
pub struct Fields<'a> {
    /// Names and values, in the order of the frame.
    pub entries: Vec<(Cow<'a, str>, Cow<'a, str>)>,
    /// Number of bytes that the fields take; the body follows them.
    pub bytes: usize,
}

/// Parses the fields at the beginning of a client's payload.
///
/// # Errors
/// The payload ends within its fields.
pub fn parse_fields(payload: &[u8]) -> Result<Fields<'_>, FrameError> {
    let mut rest = payload;
    let count = rest.try_get_u8().map_err(|_| FrameError::Truncated)?;
    let mut entries = Vec::with_capacity(count.into());
    for _ in 0..count {
        let name_bytes = rest.try_get_u8().map_err(|_| FrameError::Truncated)?;
        let name = split_text(&mut rest, name_bytes.into())?;
        let value_bytes = rest.try_get_u16().map_err(|_| FrameError::Truncated)?;
        let value = split_text(&mut rest, value_bytes.into())?;
        entries.push((name, value));
    }
    Ok(Fields {
        entries,
        bytes: payload.len() - rest.len(),
    })
}

/// Removes a text of this size from the beginning of `rest`.
fn split_text<'a>(rest: &mut &'a [u8], bytes: usize) -> Result<Cow<'a, str>, FrameError> {
    let (text, after) = rest.split_at_checked(bytes).ok_or(FrameError::Truncated)?;
    *rest = after;
    Ok(String::from_utf8_lossy(text))
}

#[cfg(test)]
mod tests;
