//! A client's socket that other tasks can probe. Before work is started for a client, the operating
//! system is queried for whether the client has closed the connection or sent bytes that are not
//! read yet: the task that reads the socket may not have been scheduled since they arrived.

use crate::clock::process_clock_millis;
use crate::decision::model::Millis;
use crate::transport::framed_connection::Socket;
use crate::transport::pending_input::{self, PendingInput};
use crate::transport::plain_socket;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The socket, owned by the task that serves the client.
pub struct ClientSocket {
    tcp: Rc<TcpStream>,
    /// When a read last found no input, in milliseconds on the clock of the process.
    empty_at: Cell<Millis>,
}

/// Queries the state of a client's socket without keeping the socket open.
#[derive(Clone, Debug, Default)]
pub struct SocketProbe(Weak<TcpStream>);

impl From<TcpStream> for ClientSocket {
    fn from(tcp: TcpStream) -> Self {
        ClientSocket {
            tcp: Rc::new(tcp),
            empty_at: Cell::new(f64::NEG_INFINITY),
        }
    }
}

impl ClientSocket {
    /// Returns a probe of this socket.
    pub fn probe(&self) -> SocketProbe {
        SocketProbe(Rc::downgrade(&self.tcp))
    }

    /// Returns when a read last found no input, in milliseconds on the clock of the process: what has been read since
    /// then arrived later. Negative infinity if there was no such read.
    pub fn empty_at(&self) -> Millis {
        self.empty_at.get()
    }
}

impl SocketProbe {
    /// Returns the state of the socket's receive queue; [`PendingInput::Closed`] if the socket was
    /// closed on this side.
    pub fn pending_input(&self) -> PendingInput {
        self.0
            .upgrade()
            .map_or(PendingInput::Closed, |tcp| pending_input::peek(&tcp))
    }
}

impl Socket for ClientSocket {
    fn tcp(&self) -> &TcpStream {
        &self.tcp
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let record_empty = || self.empty_at.set(process_clock_millis());
        plain_socket::poll_read(&self.tcp, cx, buffer, record_empty)
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        plain_socket::poll_write(&self.tcp, cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(plain_socket::shut_down(&self.tcp))
    }
}
