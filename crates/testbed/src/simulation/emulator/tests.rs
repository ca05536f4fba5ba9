use super::*;
use crate::random::Streams;
use proptest::prelude::*;

fn cores_only(cores: f64) -> Params {
    // Queries share only the cores, as in the queueing models with a closed form.
    Params {
        cores,
        knee: 1e9,
        disks: 1e9,
        sessions: 1_000_000,
        memory_mb: 1e12,
        note_every: 0.0,
        ..Params::default()
    }
}

fn job(work: f64) -> Job {
    Job {
        work,
        threads: 1.0,
        io: 0.0,
        need_mb: 1.0,
        grant_mb: 0.0,
        table_group: 1,
        holds_tables: false,
        waits_for_loads: false,
        sender: 0,
    }
}

/// Simulates Poisson arrivals on one engine; returns the mean response time and the work and response time
/// of each query.
fn mean_times(
    params: Params,
    rate: f64,
    n: u64,
    seed: u64,
    size: impl Fn(f64) -> f64,
) -> (f64, Vec<(f64, f64)>) {
    let streams = Streams::new(seed);
    let (mut gaps, mut sizes) = (streams.stream("arrivals"), streams.stream("sizes"));
    let mut e = Emulator::new(params, 0.0, true);
    let (mut at, mut arrived) = (0.0, std::collections::BTreeMap::new());
    let mut times = vec![];
    let mut id = 0;
    while times.len() < n as usize {
        let next = e.next_completion().unwrap_or(f64::INFINITY);
        if at <= next {
            let work = size(sizes.unit());
            arrived.insert(id, (at, work));
            assert!(e.submit(at, id, job(work)));
            id += 1;
            at += gaps.exponential(1.0 / rate);
        } else {
            for (done, _) in e.take_completed(next) {
                let (arrived, work) = arrived.remove(&done).unwrap();
                times.push((work, next - arrived));
            }
        }
    }
    // The first tenth is the transient phase in which the engine fills up.
    let times = times.split_off(n as usize / 10);
    (
        times.iter().map(|t| t.1).sum::<f64>() / times.len() as f64,
        times,
    )
}

#[test]
fn one_core_with_exponential_work_matches_m_m_1() {
    // M/M/1 with processor sharing: the mean response time is s / (1 - load), as with first come, first
    // served.
    for (load, seed) in [(0.3, 1), (0.6, 2), (0.8, 3)] {
        let (mean, _) = mean_times(cores_only(1.0), load / 100.0, 60_000, seed, |u| {
            -100.0 * libm::log(1.0 - u)
        });
        let known = 100.0 / (1.0 - load);
        assert!(
            (mean / known - 1.0).abs() < 0.06,
            "load {load}: mean {mean} ms, expected {known} ms"
        );
    }
}

#[test]
fn response_time_is_proportional_to_work_whatever_its_variance() {
    // M/G/1 with processor sharing: the mean response time of work x is x / (1 - load), for every x.
    let wide = |u: f64| if u < 0.9 { 20.0 } else { 820.0 };
    let (_, times) = mean_times(cores_only(1.0), 0.5 / 100.0, 60_000, 7, wide);
    for x in [20.0, 820.0] {
        let of: Vec<f64> = times.iter().filter(|t| t.0 == x).map(|t| t.1).collect();
        let mean = of.iter().sum::<f64>() / of.len() as f64;
        assert!(
            (mean / (x / 0.5) - 1.0).abs() < 0.06,
            "work {x}: mean {mean} ms"
        );
    }
}

#[test]
fn queries_on_idle_cores_run_at_full_speed() {
    let mut e = Emulator::new(cores_only(8.0), 0.0, true);
    (0..8).for_each(|id| assert!(e.submit(0.0, id, job(100.0))));
    assert_eq!(e.next_completion(), Some(100.0));
    assert_eq!(e.take_completed(100.0).len(), 8);
    let mut e = Emulator::new(cores_only(8.0), 0.0, true);
    assert!(e.submit(
        0.0,
        1,
        Job {
            threads: 3.0,
            ..job(300.0)
        }
    ));
    assert_eq!(
        e.next_completion(),
        Some(100.0),
        "three threads need a third of the time"
    );
}

#[test]
fn throughput_falls_past_the_knee_down_to_its_floor() {
    let params = Params {
        disks: 1e9,
        ..Params::default()
    };
    let done = |n: u64| {
        let mut e = Emulator::new(params.clone(), 0.0, true);
        (0..n).for_each(|id| {
            let _ = e.submit(0.0, id, job(1e9));
        });
        e.advance(1000.0);
        e.work_done
    };
    assert!(
        (done(8) - 8000.0).abs() < 1.0 && (done(14) - 8000.0).abs() < 1.0,
        "full throughput up to the knee"
    );
    assert!(
        (done(22) - 8000.0 * 0.75).abs() < 1.0,
        "one thread per core beyond the knee"
    );
    assert!((done(64) - 8000.0 * 0.3).abs() < 1.0, "{}", done(64));
}

