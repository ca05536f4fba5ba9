//! A named record in a directory, which is replaced atomically.

use super::file_system::{FileSystem, LocalFileSystem};
use super::record::{self, RecordError, RecordKind};
use std::io;
use std::path::{Path, PathBuf};

#[cfg(test)]
mod tests;

/// Maximum number of quarantined files of a record. When all their names are in use, the last one is
/// overwritten.
const MAX_QUARANTINED: usize = 4;

/// Reason why a record could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file system failed.
    #[error("{path}: {source}", path = path.display())]
    Io {
        /// Path of the record.
        path: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// The record could not be read and was moved to another name.
    #[error("{path}: {source}; it is set aside as {quarantine}", path = path.display(), quarantine = quarantine.display())]
    Quarantined {
        /// Path of the record.
        path: PathBuf,
        /// New path of the record.
        quarantine: PathBuf,
        /// Reason why the record could not be read.
        source: RecordError,
    },
}

/// A named record in a directory.
pub struct RecordStore<F: FileSystem = LocalFileSystem> {
    file_system: F,
    path: PathBuf,
    kind: RecordKind,
    max_content_bytes: usize,
}

impl<F: FileSystem> RecordStore<F> {
    /// Creates the store of the record with this name in an existing directory, with at most
    /// `max_content_bytes` of content.
    pub fn new(
        file_system: F,
        directory: &Path,
        name: &str,
        kind: RecordKind,
        max_content_bytes: usize,
    ) -> Self {
        RecordStore {
            file_system,
            path: directory.join(name),
            kind,
            max_content_bytes,
        }
    }

    /// Returns the path of the record.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Replaces the content atomically. Blocks until it is durable.
    ///
    /// # Errors
    /// I/O errors of the file system, or [`io::ErrorKind::InvalidInput`] for content that is too long. The
    /// previous record is kept, except after an error of the last step, the sync of the directory.
    pub fn save(&self, content: &[u8]) -> io::Result<()> {
        self.check_length(content)?;
        let record = record::encode(self.kind, content);
        // Two processes of one dispatcher may write at the same time, so each has its own draft.
        let draft = self
            .path
            .with_extension(format!("draft-{}", std::process::id()));
        let replaced = self
            .file_system
            .write(&draft, &record)
            .and_then(|()| self.file_system.rename(&draft, &self.path));
        if let Err(error) = replaced {
            // The disk may be full, so a partial draft must not stay on it.
            let _ = self.file_system.remove(&draft);
            return Err(error);
        }
        let directory = self.path.parent().unwrap_or(Path::new("."));
        self.file_system.sync_directory(directory)
    }

    fn check_length(&self, content: &[u8]) -> io::Result<()> {
        if content.len() <= self.max_content_bytes {
            return Ok(());
        }
        let message = format!(
            "{} bytes are above the bound of {}",
            content.len(),
            self.max_content_bytes
        );
        Err(io::Error::new(io::ErrorKind::InvalidInput, message))
    }

    /// Returns the content as parsed by `parse`, or `None` if there is no record. Blocks while the file is
    /// read.
    ///
    /// # Errors
    /// I/O errors of the file system. A record that cannot be decoded or parsed is moved to a quarantine name
    /// and is an error as well.
    pub fn load<T>(
        &self,
        parse: impl FnOnce(&[u8]) -> Result<T, RecordError>,
    ) -> Result<Option<T>, LoadError> {
        let io_error = |source| LoadError::Io {
            path: self.path.clone(),
            source,
        };
        self.remove_abandoned_drafts();
        // Reading one byte more than allowed detects a file that is too long without reading all of it.
        let max_bytes = self.max_content_bytes + record::HEADER_BYTES + 1;
        let bytes = match self.file_system.read(&self.path, max_bytes) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            other => other.map_err(io_error)?,
        };
        match record::decode(self.kind, &bytes, self.max_content_bytes).and_then(parse) {
            Ok(content) => Ok(Some(content)),
            Err(source) => {
                let quarantine = self.quarantine().map_err(io_error)?;
                Err(LoadError::Quarantined {
                    path: self.path.clone(),
                    quarantine,
                    source,
                })
            }
        }
    }

    /// Removes the drafts of processes that were killed while writing, which only use space.
    fn remove_abandoned_drafts(&self) {
        let directory = self.path.parent();
        let name = self.path.file_name().and_then(|name| name.to_str());
        if let (Some(directory), Some(name)) = (directory, name) {
            let prefix = format!("{name}.draft-");
            let _ = self.file_system.remove_abandoned(directory, &prefix);
        }
    }

    /// Moves the record to the first free quarantine name, and returns its new path.
    fn quarantine(&self) -> io::Result<PathBuf> {
        let name = |number: usize| self.path.with_extension(format!("unread-{number}"));
        let free = (0..MAX_QUARANTINED)
            .find(|number| !self.file_system.exists(&name(*number)))
            .unwrap_or(MAX_QUARANTINED - 1);
        self.file_system.rename(&self.path, &name(free))?;
        Ok(name(free))
    }
}
