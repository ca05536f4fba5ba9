//! A client's connection, in the clear or in TLS.

use crate::transport::client_socket::{ClientSocket, SocketProbe};
use crate::transport::pending_input::PendingInput;
use bytes::BytesMut;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::{TlsAcceptor, TlsStream};

/// A connection with what was read of it too early: a client sends its first words of TLS right behind its wish for it.
pub struct PrereadStream {
    bytes: BytesMut,
    tcp: ClientSocket,
}

impl PrereadStream {
    /// A connection whose first bytes, read already, are these.
    pub fn new(bytes: BytesMut, tcp: ClientSocket) -> Self {
        PrereadStream { bytes, tcp }
    }
}

/// A client's connection.
pub enum Stream {
    /// In the clear.
    Plain(ClientSocket),
    /// In TLS.
    Tls(Box<TlsStream<PrereadStream>>),
    /// Its handshake failed, and nothing is left of it.
    Closed,
}

impl From<TcpStream> for Stream {
    fn from(tcp: TcpStream) -> Self {
        Stream::Plain(tcp.into())
    }
}

impl Stream {
    /// Goes on in TLS, as its server; `bytes` are those that were read already: whatever stands in them is taken for
    /// TLS, so that nothing is slipped in in the clear.
    ///
    /// # Errors
    /// The handshake fails; the connection is done.
    pub async fn upgrade_to_tls(
        &mut self,
        bytes: BytesMut,
        config: Arc<ServerConfig>,
    ) -> io::Result<()> {
        match std::mem::replace(self, Stream::Closed) {
            Stream::Plain(tcp) => {
                let tls = TlsAcceptor::from(config)
                    .accept(PrereadStream::new(bytes, tcp))
                    .await?;
                *self = Stream::Tls(Box::new(TlsStream::Server(tls)));
                Ok(())
            }
            other => {
                *self = other;
                Err(io::Error::other("it is in TLS already"))
            }
        }
    }

    /// The certificate that the client has shown, and that was checked.
    pub fn certificate(&self) -> Option<&[u8]> {
        let Stream::Tls(tls) = self else { return None };
        tls.get_ref()
            .1
            .peer_certificates()?
            .first()
            .map(|c| c.as_ref())
    }

    /// A look at its socket, in the clear or not, for whoever acts for its peer.
    pub fn probe(&self) -> SocketProbe {
        match self {
            Stream::Plain(tcp) => tcp.probe(),
            Stream::Tls(tls) => tls.get_ref().0.tcp.probe(),
            Stream::Closed => SocketProbe::default(),
        }
    }

    /// What the machine holds unread of the peer, in the clear or not.
    pub fn pending_input(&self) -> PendingInput {
        self.probe().pending_input()
    }
}

impl AsyncRead for PrereadStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.bytes.is_empty() {
            return Pin::new(&mut self.tcp).poll_read(cx, buffer);
        }
        let n = self.bytes.len().min(buffer.remaining());
        buffer.put_slice(&self.bytes.split_to(n));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for PrereadStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(s) => Pin::new(s).poll_read(cx, buffer),
            Stream::Tls(s) => Pin::new(s).poll_read(cx, buffer),
            Stream::Closed => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Plain(s) => Pin::new(s).poll_write(cx, bytes),
            Stream::Tls(s) => Pin::new(s).poll_write(cx, bytes),
            Stream::Closed => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
        }
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(s) => Pin::new(s).poll_flush(cx),
            Stream::Tls(s) => Pin::new(s).poll_flush(cx),
            Stream::Closed => Poll::Ready(Ok(())),
        }
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(s) => Pin::new(s).poll_shutdown(cx),
            Stream::Tls(s) => Pin::new(s).poll_shutdown(cx),
            Stream::Closed => Poll::Ready(Ok(())),
        }
    }
}
