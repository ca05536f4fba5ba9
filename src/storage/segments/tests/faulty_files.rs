//! In-memory segment files that fail, or whose process is killed, at a given write. Appended bytes survive a
//! kill; of an interrupted append, any part may survive.

use super::*;
use std::cell::{Ref, RefCell, RefMut};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

#[derive(Clone, Default)]
pub(super) struct FaultyFiles(Rc<RefCell<FaultyDisk>>);

#[derive(Default)]
pub(super) struct FaultyDisk {
    pub(super) files: BTreeMap<u32, Vec<u8>>,
    pub(super) manifest: Option<Vec<u32>>,
    pub(super) capacity: Option<usize>,
    /// Number of writes so far.
    pub(super) steps: usize,
    pub(super) kill_at: Option<usize>,
    pub(super) fail_at: Option<(usize, io::ErrorKind)>,
    /// Fraction of the interrupted write that is done.
    pub(super) completed_fraction: f64,
    killed: bool,
}

/// Outcome of a write, and the fraction of it that is done.
struct Step {
    completed_fraction: f64,
    result: io::Result<()>,
}

impl FaultyDisk {
    fn step(&mut self) -> Step {
        self.steps += 1;
        if self.killed || self.kill_at == Some(self.steps) {
            let completed_fraction = if self.killed {
                0.0
            } else {
                self.completed_fraction
            };
            self.killed = true;
            return Step {
                completed_fraction,
                result: Err(io::Error::other("killed")),
            };
        }
        match self.fail_at {
            Some((step, kind)) if step == self.steps => Step {
                completed_fraction: self.completed_fraction,
                result: Err(kind.into()),
            },
            _ => Step {
                completed_fraction: 1.0,
                result: Ok(()),
            },
        }
    }
}

impl FaultyFiles {
    /// Returns files whose process is killed at this write.
    pub(super) fn killed_at(step: usize, completed_fraction: f64) -> Self {
        let files = FaultyFiles::default();
        files.disk_mut().kill_at = Some(step);
        files.disk_mut().completed_fraction = completed_fraction;
        files
    }

    pub(super) fn disk(&self) -> Ref<'_, FaultyDisk> {
        self.0.borrow()
    }

    pub(super) fn disk_mut(&self) -> RefMut<'_, FaultyDisk> {
        self.0.borrow_mut()
    }

    /// Returns the files as the next process finds them.
    pub(super) fn restart(&self) -> FaultyFiles {
        let disk = self.disk();
        FaultyFiles(Rc::new(RefCell::new(FaultyDisk {
            files: disk.files.clone(),
            manifest: disk.manifest.clone(),
            ..FaultyDisk::default()
        })))
    }
}

impl SegmentFiles for FaultyFiles {
    fn append(&mut self, segment: u32, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.disk_mut();
        let step = disk.step();
        let used: usize = disk.files.values().map(Vec::len).sum();
        let free = disk
            .capacity
            .map_or(usize::MAX, |capacity| capacity.saturating_sub(used));
        let completed = (bytes.len() as f64 * step.completed_fraction) as usize;
        disk.files
            .entry(segment)
            .or_default()
            .extend(&bytes[..completed.min(free)]);
        step.result?;
        if completed > free {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn read(&mut self, segment: u32, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let disk = self.disk();
        let file = disk.files.get(&segment).ok_or(io::ErrorKind::NotFound)?;
        let start = (offset as usize).min(file.len());
        let end = (start + length).min(file.len());
        Ok(file[start..end].to_vec())
    }

    fn sync(&mut self, _: u32) -> io::Result<()> {
        self.disk_mut().step().result
    }

    fn truncate(&mut self, segment: u32, length: u64) -> io::Result<()> {
        let mut disk = self.disk_mut();
        disk.step().result?;
        if let Some(file) = disk.files.get_mut(&segment) {
            file.truncate(length as usize);
        }
        Ok(())
    }

    fn remove(&mut self, segment: u32) -> io::Result<()> {
        let mut disk = self.disk_mut();
        disk.step().result?;
        let removed = disk.files.remove(&segment);
        removed.map(|_| ()).ok_or(io::ErrorKind::NotFound.into())
    }

    fn list(&mut self) -> io::Result<Vec<SegmentFile>> {
        let disk = self.disk();
        let segments = disk.files.iter().map(|(number, file)| SegmentFile {
            number: *number,
            length: file.len() as u64,
        });
        Ok(segments.collect())
    }

    fn write_manifest(&mut self, segments: &[u32]) -> io::Result<()> {
        let mut disk = self.disk_mut();
        let step = disk.step();
        // The manifest is replaced atomically, so an interrupted write leaves either the old or the new one.
        if step.completed_fraction > 0.5 {
            disk.manifest = Some(segments.to_vec());
        }
        step.result
    }

    fn read_manifest(&mut self) -> io::Result<Option<Vec<u32>>> {
        Ok(self.disk().manifest.clone())
    }
}
