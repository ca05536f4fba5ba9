//! The steps on files that a store is made of.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::Path;

/// What a store does to files. Every call may block, and may fail.
pub trait Files {
    /// Writes a new file whole, and has it on the disk when it returns.
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// A rename is on the disk only when its folder is.
    fn sync_folder(&self, path: &Path) -> io::Result<()>;
    /// The file's bytes, and no more than `most` of them.
    fn read(&self, path: &Path, most: usize) -> io::Result<Vec<u8>>;
    fn remove(&self, path: &Path) -> io::Result<()>;
    fn exists(&self, path: &Path) -> bool;
}

/// The machine's own.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disk;

impl Files for Disk {
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut file = OpenOptions::new().write(true).create(true).truncate(true).open(path)?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn sync_folder(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }

    fn read(&self, path: &Path, most: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![];
        File::open(path)?.take(most as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        std::fs::remove_file(path)
    }

    fn exists(&self, path: &Path) -> bool {
        path.exists()
    }
}
