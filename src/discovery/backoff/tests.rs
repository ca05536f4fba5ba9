use super::*;

/// Returns the connection times of each dispatcher, in milliseconds after their common start, when each
/// connection fails immediately.
fn connection_times(dispatchers: u64, connections: usize) -> Vec<Vec<f32>> {
    let times_of = |seed| {
        let mut backoff = Backoff::new(seed);
        let mut times = vec![backoff.initial()];
        while times.len() < connections {
            times.push(times[times.len() - 1] + backoff.after(false));
        }
        times
            .iter()
            .map(|time| time.as_secs_f32() * 1000.0)
            .collect()
    };
    (0..dispatchers).map(times_of).collect()
}

#[test]
fn a_hundred_dispatchers_that_restart_at_once_do_not_connect_in_step() {
    let dispatchers = connection_times(100, 12);
    for round in 0..12 {
        let mut connections_per_10_ms = std::collections::BTreeMap::<u32, u32>::new();
        dispatchers.iter().for_each(|times| {
            *connections_per_10_ms
                .entry((times[round] / 10.0) as u32)
                .or_default() += 1
        });
        let largest = connections_per_10_ms.values().max().unwrap();
        assert!(
            *largest <= 25,
            "{largest} of 100 dispatchers connect within 10 ms in round {round}"
        );
    }
}

#[test]
fn delays_grow_while_the_service_fails_and_never_exceed_the_bound() {
    for times in connection_times(100, 12) {
        assert!(times[0] <= 100.0);
        let delays: Vec<f32> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!((100.0..=200.0).contains(&delays[0]), "{delays:?}");
        assert!(
            delays[1..]
                .iter()
                .all(|delay| (199.0..=401.0).contains(delay)),
            "{delays:?}"
        );
    }
    let mut backoff = Backoff::new(7);
    (0..9).for_each(|_| assert!(backoff.after(false) <= MAX_DELAY));
    assert!(
        backoff.after(true) <= MIN_DELAY,
        "received events reset the delay"
    );
}
