//! Packets of the MySQL protocol: the codec, and the few that both sides build or read.

use crate::protocol::mysql::error::SqlError;
use crate::spool::SpoolRejection;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder};

pub const LONG_PASSWORD: u32 = 1;
pub const FOUND_ROWS: u32 = 1 << 1;
pub const LONG_FLAG: u32 = 1 << 2;
pub const CONNECT_WITH_DB: u32 = 1 << 3;
pub const PROTOCOL_41: u32 = 1 << 9;
/// The client goes on in TLS, or may.
pub const SSL: u32 = 1 << 11;
pub const TRANSACTIONS: u32 = 1 << 13;
pub const SECURE_CONNECTION: u32 = 1 << 15;
pub const PLUGIN_AUTH: u32 = 1 << 19;
pub const CONNECT_ATTRS: u32 = 1 << 20;
pub const PLUGIN_AUTH_LENENC: u32 = 1 << 21;
pub const SESSION_TRACK: u32 = 1 << 23;
pub const DEPRECATE_EOF: u32 = 1 << 24;

/// A transaction is open.
pub const IN_TRANSACTION: u16 = 1;
/// Each statement commits by itself.
pub const AUTOCOMMIT: u16 = 2;
pub const MORE_RESULTS: u16 = 8;
/// The rows of this result are fetched; and the last of them have been.
pub const CURSOR_EXISTS: u16 = 0x40;
pub const LAST_ROW_SENT: u16 = 0x80;
/// The OK tells what has changed in the session.
pub const STATE_CHANGED: u16 = 0x4000;
/// utf8mb4_general_ci.
pub const UTF8: u8 = 45;

pub const QUIT: u8 = 0x01;
pub const INIT_DB: u8 = 0x02;
pub const QUERY: u8 = 0x03;
pub const STATISTICS: u8 = 0x09;
pub const PING: u8 = 0x0e;
pub const CHANGE_USER: u8 = 0x11;
pub const STMT_PREPARE: u8 = 0x16;
pub const STMT_EXECUTE: u8 = 0x17;
pub const STMT_SEND_LONG_DATA: u8 = 0x18;
pub const STMT_CLOSE: u8 = 0x19;
pub const STMT_RESET: u8 = 0x1a;
pub const SET_OPTION: u8 = 0x1b;
pub const STMT_FETCH: u8 = 0x1c;
pub const RESET_CONNECTION: u8 = 0x1f;

