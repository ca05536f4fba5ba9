//! A client's connection, in plaintext or TLS.

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

/// A connection with bytes that were read ahead: a client sends its TLS hello right behind its
/// request for TLS.
pub struct PrereadStream {
    bytes: BytesMut,
    tcp: ClientSocket,
}

impl PrereadStream {
    /// Creates a connection whose first bytes were already read.
    pub fn new(bytes: BytesMut, tcp: ClientSocket) -> Self {
        PrereadStream { bytes, tcp }
    }
}

/// A client's connection.
pub enum Stream {
    /// Plaintext.
    Plain(ClientSocket),
    /// TLS.
    Tls(Box<TlsStream<PrereadStream>>),
    /// The TLS handshake failed, and the connection is closed.
    Closed,
}

impl From<TcpStream> for Stream {
    fn from(tcp: TcpStream) -> Self {
        Stream::Plain(tcp.into())
    }
}

impl Stream {
    /// Switches to TLS as the server. `bytes` were already read, and are treated as TLS whatever
    /// they contain, so that no plaintext can be injected before the handshake.
    ///
    /// # Errors
    /// The handshake fails, and the connection is closed.
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
                Err(io::Error::other("the connection is not in plaintext"))
            }
        }
    }

    /// Returns the verified certificate of the client in DER form, if it presented one.
    pub fn certificate(&self) -> Option<&[u8]> {
        let Stream::Tls(tls) = self else { return None };
        tls.get_ref()
            .1
            .peer_certificates()?
            .first()
            .map(|c| c.as_ref())
    }

    /// Returns a probe of the underlying socket, in plaintext or TLS, for tasks that work for the client.
    pub fn probe(&self) -> SocketProbe {
        match self {
            Stream::Plain(tcp) => tcp.probe(),
            Stream::Tls(tls) => tls.get_ref().0.tcp.probe(),
            Stream::Closed => SocketProbe::default(),
        }
    }

    /// Returns the state of the socket's receive queue, in plaintext or TLS.
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
