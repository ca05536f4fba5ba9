//! Frames of the platform's protocol: length, kind, stream number and payload, in network byte order.
//!
//! A payload consists of a code (only in frames of the dispatcher), the number of fields, the
//! fields and a body. A field is a name with a length of one byte and a value with a length of two
//! bytes.

use crate::transport::buffer_pool::BUFFER_BYTES;
use bytes::{Buf, BufMut, Bytes, BytesMut};
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

/// A received frame.
#[derive(Debug, PartialEq)]
pub struct Frame {
    /// One of [`kind`].
    pub kind: u8,
    /// The stream of the frame.
    pub stream: u32,
    /// The bytes after the stream number.
    pub payload: Bytes,
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
    /// The rest of a frame did not arrive in time.
    #[error("a frame does not come whole")]
    Stalled,
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Decodes and encodes frames.
pub struct FrameCodec;

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some((head, _)) = src.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        // The length is checked before memory is reserved for the frame.
        if !(HEADER_BYTES..=MAX_LENGTH).contains(&length) {
            return Err(FrameError::Length(length));
        }
        if src.len() < LENGTH_BYTES + length {
            src.reserve(LENGTH_BYTES + length - src.len());
            return Ok(None);
        }
        src.advance(LENGTH_BYTES);
        let kind = src.get_u8();
        let stream = src.get_u32();
        // The payload is copied, so that the connection can reuse its buffer.
        let payload = Bytes::copy_from_slice(&src[..length - HEADER_BYTES]);
        src.advance(length - HEADER_BYTES);
        // A buffer that grew for a large frame is released: if every connection kept one, they
        // would exhaust memory.
        if src.is_empty() && src.capacity() > 2 * BUFFER_BYTES {
            *src = BytesMut::with_capacity(BUFFER_BYTES);
        }
        Ok(Some(Frame {
            kind,
            stream,
            payload,
        }))
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

/// Parses the fields of a client's payload; returns them and the body that follows.
///
/// # Errors
/// The payload ends within its fields.
pub fn parse_fields(mut payload: Bytes) -> Result<(Vec<(String, String)>, Bytes), FrameError> {
    let text = |payload: &mut Bytes, size: usize| {
        (payload.len() >= size)
            .then(|| String::from_utf8_lossy(&payload.split_to(size)).into_owned())
            .ok_or(FrameError::Truncated)
    };
    let count = payload.try_get_u8().map_err(|_| FrameError::Truncated)?;
    let mut fields = Vec::with_capacity(count.into());
    for _ in 0..count {
        let name_bytes = payload.try_get_u8().map_err(|_| FrameError::Truncated)?;
        let name = text(&mut payload, name_bytes.into())?;
        let value_bytes = payload.try_get_u16().map_err(|_| FrameError::Truncated)?;
        let value = text(&mut payload, value_bytes.into())?;
        fields.push((name, value));
    }
    Ok((fields, payload))
}
