//! The platform's wires as tests play their far ends: a client's frames, and an engine's commands and answers.
#![allow(dead_code)]

use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A socket keeps so little of what is not read or sent that what is large stands.
pub const SMALL: usize = 4096;

pub async fn within<T>(what: &str, f: impl Future<Output = T>) -> T {
    tokio::time::timeout(Duration::from_secs(6), f)
        .await
        .unwrap_or_else(|_| panic!("no {what}"))
}

pub async fn until(what: &str, holds: impl Fn() -> bool) {
    within(what, async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
}

pub fn name(txn: u64) -> String {
    format!("{txn:016x}")
}

pub fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32 + 5).to_be_bytes();
    [&length[..], &[kind], &stream.to_be_bytes(), payload].concat()
}

pub struct Client(pub TcpStream);

impl Client {
    pub async fn new(at: SocketAddr) -> Self {
        let tcp = TcpStream::connect(at).await.unwrap();
        tcp.set_nodelay(true).unwrap();
        Client(tcp)
    }

    /// One whose machine keeps little of what it does not read.
    pub async fn narrow(at: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(SMALL as u32).unwrap();
        Client(socket.connect(at).await.unwrap())
    }

    pub async fn say(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).await.unwrap();
    }

    /// Type, stream and payload of the next frame; none at the end.
    pub async fn hear(&mut self) -> Option<(u8, u32, Vec<u8>)> {
        let read = async {
            let n = self.0.read_u32().await.ok()?;
            let mut f = vec![0; n as usize];
            self.0.read_exact(&mut f).await.ok()?;
            Some((
                f[0],
                u32::from_be_bytes(f[1..5].try_into().unwrap()),
                f[5..].to_vec(),
            ))
        };
        within("frame", read).await
    }

    /// It has asked on this stream, and is served.
    pub async fn is_served(&mut self, stream: u32) {
        let (kind, on, payload) = self.hear().await.expect("its answer");
        assert_eq!((kind, on, payload[0]), (4, stream, 0));
    }

    /// Its connection is reset.
    pub fn resets(self) {
        SockRef::from(&self.0)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}

/// The next command's words; none at the connection's end.
pub async fn command(engine: &mut TcpStream) -> Option<Vec<String>> {
    async fn number(engine: &mut TcpStream) -> Option<usize> {
        let mut line = String::new();
        while !line.ends_with('\n') {
            line.push(engine.read_u8().await.ok()?.into());
        }
        line[1..].trim().parse().ok()
    }
    let read = async {
        let mut words = vec![];
        for _ in 0..number(engine).await? {
            let mut word = vec![0; number(engine).await? + 2];
            engine.read_exact(&mut word).await.ok()?;
            words.push(String::from_utf8_lossy(&word[..word.len() - 2]).into_owned());
        }
        Some(words)
    };
    within("command", read).await
}

/// The id of the next request.
pub async fn get(engine: &mut TcpStream) -> String {
    let words = command(engine).await.expect("a command");
    assert_eq!(words[0], "GET", "{words:?}");
    words[1].clone()
}

pub fn array(words: [&str; 4]) -> Vec<u8> {
    let bulk: String = words
        .iter()
        .map(|w| format!("${}\r\n{w}\r\n", w.len()))
        .collect();
    format!("*4\r\n{bulk}").into_bytes()
}

pub async fn reply(engine: &mut TcpStream, words: [&str; 4]) {
    engine.write_all(&array(words)).await.unwrap();
}

/// A result of as many full pages.
pub async fn serve(engine: &mut TcpStream, txn: &str, pages: usize) {
    let page = format!("{}\tb\tc\n", "a".repeat(5000));
    reply(engine, [txn, "ACK", &format!("total={pages}"), &page]).await;
    for _ in 1..pages {
        let asked = command(engine).await.expect("a page is asked for");
        assert_eq!(asked[0], "PAGE");
        reply(
            engine,
            [txn, "BLOCK", &format!("index={}", asked[2]), &page],
        )
        .await;
    }
}

/// An engine's listener with room in its queue for one connection: what comes after that is up a second late.
pub fn tight() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket.listen(0).unwrap()
}
