use super::*;
use proptest::prelude::*;
use std::cell::RefCell;
use std::rc::Rc;

/// Segments in memory, on a disk of so many bytes, that fail or lose power at the step asked for. What was appended
/// is there after a kill; of the append that was cut off, any part.
#[derive(Clone, Default)]
struct Faulty(Rc<RefCell<Disk>>);

#[derive(Default)]
struct Disk {
    files: BTreeMap<u32, Vec<u8>>,
    named: Option<Vec<u32>>,
    room: Option<usize>,
    steps: usize,
    kill_at: Option<usize>,
    fail_at: Option<(usize, io::ErrorKind)>,
    part: f64,
    dead: bool,
}

impl Disk {
    /// The part of a write that is done, and how the step ends.
    fn step(&mut self) -> (f64, io::Result<()>) {
        self.steps += 1;
        if self.dead || self.kill_at == Some(self.steps) {
            let part = if self.dead { 0.0 } else { self.part };
            self.dead = true;
            return (part, Err(io::Error::other("killed")));
        }
        match self.fail_at {
            Some((at, kind)) if at == self.steps => (self.part, Err(kind.into())),
            _ => (1.0, Ok(())),
        }
    }
}

impl Faulty {
    fn again(&self) -> Faulty {
        let (files, named) = (self.0.borrow().files.clone(), self.0.borrow().named.clone());
        Faulty(Rc::new(RefCell::new(Disk {
            files,
            named,
            ..Disk::default()
        })))
    }
}

