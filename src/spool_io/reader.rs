//! Reading a spooled result page by page, at the pace of its client.

use super::disk::{DiskCommand, ReadError};
use super::result::PageSource;
use super::spools::Spools;
use crate::clock::process_clock_millis;
use crate::spool::SpoolId;
use bytes::Bytes;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Reason why a page cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpoolError {
    /// The disk failed, or the page is corrupt.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The result has been removed.
    #[error("the result is there no more")]
    Removed,
}

/// Reader of a spooled result. The result is retained while a reader exists.
pub struct ResultReader {
    spools: Rc<Spools>,
    id: SpoolId,
    next_page: u32,
    read_to_end: bool,
}

impl ResultReader {
    pub(super) fn new(spools: Rc<Spools>, id: SpoolId, first_page: u32) -> Self {
        ResultReader {
            spools,
            id,
            next_page: first_page,
            read_to_end: false,
        }
    }

    /// Returns the id of the result.
    pub fn id(&self) -> SpoolId {
        self.id
    }

    /// Returns the rows of the next page as a sequence of packets, or `None` after the last page.
    ///
    /// # Errors
    /// The page is corrupt or cannot be read, or the result has been removed.
    pub async fn next_page(&mut self) -> Result<Option<Bytes>, SpoolError> {
        let page = self.next_page as usize;
        let source = self
            .spools
            .with_result(self.id, |result| result.page_source(page))
            .ok_or(SpoolError::Removed)?;
        let bytes = match source {
            PageSource::End => {
                self.read_to_end = true;
                return Ok(None);
            }
            PageSource::Memory(bytes) => bytes,
            PageSource::Disk => self.read_from_disk().await?,
        };
        self.next_page += 1;
        self.spools
            .index
            .borrow_mut()
            .record_read(process_clock_millis(), self.id);
        Ok(Some(bytes))
    }

    async fn read_from_disk(&self) -> Result<Bytes, SpoolError> {
        let disk = self.spools.disk.as_ref().ok_or(SpoolError::Removed)?;
        let (reply, content) = oneshot::channel();
        let command = DiskCommand::ReadPage {
            spool: self.id,
            page: self.next_page,
            reply,
        };
        if !disk.send(command).await {
            return Err(SpoolError::Removed);
        }
        let content = content.await.map_err(|_| SpoolError::Removed)?;
        if content == Err(ReadError::Corrupt) {
            let corrupt_pages = &self.spools.corrupt_pages;
            corrupt_pages.set(corrupt_pages.get() + 1);
        }
        Ok(content?.into())
    }
}

impl Drop for ResultReader {
    fn drop(&mut self) {
        self.spools.index.borrow_mut().detach_reader(
            process_clock_millis(),
            self.id,
            self.read_to_end,
        );
    }
}
