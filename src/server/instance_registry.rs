//! State that the live processes of one dispatcher share, in a directory that is common to them while one
//! takes over from another: a locked file for each process, and an empty file for each administratively
//! drained engine. Each entry is a separate file, so that no process overwrites an entry of another.

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// Name of the dispatcher's subdirectory of the configured directory.
pub(super) const DIRECTORY: &str = "hitchwinch";
/// File name prefix of live processes; the process id and a random number follow it.
const PROCESS_PREFIX: &str = "here-";
/// File name prefix of a process's file before the file is locked; what follows is the same.
const DRAFT_PREFIX: &str = "new-";
/// File name prefix of drained engines; the encoded engine id follows it.
const DRAINED_PREFIX: &str = "out-";
/// Maximum number of engines drained at the same time.
const MAX_DRAINED: usize = 1024;
/// Maximum length of a file name on most file systems, in bytes.
const MAX_FILE_NAME_BYTES: usize = 255;

/// Registry of this dispatcher's live processes and of the administratively drained engines. Without a
/// directory it counts only this process, and records nothing that outlives it.
pub struct InstanceRegistry(Option<Directory>);

struct Directory {
    path: PathBuf,
    /// File whose lock this process holds until it ends; other processes detect it as live by that lock.
    _process_file: File,
    process_file_name: OsString,
}

impl InstanceRegistry {
    /// Registers this process in the dispatcher's subdirectory of `parent`.
    ///
    /// # Errors
    /// The directory or the process's file cannot be created or locked.
    pub fn open(parent: Option<&Path>) -> io::Result<Self> {
        let Some(path) = parent.map(|parent| parent.join(DIRECTORY)) else {
            return Ok(InstanceRegistry(None));
        };
        std::fs::create_dir_all(&path)?;
        // The process id alone does not identify a process: each PID namespace has its own, and ids are used again.
        let random = getrandom::u64().map_err(|error| io::Error::other(error.to_string()))?;
        let instance = format!("{}-{random:016x}", std::process::id());
        // The file is locked before it gets its final name, because other processes take an unlocked file of
        // that name for one of a process that has ended.
        let draft = path.join(format!("{DRAFT_PREFIX}{instance}"));
        let process_file = File::create(&draft)?;
        process_file.try_lock()?;
        let process_file_name = OsString::from(format!("{PROCESS_PREFIX}{instance}"));
        std::fs::rename(draft, path.join(&process_file_name))?;
        Ok(InstanceRegistry(Some(Directory {
            path,
            _process_file: process_file,
            process_file_name,
        })))
    }

    /// Returns the directory that the dispatcher's processes share, if there is one.
    pub fn directory(&self) -> Option<&Path> {
        self.0.as_ref().map(|directory| directory.path.as_path())
    }

    /// Counts the live processes of this dispatcher, including this one. Removes the files of processes that
    /// have ended.
    ///
    /// # Errors
    /// The directory cannot be read.
    pub fn live_process_count(&self) -> io::Result<u32> {
        let Some(directory) = &self.0 else {
            return Ok(1);
        };
        let mut live = 1;
        for entry in std::fs::read_dir(&directory.path)? {
            let name = entry?.file_name();
            if name == directory.process_file_name
                || !name.to_string_lossy().starts_with(PROCESS_PREFIX)
            {
                continue;
            }
            let path = directory.path.join(name);
            match File::open(&path).map(|file| file.try_lock_shared()) {
                Ok(Err(TryLockError::WouldBlock)) => live += 1,
                // The lock is free: the process has ended.
                Ok(_) => drop(std::fs::remove_file(path)),
                Err(_) => {}
            }
        }
        Ok(live)
    }

    /// Records an engine as drained; the operation is idempotent.
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

    /// Removes an engine's drain record; the operation is idempotent.
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

    /// Returns the ids of all drained engines; `None` without a directory.
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

/// Percent-encodes an engine id for use as one path segment: every byte except ASCII letters, digits, `-`,
/// `_` and `.` becomes `%XX`.
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

/// Decodes a percent-encoded engine id; returns `None` if `text` is not a valid encoding.
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
