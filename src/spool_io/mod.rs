//! Spooled results between engines and clients: the pages in memory and on disk, and their readers.
//! [`crate::spool`] decides where pages are stored and which results are removed; this module executes its
//! commands.
//!
//! A [`ResultWriter`] receives the packets of one attempt. A result that outgrows [`MAX_INLINE_RESULT_BYTES`]
//! is cut into pages and spooled in [`Spools`], where a [`ResultReader`] reads them at the pace of its
//! client.

mod completion;
pub mod disk;
mod listing;
mod packets;
mod paging;
mod reader;
mod result;
mod spools;
mod status;
mod writer;

pub use crate::spool::MAX_INLINE_RESULT_BYTES;
pub use listing::ResultListing;
pub use packets::{packets, put_packet};
pub use reader::{ResultReader, SpoolError};
pub use result::{ResultOwner, SpooledResult};
pub use spools::Spools;
pub use writer::{MAX_STATEMENT_CHARS, ResultWriter, StoredResult};
