use super::*;

const PAIRS: u64 = 20;
const MAX_BYTES: u64 = 300;

/// Writes large (even ids) and small spools (odd ids) alternately and removes the large ones, so that every
/// segment keeps a small one.
fn fill_with_mostly_dead_segments(log: &mut SegmentLog<FaultyFiles>) {
    for pair in 0..PAIRS {
        write_spool(log, 2 * pair, 20).unwrap();
        write_spool(log, 2 * pair + 1, 1).unwrap();
    }
    for pair in 0..PAIRS {
        log.remove_spool(2 * pair).unwrap();
    }
}

fn check_small_spools(log: &mut SegmentLog<FaultyFiles>) {
    for pair in 0..PAIRS {
        check_spool(log, 2 * pair + 1, 1);
    }
}

#[test]
fn compaction_frees_dead_bytes_and_a_kill_at_any_write_of_it_loses_nothing() {
    let files = FaultyFiles::default();
    let (mut log, _) = open(&files);
    fill_with_mostly_dead_segments(&mut log);
    let steps_before = files.disk().steps;
    let used_before = log.used_bytes();
    while log.compact(MAX_BYTES).unwrap() {}
    let steps_after = files.disk().steps;
    assert!(
        log.used_bytes() * 3 < used_before * 2,
        "{} of {used_before}",
        log.used_bytes()
    );
    check_small_spools(&mut log);

    for kill_at in steps_before + 1..=steps_after {
        let files = FaultyFiles::killed_at(kill_at, 0.7);
        let (mut log, _) = open(&files);
        fill_with_mostly_dead_segments(&mut log);
        while log.compact(MAX_BYTES).is_ok_and(|more| more) {}
        let (mut log, recovery) = open(&files.restart());
        let small = recovered_ids(&recovery)
            .into_iter()
            .filter(|spool| spool % 2 == 1)
            .count();
        assert_eq!(small as u64, PAIRS, "killed at {kill_at}");
        check_small_spools(&mut log);
    }
}
