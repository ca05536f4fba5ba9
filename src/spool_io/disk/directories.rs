//! The spool directories of this process and of others.

use super::PersistedSpool;
use crate::log_line;
use crate::spool::SpoolId;
use crate::storage::segments::{
    Recovery, SegmentDirectory, SegmentError, SegmentFile, SegmentFiles, SegmentLimits, SegmentLog,
};
use std::collections::HashMap;
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum size of a segment, in bytes. A segment is also limited to a quarter of the quota, but to no less
/// than [`MIN_SEGMENT_BYTES`].
const MAX_SEGMENT_BYTES: u64 = 16 << 20;
/// Smallest value of the maximum segment size, in bytes.
const MIN_SEGMENT_BYTES: u64 = 64 << 10;
/// Maximum number of process directories that are considered.
const MAX_DIRECTORIES: usize = 16;
/// Prefix of the name of a process directory.
const DIRECTORY_PREFIX: &str = "own-";
const LOCK_FILE: &str = "lock";

/// Position of the directory that this process writes to.
pub(super) const OWN_DIRECTORY: usize = 0;

/// A directory that this process has locked.
struct LockedDirectory {
    log: SegmentLog<SegmentDirectory>,
    path: PathBuf,
    _lock: File,
}

/// Location of a spool.
#[derive(Clone, Copy)]
struct SpoolLocation {
    directory: usize,
    /// Id of the spool within the directory.
    local_id: u64,
}

/// Directories that this process has locked, and the location of each spool.
pub(super) struct DirectorySet {
    root: PathBuf,
    /// The first one is written to. The others belonged to processes that have ended; each is removed from
    /// the disk with its last spool and keeps its position here.
    directories: Vec<LockedDirectory>,
    locations: HashMap<SpoolId, SpoolLocation>,
    /// Next id in the own directory, above all ids that earlier processes used there.
    next_local_id: u64,
}

/// Complete spools with their ids in this process.
pub(super) type FoundSpools = Vec<(SpoolId, PersistedSpool)>;

impl DirectorySet {
    /// Takes over the directories of processes that have ended, and creates one if there is none. The spools
    /// found get ids from `first_id` on.
    pub(super) fn open(
        root: &Path,
        quota_bytes: u64,
        first_id: SpoolId,
    ) -> io::Result<(Self, FoundSpools)> {
        let segment_bytes = MAX_SEGMENT_BYTES
            .min(quota_bytes / 4)
            .max(MIN_SEGMENT_BYTES);
        let limits = SegmentLimits {
            segment_bytes,
            total_bytes: quota_bytes,
        };
        std::fs::create_dir_all(root)?;
        let mut set = DirectorySet {
            root: root.to_path_buf(),
            directories: vec![],
            locations: HashMap::new(),
            next_local_id: 1,
        };
        let mut found = vec![];
        let mut next_id = first_id;
        for path in process_directories(root)? {
            set.take_over(path, limits, &mut next_id, &mut found)?;
        }
        if set.directories.is_empty() {
            set.create_directory(limits)?;
        }
        Ok((set, found))
    }

    /// Takes over a directory unless a running process has locked it.
    fn take_over(
        &mut self,
        path: PathBuf,
        limits: SegmentLimits,
        next_id: &mut SpoolId,
        found: &mut FoundSpools,
    ) -> io::Result<()> {
        let Some(lock) = lock(&path)? else {
            return Ok(());
        };
        let files = SegmentDirectory::new(&path)?;
        let (log, recovery) = match SegmentLog::open(files, limits) {
            Ok(opened) => opened,
            // For example, a later version of this program may have written the directory.
            Err(error) => {
                log_line!(
                    "spools: {}: {error}; the directory is not used",
                    path.display()
                );
                return Ok(());
            }
        };
        report_losses(&path, &recovery);
        let position = self.directories.len();
        for spool in recovery.spools {
            if position == OWN_DIRECTORY {
                self.next_local_id = self.next_local_id.max(spool.spool + 1);
            }
            let location = SpoolLocation {
                directory: position,
                local_id: spool.spool,
            };
            self.locations.insert(*next_id, location);
            found.push((*next_id, spool.into()));
            *next_id += 1;
        }
        // The first directory becomes the own one; of the others, empty ones are removed.
        if position == OWN_DIRECTORY || !log.is_empty() {
            self.directories.push(LockedDirectory {
                log,
                path,
                _lock: lock,
            });
        } else {
            let _ = std::fs::remove_dir_all(path);
        }
        Ok(())
    }

