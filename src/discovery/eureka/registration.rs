//! State machine of this dispatcher's lease: determines which request is due, and processes its outcome. Does
//! no I/O.

use crate::decision::model::Millis;
use crate::membership::Status;

/// Delay after a failed request, in milliseconds: short enough for several attempts within a lease.
const RETRY_DELAY: Millis = 1_000.0;

/// A request about this dispatcher's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseRequest {
    /// Register the instance with this status: at the start, after a change of the status, and when the
    /// registry has no such instance.
    Register(Status),
    /// Renew the lease, with this status.
    Renew(Status),
    /// Cancel the lease.
    Cancel,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The registry accepted the request.
    Accepted,
    /// 404: the registry has no such instance (it restarted, or the lease expired).
    NotRegistered,
    /// No registry accepted the request.
    Failed,
}

/// State of this dispatcher's registration.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Registration {
    /// The status to register.
    desired_status: Status,
    /// The status last accepted by a registry; `None` if the instance is not registered.
    registered_status: Option<Status>,
    /// `lastDirtyTimestamp`: when the instance's data last changed. It never decreases.
    dirty: u64,
    /// Interval between renewals, in milliseconds.
    renewal_interval: Millis,
    /// When the next request is due.
    next_due: Millis,
    /// Whether the lease was cancelled, or handed over to another process of this dispatcher.
    ended: bool,
    /// Number of accepted registrations.
    pub(super) registrations: u64,
    /// Number of accepted renewals.
    pub(super) renewals: u64,
    /// Number of failed requests.
    pub(super) failures: u64,
}

impl Registration {
    /// Creates the state of an instance that is starting and not registered yet. `renewal_interval` is
    /// in milliseconds.
    pub(super) fn new(now: Millis, renewal_interval: Millis) -> Self {
        Registration {
            desired_status: Status::Starting,
            registered_status: None,
            dirty: now.max(0.0) as u64,
            renewal_interval,
            next_due: now,
            ended: false,
            registrations: 0,
            renewals: 0,
            failures: 0,
        }
    }

    /// Returns the `lastDirtyTimestamp` to send, in milliseconds since the Unix epoch.
    pub(super) fn dirty(&self) -> u64 {
        self.dirty
    }

    /// Sets the status to register; a changed status is due at once.
    pub(super) fn set_status(&mut self, now: Millis, status: Status) {
        if self.desired_status != status && !self.ended {
            self.desired_status = status;
            self.dirty = (now.max(0.0) as u64).max(self.dirty + 1);
            // A change is sent at once, because a proxy that reads an outdated status sends clients to a
            // dispatcher that is shutting down.
            self.next_due = self.next_due.min(now);
        }
    }

    /// Returns the request that is due at `now`, if any.
    pub(super) fn due_request(&self, now: Millis) -> Option<LeaseRequest> {
        match (self.ended || now < self.next_due, self.registered_status) {
            (true, _) => None,
            (false, Some(status)) if status == self.desired_status => {
                Some(LeaseRequest::Renew(status))
            }
            (false, _) => Some(LeaseRequest::Register(self.desired_status)),
        }
    }

    /// Returns when the next request is due; `None` once the lease is cancelled or handed over.
    pub(super) fn next_due(&self) -> Option<Millis> {
        (!self.ended).then_some(self.next_due)
    }

    /// Records the outcome of a request and schedules the next. `random`, from 0 to 1, spreads the renewals
    /// of many dispatchers over a tenth of the interval.
    pub(super) fn record_outcome(
        &mut self,
        now: Millis,
        request: LeaseRequest,
        outcome: Outcome,
        random: f64,
    ) {
        match (request, outcome) {
            (LeaseRequest::Cancel, _) => self.ended = true,
            (LeaseRequest::Register(status), Outcome::Accepted) => {
                (self.registered_status, self.registrations) =
                    (Some(status), self.registrations + 1);
            }
            (LeaseRequest::Renew(_), Outcome::Accepted) => self.renewals += 1,
            (_, Outcome::NotRegistered) => self.registered_status = None,
            (_, Outcome::Failed) => self.failures += 1,
        }
        self.next_due = match outcome {
            // A status that changed while the request was in flight is sent at once.
            Outcome::Accepted if self.registered_status != Some(self.desired_status) => now,
            Outcome::Accepted => {
                now + self.renewal_interval * (0.9 + random.clamp(0.0, 1.0) / 10.0)
            }
            Outcome::NotRegistered if matches!(request, LeaseRequest::Renew(_)) => now,
            Outcome::NotRegistered | Outcome::Failed => {
                now + RETRY_DELAY.min(self.renewal_interval)
            }
        };
    }

    /// Ends the lease; returns whether a cancellation has to be sent.
    pub(super) fn finish(&mut self) -> bool {
        !std::mem::replace(&mut self.ended, true) && self.registered_status.is_some()
    }

    /// Ends this process's part in the lease, which another process of this dispatcher maintains.
    pub(super) fn hand_over(&mut self) {
        self.ended = true;
    }
}

#[cfg(test)]
mod tests;
