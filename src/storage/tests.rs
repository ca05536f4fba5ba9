use super::*;
use proptest::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

const KIND: RecordKind = RecordKind {
    tag: *b"TEST",
    version: 3,
};

/// Files in memory that lose power, or fail, at the step that is asked for. What is not synced is lost with the
/// power: a write keeps any part of its bytes, a rename may or may not have happened.
#[derive(Default)]
struct Faulty {
    /// What a reader finds now, and what is on the disk.
    seen: RefCell<BTreeMap<PathBuf, Vec<u8>>>,
    disk: RefCell<BTreeMap<PathBuf, Vec<u8>>>,
    steps: Cell<usize>,
    fail_at: Option<usize>,
    error: Option<io::ErrorKind>,
    /// Of the bytes of a write that the power cuts off.
    part: f64,
}

impl Faulty {
    fn step(&self) -> io::Result<bool> {
        self.steps.set(self.steps.get() + 1);
        if self.fail_at != Some(self.steps.get()) {
            return Ok(false);
        }
        match self.error {
            Some(kind) => Err(io::Error::from(kind)),
            None => Ok(true),
        }
    }

    fn off<T>() -> io::Result<T> {
        Err(io::Error::other("the power is off"))
    }

    /// The machine starts again.
    fn again(&self) -> Faulty {
        let disk = self.disk.borrow().clone();
        Faulty {
            seen: RefCell::new(disk.clone()),
            disk: RefCell::new(disk),
            ..Faulty::default()
        }
    }
}

impl FileSystem for &Faulty {
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let cut = self.step()?;
        let n = if cut {
            (bytes.len() as f64 * self.part) as usize
        } else {
            bytes.len()
        };
        self.seen
            .borrow_mut()
            .insert(path.into(), bytes[..n].to_vec());
        self.disk
            .borrow_mut()
            .insert(path.into(), bytes[..n].to_vec());
        if cut { Faulty::off() } else { Ok(()) }
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let cut = self.step()?;
        let bytes = self
            .seen
            .borrow_mut()
            .remove(from)
            .ok_or(io::ErrorKind::NotFound)?;
        self.seen.borrow_mut().insert(to.into(), bytes.clone());
        // Cut off here, it may be on the disk or not.
        if !cut || self.part > 0.5 {
            self.disk.borrow_mut().remove(from);
            self.disk.borrow_mut().insert(to.into(), bytes);
        }
        if cut { Faulty::off() } else { Ok(()) }
    }

    fn sync_directory(&self, _: &Path) -> io::Result<()> {
        if self.step()? { Faulty::off() } else { Ok(()) }
    }

    fn read(&self, path: &Path, most: usize) -> io::Result<Vec<u8>> {
        let mut bytes = self
            .seen
            .borrow()
            .get(path)
            .cloned()
            .ok_or(io::ErrorKind::NotFound)?;
        bytes.truncate(most);
        Ok(bytes)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.disk.borrow_mut().remove(path);
        self.seen
            .borrow_mut()
            .remove(path)
            .map(|_| ())
            .ok_or(io::ErrorKind::NotFound.into())
    }

    fn remove_abandoned(&self, _: &Path, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn exists(&self, path: &Path) -> bool {
        self.seen.borrow().contains_key(path)
    }
}

fn whole(content: &[u8]) -> Result<Vec<u8>, RecordError> {
    Ok(content.to_vec())
}

fn store(files: &Faulty) -> RecordStore<&Faulty> {
    RecordStore::new(files, Path::new("/state"), "members", KIND, 1000)
}

#[test]
fn the_power_goes_at_every_step_and_the_old_or_the_new_record_is_there() {
    for fail_at in 1..=4 {
        for part in [0.0, 0.3, 0.99, 1.0] {
            let mut files = Faulty::default();
            store(&files).save(b"old").unwrap();
            files.fail_at = Some(files.steps.get() + fail_at);
            files.part = part;
            let saved = store(&files).save(b"the new one");
            let again = files.again();
            let found = store(&again).load(whole).unwrap().unwrap();
            match saved {
                Ok(()) => assert_eq!(found, b"the new one", "a yes holds"),
                Err(_) => assert!(
                    found == b"old" || found == b"the new one",
                    "step {fail_at}, {part}"
                ),
            }
            // And it goes on from there.
            store(&again).save(b"later").unwrap();
            assert_eq!(store(&again).load(whole).unwrap().unwrap(), b"later");
        }
    }
}