impl BlockDevice for Faulty {
    fn append(&mut self, segment: u32, bytes: &[u8]) -> io::Result<()> {
        let mut d = self.0.borrow_mut();
        let (part, result) = d.step();
        let used: usize = d.files.values().map(Vec::len).sum();
        let room = d.room.map_or(usize::MAX, |r| r.saturating_sub(used));
        let wanted = (bytes.len() as f64 * part) as usize;
        d.files
            .entry(segment)
            .or_default()
            .extend(&bytes[..wanted.min(room)]);
        result?;
        if wanted > room {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn read(&mut self, segment: u32, at: u64, length: usize) -> io::Result<Vec<u8>> {
        let d = self.0.borrow();
        let file = d.files.get(&segment).ok_or(io::ErrorKind::NotFound)?;
        let from = (at as usize).min(file.len());
        Ok(file[from..(from + length).min(file.len())].to_vec())
    }

    fn sync(&mut self, _: u32) -> io::Result<()> {
        self.0.borrow_mut().step().1
    }

    fn truncate(&mut self, segment: u32, length: u64) -> io::Result<()> {
        let mut d = self.0.borrow_mut();
        d.step().1?;
        if let Some(file) = d.files.get_mut(&segment) {
            file.truncate(length as usize);
        }
        Ok(())
    }

    fn remove(&mut self, segment: u32) -> io::Result<()> {
        let mut d = self.0.borrow_mut();
        d.step().1?;
        d.files
            .remove(&segment)
            .map(|_| ())
            .ok_or(io::ErrorKind::NotFound.into())
    }

    fn name(&mut self, segments: &[u32]) -> io::Result<()> {
        let mut d = self.0.borrow_mut();
        // Whole or as before: when the power goes at it, either.
        let (part, result) = d.step();
        if part > 0.5 {
            d.named = Some(segments.to_vec());
        }
        result
    }

    fn named(&mut self) -> io::Result<Option<Vec<u32>>> {
        Ok(self.0.borrow().named.clone())
    }

    fn list(&mut self) -> io::Result<Vec<(u32, u64)>> {
        Ok(self
            .0
            .borrow()
            .files
            .iter()
            .map(|(n, f)| (*n, f.len() as u64))
            .collect())
    }
}

const RULES: Rules = Rules {
    segment: 600,
    most: 1 << 20,
};

fn page(spool: u64, page: u32) -> Vec<u8> {
    format!("spool {spool} page {page} ").repeat(8).into_bytes()
}

fn write<V: BlockDevice>(s: &mut Segments<V>, spool: u64, pages: u32) -> Result<(), SegmentError> {
    s.begin(spool, format!("begin {spool}").as_bytes())?;
    for p in 0..pages {
        s.page(spool, p + 1, &page(spool, p))?;
    }
    s.end(spool, b"end")
}

fn check<V: BlockDevice>(s: &mut Segments<V>, spool: u64, pages: u32) {
    for p in 0..pages {
        assert_eq!(s.read(spool, p).unwrap(), page(spool, p), "spool {spool}");
    }
    assert!(matches!(
        s.read(spool, pages),
        Err(SegmentError::Unknown(_))
    ));
}

#[test]
fn killed_at_every_write_of_a_spool_whole_ones_stay_and_no_half_looks_whole() {
    let steps = {
        let files = Faulty::default();
        let (mut s, _) = Segments::open(files.clone(), RULES).unwrap();
        (0..4).for_each(|n| write(&mut s, n, 5).unwrap());
        files.0.borrow().steps
    };
    for kill_at in 1..=steps {
        for part in [0.0, 0.4, 0.99, 1.0] {
            let files = Faulty::default();
            (files.0.borrow_mut().kill_at, files.0.borrow_mut().part) = (Some(kill_at), part);
            let Ok((mut s, _)) = Segments::open(files.clone(), RULES) else {
                continue;
            };
            let ended: Vec<u64> = (0..4)
                .take_while(|n| write(&mut s, *n, 5).is_ok())
                .collect();
            let (mut s, found) = Segments::open(files.again(), RULES).unwrap();
            let whole: Vec<u64> = found.whole.iter().map(|f| f.spool).collect();
            // The last may have been ended by the very write that was cut off, if all of it was there.
            assert!(
                whole.starts_with(&ended) && whole.len() <= ended.len() + 1,
                "{kill_at} {part}: {whole:?}"
            );
            assert!(whole.len() == ended.len() || part == 1.0);
            for f in &found.whole {
                assert_eq!(
                    (f.begin.clone(), f.pages.len()),
                    (format!("begin {}", f.spool).into_bytes(), 5)
                );
                check(&mut s, f.spool, 5);
            }
            // And it goes on from there.
            write(&mut s, 99, 3).unwrap();
            check(&mut s, 99, 3);
        }
    }
}

#[test]
fn a_disk_that_fills_or_fails_is_an_error_and_what_was_whole_stays_readable() {
    for kind in [
        io::ErrorKind::StorageFull,
        io::ErrorKind::ReadOnlyFilesystem,
        io::ErrorKind::Other,
    ] {
        for fail_at in 1..40 {
            let files = Faulty::default();
            let (mut s, _) = Segments::open(files.clone(), RULES).unwrap();
            let now = files.0.borrow().steps;
            (files.0.borrow_mut().fail_at, files.0.borrow_mut().part) =
                (Some((now + fail_at, kind)), 0.5);
            let mut whole = vec![];
            for n in 0..6 {
                match write(&mut s, n, 4) {
                    Ok(()) => whole.push(n),
                    Err(SegmentError::Full) => assert_eq!(kind, io::ErrorKind::StorageFull),
                    Err(SegmentError::Disk(e)) => assert_eq!(e.kind(), kind),
                    Err(e) => panic!("{e}"),
                }
            }
            assert!(
                whole.len() >= 5,
                "one write failed, and one spool with it: {whole:?}"
            );
            whole.iter().for_each(|n| check(&mut s, *n, 4));
            let (mut s, found) = Segments::open(files.again(), RULES).unwrap();
            assert_eq!(
                found.whole.iter().map(|f| f.spool).collect::<Vec<_>>(),
                whole
            );
            whole.iter().for_each(|n| check(&mut s, *n, 4));
        }
    }
}

#[test]
fn a_small_disk_fills_and_room_comes_back() {
    let files = Faulty::default();
    files.0.borrow_mut().room = Some(3000);
    let (mut s, _) = Segments::open(files.clone(), RULES).unwrap();
    let stored: Vec<u64> = (0..100)
        .take_while(|n| write(&mut s, *n, 4).is_ok())
        .collect();
    assert!((3..20).contains(&stored.len()));
    s.forget(stored.len() as u64).unwrap(); // the one that did not fit
    stored.iter().for_each(|n| s.forget(*n).unwrap());
    assert_eq!((s.used(), s.len()), (0, 0));
    assert!(files.0.borrow().files.is_empty(), "no segment stays");
    write(&mut s, 500, 4).unwrap();
    check(&mut s, 500, 4);
}

#[test]
fn the_manifest_tells_what_is_ours_what_is_left_over_and_what_was_lost() {
    let files = Faulty::default();
    let (mut s, _) = Segments::open(files.clone(), RULES).unwrap();
    (0..6).for_each(|n| write(&mut s, n, 5).unwrap());
    let again = files.again();
    let numbers: Vec<u32> = again.0.borrow().files.keys().copied().collect();
    assert!(numbers.len() > 3);
    // One that it does not name is a rest of before; one that it names and is not there was lost.
    again.0.borrow_mut().files.insert(99, vec![1, 2, 3]);
    again.0.borrow_mut().files.remove(&numbers[0]);
    let (mut s, found) = Segments::open(again.clone(), RULES).unwrap();
    assert_eq!(
        (found.missing, again.0.borrow().files.contains_key(&99)),
        (1, false)
    );
    assert!(!found.whole.is_empty() && found.whole.len() < 6);
    found.whole.iter().for_each(|f| check(&mut s, f.spool, 5));
    // Without a manifest nothing is ours, and nothing is touched.
    let foreign = files.again();
    foreign.0.borrow_mut().named = None;
    let before = foreign.0.borrow().files.clone();
    assert!(Segments::open(foreign.clone(), RULES).is_err());
    assert_eq!(foreign.0.borrow().files, before);
}

#[test]
fn the_quota_holds_whatever_the_disk_has() {
    let (mut s, _) = Segments::open(
        Faulty::default(),
        Rules {
            most: 2000,
            ..RULES
        },
    )
    .unwrap();
    let mut n = 0;
    let e = loop {
        match write(&mut s, n, 4) {
            Ok(()) => n += 1,
            Err(e) => break e,
        }
    };
    assert!(matches!(e, SegmentError::Quota(2000)) && s.used() <= 2000);
    (0..n).for_each(|n| check(&mut s, n, 4));
}

#[test]
fn a_torn_page_is_told_of_and_the_others_are_read() {
    let files = Faulty::default();
    let (mut s, _) = Segments::open(files.clone(), RULES).unwrap();
    (0..4).for_each(|n| write(&mut s, n, 5).unwrap());
    // A byte of an older segment's page, which a start does not read.
    let at = s.spools[&0].pages[2];
    files.0.borrow_mut().files.get_mut(&at.segment).unwrap()[at.at as usize + HEAD + 3] ^= 1;
    let (mut s, found) = Segments::open(files.again(), RULES).unwrap();
    assert_eq!(found.whole.len(), 4);
    assert!(matches!(
        s.read(0, 2),
        Err(SegmentError::Torn {
            spool: 0,
            page: 2,
            ..
        })
    ));
    assert_eq!(s.read(0, 1).unwrap(), page(0, 1));
    (1..4).for_each(|n| check(&mut s, n, 5));
}

#[test]
fn dead_room_is_won_back_a_little_at_a_time_and_a_kill_in_between_loses_nothing() {
    // Large and small spools in turns: the large ones die, and the small ones hold every segment.
    let fill = |s: &mut Segments<Faulty>| {
        for n in 0..20 {
            write(s, 2 * n, 20).unwrap();
            write(s, 2 * n + 1, 1).unwrap();
        }
        (0..20).for_each(|n| s.forget(2 * n).unwrap());
    };
    let steps = {
        let files = Faulty::default();
        let (mut s, _) = Segments::open(files.clone(), RULES).unwrap();
        fill(&mut s);
        let (before, used) = (files.0.borrow().steps, s.used());
        while s.compact(300).unwrap() {}
        assert!(s.used() * 3 < used * 2, "{} of {used}", s.used());
        (0..20).for_each(|n| check(&mut s, 2 * n + 1, 1));
        (before, files.0.borrow().steps)
    };
    for kill_at in steps.0 + 1..=steps.1 {
        let files = Faulty::default();
        (files.0.borrow_mut().kill_at, files.0.borrow_mut().part) = (Some(kill_at), 0.7);
        let (mut s, _) = Segments::open(files.clone(), RULES).unwrap();
        fill(&mut s);
        while s.compact(300).is_ok_and(|more| more) {}
        let (mut s, found) = Segments::open(files.again(), RULES).unwrap();
        let odd = found.whole.iter().filter(|f| f.spool % 2 == 1).count();
        assert_eq!(odd, 20, "killed at {kill_at}");
        (0..20).for_each(|n| check(&mut s, 2 * n + 1, 1));
    }
}

#[test]
fn on_a_real_folder_spools_outlive_their_process_and_foreign_files_are_left_alone() {
    let path = std::env::temp_dir().join(format!("hitchwinch-segments-{}", std::process::id()));
    let open = || {
        Segments::open(
            Directory::new(&path).unwrap(),
            Rules {
                segment: 2000,
                most: 1 << 20,
            },
        )
        .unwrap()
    };
    let (mut s, _) = open();
    (0..30).for_each(|n| write(&mut s, n, 6).unwrap());
    std::fs::write(path.join("notes"), b"mine").unwrap();
    let (mut s, found) = open();
    assert_eq!((found.whole.len(), found.dropped, found.torn), (30, 0, 0));
    (0..30).for_each(|n| check(&mut s, n, 6));
    (0..30).for_each(|n| s.forget(n).unwrap());
    assert_eq!(
        std::fs::read_dir(&path).unwrap().count(),
        2,
        "the notes and the manifest"
    );
    std::fs::remove_dir_all(path).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// Whatever is written, forgotten and written anew, interleaved, what is there reads as it was written, now and
    /// after a start.
    #[test]
    fn segments_hold_what_was_put_in(steps in prop::collection::vec((0..8u64, 0..4u8), 1..120)) {
        let files = Faulty::default();
        let (mut s, _) = Segments::open(files.clone(), RULES).unwrap();
        // Pages so far, and whether it has ended.
        let mut model: BTreeMap<u64, (u32, bool)> = BTreeMap::new();
        for (spool, what) in steps {
            match (what, model.get(&spool).copied()) {
                (0 | 1, None) => {
                    s.begin(spool, b"b").unwrap();
                    model.insert(spool, (0, false));
                }
                (0 | 1, Some((n, false))) => {
                    s.page(spool, 1, &page(spool, n)).unwrap();
                    model.insert(spool, (n + 1, false));
                }
                (2, Some((n, false))) => {
                    s.end(spool, b"e").unwrap();
                    model.insert(spool, (n, true));
                }
                (3, Some((_, true))) => {
                    s.forget(spool).unwrap();
                    model.remove(&spool);
                }
                _ => drop(s.compact(500).unwrap()),
            }
            prop_assert_eq!(s.len(), model.len());
        }
        for (spool, (n, _)) in &model {
            check(&mut s, *spool, *n);
        }
        let (mut s, found) = Segments::open(files.again(), RULES).unwrap();
        for (spool, (n, ended)) in &model {
            if *ended {
                prop_assert!(found.whole.iter().any(|f| f.spool == *spool));
                check(&mut s, *spool, *n);
            }
        }
    }
}
