use super::*;

#[test]
fn idle_connection_holds_no_buffer_and_reads_what_arrives() {
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
        let mut connection = FramedConnection::new(&pool, PlainSocket::from(listener.accept().await.unwrap().0), LinesCodec::new());
        connection.enqueue("greeting").unwrap();
        assert!(matches!(
            connection.next_event(ReadInterest::Paused, false).await,
            ConnectionEvent::Written
        ));
        connection.release_buffers();
        assert_eq!(pool.idle_buffers(), 2, "both buffers are in the pool");
        peer.write_all(b"one\ntwo\n").await.unwrap();
        assert!(matches!(connection.next_event(ReadInterest::Items, false).await, ConnectionEvent::Item(line) if line == "one"));
        connection.release_buffers();
        assert_eq!(pool.idle_buffers(), 1, "a buffer is kept while it holds data");
        assert!(matches!(connection.next_event(ReadInterest::Items, false).await, ConnectionEvent::Item(line) if line == "two"));
    });
}

#[test]
fn a_few_undecoded_bytes_are_kept_without_a_pooled_buffer() {
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
        let socket = PlainSocket::from(listener.accept().await.unwrap().0);
        let mut connection = FramedConnection::new(&pool, socket, LinesCodec::new());
        peer.write_all(b"half a").await.unwrap();
        let limit = Duration::from_millis(50);
        let next = connection.next_event(ReadInterest::Items, false);
        assert!(tokio::time::timeout(limit, next).await.is_err());
        assert_eq!(pool.idle_buffers(), 1);
        assert_eq!(connection.read_buffer().capacity(), "half a".len());
        peer.write_all(b" line\n").await.unwrap();
        assert!(matches!(
            connection.next_event(ReadInterest::Items, false).await,
            ConnectionEvent::Item(line) if line == "half a line"
        ));
    });
}
