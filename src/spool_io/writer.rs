//! The result of one attempt as it comes from its engine.

use crate::spool::{AdmissionRequest, SpoolId, SpoolRejection};
use crate::spool_io::{PAGE, SHORT, Spools, packets, put_packet};
use bytes::{Bytes, BytesMut};
use std::rc::Rc;

/// Whose result it is, and of what.
#[derive(Clone, Debug, PartialEq)]
pub struct ResultOwner {
    pub user: String,
    /// The statement's beginning: what its owner knows it by.
    pub statement: String,
    /// Its rows are of the binary protocol.
    pub binary: bool,
}

/// The longest beginning of a statement that is kept, in characters.
pub const MAX_STATEMENT_CHARS: usize = 120;

/// A result that is whole.
#[derive(Debug)]
pub enum StoredResult {
    /// All its packets, each behind its length.
    Inline(BytesMut),
    /// More than is handed over at once.
    Spooled(SpoolId),
}

/// Takes packets until the last. What is dropped before is forgotten.
pub struct ResultWriter {
    spools: Rc<Spools>,
    ask: AdmissionRequest,
    who: Option<ResultOwner>,
    /// All packets, while the result is short; then those of the page that is not full.
    bytes: BytesMut,
    /// Where the rows begin in it.
    head: usize,
    rows: u32,
    spool: Option<SpoolId>,
    total: usize,
}

impl ResultWriter {
    pub(super) fn new(spools: Rc<Spools>, ask: AdmissionRequest, who: ResultOwner) -> Self {
        ResultWriter {
            spools,
            ask,
            who: Some(who),
            bytes: BytesMut::new(),
            head: 0,
            rows: 0,
            spool: None,
            total: 0,
        }
    }

    /// A packet before the rows, or the one and only.
    pub fn add_header(&mut self, payload: &[u8]) -> Result<(), SpoolRejection> {
        put_packet(&mut self.bytes, payload);
        self.head = self.bytes.len();
        self.bound(payload.len())
    }

    /// The result's own bound holds from the first byte, whether or not it becomes a spool.
    fn bound(&mut self, more: usize) -> Result<(), SpoolRejection> {
        self.total += more + 4;
        let most = self.spools.ledger.borrow().rules().result_bytes;
        if self.total as u64 > most {
            Err(SpoolRejection::Result(most))
        } else {
            Ok(())
        }
    }

    /// A row. Waits where the disk is behind.
    ///
    /// # Errors
    /// There is no place for it; the whole result is given up.
    pub async fn add_row(&mut self, payload: &[u8]) -> Result<(), SpoolRejection> {
        self.bound(payload.len())?;
        put_packet(&mut self.bytes, payload);
        self.rows += 1;
        match self.spool {
            None if self.bytes.len() > SHORT => self.outgrow().await,
            None => Ok(()),
            Some(_) if self.rows >= self.spools.page_rows.get() || self.bytes.len() >= PAGE => {
                self.close().await
            }
            Some(_) => Ok(()),
        }
    }

    /// It is a spool from now on: what is in hand is cut into pages.
    async fn outgrow(&mut self) -> Result<(), SpoolRejection> {
        let all = self.bytes.split().freeze();
        let (head, rows) = (all.slice(..self.head), all.slice(self.head..));
        let Some(who) = self.who.take() else {
            return Err(SpoolRejection::Unknown);
        };
        self.spool = Some(self.spools.begin(self.ask, who, head)?);
        (self.rows, self.head) = (0, 0);
        for row in packets(&rows) {
            put_packet(&mut self.bytes, row);
            self.rows += 1;
            if self.rows >= self.spools.page_rows.get() || self.bytes.len() >= PAGE {
                self.close().await?;
            }
        }
        Ok(())
    }

    async fn close(&mut self) -> Result<(), SpoolRejection> {
        let Some(spool) = self.spool else {
            return Ok(());
        };
        let page = Bytes::copy_from_slice(&self.bytes);
        self.bytes.clear();
        let rows = std::mem::take(&mut self.rows);
        let kept = self.spools.page(spool, rows, page).await;
        if kept.is_err() {
            // The next of its class is refused before it is sent.
            self.spools.learn(self.ask.class, self.total);
        }
        kept
    }

    /// The last packet: the result is whole.
    ///
    /// # Errors
    /// There is no place for what is left of it.
    pub async fn finish(mut self, tail: Option<&[u8]>) -> Result<StoredResult, SpoolRejection> {
        if self.spool.is_none() {
            if let Some(tail) = tail {
                put_packet(&mut self.bytes, tail);
            }
            self.spools.learn(self.ask.class, self.bytes.len());
            return Ok(StoredResult::Inline(std::mem::take(&mut self.bytes)));
        }
        if self.rows > 0 {
            self.close().await?;
        }
        let Some(spool) = self.spool.take() else {
            return Err(SpoolRejection::Unknown);
        };
        self.spools
            .whole(spool, Bytes::copy_from_slice(tail.unwrap_or_default()));
        Ok(StoredResult::Spooled(spool))
    }
}

impl Drop for ResultWriter {
    fn drop(&mut self) {
        if let Some(spool) = self.spool.take() {
            self.spools.give_up(spool);
        }
    }
}
