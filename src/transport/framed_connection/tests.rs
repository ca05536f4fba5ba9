use super::*;

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
        let mut wire = FramedConnection::new(&pool, PlainSocket::from(listener.accept().await.unwrap().0), LinesCodec::new());
        wire.release_buffers();
        assert_eq!(pool.idle_buffers(), 2, "both are back");
        peer.write_all(b"one\ntwo\n").await.unwrap();
        assert!(matches!(wire.next_event(ReadInterest::Items, false).await, ConnectionEvent::Item(line) if line == "one"));
        wire.release_buffers();
        assert_eq!(pool.idle_buffers(), 0, "not while something is in them");
        assert!(matches!(wire.next_event(ReadInterest::Items, false).await, ConnectionEvent::Item(line) if line == "two"));
    });
}
