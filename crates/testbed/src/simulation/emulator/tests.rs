use super::*;
use crate::random::Streams;
use proptest::prelude::*;

fn plain(cores: f64) -> Params {
    // What shares only its cores: what closed forms know.
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
        area: 1,
        holds: false,
        stands: false,
        from: 0,
    }
}

/// Open arrivals on one engine: mean time in it, and that of short and long ones.
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
    let (mut at, mut came) = (0.0, std::collections::BTreeMap::new());
    let mut times = vec![];
    let mut id = 0;
    while times.len() < n as usize {
        let next = e.next().unwrap_or(f64::INFINITY);
        if at <= next {
            let work = size(sizes.unit());
            came.insert(id, (at, work));
            assert!(e.send(at, id, job(work)));
            id += 1;
            at += gaps.exponential(1.0 / rate);
        } else {
            for (done, _) in e.ended(next) {
                let (came, work) = came.remove(&done).unwrap();
                times.push((work, next - came));
            }
        }
    }
    // The first tenth only fills it.
    let times = times.split_off(n as usize / 10);
    (
        times.iter().map(|t| t.1).sum::<f64>() / times.len() as f64,
        times,
    )
}

#[test]
fn one_core_shared_by_exponential_work_is_the_known_queue() {
    // M/M/1 by processor sharing: the mean time is s / (1 - load), as in turn.
    for (load, seed) in [(0.3, 1), (0.6, 2), (0.8, 3)] {
        let (mean, _) = mean_times(plain(1.0), load / 100.0, 60_000, seed, |u| {
            -100.0 * libm::log(1.0 - u)
        });
        let known = 100.0 / (1.0 - load);
        assert!(
            (mean / known - 1.0).abs() < 0.06,
            "load {load}: {mean} beside {known}"
        );
    }
}

#[test]
fn shared_time_is_in_proportion_to_work_whatever_its_spread() {
    // M/G/1 by processor sharing: the mean time of work x is x / (1 - load), for every x.
    let wide = |u: f64| if u < 0.9 { 20.0 } else { 820.0 };
    let (_, times) = mean_times(plain(1.0), 0.5 / 100.0, 60_000, 7, wide);
    for x in [20.0, 820.0] {
        let of: Vec<f64> = times.iter().filter(|t| t.0 == x).map(|t| t.1).collect();
        let mean = of.iter().sum::<f64>() / of.len() as f64;
        assert!((mean / (x / 0.5) - 1.0).abs() < 0.06, "work {x}: {mean}");
    }
}

#[test]
fn several_cores_with_few_queries_are_free_cores() {
    let mut e = Emulator::new(plain(8.0), 0.0, true);
    (0..8).for_each(|id| assert!(e.send(0.0, id, job(100.0))));
    assert_eq!(e.next(), Some(100.0));
    assert_eq!(e.ended(100.0).len(), 8);
    let mut e = Emulator::new(plain(8.0), 0.0, true);
    assert!(e.send(
        0.0,
        1,
        Job {
            threads: 3.0,
            ..job(300.0)
        }
    ));
    assert_eq!(
        e.next(),
        Some(100.0),
        "three threads do it in a third of the time"
    );
}

#[test]
fn past_the_knee_total_work_falls_and_never_below_its_floor() {
    let params = Params {
        disks: 1e9,
        ..Params::default()
    };
    let done = |n: u64| {
        let mut e = Emulator::new(params.clone(), 0.0, true);
        (0..n).for_each(|id| {
            let _ = e.send(0.0, id, job(1e9));
        });
        e.advance(1000.0);
        e.done
    };
    assert!(
        (done(8) - 8000.0).abs() < 1.0 && (done(14) - 8000.0).abs() < 1.0,
        "up to the knee all of it"
    );
    assert!(
        (done(22) - 8000.0 * 0.75).abs() < 1.0,
        "one thread a core beyond"
    );
    assert!((done(64) - 8000.0 * 0.3).abs() < 1.0, "{}", done(64));
}

