//! Errors of MySQL connections.

use crate::protocol::mysql::error::SqlError;
use crate::spool::SpoolRejection;
use std::io;

/// Why a packet could not be read or written, or why a command was aborted.
#[derive(Debug, thiserror::Error)]
pub enum PacketError {
    /// A packet is larger than the limit of the codec; contains its length in bytes.
    #[error("a packet of {0} bytes is above the bound")]
    TooLarge(usize),
    /// Clients hold all the memory that their packets may take; contains the packet's length in bytes.
    #[error("there is no memory for a packet of {0} bytes now")]
    OutOfMemory(usize),
    /// The payload ends before a field is complete.
    #[error("a packet ends too early")]
    Truncated,
    /// The sequence number is not the expected one.
    #[error("packets are out of order")]
    OutOfOrder,
    /// The engine answered with an ERR packet.
    #[error("the engine returned error {}: {}", .0.code, .0.message)]
    Server(SqlError),
    /// The peer violates the protocol, or requests something that is not supported.
    #[error("{0}")]
    Protocol(&'static str),
    /// The connection was abandoned: its engine was restarted, moved or removed, or a limit ended
    /// the session on it.
    #[error("the connection was given up")]
    ConnectionAbandoned,
    /// The client of the session disconnected.
    #[error("its client has disconnected")]
    ClientDisconnected,
    /// The result could not be stored.
    #[error(transparent)]
    SpoolRejection(#[from] SpoolRejection),
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
