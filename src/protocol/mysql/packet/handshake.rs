//! The handshake: the server's greeting and the client's login.

use super::UTF8MB4_GENERAL_CI;
use super::capability::{
    BASE_CAPABILITIES, CLIENT_CONNECT_ATTRS, CLIENT_CONNECT_WITH_DB, CLIENT_DEPRECATE_EOF,
    CLIENT_FOUND_ROWS, CLIENT_PLUGIN_AUTH, CLIENT_PLUGIN_AUTH_LENENC, CLIENT_PROTOCOL_41,
    CLIENT_SECURE_CONNECTION, CLIENT_SESSION_TRACK, CLIENT_SSL,
};
use super::error::PacketError;
use super::payload::{PayloadReader, put_length_encoded_integer};
use super::response::{is_err, parse_err_packet};
use super::result_format::ResultFormat;
use super::status::SERVER_STATUS_AUTOCOMMIT;
use bytes::{BufMut, Bytes};

/// The version of the handshake; no other is in use.
const PROTOCOL_VERSION: u8 = 10;
/// Size of the first part of the nonce, in bytes; the nonce is sent in two parts.
const NONCE_FIRST_PART_BYTES: usize = 8;
/// Minimum size of the second part of the nonce with its terminating zero, in bytes.
const NONCE_SECOND_PART_MIN_BYTES: usize = 13;
/// Size of the complete nonce with its terminating zero, in bytes.
const NONCE_AND_ZERO_BYTES: u8 = 21;
/// Number of reserved zero bytes in the greeting.
const GREETING_FILLER_BYTES: usize = 10;
/// Number of reserved zero bytes in the login.
const LOGIN_FILLER_BYTES: usize = 23;
/// Size of the capabilities, the packet limit, the character set and the filler, in bytes. A client
/// that switches to TLS first sends only these.
const LOGIN_HEAD_BYTES: usize = 32;
/// Size of the capabilities in the login, in bytes.
const CAPABILITY_BYTES: usize = 4;

/// The first packet of a server.
pub struct Greeting {
    /// The id of the connection, which KILL takes.
    pub connection: u32,
    /// 20 random bytes without zeros.
    pub nonce: Vec<u8>,
    /// The authentication plugin that the server suggests.
    pub plugin: String,
    /// The capabilities of the server (`CLIENT_*`).
    pub capabilities: u32,
}

impl Greeting {
    /// Encodes the packet with `version`, which clients display as the server's version.
    pub fn write(&self, version: &str) -> Vec<u8> {
        let (first_part, second_part) = self.nonce.split_at(NONCE_FIRST_PART_BYTES);
        let mut packet = vec![PROTOCOL_VERSION];
        packet.put_slice(version.as_bytes());
        packet.put_u8(0);
        packet.put_u32_le(self.connection);
        packet.put_slice(first_part);
        packet.put_u8(0);
        packet.put_u16_le(self.capabilities as u16);
        packet.put_u8(UTF8MB4_GENERAL_CI);
        packet.put_u16_le(SERVER_STATUS_AUTOCOMMIT);
        packet.put_u16_le((self.capabilities >> 16) as u16);
        packet.put_u8(NONCE_AND_ZERO_BYTES);
        packet.put_bytes(0, GREETING_FILLER_BYTES);
        packet.put_slice(second_part);
        packet.put_u8(0);
        packet.put_slice(self.plugin.as_bytes());
        packet.put_u8(0);
        packet
    }

    /// Parses the packet.
    ///
    /// # Errors
    /// The server rejects the connection, or the packet is truncated or of another version.
    pub fn read(payload: Bytes) -> Result<Self, PacketError> {
        if is_err(&payload) {
            return Err(PacketError::Server(parse_err_packet(&payload)));
        }
        let mut reader = PayloadReader(payload);
        if reader.u8()? != PROTOCOL_VERSION {
            return Err(PacketError::Protocol("the greeting is not of version 10"));
        }
        let _version = reader.text();
        let connection = reader.u32()?;
        let mut nonce = reader.bytes(NONCE_FIRST_PART_BYTES)?.to_vec();
        let _zero = reader.u8()?;
        let capabilities_low = reader.u16()?;
        let _character_set = reader.u8()?;
        let _status = reader.u16()?;
        let capabilities_high = reader.u16()?;
        let nonce_length = usize::from(reader.u8()?);
        reader.bytes(GREETING_FILLER_BYTES)?;
        let second_part_length = nonce_length
            .saturating_sub(NONCE_FIRST_PART_BYTES)
            .max(NONCE_SECOND_PART_MIN_BYTES);
        let second_part = reader.bytes(second_part_length)?;
        nonce.extend_from_slice(second_part.strip_suffix(&[0]).unwrap_or(&second_part));
        Ok(Greeting {
            connection,
            nonce,
            plugin: reader.text(),
            capabilities: u32::from(capabilities_high) << 16 | u32::from(capabilities_low),
        })
    }
}

