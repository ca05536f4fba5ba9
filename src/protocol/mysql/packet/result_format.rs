//! The format of the end of results: EOF packets, or OK packets that can report session changes.

use super::error::PacketError;
use super::payload::{PayloadReader, put_length_encoded_integer};
use super::response::{EOF_HEADER, eof_packet};
use super::status::SERVER_SESSION_STATE_CHANGED;
use bytes::{BufMut, Bytes};

/// The session variable that reports the handle of a stored result to a client with session tracking.
pub const RESULT_HANDLE_VARIABLE: &str = "hitchwinch_result";

/// The type of a session change that contains the name and value of a system variable.
const SESSION_TRACK_SYSTEM_VARIABLES: u8 = 0;

/// The capabilities of a client that decide how results end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResultFormat {
    /// `CLIENT_DEPRECATE_EOF`: no EOF packet after the columns, and an OK packet after the rows.
    pub deprecate_eof: bool,
    /// `CLIENT_SESSION_TRACK`: OK packets report changes of the session.
    pub session_track: bool,
}

impl ResultFormat {
    /// Returns the packet after the last row: an OK packet, which reports the result's handle to a
    /// client with session tracking, or an EOF packet, which cannot report changes.
    pub fn last(self, status: u16, handle: Option<&str>) -> Vec<u8> {
        if !self.deprecate_eof {
            return eof_packet(status).to_vec();
        }
        match handle.filter(|_| self.session_track) {
            Some(handle) => {
                let mut packet = ok_after_rows(status | SERVER_SESSION_STATE_CHANGED);
                // The length of the empty message.
                put_length_encoded_integer(&mut packet, 0);
                put_bytes(&mut packet, &variable_change(handle));
                packet
            }
            None => ok_after_rows(status),
        }
    }

    /// Converts an engine's OK packet for this client. Engines are not requested to track the
    /// session, so that their message follows the warnings without a length; a client with session
    /// tracking expects a length before it.
    pub fn ok(self, payload: &[u8]) -> Vec<u8> {
        if !self.session_track {
            return payload.to_vec();
        }
        match ok_message(payload) {
            Ok(text) if !text.is_empty() => {
                let mut packet = payload[..payload.len() - text.len()].to_vec();
                put_bytes(&mut packet, &text);
                packet
            }
            _ => payload.to_vec(),
        }
    }
}

/// Returns an OK packet with the header of an EOF packet, which ends the rows.
fn ok_after_rows(status: u16) -> Vec<u8> {
    let mut packet = vec![EOF_HEADER, 0, 0];
    packet.put_u16_le(status);
    let warnings = 0;
    packet.put_u16_le(warnings);
    packet
}

/// Encodes a session change with the variable of a result's handle.
fn variable_change(handle: &str) -> Vec<u8> {
    let mut name_and_value = vec![];
    for text in [RESULT_HANDLE_VARIABLE, handle] {
        put_bytes(&mut name_and_value, text.as_bytes());
    }
    let mut change = vec![SESSION_TRACK_SYSTEM_VARIABLES];
    put_bytes(&mut change, &name_and_value);
    change
}

fn put_bytes(buffer: &mut Vec<u8>, bytes: &[u8]) {
    put_length_encoded_integer(buffer, bytes.len() as u64);
    buffer.put_slice(bytes);
}

/// Returns the message after the warnings of an OK packet.
fn ok_message(payload: &[u8]) -> Result<Bytes, PacketError> {
    let mut reader = PayloadReader(Bytes::copy_from_slice(payload));
    let _header = reader.u8()?;
    let _affected_rows = reader.length_encoded_integer()?;
    let _last_insert_id = reader.length_encoded_integer()?;
    let _status = reader.u16()?;
    let _warnings = reader.u16()?;
    Ok(reader.0)
}
