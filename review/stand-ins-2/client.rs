//! A MySQL client that waits for each answer.

use crate::wire::*;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

pub struct Client {
    pub tcp: TcpStream,
}

/// An answer: rows, an OK, or an error.
#[derive(Debug)]
pub enum Answer {
    Ok,
    Rows(Vec<Vec<Option<Vec<u8>>>>),
    Error(u16, String),
}

impl Answer {
    /// The text of the first column of the first row.
    pub fn text(&self) -> Option<String> {
        let Answer::Rows(rows) = self else { return None };
        let value = rows.first()?.first()?.clone()?;
        Some(String::from_utf8_lossy(&value).into_owned())
    }
}

impl std::fmt::Display for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Answer::Ok => write!(f, "OK"),
            Answer::Error(code, message) => write!(f, "error {code}: {message}"),
            Answer::Rows(rows) if rows.len() == 1 => write!(f, "one row: {:?}", self.text()),
            Answer::Rows(rows) => write!(f, "{} rows", rows.len()),
        }
    }
}

fn error_of(payload: &[u8]) -> Option<Answer> {
    if payload.first() != Some(&0xff) || payload.len() < 9 {
        return None;
    }
    let code = u16::from_le_bytes([payload[1], payload[2]]);
    let message = String::from_utf8_lossy(&payload[9..]).into_owned();
    Some(Answer::Error(code, message))
}

impl Client {
    pub fn log_in(address: &str, user: &str, password: &str) -> io::Result<Self> {
        let mut tcp = TcpStream::connect(address)?;
        tcp.set_nodelay(true)?;
        tcp.set_read_timeout(Some(Duration::from_secs(60)))?;
        let (_, greeting) = read_packet(&mut tcp)?;
        if let Some(Answer::Error(code, message)) = error_of(&greeting) {
            return Err(bad(&format!("{code} {message}")));
        }
        let version_end = greeting.iter().position(|byte| *byte == 0).ok_or(bad("greeting"))?;
        let rest = &greeting[version_end + 1..];
        let mut nonce = rest[4..12].to_vec();
        nonce.extend_from_slice(&rest[31..43]);
        // CLIENT_PROTOCOL_41, CLIENT_SECURE_CONNECTION, CLIENT_PLUGIN_AUTH, CLIENT_LONG_PASSWORD, CLIENT_TRANSACTIONS.
        let flags: u32 = 0x200 | 0x8000 | 0x8_0000 | 1 | 0x2000;
        let mut login = flags.to_le_bytes().to_vec();
        login.extend_from_slice(&(16u32 << 20).to_le_bytes());
        login.push(45);
        login.extend_from_slice(&[0; 23]);
        login.extend_from_slice(user.as_bytes());
        login.push(0);
        login.push(20);
        login.extend_from_slice(&scramble(password, &nonce));
        login.extend_from_slice(b"mysql_native_password\0");
        send_packet(&mut tcp, &mut 1, &login)?;
        let (_, answer) = read_packet(&mut tcp)?;
        match answer.first() {
            Some(0) => Ok(Client { tcp }),
            _ => Err(bad(&format!("the log-in failed: {:?}", error_of(&answer)))),
        }
    }

    pub fn send(&mut self, sql: &str) -> io::Result<()> {
        let mut command = vec![3];
        command.extend_from_slice(sql.as_bytes());
        send_packet(&mut self.tcp, &mut 0, &command)
    }

    pub fn query(&mut self, sql: &str) -> io::Result<Answer> {
        self.send(sql)?;
        self.answer()
    }

    pub fn answer(&mut self) -> io::Result<Answer> {
        let mut rows = vec![];
        match self.begin_rows()? {
            Some(end) => return Ok(end),
            None => loop {
                match self.row()? {
                    Ok(row) => rows.push(row),
                    Err(Answer::Ok) => return Ok(Answer::Rows(rows)),
                    Err(error) => return Ok(error),
                }
            },
        }
    }

    /// Reads up to the first row; returns an answer that has no rows.
    pub fn begin_rows(&mut self) -> io::Result<Option<Answer>> {
        let (_, first) = read_packet(&mut self.tcp)?;
        if let Some(error) = error_of(&first) {
            return Ok(Some(error));
        }
        match first.first() {
            Some(0) => return Ok(Some(Answer::Ok)),
            Some(count) => {
                for _ in 0..usize::from(*count) + 1 {
                    read_packet(&mut self.tcp)?;
                }
            }
            None => return Err(bad("an empty packet")),
        }
        Ok(None)
    }

    /// Reads a row; the end of the rows is an answer of its own.
    pub fn row(&mut self) -> io::Result<Result<Vec<Option<Vec<u8>>>, Answer>> {
        let (_, packet) = read_packet(&mut self.tcp)?;
        if let Some(error) = error_of(&packet) {
            return Ok(Err(error));
        }
        if packet.first() == Some(&0xfe) && packet.len() < 9 {
            return Ok(Err(Answer::Ok));
        }
        Ok(Ok(columns(&packet)))
    }
}