#[test]
fn reads_share_the_disks_and_warm_table_groups_reduce_them() {
    let params = Params {
        disks: 2.0,
        cores: 8.0,
        note_every: 0.0,
        ..Params::default()
    };
    let read = |table_group| Job {
        io: 1.0,
        table_group,
        ..job(100.0)
    };
    let mut e = Emulator::new(params, 0.0, true);
    (0..4).for_each(|id| assert!(e.submit(0.0, id, read(id))));
    assert!(
        (e.next_completion().unwrap() - 200.0).abs() < 1e-6,
        "four readers share two disks"
    );
    e.take_completed(200.0);
    assert!(e.submit(200.0, 9, read(3)));
    assert!(
        (e.next_completion().unwrap() - 250.0).abs() < 1e-6,
        "a warm table group saves half of the reading"
    );
    e.take_completed(250.0);
    (0..4).for_each(|n| {
        let _ = e.submit(250.0, 20 + n, read(100 + n));
    });
    e.take_completed(1000.0);
    assert!(e.submit(1000.0, 30, read(3)));
    assert!(
        (e.next_completion().unwrap() - 1100.0).abs() < 1e-6,
        "other table groups have been read since"
    );
}

#[test]
fn queries_without_enough_memory_spill_or_queue_in_order() {
    let params = Params {
        memory_mb: 100.0,
        spill: 3.0,
        note_every: 500.0,
        ..Params::default()
    };
    let mut e = Emulator::new(params, 0.0, true);
    let big = |need, grant| Job {
        need_mb: need,
        grant_mb: grant,
        ..job(100.0)
    };
    assert!(e.submit(0.0, 1, big(40.0, 20.0)));
    assert!(
        (e.next_completion().unwrap() - 200.0).abs() < 1e-6,
        "half of the needed memory doubles the work"
    );
    assert!(
        e.submit(0.0, 2, big(70.0, 70.0))
            && e.submit(0.0, 3, big(60.0, 60.0))
            && e.submit(0.0, 4, big(5.0, 5.0))
    );
    assert_eq!(
        e.load_report(),
        [0.0, 0.0],
        "the load has not been sampled since"
    );
    // Query 2 ends at 100 ms, which admits 3 and, behind it, 4.
    assert_eq!(
        e.take_completed(100.0)
            .iter()
            .map(|e| e.0)
            .collect::<Vec<_>>(),
        [2]
    );
    let ended = e.take_completed(200.0);
    let (_, waits) = ended.iter().find(|e| e.0 == 3).unwrap();
    assert_eq!((waits.queued_for_memory, waits.running), (100.0, 100.0));
    // Notes report which query spills and which one waits for memory.
    assert!(
        e.submit(
            700.0,
            7,
            Job {
                work: 9e3,
                ..big(90.0, 30.0)
            }
        ) && e.submit(700.0, 8, big(80.0, 80.0))
    );
    let notes = e.take_notes(1200.0);
    assert!(
        notes.contains(&(8, query_dispatcher::ProgressNote::WaitsForMemory)),
        "{notes:?}"
    );
    assert!(
        notes.contains(&(7, query_dispatcher::ProgressNote::SpilledMemory(60.0))),
        "{notes:?}"
    );
}

#[test]
fn a_load_blocks_the_readers_of_its_table_group() {
    let mut e = Emulator::new(
        Params {
            note_every: 100.0,
            ..cores_only(8.0)
        },
        0.0,
        true,
    );
    let load = Job {
        holds_tables: true,
        table_group: 5,
        sender: 2,
        ..job(300.0)
    };
    let reader = |table_group| Job {
        waits_for_loads: true,
        table_group,
        ..job(50.0)
    };
    assert!(e.submit(0.0, 1, reader(5)) && e.submit(10.0, 2, load) && e.submit(20.0, 3, reader(5)));
    assert!(e.submit(20.0, 4, reader(6)));
    let notes = e.take_notes(150.0);
    assert!(
        notes.contains(&(3, ProgressNote::WaitsForLoad))
            && notes.contains(&(1, ProgressNote::WaitsForLoad))
    );
    assert_eq!(
        e.take_completed(150.0)
            .iter()
            .map(|e| e.0)
            .collect::<Vec<_>>(),
        [4],
        "only the reader of another table group completes"
    );
    assert_eq!(e.next_completion(), Some(310.0));
    e.take_completed(310.0);
    let done = e.take_completed(360.0);
    let (_, waits) = done.iter().find(|e| e.0 == 3).unwrap();
    assert_eq!(
        (waits.blocked_by_load.get(&2), waits.running),
        (Some(&290.0), 50.0)
    );
    let (_, waits) = done
        .iter()
        .find(|e| e.0 == 1)
        .cloned()
        .unwrap_or_else(|| panic!("{done:?}"));
    assert_eq!(
        waits.blocked_by_load.get(&2),
        Some(&300.0),
        "a reader that had started before the load is blocked too"
    );
    use query_dispatcher::ProgressNote;
}

