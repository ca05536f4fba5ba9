//! Sequences of packets in one buffer: each packet follows its length, a big-endian `u32`.

use bytes::{BufMut, BytesMut};

/// The length of the prefix of each packet, in bytes.
pub(super) const LENGTH_PREFIX_BYTES: usize = 4;

/// Appends a packet.
pub fn put_packet(buffer: &mut BytesMut, payload: &[u8]) {
    buffer.put_u32(payload.len() as u32);
    buffer.put_slice(payload);
}

/// The payloads of the packets in a buffer. Ends at an incomplete one.
pub fn packets(mut remaining: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let (length, tail) = remaining.split_first_chunk::<LENGTH_PREFIX_BYTES>()?;
        let (payload, tail) = tail.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        remaining = tail;
        Some(payload)
    })
}
