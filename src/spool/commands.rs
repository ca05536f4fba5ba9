//! What the index asks the owner of the pages to do.

use super::admission::SpoolRejection;
use super::index::SpoolId;

/// Where a page is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// In memory.
    Memory,
    /// On disk.
    Disk,
}

/// A command to the owner of the pages, to be carried out in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpoolCommand {
    /// Drop all pages of the spool and expire its handle.
    Evict(SpoolId),
    /// Move the pages of the spool from memory to disk, and write the following ones there.
    Spill(SpoolId),
}

/// A new spool, from [`super::SpoolIndex::open`].
#[derive(Clone, Debug, PartialEq)]
pub struct OpenedSpool {
    /// The id of the new spool.
    pub id: SpoolId,
    /// What is to be carried out first.
    pub commands: Vec<SpoolCommand>,
}

/// The outcome of [`super::SpoolIndex::add_page`].
#[derive(Clone, Debug, PartialEq)]
pub struct AddPageOutcome {
    /// Where the page goes, or why the whole result has to be given up.
    pub placement: Result<Placement, SpoolRejection>,
    /// What is to be carried out first, also when the page is rejected.
    pub commands: Vec<SpoolCommand>,
}
