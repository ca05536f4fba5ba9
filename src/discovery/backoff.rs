//! When a dispatcher calls the journal service: spread over time, for a hundred that restart together, or lose the
//! service together, would call it in the same millisecond and again in step. Pure.

use oorandom::Rand32;
use std::time::Duration;

/// Between a call that brought news and the next.
const AGAIN: Duration = Duration::from_millis(100);
/// Between calls that brought none, at most.
const MOST: Duration = Duration::from_millis(400);

/// The pauses of one dispatcher, drawn from its own seed.
pub struct Backoff {
    next: Duration,
    random: Rand32,
}

impl Backoff {
    pub fn new(seed: u64) -> Self {
        Backoff {
            next: AGAIN,
            random: Rand32::new(seed),
        }
    }

    /// Before the first call of a process, and the first at a new address.
    pub fn first(&mut self) -> Duration {
        self.next = AGAIN;
        AGAIN.mul_f32(self.random.rand_float())
    }

    /// After a call that brought `news`, or none: twice as long after each of those, up to a bound. Half of it is
    /// drawn, so that no pause is longer than it would be for one dispatcher alone.
    pub fn after(&mut self, news: bool) -> Duration {
        self.next = if news {
            AGAIN
        } else {
            (self.next * 2).min(MOST)
        };
        self.next.mul_f32(0.5 + self.random.rand_float() / 2.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Calls of each dispatcher, ms from when all start, where each call fails at once.
    fn calls(dispatchers: u64, each: usize) -> Vec<Vec<f32>> {
        let one = |seed| {
            let mut pauses = Backoff::new(seed);
            let mut at = vec![pauses.first()];
            while at.len() < each {
                at.push(at[at.len() - 1] + pauses.after(false));
            }
            at.iter().map(|t| t.as_secs_f32() * 1000.0).collect()
        };
        (0..dispatchers).map(one).collect()
    }

    #[test]
    fn a_hundred_dispatchers_that_restart_at_once_do_not_call_in_step() {
        let calls = calls(100, 12);
        for round in 0..12 {
            let mut tens = std::collections::BTreeMap::<u32, u32>::new();
            calls
                .iter()
                .for_each(|c| *tens.entry((c[round] / 10.0) as u32).or_default() += 1);
            let most = tens.values().max().unwrap();
            assert!(*most <= 25, "{most} of 100 within 10 ms in round {round}");
        }
    }

    #[test]
    fn a_service_that_stays_away_is_asked_ever_more_slowly_and_never_later_than_the_bound() {
        for c in calls(100, 12) {
            assert!(c[0] <= 100.0);
            let pauses: Vec<f32> = c.windows(2).map(|w| w[1] - w[0]).collect();
            assert!((100.0..=200.0).contains(&pauses[0]), "{pauses:?}");
            assert!(
                pauses[1..].iter().all(|p| (199.0..=401.0).contains(p)),
                "{pauses:?}"
            );
        }
        let mut pauses = Backoff::new(7);
        (0..9).for_each(|_| assert!(pauses.after(false) <= MOST));
        assert!(
            pauses.after(true) <= AGAIN,
            "news shows that the service is well"
        );
    }
}
