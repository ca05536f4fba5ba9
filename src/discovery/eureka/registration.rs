//! Our own lease at a registry: what is to be sent next, and what its answer means. Pure.

use crate::decision::model::Millis;
use crate::membership::Status;

/// The pause after a failure, in milliseconds: a lease is worth a few tries.
const AGAIN: Millis = 1_000.0;

/// What is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The whole instance, with this status: at the start, after a change, and when the registry knows it no more.
    Register(Status),
    /// The lease goes on.
    Renew(Status),
    /// The end: proxies are to look elsewhere.
    Cancel,
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// 404: the registry has no such instance (it restarted, or has let it go).
    Unknown,
    Failed,
}

/// One instance of ours at the registries.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    wanted: Status,
    /// What the registry was told last, if it has the instance.
    told: Option<Status>,
    /// `lastDirtyTimestamp`: when what we tell of ourselves last changed. It never goes back.
    dirty: u64,
    renew: Millis,
    next: Millis,
    /// Cancelled, or left to another process of this dispatcher.
    over: bool,
    pub registered: u64,
    pub renewed: u64,
    pub failures: u64,
}

impl Registration {
    /// `renew` is the span between renewals.
    pub fn new(now: Millis, renew: Millis) -> Self {
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

    pub fn dirty(&self) -> u64 {
        self.dirty
    }

    /// How the dispatcher stands now: UP only when it takes clients, OUT_OF_SERVICE while it winds down.
    pub fn want(&mut self, now: Millis, status: Status) {
        if self.wanted != status && !self.over {
            self.wanted = status;
            self.dirty = (now.max(0.0) as u64).max(self.dirty + 1);
            // A change is told at once: whoever finds an old status sends clients to a closing door.
            self.next = self.next.min(now);
        }
    }

    /// What is to be sent now, if anything.
    pub fn due(&self, now: Millis) -> Option<Step> {
        match (self.over || now < self.next, self.told) {
            (true, _) => None,
            (false, Some(told)) if told == self.wanted => Some(Step::Renew(told)),
            (false, _) => Some(Step::Register(self.wanted)),
        }
    }

    pub fn next(&self) -> Option<Millis> {
        (!self.over).then_some(self.next)
    }

    /// What came of a step. `random` is from 0 to 1: renewals of many dispatchers spread over a tenth of the span.
    pub fn done(&mut self, now: Millis, step: Step, outcome: Outcome, random: f64) {
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

    /// The end: true if a registry is to be told.
    pub fn finish(&mut self) -> bool {
        !std::mem::replace(&mut self.over, true) && self.told.is_some()
    }

    /// Another process of this dispatcher goes on with the lease.
    pub fn leave(&mut self) {
        self.over = true;
    }
}

#[cfg(test)]
mod tests;
