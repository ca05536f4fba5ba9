//! Commands from the index to the owner of the pages.

use super::admission::SpoolRejection;
use super::index::SpoolId;

/// Storage location of a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// In memory.
    Memory,
    /// On disk.
    Disk,
}

/// Command to the owner of the pages. Commands are executed in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpoolCommand {
    /// Drop all pages of the spool and expire its handle.
    Evict(SpoolId),
    /// Move the pages of the spool from memory to disk, and write its later pages there.
    Spill(SpoolId),
}

/// New spool, returned by [`super::SpoolIndex::open`].
#[derive(Clone, Debug, PartialEq)]
pub struct OpenedSpool {
    /// Id of the new spool.
    pub id: SpoolId,
    /// Commands to execute first.
    pub commands: Vec<SpoolCommand>,
}

/// Outcome of [`super::SpoolIndex::add_page`].
#[derive(Clone, Debug, PartialEq)]
pub struct AddPageOutcome {
    /// Where the page is stored, or why the whole result has to be abandoned.
    pub placement: Result<Placement, SpoolRejection>,
    /// Commands to execute first, also when the page is rejected.
    pub commands: Vec<SpoolCommand>,
}