    fn create_directory(&mut self, limits: SegmentLimits) -> io::Result<()> {
        let name = format!(
            "{DIRECTORY_PREFIX}{}-{}",
            std::process::id(),
            unix_time_nanos()
        );
        let path = self.root.join(name);
        std::fs::create_dir_all(&path)?;
        let lock = lock(&path)?.ok_or_else(|| {
            io::Error::other(format!(
                "the new spool directory {} is already locked",
                path.display()
            ))
        })?;
        let (log, _) = SegmentLog::open(SegmentDirectory::new(&path)?, limits)?;
        self.directories.push(LockedDirectory {
            log,
            path,
            _lock: lock,
        });
        Ok(())
    }

    /// Returns the log of the own directory.
    pub(super) fn own_log(&mut self) -> &mut SegmentLog<SegmentDirectory> {
        &mut self.directories[OWN_DIRECTORY].log
    }

    /// Returns the local id of a spool in the own directory.
    pub(super) fn own_local_id(&self, spool: SpoolId) -> Option<u64> {
        self.locations
            .get(&spool)
            .filter(|location| location.directory == OWN_DIRECTORY)
            .map(|location| location.local_id)
    }

    /// Begins a spool in the own directory.
    pub(super) fn begin(&mut self, spool: SpoolId, content: &[u8]) -> Result<(), SegmentError> {
        let local_id = self.reserve_local_id();
        self.own_log().begin_spool(local_id, content)?;
        self.set_own_location(spool, local_id);
        Ok(())
    }

    fn reserve_local_id(&mut self) -> u64 {
        let local_id = self.next_local_id;
        self.next_local_id += 1;
        local_id
    }

    fn set_own_location(&mut self, spool: SpoolId, local_id: u64) {
        let location = SpoolLocation {
            directory: OWN_DIRECTORY,
            local_id,
        };
        self.locations.insert(spool, location);
    }

    /// Reads a page from any directory.
    pub(super) fn read_page(&mut self, spool: SpoolId, page: u32) -> Result<Vec<u8>, SegmentError> {
        let location = *self
            .locations
            .get(&spool)
            .ok_or(SegmentError::UnknownSpool(spool))?;
        self.directories[location.directory]
            .log
            .read_page(location.local_id, page)
    }

    /// Removes a spool. The directory of a process that has ended is removed with its last spool.
    pub(super) fn remove(&mut self, spool: SpoolId) {
        let Some(location) = self.locations.remove(&spool) else {
            return;
        };
        let directory = &mut self.directories[location.directory];
        let _ = directory.log.remove_spool(location.local_id);
        if location.directory != OWN_DIRECTORY && directory.log.is_empty() {
            let _ = std::fs::remove_dir_all(&directory.path);
        }
    }

    /// Changes the limit on the size of each directory.
    pub(super) fn set_quota(&mut self, bytes: u64) {
        for directory in &mut self.directories {
            let limits = SegmentLimits {
                total_bytes: bytes,
                ..directory.log.limits()
            };
            directory.log.configure(limits);
        }
    }

    /// Copies a complete spool from the directory of another running process into the own directory.
    pub(super) fn import(
        &mut self,
        spool: SpoolId,
        predicate: &dyn Fn(&[u8]) -> bool,
    ) -> Option<PersistedSpool> {
        for path in process_directories(&self.root).ok()? {
            let is_locked_here = self
                .directories
                .iter()
                .any(|directory| directory.path == path);
            if is_locked_here {
                continue;
            }
            if let Some(imported) = self.import_from(&path, spool, predicate) {
                return Some(imported);
            }
        }
        None
    }

