//! Writing the result of one attempt as it is received from the engine.

use super::packets::{LENGTH_PREFIX_BYTES, packets, put_packet};
use super::result::ResultOwner;
use super::spools::Spools;
use crate::spool::{AdmissionRequest, MAX_INLINE_RESULT_BYTES, SpoolId, SpoolRejection};
use bytes::{Bytes, BytesMut};
use std::rc::Rc;

/// Maximum length of the statement text in a [`ResultOwner`], in characters.
pub const MAX_STATEMENT_CHARS: usize = 120;

/// Size at which a page is closed, in bytes. A page may be closed earlier by its number of rows, and a single
/// row may be longer. Two costs depend on the size: each slow reader holds a page in memory, and each page on
/// disk has an index entry.
const PAGE_BYTES: usize = 64 << 10;

/// A complete result.
#[derive(Debug)]
pub enum StoredResult {
    /// A result of at most [`MAX_INLINE_RESULT_BYTES`], as a sequence of packets.
    Inline(BytesMut),
    /// A longer result, in a spool.
    Spooled(SpoolId),
}

/// Receives the packets of a result up to the last one. An incomplete result is removed when the writer is
/// dropped.
pub struct ResultWriter {
    spools: Rc<Spools>,
    request: AdmissionRequest,
    /// Owner of the result. `None` once the spool is open.
    owner: Option<ResultOwner>,
    /// All packets received so far until the spool is open, then the rows of the current page.
    buffer: BytesMut,
    /// Length of the packets before the rows in the buffer, in bytes.
    header_bytes: usize,
    /// Number of rows in the buffer.
    buffered_rows: u32,
    spool: Option<SpoolId>,
    total_bytes: usize,
}

impl ResultWriter {
    pub(super) fn new(spools: Rc<Spools>, request: AdmissionRequest, owner: ResultOwner) -> Self {
        ResultWriter {
            spools,
            request,
            owner: Some(owner),
            buffer: BytesMut::new(),
            header_bytes: 0,
            buffered_rows: 0,
            spool: None,
            total_bytes: 0,
        }
    }

    /// Adds a packet that precedes the rows, or the only packet of the result.
    ///
    /// # Errors
    /// The result is too large.
    pub fn add_header(&mut self, payload: &[u8]) -> Result<(), SpoolRejection> {
        put_packet(&mut self.buffer, payload);
        self.header_bytes = self.buffer.len();
        self.check_size(payload.len())
    }

    /// Adds a packet to the total size and checks the limit, which applies to a result from the first byte,
    /// spooled or not.
    fn check_size(&mut self, payload_bytes: usize) -> Result<(), SpoolRejection> {
        self.total_bytes += payload_bytes + LENGTH_PREFIX_BYTES;
        let limit = self.spools.index.borrow().limits().result_bytes;
        if self.total_bytes as u64 > limit {
            Err(SpoolRejection::ResultTooLarge(limit))
        } else {
            Ok(())
        }
    }

    /// Adds a row. Waits while too many bytes are in pending disk writes.
    ///
    /// # Errors
    /// There is no capacity for the row; the whole result has to be abandoned.
    pub async fn add_row(&mut self, payload: &[u8]) -> Result<(), SpoolRejection> {
        self.check_size(payload.len())?;
        self.buffer_row(payload);
        if self.spool.is_some() {
            self.close_page_if_full().await
        } else if self.buffer.len() > MAX_INLINE_RESULT_BYTES {
            self.open_spool().await
        } else {
            Ok(())
        }
    }

    fn buffer_row(&mut self, payload: &[u8]) {
        put_packet(&mut self.buffer, payload);
        self.buffered_rows += 1;
    }

    /// Opens the spool and cuts the buffered rows into pages.
    async fn open_spool(&mut self) -> Result<(), SpoolRejection> {
        let buffered = self.buffer.split().freeze();
        let header = buffered.slice(..self.header_bytes);
        let rows = buffered.slice(self.header_bytes..);
        let owner = self.owner.take().ok_or(SpoolRejection::UnknownSpool)?;
        self.spool = Some(self.spools.begin(self.request, owner, header)?);
        self.buffered_rows = 0;
        self.header_bytes = 0;
        for row in packets(&rows) {
            self.buffer_row(row);
            self.close_page_if_full().await?;
        }
        Ok(())
    }

    async fn close_page_if_full(&mut self) -> Result<(), SpoolRejection> {
        let has_max_rows = self.buffered_rows >= self.spools.page_rows.get();
        if has_max_rows || self.buffer.len() >= PAGE_BYTES {
            self.close_page().await
        } else {
            Ok(())
        }
    }

    async fn close_page(&mut self) -> Result<(), SpoolRejection> {
        let Some(spool) = self.spool else {
            return Ok(());
        };
        let page = Bytes::copy_from_slice(&self.buffer);
        self.buffer.clear();
        let rows = std::mem::take(&mut self.buffered_rows);
        let added = self.spools.add_page(spool, rows, page).await;
        if added.is_err() {
            // The size is recorded so that the next statement of the class is rejected before it is sent.
            self.spools
                .record_result_size(self.request.class, self.total_bytes);
        }
        added
    }

    /// Completes the result with its last packet.
    ///
    /// # Errors
    /// There is no capacity for the last page; the whole result is abandoned.
    pub async fn finish(mut self, trailer: Option<&[u8]>) -> Result<StoredResult, SpoolRejection> {
        if self.spool.is_none() {
            if let Some(trailer) = trailer {
                put_packet(&mut self.buffer, trailer);
            }
            self.spools
                .record_result_size(self.request.class, self.buffer.len());
            return Ok(StoredResult::Inline(std::mem::take(&mut self.buffer)));
        }
        if self.buffered_rows > 0 {
            self.close_page().await?;
        }
        let spool = self.spool.take().ok_or(SpoolRejection::UnknownSpool)?;
        let trailer = Bytes::copy_from_slice(trailer.unwrap_or_default());
        self.spools.complete(spool, trailer);
        Ok(StoredResult::Spooled(spool))
    }
}

impl Drop for ResultWriter {
    fn drop(&mut self) {
        if let Some(spool) = self.spool.take() {
            self.spools.abandon(spool);
        }
    }
}
