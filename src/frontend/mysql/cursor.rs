//! Server-side cursors, which return the rows of one result in several fetches, either from memory or page by
//! page from a spool.

use super::StatementUpstream;
use super::replies::{result_interrupted, result_removed};
use super::session::{Session, SessionEnd};
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::{
    ERR_HEADER, OK_HEADER, PayloadReader, SERVER_STATUS_CURSOR_EXISTS, SERVER_STATUS_LAST_ROW_SENT,
    eof_status,
};
use crate::spool_io::{ResultReader, SpoolError, packets};
use crate::upstream::mysql::work::Output;
use bytes::Bytes;

/// Number of bytes after which a fetch returns no further row.
const MAX_FETCH_BYTES: usize = 1 << 20;
/// Length in bytes of the length field before each packet of a result in memory.
const LENGTH_BYTES: usize = 4;

/// The rows of one result that have not been fetched.
pub(super) struct Cursor {
    /// Rows in memory, each preceded by its length.
    buffered: Bytes,
    /// Source of further rows; `None` once all have been read.
    reader: Option<ResultReader>,
}

/// The rows of one fetch.
pub(super) struct FetchedRows {
    /// Rows, each preceded by its length.
    pub(super) pages: Vec<Bytes>,
    /// Whether more rows follow.
    pub(super) more: bool,
}

impl Cursor {
    /// Creates a cursor over rows in memory, each preceded by its length.
    pub(super) fn from_rows(rows: Bytes) -> Self {
        Cursor {
            buffered: rows,
            reader: None,
        }
    }

    /// Creates a cursor over a stored result.
    pub(super) fn from_reader(reader: ResultReader) -> Self {
        Cursor {
            buffered: Bytes::new(),
            reader: Some(reader),
        }
    }

    /// Returns up to `rows` rows, and no further one once their size has reached `max_bytes`.
    ///
    /// # Errors
    /// A page of the stored result cannot be read.
    pub(super) async fn fetch(
        &mut self,
        rows: u32,
        max_bytes: usize,
    ) -> Result<FetchedRows, SpoolError> {
        let mut pages = vec![];
        let mut remaining = rows;
        let mut bytes = 0;
        while remaining > 0 && bytes < max_bytes {
            if self.buffered.is_empty() && !self.refill().await? {
                break;
            }
            let mut taken = 0;
            let mut end = 0;
            for row in packets(&self.buffered) {
                if taken == remaining || bytes >= max_bytes {
                    break;
                }
                taken += 1;
                end += LENGTH_BYTES + row.len();
                bytes += row.len();
            }
            remaining -= taken;
            pages.push(self.buffered.split_to(end));
        }
        let more = !self.buffered.is_empty() || self.refill().await?;
        Ok(FetchedRows { pages, more })
    }

    /// Reads the next page into memory; returns false at the end of the result.
    async fn refill(&mut self) -> Result<bool, SpoolError> {
        let Some(reader) = &mut self.reader else {
            return Ok(false);
        };
        match reader.next_page().await? {
            Some(page) => {
                self.buffered = page;
                Ok(true)
            }
            None => {
                self.reader = None;
                Ok(false)
            }
        }
    }
}

/// The parts of a result in memory, in which each packet is preceded by its length.
pub(super) struct ResultParts {
    /// The column count, the column definitions and their EOF.
    pub(super) header: Bytes,
    /// The rows.
    pub(super) rows: Bytes,
    /// The last packet, without its length.
    pub(super) last: Bytes,
}

/// Splits a result in memory into its parts. Returns `None` for an answer without rows: an OK or an ERR.
pub(super) fn split_result(result: &Bytes) -> Option<ResultParts> {
    let first = packets(result).next();
    if let Some(None | Some(&(OK_HEADER | ERR_HEADER))) = first.map(<[u8]>::first) {
        return None;
    }
    let mut end = 0;
    let mut last_start = 0;
    let mut eofs = vec![];
    for packet in packets(result) {
        last_start = end;
        end += LENGTH_BYTES + packet.len();
        if eof_status(packet).is_some() {
            eofs.push(end);
        }
    }
    match eofs[..] {
        [header_end, _] => Some(ResultParts {
            header: result.slice(..header_end),
            rows: result.slice(header_end..last_start),
            last: result.slice(last_start + LENGTH_BYTES..),
        }),
        _ => None,
    }
}

impl<U: StatementUpstream> Session<'_, U> {
    /// Sends the columns of a result, and opens a cursor over its rows. An answer without rows is sent whole.
    pub(super) async fn open_cursor(
        &mut self,
        body: &Bytes,
        output: Output,
    ) -> Result<(), SessionEnd> {
        let (header, cursor) = match output {
            Output::Inline(packets) => {
                let result = packets.into_bytes();
                match split_result(&result) {
                    Some(parts) => (parts.header, Cursor::from_rows(parts.rows)),
                    None => return self.send_result(result).await,
                }
            }
            Output::Spooled(id) => {
                let spools = &self.frontend.spools;
                let header = spools.with_result(id, |result| result.header.clone());
                let (Some(header), Some(reader)) = (header, spools.reader(id, 0)) else {
                    return self
                        .send_error(&result_removed(code::ER_TOO_BIG_SELECT))
                        .await;
                };
                (header, Cursor::from_reader(reader))
            }
        };
        if let Ok(statement) = self.statements.get(body) {
            statement.cursor = Some(cursor);
        }
        let mut all: Vec<Vec<u8>> = packets(&header).map(<[u8]>::to_vec).collect();
        let _eof = all.pop();
        let status = self.status_flags() | SERVER_STATUS_CURSOR_EXISTS;
        all.push(self.result_format.last(status, None));
        self.send_packets(all.iter().map(Vec::as_slice)).await
    }

    /// Answers COM_STMT_FETCH with the next rows of a cursor.
    pub(super) async fn fetch_rows(&mut self, body: Bytes) -> Result<(), SessionEnd> {
        let rows = rows_to_fetch(&body);
        let cursor = match self.statements.get(&body) {
            Ok(statement) => statement.cursor.take(),
            Err(error) => return self.send_error(&error).await,
        };
        let Some(mut cursor) = cursor else {
            let message = "no cursor is open on this statement";
            let error = SqlError::new(code::ER_STMT_HAS_NO_OPEN_CURSOR, message);
            return self.send_error(&error).await;
        };
        // MAX_FETCH_BYTES bounds the memory for any requested number of rows; the next fetch returns the
        // rest.
        let fetched = match cursor.fetch(rows.max(1), MAX_FETCH_BYTES).await {
            Ok(fetched) => fetched,
            Err(error) => return self.send_error(&result_interrupted(&error)).await,
        };
        let stall_timeout = self.frontend.spools.client_stall_timeout();
        for page in fetched.pages {
            self.send_rows(&page, stall_timeout).await?;
        }
        let mut status = self.status_flags() | SERVER_STATUS_CURSOR_EXISTS;
        if fetched.more {
            if let Ok(statement) = self.statements.get(&body) {
                statement.cursor = Some(cursor);
            }
        } else {
            status |= SERVER_STATUS_LAST_ROW_SENT;
        }
        let last = self.result_format.last(status, None);
        self.send_packet(&last).await
    }
}

/// Returns the number of rows that a COM_STMT_FETCH requests, or 0 if it is missing.
fn rows_to_fetch(body: &Bytes) -> u32 {
    let mut reader = PayloadReader(body.clone());
    let _statement = reader.u32();
    reader.u32().unwrap_or(0)
}
