//! The parts of the MySQL protocol that the stand-ins share: packets, lengths, and mysql_native_password.
#![allow(dead_code)]

use std::io::{self, Read, Write};
use std::net::TcpStream;

pub const CAPABILITIES: u32 = 0x1 | 0x4 | 0x200 | 0x2000 | 0x8000 | 0x8_0000;

/// One side of a connection, with the sequence number of the next packet.
pub struct Wire {
    pub tcp: TcpStream,
    pub sequence: u8,
}

impl Wire {
    pub fn new(tcp: TcpStream) -> Self {
        let _ = tcp.set_nodelay(true);
        Wire { tcp, sequence: 0 }
    }

    pub fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut head = [0u8; 4];
        self.tcp.read_exact(&mut head)?;
        let length = u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize;
        self.sequence = head[3].wrapping_add(1);
        let mut payload = vec![0; length];
        self.tcp.read_exact(&mut payload)?;
        Ok(payload)
    }

    pub fn write(&mut self, payloads: &[Vec<u8>]) -> io::Result<()> {
        let mut all = vec![];
        for payload in payloads {
            all.extend(&(payload.len() as u32).to_le_bytes()[..3]);
            all.push(self.sequence);
            self.sequence = self.sequence.wrapping_add(1);
            all.extend(payload);
        }
        self.tcp.write_all(&all)
    }
}

pub fn put_text(packet: &mut Vec<u8>, text: &[u8]) {
    match text.len() {
        length @ 0..=250 => packet.push(length as u8),
        length => {
            packet.push(0xfc);
            packet.extend((length as u16).to_le_bytes());
        }
    }
    packet.extend(text);
}

/// Takes a length-encoded integer off the front of a payload; `None` is NULL.
pub fn take_length(rest: &mut &[u8]) -> Option<u64> {
    let first = *rest.first()?;
    let (bytes, skip) = match first {
        0xfb => (0, 1),
        0xfc => (2, 1),
        0xfd => (3, 1),
        0xfe => (8, 1),
        _ => (1, 0),
    };
    let mut value = 0u64;
    for (index, byte) in rest.get(skip..skip + bytes)?.iter().enumerate() {
        value |= u64::from(*byte) << (8 * index);
    }
    *rest = &rest[skip + bytes..];
    (first != 0xfb).then_some(value)
}

pub fn sha1(message: &[u8]) -> [u8; 20] {
    let mut state: [u32; 5] = [0x67452301, 0xefcdab89, 0x98badcfe, 0x10325476, 0xc3d2e1f0];
    let mut padded = message.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend((message.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let mut w = [0u32; 80];
        for (index, word) in block.chunks(4).enumerate() {
            w[index] = u32::from_be_bytes([word[0], word[1], word[2], word[3]]);
        }
        for index in 16..80 {
            w[index] =
                (w[index - 3] ^ w[index - 8] ^ w[index - 14] ^ w[index - 16]).rotate_left(1);
        }
        let [mut a, mut b, mut c, mut d, mut e] = state;
        for (index, word) in w.iter().enumerate() {
            let (f, k) = match index {
                0..=19 => ((b & c) | (!b & d), 0x5a827999),
                20..=39 => (b ^ c ^ d, 0x6ed9eba1),
                40..=59 => ((b & c) | (b & d) | (c & d), 0x8f1bbcdc),
                _ => (b ^ c ^ d, 0xca62c1d6u32),
            };
            let next = a
                .rotate_left(5)
                .wrapping_add(f)
                .wrapping_add(e)
                .wrapping_add(k)
                .wrapping_add(*word);
            (e, d, c, b, a) = (d, c, b.rotate_left(30), a, next);
        }
        for (sum, value) in state.iter_mut().zip([a, b, c, d, e]) {
            *sum = sum.wrapping_add(value);
        }
    }
    let mut digest = [0; 20];
    for (index, word) in state.iter().enumerate() {
        digest[index * 4..index * 4 + 4].copy_from_slice(&word.to_be_bytes());
    }
    digest
}

pub fn native_password(password: &str, nonce: &[u8]) -> Vec<u8> {
    let once = sha1(password.as_bytes());
    let twice = sha1(&once);
    let salted = sha1(&[nonce, &twice[..]].concat());
    once.iter().zip(salted).map(|(one, other)| one ^ other).collect()
}
