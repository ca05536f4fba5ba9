//! Spooled results on disk: a log of append-only segments, an index of them that is rebuilt at the start, and
//! a limit on their size.
//!
//! - A spool is complete when its `End` frame follows all its pages. Incomplete spools and a truncated end of
//!   a segment are dropped at the next start.
//! - A segment is removed when it has no live frames. When more than half of all stored bytes are dead, the
//!   spools of the segment with the fewest live bytes are copied to the end of the log, a limited number of
//!   bytes at a time.
//! - A failed append leaves no partial frame: the segment is truncated to its last complete frame or, if that
//!   fails too, not written to any more.
//! - A manifest lists the segments of the log. It is written before a segment is created and before one is
//!   removed. A segment file that it does not list is a leftover and is removed; a listed segment that is
//!   missing was lost, and is reported.
//!
//! All calls block, and nothing here depends on the async runtime: one thread owns the log.

mod compaction;
mod directory;
mod error;
mod files;
pub mod frame;
mod index;
mod log;
mod recovery;
#[cfg(test)]
mod tests;

pub use directory::SegmentDirectory;
pub use error::SegmentError;
pub use files::{SegmentFile, SegmentFiles};
pub use log::{SegmentLimits, SegmentLog};
pub use recovery::{RecoveredPage, RecoveredSpool, Recovery};
