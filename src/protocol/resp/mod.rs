//! The protocol of engines: RESP arrays of bulk strings in both directions.
//!
//! [`RespCodec`] decodes and encodes the arrays; [`reply`] parses the replies of an engine.

pub mod reply;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// Maximum number of strings in an array from an engine.
const MAX_STRINGS: usize = 16;
/// Maximum size of a string from an engine, in bytes.
const MAX_STRING_BYTES: usize = 64 * 1024;
/// Maximum size of an array from an engine, in bytes. A valid one has a page of 6,000 bytes; with 16 strings of the largest
/// size each, hundreds of connections could exhaust memory.
const MAX_ARRAY_BYTES: usize = MAX_STRING_BYTES + 4096;
/// Number of bytes in which the digits of a length must end; a length has fewer digits than this.
const MAX_LENGTH_DIGITS: usize = 12;

/// Why an engine's bytes are rejected, or its connection failed.
#[derive(Debug, thiserror::Error)]
pub enum RespError {
    /// The bytes are not an array of bulk strings, or the array is not a valid reply.
    #[error("not a RESP array of bulk strings")]
    Malformed,
    /// A length exceeds its maximum.
    #[error("a length of {0} is too large")]
    Length(usize),
    /// A page of a result does not consist of rows of three columns.
    #[error("a page does not consist of rows of three columns")]
    Page,
    /// A reply or a write did not complete in time.
    #[error("a reply or a write did not complete in time")]
    Stalled,
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Decodes and encodes arrays of bulk strings.
pub struct RespCodec;

/// Parses a length between its type byte and the end of the line. Returns it with the number of
/// bytes consumed; `None` while it is incomplete.
fn parse_length(
    src: &[u8],
    type_byte: u8,
    max: usize,
) -> Result<Option<(usize, usize)>, RespError> {
    let Some((first, rest)) = src.split_first() else {
        return Ok(None);
    };
    if *first != type_byte {
        return Err(RespError::Malformed);
    }
    let digits = rest.iter().take(MAX_LENGTH_DIGITS);
    let Some(end) = digits.into_iter().position(|&byte| byte == b'\r') else {
        return if rest.len() >= MAX_LENGTH_DIGITS {
            Err(RespError::Malformed)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&rest[..end]).map_err(|_| RespError::Malformed)?;
    let length: usize = text.parse().map_err(|_| RespError::Malformed)?;
    if length > max {
        return Err(RespError::Length(length));
    }
    match rest.get(end + 1) {
        None => Ok(None),
        Some(b'\n') => Ok(Some((length, end + 3))),
        Some(_) => Err(RespError::Malformed),
    }
}

impl Decoder for RespCodec {
    type Item = Vec<Bytes>;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Vec<Bytes>>, RespError> {
        let Some((strings, mut offset)) = parse_length(src, b'*', MAX_STRINGS)? else {
            return Ok(None);
        };
        let mut ranges = [(0, 0); MAX_STRINGS];
        for range in &mut ranges[..strings] {
            let Some((length, used)) = parse_length(&src[offset..], b'$', MAX_STRING_BYTES)? else {
                return Ok(None);
            };
            offset += used;
            let end = offset + length;
            if end > MAX_ARRAY_BYTES {
                return Err(RespError::Length(end));
            }
            if src.len() < end + 2 {
                return Ok(None);
            }
            if &src[end..end + 2] != b"\r\n" {
                return Err(RespError::Malformed);
            }
            *range = (offset, end);
            offset = end + 2;
        }
        let copy = |&(start, end): &(usize, usize)| Bytes::copy_from_slice(&src[start..end]);
        let array = ranges[..strings].iter().map(copy).collect();
        src.advance(offset);
        Ok(Some(array))
    }
}

impl Encoder<&[&[u8]]> for RespCodec {
    type Error = RespError;

    fn encode(&mut self, strings: &[&[u8]], dst: &mut BytesMut) -> Result<(), RespError> {
        dst.put_slice(format!("*{}\r\n", strings.len()).as_bytes());
        for string in strings {
            dst.put_slice(format!("${}\r\n", string.len()).as_bytes());
            dst.put_slice(string);
            dst.put_slice(b"\r\n");
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
