//! Buffers of one size, used again: results and the connections' own buffers come from here.

use bytes::BytesMut;
use std::cell::RefCell;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Framed};

/// Holds two pages of a result with their frames; a larger result grows its buffer, which is then not kept. At
/// the size of the largest (48,000 bytes) the buffers in use filled memory through the whole of a long day.
pub const SIZE: usize = 16 * 1024;
/// Idle buffers kept; more are given back to the machine.
const KEPT: usize = 64;

#[derive(Clone, Default)]
pub struct Pool(Rc<RefCell<Vec<BytesMut>>>);

impl Pool {
    pub fn take(&self) -> Buffer {
        let bytes = self.0.borrow_mut().pop().unwrap_or_else(|| BytesMut::with_capacity(SIZE));
        Buffer { bytes, home: self.clone() }
    }

    fn give(&self, mut bytes: BytesMut) {
        bytes.clear();
        let mut idle = self.0.borrow_mut();
        // One that a large frame has grown is not kept: all kept ones have the one size.
        if idle.len() < KEPT && (SIZE..=SIZE + SIZE / 8).contains(&bytes.capacity()) {
            idle.push(bytes);
        }
    }
}

/// A buffer on loan.
pub struct Buffer {
    bytes: BytesMut,
    home: Pool,
}

impl Deref for Buffer {
    type Target = BytesMut;
    fn deref(&self) -> &BytesMut {
        &self.bytes
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.home.give(std::mem::take(&mut self.bytes));
    }
}

/// A connection whose two buffers are on loan from the pool, while there is something to read or write.
pub struct Wire<C, S = TcpStream> {
    framed: Option<Framed<S, C>>,
    pool: Pool,
    resting: bool,
}

impl<C, S> Wire<C, S> {
    pub fn new(pool: &Pool, stream: S, codec: C) -> Self
    where
        C: Decoder,
        S: AsyncRead + AsyncWrite,
    {
        let mut parts = Framed::new(stream, codec).into_parts();
        parts.read_buf = std::mem::take(&mut pool.take().bytes);
        parts.write_buf = std::mem::take(&mut pool.take().bytes);
        Wire { framed: Some(Framed::from_parts(parts)), pool: pool.clone(), resting: false }
    }
}

impl<C> Wire<C> {
    /// Gives the buffers back while nothing is in them: with a hundred idle connections, each holding what its
    /// largest answer once needed, memory would grow for as long as new ones come.
    pub fn rest(&mut self) {
        let Some(framed) = self.framed.as_mut().filter(|_| !self.resting) else { return };
        if framed.read_buffer().is_empty() && framed.write_buffer().is_empty() {
            self.pool.give(std::mem::take(framed.read_buffer_mut()));
            self.pool.give(std::mem::take(framed.write_buffer_mut()));
            self.resting = true;
        }
    }

    /// Takes buffers again, before something is read or written.
    pub fn wake(&mut self) {
        if let Some(framed) = self.framed.as_mut().filter(|_| self.resting) {
            *framed.read_buffer_mut() = std::mem::take(&mut self.pool.take().bytes);
            *framed.write_buffer_mut() = std::mem::take(&mut self.pool.take().bytes);
            self.resting = false;
        }
    }

    /// What comes next, awake only once there is something.
    pub async fn heard(&mut self) -> Option<Result<C::Item, C::Error>>
    where
        C: Decoder,
    {
        if self.resting {
            // An error here is met again by the read.
            drop(self.get_ref().readable().await);
            self.wake();
        }
        tokio_stream::StreamExt::next(&mut **self).await
    }
}

impl<C, S: AsyncRead + AsyncWrite + Unpin> Wire<C, S> {
    /// Ends a conversation whose peer may still be sending: what it sends is read away for a moment, since a
    /// close over unread bytes would reset the connection and take the last words with it.
    pub async fn part(&mut self) {
        let Some(framed) = &mut self.framed else { return };
        let tcp = framed.get_mut();
        let parting = async {
            tcp.shutdown().await?;
            tokio::io::copy(&mut tcp.take(16 << 20), &mut tokio::io::sink()).await
        };
        drop(tokio::time::timeout(Duration::from_millis(500), parting).await);
    }
}

impl<C, S> Deref for Wire<C, S> {
    type Target = Framed<S, C>;
    fn deref(&self) -> &Self::Target {
        self.framed.as_ref().expect("taken only when it is dropped")
    }
}

impl<C, S> DerefMut for Wire<C, S> {
    fn deref_mut(&mut self) -> &mut Self::Target {
        self.framed.as_mut().expect("taken only when it is dropped")
    }
}

impl<C, S> Drop for Wire<C, S> {
    fn drop(&mut self) {
        if let Some(framed) = self.framed.take() {
            let parts = framed.into_parts();
            self.pool.give(parts.read_buf);
            self.pool.give(parts.write_buf);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_buffer_is_used_again_unless_it_has_grown() {
        let pool = Pool::default();
        let mut a = pool.take();
        a.extend_from_slice(&[1; 100]);
        let place = a.as_ptr();
        drop(a);
        let mut b = pool.take();
        assert!(b.is_empty() && b.as_ptr() == place, "the same buffer, emptied");
        b.reserve(4 * SIZE);
        drop(b);
        assert!(pool.0.borrow().is_empty(), "a grown one is not kept");
    }

    #[test]
    fn a_connection_at_rest_holds_no_buffer_and_wakes_for_what_comes() {
        use tokio_util::codec::LinesCodec;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
            let pool = Pool::default();
            let mut wire = Wire::new(&pool, listener.accept().await.unwrap().0, LinesCodec::new());
            wire.rest();
            assert_eq!(pool.0.borrow().len(), 2, "both are back");
            peer.write_all(b"one\ntwo\n").await.unwrap();
            assert_eq!(wire.heard().await.unwrap().unwrap(), "one");
            wire.rest();
            assert_eq!(pool.0.borrow().len(), 0, "not while something is in them");
            assert_eq!(wire.heard().await.unwrap().unwrap(), "two");
        });
    }
}
