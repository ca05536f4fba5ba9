//! A result page by page, at its reader's pace.

use crate::clock::unix_time_millis;
use crate::spool::SpoolId;
use crate::spool_io::disk::{Order, ReadError};
use crate::spool_io::{Page, Spools};
use bytes::Bytes;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Why a page cannot be had.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpoolError {
    #[error(transparent)]
    Read(#[from] ReadError),
    #[error("the result is there no more")]
    Removed,
}

/// Reads a spool; it stays for as long as somebody does.
pub struct ResultReader {
    spools: Rc<Spools>,
    id: SpoolId,
    next: u32,
    to_the_end: bool,
}

impl ResultReader {
    pub(super) fn new(spools: Rc<Spools>, id: SpoolId, from: u32) -> Self {
        ResultReader {
            spools,
            id,
            next: from,
            to_the_end: false,
        }
    }

    pub fn id(&self) -> SpoolId {
        self.id
    }

    /// The next page's rows, each behind its length; none after the last.
    ///
    /// # Errors
    /// The page is torn or cannot be read.
    pub async fn next_page(&mut self) -> Result<Option<Bytes>, SpoolError> {
        let next = self.next as usize;
        let page = self
            .spools
            .with_result(self.id, |held| match next.checked_sub(held.stored) {
                None => Some(None),
                Some(here) => match held.pages.get(here) {
                    None => None,
                    Some(Page::Memory { bytes, .. } | Page::Writing { bytes, .. }) => {
                        Some(Some(bytes.clone()))
                    }
                },
            });
        let bytes = match page {
            None => return Err(SpoolError::Removed),
            Some(None) => {
                self.to_the_end = true;
                return Ok(None);
            }
            Some(Some(Some(bytes))) => bytes,
            Some(Some(None)) => self.ask_disk().await?,
        };
        self.next += 1;
        self.spools
            .ledger
            .borrow_mut()
            .reading(unix_time_millis(), self.id);
        Ok(Some(bytes))
    }

    async fn ask_disk(&self) -> Result<Bytes, SpoolError> {
        let disk = self.spools.disk.as_ref().ok_or(SpoolError::Removed)?;
        let (reply, answer) = oneshot::channel();
        if !disk
            .order_in_turn(Order::Read {
                spool: self.id,
                page: self.next,
                reply,
            })
            .await
        {
            return Err(SpoolError::Removed);
        }
        match answer.await {
            Ok(Ok(bytes)) => Ok(bytes.into()),
            Ok(Err(e)) => {
                if e == ReadError::Torn {
                    self.spools.torn.set(self.spools.torn.get() + 1);
                }
                Err(e.into())
            }
            Err(_) => Err(SpoolError::Removed),
        }
    }
}

impl Drop for ResultReader {
    fn drop(&mut self) {
        self.spools
            .ledger
            .borrow_mut()
            .detach(unix_time_millis(), self.id, self.to_the_end);
    }
}
