//! Where segments lie: numbered files that are only ever written at their end.

use crate::storage::{LocalFileSystem, RecordError, RecordKind, RecordStore};
use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// What segments do to files. Every call may block, and may fail; a failed [`Volume::append`] may have written a part.
pub trait BlockDevice {
    /// Writes behind what is there; a new segment begins with its first byte.
    fn append(&mut self, segment: u32, bytes: &[u8]) -> io::Result<()>;
    /// So many bytes from there, or fewer at the end.
    fn read(&mut self, segment: u32, at: u64, length: usize) -> io::Result<Vec<u8>>;
    /// What was written is on the disk when it returns.
    fn sync(&mut self, segment: u32) -> io::Result<()>;
    fn truncate(&mut self, segment: u32, length: u64) -> io::Result<()>;
    fn remove(&mut self, segment: u32) -> io::Result<()>;
    /// All segments with their lengths in bytes, in order.
    fn list(&mut self) -> io::Result<Vec<(u32, u64)>>;
    /// The manifest names exactly these from now on: whole, or as it was before.
    fn name(&mut self, segments: &[u32]) -> io::Result<()>;
    /// What the manifest names; none if there has never been one.
    fn named(&mut self) -> io::Result<Option<Vec<u32>>>;
}

/// The manifest's file, what it is, and its longest content in bytes.
const MANIFEST: &str = "manifest";
const KIND: RecordKind = RecordKind {
    tag: *b"SEGM",
    version: 1,
};
const MOST: usize = 1 << 20;

/// Files that are open at a time.
const OPEN: usize = 8;

/// A folder of the machine.
pub struct Directory {
    path: PathBuf,
    /// Used last at the back.
    open: VecDeque<(u32, File)>,
}

impl Directory {
    /// The folder is made if it is not there, for nobody else to read.
    ///
    /// # Errors
    /// It cannot be made.
    pub fn new(path: &Path) -> io::Result<Self> {
        use std::os::unix::fs::DirBuilderExt;
        std::fs::DirBuilder::new()
            .recursive(true)
            .mode(0o700)
            .create(path)?;
        Ok(Directory {
            path: path.to_path_buf(),
            open: VecDeque::new(),
        })
    }

    fn file_of(&self, segment: u32) -> PathBuf {
        self.path.join(format!("segment-{segment:08}"))
    }

    /// The file, which is open then; the one that was used least lately makes room.
    fn file(&mut self, segment: u32, create: bool) -> io::Result<&mut File> {
        match self.open.iter().position(|(n, _)| *n == segment) {
            Some(i) => {
                if let Some(entry) = self.open.remove(i) {
                    self.open.push_back(entry);
                }
            }
            None => {
                let mut options = OpenOptions::new();
                options.read(true).append(true).create(create);
                std::os::unix::fs::OpenOptionsExt::mode(&mut options, 0o600);
                let file = options.open(self.file_of(segment))?;
                if self.open.len() >= OPEN {
                    self.open.pop_front();
                }
                self.open.push_back((segment, file));
            }
        }
        self.open
            .back_mut()
            .map(|(_, f)| f)
            .ok_or_else(|| io::Error::other("no file is open"))
    }
}

impl BlockDevice for Directory {
    fn append(&mut self, segment: u32, bytes: &[u8]) -> io::Result<()> {
        self.file(segment, true)?.write_all(bytes)
    }

    fn read(&mut self, segment: u32, at: u64, length: usize) -> io::Result<Vec<u8>> {
        let file = self.file(segment, false)?;
        file.seek(SeekFrom::Start(at))?;
        let mut bytes = Vec::with_capacity(length);
        file.take(length as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn sync(&mut self, segment: u32) -> io::Result<()> {
        self.file(segment, false)?.sync_data()
    }

    fn truncate(&mut self, segment: u32, length: u64) -> io::Result<()> {
        self.file(segment, false)?.set_len(length)
    }

    fn remove(&mut self, segment: u32) -> io::Result<()> {
        self.open.retain(|(n, _)| *n != segment);
        std::fs::remove_file(self.file_of(segment))
    }

    fn list(&mut self) -> io::Result<Vec<(u32, u64)>> {
        let mut all = vec![];
        for entry in std::fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name();
            let number = name
                .to_str()
                .and_then(|n| n.strip_prefix("segment-"))
                .and_then(|n| n.parse().ok());
            if let Some(number) = number {
                all.push((number, entry.metadata()?.len()));
            }
        }
        all.sort_unstable();
        Ok(all)
    }

    fn name(&mut self, segments: &[u32]) -> io::Result<()> {
        let content = serde_json::to_vec(segments).map_err(io::Error::other)?;
        RecordStore::new(LocalFileSystem, &self.path, MANIFEST, KIND, MOST).save(&content)
    }

    fn named(&mut self) -> io::Result<Option<Vec<u32>>> {
        let read = |content: &[u8]| {
            serde_json::from_slice(content).map_err(|e| RecordError::Content(e.to_string()))
        };
        // A manifest of a later program, or of another's: nothing here is to be touched.
        RecordStore::new(LocalFileSystem, &self.path, MANIFEST, KIND, MOST)
            .load(read)
            .map_err(io::Error::other)
    }
}
