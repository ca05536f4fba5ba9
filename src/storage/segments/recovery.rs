//! Recovery: opening a segment log and rebuilding its index from the segments.

use super::files::{SegmentFile, SegmentFiles};
use super::frame::{FrameHeader, FrameKind, HEADER_BYTES};
use super::index::{FrameLocation, SegmentIndex, SegmentUsage, StoredSpool};
use super::log::{SegmentLimits, SegmentLog};
use std::collections::BTreeMap;
use std::io;

/// A page of a recovered spool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveredPage {
    /// Number of rows in the page.
    pub rows: u32,
    /// Length of the content, in bytes.
    pub content_bytes: u32,
}

/// A complete spool that was found by a recovery.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredSpool {
    /// Id of the spool within the log.
    pub spool: u64,
    /// Content of the `Begin` frame.
    pub begin: Vec<u8>,
    /// Content of the `End` frame.
    pub end: Vec<u8>,
    /// Pages of the spool, in order.
    pub pages: Vec<RecoveredPage>,
    /// Size of all frames as stored, in bytes.
    pub stored_bytes: u64,
}

/// Outcome of a recovery.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovery {
    /// Complete spools, in the order of their ids.
    pub spools: Vec<RecoveredSpool>,
    /// Number of dropped spools: those without an `End` frame, or whose `Begin` or `End` frame cannot be
    /// read.
    pub dropped_spools: usize,
    /// Number of bytes behind the last complete frame of each segment, which were removed by truncation.
    pub truncated_bytes: u64,
    /// Number of segments that the manifest lists and that do not exist. The newest is not counted, since it
    /// may never have been created.
    pub missing_segments: usize,
}

/// Frames of a spool that a scan has found.
struct ScannedSpool {
    stored: StoredSpool,
    pages: Vec<RecoveredPage>,
}

/// Spools of the segments that have been scanned.
#[derive(Default)]
struct ScannedSpools {
    incomplete: BTreeMap<u64, ScannedSpool>,
    complete: BTreeMap<u64, ScannedSpool>,
}

impl ScannedSpools {
    fn add_frame(&mut self, header: &FrameHeader, location: FrameLocation) {
        let id = header.id;
        if id.kind == FrameKind::Begin {
            // The frame may begin a copy: the original stays valid until the copy is complete.
            let spool = ScannedSpool {
                stored: StoredSpool::new(location),
                pages: vec![],
            };
            self.incomplete.insert(id.spool, spool);
            return;
        }
        let Some(spool) = self.incomplete.get_mut(&id.spool) else {
            return;
        };
        if spool.pages.len() != id.page as usize {
            return;
        }
        if id.kind == FrameKind::Page {
            spool.stored.pages.push(location);
            spool.pages.push(RecoveredPage {
                rows: id.rows,
                content_bytes: header.content_bytes,
            });
        } else if let Some(mut complete) = self.incomplete.remove(&id.spool) {
            complete.stored.end = Some(location);
            self.complete.insert(id.spool, complete);
        }
    }
}

/// Parts of the frames of a segment that a scan verifies.
#[derive(Clone, Copy, PartialEq)]
enum Verification {
    /// Headers only. The segment was synced; contents are verified when they are read.
    Headers,
    /// Headers and contents. The newest segment may not have been synced.
    Contents,
}

impl<F: SegmentFiles> SegmentLog<F> {
    /// Opens a log and rebuilds its index. Truncated frames and incomplete spools are dropped.
    ///
    /// # Errors
    /// I/O errors of the disk, and segments without a manifest, which belong to another program.
    pub fn open(files: F, limits: SegmentLimits) -> io::Result<(Self, Recovery)> {
        let mut log = SegmentLog {
            files,
            limits,
            index: SegmentIndex::default(),
            active_segment: None,
            next_segment: 1,
        };
        let mut recovery = Recovery::default();
        let segments = log.reconcile_with_manifest(&mut recovery)?;
        let scanned = log.scan_segments(&segments, &mut recovery)?;
        recovery.dropped_spools = scanned.incomplete.len();
        for (spool, complete) in scanned.complete {
            log.index_spool(spool, complete, &mut recovery);
        }
        log.remove_segments_without_spools()?;
        Ok((log, recovery))
    }