/// A client's answer to the greeting.
#[derive(Default)]
pub struct Login {
    /// The name of the user.
    pub user: String,
    /// The authentication response.
    pub auth: Vec<u8>,
    /// The default schema.
    pub schema: Option<String>,
    /// The authentication plugin of the response; empty if the client names none.
    pub plugin: String,
    /// How results to this client end.
    pub result_format: ResultFormat,
}

impl Login {
    /// Returns whether a payload is a request to switch to TLS before the login.
    pub fn requests_tls(payload: &[u8]) -> bool {
        payload.len() == LOGIN_HEAD_BYTES
            && u32::from_le_bytes([payload[0], payload[1], payload[2], payload[3]]) & CLIENT_SSL
                != 0
    }

    /// Encodes the packet for an engine, without schema, attributes and result format.
    pub fn write(&self, max_packet: u32) -> Vec<u8> {
        let omitted = CLIENT_CONNECT_ATTRS | CLIENT_CONNECT_WITH_DB | CLIENT_FOUND_ROWS;
        let mut packet = vec![];
        packet.put_u32_le(BASE_CAPABILITIES & !omitted);
        packet.put_u32_le(max_packet);
        packet.put_u8(UTF8MB4_GENERAL_CI);
        packet.put_bytes(0, LOGIN_FILLER_BYTES);
        packet.put_slice(self.user.as_bytes());
        packet.put_u8(0);
        put_length_encoded_integer(&mut packet, self.auth.len() as u64);
        packet.put_slice(&self.auth);
        packet.put_slice(self.plugin.as_bytes());
        packet.put_u8(0);
        packet
    }

    /// Parses the packet.
    ///
    /// # Errors
    /// The packet is truncated, or the client does not support the protocol of version 4.1.
    pub fn read(payload: Bytes) -> Result<Self, PacketError> {
        let mut reader = PayloadReader(payload);
        let capabilities = reader.u32()?;
        let has = |flag: u32| capabilities & flag != 0;
        if !has(CLIENT_PROTOCOL_41) {
            return Err(PacketError::Protocol(
                "clients before version 4.1 are not served",
            ));
        }
        if reader.0.len() < LOGIN_HEAD_BYTES - CAPABILITY_BYTES {
            return Err(PacketError::Protocol("encryption is not offered"));
        }
        let _max_packet = reader.u32()?;
        let _character_set = reader.u8()?;
        reader.bytes(LOGIN_FILLER_BYTES)?;
        let user = reader.text();
        let auth = Self::read_auth_response(&mut reader, capabilities)?;
        let schema = has(CLIENT_CONNECT_WITH_DB)
            .then(|| reader.text())
            .filter(|schema| !schema.is_empty());
        let plugin = if has(CLIENT_PLUGIN_AUTH) {
            reader.text()
        } else {
            String::new()
        };
        Ok(Login {
            user,
            auth,
            schema,
            plugin,
            result_format: ResultFormat {
                deprecate_eof: has(CLIENT_DEPRECATE_EOF),
                session_track: has(CLIENT_SESSION_TRACK),
            },
        })
    }

    fn read_auth_response(
        reader: &mut PayloadReader,
        capabilities: u32,
    ) -> Result<Vec<u8>, PacketError> {
        if capabilities & CLIENT_PLUGIN_AUTH_LENENC != 0 {
            Ok(reader.length_encoded_bytes()?.to_vec())
        } else if capabilities & CLIENT_SECURE_CONNECTION != 0 {
            let length = reader.u8()?;
            Ok(reader.bytes(length.into())?.to_vec())
        } else {
            Ok(reader.text().into_bytes())
        }
    }
}