    fn import_from(
        &mut self,
        path: &Path,
        spool: SpoolId,
        predicate: &dyn Fn(&[u8]) -> bool,
    ) -> Option<PersistedSpool> {
        let files = ReadOnlyFiles(SegmentDirectory::new(path).ok()?);
        let limits = SegmentLimits {
            segment_bytes: MAX_SEGMENT_BYTES,
            total_bytes: u64::MAX,
        };
        let (mut source, recovery) = SegmentLog::open(files, limits).ok()?;
        let found = recovery
            .spools
            .into_iter()
            .find(|found| predicate(&found.begin))?;
        let source_id = found.spool;
        let persisted = PersistedSpool::from(found);
        let local_id = self.reserve_local_id();
        let own_log = self.own_log();
        match copy_spool(&mut source, source_id, &persisted, own_log, local_id) {
            Ok(()) => {
                self.set_own_location(spool, local_id);
                Some(persisted)
            }
            Err(_) => {
                let _ = own_log.remove_spool(local_id);
                None
            }
        }
    }
}

fn copy_spool(
    source: &mut SegmentLog<ReadOnlyFiles>,
    source_id: u64,
    persisted: &PersistedSpool,
    target: &mut SegmentLog<SegmentDirectory>,
    target_id: u64,
) -> Result<(), SegmentError> {
    target.begin_spool(target_id, &persisted.begin)?;
    for (page, recovered) in (0..).zip(&persisted.pages) {
        let content = source.read_page(source_id, page)?;
        target.append_page(target_id, recovered.rows, &content)?;
    }
    target.end_spool(target_id, &persisted.end)
}

fn report_losses(path: &Path, recovery: &Recovery) {
    let dropped = recovery.dropped_spools;
    let truncated = recovery.truncated_bytes;
    let missing = recovery.missing_segments;
    if dropped + missing > 0 || truncated > 0 {
        log_line!(
            "spools: {}: {dropped} results were not whole, {truncated} bytes torn, {missing} segments missing",
            path.display()
        );
    }
}

/// Returns the Unix time in nanoseconds, which distinguishes processes with the same id.
fn unix_time_nanos() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_nanos())
}

/// Returns the directories of all processes, sorted by name.
fn process_directories(root: &Path) -> io::Result<Vec<PathBuf>> {
    let mut paths = vec![];
    for entry in std::fs::read_dir(root)? {
        let entry = entry?;
        let has_prefix = entry
            .file_name()
            .to_str()
            .is_some_and(|name| name.starts_with(DIRECTORY_PREFIX));
        if has_prefix && entry.path().is_dir() {
            paths.push(entry.path());
        }
    }
    paths.sort();
    paths.truncate(MAX_DIRECTORIES);
    Ok(paths)
}

/// Locks a directory. Returns `None` if a running process has locked it.
fn lock(path: &Path) -> io::Result<Option<File>> {
    let file = File::create(path.join(LOCK_FILE))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// Segment files of another running process, which are read and never changed.
struct ReadOnlyFiles(SegmentDirectory);

impl SegmentFiles for ReadOnlyFiles {
    fn append(&mut self, _: u32, _: &[u8]) -> io::Result<()> {
        Err(io::ErrorKind::ReadOnlyFilesystem.into())
    }

    fn read(&mut self, segment: u32, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        self.0.read(segment, offset, length)
    }

    fn sync(&mut self, _: u32) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, _: u32, _: u64) -> io::Result<()> {
        Ok(())
    }

    fn remove(&mut self, _: u32) -> io::Result<()> {
        Ok(())
    }

    fn list(&mut self) -> io::Result<Vec<SegmentFile>> {
        self.0.list()
    }

    fn write_manifest(&mut self, _: &[u32]) -> io::Result<()> {
        Ok(())
    }

    fn read_manifest(&mut self) -> io::Result<Option<Vec<u32>>> {
        self.0.read_manifest()
    }
}
