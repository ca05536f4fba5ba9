//! File operations used by a [`super::RecordStore`].

use std::fs::{DirEntry, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::Path;
use std::time::Duration;

/// File operations. Every call may block and may fail.
pub trait FileSystem {
    /// Writes a complete file and syncs it.
    ///
    /// # Errors
    /// I/O errors of the file system; a part of the file may have been written.
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Renames a file, replacing an existing file with the new name.
    ///
    /// # Errors
    /// I/O errors of the file system.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Syncs a directory, which makes renames in it durable.
    ///
    /// # Errors
    /// I/O errors of the file system.
    fn sync_directory(&self, path: &Path) -> io::Result<()>;

    /// Reads a file, at most `max_bytes` of it.
    ///
    /// # Errors
    /// I/O errors of the file system.
    fn read(&self, path: &Path, max_bytes: usize) -> io::Result<Vec<u8>>;

    /// Removes a file.
    ///
    /// # Errors
    /// I/O errors of the file system.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Returns whether a file with this name exists.
    fn exists(&self, path: &Path) -> bool;

    /// Removes the files of a directory whose name has this prefix and that have not been written to for
    /// longer than a minute.
    ///
    /// # Errors
    /// I/O errors of the file system; some files may have been removed.
    fn remove_abandoned(&self, directory: &Path, prefix: &str) -> io::Result<()>;
}

/// Age above which a draft is abandoned. A draft is written in less time, so an older one belongs to a
/// process that was killed.
const ABANDONED_AFTER: Duration = Duration::from_secs(60);

/// File system of the machine.
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

/// Returns the time since the last write to a file.
fn age(entry: &DirEntry) -> Option<Duration> {
    let modified = entry.metadata().and_then(|metadata| metadata.modified());
    modified.ok()?.elapsed().ok()
}
