//! A connection with a codec, whose buffers come from the pool while it has something to read or write.

use crate::transport::buffer_pool::BufferPool;
use bytes::Buf;
use std::future::poll_fn;
use std::io;
use std::ops::{Deref, DerefMut};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder, Framed};

/// A peer may take the last words, and close, for this long after them.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes that are read away, or ahead, at a time.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// What a connection is made on.
pub trait Socket: AsyncRead + AsyncWrite + Unpin {
    fn tcp(&self) -> &TcpStream;
}

impl Socket for TcpStream {
    fn tcp(&self) -> &TcpStream {
        self
    }
}

/// A connection whose two buffers are on loan from the pool, while there is something to read or write.
pub struct FramedConnection<C, S = TcpStream> {
    framed: Option<Framed<S, C>>,
    pool: BufferPool,
    buffers_released: bool,
    /// Bytes that the peer has to take, and since when: what stood to be written when that span began.
    owed: (usize, Instant),
}

/// What a turn of a connection reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadInterest {
    Items,
    /// What comes is of no use any more: only its end is of interest.
    Discard,
    Paused,
}

/// What a turn of a connection has come to.
pub enum ConnectionEvent<I, E> {
    Written,
    Item(I),
    /// So many bytes were read away.
    Discarded(usize),
    /// The machine takes bytes again, or an error shows with the next.
    Writable,
    /// Its peer has closed it.
    Closed,
    Failed(E),
}

impl<C, S> FramedConnection<C, S> {
    pub fn new(pool: &BufferPool, stream: S, codec: C) -> Self
    where
        C: Decoder,
        S: AsyncRead + AsyncWrite,
    {
        let mut parts = Framed::new(stream, codec).into_parts();
        parts.read_buf = pool.take().into_bytes();
        parts.write_buf = pool.take().into_bytes();
        let owed = (0, Instant::now());
        FramedConnection {
            framed: Some(Framed::from_parts(parts)),
            pool: pool.clone(),
            buffers_released: false,
            owed,
        }
    }

    /// Gives the buffers back while nothing is in them: with a hundred idle connections, each holding what its
    /// largest answer once needed, memory would grow for as long as new ones come.
    pub fn release_buffers(&mut self) {
        let Some(framed) = self.framed.as_mut().filter(|_| !self.buffers_released) else {
            return;
        };
        if framed.read_buffer().is_empty() && framed.write_buffer().is_empty() {
            self.pool
                .give_back(std::mem::take(framed.read_buffer_mut()));
            self.pool
                .give_back(std::mem::take(framed.write_buffer_mut()));
            self.buffers_released = true;
        }
    }

    /// Takes buffers again, before something is read or written.
    pub fn acquire_buffers(&mut self) {
        if let Some(framed) = self.framed.as_mut().filter(|_| self.buffers_released) {
            *framed.read_buffer_mut() = self.pool.take().into_bytes();
            *framed.write_buffer_mut() = self.pool.take().into_bytes();
            self.buffers_released = false;
        }
    }

    /// Puts something into what is to be written; it never waits.
    pub fn enqueue<I>(&mut self, item: I) -> Result<(), C::Error>
    where
        C: Encoder<I>,
    {
        self.acquire_buffers();
        let mut bytes = std::mem::take(self.write_buffer_mut());
        if bytes.is_empty() {
            self.owed.0 = 0;
        }
        let put = self.codec_mut().encode(item, &mut bytes);
        *self.write_buffer_mut() = bytes;
        put
    }

    /// Nothing is left to be written.
    pub fn is_flushed(&self) -> bool {
        self.write_buffer().is_empty()
    }

    /// Its peer has not taken for so long what stood to be written that long ago.
    pub fn is_write_stalled(&self, limit: Duration) -> bool {
        !self.is_flushed() && self.owed.0 > 0 && self.owed.1.elapsed() > limit
    }

