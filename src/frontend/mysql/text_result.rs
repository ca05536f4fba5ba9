//! Results with text columns that the frontend builds itself.

use crate::protocol::mysql::packet::{UTF8MB4_GENERAL_CI, eof_packet, put_length_encoded_integer};
use crate::spool_io::put_packet;
use bytes::{Bytes, BytesMut};

/// Fields after the names in a column definition: the length of the fixed fields (12 bytes), the collation
/// utf8mb4_general_ci, a maximum length of 512 bytes, type VAR_STRING, no flags, no decimals, filler.
const TEXT_COLUMN_FIXED_FIELDS: [u8; 13] =
    [0x0c, UTF8MB4_GENERAL_CI, 0, 0, 2, 0, 0, 0xfd, 0, 0, 0, 0, 0];
/// First bytes of a row of the binary protocol: a zero and the NULL bitmap of up to 14 columns, none of which
/// is NULL.
const BINARY_ROW_HEADER: [u8; 3] = [0, 0, 0];

/// The encoding of the rows of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RowFormat {
    /// Text protocol, for plain statements.
    Text,
    /// Binary protocol, for prepared statements.
    Binary,
}

/// Returns the packets of a result with text columns and these status flags.
pub(super) fn text_table(
    columns: &[&str],
    rows: impl Iterator<Item = Vec<String>>,
    format: RowFormat,
    status: u16,
) -> Vec<Vec<u8>> {
    let mut packets = vec![vec![columns.len() as u8]];
    packets.extend(columns.iter().map(|name| column_definition(name)));
    packets.push(eof_packet(status).to_vec());
    packets.extend(rows.map(|fields| row(&fields, format)));
    packets.push(eof_packet(status).to_vec());
    packets
}

fn column_definition(name: &str) -> Vec<u8> {
    let catalog = "def";
    let mut packet = vec![];
    // Schema, table and original table are empty; name and original name are the same.
    for text in [catalog, "", "", "", name, name] {
        put_text(&mut packet, text);
    }
    packet.extend(TEXT_COLUMN_FIXED_FIELDS);
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

/// Joins packets into one buffer, each preceded by its length.
pub(super) fn join_packets(packets: &[Vec<u8>]) -> Bytes {
    let mut bytes = BytesMut::new();
    for packet in packets {
        put_packet(&mut bytes, packet);
    }
    bytes.freeze()
}
