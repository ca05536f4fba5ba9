//! A pool of byte buffers of one size: results and the connections' own buffers come from here.

use bytes::BytesMut;
use std::cell::RefCell;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// Holds two pages of a result with their frames; a larger result grows its buffer, which is then not kept. At
/// the size of the largest (48,000 bytes) the buffers in use filled memory through the whole of a long day.
pub const BUFFER_BYTES: usize = 16 * 1024;
/// Idle buffers kept; more are given back to the machine.
const MAX_IDLE_BUFFERS: usize = 64;

#[derive(Clone, Default)]
pub struct BufferPool(Rc<RefCell<Vec<BytesMut>>>);

impl BufferPool {
    pub fn take(&self) -> Buffer {
        let bytes = self
            .0
            .borrow_mut()
            .pop()
            .unwrap_or_else(|| BytesMut::with_capacity(BUFFER_BYTES));
        Buffer {
            bytes,
            pool: self.clone(),
        }
    }

    /// Idle buffers in it.
    #[cfg(test)]
    pub(super) fn idle_buffers(&self) -> usize {
        self.0.borrow().len()
    }

    pub(super) fn give_back(&self, mut bytes: BytesMut) {
        bytes.clear();
        let mut idle = self.0.borrow_mut();
        // One that a large frame has grown is not kept: all kept ones have the one size.
        if idle.len() < MAX_IDLE_BUFFERS
            && (BUFFER_BYTES..=BUFFER_BYTES + BUFFER_BYTES / 8).contains(&bytes.capacity())
        {
            idle.push(bytes);
        }
    }
}

/// A buffer on loan.
pub struct Buffer {
    bytes: BytesMut,
    pool: BufferPool,
}

impl Buffer {
    /// The bytes themselves, which are then no longer on loan.
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