    fn record_written(&mut self, n: usize) {
        let left = self.write_buffer().len();
        self.owed.0 = self.owed.0.saturating_sub(n);
        if self.owed.0 == 0 {
            self.owed = (left, Instant::now());
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
    /// Puts something where nothing is left to be written, and writes what the machine takes at once. False if that is not
    /// a byte: then nothing of it stays here.
    pub fn start_write<I>(&mut self, item: I) -> Result<bool, <C as Encoder<I>>::Error>
    where
        C: Encoder<I>,
    {
        if let Err(e) = self.enqueue(item) {
            self.write_buffer_mut().clear();
            return Err(e);
        }
        match self.get_ref().tcp().try_write(self.write_buffer()) {
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
        if self.buffers_released {
            // An error here is met again by the read.
            drop(ready!(self.get_ref().tcp().poll_read_ready(cx)));
            self.acquire_buffers();
        }
        futures_util::Stream::poll_next(Pin::new(&mut **self), cx)
    }

    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.read_buffer_mut().clear();
        let mut bytes = [0; READ_CHUNK_BYTES];
        let mut bytes = ReadBuf::new(&mut bytes);
        ready!(Pin::new(self.get_mut()).poll_read(cx, &mut bytes))?;
        Poll::Ready(Ok(bytes.filled().len()))
    }

    /// What comes next, awake only once there is something.
    pub async fn next_item(&mut self) -> Option<Result<C::Item, C::Error>>
    where
        C: Decoder,
    {
        poll_fn(|cx| self.poll_item(cx)).await
    }

    /// The next thing that happens: all is written, something is here, or (if asked for) the machine takes bytes. Neither
    /// half waits for the other, and nothing is lost if it is dropped.
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
                && let Poll::Ready(out) = self.poll_flush_queue(cx)
            {
                return Poll::Ready(out.map_or_else(
                    |e| ConnectionEvent::Failed(e.into()),
                    |()| ConnectionEvent::Written,
                ));
            }
            let read = match reads {
                ReadInterest::Paused => Poll::Pending,
                ReadInterest::Items => self.poll_item(cx).map(|heard| match heard {
                    Some(Ok(item)) => ConnectionEvent::Item(item),
                    Some(Err(e)) => ConnectionEvent::Failed(e),
                    None => ConnectionEvent::Closed,
                }),
                ReadInterest::Discard => self.poll_discard(cx).map(|read| match read {
                    Ok(0) => ConnectionEvent::Closed,
                    Ok(n) => ConnectionEvent::Discarded(n),
                    Err(e) => ConnectionEvent::Failed(e.into()),
                }),
            };
            match read {
                Poll::Pending if until_writable => self
                    .get_ref()
                    .tcp()
                    .poll_write_ready(cx)
                    .map(|_| ConnectionEvent::Writable),
                read => read,
            }
        })
        .await
    }
}

impl<C, S: AsyncRead + AsyncWrite + Unpin> FramedConnection<C, S> {
    /// Reads on while its peer is owed an answer, so that its end is seen behind what it has said: ends with the peer, or
    /// once what is unread is its `last` word. What was read stays to be heard.
    ///
    /// # Errors
    /// Its peer says more than `most` bytes, or the connection is broken.
    pub async fn read_ahead(&mut self, most: usize, last: impl Fn(&[u8]) -> bool) -> io::Result<()>
    where
        C: Decoder,
    {
        loop {
            if last(self.read_buffer()) {
                return Ok(());
            }
            if self.read_buffer().len() >= most {
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
            // Made anew, it decodes what stands in its buffer before it reads on.
            self.framed = self
                .framed
                .take()
                .map(|f| Framed::from_parts(f.into_parts()));
        }
    }

    /// Ends a conversation whose peer may still be sending: what it sends is read away for a moment, since a
    /// close over unread bytes would reset the connection and take the last words with it.
    pub async fn close_gracefully(&mut self) {
        self.close_gracefully_within(CLOSE_TIMEOUT).await;
    }

    /// The same, within so long.
    pub async fn close_gracefully_within(&mut self, limit: Duration) {
        let Some(framed) = &mut self.framed else {
            return;
        };
        let tcp = framed.get_mut();
        let parting = async {
            tcp.shutdown().await?;
            tokio::io::copy(&mut tcp.take(16 << 20), &mut tokio::io::sink()).await
        };
        drop(tokio::time::timeout(limit, parting).await);
    }
}

impl<C, S> Deref for FramedConnection<C, S> {
    type Target = Framed<S, C>;
    fn deref(&self) -> &Self::Target {
        self.framed.as_ref().expect("taken only when it is dropped")
    }
}

impl<C, S> DerefMut for FramedConnection<C, S> {
    fn deref_mut(&mut self) -> &mut Self::Target {
        self.framed.as_mut().expect("taken only when it is dropped")
    }
}

impl<C, S> Drop for FramedConnection<C, S> {
    fn drop(&mut self) {
        if let Some(framed) = self.framed.take() {
            let parts = framed.into_parts();
            self.pool.give_back(parts.read_buf);
            self.pool.give_back(parts.write_buf);
        }
    }
}

#[cfg(test)]
mod tests;
