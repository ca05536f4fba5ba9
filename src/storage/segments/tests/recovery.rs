use super::*;
use crate::storage::segments::frame::HEADER_BYTES;
use proptest::prelude::*;
use std::collections::BTreeMap;

#[test]
fn after_a_kill_at_any_write_complete_spools_remain_and_no_incomplete_one_looks_complete() {
    const SPOOLS: u64 = 4;
    const PAGES: u32 = 5;
    let steps = {
        let files = FaultyFiles::default();
        let (mut log, _) = open(&files);
        write_spools(&mut log, 0..SPOOLS, PAGES);
        files.disk().steps
    };
    for kill_at in 1..=steps {
        for completed_fraction in [0.0, 0.4, 0.99, 1.0] {
            let files = FaultyFiles::killed_at(kill_at, completed_fraction);
            let Ok((mut log, _)) = SegmentLog::open(files.clone(), LIMITS) else {
                continue;
            };
            let ended: Vec<u64> = (0..SPOOLS)
                .take_while(|spool| write_spool(&mut log, *spool, PAGES).is_ok())
                .collect();
            let (mut log, recovery) = open(&files.restart());
            let recovered = recovered_ids(&recovery);
            // The interrupted write may have ended one more spool, if it was done completely.
            assert!(
                recovered.starts_with(&ended) && recovered.len() <= ended.len() + 1,
                "{kill_at} {completed_fraction}: {recovered:?}"
            );
            assert!(recovered.len() == ended.len() || completed_fraction == 1.0);
            for spool in &recovery.spools {
                let begin = format!("begin {}", spool.spool).into_bytes();
                assert_eq!(spool.begin, begin);
                assert_eq!(spool.pages.len(), PAGES as usize);
                check_spool(&mut log, spool.spool, PAGES);
            }
            // The log still works after the restart.
            write_spool(&mut log, 99, 3).unwrap();
            check_spool(&mut log, 99, 3);
        }
    }
}

#[test]
fn the_manifest_distinguishes_leftover_segments_from_lost_ones() {
    const STRAY_SEGMENT: u32 = 99;
    let files = FaultyFiles::default();
    let (mut log, _) = open(&files);
    write_spools(&mut log, 0..6, 5);
    let restarted = files.restart();
    let segments: Vec<u32> = restarted.disk().files.keys().copied().collect();
    assert!(segments.len() > 3);
    restarted
        .disk_mut()
        .files
        .insert(STRAY_SEGMENT, vec![1, 2, 3]);
    restarted.disk_mut().files.remove(&segments[0]);
    let (mut log, recovery) = open(&restarted);
    assert_eq!(recovery.missing_segments, 1);
    assert!(!restarted.disk().files.contains_key(&STRAY_SEGMENT));
    assert!(!recovery.spools.is_empty());
    assert!(recovery.spools.len() < 6);
    for spool in recovered_ids(&recovery) {
        check_spool(&mut log, spool, 5);
    }
}

#[test]
fn segments_without_a_manifest_are_not_touched() {
    let files = FaultyFiles::default();
    let (mut log, _) = open(&files);
    write_spools(&mut log, 0..6, 5);
    let foreign = files.restart();
    foreign.disk_mut().manifest = None;
    let before = foreign.disk().files.clone();
    assert!(SegmentLog::open(foreign.clone(), LIMITS).is_err());
    assert_eq!(foreign.disk().files, before);
}

#[test]
fn a_corrupt_page_is_reported_and_the_others_are_read() {
    let files = FaultyFiles::default();
    let (mut log, _) = open(&files);
    write_spools(&mut log, 0..4, 5);
    // Corrupts a byte of a page in an older segment, whose contents a recovery does not read.
    let page = log.index.spools[&0].pages[2];
    let corrupt_byte = page.offset as usize + HEADER_BYTES + 3;
    files.disk_mut().files.get_mut(&page.segment).unwrap()[corrupt_byte] ^= 1;
    let (mut log, recovery) = open(&files.restart());
    assert_eq!(recovery.spools.len(), 4);
    assert!(matches!(
        log.read_page(0, 2),
        Err(SegmentError::CorruptPage {
            spool: 0,
            page: 2,
            ..
        })
    ));
    assert_eq!(log.read_page(0, 1).unwrap(), page_content(0, 1));
    for spool in 1..4 {
        check_spool(&mut log, spool, 5);
    }
}

/// Expected state of a spool in the property test.
#[derive(Clone, Copy)]
struct ExpectedSpool {
    pages: u32,
    complete: bool,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// Spools are written, removed and compacted in any interleaving; every stored page reads as it was
    /// written, before and after a restart.
    #[test]
    fn stored_spools_read_as_they_were_written(operations in prop::collection::vec((0..8u64, 0..4u8), 1..120)) {
        let files = FaultyFiles::default();
        let (mut log, _) = open(&files);
        let mut expected: BTreeMap<u64, ExpectedSpool> = BTreeMap::new();
        for (spool, operation) in operations {
            match (operation, expected.get(&spool).copied()) {
                (0 | 1, None) => {
                    log.begin_spool(spool, b"b").unwrap();
                    expected.insert(spool, ExpectedSpool { pages: 0, complete: false });
                }
                (0 | 1, Some(ExpectedSpool { pages, complete: false })) => {
                    log.append_page(spool, 1, &page_content(spool, pages)).unwrap();
                    expected.insert(spool, ExpectedSpool { pages: pages + 1, complete: false });
                }
                (2, Some(ExpectedSpool { pages, complete: false })) => {
                    log.end_spool(spool, b"e").unwrap();
                    expected.insert(spool, ExpectedSpool { pages, complete: true });
                }
                (3, Some(ExpectedSpool { complete: true, .. })) => {
                    log.remove_spool(spool).unwrap();
                    expected.remove(&spool);
                }
                _ => {
                    log.compact(500).unwrap();
                }
            }
            prop_assert_eq!(log.len(), expected.len());
        }
        for (spool, stored) in &expected {
            check_spool(&mut log, *spool, stored.pages);
        }
        let (mut log, recovery) = open(&files.restart());
        let recovered = recovered_ids(&recovery);
        for (spool, stored) in &expected {
            if stored.complete {
                prop_assert!(recovered.contains(spool));
                check_spool(&mut log, *spool, stored.pages);
            }
        }
    }
}
