//! Segments as numbered files in a directory.

use super::files::{SegmentFile, SegmentFiles};
use crate::storage::{LocalFileSystem, RecordError, RecordKind, RecordStore};
use std::collections::VecDeque;
use std::fs::{DirBuilder, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// File name of the manifest.
const MANIFEST_NAME: &str = "manifest";
const MANIFEST_KIND: RecordKind = RecordKind {
    tag: *b"SEGM",
    version: 1,
};
/// Maximum size of the content of a manifest, in bytes.
const MAX_MANIFEST_BYTES: usize = 1 << 20;

const SEGMENT_PREFIX: &str = "segment-";
/// Permissions of directories and files: only the user of the process may read results.
const DIRECTORY_MODE: u32 = 0o700;
const FILE_MODE: u32 = 0o600;

/// Maximum number of segment files that are open at the same time.
const MAX_OPEN_FILES: usize = 8;

/// A directory with segments.
pub struct SegmentDirectory {
    path: PathBuf,
    /// Open files by segment number, the most recently used one at the back.
    open_files: VecDeque<(u32, File)>,
}

/// Whether a missing file is created.
#[derive(Clone, Copy, PartialEq)]
enum OpenMode {
    Existing,
    CreateIfMissing,
}

impl SegmentDirectory {
    /// Opens the directory. A missing one is created, accessible to this user only.
    ///
    /// # Errors
    /// The directory cannot be created.
    pub fn new(path: &Path) -> io::Result<Self> {
        DirBuilder::new()
            .recursive(true)
            .mode(DIRECTORY_MODE)
            .create(path)?;
        Ok(SegmentDirectory {
            path: path.to_path_buf(),
            open_files: VecDeque::new(),
        })
    }

    fn path_of(&self, segment: u32) -> PathBuf {
        self.path.join(format!("{SEGMENT_PREFIX}{segment:08}"))
    }

    /// Returns the file of a segment. If it has to be opened, the least recently used file may be closed.
    fn file(&mut self, segment: u32, mode: OpenMode) -> io::Result<&mut File> {
        let position = self
            .open_files
            .iter()
            .position(|(number, _)| *number == segment);
        let entry = match position.and_then(|position| self.open_files.remove(position)) {
            Some(entry) => entry,
            None => {
                let file = self.open_file(segment, mode)?;
                if self.open_files.len() >= MAX_OPEN_FILES {
                    self.open_files.pop_front();
                }
                (segment, file)
            }
        };
        self.open_files.push_back(entry);
        self.open_files
            .back_mut()
            .map(|(_, file)| file)
            .ok_or_else(|| io::Error::other("no file is open"))
    }

    fn open_file(&self, segment: u32, mode: OpenMode) -> io::Result<File> {
        OpenOptions::new()
            .read(true)
            .append(true)
            .create(mode == OpenMode::CreateIfMissing)
            .mode(FILE_MODE)
            .open(self.path_of(segment))
    }

    fn manifest(&self) -> RecordStore {
        RecordStore::new(
            LocalFileSystem,
            &self.path,
            MANIFEST_NAME,
            MANIFEST_KIND,
            MAX_MANIFEST_BYTES,
        )
    }
}

impl SegmentFiles for SegmentDirectory {
    fn append(&mut self, segment: u32, bytes: &[u8]) -> io::Result<()> {
        self.file(segment, OpenMode::CreateIfMissing)?
            .write_all(bytes)
    }

    fn read(&mut self, segment: u32, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let file = self.file(segment, OpenMode::Existing)?;
        file.seek(SeekFrom::Start(offset))?;
        let mut bytes = Vec::with_capacity(length);
        file.take(length as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn sync(&mut self, segment: u32) -> io::Result<()> {
        self.file(segment, OpenMode::Existing)?.sync_data()
    }

    fn truncate(&mut self, segment: u32, length: u64) -> io::Result<()> {
        self.file(segment, OpenMode::Existing)?.set_len(length)
    }

    fn remove(&mut self, segment: u32) -> io::Result<()> {
        self.open_files.retain(|(number, _)| *number != segment);
        std::fs::remove_file(self.path_of(segment))
    }

    fn list(&mut self) -> io::Result<Vec<SegmentFile>> {
        let mut segments = vec![];
        for entry in std::fs::read_dir(&self.path)? {
            let entry = entry?;
            let number = entry
                .file_name()
                .to_str()
                .and_then(|name| name.strip_prefix(SEGMENT_PREFIX))
                .and_then(|number| number.parse().ok());
            if let Some(number) = number {
                let length = entry.metadata()?.len();
                segments.push(SegmentFile { number, length });
            }
        }
        segments.sort_unstable();
        Ok(segments)
    }

    fn write_manifest(&mut self, segments: &[u32]) -> io::Result<()> {
        let content = serde_json::to_vec(segments).map_err(io::Error::other)?;
        self.manifest().save(&content)
    }

    fn read_manifest(&mut self) -> io::Result<Option<Vec<u32>>> {
        let parse = |content: &[u8]| {
            serde_json::from_slice(content).map_err(|error| RecordError::Content(error.to_string()))
        };
        // A manifest that a later version or another program wrote is an error, so that no segment is
        // changed.
        self.manifest().load(parse).map_err(io::Error::other)
    }
}