#[derive(Debug, thiserror::Error)]
pub enum PacketError {
    #[error("a packet of {0} bytes is above the bound")]
    Length(usize),
    #[error("a packet ends too early")]
    Short,
    #[error("packets are out of order")]
    Order,
    #[error("the engine says {}: {}", .0.code, .0.message)]
    Sql(SqlError),
    #[error("{0}")]
    Protocol(&'static str),
    #[error("the connection leads to nobody any more")]
    Cut,
    #[error("its client has gone")]
    Gone,
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
            return Err(PacketError::Length(length));
        }
        if sequence != self.sequence {
            return Err(PacketError::Order);
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
            return Err(PacketError::Length(payload.len()));
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
pub struct Reader(pub Bytes);

impl Reader {
    pub fn u8(&mut self) -> Result<u8, PacketError> {
        self.0.try_get_u8().map_err(|_| PacketError::Short)
    }
    pub fn u16(&mut self) -> Result<u16, PacketError> {
        self.0.try_get_u16_le().map_err(|_| PacketError::Short)
    }
    pub fn u32(&mut self) -> Result<u32, PacketError> {
        self.0.try_get_u32_le().map_err(|_| PacketError::Short)
    }
    pub fn take(&mut self, n: usize) -> Result<Bytes, PacketError> {
        if self.0.len() < n {
            return Err(PacketError::Short);
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
    pub fn lenenc(&mut self) -> Result<u64, PacketError> {
        Ok(match self.u8()? {
            0xfc => self.u16()?.into(),
            0xfd => self
                .take(3)?
                .iter()
                .rev()
                .fold(0, |n, &b| n << 8 | u64::from(b)),
            0xfe => self.0.try_get_u64_le().map_err(|_| PacketError::Short)?,
            0xfb | 0xff => return Err(PacketError::Protocol("no length stands here")),
            n => n.into(),
        })
    }
    pub fn lenenc_bytes(&mut self) -> Result<Bytes, PacketError> {
        let n = usize::try_from(self.lenenc()?).map_err(|_| PacketError::Short)?;
        self.take(n)
    }
}

pub fn put_lenenc(dst: &mut impl BufMut, n: u64) {
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
pub fn ok() -> Vec<u8> {
    let [low, high] = AUTOCOMMIT.to_le_bytes();
    vec![0, 0, 0, low, high, 0, 0]
}

pub fn err(e: &SqlError) -> Vec<u8> {
    let mut p = vec![0xff];
    p.put_u16_le(e.code);
    p.put_u8(b'#');
    p.put_slice(e.state.as_bytes());
    p.put_slice(e.message.as_bytes());
    p
}

/// Reads an ERR packet.
pub fn read_err(payload: &Bytes) -> SqlError {
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
pub fn eof(status: u16) -> [u8; 5] {
    let [low, high] = status.to_le_bytes();
    [0xfe, 0, 0, low, high]
}

/// What a session's client wants of the ends of results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// CLIENT_DEPRECATE_EOF: no EOF behind columns, and an OK behind rows.
    pub ok_for_eof: bool,
    /// CLIENT_SESSION_TRACK: an OK tells what has changed in the session.
    pub tracks: bool,
}

/// The variable that tells a result's handle where sessions are tracked.
pub const HANDLE: &str = "hitchwinch_result";

impl Ends {
    /// The packet behind the last row: an OK that tells the result's handle to a client that can take it in, else an
    /// EOF, which can tell nothing.
    pub fn last(self, status: u16, handle: Option<&str>) -> Vec<u8> {
        if !self.ok_for_eof {
            return eof(status).to_vec();
        }
        let handle = handle.filter(|_| self.tracks);
        let status = if handle.is_some() {
            status | STATE_CHANGED
        } else {
            status
        };
        let mut p = vec![0xfe, 0, 0];
        p.put_u16_le(status);
        p.put_u16_le(0);
        if let Some(handle) = handle {
            // No text, then one changed system variable: its name and its value.
            put_lenenc(&mut p, 0);
            let mut pair = vec![];
            for text in [HANDLE, handle] {
                put_lenenc(&mut pair, text.len() as u64);
                pair.put_slice(text.as_bytes());
            }
            let mut change = vec![0];
            put_lenenc(&mut change, pair.len() as u64);
            change.put_slice(&pair);
            put_lenenc(&mut p, change.len() as u64);
            p.put_slice(&change);
        }
        p
    }

    /// An engine's OK as this client reads it: engines are asked for no session tracking, so that what stands behind
    /// the warnings is a bare text there.
    pub fn ok(self, payload: &[u8]) -> Vec<u8> {
        let mut r = Reader(Bytes::copy_from_slice(payload));
        let read = |r: &mut Reader| -> Result<(), PacketError> {
            r.u8()?;
            r.lenenc()?;
            r.lenenc()?;
            r.take(4)?;
            Ok(())
        };
        if !self.tracks || read(&mut r).is_err() || r.0.is_empty() {
            return payload.to_vec();
        }
        let mut p = payload[..payload.len() - r.0.len()].to_vec();
        put_lenenc(&mut p, r.0.len() as u64);
        p.put_slice(&r.0);
        p
    }
}

/// The status flags of an OK packet, and how many warnings it tells of.
pub fn ok_tail(payload: &Bytes) -> Result<(u16, u16), PacketError> {
    let mut r = Reader(payload.slice(1..));
    r.lenenc()?;
    r.lenenc()?;
    Ok((r.u16()?, r.u16()?))
}

/// How many warnings the end of columns or rows tells of.
pub fn eof_warnings(payload: &[u8]) -> u16 {
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
        p.put_u8(UTF8);
        p.put_u16_le(AUTOCOMMIT);
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
            return Err(PacketError::Sql(read_err(&payload)));
        }
        let mut r = Reader(payload);
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
    pub ends: Ends,
}

/// What this program can do, as server and as client.
pub const CAPABILITIES: u32 = LONG_PASSWORD
    | FOUND_ROWS
    | LONG_FLAG
    | CONNECT_WITH_DB
    | PROTOCOL_41
    | TRANSACTIONS
    | SECURE_CONNECTION
    | PLUGIN_AUTH
    | PLUGIN_AUTH_LENENC
    | CONNECT_ATTRS;

/// What the front offers beside: an engine is asked for neither.
pub const FRONT: u32 = CAPABILITIES | SESSION_TRACK | DEPRECATE_EOF;

impl Login {
    /// A client's wish to go on in TLS before it says who it is.
    pub fn asks_tls(payload: &[u8]) -> bool {
        payload.len() == 32
            && u32::from_le_bytes([payload[0], payload[1], payload[2], payload[3]]) & SSL != 0
    }

    pub fn write(&self, most: u32) -> Vec<u8> {
        let mut p = vec![];
        p.put_u32_le(CAPABILITIES & !(CONNECT_ATTRS | CONNECT_WITH_DB | FOUND_ROWS));
        p.put_u32_le(most);
        p.put_u8(UTF8);
        p.put_bytes(0, 23);
        p.put_slice(self.user.as_bytes());
        p.put_u8(0);
        put_lenenc(&mut p, self.auth.len() as u64);
        p.put_slice(&self.auth);
        p.put_slice(self.plugin.as_bytes());
        p.put_u8(0);
        p
    }

    pub fn read(payload: Bytes) -> Result<Self, PacketError> {
        let mut r = Reader(payload);
        let capabilities = r.u32()?;
        if capabilities & PROTOCOL_41 == 0 {
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
            () if capabilities & PLUGIN_AUTH_LENENC != 0 => r.lenenc_bytes()?.to_vec(),
            () if capabilities & SECURE_CONNECTION != 0 => {
                let n = r.u8()?;
                r.take(n.into())?.to_vec()
            }
            () => r.text().into_bytes(),
        };
        let schema = (capabilities & CONNECT_WITH_DB != 0)
            .then(|| r.text())
            .filter(|s| !s.is_empty());
        let plugin = if capabilities & PLUGIN_AUTH != 0 {
            r.text()
        } else {
            String::new()
        };
        let ends = Ends {
            ok_for_eof: capabilities & DEPRECATE_EOF != 0,
            tracks: capabilities & SESSION_TRACK != 0,
        };
        Ok(Login {
            user,
            auth,
            schema,
            plugin,
            ends,
        })
    }
}
