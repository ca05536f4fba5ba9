//! A pool of byte buffers of one size, for connections and results.

use bytes::BytesMut;
use std::cell::RefCell;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// Capacity of a pooled buffer, in bytes. It holds two pages of a result with their frames; a larger result grows its
/// buffer, which does not return to the pool. At the size of the largest result (48,000 bytes) the buffers in use filled
/// memory over a long run.
pub const BUFFER_BYTES: usize = 16 * 1024;
/// A returned buffer may have grown by this much.
const GROWTH_TOLERANCE_BYTES: usize = BUFFER_BYTES / 8;
/// Idle buffers in the pool; more are freed.
const MAX_IDLE_BUFFERS: usize = 64;

/// The pool. Clones share it.
#[derive(Clone, Default)]
pub struct BufferPool(Rc<RefCell<Vec<BytesMut>>>);

impl BufferPool {
    /// An empty buffer, which returns to the pool when it is dropped.
    pub fn take(&self) -> Buffer {
        let pooled = self.0.borrow_mut().pop();
        Buffer {
            bytes: pooled.unwrap_or_else(|| BytesMut::with_capacity(BUFFER_BYTES)),
            pool: self.clone(),
        }
    }

    /// Buffers in the pool.
    #[cfg(test)]
    pub(super) fn idle_buffers(&self) -> usize {
        self.0.borrow().len()
    }

    /// Returns a buffer's bytes to the pool, unless they have grown or the pool is full.
    pub(super) fn give_back(&self, mut bytes: BytesMut) {
        bytes.clear();
        let mut idle = self.0.borrow_mut();
        let pooled_capacity = BUFFER_BYTES..=BUFFER_BYTES + GROWTH_TOLERANCE_BYTES;
        if idle.len() < MAX_IDLE_BUFFERS && pooled_capacity.contains(&bytes.capacity()) {
            idle.push(bytes);
        }
    }
}

/// A buffer on loan from the pool.
pub struct Buffer {
    bytes: BytesMut,
    pool: BufferPool,
}

impl Buffer {
    /// The bytes themselves, which then no longer return to the pool by themselves.
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
        self.pool.give_back(std::mem::take(&mut self.bytes));
    }
}

#[cfg(test)]
mod tests;
