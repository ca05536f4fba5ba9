use super::*;
use crate::spool::disk_health::{RETRY_INTERVAL_MS, SLOW_STATE_MS};

#[test]
fn a_failing_disk_is_reported_and_retried() {
    let mut index = new_index();
    let stored = spool_result(&mut index, 0.0, report(0), 20).unwrap();
    assert!(index.attach_reader(0.0, stored.id));
    assert!(index.record_disk_write(10.0, 1.0, WriteOutcome::Full));
    assert!(
        !index.record_disk_write(11.0, 1.0, WriteOutcome::Full),
        "the state has not changed"
    );
    assert_eq!(
        index.disk_health().state(),
        &DiskState::Full { since: 10.0 }
    );

    // Only memory is available: a result that does not fit there fails, and stored results stay.
    assert_eq!(
        spool_result(&mut index, 20.0, report(1), 11),
        Err(SpoolRejection::NoCapacity)
    );
    assert!(spool_result(&mut index, 20.0, report(1), 9).is_ok());
    assert_eq!(index.len(), 2);
    let retry_at = 11.0 + RETRY_INTERVAL_MS;
    assert!(!index.disk_health().accepts_writes(retry_at - 1.0));
    assert!(index.disk_health().accepts_writes(retry_at));

    let read_only = WriteOutcome::Failed("read-only".into());
    assert!(index.record_disk_write(6000.0, 1.0, read_only));
    assert_eq!(
        index.disk_health().state(),
        &DiskState::Failing {
            since: 10.0,
            reason: "read-only".into()
        }
    );
    assert!(index.record_disk_write(12_000.0, 5.0, WriteOutcome::Success));
}

#[test]
fn a_slow_disk_counts_as_slow_for_a_while() {
    let mut health = DiskHealth::new(true);
    assert!(health.record_write(13_000.0, 2_000.0, WriteOutcome::Success));
    assert_eq!(health.state(), &DiskState::Slow { since: 13_000.0 });
    assert!(!health.record_write(14_000.0, 1.0, WriteOutcome::Success));
    assert!(health.record_write(13_001.0 + SLOW_STATE_MS, 1.0, WriteOutcome::Success));
    assert_eq!(health.state(), &DiskState::Healthy);
}

#[test]
fn bytes_that_could_not_be_written_return_to_memory_above_its_limit() {
    let mut index = new_index();
    let spool = spool_result(&mut index, 40_000.0, report(1), 15).unwrap();
    assert!(spool.commands.contains(&SpoolCommand::Spill(spool.id)));
    index.return_to_memory(spool.id, 150 * KB);
    assert!(index.usage().memory_bytes >= 150 * KB);
    assert!(index.is_consistent());
}
