//! Binary layout of a frame: a header of [`HEADER_BYTES`] with checksums of itself and of the content,
//! followed by the content as stored. Segments are sequences of frames. Numbers are big-endian.
//!
//! | offset | bytes | field |
//! | --- | --- | --- |
//! | 0 | 4 | magic number, `HWFR` |
//! | 4 | 1 | [`FrameKind`] |
//! | 5 | 1 | 1: the content is compressed (LZ4 block) |
//! | 6 | 2 | 0 |
//! | 8 | 8 | id of the spool |
//! | 16 | 4 | index of the page within the spool |
//! | 20 | 4 | rows in the page |
//! | 24 | 4 | length of the content in bytes |
//! | 28 | 4 | length of the content as stored, in bytes |
//! | 32 | 4 | CRC-32 of the content as stored |
//! | 36 | 4 | CRC-32 of the 36 bytes before |
//!
//! This module does no I/O.

#[cfg(test)]
mod tests;

const MAGIC: [u8; 4] = *b"HWFR";
const KIND_OFFSET: usize = 4;
const FLAGS_OFFSET: usize = 5;
const SPOOL_OFFSET: usize = 8;
const PAGE_OFFSET: usize = 16;
const ROWS_OFFSET: usize = 20;
const CONTENT_BYTES_OFFSET: usize = 24;
const STORED_BYTES_OFFSET: usize = 28;
const CONTENT_CHECKSUM_OFFSET: usize = 32;
const HEADER_CHECKSUM_OFFSET: usize = 36;
/// Length of the header, in bytes.
pub const HEADER_BYTES: usize = 40;

const FLAG_COMPRESSED: u8 = 1;
/// Maximum size of the content, in bytes: one row of the largest packet and a margin.
pub const MAX_CONTENT_BYTES: usize = 32 << 20;
/// Maximum size of the content as stored, in bytes.
const MAX_STORED_BYTES: usize = MAX_CONTENT_BYTES + MAX_CONTENT_BYTES / 128 + 64;
/// Minimum size of content that is compressed, in bytes.
const MIN_COMPRESSED_BYTES: usize = 256;

/// Kind of a frame. The values are those of the binary layout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// The first frame of a spool; its content states the owner.
    Begin = 1,
    /// A page.
    Page = 2,
    /// The last frame of a complete spool.
    End = 3,
}

impl FrameKind {
    fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            1 => Some(FrameKind::Begin),
            2 => Some(FrameKind::Page),
            3 => Some(FrameKind::End),
            _ => None,
        }
    }
}

/// Identification of a frame: the spool, and the part of it that the frame contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameId {
    /// Kind of the frame.
    pub kind: FrameKind,
    /// Id of the spool within its segment log.
    pub spool: u64,
    /// Index of the page; for an [`FrameKind::End`] frame, the number of pages.
    pub page: u32,
    /// Number of rows in the page.
    pub rows: u32,
}

/// Header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// Identification of the frame.
    pub id: FrameId,
    /// Whether the content is compressed.
    pub compressed: bool,
    /// Length of the content, in bytes.
    pub content_bytes: u32,
    /// Length of the content as stored, in bytes.
    pub stored_bytes: u32,
    /// CRC-32 of the content as stored.
    pub checksum: u32,
}

/// Reason why a frame cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The header is invalid, or is not that of the expected frame.
    #[error("no valid header of the expected frame")]
    Header,
    /// The checksum of the content does not match.
    #[error("the checksum of the content does not match")]
    Checksum,
    /// The content cannot be decompressed.
    #[error("the content cannot be decompressed")]
    Compression,
    /// The length of the content, given here in bytes, is above [`MAX_CONTENT_BYTES`].
    #[error("its content of {0} bytes is above the bound")]
    TooLong(usize),
}

impl FrameHeader {
    /// Returns the length of the frame with its header, in bytes.
    pub fn frame_bytes(&self) -> u64 {
        HEADER_BYTES as u64 + u64::from(self.stored_bytes)
    }

