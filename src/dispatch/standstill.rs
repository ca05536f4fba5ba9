//! Notices when the process stood still: it was stopped, its machine was, or one piece of work held the thread.
//!
//! What clients sent meanwhile is read right after, all at once. How long it had waited by then is not known, so that it
//! counts as sent when the standstill began: no engine is told more time than the client has left.

use crate::decision::model::Millis;
use std::cell::Cell;

/// How often the process shows that it runs, in milliseconds.
pub(super) const HEARTBEAT_INTERVAL_MS: Millis = 40.0;
/// A heartbeat that is later than this after the last one ends a standstill, in milliseconds.
const STANDSTILL_MS: Millis = 100.0;
/// What arrived during a standstill has been read this long after it, in milliseconds.
const CATCH_UP_MS: Millis = 100.0;

/// A time in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Standstill {
    began: Millis,
    ended: Millis,
}

/// The heartbeats of the process.
#[derive(Debug)]
pub(super) struct Heartbeat {
    last: Cell<Millis>,
    latest_standstill: Cell<Option<Standstill>>,
    standstills: Cell<u64>,
}

impl Heartbeat {
    /// The process begins to run.
    pub(super) fn new(now: Millis) -> Self {
        Heartbeat {
            last: Cell::new(now),
            latest_standstill: Cell::new(None),
            standstills: Cell::new(0),
        }
    }

    /// The process runs.
    pub(super) fn beat(&self, now: Millis) {
        let began = self.last.replace(now);
        if now - began > STANDSTILL_MS {
            self.latest_standstill
                .set(Some(Standstill { began, ended: now }));
            self.standstills.set(self.standstills.get() + 1);
        }
    }

    /// The earliest time at which what is read now can have arrived.
    pub(super) fn earliest_arrival(&self, now: Millis) -> Millis {
        if now - self.last.get() > STANDSTILL_MS {
            return self.last.get();
        }
        match self.latest_standstill.get() {
            Some(standstill) if now < standstill.ended + CATCH_UP_MS => standstill.began,
            _ => now,
        }
    }

    /// Standstills so far.
    pub(super) fn standstills(&self) -> u64 {
        self.standstills.get()
    }
}

#[cfg(test)]
mod tests;
