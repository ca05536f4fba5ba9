//! Errors of a segment log.

use super::frame::FrameError;
use std::io;

/// Reason why a frame was not stored or could not be read.
#[derive(Debug, thiserror::Error)]
pub enum SegmentError {
    /// The limit [`super::SegmentLimits::total_bytes`], given here, is reached.
    #[error("the {0} bytes for spools are used up")]
    Quota(u64),
    /// The disk, or the quota of the file system, has no space left.
    #[error("the disk is full")]
    DiskFull,
    /// The disk failed.
    #[error("the disk: {0}")]
    Io(#[source] io::Error),
    /// The spool with this id, or the page of it, is not stored.
    #[error("spool {0} is not stored")]
    UnknownSpool(u64),
    /// A page is corrupt: its frame differs from what was written.
    #[error("page {page} of spool {spool} is corrupt: {source}")]
    CorruptPage {
        /// Id of the spool.
        spool: u64,
        /// Index of the page.
        page: u32,
        /// Reason why the frame cannot be decoded.
        source: FrameError,
    },
    /// The content cannot be encoded as a frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

impl From<io::Error> for SegmentError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => SegmentError::DiskFull,
            _ => SegmentError::Io(error),
        }
    }
}
