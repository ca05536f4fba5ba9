//! The work that a session submits to an engine connection, and the output that the connection returns.

use crate::dispatch::Reply;
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{err_packet, is_err, parse_err_packet};
use crate::protocol::mysql::session::SessionContext;
use crate::protocol::mysql::values::Execute;
use crate::protocol::statement::ConnectionEffects;
use crate::spool::{AdmissionRequest, SpoolId};
use crate::spool_io::{self, ResultOwner};
use crate::upstream::mysql::downstream::Downstream;
use crate::upstream::mysql::sticky::StickyChannel;
use bytes::{BufMut, Bytes, BytesMut};
use std::cell::RefCell;
use std::rc::Rc;

/// A request of a client, with all that an engine connection needs to execute it.
#[derive(Debug)]
pub struct Work {
    /// Session context that the connection has to be in.
    pub context: SessionContext,
    /// Session context in which a prepared statement was read, if it was another one: text means something else in
    /// another `sql_mode`.
    pub preparation: Option<SessionContext>,
    /// Text of the statement; empty if there is none.
    pub sql: Bytes,
    /// Changes that the statement makes to the state of its connection.
    pub effects: ConnectionEffects,
    /// Command to execute.
    pub job: Job,
    /// Admission request to the spool, for the limits on stored results.
    pub admission: AdmissionRequest,
    /// Owner of the result, and the properties that the result is listed by.
    pub owner: ResultOwner,
    /// Receives the warnings of the statement.
    pub warnings: SharedWarnings,
    /// Client of the request: checked right before anything is written to an engine on its behalf.
    pub downstream: Rc<Downstream>,
}

/// Warnings of the last statement of a session: the result of SHOW WARNINGS, each packet preceded by its
/// length.
pub type SharedWarnings = Rc<RefCell<Option<Bytes>>>;

/// A command for an engine connection.
#[derive(Debug)]
pub enum Job {
    /// Applies only the session context to a connection: the answer is OK, or the error of the engine.
    EnterContext,
    /// Holds a connection and executes the statements that the sticky session sends.
    StickySession(Rc<StickyChannel>),
    /// COM_QUERY.
    Query,
    /// COM_STMT_PREPARE: returns the definitions of the parameters and columns.
    Prepare,
    /// COM_STMT_EXECUTE, with all that a connection needs to execute the statement for the first time.
    Execute(Execute),
}

/// The answer of an engine.
#[derive(Debug)]
pub enum Output {
    /// The whole answer, held in memory.
    Inline(Packets),
    /// The answer is stored in the spool with this id.
    Spooled(SpoolId),
}

impl Output {
    /// Creates an answer of one packet.
    pub fn one_packet(payload: &[u8]) -> Self {
        Output::Inline(Packets::one(payload))
    }

    /// Creates an answer that is an ERR packet.
    pub fn error(error: &SqlError) -> Self {
        Output::one_packet(&err_packet(error))
    }

    /// Returns the first packet of an inline answer; `None` if the answer is spooled.
    pub fn first_packet(&self) -> Option<&[u8]> {
        match self {
            Output::Inline(packets) => packets.iter().next(),
            Output::Spooled(_) => None,
        }
    }

    /// Returns the error if the answer is an ERR packet.
    pub fn sql_error(&self) -> Option<SqlError> {
        let packet = self.first_packet().filter(|packet| is_err(packet))?;
        Some(parse_err_packet(&Bytes::copy_from_slice(packet)))
    }
}

/// The packets of an answer, without their packet headers; each payload is preceded by its length.
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
    /// Creates a sequence of one packet.
    pub fn one(payload: &[u8]) -> Self {
        let mut packets = Packets::default();
        packets.push(payload);
        packets
    }

    /// Appends a packet.
    pub fn push(&mut self, payload: &[u8]) {
        self.bytes.put_u32(payload.len() as u32);
        self.bytes.put_slice(payload);
    }

    /// Returns the size in bytes of all packets, including their length prefixes.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the payloads in order.
    pub fn iter(&self) -> impl Iterator<Item = &[u8]> {
        spool_io::packets(&self.bytes)
    }

    /// Returns the packets, each preceded by its length.
    pub fn into_bytes(self) -> Bytes {
        self.bytes.freeze()
    }
}

/// Returns the error that the client receives for a final reply without a result; `None` if there is a
/// result.
pub fn error_of_reply(reply: &Reply<Output>) -> Option<SqlError> {
    let retry_safe_hint = "sending it again does no harm";
    Some(match reply {
        Reply::Served(_) => return None,
        Reply::Rejected {
            retry_after,
            reason,
        } => {
            let delay = retry_after.map_or(String::new(), |ms| {
                format!(" after {} ms", ms.max(0.0).ceil())
            });
            SqlError::new(
                code::ER_SERVER_ISNT_AVAILABLE,
                format!("refused: {reason}; {retry_safe_hint}{delay}"),
            )
        }
        Reply::TimedOut { retry_safe: true } => SqlError::new(
            code::ER_QUERY_TIMEOUT,
            format!("the statement's time is over; {retry_safe_hint}"),
        ),
        Reply::TimedOut { retry_safe: false } => SqlError::new(
            code::ER_QUERY_TIMEOUT,
            "the statement's time is over; it may have run: do not send it again unchecked",
        ),
        Reply::Failed { reason } => SqlError::new(
            code::ER_QUERY_INTERRUPTED,
            format!("failed: {reason}; it may have run: do not send it again unchecked"),
        ),
    })
}
