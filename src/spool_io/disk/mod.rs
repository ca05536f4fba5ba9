//! The thread that does all disk I/O. It receives commands and reports the completion of each write, so that
//! the async runtime never blocks on a file.
//!
//! Each process has a directory of its own below the configured one, locked while it runs. Directories whose
//! lock is free are taken over at the start; those of running processes are only read.

mod directories;
mod worker;

use crate::spool::SpoolId;
use crate::storage::segments::{RecoveredPage, RecoveredSpool};
use bytes::Bytes;
use directories::DirectorySet;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use worker::Worker;

/// Maximum number of commands that are queued for the thread.
const COMMAND_QUEUE_CAPACITY: usize = 4096;

/// Selects a spool by the content of its begin frame.
pub type SpoolPredicate = Box<dyn Fn(&[u8]) -> bool + Send>;

/// Command to the disk thread. Pages of one spool are written in order: after a failed page, no later one is
/// written before the failed one has been written.
pub enum DiskCommand {
    /// Begin a spool.
    Begin {
        /// Id of the spool.
        spool: SpoolId,
        /// Content of the begin frame.
        content: Vec<u8>,
    },
    /// Append a page.
    AppendPage {
        /// Id of the spool.
        spool: SpoolId,
        /// Index of the page.
        page: u32,
        /// Number of rows in the page.
        rows: u32,
        /// Content of the page.
        bytes: Bytes,
    },
    /// Complete a spool.
    End {
        /// Id of the spool.
        spool: SpoolId,
        /// Content of the end frame.
        content: Vec<u8>,
    },
    /// Remove a spool.
    Remove {
        /// Id of the spool.
        spool: SpoolId,
    },
    /// Read a page.
    ReadPage {
        /// Id of the spool.
        spool: SpoolId,
        /// Index of the page.
        page: u32,
        /// Receives the content of the page.
        reply: oneshot::Sender<Result<Vec<u8>, ReadError>>,
    },
    /// Copy the first complete spool that the predicate selects from the directory of another running
    /// process.
    Import {
        /// Id of the copy.
        spool: SpoolId,
        /// Selects the spool.
        predicate: SpoolPredicate,
        /// Receives the copied spool, if there is one.
        reply: oneshot::Sender<Option<PersistedSpool>>,
    },
    /// Change the limit on the size of each directory.
    SetQuota {
        /// Limit, in bytes.
        bytes: u64,
    },
}

/// Reason why a page cannot be read from the disk.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The page is corrupt: its content differs from what was written.
    #[error("a page is torn on the disk")]
    Corrupt,
    /// The disk failed with this message.
    #[error("the disk does not give it: {0}")]
    Disk(String),
}

/// What a write command was to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The begin frame.
    Begin,
    /// A page.
    Page {
        /// Index of the page.
        page: u32,
        /// Size of the content of the page, in bytes.
        bytes: u64,
    },
    /// The end frame.
    End,
}

/// Completion of a write.
#[derive(Debug)]
pub struct DiskCompletion {
    /// Id of the spool.
    pub spool: SpoolId,
    /// What was to be written.
    pub written: Written,
    /// Duration of the write.
    pub duration: Duration,
    /// Outcome of the write.
    pub result: Result<(), WriteFailure>,
}

/// Reason why a write has failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteFailure {
    /// An earlier write of the same spool has failed, so this one was not attempted.
    Skipped,
    /// The disk or the quota is full.
    Full,
    /// The disk failed with this message.
    Disk(String),
}

/// A complete spool on the disk.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistedSpool {
    /// Content of the begin frame.
    pub begin: Vec<u8>,
    /// Content of the end frame.
    pub end: Vec<u8>,
    /// Pages of the spool, in order.
    pub pages: Vec<RecoveredPage>,
}

impl PersistedSpool {
    /// Returns the size of the content of all pages, in bytes.
    pub fn content_bytes(&self) -> u64 {
        self.pages
            .iter()
            .map(|page| u64::from(page.content_bytes))
            .sum()
    }
}

impl From<RecoveredSpool> for PersistedSpool {
    fn from(recovered: RecoveredSpool) -> Self {
        PersistedSpool {
            begin: recovered.begin,
            end: recovered.end,
            pages: recovered.pages,
        }
    }
}

/// A started disk thread, and the spools that were found on the disk.
pub struct DiskStartup {
    /// Sends commands to the thread.
    pub disk: DiskHandle,
    /// Receives the completion of each write.
    pub completions: mpsc::UnboundedReceiver<DiskCompletion>,
    /// Complete spools of earlier processes, with the ids that they have in this process.
    pub spools: Vec<(SpoolId, PersistedSpool)>,
}

/// Sends commands to the disk thread.
pub struct DiskHandle {
    commands: mpsc::Sender<DiskCommand>,
}

impl DiskHandle {
    /// Opens the directory, which may block for a while, and starts the thread. Each directory of a process
    /// may use `quota_bytes`. The spools found get ids from `first_id` on.
    ///
    /// # Errors
    /// The directory cannot be used.
    pub fn start(root: &Path, quota_bytes: u64, first_id: SpoolId) -> io::Result<DiskStartup> {
        let (directories, spools) = DirectorySet::open(root, quota_bytes, first_id)?;
        let (commands, inbox) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let (completions_sender, completions) = mpsc::unbounded_channel();
        let worker = Worker::new(directories, completions_sender);
        std::thread::Builder::new()
            .name("spool-disk".into())
            .spawn(move || worker.run(inbox))?;
        Ok(DiskStartup {
            disk: DiskHandle { commands },
            completions,
            spools,
        })
    }

    /// Sends a command without waiting. Returns `false` if the queue is full.
    pub fn try_send(&self, command: DiskCommand) -> bool {
        self.commands.try_send(command).is_ok()
    }

    /// Sends a command, and waits while the queue is full. Returns `false` if the thread has ended.
    pub async fn send(&self, command: DiskCommand) -> bool {
        self.commands.send(command).await.is_ok()
    }
}
