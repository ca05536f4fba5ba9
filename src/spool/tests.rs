use super::disk_health::{REST, SLOW_FOR, Wrote};
use super::*;
use crate::decision::model::Millis;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const KB: u64 = 1024;

fn rules() -> SpoolLimits {
    SpoolLimits {
        memory_bytes: 100 * KB,
        disk_bytes: Some(400 * KB),
        tenant_bytes: 300 * KB,
        result_bytes: 200 * KB,
        retention: 1000.0,
        max_spools: 20,
    }
}

fn report(tenant: usize) -> AdmissionRequest {
    AdmissionRequest {
        tenant: Some(tenant),
        class: 0,
        protected: false,
    }
}

fn load(tenant: usize) -> AdmissionRequest {
    AdmissionRequest {
        tenant: Some(tenant),
        class: 1,
        protected: true,
    }
}

/// A whole result of so many pages of 10 KB.
fn put(
    l: &mut SpoolIndex,
    now: Millis,
    ask: AdmissionRequest,
    pages: u64,
) -> Result<(SpoolId, Vec<Order>), SpoolRejection> {
    let (id, mut orders) = l.open(now, ask)?;
    for _ in 0..pages {
        let (taken, more) = l.take(now, id, 10 * KB);
        orders.extend(more);
        if let Err(e) = taken {
            l.fail(id);
            return Err(e);
        }
    }
    l.whole(now, id);
    Ok((id, orders))
}

#[test]
fn small_ones_stay_in_memory_and_the_largest_goes_to_the_disk() {
    let mut l = SpoolIndex::new(rules(), 2);
    let (a, _) = put(&mut l, 0.0, report(0), 6).unwrap();
    let (b, orders) = put(&mut l, 0.0, report(0), 3).unwrap();
    assert_eq!((orders, l.used()), (vec![], (90 * KB, 0)));
    let (c, orders) = put(&mut l, 0.0, report(0), 3).unwrap();
    assert_eq!(orders, [Order::Spill(a)]);
    assert_eq!(l.used(), (60 * KB, 60 * KB));
    assert!([a, b, c].iter().all(|id| l.contains(*id)) && l.adds_up());
}

#[test]
fn a_result_larger_than_memory_is_served_by_the_disk_and_one_above_its_bound_by_nobody() {
    let mut l = SpoolIndex::new(rules(), 2);
    let (a, orders) = put(&mut l, 0.0, report(0), 20).unwrap();
    assert_eq!(orders, [Order::Spill(a)]);
    assert_eq!(l.used(), (0, 200 * KB));
    assert_eq!(
        put(&mut l, 0.0, report(1), 21),
        Err(SpoolRejection::Result(200 * KB))
    );
    assert!(l.adds_up() && l.len() == 1, "nothing stays of it");
    let mut alone = SpoolIndex::new(
        SpoolLimits {
            disk_bytes: None,
            ..rules()
        },
        2,
    );
    assert_eq!(
        put(&mut alone, 0.0, report(0), 11),
        Err(SpoolRejection::Room)
    );
    assert_eq!((alone.used(), alone.failed), ((0, 0), 1));
}

#[test]
fn one_tenant_cannot_take_all_and_makes_room_from_its_own() {
    let mut l = SpoolIndex::new(rules(), 2);
    let (a, _) = put(&mut l, 0.0, report(0), 20).unwrap();
    let (other, _) = put(&mut l, 0.0, report(1), 5).unwrap();
    let (_, orders) = put(&mut l, 1.0, report(0), 15).unwrap();
    assert!(
        orders.contains(&Order::Evict(a)) && l.contains(other),
        "{orders:?}"
    );
    // What is being read is nobody's room.
    let mut l = SpoolIndex::new(rules(), 2);
    let (a, _) = put(&mut l, 0.0, report(0), 20).unwrap();
    assert!(l.attach(0.0, a));
    assert_eq!(
        put(&mut l, 1.0, report(0), 15),
        Err(SpoolRejection::Tenant(300 * KB))
    );
    assert!(l.contains(a));
}

