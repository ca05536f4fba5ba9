//! State of a connection's receive queue in the operating system, independent of the runtime's readiness.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use tokio::io::Interest;
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

/// Returns whether the peer had closed or reset the connection at the runtime's last poll, however many bytes
/// before that are unread.
pub fn is_closed_by_peer(tcp: &TcpStream) -> bool {
    let readiness = pin!(tcp.ready(Interest::READABLE));
    let mut context = Context::from_waker(Waker::noop());
    matches!(readiness.poll(&mut context), Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// Queries the operating system for the receive queue of this connection. The runtime's readiness
/// dates from its last poll and would miss what has arrived since. A close counts also while bytes before
/// it are unread.
pub fn peek(tcp: &TcpStream) -> PendingInput {
    let mut byte = [MaybeUninit::uninit()];
    loop {
        return match socket2::SockRef::from(tcp).peek(&mut byte) {
            Ok(0) => PendingInput::Closed,
            Ok(_) if is_closed_by_peer(tcp) => PendingInput::Closed,
            Ok(_) => PendingInput::Bytes,
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock => PendingInput::Empty,
                ErrorKind::Interrupted => continue,
                _ => PendingInput::Closed,
            },
        };
    }
}
