//! What a session hands to an engine connection, and what that brings back.

use crate::dispatch::request_router::Reply;
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::session::SessionContext;
use crate::protocol::mysql::values::Execute;
use crate::spool::{AdmissionRequest, SpoolId};
use crate::spool_io::{self, ResultOwner};
use crate::upstream::mysql::downstream::Downstream;
use crate::upstream::mysql::sticky::Pinned;
use bytes::{BufMut, Bytes, BytesMut};
use std::cell::RefCell;
use std::rc::Rc;

/// What a client asked for, as an engine connection can carry it out alone.
#[derive(Debug)]
pub struct Work {
    pub context: SessionContext,
    pub sql: Bytes,
    pub job: Job,
    /// Whose result it brings, for the account of results that wait.
    pub ask: AdmissionRequest,
    pub who: ResultOwner,
    pub left: Left,
    /// ResultOwner asks: looked at right before anything of it is written to an engine.
    pub downstream: Rc<Downstream>,
}

/// What a statement leaves behind for its session: the rows of SHOW WARNINGS, each packet behind its length.
pub type Left = Rc<RefCell<Option<Bytes>>>;

#[derive(Debug)]
pub enum Job {
    /// Only take a connection to where the session stands: what the engine says to that is the answer.
    Enter,
    /// Hold a connection and carry out what the session sends.
    Pin(Rc<Pinned>),
    /// COM_QUERY.
    Query,
    /// COM_STMT_PREPARE: brings the statement's parameters and columns.
    Prepare,
    /// COM_STMT_EXECUTE, with all that an engine connection needs to run it for the first time.
    Execute(Execute),
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
        spool_io::packets(&self.bytes)
    }

    pub fn into_bytes(self) -> Bytes {
        self.bytes.freeze()
    }
}

/// How a final answer that brings no result reads to a client.
pub fn error_of(reply: &Reply<Output>) -> Option<SqlError> {
    let again = "sending it again does no harm";
    Some(match reply {
        Reply::Served(_) => return None,
        Reply::Rejected {
            retry_after,
            reason,
        } => {
            let when = retry_after.map_or(String::new(), |ms| {
                format!(" after {} ms", ms.max(0.0).ceil())
            });
            SqlError::new(
                code::ER_SERVER_ISNT_AVAILABLE,
                format!("refused: {reason}; {again}{when}"),
            )
        }
        Reply::TimedOut { retry_safe: true } => SqlError::new(
            code::ER_QUERY_TIMEOUT,
            format!("the statement's time is over; {again}"),
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
