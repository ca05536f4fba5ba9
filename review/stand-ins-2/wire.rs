//! The MySQL wire protocol as far as the stand-ins need it: packets, the handshake and results.

use std::io::{self, Read, Write};
use std::net::TcpStream;

pub fn bad(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message.to_string())
}

/// Reads one packet: its sequence number and its payload.
pub fn read_packet(tcp: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 4];
    tcp.read_exact(&mut head)?;
    let length = u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize;
    let mut payload = vec![0; length];
    tcp.read_exact(&mut payload)?;
    Ok((head[3], payload))
}

/// Appends one packet.
pub fn put_packet(out: &mut Vec<u8>, sequence: &mut u8, payload: &[u8]) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes()[..3]);
    out.push(*sequence);
    *sequence = sequence.wrapping_add(1);
    out.extend_from_slice(payload);
}

pub fn send_packet(tcp: &mut TcpStream, sequence: &mut u8, payload: &[u8]) -> io::Result<()> {
    let mut out = vec![];
    put_packet(&mut out, sequence, payload);
    tcp.write_all(&out)
}

pub fn put_integer(out: &mut Vec<u8>, value: usize) {
    match value {
        0..=250 => out.push(value as u8),
        251..=0xffff => {
            out.push(0xfc);
            out.extend_from_slice(&(value as u16).to_le_bytes());
        }
        _ => {
            out.push(0xfd);
            out.extend_from_slice(&(value as u32).to_le_bytes()[..3]);
        }
    }
}

pub fn put_text(out: &mut Vec<u8>, text: &[u8]) {
    put_integer(out, text.len());
    out.extend_from_slice(text);
}

/// Returns the length-encoded integer at the start, and the number of its bytes.
fn integer(bytes: &[u8]) -> Option<(usize, usize)> {
    match *bytes.first()? {
        0xfc => Some((u16::from_le_bytes([*bytes.get(1)?, *bytes.get(2)?]) as usize, 3)),
        0xfd => {
            let (a, b, c) = (*bytes.get(1)?, *bytes.get(2)?, *bytes.get(3)?);
            Some((u32::from_le_bytes([a, b, c, 0]) as usize, 4))
        }
        0xfb | 0xfe | 0xff => None,
        small => Some((small as usize, 1)),
    }
}

/// Returns the columns of a row in the text protocol; `None` stands for NULL.
pub fn columns(mut row: &[u8]) -> Vec<Option<Vec<u8>>> {
    let mut all = vec![];
    while let Some(first) = row.first() {
        if *first == 0xfb {
            all.push(None);
            row = &row[1..];
            continue;
        }
        let Some((length, used)) = integer(row) else { break };
        all.push(row.get(used..used + length).map(<[u8]>::to_vec));
        row = row.get(used + length..).unwrap_or_default();
    }
    all
}

pub fn ok_payload(status: u16) -> Vec<u8> {
    let mut ok = vec![0, 0, 0];
    ok.extend_from_slice(&status.to_le_bytes());
    ok.extend_from_slice(&[0, 0]);
    ok
}

pub fn error_payload(code: u16, state: &str, message: &str) -> Vec<u8> {
    let mut error = vec![0xff];
    error.extend_from_slice(&code.to_le_bytes());
    error.push(b'#');
    error.extend_from_slice(state.as_bytes());
    error.extend_from_slice(message.as_bytes());
    error
}

pub fn eof_payload(status: u16) -> Vec<u8> {
    let mut eof = vec![0xfe, 0, 0];
    eof.extend_from_slice(&status.to_le_bytes());
    eof
}

/// The definition of a text column.
pub fn column_payload(name: &str) -> Vec<u8> {
    let mut column = vec![];
    for text in ["def", "", "", "", name, name] {
        put_text(&mut column, text.as_bytes());
    }
    column.push(0x0c);
    column.extend_from_slice(&45u16.to_le_bytes());
    column.extend_from_slice(&65_535u32.to_le_bytes());
    column.push(0xfd);
    column.extend_from_slice(&[0, 0, 0, 0, 0]);
    column
}

/// SHA-1, which the password's scramble of `mysql_native_password` needs.
pub fn sha1(data: &[u8]) -> [u8; 20] {
    let mut h: [u32; 5] = [0x6745_2301, 0xefcd_ab89, 0x98ba_dcfe, 0x1032_5476, 0xc3d2_e1f0];
    let mut message = data.to_vec();
    message.push(0x80);
    while message.len() % 64 != 56 {
        message.push(0);
    }
    message.extend_from_slice(&(data.len() as u64 * 8).to_be_bytes());
    for block in message.chunks(64) {
        let mut w = [0u32; 80];
        for (word, bytes) in w.iter_mut().zip(block.chunks(4)) {
            *word = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        }
        for i in 16..80 {
            w[i] = (w[i - 3] ^ w[i - 8] ^ w[i - 14] ^ w[i - 16]).rotate_left(1);
        }
        let [mut a, mut b, mut c, mut d, mut e] = h;
        for (i, word) in w.iter().enumerate() {
            let (f, k) = match i {
                0..=19 => (b & c | !b & d, 0x5a82_7999),
                20..=39 => (b ^ c ^ d, 0x6ed9_eba1),
                40..=59 => (b & c | b & d | c & d, 0x8f1b_bcdc),
                _ => (b ^ c ^ d, 0xca62_c1d6u32),
            };
            let next = a
                .rotate_left(5)
                .wrapping_add(f)
                .wrapping_add(e)
                .wrapping_add(k)
                .wrapping_add(*word);
            (e, d, c, b, a) = (d, c, b.rotate_left(30), a, next);
        }
        for (sum, add) in h.iter_mut().zip([a, b, c, d, e]) {
            *sum = sum.wrapping_add(add);
        }
    }
    let mut digest = [0; 20];
    for (bytes, word) in digest.chunks_mut(4).zip(h) {
        bytes.copy_from_slice(&word.to_be_bytes());
    }
    digest
}

/// The answer of `mysql_native_password` to a nonce.
pub fn scramble(password: &str, nonce: &[u8]) -> Vec<u8> {
    let first = sha1(password.as_bytes());
    let second = sha1(&first);
    let mixed = sha1(&[nonce, &second].concat());
    first.iter().zip(mixed).map(|(a, b)| a ^ b).collect()
}
