//! Fake servers that the program connects to on the platform, which record the bytes that they receive.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

/// Maximum time to wait for bytes.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A server that reads up to an end mark, records what it read, and answers.
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    received: mpsc::Receiver<Vec<u8>>,
}

impl FakeServer {
    /// Starts a server that writes `answer` each time that the bytes received on a connection end with
    /// `end_mark`.
    pub(crate) fn start(end_mark: &'static [u8], answer: Vec<u8>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, received) = mpsc::channel();
        std::thread::spawn(move || {
            for connection in listener.incoming().map_while(Result::ok) {
                let (sender, answer) = (sender.clone(), answer.clone());
                std::thread::spawn(move || serve(connection, end_mark, &answer, &sender));
            }
        });
        FakeServer { address, received }
    }

    /// Waits for the bytes up to the next end mark, and returns them.
    pub(crate) fn received(&self) -> Vec<u8> {
        self.received
            .recv_timeout(TIMEOUT)
            .expect("bytes up to an end mark within the timeout")
    }
}

fn serve(
    mut connection: TcpStream,
    end_mark: &[u8],
    answer: &[u8],
    received: &mpsc::Sender<Vec<u8>>,
) {
    let mut bytes = vec![];
    let mut byte = [0];
    while connection.read(&mut byte).is_ok_and(|count| count > 0) {
        bytes.push(byte[0]);
        if bytes.ends_with(end_mark) {
            let _ = received.send(std::mem::take(&mut bytes));
            let _ = connection.write_all(answer);
        }
    }
}

/// Encodes the payload of a client's request frame: the fields, then the statement.
pub(crate) fn request(fields: &[(&str, &str)], statement: &str) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.bytes());
    }
    payload.extend(statement.bytes());
    payload
}

/// Reads the next frame, including its length field. Returns `None` at the end of the connection.
pub(crate) fn read_frame(connection: &mut TcpStream) -> Option<Vec<u8>> {
    let mut frame = vec![0; 4];
    connection.read_exact(&mut frame).ok()?;
    let length = u32::from_be_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
    frame.resize(4 + length, 0);
    connection.read_exact(&mut frame[4..]).ok()?;
    Some(frame)
}
