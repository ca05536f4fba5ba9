//! Reading and writing of the fields of a payload.

use super::error::PacketError;
use bytes::{Buf, BufMut, Bytes};

/// Reads a payload field by field and checks at each step that the bytes are available. The unread
/// rest is in `.0`.
pub struct PayloadReader(pub Bytes);

impl PayloadReader {
    /// Reads one byte.
    ///
    /// # Errors
    /// [`PacketError::Truncated`].
    pub fn u8(&mut self) -> Result<u8, PacketError> {
        self.0.try_get_u8().map_err(|_| PacketError::Truncated)
    }

    /// Reads two bytes, little-endian.
    ///
    /// # Errors
    /// [`PacketError::Truncated`].
    pub fn u16(&mut self) -> Result<u16, PacketError> {
        self.0.try_get_u16_le().map_err(|_| PacketError::Truncated)
    }

    /// Reads four bytes, little-endian.
    ///
    /// # Errors
    /// [`PacketError::Truncated`].
    pub fn u32(&mut self) -> Result<u32, PacketError> {
        self.0.try_get_u32_le().map_err(|_| PacketError::Truncated)
    }

    fn u24(&mut self) -> Result<u32, PacketError> {
        let bytes = self.bytes(3)?;
        Ok(u32::from_le_bytes([bytes[0], bytes[1], bytes[2], 0]))
    }

    fn u64(&mut self) -> Result<u64, PacketError> {
        self.0.try_get_u64_le().map_err(|_| PacketError::Truncated)
    }

    /// Reads `count` bytes.
    ///
    /// # Errors
    /// [`PacketError::Truncated`].
    pub fn bytes(&mut self, count: usize) -> Result<Bytes, PacketError> {
        if self.0.len() < count {
            return Err(PacketError::Truncated);
        }
        Ok(self.0.split_to(count))
    }

    /// Reads text up to a zero byte or the end of the payload.
    pub fn text(&mut self) -> String {
        let end = self.0.iter().position(|&byte| byte == 0);
        let text = self.0.split_to(end.unwrap_or(self.0.len()));
        if end.is_some() {
            self.0.advance(1);
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Reads a length-encoded integer.
    ///
    /// # Errors
    /// [`PacketError::Truncated`], or the first byte does not begin an integer.
    pub fn length_encoded_integer(&mut self) -> Result<u64, PacketError> {
        Ok(match self.u8()? {
            0xfc => self.u16()?.into(),
            0xfd => self.u24()?.into(),
            0xfe => self.u64()?,
            0xfb | 0xff => return Err(PacketError::Protocol("no length stands here")),
            small => small.into(),
        })
    }

    /// Reads bytes that are preceded by their length-encoded count.
    ///
    /// # Errors
    /// [`PacketError::Truncated`], or the first byte does not begin an integer.
    pub fn length_encoded_bytes(&mut self) -> Result<Bytes, PacketError> {
        let length = self.length_encoded_integer()?;
        let length = usize::try_from(length).map_err(|_| PacketError::Truncated)?;
        self.bytes(length)
    }
}

/// Appends a length-encoded integer.
pub fn put_length_encoded_integer(buffer: &mut impl BufMut, value: u64) {
    match value {
        0..0xfb => buffer.put_u8(value as u8),
        0xfb..0x1_0000 => {
            buffer.put_u8(0xfc);
            buffer.put_u16_le(value as u16);
        }
        0x1_0000..0x100_0000 => {
            buffer.put_u8(0xfd);
            buffer.put_slice(&(value as u32).to_le_bytes()[..3]);
        }
        _ => {
            buffer.put_u8(0xfe);
            buffer.put_u64_le(value);
        }
    }
}
