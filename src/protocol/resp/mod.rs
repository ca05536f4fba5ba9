//! The engines' protocol: RESP arrays of bulk strings, both ways.
//!
//! [`RespCodec`] reads and writes the arrays; [`reply`] reads what an engine's replies say.

pub mod reply;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// Strings of an array that an engine may send.
const MAX_STRINGS: usize = 16;
/// Bytes of one string that an engine may send.
const MAX_STRING_BYTES: usize = 64 * 1024;
/// A length has fewer digits than this.
const MAX_LENGTH_DIGITS: usize = 12;

/// What is wrong with an engine's bytes.
#[derive(Debug, thiserror::Error)]
pub enum RespError {
    /// The bytes or the array have another form than the protocol's.
    #[error("not a RESP array of bulk strings")]
    Form,
    /// A length is out of bounds.
    #[error("a length of {0} is too large")]
    Length(usize),
    /// A page of a result has another form than rows of three columns.
    #[error("a page is no rows of three columns")]
    Page,
    /// A reply or a write does not come to its end.
    #[error("an answer does not come to its end")]
    Stalled,
    /// The connection is broken.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Reads and writes arrays of bulk strings.
pub struct RespCodec;

/// A length between its mark and the line's end, and the bytes that all of this takes; `None` while it is incomplete.
fn parse_length(src: &[u8], mark: u8, max: usize) -> Result<Option<(usize, usize)>, RespError> {
    let Some((first, rest)) = src.split_first() else {
        return Ok(None);
    };
    if *first != mark {
        return Err(RespError::Form);
    }
    let digits = rest.iter().take(MAX_LENGTH_DIGITS);
    let Some(end) = digits.into_iter().position(|&byte| byte == b'\r') else {
        return if rest.len() >= MAX_LENGTH_DIGITS {
            Err(RespError::Form)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&rest[..end]).map_err(|_| RespError::Form)?;
    let length: usize = text.parse().map_err(|_| RespError::Form)?;
    if length > max {
        return Err(RespError::Length(length));
    }
    match rest.get(end + 1) {
        None => Ok(None),
        Some(b'\n') => Ok(Some((length, end + 3))),
        Some(_) => Err(RespError::Form),
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
            if src.len() < end + 2 {
                return Ok(None);
            }
            if &src[end..end + 2] != b"\r\n" {
                return Err(RespError::Form);
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
