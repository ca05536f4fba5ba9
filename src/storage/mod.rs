//! Crash-safe storage: records that are replaced atomically ([`RecordStore`]) and append-only logs of spooled
//! results ([`segments`]).
//!
//! A record is written to a draft file, synced and renamed over the previous one, and then its directory is
//! synced. Whenever the process or the machine stops, a reader finds either the old record or the new one. A
//! header states the kind of the record, its format version, its length and its checksum. A record that does
//! not match its header is moved to a quarantine name and reported; it is never a fatal error.
//!
//! All calls block, so callers run them where nothing is delayed by them. File access is behind traits, so
//! that tests can make every step fail.

mod file_system;
pub mod record;
mod record_store;
pub mod segments;

pub use file_system::{FileSystem, LocalFileSystem};
pub use record::{RecordError, RecordKind};
pub use record_store::{LoadError, RecordStore};
