//! Makes room for a message that arrives in parts, within a memory budget.

use crate::transport::buffer_pool::BUFFER_BYTES;
use crate::transport::memory_budget::{Purpose, Reservation};
use bytes::BytesMut;

/// Maximum capacity of a buffer that a connection gets from the pool, or gives back to it.
pub const MAX_SHARED_BUFFER_BYTES: usize = 2 * BUFFER_BYTES;

/// Makes room in `buffer`, which holds the beginning of a message of `bytes` bytes, for more of it: at most twice of what
/// has arrived. Returns false if the reservation does not allow it.
pub fn reserve_rest(buffer: &mut BytesMut, bytes: usize, memory: &mut Reservation) -> bool {
    let is_full = buffer.len() == buffer.capacity();
    let capacity = match buffer.capacity() {
        _ if is_full => bytes.min(2 * buffer.len()),
        // A connection stores what has arrived in a buffer of that size while it waits for more.
        0..=MAX_SHARED_BUFFER_BYTES => buffer.len(),
        capacity => capacity,
    };
    if !memory.resize(capacity) {
        return false;
    }
    if is_full {
        *buffer = copy_with_capacity(buffer, capacity);
    }
    true
}

/// Copies bytes into a buffer of this capacity.
pub fn copy_with_capacity(bytes: &[u8], capacity: usize) -> BytesMut {
    let mut copy = BytesMut::with_capacity(capacity);
    copy.extend_from_slice(bytes);
    copy
}

/// Releases a buffer that grew for a large message: if every connection kept one, they would exhaust memory.
pub fn shrink_if_empty(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > MAX_SHARED_BUFFER_BYTES {
        *buffer = BytesMut::with_capacity(BUFFER_BYTES);
    }
}

/// Returns what the memory of a complete message of this size is held for.
pub fn complete_purpose(bytes: usize) -> Purpose {
    match bytes {
        0..=BUFFER_BYTES => Purpose::Small,
        _ => Purpose::Large,
    }
}
