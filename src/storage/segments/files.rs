//! The file operations that a segment log is built on.

use std::io;

/// An existing segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentFile {
    /// The number of the segment.
    pub number: u32,
    /// Its length in bytes.
    pub length: u64,
}

/// Operations on numbered segment files and their manifest. Every call may block and may fail.
pub trait SegmentFiles {
    /// Appends to a segment, which is created by its first bytes.
    ///
    /// # Errors
    /// Those of the disk; a part of the bytes may have been written.
    fn append(&mut self, segment: u32, bytes: &[u8]) -> io::Result<()>;

    /// Reads so many bytes from an offset, or fewer at the end of the segment.
    ///
    /// # Errors
    /// Those of the disk.
    fn read(&mut self, segment: u32, offset: u64, length: usize) -> io::Result<Vec<u8>>;

    /// Makes all appended bytes durable.
    ///
    /// # Errors
    /// Those of the disk.
    fn sync(&mut self, segment: u32) -> io::Result<()>;

    /// Shortens a segment to this length in bytes.
    ///
    /// # Errors
    /// Those of the disk.
    fn truncate(&mut self, segment: u32, length: u64) -> io::Result<()>;

    /// Removes a segment.
    ///
    /// # Errors
    /// Those of the disk.
    fn remove(&mut self, segment: u32) -> io::Result<()>;

    /// All segments, in the order of their numbers.
    ///
    /// # Errors
    /// Those of the disk.
    fn list(&mut self) -> io::Result<Vec<SegmentFile>>;

    /// Replaces the manifest atomically: it lists exactly these segments.
    ///
    /// # Errors
    /// Those of the disk; the previous manifest stays.
    fn write_manifest(&mut self, segments: &[u32]) -> io::Result<()>;

    /// The segments that the manifest lists. `None` if there is no manifest.
    ///
    /// # Errors
    /// Those of the disk, or a manifest that cannot be read.
    fn read_manifest(&mut self) -> io::Result<Option<Vec<u32>>>;
}
