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
    b.reserve(4 * SIZE);
    drop(b);
    assert!(pool.0.borrow().is_empty(), "a grown one is not kept");
}

#[test]
fn a_connection_at_rest_holds_no_buffer_and_wakes_for_what_comes() {
    use tokio_util::codec::LinesCodec;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let pool = BufferPool::default();
        let mut wire = FramedConnection::new(&pool, listener.accept().await.unwrap().0, LinesCodec::new());
        wire.rest();
        assert_eq!(pool.0.borrow().len(), 2, "both are back");
        peer.write_all(b"one\ntwo\n").await.unwrap();
        assert!(matches!(wire.turn(ReadInterest::Items, false).await, ConnectionEvent::Heard(line) if line == "one"));
        wire.rest();
        assert_eq!(pool.0.borrow().len(), 0, "not while something is in them");
        assert!(matches!(wire.turn(ReadInterest::Items, false).await, ConnectionEvent::Heard(line) if line == "two"));
    });
}
