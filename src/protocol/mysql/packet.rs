//! Packets of the MySQL protocol: the codec, and the few that both sides build or read.

use crate::protocol::mysql::error::SqlError;
use crate::spool::SpoolRejection;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder};

pub const CLIENT_LONG_PASSWORD: u32 = 1;
pub const CLIENT_FOUND_ROWS: u32 = 1 << 1;
pub const CLIENT_LONG_FLAG: u32 = 1 << 2;
pub const CLIENT_CONNECT_WITH_DB: u32 = 1 << 3;
pub const CLIENT_PROTOCOL_41: u32 = 1 << 9;
/// The client goes on in TLS, or may.
pub const CLIENT_SSL: u32 = 1 << 11;
pub const CLIENT_TRANSACTIONS: u32 = 1 << 13;
pub const CLIENT_SECURE_CONNECTION: u32 = 1 << 15;
pub const CLIENT_PLUGIN_AUTH: u32 = 1 << 19;
pub const CLIENT_CONNECT_ATTRS: u32 = 1 << 20;
pub const CLIENT_PLUGIN_AUTH_LENENC: u32 = 1 << 21;
pub const CLIENT_SESSION_TRACK: u32 = 1 << 23;
pub const CLIENT_DEPRECATE_EOF: u32 = 1 << 24;

/// A transaction is open.
pub const SERVER_STATUS_IN_TRANS: u16 = 1;
/// Each statement commits by itself.
pub const SERVER_STATUS_AUTOCOMMIT: u16 = 2;
pub const SERVER_MORE_RESULTS_EXISTS: u16 = 8;
/// The rows of this result are fetched; and the last of them have been.
pub const SERVER_STATUS_CURSOR_EXISTS: u16 = 0x40;
pub const SERVER_STATUS_LAST_ROW_SENT: u16 = 0x80;
/// The OK tells what has changed in the session.
pub const SERVER_SESSION_STATE_CHANGED: u16 = 0x4000;
/// utf8mb4_general_ci.
pub const UTF8MB4_GENERAL_CI: u8 = 45;

pub const COM_QUIT: u8 = 0x01;
pub const COM_INIT_DB: u8 = 0x02;
pub const COM_QUERY: u8 = 0x03;
pub const COM_STATISTICS: u8 = 0x09;
pub const COM_PING: u8 = 0x0e;
pub const COM_CHANGE_USER: u8 = 0x11;
pub const COM_STMT_PREPARE: u8 = 0x16;
pub const COM_STMT_EXECUTE: u8 = 0x17;
pub const COM_STMT_SEND_LONG_DATA: u8 = 0x18;
pub const COM_STMT_CLOSE: u8 = 0x19;
pub const COM_STMT_RESET: u8 = 0x1a;
pub const COM_SET_OPTION: u8 = 0x1b;
pub const COM_STMT_FETCH: u8 = 0x1c;
pub const COM_RESET_CONNECTION: u8 = 0x1f;

