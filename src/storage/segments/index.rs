//! The index of a segment log: where the frames of each spool are, and how many bytes of each segment are live.

use std::collections::BTreeMap;

/// Where a frame is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FrameLocation {
    pub(super) segment: u32,
    /// In bytes from the start of the segment; segments are far below 4 GiB.
    pub(super) offset: u32,
    /// The frame with its header, in bytes.
    pub(super) length: u32,
}

/// The frames of one spool.
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

    /// All frames in the order of the spool.
    pub(super) fn frames(&self) -> impl Iterator<Item = &FrameLocation> {
        std::iter::once(&self.begin)
            .chain(&self.pages)
            .chain(&self.end)
    }

    pub(super) fn bytes(&self) -> u64 {
        self.frames().map(|frame| u64::from(frame.length)).sum()
    }
}

/// The size of one segment, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SegmentUsage {
    /// All frames.
    pub(super) length: u64,
    /// Frames of spools in the index.
    pub(super) live: u64,
}

/// The spools and the segments of a log.
#[derive(Debug, Default)]
pub(super) struct SegmentIndex {
    pub(super) spools: BTreeMap<u64, StoredSpool>,
    pub(super) segments: BTreeMap<u32, SegmentUsage>,
}

impl SegmentIndex {
    /// Bytes of all segments.
    pub(super) fn total_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.length).sum()
    }

    /// Bytes of all frames of spools in the index.
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

    /// The complete spools with a frame in this segment.
    pub(super) fn complete_spools_in(&self, number: u32) -> Vec<u64> {
        self.spools
            .iter()
            .filter(|(_, spool)| spool.end.is_some())
            .filter(|(_, spool)| spool.frames().any(|frame| frame.segment == number))
            .map(|(id, _)| *id)
            .collect()
    }
}
