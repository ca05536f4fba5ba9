//! Health of the spool disk, derived from the outcome of its writes. A full, slow, read-only or broken disk
//! is a state to recover from; it does not end the process.

use crate::decision::model::Millis;

/// Time after a failed write until the disk is written to again, in milliseconds.
pub const RETRY_INTERVAL_MS: Millis = 5_000.0;
/// Duration above which a write counts as slow, in milliseconds.
pub const SLOW_WRITE_MS: Millis = 1_000.0;
/// Time for which the disk counts as slow after its last slow write, in milliseconds.
pub const SLOW_STATE_MS: Millis = 10_000.0;

/// State of the disk. Each `since` is a time on the Unix clock, in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskState {
    /// No spool directory is configured.
    Absent,
    /// Writes succeed in time.
    Healthy,
    /// The disk has no space left. Stored pages can still be read.
    Full {
        /// Time when writes began to fail.
        since: Millis,
    },
    /// Writes fail with another error, as on a read-only or broken disk.
    Failing {
        /// Time when writes began to fail.
        since: Millis,
        /// Message of the last error.
        reason: String,
    },
    /// Writes succeed, but take too long.
    Slow {
        /// Time when the disk became slow.
        since: Millis,
    },
}

/// Outcome of a write to the disk.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The write succeeded.
    Success,
    /// The disk has no space left.
    Full,
    /// The write failed with this message.
    Failed(String),
}

/// Tracks the state of the disk.
#[derive(Clone, Debug)]
pub struct DiskHealth {
    state: DiskState,
    /// Time before which nothing is written after a failure.
    retry_at: Millis,
    last_slow_write_at: Option<Millis>,
    failures: u64,
}

impl DiskHealth {
    /// Creates the state of a healthy disk, or of an absent one if no spool directory is configured.
    pub fn new(configured: bool) -> Self {
        let state = if configured {
            DiskState::Healthy
        } else {
            DiskState::Absent
        };
        DiskHealth {
            state,
            retry_at: f64::MIN,
            last_slow_write_at: None,
            failures: 0,
        }
    }

    /// Records the outcome of a write and its duration in milliseconds. Returns whether the disk has entered
    /// another state; changed details of the same state do not count.
    pub fn record_write(&mut self, now: Millis, duration: Millis, outcome: WriteOutcome) -> bool {
        let previous = std::mem::discriminant(&self.state);
        if duration > SLOW_WRITE_MS {
            self.last_slow_write_at = Some(now);
        }
        if self.state != DiskState::Absent {
            self.state = match outcome {
                WriteOutcome::Success => self.state_after_success(now),
                WriteOutcome::Full => DiskState::Full {
                    since: self.record_failure(now),
                },
                WriteOutcome::Failed(reason) => DiskState::Failing {
                    since: self.record_failure(now),
                    reason,
                },
            };
        }
        previous != std::mem::discriminant(&self.state)
    }

    fn state_after_success(&self, now: Millis) -> DiskState {
        let is_slow = self
            .last_slow_write_at
            .is_some_and(|at| now < at + SLOW_STATE_MS);
        match self.state {
            DiskState::Slow { since } if is_slow => DiskState::Slow { since },
            _ if is_slow => DiskState::Slow { since: now },
            _ => DiskState::Healthy,
        }
    }

    /// Counts a failure and returns the time since which writes have been failing.
    fn record_failure(&mut self, now: Millis) -> Millis {
        self.failures += 1;
        self.retry_at = now + RETRY_INTERVAL_MS;
        match self.state {
            DiskState::Full { since } | DiskState::Failing { since, .. } => since,
            _ => now,
        }
    }

    /// Allows writes to a full disk again at once, since space was freed.
    pub fn on_space_freed(&mut self) {
        if matches!(self.state, DiskState::Full { .. }) {
            self.retry_at = f64::MIN;
        }
    }

    /// Returns whether pages may be written now. After a failure, writes are accepted again from the retry
    /// time on, since only a write reveals whether the disk has recovered.
    pub fn accepts_writes(&self, now: Millis) -> bool {
        match self.state {
            DiskState::Absent => false,
            DiskState::Healthy | DiskState::Slow { .. } => true,
            DiskState::Full { .. } | DiskState::Failing { .. } => now >= self.retry_at,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> &DiskState {
        &self.state
    }

    /// Returns the number of failed writes since the start.
    pub fn failures(&self) -> u64 {
        self.failures
    }
}
