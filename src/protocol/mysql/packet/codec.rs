//! Packet framing: a length of three bytes, a sequence number and the payload.

use super::error::PacketError;
use crate::transport::incoming_message::{complete_purpose, reserve_rest, shrink_if_empty};
use crate::transport::memory_budget::{Purpose, Reservation};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// Size of the header: length (3 bytes, little-endian) and sequence number (1 byte).
const HEADER_BYTES: usize = 4;
/// Size, in bytes, from which on a payload would be split into several packets, which is not supported.
const SPLIT_PAYLOAD_BYTES: usize = 0xff_ffff;

/// Codec for packets, which are numbered within a command.
pub struct PacketCodec {
    /// Maximum size of a received payload, in bytes; below 16 MiB, so that no payload is split.
    pub max_packet: usize,
    /// The sequence number of the next packet, in either direction.
    pub sequence: u8,
    /// Memory of the packet that is being received, or was received last. A default reservation has no limit.
    pub memory: Reservation,
}

impl PacketCodec {
    /// Frees the memory of the packet that was received last, once its command has ended.
    pub fn release_memory(&mut self) {
        self.memory.resize(0);
    }
}

impl Decoder for PacketCodec {
    type Item = Bytes;
    type Error = PacketError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, PacketError> {
        let Some((&[low, middle, high, sequence], _)) = buffer.split_first_chunk::<HEADER_BYTES>()
        else {
            return Ok(None);
        };
        let length = u32::from_le_bytes([low, middle, high, 0]) as usize;
        if length > self.max_packet {
            return Err(PacketError::TooLarge(length));
        }
        if sequence != self.sequence {
            return Err(PacketError::OutOfOrder);
        }
        let packet_bytes = HEADER_BYTES + length;
        if buffer.len() < packet_bytes {
            self.memory.set_purpose(Purpose::Unfinished);
            if !reserve_rest(buffer, packet_bytes, &mut self.memory) {
                return Err(PacketError::OutOfMemory(length));
            }
            return Ok(None);
        }
        self.memory.set_purpose(complete_purpose(length));
        if !self.memory.resize(length) {
            return Err(PacketError::OutOfMemory(length));
        }
        self.sequence = sequence.wrapping_add(1);
        buffer.advance(HEADER_BYTES);
        let payload = Bytes::copy_from_slice(&buffer[..length]);
        buffer.advance(length);
        shrink_if_empty(buffer);
        Ok(Some(payload))
    }
}

impl Encoder<&[u8]> for PacketCodec {
    type Error = PacketError;

    fn encode(&mut self, payload: &[u8], buffer: &mut BytesMut) -> Result<(), PacketError> {
        if payload.len() >= SPLIT_PAYLOAD_BYTES {
            return Err(PacketError::TooLarge(payload.len()));
        }
        buffer.reserve(HEADER_BYTES + payload.len());
        buffer.put_slice(&(payload.len() as u32).to_le_bytes()[..3]);
        buffer.put_u8(self.sequence);
        buffer.put_slice(payload);
        self.sequence = self.sequence.wrapping_add(1);
        Ok(())
    }
}

/// Reads the next packet and returns its payload. The end of the stream is reported as a reset connection.
///
/// # Errors
/// Errors of the codec or of the connection.
pub async fn read_packet(
    packets: &mut (impl Stream<Item = Result<Bytes, PacketError>> + Unpin),
) -> Result<Bytes, PacketError> {
    match packets.next().await {
        Some(packet) => packet,
        None => Err(io::Error::from(io::ErrorKind::ConnectionReset).into()),
    }
}
