//! A log of claimed ids that the processes of one dispatcher share: a file to which each appends, and which each
//! reads up to its own claim. The first claim of an id in the file is granted, so that of two processes that get an
//! id in the same moment one forwards it.
//!
//! A line is `+ OWNER ID` (claimed) or `- OWNER ID` (released), both numbers in hexadecimal; other lines are ignored.
//! When the file has grown large, a process that is alone replaces it by one with the claims in force. Claims hold a
//! shared lock on the file and the replacement an exclusive one, so that no claim is lost with the old file.

use super::claim_table::{ClaimTable, Owner};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};

/// Name of the file.
const FILE_NAME: &str = "request-ids";
/// Name of the file that is to replace it.
const REPLACEMENT_NAME: &str = "request-ids.new";
/// Size above which a process that is alone replaces the file, in bytes.
const REPLACEMENT_THRESHOLD_BYTES: u64 = 1 << 20;
/// Size above which nothing is claimed, in bytes.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// Number of bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;
/// Maximum number of attempts to append a line that was written in part, or to a file that was replaced.
const MAX_RETRIES: usize = 4;

/// The log, as one process sees it.
pub(super) struct ClaimLog {
    path: PathBuf,
    file: File,
    owner: Owner,
    table: ClaimTable,
    /// Number of bytes that have been read.
    offset: u64,
    /// The line that has been read in part.
    line: Vec<u8>,
}

/// A change that a line records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    Claimed,
    Released,
}

impl Change {
    fn marker(self) -> char {
        match self {
            Change::Claimed => '+',
            Change::Released => '-',
        }
    }
}

fn format_line(change: Change, owner: Owner, id: u64) -> String {
    format!("{} {:016x} {id:016x}\n", change.marker(), owner.0)
}

fn parse_line(line: &[u8]) -> Option<(Change, Owner, u64)> {
    let mut words = std::str::from_utf8(line).ok()?.split(' ');
    let change = match words.next()? {
        "+" => Change::Claimed,
        "-" => Change::Released,
        _ => return None,
    };
    let mut number = || {
        let digits = words.next().filter(|digits| digits.len() == 16)?;
        u64::from_str_radix(digits, 16).ok()
    };
    let (owner, id) = (Owner(number()?), number()?);
    words.next().is_none().then_some((change, owner, id))
}

impl ClaimLog {
    /// Opens the log in this directory, and reads the claims of earlier and other processes.
    ///
    /// # Errors
    /// The file cannot be opened or read, or the system gives no random number.
    pub(super) fn open(directory: &Path) -> io::Result<Self> {
        let path = directory.join(FILE_NAME);
        let owner = getrandom::u64().map_err(|error| io::Error::other(error.to_string()))?;
        let mut log = ClaimLog {
            file: open_file(&path)?,
            path,
            owner: Owner(owner),
            table: ClaimTable::default(),
            offset: 0,
            line: vec![],
        };
        log.read_changes()?;
        Ok(log)
    }

    /// Claims an id; returns false if it is claimed already. `is_alone` tells that no other process of the dispatcher
    /// runs.
    ///
    /// # Errors
    /// The claim could not be recorded, or the claims of other processes could not be read.
    pub(super) fn claim(&mut self, id: u64, is_alone: bool) -> io::Result<bool> {
        for _ in 0..MAX_RETRIES {
            self.reopen_if_replaced()?;
            self.read_changes()?;
            if self.table.owner(id).is_some() {
                return Ok(false);
            }
            if is_alone && self.offset > REPLACEMENT_THRESHOLD_BYTES {
                self.replace()?;
            }
            if let Some(is_granted) = self.append_claim(id)? {
                return Ok(is_granted);
            }
        }
        Err(io::Error::other("the file was replaced again and again"))
    }

    /// Claims an id in this process only; returns false if it is claimed already.
    pub(super) fn claim_unshared(&mut self, id: u64) -> bool {
        self.table.claim(id, self.owner)
    }

    /// Releases an id whose request never ran. If that cannot be recorded, the id stays claimed for other processes.
    pub(super) fn release(&mut self, id: u64) {
        let line = format_line(Change::Released, self.owner, id);
        if self.append(&line).is_err() || self.read_changes().is_err() {
            self.table.release(id, self.owner);
        }
    }

