//! A connection with a codec that takes buffers from the pool while there is data to read or write.

use crate::transport::buffer_pool::BufferPool;
use crate::transport::plain_socket::{PlainSocket, is_interrupted};
use bytes::{Buf, BytesMut};
use std::future::poll_fn;
use std::io;
use std::ops::{Deref, DerefMut};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder, Framed};

/// Time for a peer to read the last bytes and close the connection after they were written.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that one call discards or reads ahead.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of bytes that are discarded while a connection closes.
const CLOSE_DISCARD_BYTES: u64 = 16 << 20;
/// A read buffer is compacted if its capacity divided by this number holds what is not decoded yet.
const COMPACTION_DIVISOR: usize = 2;

/// A stream over a TCP connection.
pub trait Socket: AsyncRead + AsyncWrite + Unpin {
    /// Returns the underlying TCP connection.
    fn tcp(&self) -> &TcpStream;
}

/// A connection whose read and write buffers are taken from the pool only while they hold data.
pub struct FramedConnection<C, S = PlainSocket> {
    framed: Option<Framed<S, C>>,
    pool: BufferPool,
    /// The read buffer holds no more than what is not decoded yet.
    read_buffer_released: bool,
    write_buffer_released: bool,
    write_progress: WriteProgress,
}

/// Progress of writing the bytes that were queued at one point in time, until all of them are written.
struct WriteProgress {
    /// Number of those bytes that are not written yet.
    remaining: usize,
    /// When they were queued, or when the bytes before them were written.
    since: Instant,
}

/// What [`FramedConnection::next_event`] reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadInterest {
    /// Items decoded by the codec.
    Items,
    /// Bytes, which are discarded to detect the end of the connection.
    Discard,
    /// Nothing.
    Paused,
}

/// What happened on a connection.
pub enum ConnectionEvent<I, E> {
    /// All enqueued items are written.
    Written,
    /// An item was read.
    Item(I),
    /// This number of bytes was discarded.
    Discarded(usize),
    /// The socket is writable again, or the next write fails.
    Writable,
    /// The peer has closed the connection.
    Closed,
    /// The connection failed, or the bytes that were read cannot be decoded.
    Failed(E),
}

impl<C, S> FramedConnection<C, S> {
    /// Creates a connection over `stream` with buffers from `pool`.
    pub fn new(pool: &BufferPool, stream: S, codec: C) -> Self
    where
        C: Decoder,
        S: AsyncRead + AsyncWrite,
    {
        let mut parts = Framed::new(stream, codec).into_parts();
        parts.read_buf = pool.take().into_bytes();
        parts.write_buf = BytesMut::new();
        FramedConnection {
            framed: Some(Framed::from_parts(parts)),
            pool: pool.clone(),
            read_buffer_released: false,
            write_buffer_released: true,
            write_progress: WriteProgress {
                remaining: 0,
                since: Instant::now(),
            },
        }
    }

    /// Returns the buffers to the pool that are empty: otherwise each idle connection would keep the memory of
    /// its largest answer.
    pub fn release_buffers(&mut self) {
        let Some(framed) = self.framed.as_mut() else {
            return;
        };
        if !self.read_buffer_released && framed.read_buffer().is_empty() {
            self.pool.recycle(std::mem::take(framed.read_buffer_mut()));
            self.read_buffer_released = true;
        }
        if !self.write_buffer_released && framed.write_buffer().is_empty() {
            self.pool.recycle(std::mem::take(framed.write_buffer_mut()));
            self.write_buffer_released = true;
        }
    }

    /// Moves a few undecoded bytes to a buffer of their size, until more can be read: hundreds of clients may have
    /// sent part of a message.
    fn compact_read_buffer(&mut self) {
        let is_released = self.read_buffer_released;
        let Some(framed) = self.framed.as_mut().filter(|_| !is_released) else {
            return;
        };
        let undecoded = framed.read_buffer();
        if undecoded.len() > undecoded.capacity() / COMPACTION_DIVISOR {
            return;
        }
        let compact = BytesMut::from(&undecoded[..]);
        let released = std::mem::replace(framed.read_buffer_mut(), compact);
        self.pool.recycle(released);
        self.read_buffer_released = true;
    }

    /// Takes a read buffer from the pool, if it was released.
    fn acquire_read_buffer(&mut self) {
        let is_released = self.read_buffer_released;
        let Some(framed) = self.framed.as_mut().filter(|_| is_released) else {
            return;
        };
        let mut buffer = self.pool.take().into_bytes();
        buffer.extend_from_slice(framed.read_buffer());
        *framed.read_buffer_mut() = buffer;
        self.read_buffer_released = false;
    }