#[test]
fn when_all_is_full_the_least_missed_goes_and_never_a_load_for_a_report() {
    let mut l = SpoolIndex::new(
        SpoolLimits {
            tenant_bytes: u64::MAX,
            disk_bytes: Some(500 * KB),
            ..rules()
        },
        2,
    );
    let (kept, _) = put(&mut l, 0.0, load(0), 15).unwrap();
    let (old, _) = put(&mut l, 1.0, report(1), 15).unwrap();
    let (read, _) = put(&mut l, 2.0, report(2), 15).unwrap();
    l.attach(3.0, read);
    l.detach(3.0, read, true);
    let (next, orders) = put(&mut l, 4.0, report(3), 15).unwrap();
    let gone: Vec<&Order> = orders
        .iter()
        .filter(|o| matches!(o, Order::Evict(_)))
        .collect();
    assert_eq!(
        gone,
        [&Order::Evict(read)],
        "what was read to its end goes first"
    );
    // A load goes before no load, but reports go for it.
    let (second, orders) = put(&mut l, 5.0, load(4), 15).unwrap();
    assert!(orders.contains(&Order::Evict(old)), "{orders:?}");
    l.attach(6.0, next);
    l.attach(6.0, second);
    // Only the load's result is left to go, and it does not for a report.
    assert_eq!(put(&mut l, 7.0, report(5), 20), Err(SpoolRejection::Room));
    assert!(l.contains(kept) && l.adds_up());
}

#[test]
fn what_cannot_fit_is_refused_before_it_is_asked_for() {
    let mut l = SpoolIndex::new(
        SpoolLimits {
            tenant_bytes: 250 * KB,
            ..rules()
        },
        2,
    );
    assert_eq!(
        l.admit(0.0, report(0)),
        Admission::Admitted,
        "nothing is known of the class yet"
    );
    for n in 0..6 {
        let (id, _) = put(&mut l, f64::from(n), report(9), 15).unwrap();
        l.attach(f64::from(n), id);
        l.detach(f64::from(n), id, true);
    }
    assert_eq!(l.expected(0), 150 * KB);
    let (a, _) = put(&mut l, 10.0, report(0), 15).unwrap();
    l.attach(10.0, a);
    let Admission::Rejected { reason, .. } = l.admit(11.0, report(0)) else {
        panic!()
    };
    assert!(reason.contains("tenant"), "{reason}");
    assert_eq!(
        l.admit(11.0, report(1)),
        Admission::Admitted,
        "another tenant has room"
    );
    // All is taken and read: nobody has.
    for t in 1..4 {
        if let Ok((id, _)) = put(&mut l, 12.0, report(t), 15) {
            l.attach(12.0, id);
        }
    }
    let Admission::Rejected {
        reason,
        retry_after,
    } = l.admit(13.0, report(7))
    else {
        panic!()
    };
    assert!(reason.contains("neither memory nor disk"), "{reason}");
    assert_eq!(retry_after, None, "nobody knows when the readers end");
    // One that ends makes room, and tells when it would have by itself.
    l.detach(20.0, a, false);
    assert_eq!(l.admit(21.0, report(7)), Admission::Admitted);
    assert_eq!(l.next_expiry(), Some(1020.0));
    assert_eq!(l.refused, 2);
}

#[test]
fn a_result_expires_after_its_last_use_and_its_reader_keeps_it() {
    let mut l = SpoolIndex::new(rules(), 2);
    let (a, _) = put(&mut l, 0.0, report(0), 2).unwrap();
    let (b, _) = put(&mut l, 0.0, report(0), 2).unwrap();
    assert!(l.attach(900.0, b));
    assert_eq!(l.next_expiry(), Some(1000.0));
    assert_eq!((l.expire(999.0), l.expire(1000.0)), (vec![], vec![a]));
    assert!(
        l.expire(50_000.0).is_empty(),
        "a slow reader takes its time"
    );
    l.detach(50_000.0, b, false);
    assert_eq!(l.expire(51_000.0), [b]);
    assert!(l.is_empty() && l.used() == (0, 0) && l.adds_up());
    let (filling, _) = l.open(60_000.0, report(0)).unwrap();
    l.take(60_000.0, filling, KB).0.unwrap();
    assert!(
        l.expire(1e12).is_empty(),
        "what its engine still answers does not expire"
    );
}