#[test]
fn an_engine_that_warms_up_is_slower_and_fails_under_overload() {
    let mut e = Emulator::new(cores_only(8.0), 0.0, false);
    assert!(
        (e.capacity_fraction(0.0) - 0.3).abs() < 1e-9
            && (e.capacity_fraction(15_000.0) - 1.0).abs() < 1e-9
    );
    assert!(e.submit(0.0, 1, job(3000.0)));
    let mut at = 0.0;
    while e.len() == 1 {
        at = e.next_completion().unwrap();
        e.take_completed(at);
    }
    // The integral of 0.3 + 0.7 t / 15,000 is 3,000 at about 6,630 ms.
    assert!((at - 6_630.0).abs() < 120.0, "{at}");
    // Within 2 s it sustains 4 x 8 cores x its capacity: 0.3 of 2,000 ms at its start.
    let sustains = |n: u64| {
        let mut e = Emulator::new(cores_only(8.0), 0.0, false);
        (0..n).for_each(|id| {
            let _ = e.submit(f64::from(id as u32), id, job(400.0));
        });
        !e.is_overloaded()
    };
    assert!(sustains(48) && !sustains(49));
}

#[test]
fn a_hung_engine_reports_nothing_and_a_restarted_one_warms_up() {
    let mut e = Emulator::new(cores_only(1.0), 0.0, true);
    e.submit(0.0, 1, job(100.0));
    e.set_hung(50.0, true);
    assert_eq!(
        (
            e.next_completion(),
            e.take_completed(500.0).len(),
            e.take_notes(600.0).len()
        ),
        (None, 0, 0)
    );
    e.set_hung(600.0, false);
    assert_eq!(e.next_completion(), Some(650.0));
    assert_eq!(e.stop(620.0).len(), 1);
    e.restart(700.0);
    assert!(e.is_empty() && e.capacity_fraction(700.0) < 0.31);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// Checks that work is conserved: every completed query got the work it needed, no work is done twice,
    /// every query ends, and an engine does no more work than its cores allow. Granted memory stays within
    /// the memory of the engine, unless a single query needs more.
    #[test]
    fn work_is_conserved(
        jobs in prop::collection::vec((0.0..500.0f64, 1.0..400.0f64, 1u8..4, 0.0..1.0f64, 1.0..60.0f64, 0u64..5, any::<bool>()), 1..40),
        cancels in prop::collection::vec((0usize..40, 0.0..2000.0f64), 0..6),
    ) {
        let params = Params { memory_mb: 100.0, warm_saves: 0.0, spill: 1.0, sessions: 1000, ..Params::default() };
        let mut e = Emulator::new(params, 0.0, true);
        enum Action { Send(usize), Cancel(usize) }
        let mut events: Vec<(f64, Action)> = jobs.iter().enumerate().map(|(i, j)| (j.0, Action::Send(i))).collect();
        events.extend(cancels.iter().map(|(i, at)| (*at, Action::Cancel(*i))));
        events.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut ended, mut cancelled, mut now) = (0.0, false, 0.0);
        let drain = |e: &mut Emulator, until: f64, now: &mut f64, ended: &mut f64| {
            while let Some(next) = e.next_completion().filter(|n| *n <= until) {
                *now = next;
                for (id, _) in e.take_completed(next) {
                    *ended += jobs[id as usize].1;
                }
            }
        };
        for (at, what) in events {
            drain(&mut e, at, &mut now, &mut ended);
            now = at;
            match what {
                Action::Send(i) => {
                    let (_, work, threads, io, mb, table_group, load) = jobs[i];
                    let sent = e.submit(at, i as u64, Job {
                        work, threads: threads.into(), io, need_mb: mb, grant_mb: mb, table_group,
                        holds_tables: load, waits_for_loads: !load, sender: 0,
                    });
                    prop_assert!(sent);
                }
                Action::Cancel(i) => cancelled |= e.cancel(at, i as u64).is_some(),
            }
        }
        drain(&mut e, 1e9, &mut now, &mut ended);
        prop_assert!(e.is_empty(), "every submitted query has ended");
        if cancelled {
            prop_assert!(e.work_done >= ended - 1e-3);
        } else {
            prop_assert!((e.work_done - ended).abs() < 1e-3, "work done: {}, work of completed queries: {}", e.work_done, ended);
        }
        prop_assert!(e.work_done <= 8.0 * e.busy + 1e-3, "more work was done than the cores allow");
    }
}
