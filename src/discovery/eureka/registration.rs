//! State machine of this dispatcher's lease: which request is due, and what its outcome means. Does no I/O.

use crate::decision::model::Millis;
use crate::membership::Status;

/// Delay after a failure, in milliseconds: short enough for several attempts within a lease.
const RETRY_DELAY: Millis = 1_000.0;

/// A request to the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Register the whole instance with this status: at the start, after a change, and when the registry has lost it.
    Register(Status),
    /// Renew the lease, with this status.
    Renew(Status),
    /// Cancel the lease.
    Cancel,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The registry accepted it.
    Done,
    /// 404: the registry has no such instance (it restarted, or the lease expired).
    Unknown,
    /// No registry accepted it.
    Failed,
}

/// State of this dispatcher's registration.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Registration {
    wanted: Status,
    /// The status that the registry has, if it has the instance.
    registered_status: Option<Status>,
    /// `lastDirtyTimestamp`: when the instance's data last changed. It never decreases.
    dirty: u64,
    renew: Millis,
    next: Millis,
    /// Cancelled, or handed over to another process of this dispatcher.
    over: bool,
    /// Number of registrations accepted.
    pub(super) registered: u64,
    /// Number of renewals accepted.
    pub(super) renewed: u64,
    /// Number of requests that failed.
    pub(super) failures: u64,
}

impl Registration {
    /// Creates the state of an instance that is starting and not registered yet. `renew` is the interval between
    /// renewals, in milliseconds.
    pub(super) fn new(now: Millis, renew: Millis) -> Self {
        Registration {
            wanted: Status::Starting,
            registered_status: None,
            dirty: now.max(0.0) as u64,
            renew,
            next: now,
            over: false,
            registered: 0,
            renewed: 0,
            failures: 0,
        }
    }

    /// `lastDirtyTimestamp` to send, in milliseconds since the Unix epoch.
    pub(super) fn dirty(&self) -> u64 {
        self.dirty
    }

    /// Sets the status to register; a change is due at once.
    pub(super) fn want(&mut self, now: Millis, status: Status) {
        if self.wanted != status && !self.over {
            self.wanted = status;
            self.dirty = (now.max(0.0) as u64).max(self.dirty + 1);
            // A change is sent at once: a proxy that reads an old status sends clients to a dispatcher that is closing.
            self.next = self.next.min(now);
        }
    }

    /// The request that is due now, if any.
    pub(super) fn due(&self, now: Millis) -> Option<Step> {
        match (self.over || now < self.next, self.registered_status) {
            (true, _) => None,
            (false, Some(told)) if told == self.wanted => Some(Step::Renew(told)),
            (false, _) => Some(Step::Register(self.wanted)),
        }
    }

    /// When the next request is due; `None` once the lease is cancelled or handed over.
    pub(super) fn next(&self) -> Option<Millis> {
        (!self.over).then_some(self.next)
    }

    /// Records the outcome of a request and schedules the next. `random`, from 0 to 1, spreads the renewals of many
    /// dispatchers over a tenth of the interval.
    pub(super) fn done(&mut self, now: Millis, step: Step, outcome: Outcome, random: f64) {
        match (step, outcome) {
            (Step::Cancel, _) => self.over = true,
            (Step::Register(status), Outcome::Done) => {
                (self.registered_status, self.registered) = (Some(status), self.registered + 1);
            }
            (Step::Renew(_), Outcome::Done) => self.renewed += 1,
            (_, Outcome::Unknown) => self.registered_status = None,
            (_, Outcome::Failed) => self.failures += 1,
        }
        self.next = match outcome {
            // A status that changed while the request was in flight is sent at once.
            Outcome::Done if self.registered_status != Some(self.wanted) => now,
            Outcome::Done => now + self.renew * (0.9 + random.clamp(0.0, 1.0) / 10.0),
            Outcome::Unknown if matches!(step, Step::Renew(_)) => now,
            Outcome::Unknown | Outcome::Failed => now + RETRY_DELAY.min(self.renew),
        };
    }

    /// Ends the lease; returns whether a registry has to be sent a cancellation.
    pub(super) fn finish(&mut self) -> bool {
        !std::mem::replace(&mut self.over, true) && self.registered_status.is_some()
    }

    /// Ends this process's part in the lease, which another process of this dispatcher keeps.
    pub(super) fn leave(&mut self) {
        self.over = true;
    }
}

#[cfg(test)]
mod tests;
