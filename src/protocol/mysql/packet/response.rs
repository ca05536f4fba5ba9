//! OK, ERR and EOF packets.

use super::error::PacketError;
use super::payload::PayloadReader;
use super::status::SERVER_STATUS_AUTOCOMMIT;
use crate::protocol::mysql::error::SqlError;
use bytes::{BufMut, Bytes};

/// The first byte of an OK packet.
pub const OK_HEADER: u8 = 0x00;
/// The first byte of an ERR packet.
pub const ERR_HEADER: u8 = 0xff;
/// The first byte of an EOF packet, and of an OK packet that ends rows.
pub const EOF_HEADER: u8 = 0xfe;
/// The byte that represents NULL in a row of the text protocol.
pub const NULL_VALUE: u8 = 0xfb;
/// Size, in bytes, that an EOF packet does not reach; a longer payload with the same first byte is a row.
const MAX_EOF_BYTES: usize = 9;
/// Size of `#` and SQLSTATE before the message of an ERR packet, in bytes.
const SQL_STATE_BYTES: usize = 6;

/// Returns an OK packet with the autocommit flag and no other information.
pub fn ok_packet() -> Vec<u8> {
    ok_packet_with_status(SERVER_STATUS_AUTOCOMMIT)
}

/// Returns an OK packet with these status flags, without affected rows, insert id or warnings.
pub fn ok_packet_with_status(status: u16) -> Vec<u8> {
    let [low, high] = status.to_le_bytes();
    vec![OK_HEADER, 0, 0, low, high, 0, 0]
}

/// Encodes an ERR packet.
pub fn err_packet(error: &SqlError) -> Vec<u8> {
    let mut packet = vec![ERR_HEADER];
    packet.put_u16_le(error.code);
    packet.put_u8(b'#');
    packet.put_slice(error.state.as_bytes());
    packet.put_slice(error.message.as_bytes());
    packet
}

/// Returns whether a payload is an ERR packet.
pub fn is_err(payload: &[u8]) -> bool {
    payload.first() == Some(&ERR_HEADER)
}

/// Parses an ERR packet. SQLSTATE is dropped; missing parts are empty.
pub fn parse_err_packet(payload: &Bytes) -> SqlError {
    let code = payload
        .get(1..3)
        .map_or(0, |code| u16::from_le_bytes([code[0], code[1]]));
    let rest = payload.get(3..).unwrap_or_default();
    let message = if rest.first() == Some(&b'#') {
        rest.get(SQL_STATE_BYTES..).unwrap_or_default()
    } else {
        rest
    };
    SqlError {
        code,
        state: "HY000",
        message: String::from_utf8_lossy(message).into_owned(),
    }
}

/// Returns the status flags if the payload is an EOF packet.
pub fn eof_status(payload: &[u8]) -> Option<u16> {
    match payload {
        [EOF_HEADER, _, _, low, high, ..] if payload.len() < MAX_EOF_BYTES => {
            Some(u16::from_le_bytes([*low, *high]))
        }
        _ => None,
    }
}

/// Returns an EOF packet with these status flags.
pub fn eof_packet(status: u16) -> [u8; 5] {
    let [low, high] = status.to_le_bytes();
    [EOF_HEADER, 0, 0, low, high]
}

/// Returns the number of warnings in an EOF packet.
pub fn eof_warning_count(payload: &[u8]) -> u16 {
    payload
        .get(1..3)
        .map_or(0, |count| u16::from_le_bytes([count[0], count[1]]))
}

/// The status that an OK packet reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OkStatus {
    /// Status flags (`SERVER_*`).
    pub flags: u16,
    /// Number of warnings.
    pub warnings: u16,
}

/// Parses the status of an OK packet.
///
/// # Errors
/// The packet is truncated.
pub fn parse_ok_status(payload: &Bytes) -> Result<OkStatus, PacketError> {
    let mut reader = PayloadReader(payload.slice(1..));
    let _affected_rows = reader.length_encoded_integer()?;
    let _last_insert_id = reader.length_encoded_integer()?;
    let flags = reader.u16()?;
    let warnings = reader.u16()?;
    Ok(OkStatus { flags, warnings })
}