    /// Appends a claim, and returns whether it is the first one of its id; `None` if the file was replaced meanwhile.
    fn append_claim(&mut self, id: u64) -> io::Result<Option<bool>> {
        if self.offset > MAX_FILE_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        self.file.try_lock_shared().map_err(lock_error)?;
        let recorded = self.record_claim(id);
        self.file.unlock()?;
        recorded
    }

    fn record_claim(&mut self, id: u64) -> io::Result<Option<bool>> {
        if self.is_replaced()? {
            return Ok(None);
        }
        self.append(&format_line(Change::Claimed, self.owner, id))?;
        self.read_changes()?;
        match self.table.owner(id) {
            Some(owner) => Ok(Some(owner == self.owner)),
            None => Err(io::Error::other("a claim was not recorded")),
        }
    }

    /// Appends a line in one write. A line that was written in part is ended and written again, since another
    /// process's line may follow it.
    fn append(&mut self, line: &str) -> io::Result<()> {
        let mut text = line.to_string();
        for _ in 0..MAX_RETRIES {
            match self.file.write(text.as_bytes()) {
                Ok(written) if written == text.len() => return Ok(()),
                Ok(_) => text = format!("\n{line}"),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Err(io::ErrorKind::WriteZero.into())
    }

    /// Applies what was appended since the last call.
    fn read_changes(&mut self) -> io::Result<()> {
        let mut bytes = [0; READ_BYTES];
        loop {
            match self.file.read_at(&mut bytes, self.offset) {
                Ok(0) => return Ok(()),
                Ok(read) => {
                    self.offset += read as u64;
                    bytes[..read].iter().for_each(|byte| self.parse(*byte));
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn parse(&mut self, byte: u8) {
        /// Length of a line that records a change; of a longer one the rest is ignored.
        const LINE_BYTES: usize = "+ 0123456789abcdef 0123456789abcdef".len();
        if byte != b'\n' {
            if self.line.len() <= LINE_BYTES {
                self.line.push(byte);
            }
            return;
        }
        match parse_line(&self.line) {
            Some((Change::Claimed, owner, id)) => {
                self.table.claim(id, owner);
            }
            Some((Change::Released, owner, id)) => self.table.release(id, owner),
            None => {}
        }
        self.line.clear();
    }

    /// Returns whether the path leads to another file than the open one, or to none.
    fn is_replaced(&self) -> io::Result<bool> {
        let open = self.file.metadata()?;
        match std::fs::metadata(&self.path) {
            Ok(current) => Ok((current.dev(), current.ino()) != (open.dev(), open.ino())),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(true),
            Err(error) => Err(error),
        }
    }

    fn reopen_if_replaced(&mut self) -> io::Result<()> {
        if self.is_replaced()? {
            self.file = open_file(&self.path)?;
            self.offset = 0;
            self.line.clear();
        }
        Ok(())
    }

    /// Replaces the file by one with the claims in force, unless another process is claiming.
    fn replace(&mut self) -> io::Result<()> {
        match self.file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Ok(()),
            Err(error) => return Err(lock_error(error)),
        }
        let replaced = self.write_replacement();
        self.file.unlock()?;
        replaced?;
        self.reopen_if_replaced()?;
        self.read_changes()
    }

    fn write_replacement(&mut self) -> io::Result<()> {
        self.read_changes()?;
        let claims = self.table.claims();
        let text: String = claims
            .map(|(id, owner)| format_line(Change::Claimed, owner, id))
            .collect();
        let replacement = self.path.with_file_name(REPLACEMENT_NAME);
        std::fs::write(&replacement, text)?;
        std::fs::rename(replacement, &self.path)
    }
}

fn open_file(path: &Path) -> io::Result<File> {
    OpenOptions::new()
        .read(true)
        .append(true)
        .create(true)
        .open(path)
}

fn lock_error(error: TryLockError) -> io::Error {
    match error {
        TryLockError::WouldBlock => io::ErrorKind::WouldBlock.into(),
        TryLockError::Error(error) => error,
    }
}
