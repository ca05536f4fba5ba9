//! Segment log: appending, reading and removing spools.

use super::error::SegmentError;
use super::files::SegmentFiles;
use super::frame::{self, FrameError, FrameHeader, FrameId, FrameKind, HEADER_BYTES};
use super::index::{FrameLocation, SegmentIndex, SegmentUsage, StoredSpool};

/// Limits on the size of segments, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentLimits {
    /// Size from which a segment is full and the next one is started.
    pub segment_bytes: u64,
    /// Maximum size of all segments together.
    pub total_bytes: u64,
}

/// Log of the spools in one set of segment files. See the [module](super) for its guarantees.
pub struct SegmentLog<F: SegmentFiles> {
    pub(super) files: F,
    pub(super) limits: SegmentLimits,
    pub(super) index: SegmentIndex,
    /// Segment that is appended to. `None` before the first frame and after a failure that could not be
    /// undone.
    pub(super) active_segment: Option<u32>,
    pub(super) next_segment: u32,
}

impl<F: SegmentFiles> SegmentLog<F> {
    /// Begins a spool. A recovery returns the content if the spool is complete.
    ///
    /// # Errors
    /// The frame was not stored.
    pub fn begin_spool(&mut self, spool: u64, content: &[u8]) -> Result<(), SegmentError> {
        let id = FrameId {
            kind: FrameKind::Begin,
            spool,
            page: 0,
            rows: 0,
        };
        let begin = self.append(id, content)?;
        self.index.spools.insert(spool, StoredSpool::new(begin));
        Ok(())
    }

    /// Appends the next page of a spool.
    ///
    /// # Errors
    /// The page was not stored; the pages before it are kept.
    pub fn append_page(
        &mut self,
        spool: u64,
        rows: u32,
        content: &[u8],
    ) -> Result<(), SegmentError> {
        let id = FrameId {
            kind: FrameKind::Page,
            spool,
            page: self.page_count(spool)?,
            rows,
        };
        let page = self.append(id, content)?;
        if let Some(stored) = self.index.spools.get_mut(&spool) {
            stored.pages.push(page);
        }
        Ok(())
    }

    /// Completes a spool. A recovery returns the content.
    ///
    /// # Errors
    /// The frame was not stored, and the spool is not complete.
    pub fn end_spool(&mut self, spool: u64, content: &[u8]) -> Result<(), SegmentError> {
        let id = FrameId {
            kind: FrameKind::End,
            spool,
            page: self.page_count(spool)?,
            rows: 0,
        };
        let end = self.append(id, content)?;
        if let Some(stored) = self.index.spools.get_mut(&spool) {
            stored.end = Some(end);
        }
        Ok(())
    }

    fn page_count(&self, spool: u64) -> Result<u32, SegmentError> {
        let stored = self.stored_spool(spool)?;
        Ok(stored.pages.len() as u32)
    }

    fn stored_spool(&self, spool: u64) -> Result<&StoredSpool, SegmentError> {
        self.index
            .spools
            .get(&spool)
            .ok_or(SegmentError::UnknownSpool(spool))
    }

    /// Reads the content of a page.
    ///
    /// # Errors
    /// The page is not stored, cannot be read, or differs from what was written.
    pub fn read_page(&mut self, spool: u64, page: u32) -> Result<Vec<u8>, SegmentError> {
        let location = *self
            .stored_spool(spool)?
            .pages
            .get(page as usize)
            .ok_or(SegmentError::UnknownSpool(spool))?;
        let (header, content) = self.read_frame(spool, &location)?;
        if header.id.kind == FrameKind::Page && header.id.page == page {
            Ok(content)
        } else {
            Err(SegmentError::CorruptPage {
                spool,
                page,
                source: FrameError::Header,
            })
        }
    }

    /// Reads a frame and verifies its header and its content.
    pub(super) fn read_frame(
        &mut self,
        spool: u64,
        location: &FrameLocation,
    ) -> Result<(FrameHeader, Vec<u8>), SegmentError> {
        let bytes = self.files.read(
            location.segment,
            location.offset.into(),
            location.length as usize,
        )?;
        let corrupt = |page, source| SegmentError::CorruptPage {
            spool,
            page,
            source,
        };
        let Some((header, stored)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
            return Err(corrupt(0, FrameError::Header));
        };
        let header = FrameHeader::decode(header).map_err(|error| corrupt(0, error))?;
        let page = header.id.page;
        if header.id.spool != spool {
            return Err(corrupt(page, FrameError::Header));
        }
        let content = header
            .decode_content(stored)
            .map_err(|error| corrupt(page, error))?;
        Ok((header, content))
    }

