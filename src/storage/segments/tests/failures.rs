use super::*;
use std::io;

#[test]
fn a_failing_write_is_an_error_and_complete_spools_stay_readable() {
    for kind in [
        io::ErrorKind::StorageFull,
        io::ErrorKind::ReadOnlyFilesystem,
        io::ErrorKind::Other,
    ] {
        for fail_at in 1..40 {
            check_failing_write(kind, fail_at);
        }
    }
}

/// Writes six spools while one write fails.
fn check_failing_write(kind: io::ErrorKind, fail_at: usize) {
    const PAGES: u32 = 4;
    let files = FaultyFiles::default();
    let (mut log, _) = open(&files);
    let steps = files.disk().steps;
    files.disk_mut().fail_at = Some((steps + fail_at, kind));
    files.disk_mut().completed_fraction = 0.5;
    let mut complete = vec![];
    for spool in 0..6 {
        match write_spool(&mut log, spool, PAGES) {
            Ok(()) => complete.push(spool),
            Err(SegmentError::DiskFull) => assert_eq!(kind, io::ErrorKind::StorageFull),
            Err(SegmentError::Io(error)) => assert_eq!(error.kind(), kind),
            Err(error) => panic!("{error}"),
        }
    }
    assert!(
        complete.len() >= 5,
        "one write failed, and one spool with it: {complete:?}"
    );
    for spool in &complete {
        check_spool(&mut log, *spool, PAGES);
    }
    let (mut log, recovery) = open(&files.restart());
    assert_eq!(recovered_ids(&recovery), complete);
    for spool in &complete {
        check_spool(&mut log, *spool, PAGES);
    }
}

#[test]
fn a_full_disk_has_capacity_again_when_spools_are_removed() {
    let files = FaultyFiles::default();
    files.disk_mut().capacity = Some(3000);
    let (mut log, _) = open(&files);
    let stored: Vec<u64> = (0..100)
        .take_while(|spool| write_spool(&mut log, *spool, 4).is_ok())
        .collect();
    assert!((3..20).contains(&stored.len()));
    let incomplete = stored.len() as u64;
    log.remove_spool(incomplete).unwrap();
    for spool in &stored {
        log.remove_spool(*spool).unwrap();
    }
    assert_eq!(log.used_bytes(), 0);
    assert_eq!(log.len(), 0);
    assert!(files.disk().files.is_empty(), "no segment remains");
    write_spool(&mut log, 500, 4).unwrap();
    check_spool(&mut log, 500, 4);
}

#[test]
fn the_quota_holds_whatever_the_capacity_of_the_disk() {
    const QUOTA: u64 = 2000;
    let limits = SegmentLimits {
        total_bytes: QUOTA,
        ..LIMITS
    };
    let (mut log, _) = SegmentLog::open(FaultyFiles::default(), limits).unwrap();
    let mut spools = 0;
    let error = loop {
        match write_spool(&mut log, spools, 4) {
            Ok(()) => spools += 1,
            Err(error) => break error,
        }
    };
    assert!(matches!(error, SegmentError::Quota(QUOTA)));
    assert!(log.used_bytes() <= QUOTA);
    for spool in 0..spools {
        check_spool(&mut log, spool, 4);
    }
}
