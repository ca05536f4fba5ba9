//! What the living processes of one dispatcher share, in a directory that all of them see while one takes over from
//! another: a locked file for each process, and an empty file for each engine that operators have drained. One file an
//! entry, so that no process overwrites another's.

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// The dispatcher's own directory within the configured one.
pub(super) const DIRECTORY: &str = "hitchwinch";
/// Files of living processes start with this, followed by the process id.
const PROCESS_PREFIX: &str = "here-";
/// A process's file before it is locked.
const DRAFT_PREFIX: &str = "new-";
/// Files of drained engines start with this, followed by the encoded engine id.
const DRAINED_PREFIX: &str = "out-";
/// Engines drained at a time.
const MAX_DRAINED: usize = 1024;
/// The longest file name that most file systems take, in bytes.
const MAX_FILE_NAME_BYTES: usize = 255;

/// The processes of this dispatcher and the engines that operators have drained. Without a directory this process is
/// alone, and nothing outlives it.
pub struct InstanceRegistry(Option<Directory>);

struct Directory {
    path: PathBuf,
    /// Locked for as long as this process lives, which is how others know.
    _process_file: File,
    process_file_name: OsString,
}

impl InstanceRegistry {
    /// Enters this process into the dispatcher's directory within `parent`.
    ///
    /// # Errors
    /// The directory or the process's file cannot be made.
    pub fn open(parent: Option<&Path>) -> io::Result<Self> {
        let Some(path) = parent.map(|parent| parent.join(DIRECTORY)) else {
            return Ok(InstanceRegistry(None));
        };
        std::fs::create_dir_all(&path)?;
        let process_id = std::process::id();
        // Locked before it has the name that others look for: a file without a lock is of a process that ended.
        let draft = path.join(format!("{DRAFT_PREFIX}{process_id}"));
        let process_file = File::create(&draft)?;
        process_file.try_lock()?;
        let process_file_name = OsString::from(format!("{PROCESS_PREFIX}{process_id}"));
        std::fs::rename(draft, path.join(&process_file_name))?;
        Ok(InstanceRegistry(Some(Directory {
            path,
            _process_file: process_file,
            process_file_name,
        })))
    }

    /// Living processes of this dispatcher, this one included. Files of processes that have ended are removed.
    ///
    /// # Errors
    /// The directory cannot be read.
    pub fn processes(&self) -> io::Result<u32> {
        let Some(directory) = &self.0 else {
            return Ok(1);
        };
        let mut living = 1;
        for entry in std::fs::read_dir(&directory.path)? {
            let name = entry?.file_name();
            if name == directory.process_file_name
                || !name.to_string_lossy().starts_with(PROCESS_PREFIX)
            {
                continue;
            }
            let path = directory.path.join(name);
            match File::open(&path).map(|file| file.try_lock_shared()) {
                Ok(Err(TryLockError::WouldBlock)) => living += 1,
                // Its process has ended.
                Ok(_) => drop(std::fs::remove_file(path)),
                Err(_) => {}
            }
        }
        Ok(living)
    }

    /// Records an engine as drained; doing so twice changes nothing.
    ///
    /// # Errors
    /// Too many engines are drained, the engine's id is too long, or the file cannot be written.
    pub fn drain_engine(&self, engine: &str) -> io::Result<()> {
        let Some(path) = self.drained_path(engine)? else {
            return Ok(());
        };
        let is_full = || -> io::Result<bool> {
            let drained = self.drained_engines()?;
            Ok(drained.is_some_and(|drained| drained.len() >= MAX_DRAINED))
        };
        if !path.exists() && is_full()? {
            return Err(io::Error::other("too many engines are out by hand"));
        }
        std::fs::write(path, [])
    }

    /// Removes an engine's record; doing so twice changes nothing.
    ///
    /// # Errors
    /// The file cannot be removed.
    pub fn undrain_engine(&self, engine: &str) -> io::Result<()> {
        let Some(path) = self.drained_path(engine)? else {
            return Ok(());
        };
        match std::fs::remove_file(path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// The ids of all drained engines; `None` without a directory.
    ///
    /// # Errors
    /// The directory cannot be read.
    pub fn drained_engines(&self) -> io::Result<Option<BTreeSet<String>>> {
        let Some(directory) = &self.0 else {
            return Ok(None);
        };
        let mut drained = BTreeSet::new();
        for entry in std::fs::read_dir(&directory.path)? {
            let name = entry?.file_name();
            let encoded = name.to_str().and_then(|n| n.strip_prefix(DRAINED_PREFIX));
            drained.extend(encoded.and_then(decode_engine_id));
        }
        Ok(Some(drained))
    }

    fn drained_path(&self, engine: &str) -> io::Result<Option<PathBuf>> {
        let Some(directory) = &self.0 else {
            return Ok(None);
        };
        let name = format!("{DRAINED_PREFIX}{}", encode_engine_id(engine));
        if name.len() > MAX_FILE_NAME_BYTES {
            return Err(io::Error::other("the engine's name is too long to be kept"));
        }
        Ok(Some(directory.path.join(name)))
    }
}

/// An engine's id as a part of a path: every byte that could be read as anything else becomes `%XX`.
pub fn encode_engine_id(id: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let encode = |byte: u8| {
        if is_plain(byte) {
            char::from(byte).to_string()
        } else {
            format!("%{byte:02X}")
        }
    };
    id.bytes().map(encode).collect()
}

/// The engine id that a part of a path encodes; `None` if it encodes none.
pub fn decode_engine_id(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut remaining = text.as_bytes();
    while let Some((&first, after)) = remaining.split_first() {
        if first != b'%' {
            bytes.push(first);
            remaining = after;
            continue;
        }
        let (digits, after) = after.split_at_checked(2)?;
        let digits = std::str::from_utf8(digits).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        remaining = after;
    }
    String::from_utf8(bytes).ok()
}

#[cfg(test)]
mod tests;
