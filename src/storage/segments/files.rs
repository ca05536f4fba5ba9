//! File operations used by a segment log.

use std::io;

/// An existing segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentFile {
    /// Number of the segment.
    pub number: u32,
    /// Length of the segment, in bytes.
    pub length: u64,
}

/// Operations on numbered segment files and their manifest. Every call may block and may fail.
pub trait SegmentFiles {
    /// Appends to a segment, which is created by the first append.
    ///
    /// # Errors
    /// I/O errors of the disk; a part of the bytes may have been written.
    fn append(&mut self, segment: u32, bytes: &[u8]) -> io::Result<()>;

    /// Reads `length` bytes from an offset, or fewer at the end of the segment.
    ///
    /// # Errors
    /// I/O errors of the disk.
    fn read(&mut self, segment: u32, offset: u64, length: usize) -> io::Result<Vec<u8>>;

    /// Makes all appended bytes durable.
    ///
    /// # Errors
    /// I/O errors of the disk.
    fn sync(&mut self, segment: u32) -> io::Result<()>;

    /// Shortens a segment to this length in bytes.
    ///
    /// # Errors
    /// I/O errors of the disk.
    fn truncate(&mut self, segment: u32, length: u64) -> io::Result<()>;

    /// Removes a segment.
    ///
    /// # Errors
    /// I/O errors of the disk.
    fn remove(&mut self, segment: u32) -> io::Result<()>;

    /// Returns all segments, in the order of their numbers.
    ///
    /// # Errors
    /// I/O errors of the disk.
    fn list(&mut self) -> io::Result<Vec<SegmentFile>>;

    /// Replaces the manifest atomically with one that lists exactly these segments.
    ///
    /// # Errors
    /// I/O errors of the disk; either the previous or the new manifest is in place.
    fn write_manifest(&mut self, segments: &[u32]) -> io::Result<()>;

    /// Returns the segments that the manifest lists, or `None` if there is no manifest.
    ///
    /// # Errors
    /// I/O errors of the disk, or a manifest that cannot be decoded.
    fn read_manifest(&mut self) -> io::Result<Option<Vec<u32>>>;
}
