//! Peers of a dispatcher, implemented by tests: clients on the frame protocol, and engines on the
//! RESP protocol.
#![allow(dead_code)]

pub(crate) mod fixture;

use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Size of a socket buffer, in bytes, that is so small that a large message blocks partially written.
pub(crate) const SMALL_BUFFER_BYTES: usize = 4096;

/// Returns the output of a future, which must complete within six seconds.
pub(crate) async fn expect_soon<T>(what: &str, future: impl Future<Output = T>) -> T {
    tokio::time::timeout(Duration::from_secs(6), future)
        .await
        .unwrap_or_else(|_| panic!("no {what}"))
}

/// Waits up to six seconds until the condition holds.
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    expect_soon(what, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
}

/// Formats the id of a request as it is sent in both protocols.
pub(crate) fn request_id(txn: u64) -> String {
    format!("{txn:016x}")
}

/// Encodes a frame: length, type, stream and payload.
pub(crate) fn encode_frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32 + 5).to_be_bytes();
    [&length[..], &[kind], &stream.to_be_bytes(), payload].concat()
}

/// A client's connection.
pub(crate) struct Client(pub TcpStream);

impl Client {
    pub(crate) async fn connect(at: SocketAddr) -> Self {
        let tcp = TcpStream::connect(at).await.unwrap();
        tcp.set_nodelay(true).unwrap();
        Client(tcp)
    }

    /// Connects a client whose socket buffers only a few unread bytes.
    pub(crate) async fn with_small_buffer(at: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket
            .set_recv_buffer_size(SMALL_BUFFER_BYTES as u32)
            .unwrap();
        Client(socket.connect(at).await.unwrap())
    }

    pub(crate) async fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).await.unwrap();
    }

    /// Returns type, stream and payload of the next frame; `None` once the connection is closed.
    pub(crate) async fn receive(&mut self) -> Option<(u8, u32, Vec<u8>)> {
        let read = async {
            let length = self.0.read_u32().await.ok()?;
            let mut body = vec![0; length as usize];
            self.0.read_exact(&mut body).await.ok()?;
            Some((
                body[0],
                u32::from_be_bytes(body[1..5].try_into().unwrap()),
                body[5..].to_vec(),
            ))
        };
        expect_soon("frame", read).await
    }

    /// Asserts that the next frame reports the request of this stream as served.
    pub(crate) async fn expect_served(&mut self, stream: u32) {
        let (kind, on, payload) = self.receive().await.expect("an answer");
        assert_eq!((kind, on, payload[0]), (4, stream, 0));
    }

    /// Resets the connection.
    pub(crate) fn reset(self) {
        SockRef::from(&self.0)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}

/// Returns the arguments of the next command; `None` once the connection is closed.
pub(crate) async fn read_command(engine: &mut TcpStream) -> Option<Vec<String>> {
    async fn number(engine: &mut TcpStream) -> Option<usize> {
        let mut line = String::new();
        while !line.ends_with('\n') {
            line.push(engine.read_u8().await.ok()?.into());
        }
        line[1..].trim().parse().ok()
    }
    let read = async {
        let mut arguments = vec![];
        for _ in 0..number(engine).await? {
            let mut argument = vec![0; number(engine).await? + 2];
            engine.read_exact(&mut argument).await.ok()?;
            arguments.push(String::from_utf8_lossy(&argument[..argument.len() - 2]).into_owned());
        }
        Some(arguments)
    };
    expect_soon("command", read).await
}

/// Reads the next command, which must be a request, and returns the id of the request.
pub(crate) async fn read_request_id(engine: &mut TcpStream) -> String {
    let command = read_command(engine).await.expect("a command");
    assert_eq!(command[0], "GET", "{command:?}");
    command[1].clone()
}

/// Encodes a reply of four fields as a RESP array of bulk strings.
pub(crate) fn encode_reply(fields: [&str; 4]) -> Vec<u8> {
    let bulk: String = fields
        .iter()
        .map(|field| format!("${}\r\n{field}\r\n", field.len()))
        .collect();
    format!("*4\r\n{bulk}").into_bytes()
}

/// Sends a reply of these fields.
pub(crate) async fn send_reply(engine: &mut TcpStream, fields: [&str; 4]) {
    engine.write_all(&encode_reply(fields)).await.unwrap();
}

/// Answers with a result of `pages` full pages, sending each further page when it is requested.
pub(crate) async fn serve_pages(engine: &mut TcpStream, txn: &str, pages: usize) {
    let page = format!("{}\tb\tc\n", "a".repeat(5000));
    send_reply(engine, [txn, "ACK", &format!("total={pages}"), &page]).await;
    for _ in 1..pages {
        let request = read_command(engine).await.expect("a request for a page");
        assert_eq!(request[0], "PAGE");
        send_reply(
            engine,
            [txn, "BLOCK", &format!("index={}", request[2]), &page],
        )
        .await;
    }
}

/// Encodes the fields of a request's header: their count, then each name and value behind its length.
pub(crate) fn encode_fields(fields: &[(&str, &str)]) -> Vec<u8> {
    let mut encoded = vec![fields.len() as u8];
    for (name, value) in fields {
        encoded.push(name.len() as u8);
        encoded.extend(name.as_bytes());
        encoded.extend((value.len() as u16).to_be_bytes());
        encoded.extend(value.as_bytes());
    }
    encoded
}

/// Encodes a request frame of the tenant `acme` with a deadline in five seconds.
pub(crate) fn encode_request(stream: u32, txn: u64, class: &str, statement: &str) -> Vec<u8> {
    let mut payload = encode_fields(&[
        ("verb", class),
        ("txn", &request_id(txn)),
        ("limit", "5000"),
        ("team", "acme"),
    ]);
    payload.extend(statement.bytes());
    encode_frame(2, stream, &payload)
}

/// Returns an engine's listener whose connections buffer only a few unread bytes.
pub(crate) fn small_buffer_listener() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket
        .set_recv_buffer_size(SMALL_BUFFER_BYTES as u32)
        .unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket.listen(16).unwrap()
}

/// Returns an engine's listener with one slot in its listen queue: a further connection is
/// established a second later.
pub(crate) fn listener_without_backlog() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket.listen(0).unwrap()
}
