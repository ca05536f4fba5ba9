//! How the disk does, as its answers tell: a disk that is full, slow, read-only or broken is a state, not an end.

use crate::decision::model::Millis;

/// After a failure the disk is tried again in this time, in milliseconds.
pub const REST: Millis = 5_000.0;
/// A write that takes longer than this, in milliseconds, is slow; ...
pub const SLOW: Millis = 1_000.0;
/// ... and so the disk counts for this long after the last of them.
pub const SLOW_FOR: Millis = 10_000.0;

/// What operators are told.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskState {
    /// The configuration names none.
    Absent,
    Well,
    /// It has no room; what is stored can be read.
    Full {
        since: Millis,
    },
    /// Its errors are of another kind (read-only, broken): the last one's words.
    Failing {
        since: Millis,
        reason: String,
    },
    /// It does what it is asked, late.
    Slow {
        since: Millis,
    },
}

/// What a write came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Wrote {
    Well,
    Full,
    Failed(String),
}

/// Keeps the disk's state.
#[derive(Clone, Debug)]
pub struct DiskWatch {
    state: DiskState,
    /// Nothing is written before.
    rest_until: Millis,
    slow_at: Option<Millis>,
    pub failures: u64,
}

impl DiskWatch {
    pub fn new(present: bool) -> Self {
        let state = if present {
            DiskState::Well
        } else {
            DiskState::Absent
        };
        DiskWatch {
            state,
            rest_until: f64::MIN,
            slow_at: None,
            failures: 0,
        }
    }

    /// Something was written, and took so long in milliseconds. True if the state is another by it.
    pub fn wrote(&mut self, now: Millis, took: Millis, what: Wrote) -> bool {
        let before = std::mem::discriminant(&self.state);
        if took > SLOW {
            self.slow_at = Some(now);
        }
        self.state = match (what, &self.state) {
            (_, DiskState::Absent) => DiskState::Absent,
            (Wrote::Well, state) => match self.slow_at.filter(|at| now < at + SLOW_FOR) {
                Some(_) => DiskState::Slow {
                    since: match state {
                        DiskState::Slow { since } => *since,
                        _ => now,
                    },
                },
                None => DiskState::Well,
            },
            (bad, state) => {
                self.failures += 1;
                self.rest_until = now + REST;
                let since = match state {
                    DiskState::Full { since } | DiskState::Failing { since, .. } => *since,
                    _ => now,
                };
                match bad {
                    Wrote::Failed(reason) => DiskState::Failing { since, reason },
                    _ => DiskState::Full { since },
                }
            }
        };
        before != std::mem::discriminant(&self.state)
    }

    /// Room was made: a full disk may be tried at once.
    pub fn freed(&mut self) {
        if matches!(self.state, DiskState::Full { .. }) {
            self.rest_until = f64::MIN;
        }
    }

    /// Pages may be sent there now. One that failed is tried again after its rest: that write tells how it does.
    pub fn takes(&self, now: Millis) -> bool {
        match self.state {
            DiskState::Absent => false,
            DiskState::Well | DiskState::Slow { .. } => true,
            DiskState::Full { .. } | DiskState::Failing { .. } => now >= self.rest_until,
        }
    }

    pub fn state(&self) -> &DiskState {
        &self.state
    }
}
