//! The file operations that a [`super::RecordStore`] is built on.

use std::fs::{DirEntry, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::Path;
use std::time::Duration;

/// File operations. Every call may block and may fail.
pub trait FileSystem {
    /// Writes a complete file and syncs it.
    ///
    /// # Errors
    /// Those of the file system; a part of the file may have been written.
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Renames a file, and replaces an existing one of the new name.
    ///
    /// # Errors
    /// Those of the file system.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Syncs a directory, which makes the renames in it durable.
    ///
    /// # Errors
    /// Those of the file system.
    fn sync_directory(&self, path: &Path) -> io::Result<()>;

    /// Reads a file, at most `max_bytes` of it.
    ///
    /// # Errors
    /// Those of the file system.
    fn read(&self, path: &Path, max_bytes: usize) -> io::Result<Vec<u8>>;

    /// Removes a file.
    ///
    /// # Errors
    /// Those of the file system.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Whether there is a file of this name.
    fn exists(&self, path: &Path) -> bool;

    /// Removes the files of a directory whose name has this prefix and that have not been written to for a while.
    ///
    /// # Errors
    /// Those of the file system; some files may have been removed.
    fn remove_abandoned(&self, directory: &Path, prefix: &str) -> io::Result<()>;
}

/// A draft is written in less time than this. An older one belongs to a process that was killed.
const ABANDONED_AFTER: Duration = Duration::from_secs(60);

/// The file system of the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalFileSystem;

impl FileSystem for LocalFileSystem {
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .open(path)?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn sync_directory(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }

    fn read(&self, path: &Path, max_bytes: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![];
        File::open(path)?
            .take(max_bytes as u64)
            .read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        std::fs::remove_file(path)
    }

    fn exists(&self, path: &Path) -> bool {
        path.exists()
    }

    fn remove_abandoned(&self, directory: &Path, prefix: &str) -> io::Result<()> {
        for entry in std::fs::read_dir(directory)? {
            let entry = entry?;
            let has_prefix = entry
                .file_name()
                .to_str()
                .is_some_and(|name| name.starts_with(prefix));
            if has_prefix && age(&entry).is_some_and(|age| age > ABANDONED_AFTER) {
                std::fs::remove_file(entry.path())?;
            }
        }
        Ok(())
    }
}

/// The time since a file was last written to.
fn age(entry: &DirEntry) -> Option<Duration> {
    let modified = entry.metadata().and_then(|metadata| metadata.modified());
    modified.ok()?.elapsed().ok()
}
