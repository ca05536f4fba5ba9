//! Results of text columns that the frontend builds itself.

use crate::protocol::mysql::packet::{
    SERVER_STATUS_AUTOCOMMIT, UTF8MB4_GENERAL_CI, eof_packet, put_length_encoded_integer,
};
use crate::spool_io::put_packet;
use bytes::{Bytes, BytesMut};

/// What follows the names in a column definition: 12 bytes of fixed fields, utf8mb4, 512 bytes at most, a VAR_STRING
/// without flags and decimals, filler.
const TEXT_COLUMN: [u8; 13] = [0x0c, UTF8MB4_GENERAL_CI, 0, 0, 2, 0, 0, 0xfd, 0, 0, 0, 0, 0];
/// A row of the binary protocol begins with a zero and the NULL bitmap of up to 14 columns, none of which is NULL.
const BINARY_ROW_HEADER: [u8; 3] = [0, 0, 0];

/// The protocol of a result's rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RowFormat {
    /// Of a plain statement.
    Text,
    /// Of a prepared statement.
    Binary,
}

/// The packets of a result of text columns.
pub(super) fn text_table(
    columns: &[&str],
    rows: impl Iterator<Item = Vec<String>>,
    format: RowFormat,
) -> Vec<Vec<u8>> {
    let mut packets = vec![vec![columns.len() as u8]];
    packets.extend(columns.iter().map(|name| column_definition(name)));
    packets.push(eof_packet(SERVER_STATUS_AUTOCOMMIT).to_vec());
    packets.extend(rows.map(|fields| row(&fields, format)));
    packets.push(eof_packet(SERVER_STATUS_AUTOCOMMIT).to_vec());
    packets
}

fn column_definition(name: &str) -> Vec<u8> {
    let catalog = "def";
    let mut packet = vec![];
    // Schema, table and original table are empty.
    for text in [catalog, "", "", "", name, name] {
        put_text(&mut packet, text);
    }
    packet.extend(TEXT_COLUMN);
    packet
}

fn row(fields: &[String], format: RowFormat) -> Vec<u8> {
    let mut packet = match format {
        RowFormat::Binary => BINARY_ROW_HEADER.to_vec(),
        RowFormat::Text => vec![],
    };
    for field in fields {
        put_text(&mut packet, field);
    }
    packet
}

fn put_text(packet: &mut Vec<u8>, text: &str) {
    put_length_encoded_integer(packet, text.len() as u64);
    packet.extend(text.bytes());
}

/// Packets as one buffer, each behind its length.
pub(super) fn joined(packets: &[Vec<u8>]) -> Bytes {
    let mut bytes = BytesMut::new();
    for packet in packets {
        put_packet(&mut bytes, packet);
    }
    bytes.freeze()
}
