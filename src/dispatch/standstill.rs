//! Detection of standstills and busy periods: the process did not run, because it or its machine was stopped or because
//! a task blocked the thread, or it ran with so much to do that each of its tasks waited long for its turn.
//!
//! Requests that clients send meanwhile are read right after, all at once. How long they have waited is not known, so
//! they count as sent when the period began: no engine is given more time than the client has left.

use crate::decision::model::Millis;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

/// Maximum time between two heartbeats of a running process, in milliseconds.
pub(super) const HEARTBEAT_INTERVAL_MS: Millis = 20.0;
/// Time between two heartbeats above which the process counts as having stood still, in milliseconds.
const STANDSTILL_MS: Millis = 100.0;
/// Time between two heartbeats above which the process is busy, in milliseconds. Data may wait for that long unnoticed in
/// each of [`MAX_ROUNDS`] rounds, and engines may be given 150 ms more than the client has left.
const BUSY_MS: Millis = 30.0;
/// Time after a busy period by which everything that arrived during it has been read, in milliseconds.
const CATCH_UP_MS: Millis = 100.0;

/// Number of late heartbeats in a row for which data may wait: until a connection is noticed, accepted, served and read,
/// each in a further round of the tasks.
const MAX_ROUNDS: usize = 4;

/// A period without breaks in which heartbeats were late, in milliseconds on the process clock.
#[derive(Clone, Debug, Default)]
struct BusyPeriod {
    /// The heartbeats before the latest late ones, the oldest first.
    starts: VecDeque<Millis>,
    ended: Millis,
}

/// The heartbeats of the process.
#[derive(Debug)]
pub(super) struct Heartbeat {
    last_heartbeat_at: Cell<Millis>,
    busy_period: RefCell<BusyPeriod>,
    standstills: Cell<u64>,
}

impl BusyPeriod {
    /// Adds a heartbeat that is late at `now`, after the one at `last`. It begins a new period if all data of the
    /// previous one had been read by then.
    fn extend(&mut self, last: Millis, now: Millis) {
        if last >= self.ended + CATCH_UP_MS {
            self.starts.clear();
        }
        if self.starts.len() == MAX_ROUNDS {
            self.starts.pop_front();
        }
        self.starts.push_back(last);
        self.ended = now;
    }
}

impl Heartbeat {
    /// Creates the state of a process that starts at `now`.
    pub(super) fn new(now: Millis) -> Self {
        Heartbeat {
            last_heartbeat_at: Cell::new(now),
            busy_period: RefCell::default(),
            standstills: Cell::new(0),
        }
    }

    /// Records that the process is running, and a busy period or standstill if the last heartbeat is too long ago.
    pub(super) fn record(&self, now: Millis) {
        let last = self.last_heartbeat_at.replace(now);
        if now - last > BUSY_MS {
            self.busy_period.borrow_mut().extend(last, now);
        }
        if now - last > STANDSTILL_MS {
            self.standstills.set(self.standstills.get() + 1);
        }
    }

    /// Returns the earliest time at which data that is read now can have arrived, as far as the process's own delays
    /// tell.
    pub(super) fn earliest_arrival(&self, now: Millis) -> Millis {
        let last = self.last_heartbeat_at.get();
        let mut period = self.busy_period.borrow().clone();
        if now - last > BUSY_MS {
            period.extend(last, now);
        }
        let is_recent = now < period.ended + CATCH_UP_MS;
        let began = period.starts.front().filter(|_| is_recent);
        began.copied().unwrap_or(now)
    }

    /// Returns the number of standstills since the process started.
    pub(super) fn standstills(&self) -> u64 {
        self.standstills.get()
    }
}

#[cfg(test)]
mod tests;
