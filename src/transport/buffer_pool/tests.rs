use super::*;

#[test]
fn buffer_is_reused_unless_it_has_grown() {
    let pool = BufferPool::default();
    let mut a = pool.take();
    a.extend_from_slice(&[1; 100]);
    let allocation = a.as_ptr();
    drop(a);
    let mut b = pool.take();
    assert!(
        b.is_empty() && b.as_ptr() == allocation,
        "the same allocation is reused, and it is empty"
    );
    b.reserve(4 * BUFFER_BYTES);
    drop(b);
    assert!(
        pool.0.borrow().is_empty(),
        "a buffer that has grown is freed"
    );
}
