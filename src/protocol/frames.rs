//! The platform's frames: their bytes, read and written.

use crate::transport::buffer_pool;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder};

const LEAST: usize = 5;
const MOST: usize = 262_144;

#[derive(Debug, PartialEq)]
pub struct Frame {
    pub kind: u8,
    pub stream: u32,
    pub payload: Bytes,
}

/// What is wrong with a client's bytes.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    #[error("a frame's length of {0} is outside 5 to 262144")]
    Length(usize),
    #[error("a frame ends inside its fields")]
    Short,
    #[error("type {0} is no frame of a client")]
    Kind(u8),
    #[error("stream {0} is not new on its connection")]
    Stream(u32),
    #[error("a frame does not come whole")]
    Stalled,
    #[error(transparent)]
    Io(#[from] io::Error),
}

pub struct FrameCodec;

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some((head, _)) = src.split_first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        // Checked before any room is made for it.
        if !(LEAST..=MOST).contains(&length) {
            return Err(FrameError::Length(length));
        }
        if src.len() < 4 + length {
            src.reserve(4 + length - src.len());
            return Ok(None);
        }
        src.advance(4);
        let (kind, stream) = (src.get_u8(), src.get_u32());
        // Copied, so that the connection's own buffer is free again for use.
        let payload = Bytes::copy_from_slice(&src[..length - LEAST]);
        src.advance(length - LEAST);
        // A large frame's room is given back: kept by every connection, it would fill the memory.
        if src.is_empty() && src.capacity() > 2 * buffer_pool::BUFFER_BYTES {
            *src = BytesMut::with_capacity(buffer_pool::BUFFER_BYTES);
        }
        Ok(Some(Frame {
            kind,
            stream,
            payload,
        }))
    }
}

/// A frame to be sent: its body is copied once, into the connection's buffer.
pub struct Send<'a> {
    pub kind: u8,
    pub stream: u32,
    pub code: Option<u8>,
    pub fields: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

impl Encoder<Send<'_>> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, f: Send<'_>, dst: &mut BytesMut) -> Result<(), FrameError> {
        let fields: usize = f.fields.iter().map(|(n, v)| 3 + n.len() + v.len()).sum();
        // A goodbye has no payload at all.
        let payload = f.code.map_or(0, |_| 2 + fields + f.body.len());
        let length = LEAST + payload;
        if length > MOST {
            return Err(FrameError::Length(length));
        }
        dst.reserve(4 + length);
        dst.put_u32(length as u32);
        dst.put_u8(f.kind);
        dst.put_u32(f.stream);
        if let Some(code) = f.code {
            dst.put_u8(code);
            dst.put_u8(f.fields.len() as u8);
            for (name, value) in f.fields {
                dst.put_u8(name.len() as u8);
                dst.put_slice(name.as_bytes());
                dst.put_u16(value.len() as u16);
                dst.put_slice(value.as_bytes());
            }
            dst.put_slice(f.body);
        }
        Ok(())
    }
}

/// The fields of a payload, and what follows them.
pub fn fields(mut payload: Bytes) -> Result<(Vec<(String, String)>, Bytes), FrameError> {
    let text = |payload: &mut Bytes, size: usize| {
        (payload.len() >= size)
            .then(|| String::from_utf8_lossy(&payload.split_to(size)).into_owned())
            .ok_or(FrameError::Short)
    };
    let count = payload.try_get_u8().map_err(|_| FrameError::Short)?;
    let mut list = Vec::with_capacity(count.into());
    for _ in 0..count {
        let size = payload.try_get_u8().map_err(|_| FrameError::Short)?;
        let name = text(&mut payload, size.into())?;
        let size = payload.try_get_u16().map_err(|_| FrameError::Short)?;
        let value = text(&mut payload, size.into())?;
        list.push((name, value));
    }
    Ok((list, payload))
}
