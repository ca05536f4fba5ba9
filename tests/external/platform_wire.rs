//! The far ends of the platform's wires, which keep the bytes that the program sent them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

/// The longest that bytes are waited for.
const WAIT: Duration = Duration::from_secs(5);

/// A listener that reads up to a mark, tells what it read, and answers.
pub(crate) struct FarEnd {
    pub(crate) address: SocketAddr,
    received: mpsc::Receiver<Vec<u8>>,
}

impl FarEnd {
    /// Each time that `mark` ends what one connection sent, `answer` is written to it.
    pub(crate) fn start(mark: &'static [u8], answer: Vec<u8>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, received) = mpsc::channel();
        std::thread::spawn(move || {
            for connection in listener.incoming().map_while(Result::ok) {
                let (tell, answer) = (tell.clone(), answer.clone());
                std::thread::spawn(move || serve(connection, mark, &answer, &tell));
            }
        });
        FarEnd { address, received }
    }

    /// What came up to the next mark.
    pub(crate) fn received(&self) -> Vec<u8> {
        self.received.recv_timeout(WAIT).expect("the program sends")
    }
}

fn serve(mut connection: TcpStream, mark: &[u8], answer: &[u8], tell: &mpsc::Sender<Vec<u8>>) {
    let mut bytes = vec![];
    let mut byte = [0];
    while connection.read(&mut byte).is_ok_and(|count| count > 0) {
        bytes.push(byte[0]);
        if bytes.ends_with(mark) {
            let _ = tell.send(std::mem::take(&mut bytes));
            let _ = connection.write_all(answer);
        }
    }
}

/// A frame of a client: its fields, then its statement.
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

/// The next frame as it stands on the wire; none at the end of the connection.
pub(crate) fn read_frame(connection: &mut TcpStream) -> Option<Vec<u8>> {
    let mut frame = vec![0; 4];
    connection.read_exact(&mut frame).ok()?;
    let length = u32::from_be_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
    frame.resize(4 + length, 0);
    connection.read_exact(&mut frame[4..]).ok()?;
    Some(frame)
}
