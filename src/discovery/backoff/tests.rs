use super::*;

/// Calls of each dispatcher, ms from when all start, where each call fails at once.
fn calls(dispatchers: u64, each: usize) -> Vec<Vec<f32>> {
    let one = |seed| {
        let mut backoff = Backoff::new(seed);
        let mut at = vec![backoff.initial()];
        while at.len() < each {
            at.push(at[at.len() - 1] + backoff.after(false));
        }
        at.iter().map(|t| t.as_secs_f32() * 1000.0).collect()
    };
    (0..dispatchers).map(one).collect()
}

#[test]
fn a_hundred_dispatchers_that_restart_at_once_do_not_connect_in_step() {
    let calls = calls(100, 12);
    for round in 0..12 {
        let mut tens = std::collections::BTreeMap::<u32, u32>::new();
        calls
            .iter()
            .for_each(|c| *tens.entry((c[round] / 10.0) as u32).or_default() += 1);
        let largest = tens.values().max().unwrap();
        assert!(
            *largest <= 25,
            "{largest} of 100 within 10 ms in round {round}"
        );
    }
}

#[test]
fn delays_grow_while_the_service_fails_and_never_exceed_the_bound() {
    for c in calls(100, 12) {
        assert!(c[0] <= 100.0);
        let delays: Vec<f32> = c.windows(2).map(|w| w[1] - w[0]).collect();
        assert!((100.0..=200.0).contains(&delays[0]), "{delays:?}");
        assert!(
            delays[1..].iter().all(|p| (199.0..=401.0).contains(p)),
            "{delays:?}"
        );
    }
    let mut backoff = Backoff::new(7);
    (0..9).for_each(|_| assert!(backoff.after(false) <= MAX_DELAY));
    assert!(
        backoff.after(true) <= MIN_DELAY,
        "events show that the service is well"
    );
}
