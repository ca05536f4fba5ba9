//! Pool of byte buffers of one capacity, for connections and results.

use bytes::BytesMut;
use std::cell::RefCell;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// Capacity of a pooled buffer, in bytes. Two pages of a result fit with their frames; a larger
/// result grows its buffer, which is then not returned to the pool. With a capacity for the largest
/// result (48,000 bytes), the buffers in use exhausted memory in a long run.
pub const BUFFER_BYTES: usize = 16 * 1024;
/// Maximum growth, in bytes, of a buffer that is still returned to the pool.
const GROWTH_TOLERANCE_BYTES: usize = BUFFER_BYTES / 8;
/// Maximum number of idle buffers in the pool; further ones are freed.
const MAX_IDLE_BUFFERS: usize = 64;

/// A handle to the pool. Clones share the same buffers.
#[derive(Clone, Default)]
pub struct BufferPool(Rc<RefCell<Vec<BytesMut>>>);

impl BufferPool {
    /// Takes an empty buffer from the pool, or allocates one. Dropping the buffer returns it to the pool.
    pub fn take(&self) -> Buffer {
        let pooled = self.0.borrow_mut().pop();
        Buffer {
            bytes: pooled.unwrap_or_else(|| BytesMut::with_capacity(BUFFER_BYTES)),
            pool: self.clone(),
        }
    }

    /// Returns the number of idle buffers in the pool.
    #[cfg(test)]
    pub(super) fn idle_buffers(&self) -> usize {
        self.0.borrow().len()
    }

    /// Returns the storage of a buffer to the pool, or frees it if it has grown or the pool is full.
    pub(super) fn recycle(&self, mut bytes: BytesMut) {
        bytes.clear();
        // What was consumed at the front of the storage counts again; nothing is allocated.
        let _ = bytes.try_reclaim(BUFFER_BYTES);
        let mut idle = self.0.borrow_mut();
        let pooled_capacity = BUFFER_BYTES..=BUFFER_BYTES + GROWTH_TOLERANCE_BYTES;
        if idle.len() < MAX_IDLE_BUFFERS && pooled_capacity.contains(&bytes.capacity()) {
            idle.push(bytes);
        }
    }
}

/// A buffer taken from the pool, which is returned to the pool on drop.
pub struct Buffer {
    bytes: BytesMut,
    pool: BufferPool,
}

impl Buffer {
    /// Returns the bytes, which are then no longer returned to the pool on drop.
    pub(super) fn into_bytes(mut self) -> BytesMut {
        std::mem::take(&mut self.bytes)
    }
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
        self.pool.recycle(std::mem::take(&mut self.bytes));
    }
}

#[cfg(test)]
mod tests;
