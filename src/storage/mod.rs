//! Files that are whole or absent. The first tenant is the snapshot of membership.
//!
//! A file is written aside, synced, renamed over the one before, and its folder is synced: whatever ends the
//! process or the machine, a reader finds the old file or the new one. Its head tells what it is, in which form, how
//! long and with which checksum; what does not add up is set aside under another name and told of, never fatal.
//!
//! All of it blocks: callers run it where that stalls nobody. The files are behind the trait [`FileSystem`], so that
//! tests can break every step.

pub mod files;
pub mod record;
pub mod segments;

pub use files::{FileSystem, LocalFileSystem};
pub use record::{RecordError, RecordKind};

use std::io;
use std::path::{Path, PathBuf};

/// Files set aside that are kept; the oldest is removed.
const ASIDE: usize = 4;

/// Why there is nothing to read.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    #[error("{path}: {error}", path = path.display())]
    Io { path: PathBuf, error: io::Error },
    /// The file was not what it should be, and now has this name.
    #[error("{path}: {error}; it is set aside as {aside}", path = path.display(), aside = aside.display())]
    Quarantined {
        path: PathBuf,
        aside: PathBuf,
        error: RecordError,
    },
}

/// One named record in a folder.
pub struct RecordStore<F: FileSystem = LocalFileSystem> {
    files: F,
    path: PathBuf,
    kind: RecordKind,
    /// The longest content that is read or written, in bytes.
    most: usize,
}

impl<F: FileSystem> RecordStore<F> {
    /// A record under this name in a folder that exists.
    pub fn new(files: F, folder: &Path, name: &str, kind: RecordKind, most: usize) -> Self {
        RecordStore {
            files,
            path: folder.join(name),
            kind,
            most,
        }
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes the content in the place of the one before. Blocks for as long as the disk takes.
    ///
    /// # Errors
    /// The disk's, or one of a content that is too long; the record before stands then.
    pub fn save(&self, content: &[u8]) -> io::Result<()> {
        if content.len() > self.most {
            let text = format!(
                "{} bytes are above the bound of {}",
                content.len(),
                self.most
            );
            return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
        }
        // Two processes of one dispatcher may write at once: each has a draft of its own.
        let draft = self
            .path
            .with_extension(format!("draft-{}", std::process::id()));
        let written = self
            .files
            .write(&draft, &record::encode(self.kind, content))
            .and_then(|()| self.files.rename(&draft, &self.path));
        match written {
            Ok(()) => self
                .files
                .sync_directory(self.path.parent().unwrap_or(Path::new("."))),
            Err(e) => {
                // The disk may be full: what was written of the draft only takes room.
                let _ = self.files.remove(&draft);
                Err(e)
            }
        }
    }

    /// The content as `read` reads it; none if there is no record. Blocks for as long as the disk takes.
    ///
    /// # Errors
    /// The disk's. What is torn, foreign, too long, of a later form or not to be read is set aside and named.
    pub fn load<T>(
        &self,
        read: impl FnOnce(&[u8]) -> Result<T, RecordError>,
    ) -> Result<Option<T>, LoadError> {
        let io = |error| LoadError::Io {
            path: self.path.clone(),
            error,
        };
        // Drafts of processes that were killed while they wrote: they only take room.
        if let (Some(folder), Some(name)) = (
            self.path.parent(),
            self.path.file_name().and_then(|n| n.to_str()),
        ) {
            let _ = self
                .files
                .remove_abandoned(folder, &format!("{name}.draft-"));
        }
        // One byte more than may be there: a longer file is not read into memory.
        let most = self.most + record::HEAD + 1;
        let bytes = match self.files.read(&self.path, most) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            other => other.map_err(io)?,
        };
        match record::decode(self.kind, &bytes, self.most).and_then(read) {
            Ok(content) => Ok(Some(content)),
            Err(error) => {
                let aside = self.set_aside().map_err(io)?;
                Err(LoadError::Quarantined {
                    path: self.path.clone(),
                    aside,
                    error,
                })
            }
        }
    }

    /// Gives the record the first free name for what cannot be read; the last name is used again.
    fn set_aside(&self) -> io::Result<PathBuf> {
        let name = |n: usize| self.path.with_extension(format!("unread-{n}"));
        let free = (0..ASIDE)
            .find(|n| !self.files.exists(&name(*n)))
            .unwrap_or(ASIDE - 1);
        self.files.rename(&self.path, &name(free))?;
        Ok(name(free))
    }
}

#[cfg(test)]
mod tests;
