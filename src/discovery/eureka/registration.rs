//! State machine of this dispatcher's lease: which request is due, and what its outcome means. Does no I/O.

use crate::decision::model::Millis;
use crate::membership::Status;

/// The pause after a failure, in milliseconds: a lease is worth a few tries.
const AGAIN: Millis = 1_000.0;

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
    /// What the registry was told last, if it has the instance.
    told: Option<Status>,
    /// `lastDirtyTimestamp`: when what we tell of ourselves last changed. It never goes back.
    dirty: u64,
    renew: Millis,
    next: Millis,
    /// Cancelled, or left to another process of this dispatcher.
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
            told: None,
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
            // A change is told at once: whoever finds an old status sends clients to a closing door.
            self.next = self.next.min(now);
        }
    }

    /// The request that is due now, if any.
    pub(super) fn due(&self, now: Millis) -> Option<Step> {
        match (self.over || now < self.next, self.told) {
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
                (self.told, self.registered) = (Some(status), self.registered + 1);
            }
            (Step::Renew(_), Outcome::Done) => self.renewed += 1,
            (_, Outcome::Unknown) => self.told = None,
            (_, Outcome::Failed) => self.failures += 1,
        }
        self.next = match outcome {
            // A status that changed while the step was out is told at once.
            Outcome::Done if self.told != Some(self.wanted) => now,
            Outcome::Done => now + self.renew * (0.9 + random.clamp(0.0, 1.0) / 10.0),
            Outcome::Unknown if matches!(step, Step::Renew(_)) => now,
            Outcome::Unknown | Outcome::Failed => now + AGAIN.min(self.renew),
        };
    }

    /// Ends the lease; returns whether a registry has to be sent a cancellation.
    pub(super) fn finish(&mut self) -> bool {
        !std::mem::replace(&mut self.over, true) && self.told.is_some()
    }

    /// Ends this process's part in the lease, which another process of this dispatcher keeps.
    pub(super) fn leave(&mut self) {
        self.over = true;
    }
}

#[cfg(test)]
mod tests;
