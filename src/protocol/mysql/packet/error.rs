//! What goes wrong on a MySQL connection.

use crate::protocol::mysql::error::SqlError;
use crate::spool::SpoolRejection;
use std::io;

/// Why a packet could not be read or written, or why a command was given up.
#[derive(Debug, thiserror::Error)]
pub enum PacketError {
    /// A packet above the codec's limit; its length in bytes.
    #[error("a packet of {0} bytes is above the bound")]
    TooLarge(usize),
    /// The payload ends before a field is complete.
    #[error("a packet ends too early")]
    Truncated,
    /// The sequence number is not the expected one.
    #[error("packets are out of order")]
    OutOfOrder,
    /// The engine answered with an ERR packet.
    #[error("the engine returned error {}: {}", .0.code, .0.message)]
    Server(SqlError),
    /// The peer breaks the protocol, or asks for something that is not supported.
    #[error("{0}")]
    Protocol(&'static str),
    /// The connection was given up: its engine was restarted, moved or removed, or a limit ended the session on it.
    #[error("the connection was given up")]
    ConnectionAbandoned,
    /// The client of the session has disconnected.
    #[error("its client has disconnected")]
    ClientDisconnected,
    /// The result could not be stored.
    #[error(transparent)]
    SpoolRejection(#[from] SpoolRejection),
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
