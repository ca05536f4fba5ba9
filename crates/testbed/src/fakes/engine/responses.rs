//! The packets with which the fake engine answers.

use super::{Engine, GeneratedRows, padded_text};
use crate::fakes::engine_session::SessionResponse;
use futures_util::SinkExt;
use query_dispatcher::protocol::mysql::error::SqlError;
use query_dispatcher::protocol::mysql::packet::{
    PacketCodec, PacketError, UTF8MB4_GENERAL_CI, eof_packet, err_packet,
    put_length_encoded_integer,
};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// The connection of a client.
pub(super) type Wire = Framed<TcpStream, PacketCodec>;

/// An EOF packet outside of a transaction.
const EOF: &[u8] = &[0xfe, 0, 0, 2, 0];

/// Returns an OK packet with these status flags.
pub(super) fn ok_with_status(status: u16) -> Vec<u8> {
    let [low, high] = status.to_le_bytes();
    vec![0, 0, 0, low, high, 0, 0]
}

impl Engine {
    /// Sends the response to a prepared statement. `known_columns` is the number of columns of a SELECT
    /// that the session evaluates itself.
    pub(super) async fn send_prepared(
        &self,
        wire: &mut Wire,
        id: u32,
        sql: &str,
        known_columns: Option<usize>,
    ) -> Result<(), PacketError> {
        let parameters = sql.matches('?').count().min(250) as u8;
        let columns =
            known_columns.map_or(if is_select(sql) { 2 } else { 0 }, |n| n.min(250) as u8);
        let head = [
            &[0][..],
            &id.to_le_bytes(),
            &[columns, 0, parameters, 0, 0, 0, 0],
        ]
        .concat();
        wire.feed(&head[..]).await?;
        for _ in 0..parameters {
            wire.feed(&column_definition("?")[..]).await?;
        }
        if parameters > 0 {
            wire.feed(EOF).await?;
        }
        if columns > 0 {
            for n in 0..columns {
                let name = ["engine", "process", "more"][usize::from(n.min(2))];
                wire.feed(&column_definition(name)[..]).await?;
            }
            wire.feed(EOF).await?;
        }
        SinkExt::<&[u8]>::flush(wire).await
    }

    /// Sends a response of the session itself.
    pub(super) async fn send_response(
        &self,
        wire: &mut Wire,
        response: SessionResponse,
        binary: bool,
        status: u16,
    ) -> Result<(), PacketError> {
        let (names, rows) = match response {
            SessionResponse::Ok => return wire.send(&ok_with_status(status)[..]).await,
            SessionResponse::Error(code, state, message) => {
                return wire
                    .send(
                        &err_packet(&SqlError {
                            code,
                            state,
                            message,
                        })[..],
                    )
                    .await;
            }
            SessionResponse::Row(names, row) => (names, vec![row]),
            SessionResponse::Rows(names, rows) => (names, rows),
        };
        wire.feed(&[names.len() as u8][..]).await?;
        for name in &names {
            wire.feed(&column_definition(name)[..]).await?;
        }
        wire.feed(&eof_packet(status)[..]).await?;
        for row in &rows {
            let mut p = if binary {
                vec![0; 1 + (row.len() + 9) / 8]
            } else {
                vec![]
            };
            for (i, value) in row.iter().enumerate() {
                match value {
                    Some(v) => p.extend(length_encoded_text(v)),
                    None if binary => p[1 + (i + 2) / 8] |= 1 << ((i + 2) % 8),
                    None => p.push(0xfb),
                }
            }
            wire.feed(&p[..]).await?;
        }
        wire.feed(&eof_packet(status)[..]).await?;
        SinkExt::<&[u8]>::flush(wire).await
    }

    pub(super) async fn send_generated_rows(
        &self,
        wire: &mut Wire,
        rows: GeneratedRows,
        binary: bool,
    ) -> Result<(), PacketError> {
        for p in [
            &[2][..],
            &column_definition("engine"),
            &column_definition("process"),
            EOF,
        ] {
            wire.feed(p).await?;
        }
        let process = self.0.process.get().to_string();
        let head: &[u8] = if binary { &[0, 0] } else { &[] };
        // Long rows differ in their numbers only, so that the fake generates them faster than a dispatcher
        // reads them.
        let filler = padded_text(0, rows.row_bytes);
        for n in 0..rows.count {
            if rows.break_after == Some(n) && self.0.break_result.replace(false) {
                SinkExt::<&[u8]>::flush(wire).await?;
                return Err(PacketError::Protocol("the test truncates this result"));
            }
            let long = if rows.row_bytes < 2000 {
                padded_text(n, rows.row_bytes)
            } else {
                format!("{n}:{}", &filler[2..])
            };
            let row = [
                head,
                &length_encoded_text(&long),
                &length_encoded_text(&process),
            ]
            .concat();
            wire.feed(&row[..]).await?;
        }
        wire.feed(EOF).await?;
        SinkExt::<&[u8]>::flush(wire).await
    }
}

/// Returns whether a statement is a SELECT, with at most one comment before it.
pub(super) fn is_select(sql: &str) -> bool {
    let sql = sql.trim_start();
    let sql = sql
        .strip_prefix("/*")
        .and_then(|s| s.split_once("*/"))
        .map_or(sql, |s| s.1.trim_start());
    sql.get(..6)
        .is_some_and(|s| s.eq_ignore_ascii_case("select"))
}

/// Returns a text as a length-encoded string.
pub(super) fn length_encoded_text(s: &str) -> Vec<u8> {
    let mut p = vec![];
    put_length_encoded_integer(&mut p, s.len() as u64);
    p.extend(s.bytes());
    p
}

/// Returns the definition of a text column.
pub(super) fn column_definition(name: &str) -> Vec<u8> {
    let words: Vec<u8> = ["def", "", "", "", name, name]
        .into_iter()
        .flat_map(length_encoded_text)
        .collect();
    [
        &words[..],
        &[0x0c, UTF8MB4_GENERAL_CI, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0, 0, 0],
    ]
    .concat()
}
