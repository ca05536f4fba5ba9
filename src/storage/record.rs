//! Binary layout of a record: a header of [`HEADER_BYTES`], followed by the content. Numbers are big-endian.
//!
//! | offset | bytes | field |
//! | --- | --- | --- |
//! | 0 | 8 | magic number, `HITCHREC` |
//! | 8 | 4 | what the record contains ([`RecordKind::tag`]) |
//! | 12 | 4 | format version of the content ([`RecordKind::version`]) |
//! | 16 | 8 | length of the content in bytes |
//! | 24 | 4 | CRC-32 of the 24 bytes before and of the content |

#[cfg(test)]
mod tests;

const MAGIC: [u8; 8] = *b"HITCHREC";
const TAG_OFFSET: usize = 8;
const VERSION_OFFSET: usize = 12;
const LENGTH_OFFSET: usize = 16;
const CHECKSUM_OFFSET: usize = 24;
/// Length of the header, in bytes.
pub const HEADER_BYTES: usize = 28;

/// Kind of content of a record, and the format version that this program writes. Earlier versions can be read
/// as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordKind {
    /// Identifies the content.
    pub tag: [u8; 4],
    /// Format version of the content.
    pub version: u32,
}

/// Reason why a record cannot be read. Operators see the messages in the body of `GET /_members`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The file does not have the layout of a record.
    #[error("it is no record of this program")]
    NotARecord,
    /// The record has another tag.
    #[error("it holds {0:?}, not what belongs here")]
    WrongTag(String),
    /// The record has a later format version.
    #[error("its form {found} is of a later program; this one reads up to {supported}")]
    UnsupportedVersion {
        /// Version of the record.
        found: u32,
        /// Latest version that can be read.
        supported: u32,
    },
    /// The file ends too early.
    #[error("it is torn: {found} of {expected} bytes are there")]
    Truncated {
        /// Number of bytes in the file.
        found: u64,
        /// Number of bytes of the complete record, or of the header if even that is incomplete.
        expected: u64,
    },
    /// The checksum does not match.
    #[error("its checksum is wrong")]
    Checksum,
    /// The length of the content, given here in bytes, is above the limit.
    #[error("its {0} bytes are above the bound")]
    TooLong(u64),
    /// The content cannot be parsed.
    #[error("its content cannot be read: {0}")]
    Content(String),
}

fn checksum(header: &[u8], content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(content);
    hasher.finalize()
}

/// Returns a record of this kind with this content.
pub fn encode(kind: RecordKind, content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend(MAGIC);
    bytes.extend(kind.tag);
    bytes.extend(kind.version.to_be_bytes());
    bytes.extend((content.len() as u64).to_be_bytes());
    let checksum = checksum(&bytes, content);
    bytes.extend(checksum.to_be_bytes());
    bytes.extend(content);
    bytes
}

/// Returns the content of a record of this kind, which has to be complete and at most `max_content_bytes`
/// long.
///
/// # Errors
/// The first mismatch that is found.
pub fn decode(
    kind: RecordKind,
    bytes: &[u8],
    max_content_bytes: usize,
) -> Result<&[u8], RecordError> {
    if !bytes.starts_with(&MAGIC[..bytes.len().min(MAGIC.len())]) {
        return Err(RecordError::NotARecord);
    }
    let truncated = |expected: u64| RecordError::Truncated {
        found: bytes.len() as u64,
        expected,
    };
    let Some((header, content)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
        return Err(truncated(HEADER_BYTES as u64));
    };
    let tag = &header[TAG_OFFSET..VERSION_OFFSET];
    if tag != kind.tag {
        let tag = String::from_utf8_lossy(tag).into_owned();
        return Err(RecordError::WrongTag(tag));
    }
    // A later version may have another header, so the version is checked before the fields after it.
    let version = read_u32(header, VERSION_OFFSET);
    if version > kind.version {
        return Err(RecordError::UnsupportedVersion {
            found: version,
            supported: kind.version,
        });
    }
    let length = read_u64(header, LENGTH_OFFSET);
    if length > max_content_bytes as u64 {
        return Err(RecordError::TooLong(length));
    }
    let found = content.len() as u64;
    if found < length {
        return Err(truncated(HEADER_BYTES as u64 + length));
    }
    if found > length {
        return Err(RecordError::NotARecord);
    }
    if checksum(&header[..CHECKSUM_OFFSET], content) != read_u32(header, CHECKSUM_OFFSET) {
        return Err(RecordError::Checksum);
    }
    Ok(content)
}

fn read_u32(header: &[u8; HEADER_BYTES], offset: usize) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&header[offset..offset + 4]);
    u32::from_be_bytes(bytes)
}

fn read_u64(header: &[u8; HEADER_BYTES], offset: usize) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&header[offset..offset + 8]);
    u64::from_be_bytes(bytes)
}