#[test]
fn a_full_or_read_only_disk_is_an_error_that_leaves_the_record_before() {
    for kind in [
        io::ErrorKind::StorageFull,
        io::ErrorKind::ReadOnlyFilesystem,
        io::ErrorKind::Other,
    ] {
        for fail_at in 1..=2 {
            let mut files = Faulty::default();
            store(&files).save(b"old").unwrap();
            files.fail_at = Some(files.steps.get() + fail_at);
            files.error = Some(kind);
            assert_eq!(store(&files).save(b"new").unwrap_err().kind(), kind);
            assert_eq!(store(&files).load(whole).unwrap().unwrap(), b"old");
            assert_eq!(files.seen.borrow().len(), 1, "the draft takes no room");
        }
    }
    assert!(
        store(&Faulty::default()).save(&[0; 1001]).is_err(),
        "above its bound"
    );
}

/// What is found is told of, set aside, and the next record is written as if there had been none.
fn set_aside(bytes: &[u8]) -> RecordError {
    let files = Faulty::default();
    let path = Path::new("/state/members").to_path_buf();
    files.seen.borrow_mut().insert(path.clone(), bytes.to_vec());
    let Err(LoadError::Quarantined { aside, error, .. }) = store(&files).load(whole) else {
        panic!("{bytes:?}")
    };
    assert_eq!(files.seen.borrow()[&aside], bytes, "nothing is lost");
    assert!(store(&files).load(whole).unwrap().is_none());
    store(&files).save(b"next").unwrap();
    assert_eq!(store(&files).load(whole).unwrap().unwrap(), b"next");
    error
}

#[test]
fn a_torn_foreign_or_future_record_is_told_of_and_set_aside() {
    let good = record::encode(KIND, b"content");
    assert_eq!(
        set_aside(&good[..good.len() - 1]),
        RecordError::Torn {
            found: 34,
            wanted: 35
        }
    );
    assert_eq!(
        set_aside(&good[..5]),
        RecordError::Torn {
            found: 5,
            wanted: 28
        }
    );
    assert_eq!(
        set_aside(b""),
        RecordError::Torn {
            found: 0,
            wanted: 28
        }
    );
    assert_eq!(set_aside(b"<html>"), RecordError::Foreign);
    assert_eq!(set_aside(&[&good[..], b"x"].concat()), RecordError::Foreign);
    let later = record::encode(RecordKind { version: 4, ..KIND }, b"content");
    assert_eq!(
        set_aside(&later),
        RecordError::Future { found: 4, known: 3 }
    );
    let other = record::encode(
        RecordKind {
            tag: *b"ELSE",
            version: 1,
        },
        b"content",
    );
    assert_eq!(set_aside(&other), RecordError::Other("ELSE".into()));
    let mut long = good.clone();
    long[16] = 0xff;
    assert!(matches!(set_aside(&long), RecordError::Long(_)));
    let earlier = record::encode(RecordKind { version: 2, ..KIND }, b"content");
    assert_eq!(
        record::decode(KIND, &earlier, 1000).unwrap(),
        b"content",
        "older forms are read"
    );
}

#[test]
fn what_is_set_aside_is_bounded() {
    let files = Faulty::default();
    for i in 0..20u8 {
        files
            .seen
            .borrow_mut()
            .insert("/state/members".into(), vec![i]);
        assert!(store(&files).load(whole).is_err());
    }
    assert_eq!(files.seen.borrow().len(), ASIDE);
}

#[test]
fn on_a_real_disk_a_record_outlives_its_writer() {
    let folder = std::env::temp_dir().join(format!("hitchwinch-store-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let store = || RecordStore::new(LocalFileSystem, &folder, "members", KIND, 1 << 20);
    assert!(store().load(whole).unwrap().is_none());
    store().save(b"one").unwrap();
    store().save(b"two").unwrap();
    assert_eq!(store().load(whole).unwrap().unwrap(), b"two");
    assert_eq!(
        std::fs::read_dir(&folder).unwrap().count(),
        1,
        "no draft stays"
    );
    // One that another process left is removed when it is old, and not before.
    let draft = folder.join("members.draft-1");
    std::fs::write(&draft, b"half").unwrap();
    store().load(whole).unwrap();
    assert!(draft.exists());
    let old = std::time::SystemTime::now() - std::time::Duration::from_secs(61);
    std::fs::File::options()
        .write(true)
        .open(&draft)
        .unwrap()
        .set_modified(old)
        .unwrap();
    store().load(whole).unwrap();
    assert!(!draft.exists());
    std::fs::remove_dir_all(folder).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    #[test]
    fn no_flipped_bit_and_no_cut_reads_as_a_record(
        content in prop::collection::vec(any::<u8>(), 0..200), at in any::<prop::sample::Index>(), bit in 0..8u8,
    ) {
        let good = record::encode(KIND, &content);
        prop_assert_eq!(record::decode(KIND, &good, 1000).unwrap(), &content[..]);
        let mut flipped = good.clone();
        flipped[at.index(good.len())] ^= 1 << bit;
        prop_assert!(record::decode(KIND, &flipped, 1000).is_err());
        prop_assert!(record::decode(KIND, &good[..at.index(good.len())], 1000).is_err());
    }
}
