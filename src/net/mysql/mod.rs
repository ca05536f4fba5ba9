//! The MySQL front and its upstream. Sessions belong to the client, connections to the engines. What a session has
//! set is data here and set anew wherever a statement runs ([`session`]); what cannot be keeps the session on one
//! connection for a while ([`pin`]).

pub mod auth;
pub mod cursor;
pub mod downstream;
pub mod front;
pub mod ours;
pub mod packet;
pub mod pin;
pub mod session;
pub mod upstream;
pub mod values;

use crate::net::hub::Reply;
use crate::net::spools::{self, Who};
use crate::spool::{Ask, SpoolId};
use bytes::{BufMut, Bytes, BytesMut};
use downstream::Downstream;
use session::Context;
use std::cell::RefCell;
use std::rc::Rc;

/// What a client asked for, as an engine connection can carry it out alone.
#[derive(Debug)]
pub struct Work {
    pub context: Context,
    pub sql: Bytes,
    pub job: Job,
    /// Whose result it brings, for the account of results that wait.
    pub ask: Ask,
    pub who: Who,
    pub left: Left,
    /// Who asks: looked at right before anything of it is written to an engine.
    pub downstream: Rc<Downstream>,
}

/// What a statement leaves behind for its session: the rows of SHOW WARNINGS, each packet behind its length.
pub type Left = Rc<RefCell<Option<Bytes>>>;

#[derive(Debug)]
pub enum Job {
    /// Only take a connection to where the session stands: what the engine says to that is the answer.
    Enter,
    /// Hold a connection and carry out what the session sends.
    Pin(Rc<pin::Pinned>),
    /// COM_QUERY.
    Query,
    /// COM_STMT_PREPARE: brings the statement's parameters and columns.
    Prepare,
    /// COM_STMT_EXECUTE, with all that an engine connection needs to run it for the first time.
    Execute(Execute),
}

#[derive(Debug)]
pub struct Execute {
    /// Null bitmap, `new types` flag, types and values.
    pub body: Bytes,
    /// Parameters sent ahead in pieces.
    pub long: Vec<(u16, Bytes)>,
}

/// What an engine brought.
#[derive(Debug)]
pub enum Output {
    /// All of it.
    Short(Packets),
    /// It waits in the spool with this number.
    Long(SpoolId),
}

/// The packets of an engine's answer, without their headers: each behind its length.
#[derive(Debug, Default)]
pub struct Packets {
    bytes: BytesMut,
}

impl From<BytesMut> for Packets {
    fn from(bytes: BytesMut) -> Self {
        Packets { bytes }
    }
}

impl Packets {
    /// One packet alone.
    pub fn one(payload: &[u8]) -> Self {
        let mut packets = Packets::default();
        packets.push(payload);
        packets
    }

    pub fn push(&mut self, payload: &[u8]) {
        self.bytes.put_u32(payload.len() as u32);
        self.bytes.put_slice(payload);
    }

    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &[u8]> {
        spools::packets(&self.bytes)
    }

    pub fn into_bytes(self) -> Bytes {
        self.bytes.freeze()
    }
}

/// An error as a client gets it.
#[derive(Clone, Debug, PartialEq)]
pub struct SqlError {
    pub code: u16,
    pub state: &'static str,
    pub message: String,
}

impl SqlError {
    pub fn new((code, state): (u16, &'static str), message: impl Into<String>) -> Self {
        SqlError {
            code,
            state,
            message: message.into(),
        }
    }
}

/// The codes of this front, all standard ones.
///
/// | code | SQLSTATE | when |
/// | --- | --- | --- |
/// | 3168 | HY000 | refused: nothing ran, or running it again does no harm; the message says when to come back |
/// | 3024 | HY000 | the time is over |
/// | 1317 | 70100 | failed: it may have run |
/// | 1045 | 28000 | wrong user or password |
/// | 1040 | 08004 | too many clients |
/// | 1053 | 08S01 | the dispatcher shuts down |
/// | 1235 | 42000 | a feature that is not carried: the message names it |
/// | 1213 | 40001 | a transaction, or what else a pin held, is rolled back: begin it again |
/// | 1203 | 42000 | too many sessions hold an engine connection |
/// | 1243 | HY000 | no such prepared statement |
/// | 1210 | HY000 | parameters that cannot be read |
/// | 1461 | 42000 | too many prepared statements in the session |
/// | 1153 | 08S01 | a packet above the bound |
/// | 1047 | 08S01 | an unknown command |
/// | 1835 | HY000 | a malformed packet |
/// | 1104 | 42000 | a result above a bound, or that breaks off |
/// | 1064 | 42000 | a statement of ours that cannot be read |
/// | 1141 | 42000 | no result of this user has this handle, or it has expired |
/// | 3159 | HY000 | only clients in TLS are served |
/// | 1094 | HY000 | KILL QUERY of a session that is not here |
/// | 1095 | HY000 | KILL QUERY of another user's session |
/// | 1421 | HY000 | no cursor is open on this statement |
pub mod code {
    pub type Code = (u16, &'static str);
    pub const REFUSED: Code = (3168, "HY000");
    pub const TIMED_OUT: Code = (3024, "HY000");
    pub const FAILED: Code = (1317, "70100");
    pub const ACCESS: Code = (1045, "28000");
    pub const TOO_MANY: Code = (1040, "08004");
    pub const SHUTDOWN: Code = (1053, "08S01");
    pub const NOT_CARRIED: Code = (1235, "42000");
    pub const ROLLED_BACK: Code = (1213, "40001");
    pub const INSECURE: Code = (3159, "HY000");
    pub const PINS: Code = (1203, "42000");
    pub const NO_STATEMENT: Code = (1243, "HY000");
    pub const ARGUMENTS: Code = (1210, "HY000");
    pub const STATEMENTS: Code = (1461, "42000");
    pub const PACKET: Code = (1153, "08S01");
    pub const COMMAND: Code = (1047, "08S01");
    pub const MALFORMED: Code = (1835, "HY000");
    pub const RESULT: Code = (1104, "42000");
    pub const SYNTAX: Code = (1064, "42000");
    pub const HANDLE: Code = (1141, "42000");
    pub const NO_THREAD: Code = (1094, "HY000");
    pub const OWNER: Code = (1095, "HY000");
    pub const NO_CURSOR: Code = (1421, "HY000");
}

/// How a final answer that brings no result reads to a client.
pub fn error_of(reply: &Reply<Output>) -> Option<SqlError> {
    let again = "sending it again does no harm";
    Some(match reply {
        Reply::Served(_) => return None,
        Reply::Refused { later, why } => {
            let when = later.map_or(String::new(), |ms| {
                format!(" after {} ms", ms.max(0.0).ceil())
            });
            SqlError::new(code::REFUSED, format!("refused: {why}; {again}{when}"))
        }
        Reply::TimedOut { harmless: true } => SqlError::new(
            code::TIMED_OUT,
            format!("the statement's time is over; {again}"),
        ),
        Reply::TimedOut { harmless: false } => SqlError::new(
            code::TIMED_OUT,
            "the statement's time is over; it may have run: do not send it again unchecked",
        ),
        Reply::Failed { why } => SqlError::new(
            code::FAILED,
            format!("failed: {why}; it may have run: do not send it again unchecked"),
        ),
    })
}
