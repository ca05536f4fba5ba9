//! The steps on files that a store is made of.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::Path;
use std::time::Duration;

/// What a store does to files. Every call may block, and may fail.
pub trait FileSystem {
    /// Writes a new file whole, and has it on the disk when it returns.
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// A rename is on the disk only when its folder is.
    fn sync_directory(&self, path: &Path) -> io::Result<()>;
    /// The file's bytes, and no more than `most` of them.
    fn read(&self, path: &Path, most: usize) -> io::Result<Vec<u8>>;
    fn remove(&self, path: &Path) -> io::Result<()>;
    fn exists(&self, path: &Path) -> bool;
    /// Removes files of a folder whose names begin so and that nobody has written to for a while.
    fn remove_abandoned(&self, folder: &Path, prefix: &str) -> io::Result<()>;
}

/// A draft is written in less; an older one is of a process that was killed.
const ABANDONED: Duration = Duration::from_secs(60);

/// The machine's own.
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

    fn read(&self, path: &Path, most: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![];
        File::open(path)?
            .take(most as u64)
            .read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        std::fs::remove_file(path)
    }

    fn exists(&self, path: &Path) -> bool {
        path.exists()
    }

    fn remove_abandoned(&self, folder: &Path, prefix: &str) -> io::Result<()> {
        for entry in std::fs::read_dir(folder)? {
            let entry = entry?;
            let ours = entry
                .file_name()
                .to_str()
                .is_some_and(|n| n.starts_with(prefix));
            let age = entry
                .metadata()
                .and_then(|m| m.modified())
                .ok()
                .and_then(|at| at.elapsed().ok());
            if ours && age.is_some_and(|age| age > ABANDONED) {
                std::fs::remove_file(entry.path())?;
            }
        }
        Ok(())
    }
}
