//! What the system holds unread for a connection, past what the runtime knows of it.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// What a connection has to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingInput {
    /// Nothing yet.
    Empty,
    /// Unread bytes.
    Bytes,
    /// Its peer has closed or reset it.
    Closed,
}

/// Asks the system what it holds unread for this connection. The runtime's readiness is as old as its last poll: what
/// has come since would be overlooked.
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