    /// Takes a write buffer from the pool, if it was released.
    fn acquire_write_buffer(&mut self) {
        let is_released = self.write_buffer_released;
        if let Some(framed) = self.framed.as_mut().filter(|_| is_released) {
            *framed.write_buffer_mut() = self.pool.take().into_bytes();
            self.write_buffer_released = false;
        }
    }

    /// Appends an item to the write buffer without waiting.
    ///
    /// # Errors
    /// The item cannot be encoded.
    pub fn enqueue<I>(&mut self, item: I) -> Result<(), C::Error>
    where
        C: Encoder<I>,
    {
        self.acquire_write_buffer();
        let mut bytes = std::mem::take(self.write_buffer_mut());
        if bytes.is_empty() {
            self.write_progress.remaining = 0;
        }
        let encoded = self.codec_mut().encode(item, &mut bytes);
        *self.write_buffer_mut() = bytes;
        encoded
    }

    /// Returns whether the write buffer is empty.
    pub fn is_flushed(&self) -> bool {
        self.write_buffer().is_empty()
    }

    /// Returns whether bytes that were queued longer than `limit` ago are still unwritten.
    pub fn is_write_stalled(&self, limit: Duration) -> bool {
        !self.is_flushed()
            && self.write_progress.remaining > 0
            && self.write_progress.since.elapsed() > limit
    }

    /// Records that `bytes` bytes were written. Once the observed bytes are written, those queued
    /// by then are observed.
    fn record_written(&mut self, bytes: usize) {
        let remaining = self.write_progress.remaining.saturating_sub(bytes);
        self.write_progress.remaining = remaining;
        if remaining == 0 {
            self.write_progress = WriteProgress {
                remaining: self.write_buffer().len(),
                since: Instant::now(),
            };
        }
    }

    fn poll_flush_queue(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>>
    where
        S: AsyncWrite + Unpin,
    {
        self.record_written(0);
        while !self.is_flushed() {
            let bytes = std::mem::take(self.write_buffer_mut());
            let wrote = Pin::new(self.get_mut()).poll_write(cx, &bytes);
            *self.write_buffer_mut() = bytes;
            let n = ready!(wrote)?;
            if n == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.write_buffer_mut().advance(n);
            self.record_written(n);
        }
        Pin::new(self.get_mut()).poll_flush(cx)
    }
}

impl<C, S: Socket> FramedConnection<C, S> {
    /// Encodes an item into an empty write buffer and writes as much of it as the socket takes at
    /// once. If it takes no byte, the item is removed from the write buffer and false is returned.
    ///
    /// # Errors
    /// The item cannot be encoded, or the connection failed.
    pub fn start_write<I>(&mut self, item: I) -> Result<bool, <C as Encoder<I>>::Error>
    where
        C: Encoder<I>,
    {
        if let Err(e) = self.enqueue(item) {
            self.write_buffer_mut().clear();
            return Err(e);
        }
        let written = loop {
            match self.get_ref().tcp().try_write(self.write_buffer()) {
                Err(e) if is_interrupted(&e) => {}
                written => break written,
            }
        };
        match written {
            Ok(n) => {
                self.write_buffer_mut().advance(n);
                self.record_written(n);
                Ok(n > 0)
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                self.write_buffer_mut().clear();
                Ok(false)
            }
            Err(e) => Err(e.into()),
        }
    }

    fn poll_item(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<C::Item, C::Error>>>
    where
        C: Decoder,
    {
        if self.read_buffer_released {
            // An error here is returned again by the read.
            drop(ready!(self.get_ref().tcp().poll_read_ready(cx)));
            self.acquire_read_buffer();
        }
        let item = futures_util::Stream::poll_next(Pin::new(&mut **self), cx);
        if item.is_pending() {
            self.compact_read_buffer();
        }
        item
    }

    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.read_buffer_mut().clear();
        let mut bytes = [0; READ_CHUNK_BYTES];
        let mut bytes = ReadBuf::new(&mut bytes);
        ready!(Pin::new(self.get_mut()).poll_read(cx, &mut bytes))?;
        Poll::Ready(Ok(bytes.filled().len()))
    }

    /// Returns the next item, or `None` at the end of the stream. Buffers are taken from the pool
    /// only once there is data to read.
    pub async fn next_item(&mut self) -> Option<Result<C::Item, C::Error>>
    where
        C: Decoder,
    {
        poll_fn(|cx| self.poll_item(cx)).await
    }

