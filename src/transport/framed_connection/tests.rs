use super::*;
use tokio_util::codec::LinesCodec;

/// Returns a connection that takes its buffers from `pool`, and its peer.
async fn connect(pool: &BufferPool) -> (FramedConnection<LinesCodec>, TcpStream) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let socket = PlainSocket::from(listener.accept().await.unwrap().0);
    (FramedConnection::new(pool, socket, LinesCodec::new()), peer)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test);
}

async fn expect_line(connection: &mut FramedConnection<LinesCodec>, expected: &str) {
    let event = connection.next_event(ReadInterest::Items, false).await;
    assert!(matches!(event, ConnectionEvent::Item(line) if line == expected));
}

#[test]
fn idle_connection_holds_no_buffer_and_reads_what_arrives() {
    run(async {
        let pool = BufferPool::default();
        let (mut connection, mut peer) = connect(&pool).await;
        connection.enqueue("greeting").unwrap();
        assert!(matches!(
            connection.next_event(ReadInterest::Paused, false).await,
            ConnectionEvent::Written
        ));
        connection.release_buffers();
        assert_eq!(pool.idle_buffers(), 2, "both buffers are in the pool");
        peer.write_all(b"one\ntwo\n").await.unwrap();
        expect_line(&mut connection, "one").await;
        connection.release_buffers();
        assert_eq!(
            pool.idle_buffers(),
            1,
            "a buffer is kept while it holds data"
        );
        expect_line(&mut connection, "two").await;
    });
}

#[test]
fn a_few_undecoded_bytes_are_kept_without_a_pooled_buffer() {
    run(async {
        let pool = BufferPool::default();
        let (mut connection, mut peer) = connect(&pool).await;
        peer.write_all(b"half a").await.unwrap();
        let limit = Duration::from_millis(50);
        let next = connection.next_event(ReadInterest::Items, false);
        assert!(tokio::time::timeout(limit, next).await.is_err());
        assert_eq!(pool.idle_buffers(), 1);
        assert_eq!(connection.read_buffer().capacity(), "half a".len());
        peer.write_all(b" line\n").await.unwrap();
        expect_line(&mut connection, "half a line").await;
    });
}
