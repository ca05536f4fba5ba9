//! Detection of standstills: periods in which the process did not run, because it or its machine was stopped
//! or because a task blocked the thread.
//!
//! Requests that clients send during a standstill are read right after it, all at once. How long they have
//! waited is not known, so they count as sent when the standstill began: no engine is given more time than
//! the client has left.

use crate::decision::model::Millis;
use std::cell::Cell;

/// Maximum time between two heartbeats of a running process, in milliseconds.
pub(super) const HEARTBEAT_INTERVAL_MS: Millis = 40.0;
/// Time between two heartbeats above which the process counts as having stood still, in milliseconds.
const STANDSTILL_MS: Millis = 100.0;
/// Time after a standstill by which everything that arrived during it has been read, in milliseconds.
const CATCH_UP_MS: Millis = 100.0;

/// A period in which the process did not run, in milliseconds on the process clock.
#[derive(Clone, Copy, Debug)]
struct Standstill {
    began: Millis,
    ended: Millis,
}

/// The heartbeats of the process.
#[derive(Debug)]
pub(super) struct Heartbeat {
    last_heartbeat_at: Cell<Millis>,
    latest_standstill: Cell<Option<Standstill>>,
    standstills: Cell<u64>,
}

impl Heartbeat {
    /// Creates the state of a process that starts at `now`.
    pub(super) fn new(now: Millis) -> Self {
        Heartbeat {
            last_heartbeat_at: Cell::new(now),
            latest_standstill: Cell::new(None),
            standstills: Cell::new(0),
        }
    }

    /// Records that the process is running, and a standstill if the last heartbeat is too long ago.
    pub(super) fn record(&self, now: Millis) {
        let began = self.last_heartbeat_at.replace(now);
        if now - began > STANDSTILL_MS {
            self.latest_standstill
                .set(Some(Standstill { began, ended: now }));
            self.standstills.set(self.standstills.get() + 1);
        }
    }

    /// Returns the earliest time at which data that is read now can have arrived.
    pub(super) fn earliest_arrival(&self, now: Millis) -> Millis {
        if now - self.last_heartbeat_at.get() > STANDSTILL_MS {
            return self.last_heartbeat_at.get();
        }
        match self.latest_standstill.get() {
            Some(standstill) if now < standstill.ended + CATCH_UP_MS => standstill.began,
            _ => now,
        }
    }

    /// Returns the number of standstills since the process started.
    pub(super) fn standstills(&self) -> u64 {
        self.standstills.get()
    }
}

#[cfg(test)]
mod tests;
