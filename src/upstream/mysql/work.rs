//! What a session hands to an engine connection, and what that returns.

use crate::dispatch::Reply;
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{err_packet, is_err, parse_err_packet};
use crate::protocol::mysql::session::SessionContext;
use crate::protocol::mysql::values::Execute;
use crate::spool::{AdmissionRequest, SpoolId};
use crate::spool_io::{self, ResultOwner};
use crate::upstream::mysql::downstream::Downstream;
use crate::upstream::mysql::sticky::StickyChannel;
use bytes::{BufMut, Bytes, BytesMut};
use std::cell::RefCell;
use std::rc::Rc;

/// A client's request, as an engine connection can execute it without anything else.
#[derive(Debug)]
pub struct Work {
    /// The state that the connection has to be in.
    pub context: SessionContext,
    /// The statement; empty if there is none.
    pub sql: Bytes,
    /// What to do with the statement.
    pub job: Job,
    /// Whose result it brings, for the limits of stored results.
    pub admission: AdmissionRequest,
    /// The owner of the result, and what it is listed by.
    pub owner: ResultOwner,
    /// Where the statement's warnings go.
    pub warnings: SharedWarnings,
    /// The client: checked right before anything of it is written to an engine.
    pub downstream: Rc<Downstream>,
}

/// The warnings of a session's last statement: the result of SHOW WARNINGS, each packet behind its length.
pub type SharedWarnings = Rc<RefCell<Option<Bytes>>>;

/// What an engine connection is to do.
#[derive(Debug)]
pub enum Job {
    /// Only take a connection to the session's context: what the engine says to that is the answer.
    EnterContext,
    /// Hold a connection and execute what the session sends.
    StickySession(Rc<StickyChannel>),
    /// COM_QUERY.
    Query,
    /// COM_STMT_PREPARE: returns the statement's parameters and columns.
    Prepare,
    /// COM_STMT_EXECUTE, with all that an engine connection needs to execute it for the first time.
    Execute(Execute),
}

/// What an engine returned.
#[derive(Debug)]
pub enum Output {
    /// The whole answer.
    Inline(Packets),
    /// The answer is stored in the spool with this number.
    Spooled(SpoolId),
}

impl Output {
    /// An answer of one packet.
    pub fn one_packet(payload: &[u8]) -> Self {
        Output::Inline(Packets::one(payload))
    }

    /// An answer that is an ERR packet.
    pub fn error(error: &SqlError) -> Self {
        Output::one_packet(&err_packet(error))
    }

    /// The first packet of an answer that is not stored.
    pub fn first_packet(&self) -> Option<&[u8]> {
        match self {
            Output::Inline(packets) => packets.iter().next(),
            Output::Spooled(_) => None,
        }
    }

    /// The error, if the answer is one.
    pub fn sql_error(&self) -> Option<SqlError> {
        let packet = self.first_packet().filter(|packet| is_err(packet))?;
        Some(parse_err_packet(&Bytes::copy_from_slice(packet)))
    }
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

    /// Appends a packet.
    pub fn push(&mut self, payload: &[u8]) {
        self.bytes.put_u32(payload.len() as u32);
        self.bytes.put_slice(payload);
    }

    /// Bytes of all packets with their lengths.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// The payloads, in order.
    pub fn iter(&self) -> impl Iterator<Item = &[u8]> {
        spool_io::packets(&self.bytes)
    }

    /// The packets, each behind its length.
    pub fn into_bytes(self) -> Bytes {
        self.bytes.freeze()
    }
}

/// The error that a client gets for a final answer without a result; `None` if there is a result.
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
