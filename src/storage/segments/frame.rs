//! What stands in a segment: one frame behind the other, each with a head that checks itself and its content.
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | `HWFR` |
//! | 1 | what it is ([`Kind`]) |
//! | 1 | 1: the content is packed (LZ4) |
//! | 2 | 0 |
//! | 8 | the spool's number |
//! | 4 | the page's place within the spool |
//! | 4 | rows in it |
//! | 4 | the content's length, in bytes |
//! | 4 | the same as stored |
//! | 4 | CRC-32 of what is stored |
//! | 4 | CRC-32 of the 36 bytes before |
//!
//! Numbers are big endian. Pure: nothing here reads or writes a file.

const MAGIC: [u8; 4] = *b"HWFR";
/// The head's length, in bytes.
pub const HEAD: usize = 40;
/// No content is longer, in bytes: one row of the largest packet with room to spare.
pub const MOST: usize = 32 << 20;
/// Contents shorter than this are not worth packing, in bytes.
const PACK_FROM: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A spool begins: its content tells whose it is.
    Begin = 1,
    Page = 2,
    /// The spool is whole.
    End = 3,
}

/// One frame's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub kind: Kind,
    pub packed: bool,
    pub spool: u64,
    pub page: u32,
    pub rows: u32,
    /// The content's length, in bytes, and the same as stored.
    pub raw: u32,
    pub stored: u32,
    pub sum: u32,
}

/// Why a frame cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("no frame begins here")]
    Head,
    #[error("its checksum is wrong")]
    Sum,
    #[error("it cannot be unpacked")]
    Packing,
    #[error("its content of {0} bytes is above the bound")]
    Long(usize),
}

fn word(b: &[u8; HEAD], at: usize) -> u32 {
    u32::from_be_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]])
}

impl Head {
    /// The frame's length, head and all, in bytes.
    pub fn length(&self) -> u64 {
        HEAD as u64 + u64::from(self.stored)
    }

    pub fn write(&self) -> [u8; HEAD] {
        let mut b = [0; HEAD];
        b[..4].copy_from_slice(&MAGIC);
        (b[4], b[5]) = (self.kind as u8, self.packed.into());
        b[8..16].copy_from_slice(&self.spool.to_be_bytes());
        for (i, n) in [self.page, self.rows, self.raw, self.stored, self.sum]
            .into_iter()
            .enumerate()
        {
            b[16 + 4 * i..20 + 4 * i].copy_from_slice(&n.to_be_bytes());
        }
        let sum = crc32fast::hash(&b[..36]);
        b[36..].copy_from_slice(&sum.to_be_bytes());
        b
    }

    /// # Errors
    /// It is no head, or not as it was written.
    pub fn read(b: &[u8; HEAD]) -> Result<Self, FrameError> {
        if b[..4] != MAGIC || crc32fast::hash(&b[..36]) != word(b, 36) {
            return Err(FrameError::Head);
        }
        let kind = match b[4] {
            1 => Kind::Begin,
            2 => Kind::Page,
            3 => Kind::End,
            _ => return Err(FrameError::Head),
        };
        let head = Head {
            kind,
            packed: b[5] & 1 == 1,
            spool: u64::from(word(b, 8)) << 32 | u64::from(word(b, 12)),
            page: word(b, 16),
            rows: word(b, 20),
            raw: word(b, 24),
            stored: word(b, 28),
            sum: word(b, 32),
        };
        match head.raw as usize > MOST || head.stored as usize > MOST + MOST / 128 + 64 {
            true => Err(FrameError::Head),
            false => Ok(head),
        }
    }

    /// The content behind what is stored.
    ///
    /// # Errors
    /// It is not what was written.
    pub fn open(&self, stored: &[u8]) -> Result<Vec<u8>, FrameError> {
        if stored.len() != self.stored as usize || crc32fast::hash(stored) != self.sum {
            return Err(FrameError::Sum);
        }
        match self.packed {
            false => Ok(stored.to_vec()),
            true => lz4_flex::block::decompress(stored, self.raw as usize)
                .ok()
                .filter(|raw| raw.len() == self.raw as usize)
                .ok_or(FrameError::Packing),
        }
    }
}

/// A whole frame, packed if that makes it shorter.
///
/// # Errors
/// A content above [`MOST`].
pub fn write(
    kind: Kind,
    spool: u64,
    page: u32,
    rows: u32,
    content: &[u8],
) -> Result<(Head, Vec<u8>), FrameError> {
    if content.len() > MOST {
        return Err(FrameError::Long(content.len()));
    }
    let packed = (content.len() >= PACK_FROM).then(|| lz4_flex::block::compress(content));
    let packed = packed.filter(|p| p.len() < content.len());
    let stored = packed.as_deref().unwrap_or(content);
    let head = Head {
        kind,
        packed: packed.is_some(),
        spool,
        page,
        rows,
        raw: content.len() as u32,
        stored: stored.len() as u32,
        sum: crc32fast::hash(stored),
    };
    let mut frame = Vec::with_capacity(HEAD + stored.len());
    frame.extend(head.write());
    frame.extend(stored);
    Ok((head, frame))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None,
            rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

        #[test]
        fn a_frame_reads_as_it_was_written_and_no_flipped_bit_passes(
            content in prop::collection::vec(prop_oneof![Just(7u8), any::<u8>()], 0..2000),
            spool in any::<u64>(), page in any::<u32>(), at in any::<prop::sample::Index>(), bit in 0..8u8,
        ) {
            let (head, frame) = write(Kind::Page, spool, page, 3, &content).unwrap();
            let read = |f: &[u8]| -> Result<(Head, Vec<u8>), FrameError> {
                let head = Head::read(f[..HEAD].try_into().unwrap())?;
                let stored = f.get(HEAD..HEAD + head.stored as usize).ok_or(FrameError::Sum)?;
                Ok((head, head.open(stored)?))
            };
            prop_assert_eq!(read(&frame).unwrap(), (head, content));
            prop_assert_eq!(head.length(), frame.len() as u64);
            let mut flipped = frame.clone();
            flipped[at.index(frame.len())] ^= 1 << bit;
            prop_assert!(read(&flipped).is_err());
        }
    }
}
