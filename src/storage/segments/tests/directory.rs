use super::*;

#[test]
fn spools_in_a_directory_outlive_their_process_and_other_files_are_not_touched() {
    const SPOOLS: u64 = 30;
    let path = std::env::temp_dir().join(format!("hitchwinch-segments-{}", std::process::id()));
    let limits = SegmentLimits {
        segment_bytes: 2000,
        total_bytes: 1 << 20,
    };
    let open = || SegmentLog::open(SegmentDirectory::new(&path).unwrap(), limits).unwrap();
    let (mut log, _) = open();
    write_spools(&mut log, 0..SPOOLS, 6);
    std::fs::write(path.join("notes"), b"mine").unwrap();

    let (mut log, recovery) = open();
    assert_eq!(recovery.spools.len() as u64, SPOOLS);
    assert_eq!(recovery.dropped_spools, 0);
    assert_eq!(recovery.truncated_bytes, 0);
    for spool in 0..SPOOLS {
        check_spool(&mut log, spool, 6);
    }
    for spool in 0..SPOOLS {
        log.remove_spool(spool).unwrap();
    }
    assert_eq!(
        std::fs::read_dir(&path).unwrap().count(),
        2,
        "the notes and the manifest"
    );
    std::fs::remove_dir_all(path).unwrap();
}
