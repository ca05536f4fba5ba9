//! A client's socket that others may look at: before anything is begun for a client, the machine is asked whether that one
//! has closed its connection, or has said something that is not read yet. The task that reads the socket may not have
//! had its turn since.

use crate::transport::framed_connection::Socket;
use crate::transport::pending_input::{self, PendingInput};
use crate::transport::plain_socket;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The socket, owned by the task that converses with the client.
pub struct ClientSocket(Rc<TcpStream>);

/// A look at a client's socket. It does not keep it open.
#[derive(Clone, Debug, Default)]
pub struct SocketProbe(Weak<TcpStream>);

impl From<TcpStream> for ClientSocket {
    fn from(tcp: TcpStream) -> Self {
        ClientSocket(Rc::new(tcp))
    }
}

impl ClientSocket {
    /// A probe of this socket.
    pub fn probe(&self) -> SocketProbe {
        SocketProbe(Rc::downgrade(&self.0))
    }
}

impl SocketProbe {
    /// What the machine holds of the client, unread; a socket that is closed here has none either.
    pub fn pending_input(&self) -> PendingInput {
        self.0
            .upgrade()
            .map_or(PendingInput::Closed, |tcp| pending_input::peek(&tcp))
    }
}

impl Socket for ClientSocket {
    fn tcp(&self) -> &TcpStream {
        &self.0
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        plain_socket::poll_read(&self.0, cx, buffer)
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        plain_socket::poll_write(&self.0, cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(plain_socket::shut_down(&self.0))
    }
}
