//! The form of a record: a head of [`HEAD`] bytes, then the content.
//!
//! | bytes | what |
//! | --- | --- |
//! | 8 | `HITCHREC` |
//! | 4 | what it holds ([`RecordKind::tag`]) |
//! | 4 | the form of the content ([`RecordKind::form`]), big endian |
//! | 8 | the content's length, big endian |
//! | 4 | CRC-32 of the 24 bytes before and of the content, big endian |

const MAGIC: [u8; 8] = *b"HITCHREC";
/// The head's length, in bytes.
pub const HEAD: usize = 28;

/// What a record holds, and in which form this program writes it; older forms are read as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordKind {
    pub tag: [u8; 4],
    pub version: u32,
}

/// Why a record cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    #[error("it is no record of this program")]
    Foreign,
    #[error("it holds {0:?}, not what belongs here")]
    Other(String),
    #[error("its form {found} is of a later program; this one reads up to {known}")]
    Future { found: u32, known: u32 },
    #[error("it is torn: {found} of {wanted} bytes are there")]
    Torn { found: u64, wanted: u64 },
    #[error("its checksum is wrong")]
    Checksum,
    #[error("its {0} bytes are above the bound")]
    Long(u64),
    #[error("its content cannot be read: {0}")]
    Content(String),
}

fn checksum(head: &[u8], content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(head);
    hasher.update(content);
    hasher.finalize()
}

pub fn encode(kind: RecordKind, content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + content.len());
    bytes.extend(MAGIC);
    bytes.extend(kind.tag);
    bytes.extend(kind.version.to_be_bytes());
    bytes.extend((content.len() as u64).to_be_bytes());
    let sum = checksum(&bytes, content);
    bytes.extend(sum.to_be_bytes());
    bytes.extend(content);
    bytes
}

/// The content, if it is whole and of this kind.
///
/// # Errors
/// What is wrong with it, by name.
pub fn decode(kind: RecordKind, bytes: &[u8], most: usize) -> Result<&[u8], RecordError> {
    if !bytes.starts_with(&MAGIC[..bytes.len().min(MAGIC.len())]) {
        return Err(RecordError::Foreign);
    }
    let torn = |wanted: u64| RecordError::Torn {
        found: bytes.len() as u64,
        wanted,
    };
    let Some((head, content)) = bytes.split_first_chunk::<HEAD>() else {
        return Err(torn(HEAD as u64));
    };
    let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let length = u64::from(word(16)) << 32 | u64::from(word(20));
    if head[8..12] != kind.tag {
        return Err(RecordError::Other(
            String::from_utf8_lossy(&head[8..12]).into_owned(),
        ));
    }
    // A later form may have another head: it is told apart before anything else is checked.
    if word(12) > kind.version {
        return Err(RecordError::Future {
            found: word(12),
            known: kind.version,
        });
    }
    if length > most as u64 {
        return Err(RecordError::Long(length));
    }
    match content.len() as u64 {
        n if n < length => Err(torn(HEAD as u64 + length)),
        n if n > length => Err(RecordError::Foreign),
        _ if checksum(&head[..24], content) != word(24) => Err(RecordError::Checksum),
        _ => Ok(content),
    }
}
