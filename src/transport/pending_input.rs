//! A look at what the machine holds unread for a connection.

use std::io;
use tokio::net::TcpStream;

/// What a look at a connection itself shows, past what the runtime has been told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingInput {
    Empty,
    Bytes,
    /// Its peer has closed or reset it.
    Closed,
}

/// Looks at what the machine holds for this connection, unread. The runtime's own notion of it is as old as the last
/// time it waited: what has come since would be overlooked.
pub fn peek(tcp: &TcpStream) -> PendingInput {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    match socket2::SockRef::from(tcp).peek(&mut byte) {
        Ok(0) => PendingInput::Closed,
        Ok(_) => PendingInput::Bytes,
        Err(e)
            if matches!(
                e.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
            ) =>
        {
            PendingInput::Empty
        }
        Err(_) => PendingInput::Closed,
    }
}
