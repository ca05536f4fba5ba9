//! Compaction: live frames are copied out of segments with mostly dead frames, so that these segments can be
//! removed.

use super::error::SegmentError;
use super::files::SegmentFiles;
use super::index::{FrameLocation, StoredSpool};
use super::log::SegmentLog;

impl<F: SegmentFiles> SegmentLog<F> {
    /// If more than half of all stored bytes are dead, copies the complete spools of the segment with the
    /// fewest live bytes to the end of the log. Stops after `max_bytes`. Returns whether there may be more to
    /// do.
    ///
    /// # Errors
    /// I/O errors of the disk; no spool is lost.
    pub fn compact(&mut self, max_bytes: u64) -> Result<bool, SegmentError> {
        let Some(segment) = self.segment_to_compact() else {
            return Ok(false);
        };
        let mut copied_bytes = 0;
        for spool in self.index.complete_spools_in(segment) {
            let Some(stored) = self.index.spools.get(&spool).cloned() else {
                continue;
            };
            copied_bytes += stored.bytes();
            self.move_to_end(spool, &stored)?;
            if copied_bytes >= max_bytes {
                return Ok(true);
            }
        }
        Ok(copied_bytes > 0)
    }

    /// Returns the segment with the fewest live bytes, excluding the active one, if compaction is due.
    fn segment_to_compact(&self) -> Option<u32> {
        let used = self.used_bytes();
        let is_mostly_dead = self.index.live_bytes() * 2 < used;
        if !is_mostly_dead || used < self.limits.segment_bytes {
            return None;
        }
        self.index
            .segments
            .iter()
            .filter(|(number, _)| Some(**number) != self.active_segment)
            .min_by_key(|(_, segment)| segment.live)
            .map(|(number, _)| *number)
    }

    /// Copies a complete spool to the end of the log under the same id. A recovery uses the copy once its
    /// `End` frame is written.
    fn move_to_end(&mut self, spool: u64, stored: &StoredSpool) -> Result<(), SegmentError> {
        let mut copies = vec![];
        if let Err(error) = self.copy_frames(spool, stored, &mut copies) {
            // The original stays valid, also for a recovery, and the frames of the incomplete copy are dead.
            for frame in &copies {
                self.index.mark_dead(frame);
            }
            return Err(error);
        }
        let mut copies = copies.into_iter();
        if let Some(begin) = copies.next() {
            let mut pages: Vec<FrameLocation> = copies.collect();
            let end = pages.pop();
            for frame in stored.frames() {
                self.index.mark_dead(frame);
            }
            let copy = StoredSpool { begin, pages, end };
            self.index.spools.insert(spool, copy);
        }
        self.remove_dead_segments()
    }

    fn copy_frames(
        &mut self,
        spool: u64,
        stored: &StoredSpool,
        copies: &mut Vec<FrameLocation>,
    ) -> Result<(), SegmentError> {
        for frame in stored.frames() {
            let (header, content) = self.read_frame(spool, frame)?;
            copies.push(self.append(header.id, &content)?);
        }
        Ok(())
    }
}
