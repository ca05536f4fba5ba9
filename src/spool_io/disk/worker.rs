//! The loop of the disk thread.

use super::directories::DirectorySet;
use super::{DiskCommand, DiskCompletion, ReadError, WriteFailure, Written};
use crate::spool::SpoolId;
use crate::storage::segments::SegmentError;
use bytes::Bytes;
use std::collections::HashMap;
use std::time::Instant;
use tokio::sync::mpsc;

/// Number of copied bytes after which a compaction step ends, so that a waiting command is executed next.
const COMPACTION_STEP_BYTES: u64 = 1 << 20;

/// Executes the commands to the disk thread.
pub(super) struct Worker {
    directories: DirectorySet,
    /// Failed page of each spool that has one. No other page of such a spool is written before the failed
    /// one.
    failed_pages: HashMap<SpoolId, u32>,
    completions: mpsc::UnboundedSender<DiskCompletion>,
}

impl Worker {
    pub(super) fn new(
        directories: DirectorySet,
        completions: mpsc::UnboundedSender<DiskCompletion>,
    ) -> Self {
        Worker {
            directories,
            failed_pages: HashMap::new(),
            completions,
        }
    }

    /// Runs until all senders of commands are dropped.
    pub(super) fn run(mut self, mut inbox: mpsc::Receiver<DiskCommand>) {
        while let Some(command) = inbox.blocking_recv() {
            self.execute(command);
            while inbox.is_empty() && self.compact() {}
        }
    }

    /// Runs one step of compaction. Returns whether there may be more to do.
    fn compact(&mut self) -> bool {
        self.directories
            .own_log()
            .compact(COMPACTION_STEP_BYTES)
            .unwrap_or(false)
    }

    fn execute(&mut self, command: DiskCommand) {
        match command {
            DiskCommand::Begin { spool, content } => {
                self.write(spool, Written::Begin, |worker| {
                    worker.begin(spool, &content)
                });
            }
            DiskCommand::AppendPage {
                spool,
                page,
                rows,
                bytes,
            } => {
                let written = Written::Page {
                    page,
                    bytes: bytes.len() as u64,
                };
                self.write(spool, written, |worker| {
                    worker.append_page(spool, page, rows, &bytes)
                });
            }
            DiskCommand::End { spool, content } => {
                self.write(spool, Written::End, |worker| worker.end(spool, &content));
            }
            DiskCommand::Remove { spool } => {
                self.failed_pages.remove(&spool);
                self.directories.remove(spool);
            }
            DiskCommand::ReadPage { spool, page, reply } => {
                let _ = reply.send(self.read_page(spool, page));
            }
            DiskCommand::Import {
                spool,
                predicate,
                reply,
            } => {
                let _ = reply.send(self.directories.import(spool, &*predicate));
            }
            DiskCommand::SetQuota { bytes } => self.directories.set_quota(bytes),
        }
    }

    /// Executes a write and reports its completion.
    fn write(
        &mut self,
        spool: SpoolId,
        written: Written,
        operation: impl FnOnce(&mut Self) -> Result<(), WriteFailure>,
    ) {
        let started_at = Instant::now();
        let result = operation(self);
        let _ = self.completions.send(DiskCompletion {
            spool,
            written,
            duration: started_at.elapsed(),
            result,
        });
    }

    fn begin(&mut self, spool: SpoolId, content: &[u8]) -> Result<(), WriteFailure> {
        self.failed_pages.remove(&spool);
        Ok(self.directories.begin(spool, content)?)
    }

    fn append_page(
        &mut self,
        spool: SpoolId,
        page: u32,
        rows: u32,
        bytes: &Bytes,
    ) -> Result<(), WriteFailure> {
        let failed_page = self.failed_pages.get(&spool);
        if failed_page.is_some_and(|failed| *failed != page) {
            return Err(WriteFailure::Skipped);
        }
        let local_id = self
            .directories
            .own_local_id(spool)
            .ok_or(WriteFailure::Skipped)?;
        let mut result = self
            .directories
            .own_log()
            .append_page(local_id, rows, bytes);
        // Dead bytes count against the quota until compaction frees them.
        while matches!(result, Err(SegmentError::Quota(_))) && self.compact() {
            result = self
                .directories
                .own_log()
                .append_page(local_id, rows, bytes);
        }
        if result.is_ok() {
            self.failed_pages.remove(&spool);
        } else {
            self.failed_pages.insert(spool, page);
        }
        Ok(result?)
    }

    fn end(&mut self, spool: SpoolId, content: &[u8]) -> Result<(), WriteFailure> {
        if self.failed_pages.contains_key(&spool) {
            return Err(WriteFailure::Skipped);
        }
        let local_id = self
            .directories
            .own_local_id(spool)
            .ok_or(WriteFailure::Skipped)?;
        Ok(self.directories.own_log().end_spool(local_id, content)?)
    }

    fn read_page(&mut self, spool: SpoolId, page: u32) -> Result<Vec<u8>, ReadError> {
        self.directories
            .read_page(spool, page)
            .map_err(|error| match error {
                SegmentError::CorruptPage { .. } => ReadError::Corrupt,
                other => ReadError::Disk(other.to_string()),
            })
    }
}

impl From<SegmentError> for WriteFailure {
    fn from(error: SegmentError) -> Self {
        match error {
            SegmentError::DiskFull | SegmentError::Quota(_) => WriteFailure::Full,
            other => WriteFailure::Disk(other.to_string()),
        }
    }
}