    fn poll_read_event(
        &mut self,
        cx: &mut Context<'_>,
        reads: ReadInterest,
    ) -> Poll<ConnectionEvent<C::Item, C::Error>>
    where
        C: Decoder,
    {
        match reads {
            ReadInterest::Paused => Poll::Pending,
            ReadInterest::Items => self.poll_item(cx).map(|item| match item {
                Some(Ok(item)) => ConnectionEvent::Item(item),
                Some(Err(error)) => ConnectionEvent::Failed(error),
                None => ConnectionEvent::Closed,
            }),
            ReadInterest::Discard => self.poll_discard(cx).map(|read| match read {
                Ok(0) => ConnectionEvent::Closed,
                Ok(bytes) => ConnectionEvent::Discarded(bytes),
                Err(error) => ConnectionEvent::Failed(error.into()),
            }),
        }
    }

    /// Waits for the next event: everything is written, data was read, or (with `until_writable`)
    /// the socket is writable again. Reads and writes do not block each other, and dropping the
    /// future loses no data.
    pub async fn next_event(
        &mut self,
        reads: ReadInterest,
        until_writable: bool,
    ) -> ConnectionEvent<C::Item, C::Error>
    where
        C: Decoder,
    {
        poll_fn(|cx| {
            if !self.is_flushed()
                && let Poll::Ready(flushed) = self.poll_flush_queue(cx)
            {
                return Poll::Ready(match flushed {
                    Ok(()) => ConnectionEvent::Written,
                    Err(error) => ConnectionEvent::Failed(error.into()),
                });
            }
            match self.poll_read_event(cx, reads) {
                Poll::Pending if until_writable => {
                    let writable = self.get_ref().tcp().poll_write_ready(cx);
                    writable.map(|_| ConnectionEvent::Writable)
                }
                read => read,
            }
        })
        .await
    }
}

impl<C, S: AsyncRead + AsyncWrite + Unpin> FramedConnection<C, S> {
    /// Reads ahead while an answer to the peer is pending, so that its close is detected behind
    /// data that it has sent. Completes when the peer closes, or once `is_final` returns true for
    /// the undecoded bytes. These stay in the read buffer to be decoded.
    ///
    /// # Errors
    /// The peer sends `limit` bytes or more, or the connection failed.
    pub async fn read_ahead(
        &mut self,
        limit: usize,
        is_final: impl Fn(&[u8]) -> bool,
    ) -> io::Result<()>
    where
        C: Decoder,
    {
        loop {
            if is_final(self.read_buffer()) {
                return Ok(());
            }
            if self.read_buffer().len() >= limit {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let read = poll_fn(|cx| {
                let mut bytes = [0; READ_CHUNK_BYTES];
                let mut bytes = ReadBuf::new(&mut bytes);
                ready!(Pin::new(self.get_mut()).poll_read(cx, &mut bytes))?;
                self.read_buffer_mut().extend_from_slice(bytes.filled());
                Poll::Ready(io::Result::Ok(bytes.filled().len()))
            });
            if read.await? == 0 {
                return Ok(());
            }
            // A rebuilt `Framed` decodes the bytes in its buffer before it reads again.
            self.framed = self
                .framed
                .take()
                .map(|f| Framed::from_parts(f.into_parts()));
        }
    }

    /// Closes a connection whose peer may still be sending. Its data is discarded for up to
    /// `CLOSE_TIMEOUT`, because closing a socket with unread bytes would reset the connection and
    /// lose the last bytes written.
    pub async fn close_gracefully(&mut self) {
        self.close_gracefully_within(CLOSE_TIMEOUT).await;
    }

    /// Closes the connection as [`close_gracefully`](Self::close_gracefully) does, within `limit`.
    pub async fn close_gracefully_within(&mut self, limit: Duration) {
        let Some(framed) = &mut self.framed else {
            return;
        };
        let tcp = framed.get_mut();
        let closing = async {
            tcp.shutdown().await?;
            tokio::io::copy(&mut tcp.take(CLOSE_DISCARD_BYTES), &mut tokio::io::sink()).await
        };
        drop(tokio::time::timeout(limit, closing).await);
    }
}

impl<C, S> Deref for FramedConnection<C, S> {
    type Target = Framed<S, C>;
    fn deref(&self) -> &Self::Target {
        self.framed
            .as_ref()
            .expect("the framed stream is only taken on drop")
    }
}

impl<C, S> DerefMut for FramedConnection<C, S> {
    fn deref_mut(&mut self) -> &mut Self::Target {
        self.framed
            .as_mut()
            .expect("the framed stream is only taken on drop")
    }
}

impl<C, S> Drop for FramedConnection<C, S> {
    fn drop(&mut self) {
        if let Some(framed) = self.framed.take() {
            let parts = framed.into_parts();
            self.pool.recycle(parts.read_buf);
            self.pool.recycle(parts.write_buf);
        }
    }
}

#[cfg(test)]
mod tests;
