//! Sequences of packets in one buffer: each packet is preceded by its length as a big-endian `u32`.

use bytes::{BufMut, BytesMut};

/// Size of the length prefix of each packet, in bytes.
pub(super) const LENGTH_PREFIX_BYTES: usize = 4;

/// Appends a packet with its length prefix.
pub fn put_packet(buffer: &mut BytesMut, payload: &[u8]) {
    buffer.put_u32(payload.len() as u32);
    buffer.put_slice(payload);
}

/// Returns the payloads of the packets in a buffer, up to the first incomplete packet.
pub fn packets(mut remaining: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let (length, tail) = remaining.split_first_chunk::<LENGTH_PREFIX_BYTES>()?;
        let (payload, tail) = tail.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        remaining = tail;
        Some(payload)
    })
}