    /// Returns the header in its binary layout.
    pub fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..MAGIC.len()].copy_from_slice(&MAGIC);
        bytes[KIND_OFFSET] = self.id.kind as u8;
        bytes[FLAGS_OFFSET] = if self.compressed { FLAG_COMPRESSED } else { 0 };
        bytes[SPOOL_OFFSET..PAGE_OFFSET].copy_from_slice(&self.id.spool.to_be_bytes());
        write_u32(&mut bytes, PAGE_OFFSET, self.id.page);
        write_u32(&mut bytes, ROWS_OFFSET, self.id.rows);
        write_u32(&mut bytes, CONTENT_BYTES_OFFSET, self.content_bytes);
        write_u32(&mut bytes, STORED_BYTES_OFFSET, self.stored_bytes);
        write_u32(&mut bytes, CONTENT_CHECKSUM_OFFSET, self.checksum);
        let checksum = crc32fast::hash(&bytes[..HEADER_CHECKSUM_OFFSET]);
        write_u32(&mut bytes, HEADER_CHECKSUM_OFFSET, checksum);
        bytes
    }

    /// Decodes a header from its binary layout.
    ///
    /// # Errors
    /// [`FrameError::Header`] if the bytes are not a header, or differ from what was written.
    pub fn decode(bytes: &[u8; HEADER_BYTES]) -> Result<Self, FrameError> {
        let checksum = crc32fast::hash(&bytes[..HEADER_CHECKSUM_OFFSET]);
        let is_intact = read_u32(bytes, HEADER_CHECKSUM_OFFSET) == checksum;
        if !bytes.starts_with(&MAGIC) || !is_intact {
            return Err(FrameError::Header);
        }
        let header = FrameHeader {
            id: FrameId {
                kind: FrameKind::from_byte(bytes[KIND_OFFSET]).ok_or(FrameError::Header)?,
                spool: read_u64(bytes, SPOOL_OFFSET),
                page: read_u32(bytes, PAGE_OFFSET),
                rows: read_u32(bytes, ROWS_OFFSET),
            },
            compressed: bytes[FLAGS_OFFSET] & FLAG_COMPRESSED != 0,
            content_bytes: read_u32(bytes, CONTENT_BYTES_OFFSET),
            stored_bytes: read_u32(bytes, STORED_BYTES_OFFSET),
            checksum: read_u32(bytes, CONTENT_CHECKSUM_OFFSET),
        };
        let content_fits = header.content_bytes as usize <= MAX_CONTENT_BYTES;
        let stored_fits = header.stored_bytes as usize <= MAX_STORED_BYTES;
        if content_fits && stored_fits {
            Ok(header)
        } else {
            Err(FrameError::Header)
        }
    }

    /// Returns the content, decoded from the content as stored.
    ///
    /// # Errors
    /// The stored content differs from what was written.
    pub fn decode_content(&self, stored: &[u8]) -> Result<Vec<u8>, FrameError> {
        let has_length = stored.len() == self.stored_bytes as usize;
        if !has_length || crc32fast::hash(stored) != self.checksum {
            return Err(FrameError::Checksum);
        }
        if !self.compressed {
            return Ok(stored.to_vec());
        }
        let content_bytes = self.content_bytes as usize;
        lz4_flex::block::decompress(stored, content_bytes)
            .ok()
            .filter(|content| content.len() == content_bytes)
            .ok_or(FrameError::Compression)
    }
}

/// An encoded frame.
#[derive(Clone, Debug)]
pub struct EncodedFrame {
    /// Header of the frame.
    pub header: FrameHeader,
    /// Binary layout of the frame with its header.
    pub bytes: Vec<u8>,
}

/// Encodes a frame. The content is compressed if that makes it shorter.
///
/// # Errors
/// [`FrameError::TooLong`] for content above [`MAX_CONTENT_BYTES`].
pub fn encode(id: FrameId, content: &[u8]) -> Result<EncodedFrame, FrameError> {
    if content.len() > MAX_CONTENT_BYTES {
        return Err(FrameError::TooLong(content.len()));
    }
    let compressed = compress(content);
    let stored = compressed.as_deref().unwrap_or(content);
    let header = FrameHeader {
        id,
        compressed: compressed.is_some(),
        content_bytes: content.len() as u32,
        stored_bytes: stored.len() as u32,
        checksum: crc32fast::hash(stored),
    };
    let mut bytes = Vec::with_capacity(HEADER_BYTES + stored.len());
    bytes.extend(header.encode());
    bytes.extend(stored);
    Ok(EncodedFrame { header, bytes })
}

fn compress(content: &[u8]) -> Option<Vec<u8>> {
    if content.len() < MIN_COMPRESSED_BYTES {
        return None;
    }
    let compressed = lz4_flex::block::compress(content);
    (compressed.len() < content.len()).then_some(compressed)
}

fn write_u32(bytes: &mut [u8; HEADER_BYTES], offset: usize, value: u32) {
    bytes[offset..offset + 4].copy_from_slice(&value.to_be_bytes());
}

fn read_u32(bytes: &[u8; HEADER_BYTES], offset: usize) -> u32 {
    let mut value = [0; 4];
    value.copy_from_slice(&bytes[offset..offset + 4]);
    u32::from_be_bytes(value)
}

fn read_u64(bytes: &[u8; HEADER_BYTES], offset: usize) -> u64 {
    let mut value = [0; 8];
    value.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_be_bytes(value)
}
