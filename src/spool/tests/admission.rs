use super::*;

#[test]
fn a_result_without_capacity_is_rejected_before_its_statement_is_sent() {
    let limits = SpoolLimits {
        tenant_bytes: 250 * KB,
        ..limits()
    };
    let mut index = SpoolIndex::new(limits, 2);
    assert_eq!(
        index.admit(0.0, report(0)),
        Admission::Admitted,
        "nothing is known of the class yet"
    );
    for sample in 0..6 {
        let now = f64::from(sample);
        let spool = spool_result(&mut index, now, report(9), 15).unwrap();
        index.attach_reader(now, spool.id);
        index.detach_reader(now, spool.id, true);
    }
    assert_eq!(index.expected_bytes(0), 150 * KB);

    let first = spool_result(&mut index, 10.0, report(0), 15).unwrap();
    index.attach_reader(10.0, first.id);
    let Admission::Rejected { reason, .. } = index.admit(11.0, report(0)) else {
        panic!("the tenant has no capacity")
    };
    assert!(reason.contains("tenant"), "{reason}");
    assert_eq!(
        index.admit(11.0, report(1)),
        Admission::Admitted,
        "another tenant has capacity"
    );

    // Every stored result has a reader, so none can be evicted.
    for tenant in 1..4 {
        if let Ok(spool) = spool_result(&mut index, 12.0, report(tenant), 15) {
            index.attach_reader(12.0, spool.id);
        }
    }
    let Admission::Rejected {
        reason,
        retry_after,
    } = index.admit(13.0, report(7))
    else {
        panic!("no tenant has capacity")
    };
    assert!(reason.contains("neither memory nor disk"), "{reason}");
    assert_eq!(retry_after, None, "it is unknown when the readers finish");

    // Detaching the reader makes its result evictable.
    index.detach_reader(20.0, first.id, false);
    assert_eq!(index.admit(21.0, report(7)), Admission::Admitted);
    assert_eq!(index.next_expiry(), Some(1020.0));
    assert_eq!(index.counters().rejected, 2);
}
