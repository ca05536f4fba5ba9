//! Crash-safe storage: records that are replaced atomically ([`RecordStore`]) and append-only logs of spooled results
//! ([`segments`]).
//!
//! A record is written to a draft file, synced and renamed over the previous one, and then its directory is synced.
//! Whenever the process or the machine stops, a reader finds the old record or the new one. A header states the kind of
//! the record, its format version, its length and its checksum. A record that does not match is moved to a quarantine
//! name and reported; it is never fatal.
//!
//! All calls block, so callers run them where that delays nobody. The files are behind traits, so that tests can let
//! every step fail.

mod file_system;
pub mod record;
mod record_store;
pub mod segments;

pub use file_system::{FileSystem, LocalFileSystem};
pub use record::{RecordError, RecordKind};
pub use record_store::{LoadError, RecordStore};
