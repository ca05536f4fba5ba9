use super::*;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

const KIND: RecordKind = RecordKind {
    tag: *b"TEST",
    version: 3,
};
const MAX_CONTENT_BYTES: usize = 1000;

type FileMap = BTreeMap<PathBuf, Vec<u8>>;

/// An in-memory file system that loses power, or fails, at a given step. Unsynced data is lost with the
/// power: a write leaves any part of its bytes, and a rename may or may not have happened.
#[derive(Default)]
struct FaultyFileSystem {
    /// Files that a reader finds now.
    visible: RefCell<FileMap>,
    /// Files that are found after a restart.
    durable: RefCell<FileMap>,
    steps: Cell<usize>,
    fail_at: Option<usize>,
    /// Error of the failing step. If `None`, the power fails at that step.
    error: Option<io::ErrorKind>,
    /// Fraction of the step that is done when the power fails.
    completed_fraction: f64,
}

/// Whether the power fails during a step.
#[derive(Clone, Copy, PartialEq)]
enum Power {
    On,
    Fails,
}

impl FaultyFileSystem {
    fn step(&self) -> io::Result<Power> {
        self.steps.set(self.steps.get() + 1);
        if self.fail_at != Some(self.steps.get()) {
            return Ok(Power::On);
        }
        match self.error {
            Some(kind) => Err(io::Error::from(kind)),
            None => Ok(Power::Fails),
        }
    }

    fn end_step(power: Power) -> io::Result<()> {
        match power {
            Power::On => Ok(()),
            Power::Fails => Err(io::Error::other("power failure")),
        }
    }

    /// Returns the file system as found after a restart of the machine.
    fn restart(&self) -> FaultyFileSystem {
        let files = self.durable.borrow().clone();
        FaultyFileSystem {
            visible: RefCell::new(files.clone()),
            durable: RefCell::new(files),
            ..FaultyFileSystem::default()
        }
    }
}

impl FileSystem for &FaultyFileSystem {
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let power = self.step()?;
        let written = match power {
            Power::On => bytes.len(),
            Power::Fails => (bytes.len() as f64 * self.completed_fraction) as usize,
        };
        let content = bytes[..written].to_vec();
        self.visible
            .borrow_mut()
            .insert(path.into(), content.clone());
        self.durable.borrow_mut().insert(path.into(), content);
        FaultyFileSystem::end_step(power)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let power = self.step()?;
        let bytes = self
            .visible
            .borrow_mut()
            .remove(from)
            .ok_or(io::ErrorKind::NotFound)?;
        self.visible.borrow_mut().insert(to.into(), bytes.clone());
        // If the power fails, the rename may or may not be durable.
        if power == Power::On || self.completed_fraction > 0.5 {
            self.durable.borrow_mut().remove(from);
            self.durable.borrow_mut().insert(to.into(), bytes);
        }
        FaultyFileSystem::end_step(power)
    }

    fn sync_directory(&self, _: &Path) -> io::Result<()> {
        FaultyFileSystem::end_step(self.step()?)
    }

    fn read(&self, path: &Path, max_bytes: usize) -> io::Result<Vec<u8>> {
        let mut bytes = self
            .visible
            .borrow()
            .get(path)
            .cloned()
            .ok_or(io::ErrorKind::NotFound)?;
        bytes.truncate(max_bytes);
        Ok(bytes)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.durable.borrow_mut().remove(path);
        let removed = self.visible.borrow_mut().remove(path);
        removed.map(|_| ()).ok_or(io::ErrorKind::NotFound.into())
    }

    fn remove_abandoned(&self, _: &Path, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn exists(&self, path: &Path) -> bool {
        self.visible.borrow().contains_key(path)
    }
}

fn unparsed(content: &[u8]) -> Result<Vec<u8>, RecordError> {
    Ok(content.to_vec())
}

fn store(files: &FaultyFileSystem) -> RecordStore<&FaultyFileSystem> {
    RecordStore::new(
        files,
        Path::new("/state"),
        "members",
        KIND,
        MAX_CONTENT_BYTES,
    )
}

fn load(files: &FaultyFileSystem) -> Option<Vec<u8>> {
    store(files).load(unparsed).unwrap()
}

#[test]
fn a_power_failure_at_any_step_leaves_the_old_or_the_new_record() {
    const STEPS_OF_A_SAVE: usize = 4;
    for fail_at in 1..=STEPS_OF_A_SAVE {
        for completed_fraction in [0.0, 0.3, 0.99, 1.0] {
            let mut files = FaultyFileSystem::default();
            store(&files).save(b"old").unwrap();
            files.fail_at = Some(files.steps.get() + fail_at);
            files.completed_fraction = completed_fraction;
            let saved = store(&files).save(b"the new one");
            let restarted = files.restart();
            let found = load(&restarted).unwrap();
            match saved {
                Ok(()) => assert_eq!(found, b"the new one", "a successful save is durable"),
                Err(_) => assert!(
                    found == b"old" || found == b"the new one",
                    "step {fail_at}, {completed_fraction}"
                ),
            }
            // The store still works after the restart.
            store(&restarted).save(b"later").unwrap();
            assert_eq!(load(&restarted).unwrap(), b"later");
        }
    }
}