#[test]
fn a_disk_that_fails_rests_is_told_of_and_is_tried_again() {
    let mut l = SpoolIndex::new(rules(), 2);
    let (stored, _) = put(&mut l, 0.0, report(0), 20).unwrap();
    assert!(l.attach(0.0, stored));
    assert!(l.wrote(10.0, 1.0, Wrote::Full));
    assert!(!l.wrote(11.0, 1.0, Wrote::Full), "the same state");
    assert_eq!(l.watch.state(), &DiskState::Full { since: 10.0 });
    // Memory alone is left: what does not fit there is failed, and what is stored stays.
    assert_eq!(put(&mut l, 20.0, report(1), 11), Err(SpoolRejection::Room));
    assert!(put(&mut l, 20.0, report(1), 9).is_ok() && l.len() == 2);
    assert!(!l.watch.takes(11.0 + REST - 1.0) && l.watch.takes(11.0 + REST));
    assert!(l.wrote(6000.0, 1.0, Wrote::Failed("read-only".into())));
    assert!(
        matches!(l.watch.state(), DiskState::Failing { since: 10.0, reason } if reason == "read-only")
    );
    assert!(l.wrote(12_000.0, 5.0, Wrote::Well));
    assert!(l.wrote(13_000.0, 2_000.0, Wrote::Well));
    assert_eq!(l.watch.state(), &DiskState::Slow { since: 13_000.0 });
    assert!(!l.wrote(14_000.0, 1.0, Wrote::Well));
    assert!(l.wrote(13_001.0 + SLOW_FOR, 1.0, Wrote::Well));
    // Bytes that did not get there are in memory again, whatever its bound.
    let (a, orders) = put(&mut l, 40_000.0, report(1), 15).unwrap();
    assert!(orders.contains(&Order::Spill(a)));
    l.returned(a, 150 * KB);
    assert!(l.used().0 >= 150 * KB && l.adds_up());
}

#[test]
fn handles_are_their_owners_alone_and_three_refusals_tell_nothing_of_each_other() {
    let mut h = Handles::default();
    let one = h.give(1, "ann", 0x1234_5678_9abc_def0_1234_5678_9abc_def0);
    let two = h.give(2, "bob", 7);
    assert_eq!(one.len(), handles::LENGTH);
    assert_eq!((h.find("ann", &one), h.find("bob", &two)), (Ok(1), Ok(2)));
    assert_eq!(h.find("ann", &one.to_uppercase()), Ok(1));
    let (others, wrong) = (
        h.find("ann", &two).unwrap_err(),
        h.find("ann", &"0".repeat(32)).unwrap_err(),
    );
    assert_eq!(
        others.to_string(),
        wrong.to_string(),
        "whose it is, or whether it is, is not told"
    );
    h.expire(1);
    assert_eq!(h.find("ann", &one), Err(ResumeError::Expired));
    assert_eq!(
        h.find("bob", &one).unwrap_err().to_string(),
        wrong.to_string()
    );
    assert_eq!(h.find("ann", "'; drop"), Err(ResumeError::Malformed));
    assert_eq!(h.refused, [2, 1, 1], "operators see them apart");
    // What is remembered of expired ones is bounded.
    for n in 0..5000u128 {
        h.give(100 + n as u64, "ann", 1000 + n);
        h.expire(100 + n as u64);
    }
    assert_eq!(h.find("ann", &one), Err(ResumeError::Unknown));
    assert_eq!(h.len(), 1);
}