#[derive(Debug, thiserror::Error)]
pub enum PacketError {
    #[error("a packet of {0} bytes is above the bound")]
    TooLarge(usize),
    #[error("a packet ends too early")]
    Truncated,
    #[error("packets are out of order")]
    OutOfOrder,
    #[error("the engine says {}: {}", .0.code, .0.message)]
    Server(SqlError),
    #[error("{0}")]
    Protocol(&'static str),
    #[error("the connection leads to nobody any more")]
    EndpointReplaced,
    #[error("its client has gone")]
    ClientDisconnected,
    #[error(transparent)]
    SpoolRejection(#[from] SpoolRejection),
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Packets of up to `most` bytes (below 16 MiB, so that none comes in parts), numbered within a command.
pub struct PacketCodec {
    pub most: usize,
    /// The number that the next packet has, either way.
    pub sequence: u8,
}

impl Decoder for PacketCodec {
    type Item = Bytes;
    type Error = PacketError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Bytes>, PacketError> {
        let Some((&[a, b, c, sequence], _)) = src.split_first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes([a, b, c, 0]) as usize;
        if length > self.most {
            return Err(PacketError::TooLarge(length));
        }
        if sequence != self.sequence {
            return Err(PacketError::OutOfOrder);
        }
        if src.len() < 4 + length {
            src.reserve(4 + length - src.len());
            return Ok(None);
        }
        self.sequence = sequence.wrapping_add(1);
        src.advance(4);
        let payload = Bytes::copy_from_slice(&src[..length]);
        src.advance(length);
        Ok(Some(payload))
    }
}

impl Encoder<&[u8]> for PacketCodec {
    type Error = PacketError;

    fn encode(&mut self, payload: &[u8], dst: &mut BytesMut) -> Result<(), PacketError> {
        if payload.len() >= 0xff_ffff {
            return Err(PacketError::TooLarge(payload.len()));
        }
        dst.reserve(4 + payload.len());
        dst.put_slice(&(payload.len() as u32).to_le_bytes()[..3]);
        dst.put_u8(self.sequence);
        dst.put_slice(payload);
        self.sequence = self.sequence.wrapping_add(1);
        Ok(())
    }
}

/// Reads a payload piece by piece; every step checks that the bytes are there.
pub struct PayloadReader(pub Bytes);

impl PayloadReader {
    pub fn u8(&mut self) -> Result<u8, PacketError> {
        self.0.try_get_u8().map_err(|_| PacketError::Truncated)
    }
    pub fn u16(&mut self) -> Result<u16, PacketError> {
        self.0.try_get_u16_le().map_err(|_| PacketError::Truncated)
    }
    pub fn u32(&mut self) -> Result<u32, PacketError> {
        self.0.try_get_u32_le().map_err(|_| PacketError::Truncated)
    }
    pub fn take(&mut self, n: usize) -> Result<Bytes, PacketError> {
        if self.0.len() < n {
            return Err(PacketError::Truncated);
        }
        Ok(self.0.split_to(n))
    }
    /// Text up to a zero byte, or to the end.
    pub fn text(&mut self) -> String {
        let end = self.0.iter().position(|&b| b == 0);
        let text = self.0.split_to(end.unwrap_or(self.0.len()));
        if end.is_some() {
            self.0.advance(1);
        }
        String::from_utf8_lossy(&text).into_owned()
    }
    /// A length-encoded number.
    pub fn length_encoded_integer(&mut self) -> Result<u64, PacketError> {
        Ok(match self.u8()? {
            0xfc => self.u16()?.into(),
            0xfd => self
                .take(3)?
                .iter()
                .rev()
                .fold(0, |n, &b| n << 8 | u64::from(b)),
            0xfe => self
                .0
                .try_get_u64_le()
                .map_err(|_| PacketError::Truncated)?,
            0xfb | 0xff => return Err(PacketError::Protocol("no length stands here")),
            n => n.into(),
        })
    }
    pub fn length_encoded_bytes(&mut self) -> Result<Bytes, PacketError> {
        let n =
            usize::try_from(self.length_encoded_integer()?).map_err(|_| PacketError::Truncated)?;
        self.take(n)
    }
}

pub fn put_length_encoded_integer(dst: &mut impl BufMut, n: u64) {
    match n {
        0..0xfb => dst.put_u8(n as u8),
        0xfb..0x1_0000 => {
            dst.put_u8(0xfc);
            dst.put_u16_le(n as u16);
        }
        0x1_0000..0x100_0000 => {
            dst.put_u8(0xfd);
            dst.put_slice(&(n as u32).to_le_bytes()[..3]);
        }
        _ => {
            dst.put_u8(0xfe);
            dst.put_u64_le(n);
        }
    }
}

/// An OK with nothing to tell.
pub fn ok_packet() -> Vec<u8> {
    let [low, high] = SERVER_STATUS_AUTOCOMMIT.to_le_bytes();
    vec![0, 0, 0, low, high, 0, 0]
}

pub fn err_packet(e: &SqlError) -> Vec<u8> {
    let mut p = vec![0xff];
    p.put_u16_le(e.code);
    p.put_u8(b'#');
    p.put_slice(e.state.as_bytes());
    p.put_slice(e.message.as_bytes());
    p
}

/// Reads an ERR packet.
pub fn parse_err_packet(payload: &Bytes) -> SqlError {
    let code = payload
        .get(1..3)
        .map_or(0, |c| u16::from_le_bytes([c[0], c[1]]));
    let text = payload.get(3..).unwrap_or_default();
    let text = if text.first() == Some(&b'#') {
        text.get(6..).unwrap_or_default()
    } else {
        text
    };
    SqlError {
        code,
        state: "HY000",
        message: String::from_utf8_lossy(text).into_owned(),
    }
}

/// The end of columns or rows: its status, if this is one.
pub fn eof_status(payload: &[u8]) -> Option<u16> {
    match payload {
        [0xfe, _, _, low, high, ..] if payload.len() < 9 => Some(u16::from_le_bytes([*low, *high])),
        _ => None,
    }
}

/// The end of columns or rows, with this status.
pub fn eof_packet(status: u16) -> [u8; 5] {
    let [low, high] = status.to_le_bytes();
    [0xfe, 0, 0, low, high]
}

/// What a session's client wants of the ends of results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResultFormat {
    /// CLIENT_DEPRECATE_EOF: no EOF behind columns, and an OK behind rows.
    pub deprecate_eof: bool,
    /// CLIENT_SESSION_TRACK: an OK tells what has changed in the session.
    pub session_track: bool,
}

/// The variable that tells a result's handle where sessions are tracked.
pub const RESULT_HANDLE_VARIABLE: &str = "hitchwinch_result";

impl ResultFormat {
    /// The packet behind the last row: an OK that tells the result's handle to a client that can take it in, else an
    /// EOF, which can tell nothing.
    pub fn last(self, status: u16, handle: Option<&str>) -> Vec<u8> {
        if !self.deprecate_eof {
            return eof_packet(status).to_vec();
        }
        let handle = handle.filter(|_| self.session_track);
        let status = if handle.is_some() {
            status | SERVER_SESSION_STATE_CHANGED
        } else {
            status
        };
        let mut p = vec![0xfe, 0, 0];
        p.put_u16_le(status);
        p.put_u16_le(0);
        if let Some(handle) = handle {
            // No text, then one changed system variable: its name and its value.
            put_length_encoded_integer(&mut p, 0);
            let mut pair = vec![];
            for text in [RESULT_HANDLE_VARIABLE, handle] {
                put_length_encoded_integer(&mut pair, text.len() as u64);
                pair.put_slice(text.as_bytes());
            }
            let mut change = vec![0];
            put_length_encoded_integer(&mut change, pair.len() as u64);
            change.put_slice(&pair);
            put_length_encoded_integer(&mut p, change.len() as u64);
            p.put_slice(&change);
        }
        p
    }

    /// An engine's OK as this client reads it: engines are asked for no session tracking, so that what stands behind
    /// the warnings is a bare text there.
    pub fn ok(self, payload: &[u8]) -> Vec<u8> {
        let mut r = PayloadReader(Bytes::copy_from_slice(payload));
        let read = |r: &mut PayloadReader| -> Result<(), PacketError> {
            r.u8()?;
            r.length_encoded_integer()?;
            r.length_encoded_integer()?;
            r.take(4)?;
            Ok(())
        };
        if !self.session_track || read(&mut r).is_err() || r.0.is_empty() {
            return payload.to_vec();
        }
        let mut p = payload[..payload.len() - r.0.len()].to_vec();
        put_length_encoded_integer(&mut p, r.0.len() as u64);
        p.put_slice(&r.0);
        p
    }
}

/// The status flags of an OK packet, and how many warnings it tells of.
pub fn parse_ok_status(payload: &Bytes) -> Result<(u16, u16), PacketError> {
    let mut r = PayloadReader(payload.slice(1..));
    r.length_encoded_integer()?;
    r.length_encoded_integer()?;
    Ok((r.u16()?, r.u16()?))
}

/// How many warnings the end of columns or rows tells of.
pub fn eof_warning_count(payload: &[u8]) -> u16 {
    payload
        .get(1..3)
        .map_or(0, |w| u16::from_le_bytes([w[0], w[1]]))
}

/// A server's first packet.
pub struct Greeting {
    pub connection: u32,
    pub nonce: Vec<u8>,
    pub plugin: String,
    pub capabilities: u32,
}

impl Greeting {
    pub fn write(&self, version: &str) -> Vec<u8> {
        let mut p = vec![10];
        p.put_slice(version.as_bytes());
        p.put_u8(0);
        p.put_u32_le(self.connection);
        p.put_slice(&self.nonce[..8]);
        p.put_u8(0);
        p.put_u16_le(self.capabilities as u16);
        p.put_u8(UTF8MB4_GENERAL_CI);
        p.put_u16_le(SERVER_STATUS_AUTOCOMMIT);
        p.put_u16_le((self.capabilities >> 16) as u16);
        p.put_u8(21);
        p.put_bytes(0, 10);
        p.put_slice(&self.nonce[8..]);
        p.put_u8(0);
        p.put_slice(self.plugin.as_bytes());
        p.put_u8(0);
        p
    }

    pub fn read(payload: Bytes) -> Result<Self, PacketError> {
        if payload.first() == Some(&0xff) {
            return Err(PacketError::Server(parse_err_packet(&payload)));
        }
        let mut r = PayloadReader(payload);
        if r.u8()? != 10 {
            return Err(PacketError::Protocol("the greeting is not of version 10"));
        }
        r.text();
        let connection = r.u32()?;
        let mut nonce = r.take(8)?.to_vec();
        r.u8()?;
        let low = r.u16()?;
        r.u8()?;
        r.u16()?;
        let capabilities = u32::from(r.u16()?) << 16 | u32::from(low);
        let length = usize::from(r.u8()?);
        r.take(10)?;
        let rest = r.take(length.saturating_sub(8).max(13))?;
        nonce.extend_from_slice(rest.strip_suffix(&[0]).unwrap_or(&rest));
        Ok(Greeting {
            connection,
            nonce,
            plugin: r.text(),
            capabilities,
        })
    }
}

/// A client's answer to the greeting.
#[derive(Default)]
pub struct Login {
    pub user: String,
    pub auth: Vec<u8>,
    pub schema: Option<String>,
    pub plugin: String,
    pub result_format: ResultFormat,
}

/// What this program can do, as server and as client.
pub const BASE_CAPABILITIES: u32 = CLIENT_LONG_PASSWORD
    | CLIENT_FOUND_ROWS
    | CLIENT_LONG_FLAG
    | CLIENT_CONNECT_WITH_DB
    | CLIENT_PROTOCOL_41
    | CLIENT_TRANSACTIONS
    | CLIENT_SECURE_CONNECTION
    | CLIENT_PLUGIN_AUTH
    | CLIENT_PLUGIN_AUTH_LENENC
    | CLIENT_CONNECT_ATTRS;

/// What the front offers beside: an engine is asked for neither.
pub const FRONTEND_CAPABILITIES: u32 =
    BASE_CAPABILITIES | CLIENT_SESSION_TRACK | CLIENT_DEPRECATE_EOF;

impl Login {
    /// A client's wish to go on in TLS before it says who it is.
    pub fn asks_tls(payload: &[u8]) -> bool {
        payload.len() == 32
            && u32::from_le_bytes([payload[0], payload[1], payload[2], payload[3]]) & CLIENT_SSL
                != 0
    }

    pub fn write(&self, most: u32) -> Vec<u8> {
        let mut p = vec![];
        p.put_u32_le(
            BASE_CAPABILITIES
                & !(CLIENT_CONNECT_ATTRS | CLIENT_CONNECT_WITH_DB | CLIENT_FOUND_ROWS),
        );
        p.put_u32_le(most);
        p.put_u8(UTF8MB4_GENERAL_CI);
        p.put_bytes(0, 23);
        p.put_slice(self.user.as_bytes());
        p.put_u8(0);
        put_length_encoded_integer(&mut p, self.auth.len() as u64);
        p.put_slice(&self.auth);
        p.put_slice(self.plugin.as_bytes());
        p.put_u8(0);
        p
    }

    pub fn read(payload: Bytes) -> Result<Self, PacketError> {
        let mut r = PayloadReader(payload);
        let capabilities = r.u32()?;
        if capabilities & CLIENT_PROTOCOL_41 == 0 {
            return Err(PacketError::Protocol(
                "clients before version 4.1 are not served",
            ));
        }
        if r.0.len() < 28 {
            return Err(PacketError::Protocol("encryption is not offered"));
        }
        r.u32()?;
        r.u8()?;
        r.take(23)?;
        let user = r.text();
        let auth = match () {
            () if capabilities & CLIENT_PLUGIN_AUTH_LENENC != 0 => {
                r.length_encoded_bytes()?.to_vec()
            }
            () if capabilities & CLIENT_SECURE_CONNECTION != 0 => {
                let n = r.u8()?;
                r.take(n.into())?.to_vec()
            }
            () => r.text().into_bytes(),
        };
        let schema = (capabilities & CLIENT_CONNECT_WITH_DB != 0)
            .then(|| r.text())
            .filter(|s| !s.is_empty());
        let plugin = if capabilities & CLIENT_PLUGIN_AUTH != 0 {
            r.text()
        } else {
            String::new()
        };
        let ends = ResultFormat {
            deprecate_eof: capabilities & CLIENT_DEPRECATE_EOF != 0,
            session_track: capabilities & CLIENT_SESSION_TRACK != 0,
        };
        Ok(Login {
            user,
            auth,
            schema,
            plugin,
            result_format: ends,
        })
    }
}
