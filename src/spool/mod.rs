//! Spooled results: results that wait for slow or returning clients. This module decides how much may be
//! spooled, where the pages are stored, what is evicted or expires, and who may resume a result.
//!
//! This module does no I/O, and the time is a parameter, in milliseconds on the Unix clock. A [`SpoolIndex`]
//! accounts for all spools; [`crate::spool_io`] holds the pages and executes each [`SpoolCommand`].
//! `docs/design/spool.md` describes the alternatives.
//!
//! - A result passes through page by page while its engine sends it. The engine is free after the last page,
//!   however slowly the client reads.
//! - A result that has no capacity is rejected before its statement is sent if that can be known
//!   ([`SpoolIndex::admit`]); otherwise it fails and its pages are dropped, so that no partial result looks
//!   complete.
//! - A protected result, one that cannot be produced again, is never evicted for one that can.

mod accounting;
mod admission;
mod class_sizes;
mod commands;
pub mod disk_health;
mod eviction;
mod expiry;
pub mod handles;
mod index;
mod limits;
mod placement;
#[cfg(test)]
mod tests;

pub use accounting::SpoolUsage;
pub use admission::{Admission, AdmissionRequest, MAX_INLINE_RESULT_BYTES, SpoolRejection};
pub use commands::{AddPageOutcome, OpenedSpool, Placement, SpoolCommand};
pub use disk_health::{DiskHealth, DiskState, WriteOutcome};
pub use expiry::SpoolLifetime;
pub use handles::{HandleRejections, HandleTable, ResumeError};
pub use index::{RestoredSpool, SpoolCounters, SpoolId, SpoolIndex};
pub use limits::SpoolLimits;
