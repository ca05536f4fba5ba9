//! A client's socket that others may look at: before anything is begun for a client, the machine is asked whether that one
//! has closed its connection, or has said something that is not read yet. The task that reads the socket may not have
//! had its turn since.

use crate::transport::framed_connection::Socket;

use crate::transport::pending_input::{self, PendingInput};
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
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
        let room = buffer.remaining();
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read_buf(buffer) {
                Ok(n) => {
                    if 0 < n && n < room {
                        // All that was there is read: the next read waits for news, without asking the machine.
                        let nothing = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
                        let _ = self.0.try_io(Interest::READABLE, nothing);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                wrote => return Poll::Ready(wrote),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write))
    }
}