#[test]
fn reading_shares_the_disks_and_a_warm_area_saves_it() {
    let params = Params {
        disks: 2.0,
        cores: 8.0,
        note_every: 0.0,
        ..Params::default()
    };
    let read = |area| Job {
        io: 1.0,
        area,
        ..job(100.0)
    };
    let mut e = Emulator::new(params, 0.0, true);
    (0..4).for_each(|id| assert!(e.send(0.0, id, read(id))));
    assert!(
        (e.next().unwrap() - 200.0).abs() < 1e-6,
        "four on two disks"
    );
    e.ended(200.0);
    assert!(e.send(200.0, 9, read(3)));
    assert!(
        (e.next().unwrap() - 250.0).abs() < 1e-6,
        "half of it is warm"
    );
    e.ended(250.0);
    (0..4).for_each(|n| {
        let _ = e.send(250.0, 20 + n, read(100 + n));
    });
    e.ended(1000.0);
    assert!(e.send(1000.0, 30, read(3)));
    assert!(
        (e.next().unwrap() - 1100.0).abs() < 1e-6,
        "others have been read since"
    );
}

#[test]
fn what_lacks_memory_spills_and_what_does_not_fit_waits_in_turn() {
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
    assert!(e.send(0.0, 1, big(40.0, 20.0)));
    assert!(
        (e.next().unwrap() - 200.0).abs() < 1e-6,
        "half of what it needs: twice the work"
    );
    assert!(
        e.send(0.0, 2, big(70.0, 70.0))
            && e.send(0.0, 3, big(60.0, 60.0))
            && e.send(0.0, 4, big(5.0, 5.0))
    );
    assert_eq!(e.report(), [0.0, 0.0], "it has not looked at itself since");
    // 2 ends at 100, and lets in 3 and, behind it, 4.
    assert_eq!(e.ended(100.0).iter().map(|e| e.0).collect::<Vec<_>>(), [2]);
    let ended = e.ended(200.0);
    let (_, waits) = ended.iter().find(|e| e.0 == 3).unwrap();
    assert_eq!((waits.in_line, waits.ran), (100.0, 100.0));
    // Notes tell who spills, and who waits for memory.
    assert!(
        e.send(
            700.0,
            7,
            Job {
                work: 9e3,
                ..big(90.0, 30.0)
            }
        ) && e.send(700.0, 8, big(80.0, 80.0))
    );
    let notes = e.notes(1200.0);
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
fn a_load_holds_its_area_and_readers_of_it_stand() {
    let mut e = Emulator::new(
        Params {
            note_every: 100.0,
            ..plain(8.0)
        },
        0.0,
        true,
    );
    let load = Job {
        holds: true,
        area: 5,
        from: 2,
        ..job(300.0)
    };
    let reader = |area| Job {
        stands: true,
        area,
        ..job(50.0)
    };
    assert!(e.send(0.0, 1, reader(5)) && e.send(10.0, 2, load) && e.send(20.0, 3, reader(5)));
    assert!(e.send(20.0, 4, reader(6)));
    let notes = e.notes(150.0);
    assert!(
        notes.contains(&(3, ProgressNote::WaitsForLoad))
            && notes.contains(&(1, ProgressNote::WaitsForLoad))
    );
    assert_eq!(
        e.ended(150.0).iter().map(|e| e.0).collect::<Vec<_>>(),
        [4],
        "of another area"
    );
    assert_eq!(e.next(), Some(310.0));
    e.ended(310.0);
    let done = e.ended(360.0);
    let (_, waits) = done.iter().find(|e| e.0 == 3).unwrap();
    assert_eq!((waits.stood.get(&2), waits.ran), (Some(&290.0), 50.0));
    let (_, waits) = done
        .iter()
        .find(|e| e.0 == 1)
        .cloned()
        .unwrap_or_else(|| panic!("{done:?}"));
    assert_eq!(
        waits.stood.get(&2),
        Some(&300.0),
        "also one that had begun before"
    );
    use query_dispatcher::ProgressNote;
}

#[test]
fn a_cold_engine_does_less_and_falls_over_when_it_is_pushed() {
    let mut e = Emulator::new(plain(8.0), 0.0, false);
    assert!(
        (e.capacity_part(0.0) - 0.3).abs() < 1e-9 && (e.capacity_part(15_000.0) - 1.0).abs() < 1e-9
    );
    assert!(e.send(0.0, 1, job(3000.0)));
    let mut at = 0.0;
    while e.len() == 1 {
        at = e.next().unwrap();
        e.ended(at);
    }
    // The integral of 0.3 + 0.7 t / 15,000 is 3,000 at about 6,630 ms.
    assert!((at - 6_630.0).abs() < 120.0, "{at}");
    // Within 2 s it bears 4 x 8 cores x what it can: 0.3 of 2,000 ms at its start.
    let bears = |n: u64| {
        let mut e = Emulator::new(plain(8.0), 0.0, false);
        (0..n).for_each(|id| {
            let _ = e.send(f64::from(id as u32), id, job(400.0));
        });
        !e.fallen()
    };
    assert!(bears(48) && !bears(49));
}

#[test]
fn one_that_hangs_or_ends_tells_nothing_and_a_restart_is_cold() {
    let mut e = Emulator::new(plain(1.0), 0.0, true);
    e.send(0.0, 1, job(100.0));
    e.hang(50.0, true);
    assert_eq!(
        (e.next(), e.ended(500.0).len(), e.notes(600.0).len()),
        (None, 0, 0)
    );
    e.hang(600.0, false);
    assert_eq!(e.next(), Some(650.0));
    assert_eq!(e.end(620.0).len(), 1);
    e.restart(700.0);
    assert!(e.is_empty() && e.capacity_part(700.0) < 0.31);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// Work is conserved: what has ended took what it needed, nothing is done twice, and an engine does no more than
    /// its cores can. Memory granted never passes what there is, unless one query alone wants more.
    #[test]
    fn work_is_conserved(
        jobs in prop::collection::vec((0.0..500.0f64, 1.0..400.0f64, 1u8..4, 0.0..1.0f64, 1.0..60.0f64, 0u64..5, any::<bool>()), 1..40),
        cancels in prop::collection::vec((0usize..40, 0.0..2000.0f64), 0..6),
    ) {
        let params = Params { memory_mb: 100.0, warm_saves: 0.0, spill: 1.0, sessions: 1000, ..Params::default() };
        let mut e = Emulator::new(params, 0.0, true);
        enum What { Send(usize), Cancel(usize) }
        let mut events: Vec<(f64, What)> = jobs.iter().enumerate().map(|(i, j)| (j.0, What::Send(i))).collect();
        events.extend(cancels.iter().map(|(i, at)| (*at, What::Cancel(*i))));
        events.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut ended, mut cancelled, mut now) = (0.0, false, 0.0);
        let drain = |e: &mut Emulator, until: f64, now: &mut f64, ended: &mut f64| {
            while let Some(next) = e.next().filter(|n| *n <= until) {
                *now = next;
                for (id, _) in e.ended(next) {
                    *ended += jobs[id as usize].1;
                }
            }
        };
        for (at, what) in events {
            drain(&mut e, at, &mut now, &mut ended);
            now = at;
            match what {
                What::Send(i) => {
                    let (_, work, threads, io, mb, area, load) = jobs[i];
                    let sent = e.send(at, i as u64, Job {
                        work, threads: threads.into(), io, need_mb: mb, grant_mb: mb, area,
                        holds: load, stands: !load, from: 0,
                    });
                    prop_assert!(sent);
                }
                What::Cancel(i) => cancelled |= e.cancel(at, i as u64).is_some(),
            }
        }
        drain(&mut e, 1e9, &mut now, &mut ended);
        prop_assert!(e.is_empty(), "all that was sent has ended: nobody waits for ever");
        if cancelled {
            prop_assert!(e.done >= ended - 1e-3);
        } else {
            prop_assert!((e.done - ended).abs() < 1e-3, "{} done, {} ended", e.done, ended);
        }
        prop_assert!(e.done <= 8.0 * e.busy + 1e-3, "no more than its cores can");
    }
}
