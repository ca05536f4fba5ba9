//! Rows one by one, for server-side cursors: from a result that was handed over at once, or page by page from its
//! spool.

use crate::protocol::mysql::packet::eof_status;
use crate::spool_io::{ResultReader, SpoolError, packets};
use bytes::Bytes;

/// The rows of one result, from where the last fetch ended.
pub struct Cursor {
    /// Rows that are here, each behind its length.
    here: Bytes,
    /// Where more come from.
    reader: Option<ResultReader>,
}

impl Cursor {
    /// Over a result in hand: its packets from the first row on, its end left out.
    pub fn over(rows: Bytes) -> Self {
        Cursor {
            here: rows,
            reader: None,
        }
    }

    pub fn paged(reader: ResultReader) -> Self {
        Cursor {
            here: Bytes::new(),
            reader: Some(reader),
        }
    }

    /// Up to so many rows, each behind its length; true if there are more.
    ///
    /// # Errors
    /// A page cannot be had.
    pub async fn fetch(
        &mut self,
        rows: u32,
        most_bytes: usize,
    ) -> Result<(Vec<Bytes>, bool), SpoolError> {
        let mut out = vec![];
        let (mut left, mut bytes) = (rows, 0);
        while left > 0 && bytes < most_bytes {
            if self.here.is_empty() && !self.refill().await? {
                break;
            }
            let (mut taken, mut at) = (0, 0);
            for row in packets(&self.here) {
                if taken == left || bytes >= most_bytes {
                    break;
                }
                (taken, at, bytes) = (taken + 1, at + 4 + row.len(), bytes + row.len());
            }
            left -= taken;
            out.push(self.here.split_to(at));
        }
        let more = !self.here.is_empty() || self.refill().await?;
        Ok((out, more))
    }

    async fn refill(&mut self) -> Result<bool, SpoolError> {
        let Some(reader) = &mut self.reader else {
            return Ok(false);
        };
        match reader.next_page().await? {
            Some(page) => {
                self.here = page;
                Ok(true)
            }
            None => {
                self.reader = None;
                Ok(false)
            }
        }
    }
}

/// Cuts a short result into what stands before its rows, its rows, and its last packet. None if it has no rows to
/// have: an OK or an ERR.
pub fn cut(all: &Bytes) -> Option<(Bytes, Bytes, Bytes)> {
    let (mut at, mut ends) = (0, vec![]);
    let mut last = 0;
    for (n, p) in packets(all).enumerate() {
        if n == 0 && matches!(p.first(), None | Some(0 | 0xff)) {
            return None;
        }
        last = at;
        at += 4 + p.len();
        if eof_status(p).is_some() {
            ends.push(at);
        }
    }
    match ends[..] {
        [head, _] => Some((
            all.slice(..head),
            all.slice(head..last),
            all.slice(last + 4..),
        )),
        _ => None,
    }
}