#[derive(Clone, Debug)]
enum Step {
    Open { tenant: usize, load: bool },
    Take(usize, u64),
    Whole(usize),
    Fail(usize),
    Attach(usize),
    Detach(usize, bool),
    Pass(u32),
    Wrote(u8),
    Admit { tenant: usize, load: bool },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..3usize, any::<bool>()).prop_map(|(tenant, load)| Step::Open { tenant, load }),
        8 => (0..8usize, 1..60 * KB).prop_map(|(n, bytes)| Step::Take(n, bytes)),
        3 => (0..8usize).prop_map(Step::Whole),
        1 => (0..8usize).prop_map(Step::Fail),
        2 => (0..8usize).prop_map(Step::Attach),
        2 => (0..8usize, any::<bool>()).prop_map(|(n, end)| Step::Detach(n, end)),
        1 => (0..700u32).prop_map(Step::Pass),
        1 => (0..3u8).prop_map(Step::Wrote),
        1 => (0..3usize, any::<bool>()).prop_map(|(tenant, load)| Step::Admit { tenant, load }),
    ];
    prop::collection::vec(step, 1..150)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// Whatever comes, the account adds up and keeps its bounds; nothing goes that is read, unfinished, or a load's
    /// for a report's sake.
    #[test]
    fn bounds_hold_and_nothing_is_thrown_away_that_may_not_be(steps in steps()) {
        let r = SpoolLimits { max_spools: 6, ..rules() };
        let mut l = SpoolIndex::new(r.clone(), 2);
        let mut now = 0.0;
        // What the test knows of each: load, whole, readers.
        let mut known: BTreeMap<SpoolId, (bool, bool, usize)> = BTreeMap::new();
        for step in steps {
            let pick = |n: usize| known.keys().nth(n % known.len().max(1)).copied();
            let mut orders = vec![];
            let mut for_load = true;
            match step {
                Step::Open { tenant, load: is_load } => {
                    let ask = if is_load { load(tenant) } else { report(tenant) };
                    for_load = is_load;
                    if let Ok((id, o)) = l.open(now, ask) {
                        orders = o;
                        known.insert(id, (is_load, false, 0));
                    }
                }
                Step::Take(n, bytes) => {
                    let filling = known.iter().filter(|(_, k)| !k.1).map(|(id, _)| *id).collect::<Vec<_>>();
                    if let Some(id) = filling.get(n % filling.len().max(1)).copied() {
                        for_load = known[&id].0;
                        let (taken, o) = l.take(now, id, bytes);
                        orders = o;
                        if taken.is_err() {
                            l.fail(id);
                            known.remove(&id);
                        }
                    }
                }
                Step::Whole(n) => if let Some(id) = pick(n) {
                    l.whole(now, id);
                    known.get_mut(&id).unwrap().1 = true;
                },
                Step::Fail(n) => if let Some(id) = pick(n).filter(|id| !known[id].1) {
                    l.fail(id);
                    known.remove(&id);
                },
                Step::Attach(n) => if let Some(id) = pick(n) {
                    prop_assert!(l.attach(now, id));
                    known.get_mut(&id).unwrap().2 += 1;
                },
                Step::Detach(n, end) => if let Some(id) = pick(n).filter(|id| known[id].2 > 0) {
                    l.detach(now, id, end);
                    known.get_mut(&id).unwrap().2 -= 1;
                },
                Step::Pass(ms) => {
                    now += f64::from(ms);
                    for id in l.expire(now) {
                        let (_, whole, readers) = known.remove(&id).unwrap();
                        prop_assert!(whole && readers == 0);
                    }
                }
                Step::Wrote(n) => drop(l.wrote(now, 1.0, [Wrote::Well, Wrote::Full, Wrote::Failed("x".into())][n as usize].clone())),
                Step::Admit { tenant, load: is_load } => {
                    let _ = l.admit(now, if is_load { load(tenant) } else { report(tenant) });
                }
            }
            for o in orders {
                if let Order::Evict(id) = o {
                    let Some((is_load, whole, readers)) = known.remove(&id) else { continue };
                    prop_assert!(whole && readers == 0, "{id} was in use");
                    prop_assert!(for_load || !is_load, "a load's result went for a report");
                }
            }
            prop_assert!(l.adds_up());
            let (memory, disk) = l.used();
            prop_assert!(memory <= r.memory_bytes && disk <= r.disk_bytes.unwrap_or(0));
            prop_assert!(l.tenants().values().all(|t| *t <= r.tenant_bytes));
            prop_assert!(l.len() <= r.max_spools);
            let ids: BTreeSet<SpoolId> = known.keys().copied().collect();
            prop_assert!(ids.iter().all(|id| l.contains(*id)) && l.len() == ids.len());
        }
    }
}