    /// Removes the segments that the manifest does not list, and returns the others.
    fn reconcile_with_manifest(&mut self, recovery: &mut Recovery) -> io::Result<Vec<SegmentFile>> {
        let mut segments = self.files.list()?;
        let Some(listed) = self.files.read_manifest()? else {
            // The manifest is written before the first segment, so these segments belong to another program.
            if !segments.is_empty() {
                return Err(io::Error::other(
                    "there are segments and no manifest: the directory belongs to another program",
                ));
            }
            self.files.write_manifest(&[])?;
            return Ok(segments);
        };
        let newest = listed.iter().max().copied();
        let exists = |number: u32| segments.iter().any(|segment| segment.number == number);
        recovery.missing_segments = listed
            .iter()
            .filter(|number| Some(**number) != newest && !exists(**number))
            .count();
        for segment in &segments {
            if !listed.contains(&segment.number) {
                self.files.remove(segment.number)?;
            }
        }
        segments.retain(|segment| listed.contains(&segment.number));
        self.next_segment = newest.map_or(1, |number| number + 1);
        Ok(segments)
    }

    fn scan_segments(
        &mut self,
        segments: &[SegmentFile],
        recovery: &mut Recovery,
    ) -> io::Result<ScannedSpools> {
        let mut scanned = ScannedSpools::default();
        let newest = segments.last().map(|segment| segment.number);
        for segment in segments {
            let verification = if Some(segment.number) == newest {
                Verification::Contents
            } else {
                Verification::Headers
            };
            let valid_length = self.scan_segment(segment, verification, &mut scanned)?;
            recovery.truncated_bytes += segment.length - valid_length;
            let usage = SegmentUsage {
                length: valid_length,
                live: 0,
            };
            self.index.segments.insert(segment.number, usage);
            if valid_length < segment.length {
                // Nothing may be appended behind an incomplete frame.
                self.files.truncate(segment.number, valid_length)?;
            }
            self.next_segment = self.next_segment.max(segment.number + 1);
        }
        Ok(scanned)
    }

    /// Scans the frames of a segment. Returns the length up to which they are valid.
    fn scan_segment(
        &mut self,
        segment: &SegmentFile,
        verification: Verification,
        scanned: &mut ScannedSpools,
    ) -> io::Result<u64> {
        let mut offset = 0;
        while let Some(header) = self.scan_frame(segment, offset, verification)? {
            let location = FrameLocation {
                segment: segment.number,
                offset: offset as u32,
                length: header.frame_bytes() as u32,
            };
            scanned.add_frame(&header, location);
            offset += header.frame_bytes();
        }
        Ok(offset)
    }

    /// Returns the header of the frame at an offset, or `None` if there is no valid frame.
    fn scan_frame(
        &mut self,
        segment: &SegmentFile,
        offset: u64,
        verification: Verification,
    ) -> io::Result<Option<FrameHeader>> {
        let content_offset = offset + HEADER_BYTES as u64;
        if content_offset > segment.length {
            return Ok(None);
        }
        let bytes = self.files.read(segment.number, offset, HEADER_BYTES)?;
        let Ok(bytes) = <&[u8; HEADER_BYTES]>::try_from(&bytes[..]) else {
            return Ok(None);
        };
        let Ok(header) = FrameHeader::decode(bytes) else {
            return Ok(None);
        };
        if offset + header.frame_bytes() > segment.length {
            return Ok(None);
        }
        if verification == Verification::Contents {
            let length = header.stored_bytes as usize;
            let stored = self.files.read(segment.number, content_offset, length)?;
            if header.decode_content(&stored).is_err() {
                return Ok(None);
            }
        }
        Ok(Some(header))
    }

    /// Adds a complete spool to the index, unless its `Begin` or `End` frame cannot be read.
    fn index_spool(&mut self, spool: u64, scanned: ScannedSpool, recovery: &mut Recovery) {
        let stored = scanned.stored;
        let begin = self.read_frame(spool, &stored.begin);
        let end = stored.end.map(|end| self.read_frame(spool, &end));
        let (Ok((_, begin)), Some(Ok((_, end)))) = (begin, end) else {
            recovery.dropped_spools += 1;
            return;
        };
        for frame in stored.frames() {
            self.index.mark_live(frame);
        }
        recovery.spools.push(RecoveredSpool {
            spool,
            begin,
            end,
            pages: scanned.pages,
            stored_bytes: stored.bytes(),
        });
        self.index.spools.insert(spool, stored);
    }

    fn remove_segments_without_spools(&mut self) -> io::Result<()> {
        let dead: Vec<u32> = self
            .index
            .segments
            .iter()
            .filter(|(_, segment)| segment.live == 0)
            .map(|(number, _)| *number)
            .collect();
        for number in &dead {
            self.index.segments.remove(number);
        }
        self.files.write_manifest(&self.index.segment_numbers())?;
        for number in dead {
            self.files.remove(number)?;
        }
        Ok(())
    }
}
