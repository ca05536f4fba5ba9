//! Index of a segment log: the location of the frames of each spool, and the number of live bytes in each
//! segment.

use std::collections::BTreeMap;

/// Location of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FrameLocation {
    pub(super) segment: u32,
    /// Offset from the start of the segment, in bytes. Segments are far below 4 GiB.
    pub(super) offset: u32,
    /// Length of the frame with its header, in bytes.
    pub(super) length: u32,
}

/// Locations of the frames of one spool.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoredSpool {
    pub(super) begin: FrameLocation,
    pub(super) pages: Vec<FrameLocation>,
    /// `None` while the spool is incomplete.
    pub(super) end: Option<FrameLocation>,
}

impl StoredSpool {
    pub(super) fn new(begin: FrameLocation) -> Self {
        StoredSpool {
            begin,
            pages: vec![],
            end: None,
        }
    }

    /// Returns all frames in the order of the spool.
    pub(super) fn frames(&self) -> impl Iterator<Item = &FrameLocation> {
        std::iter::once(&self.begin)
            .chain(&self.pages)
            .chain(&self.end)
    }

    pub(super) fn bytes(&self) -> u64 {
        self.frames().map(|frame| u64::from(frame.length)).sum()
    }
}

/// Numbers of bytes of one segment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SegmentUsage {
    /// Size of all frames.
    pub(super) length: u64,
    /// Size of the frames of spools in the index.
    pub(super) live: u64,
}

/// Spools and segments of a log.
#[derive(Debug, Default)]
pub(super) struct SegmentIndex {
    pub(super) spools: BTreeMap<u64, StoredSpool>,
    pub(super) segments: BTreeMap<u32, SegmentUsage>,
}

impl SegmentIndex {
    /// Returns the size of all segments, in bytes.
    pub(super) fn total_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.length).sum()
    }

    /// Returns the size of all frames of spools in the index, in bytes.
    pub(super) fn live_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.live).sum()
    }

    pub(super) fn segment_length(&self, number: u32) -> u64 {
        self.segments
            .get(&number)
            .map_or(0, |segment| segment.length)
    }

    pub(super) fn segment_numbers(&self) -> Vec<u32> {
        self.segments.keys().copied().collect()
    }

    /// Records that a frame was appended.
    pub(super) fn on_append(&mut self, frame: &FrameLocation) {
        if let Some(segment) = self.segments.get_mut(&frame.segment) {
            segment.length += u64::from(frame.length);
            segment.live += u64::from(frame.length);
        }
    }

    /// Counts a frame that was found at the start as live.
    pub(super) fn mark_live(&mut self, frame: &FrameLocation) {
        if let Some(segment) = self.segments.get_mut(&frame.segment) {
            segment.live += u64::from(frame.length);
        }
    }

    /// Counts a frame as dead.
    pub(super) fn mark_dead(&mut self, frame: &FrameLocation) {
        if let Some(segment) = self.segments.get_mut(&frame.segment) {
            segment.live = segment.live.saturating_sub(frame.length.into());
        }
    }

    /// Returns the complete spools with a frame in this segment.
    pub(super) fn complete_spools_in(&self, number: u32) -> Vec<u64> {
        self.spools
            .iter()
            .filter(|(_, spool)| spool.end.is_some())
            .filter(|(_, spool)| spool.frames().any(|frame| frame.segment == number))
            .map(|(id, _)| *id)
            .collect()
    }
}