    /// Removes a spool. Its space is freed when no other spool is live in its segments. Until then a recovery
    /// finds the spool again, so the caller has to detect outdated spools by their content.
    ///
    /// # Errors
    /// I/O errors of the disk while segments are removed. The spool is removed from the index in any case.
    pub fn remove_spool(&mut self, spool: u64) -> Result<(), SegmentError> {
        let Some(stored) = self.index.spools.remove(&spool) else {
            return Ok(());
        };
        for frame in stored.frames() {
            self.index.mark_dead(frame);
        }
        self.remove_dead_segments()
    }

    /// Removes the segments without live frames, including the active one if it has any frame.
    pub(super) fn remove_dead_segments(&mut self) -> Result<(), SegmentError> {
        let dead: Vec<u32> = self
            .index
            .segments
            .iter()
            .filter(|(_, segment)| segment.live == 0 && segment.length > 0)
            .map(|(number, _)| *number)
            .collect();
        if dead.is_empty() {
            return Ok(());
        }
        for number in &dead {
            if self.active_segment == Some(*number) {
                self.active_segment = None;
            }
            self.index.segments.remove(number);
        }
        self.files.write_manifest(&self.index.segment_numbers())?;
        for number in dead {
            self.files.remove(number)?;
        }
        Ok(())
    }

    /// Appends a frame to the active segment.
    pub(super) fn append(
        &mut self,
        id: FrameId,
        content: &[u8],
    ) -> Result<FrameLocation, SegmentError> {
        let frame = frame::encode(id, content)?;
        let total_bytes = self.limits.total_bytes;
        if self.used_bytes() + frame.bytes.len() as u64 > total_bytes {
            return Err(SegmentError::Quota(total_bytes));
        }
        let segment = match self.active_segment_with_capacity() {
            Some(segment) => segment,
            None => self.start_segment()?,
        };
        let offset = self.index.segment_length(segment);
        if let Err(error) = self.files.append(segment, &frame.bytes) {
            self.undo_append(segment, offset);
            return Err(error.into());
        }
        let location = FrameLocation {
            segment,
            offset: offset as u32,
            length: frame.header.frame_bytes() as u32,
        };
        self.index.on_append(&location);
        Ok(location)
    }

    fn active_segment_with_capacity(&self) -> Option<u32> {
        let number = self.active_segment?;
        let segment = self.index.segments.get(&number)?;
        (segment.length < self.limits.segment_bytes).then_some(number)
    }

    /// Starts the next segment and makes it the active one.
    fn start_segment(&mut self) -> Result<u32, SegmentError> {
        if let Some(full) = self.active_segment.take() {
            // A recovery verifies the contents of the newest segment only, so all others have to be durable.
            self.files.sync(full)?;
        }
        let number = self.next_segment;
        let mut listed = self.index.segment_numbers();
        listed.push(number);
        self.files.write_manifest(&listed)?;
        self.next_segment += 1;
        self.index.segments.insert(number, SegmentUsage::default());
        self.active_segment = Some(number);
        Ok(number)
    }

    /// Removes the bytes beyond `length` that a failed append may have written. If that fails, nothing more
    /// is appended to the segment.
    fn undo_append(&mut self, segment: u32, length: u64) {
        if self.files.truncate(segment, length).is_err() {
            self.active_segment = None;
        }
        if length == 0 {
            self.index.segments.remove(&segment);
            self.active_segment = None;
            let _ = self.files.remove(segment);
        }
    }

    /// Makes all appended frames durable.
    ///
    /// # Errors
    /// I/O errors of the disk.
    pub fn sync(&mut self) -> Result<(), SegmentError> {
        if let Some(number) = self.active_segment {
            self.files.sync(number)?;
        }
        Ok(())
    }

    /// Returns the size of all segments, in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.index.total_bytes()
    }

    /// Returns the number of stored spools, complete or not.
    pub fn len(&self) -> usize {
        self.index.spools.len()
    }

    /// Returns whether no spool is stored.
    pub fn is_empty(&self) -> bool {
        self.index.spools.is_empty()
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> SegmentLimits {
        self.limits
    }

    /// Replaces the limits. Stored spools are kept.
    pub fn configure(&mut self, limits: SegmentLimits) {
        self.limits = limits;
    }
}
