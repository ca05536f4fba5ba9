//! Results that wait for their readers: who may have how much, where it lies, whose makes room, and who may come back.
//!
//! Pure: no I/O, and time is passed in, in milliseconds on the Unix clock. A [`SpoolIndex`] keeps account of every spool;
//! whoever holds the pages does what its [`Order`]s say. `docs/design/spool.md` tells the options weighed.
//!
//! - A result goes through here page by page while its engine answers; the engine is free at the last one, whatever
//!   its client's pace.
//! - A result that fits nowhere is refused before it is asked for where that can be known ([`SpoolIndex::admit`]), else
//!   failed; what was taken of it is forgotten, so that no half result looks whole.
//! - A load's result is never thrown away to make room for a report.

pub mod disk_health;
pub mod handles;
pub mod index;
#[cfg(test)]
mod tests;

pub use disk_health::{DiskState, DiskWatch};
pub use handles::{Handles, ResumeError};
pub use index::{
    Admission, AdmissionRequest, Order, Placement, SpoolId, SpoolIndex, SpoolLimits, SpoolRejection,
};