#[test]
fn a_full_or_read_only_disk_is_an_error_and_the_previous_record_stays() {
    for kind in [
        io::ErrorKind::StorageFull,
        io::ErrorKind::ReadOnlyFilesystem,
        io::ErrorKind::Other,
    ] {
        for fail_at in 1..=2 {
            let mut files = FaultyFileSystem::default();
            store(&files).save(b"old").unwrap();
            files.fail_at = Some(files.steps.get() + fail_at);
            files.error = Some(kind);
            assert_eq!(store(&files).save(b"new").unwrap_err().kind(), kind);
            assert_eq!(load(&files).unwrap(), b"old");
            assert_eq!(files.visible.borrow().len(), 1, "the draft is removed");
        }
    }
    let too_long = [0; MAX_CONTENT_BYTES + 1];
    assert!(store(&FaultyFileSystem::default()).save(&too_long).is_err());
}

/// Loads a record that cannot be read, checks that it is quarantined unchanged and that the next record is
/// saved as if there had been none, and returns the error.
fn quarantine(bytes: &[u8]) -> RecordError {
    let files = FaultyFileSystem::default();
    let path = PathBuf::from("/state/members");
    files.visible.borrow_mut().insert(path, bytes.to_vec());
    let Err(LoadError::Quarantined {
        quarantine, source, ..
    }) = store(&files).load(unparsed)
    else {
        panic!("{bytes:?}")
    };
    assert_eq!(
        files.visible.borrow()[&quarantine],
        bytes,
        "the quarantined file is unchanged"
    );
    assert!(load(&files).is_none());
    store(&files).save(b"next").unwrap();
    assert_eq!(load(&files).unwrap(), b"next");
    source
}

#[test]
fn a_truncated_record_is_quarantined() {
    let record = record::encode(KIND, b"content");
    for (bytes, expected) in [(&record[..34], 35), (&record[..5], 28), (&record[..0], 28)] {
        let found = bytes.len() as u64;
        assert_eq!(
            quarantine(bytes),
            RecordError::Truncated { found, expected }
        );
    }
}

#[test]
fn a_file_of_another_kind_is_quarantined() {
    let record = record::encode(KIND, b"content");
    assert_eq!(quarantine(b"<html>"), RecordError::NotARecord);
    assert_eq!(
        quarantine(&[&record[..], b"x"].concat()),
        RecordError::NotARecord
    );
    let later_version = RecordKind { version: 4, ..KIND };
    assert_eq!(
        quarantine(&record::encode(later_version, b"content")),
        RecordError::UnsupportedVersion {
            found: 4,
            supported: 3
        }
    );
    let other_kind = RecordKind {
        tag: *b"ELSE",
        version: 1,
    };
    assert_eq!(
        quarantine(&record::encode(other_kind, b"content")),
        RecordError::WrongTag("ELSE".into())
    );
    let mut too_long = record;
    too_long[16] = 0xff;
    assert!(matches!(quarantine(&too_long), RecordError::TooLong(_)));
}

#[test]
fn the_number_of_quarantined_records_is_limited() {
    let files = FaultyFileSystem::default();
    for content in 0..20u8 {
        let path = PathBuf::from("/state/members");
        files.visible.borrow_mut().insert(path, vec![content]);
        assert!(store(&files).load(unparsed).is_err());
    }
    assert_eq!(files.visible.borrow().len(), MAX_QUARANTINED);
}

#[test]
fn a_record_on_a_real_disk_outlives_its_writer() {
    let directory = std::env::temp_dir().join(format!("hitchwinch-store-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let store = || RecordStore::new(LocalFileSystem, &directory, "members", KIND, 1 << 20);
    assert!(store().load(unparsed).unwrap().is_none());
    store().save(b"one").unwrap();
    store().save(b"two").unwrap();
    assert_eq!(store().load(unparsed).unwrap().unwrap(), b"two");
    assert_eq!(
        std::fs::read_dir(&directory).unwrap().count(),
        1,
        "no draft remains"
    );

    // The draft of another process is removed only when it is old.
    let draft = directory.join("members.draft-1");
    std::fs::write(&draft, b"half").unwrap();
    store().load(unparsed).unwrap();
    assert!(draft.exists());
    let old = std::time::SystemTime::now() - std::time::Duration::from_secs(61);
    std::fs::File::options()
        .write(true)
        .open(&draft)
        .unwrap()
        .set_modified(old)
        .unwrap();
    store().load(unparsed).unwrap();
    assert!(!draft.exists());
    std::fs::remove_dir_all(directory).unwrap();
}
