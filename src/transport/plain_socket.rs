//! Reads and writes on TCP sockets whose system calls may be interrupted or return early.
//!
//! The runtime's own stream fails on an interrupted call, and treats a short read as the end of the
//! available data: the rest would wait until more arrives. Here an interrupted call is repeated,
//! and only `WouldBlock` counts as the end of the available data.

use crate::transport::framed_connection::Socket;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Returns whether the call was interrupted, and is to be repeated at once.
pub(super) fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// Reads the available bytes, at most as many as the buffer holds. Calls `on_empty` when the operating system has
/// none.
pub(super) fn poll_read(
    tcp: &TcpStream,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
    on_empty: impl Fn(),
) -> Poll<io::Result<()>> {
    loop {
        ready!(tcp.poll_read_ready(cx))?;
        match tcp.try_read_buf(buffer) {
            Ok(_) => return Poll::Ready(Ok(())),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => on_empty(),
            Err(e) if is_interrupted(&e) => {}
            Err(e) => return Poll::Ready(Err(e)),
        }
    }
}

/// Writes as many bytes as the socket takes.
pub(super) fn poll_write(
    tcp: &TcpStream,
    cx: &mut Context<'_>,
    bytes: &[u8],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(tcp.poll_write_ready(cx))?;
        match tcp.try_write(bytes) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock || is_interrupted(&e) => {}
            wrote => return Poll::Ready(wrote),
        }
    }
}

/// Shuts down the sending side of the socket.
pub(super) fn shut_down(tcp: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(tcp).shutdown(std::net::Shutdown::Write)
}

/// The socket of a connection to an engine or from an operator.
pub struct PlainSocket(TcpStream);

impl From<TcpStream> for PlainSocket {
    fn from(tcp: TcpStream) -> Self {
        PlainSocket(tcp)
    }
}

impl Socket for PlainSocket {
    fn tcp(&self) -> &TcpStream {
        &self.0
    }
}

impl AsyncRead for PlainSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, cx, buffer, || {})
    }
}

impl AsyncWrite for PlainSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shut_down(&self.0))
    }
}
