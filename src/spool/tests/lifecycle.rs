use super::*;

#[test]
fn small_results_stay_in_memory_and_the_largest_is_spilled() {
    let mut index = new_index();
    let large = spool_result(&mut index, 0.0, report(0), 6).unwrap();
    let small = spool_result(&mut index, 0.0, report(0), 3).unwrap();
    assert_eq!(small.commands, []);
    assert_eq!(index.usage(), usage(90 * KB, 0));
    let next = spool_result(&mut index, 0.0, report(0), 3).unwrap();
    assert_eq!(next.commands, [SpoolCommand::Spill(large.id)]);
    assert_eq!(index.usage(), usage(60 * KB, 60 * KB));
    for id in [large.id, small.id, next.id] {
        assert!(index.contains(id));
    }
    assert!(index.is_consistent());
}

#[test]
fn a_result_larger_than_memory_goes_to_disk_and_one_above_its_limit_is_rejected() {
    let mut index = new_index();
    let spool = spool_result(&mut index, 0.0, report(0), 20).unwrap();
    assert_eq!(spool.commands, [SpoolCommand::Spill(spool.id)]);
    assert_eq!(index.usage(), usage(0, 200 * KB));
    assert_eq!(
        spool_result(&mut index, 0.0, report(1), 21),
        Err(SpoolRejection::ResultTooLarge(200 * KB))
    );
    assert!(index.is_consistent());
    assert_eq!(index.len(), 1, "the rejected result is removed");

    let memory_only = SpoolLimits {
        disk_bytes: None,
        ..limits()
    };
    let mut index = SpoolIndex::new(memory_only, 2);
    assert_eq!(
        spool_result(&mut index, 0.0, report(0), 11),
        Err(SpoolRejection::NoCapacity)
    );
    assert_eq!(index.usage(), usage(0, 0));
    assert_eq!(index.counters().failed, 1);
}

#[test]
fn a_tenant_at_its_quota_evicts_its_own_results() {
    let mut index = new_index();
    let own = spool_result(&mut index, 0.0, report(0), 20).unwrap();
    let other = spool_result(&mut index, 0.0, report(1), 5).unwrap();
    let next = spool_result(&mut index, 1.0, report(0), 15).unwrap();
    assert!(
        next.commands.contains(&SpoolCommand::Evict(own.id)),
        "{:?}",
        next.commands
    );
    assert!(index.contains(other.id));

    // A result with a reader is not evicted.
    let mut index = new_index();
    let own = spool_result(&mut index, 0.0, report(0), 20).unwrap();
    assert!(index.attach_reader(0.0, own.id));
    assert_eq!(
        spool_result(&mut index, 1.0, report(0), 15),
        Err(SpoolRejection::TenantQuota(300 * KB))
    );
    assert!(index.contains(own.id));
}

#[test]
fn eviction_prefers_read_results_and_never_evicts_a_protected_one_for_another() {
    let limits = SpoolLimits {
        tenant_bytes: u64::MAX,
        disk_bytes: Some(500 * KB),
        ..limits()
    };
    let mut index = SpoolIndex::new(limits, 2);
    let protected = spool_result(&mut index, 0.0, load(0), 15).unwrap();
    let old = spool_result(&mut index, 1.0, report(1), 15).unwrap();
    let read = spool_result(&mut index, 2.0, report(2), 15).unwrap();
    index.attach_reader(3.0, read.id);
    index.detach_reader(3.0, read.id, true);
    let next = spool_result(&mut index, 4.0, report(3), 15).unwrap();
    let evictions: Vec<&SpoolCommand> = next
        .commands
        .iter()
        .filter(|command| matches!(command, SpoolCommand::Evict(_)))
        .collect();
    assert_eq!(
        evictions,
        [&SpoolCommand::Evict(read.id)],
        "a result that was read to the end is evicted first"
    );
    // Results that are not protected are evicted for a protected one.
    let second = spool_result(&mut index, 5.0, load(4), 15).unwrap();
    assert!(
        second.commands.contains(&SpoolCommand::Evict(old.id)),
        "{:?}",
        second.commands
    );
    index.attach_reader(6.0, next.id);
    index.attach_reader(6.0, second.id);
    // Only the protected result could be evicted.
    assert_eq!(
        spool_result(&mut index, 7.0, report(5), 20),
        Err(SpoolRejection::NoCapacity)
    );
    assert!(index.contains(protected.id));
    assert!(index.is_consistent());
}

#[test]
fn a_result_expires_after_its_last_use_and_a_reader_retains_it() {
    let mut index = new_index();
    let unread = spool_result(&mut index, 0.0, report(0), 2).unwrap();
    let read = spool_result(&mut index, 0.0, report(0), 2).unwrap();
    assert!(index.attach_reader(900.0, read.id));
    assert_eq!(index.next_expiry(), Some(1000.0));
    assert!(index.expire(999.0).is_empty());
    assert_eq!(index.expire(1000.0), [unread.id]);
    assert!(
        index.expire(50_000.0).is_empty(),
        "a result with a slow reader does not expire"
    );
    index.detach_reader(50_000.0, read.id, false);
    assert_eq!(index.expire(51_000.0), [read.id]);
    assert!(index.is_empty());
    assert_eq!(index.usage(), usage(0, 0));
    assert!(index.is_consistent());

    let incomplete = index.open(60_000.0, report(0)).unwrap();
    index
        .add_page(60_000.0, incomplete.id, KB)
        .placement
        .unwrap();
    assert!(
        index.expire(1e12).is_empty(),
        "an incomplete result does not expire"
    );
}
