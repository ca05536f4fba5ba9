//! A MySQL client at packet level, written from the public protocol. It uses none of the library's code, so
//! that it shows the bytes as any client receives them.

use crate::process::connect;
use crate::recorded::printable;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

pub(crate) const COM_QUERY: u8 = 0x03;
pub(crate) const COM_STMT_PREPARE: u8 = 0x16;

const PROTOCOL_41: u32 = 1 << 9;
const SECURE_CONNECTION: u32 = 1 << 15;
const MAX_PACKET: u32 = 1 << 24;
const UTF8_MB4: u8 = 45;
const OK: u8 = 0x00;
const EOF: u8 = 0xfe;
const ERROR: u8 = 0xff;
/// An EOF packet is shorter than this number of bytes; a longer packet with the same first byte is a row.
const EOF_LENGTH: usize = 9;

/// One packet: its sequence number and its payload.
pub(crate) struct Packet {
    pub(crate) sequence: u8,
    pub(crate) payload: Vec<u8>,
}

impl Packet {
    fn begins_with(&self, marker: u8) -> bool {
        self.payload.first() == Some(&marker)
    }

    /// Returns true if the packet ends a group of column or row packets.
    fn is_end(&self) -> bool {
        self.begins_with(ERROR) || self.begins_with(EOF) && self.payload.len() < EOF_LENGTH
    }

    pub(crate) fn text(&self) -> String {
        format!("  {} {}\n", self.sequence, printable(&self.payload))
    }
}

pub(crate) struct MysqlClient {
    connection: TcpStream,
    pub(crate) greeting: Vec<u8>,
}

impl MysqlClient {
    /// Connects and reads the greeting.
    pub(crate) fn connect(address: SocketAddr) -> Self {
        let mut client = MysqlClient {
            connection: connect(address),
            greeting: vec![],
        };
        client.greeting = client.read().payload;
        client
    }

    /// Opens a session of a user whose password is empty.
    pub(crate) fn log_in(address: SocketAddr, user: &str) -> Self {
        let mut client = Self::connect(address);
        let answer = client.authenticate(PROTOCOL_41 | SECURE_CONNECTION, user, &[]);
        assert!(answer.begins_with(OK), "{}", answer.text());
        client
    }

    /// Sends a login with these capabilities and this authentication response, and returns the answer.
    pub(crate) fn authenticate(
        &mut self,
        capabilities: u32,
        user: &str,
        auth_response: &[u8],
    ) -> Packet {
        let mut login = [capabilities.to_le_bytes(), MAX_PACKET.to_le_bytes()].concat();
        login.push(UTF8_MB4);
        login.extend([0; 23]);
        login.extend(user.bytes().chain([0, auth_response.len() as u8]));
        login.extend(auth_response);
        self.write(1, &login);
        self.read()
    }

    fn write(&mut self, sequence: u8, payload: &[u8]) {
        let length = (payload.len() as u32).to_le_bytes();
        let header = [length[0], length[1], length[2], sequence];
        self.connection
            .write_all(&[&header[..], payload].concat())
            .unwrap();
    }

    fn read(&mut self) -> Packet {
        let mut header = [0; 4];
        self.connection.read_exact(&mut header).unwrap();
        let mut payload =
            vec![0; u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize];
        self.connection.read_exact(&mut payload).unwrap();
        Packet {
            sequence: header[3],
            payload,
        }
    }

    /// Sends a text statement and returns all packets of its answer.
    pub(crate) fn query(&mut self, statement: &str) -> Vec<Packet> {
        self.command(COM_QUERY, statement.as_bytes())
    }

    /// Sends a command and returns all packets of its answer.
    pub(crate) fn command(&mut self, kind: u8, body: &[u8]) -> Vec<Packet> {
        self.raw(&[&[kind], body].concat())
    }

    /// Sends a packet with any payload and returns all packets of its answer.
    pub(crate) fn raw(&mut self, payload: &[u8]) -> Vec<Packet> {
        self.write(0, payload);
        let first = self.read();
        let (kind, marker) = (payload.first().copied(), first.payload.first().copied());
        let groups = match (kind, marker) {
            (Some(COM_STMT_PREPARE), Some(OK)) => prepared_groups(&first.payload),
            (Some(COM_QUERY | 0x17), Some(1..=0xfa)) => 2,
            _ => 0,
        };
        let mut packets = vec![first];
        for _ in 0..groups {
            self.read_group(&mut packets);
        }
        packets
    }

    /// Reads packets up to the end of a group of columns or rows.
    fn read_group(&mut self, packets: &mut Vec<Packet>) {
        loop {
            let packet = self.read();
            let is_end = packet.is_end();
            packets.push(packet);
            if is_end {
                return;
            }
        }
    }
}

/// Counts the packet groups that follow the answer to a prepare: parameters and columns each form a group
/// unless there are none.
fn prepared_groups(answer: &[u8]) -> usize {
    let count = |offset: usize| u16::from_le_bytes([answer[offset], answer[offset + 1]]);
    usize::from(count(5) > 0) + usize::from(count(7) > 0)
}

/// Writes the packets of an answer, one per line.
pub(crate) fn text(packets: &[Packet]) -> String {
    packets.iter().map(Packet::text).collect()
}
