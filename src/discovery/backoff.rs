//! Backoff between connections to the journal service, with jitter: a hundred dispatchers that restart
//! together, or lose the service together, would otherwise connect in the same millisecond and again in step.
//! Does no I/O.

use oorandom::Rand32;
use std::time::Duration;

/// Delay after a connection that delivered events.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay after connections that delivered no events.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// Computes the delays of one dispatcher, randomized by its own seed.
pub(super) struct Backoff {
    delay: Duration,
    random: Rand32,
}

impl Backoff {
    /// Creates a backoff that starts at the shortest delay.
    pub(super) fn new(seed: u64) -> Self {
        Backoff {
            delay: MIN_DELAY,
            random: Rand32::new(seed),
        }
    }

    /// Returns the delay before the first connection of a process, and before the first one to a new address.
    pub(super) fn initial(&mut self) -> Duration {
        self.delay = MIN_DELAY;
        MIN_DELAY.mul_f32(self.random.rand_float())
    }

    /// Returns the delay after a connection: doubled after each connection that delivered no events, up to
    /// [`MAX_DELAY`]. Half of the delay is random; the randomness only shortens it, so that no delay is
    /// longer than the one without jitter.
    pub(super) fn after(&mut self, received_events: bool) -> Duration {
        self.delay = if received_events {
            MIN_DELAY
        } else {
            (self.delay * 2).min(MAX_DELAY)
        };
        self.delay.mul_f32(0.5 + self.random.rand_float() / 2.0)
    }
}

#[cfg(test)]
mod tests;
