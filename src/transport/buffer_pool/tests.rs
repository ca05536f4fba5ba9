use super::*;

#[test]
fn a_buffer_is_used_again_unless_it_has_grown() {
    let pool = BufferPool::default();
    let mut a = pool.take();
    a.extend_from_slice(&[1; 100]);
    let place = a.as_ptr();
    drop(a);
    let mut b = pool.take();
    assert!(
        b.is_empty() && b.as_ptr() == place,
        "the same buffer, emptied"
    );
    b.reserve(4 * BUFFER_BYTES);
    drop(b);
    assert!(pool.0.borrow().is_empty(), "a grown one is not kept");
}
