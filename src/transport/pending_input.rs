//! State of a connection's receive queue in the operating system, independent of the runtime's readiness.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// State of a connection's receive queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingInput {
    /// No unread bytes.
    Empty,
    /// Unread bytes.
    Bytes,
    /// The peer has closed or reset the connection.
    Closed,
}

/// Queries the operating system for the receive queue of this connection. The runtime's readiness
/// dates from its last poll and would miss what has arrived since.
pub fn peek(tcp: &TcpStream) -> PendingInput {
    let mut byte = [MaybeUninit::uninit()];
    loop {
        return match socket2::SockRef::from(tcp).peek(&mut byte) {
            Ok(0) => PendingInput::Closed,
            Ok(_) => PendingInput::Bytes,
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock => PendingInput::Empty,
                ErrorKind::Interrupted => continue,
                _ => PendingInput::Closed,
            },
        };
    }
}
