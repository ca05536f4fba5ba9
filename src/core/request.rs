//! The state machine of one request.

use crate::core::answer::{Answer, FailureReason};
use crate::core::attempt::Attempt;
use crate::decision::model::{ClassId, DeduplicationScope, Idempotency, Millis};

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// The client is waiting for the final answer.
    AwaitingAnswer,
    /// The deadline has passed and the final answer is about to be given. A rejection or failure is replaced
    /// with a time-out.
    Expired,
    /// The final answer was given, or the client has disconnected.
    Closed,
}

/// A request and its attempts.
#[derive(Debug)]
pub(super) struct Request {
    class: ClassId,
    idempotency: Idempotency,
    deadline: Millis,
    state: RequestState,
    attempts: Vec<Attempt>,
}

impl Request {
    /// Creates a request whose answer is due by `deadline`.
    pub(super) fn new(class: ClassId, idempotency: Idempotency, deadline: Millis) -> Self {
        Request {
            class,
            idempotency,
            deadline,
            state: RequestState::AwaitingAnswer,
            attempts: vec![],
        }
    }

    /// Returns the request's class.
    pub(super) fn class(&self) -> ClassId {
        self.class
    }

    /// Returns the time at which the answer is due, in milliseconds on the process clock.
    pub(super) fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Returns all attempts, including suppressed ones, in the order of the decisions to start them.
    pub(super) fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// Returns the attempt with this index, if it is in flight.
    pub(super) fn in_flight_mut(&mut self, index: u32) -> Option<&mut Attempt> {
        self.attempts
            .get_mut(index as usize)
            .filter(|attempt| attempt.is_in_flight())
    }

    /// Returns whether the request has been answered or its client has disconnected.
    pub(super) fn is_closed(&self) -> bool {
        self.state == RequestState::Closed
    }

    /// Returns whether the request is closed and has no attempt in flight.
    pub(super) fn is_finished(&self) -> bool {
        self.is_closed() && !self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Returns whether the request must not run twice.
    pub(super) fn is_non_idempotent(&self) -> bool {
        self.idempotency == Idempotency::NonIdempotent
    }

    /// Returns whether the client may safely retry. The retry may reach any engine, so a deduplication key
    /// makes it safe only if all engines share the key.
    pub(super) fn is_retry_safe(&self) -> bool {
        match self.idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                group: DeduplicationScope::All,
                ..
            } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => {
                !self.attempts.iter().any(Attempt::may_have_run)
            }
        }
    }

    /// Returns the time until which another attempt may be written: engines recognize duplicates for a window
    /// that begins with the first attempt that may have run.
    pub(super) fn write_deadline(&self) -> Millis {
        let Some(first) = self.attempts.iter().find(|attempt| attempt.may_have_run()) else {
            return f64::INFINITY;
        };
        match self.idempotency {
            Idempotency::Idempotent => f64::INFINITY,
            Idempotency::Keyed { window, .. } => first.started_at() + window,
            Idempotency::NonIdempotent => f64::MIN,
        }
    }

    /// Returns whether another attempt may be started now.
    pub(super) fn allows_attempt(&self, now: Millis, max_attempts: usize) -> bool {
        !self.is_closed()
            && self.attempts.len() < max_attempts
            && now < self.deadline
            && now < self.write_deadline()
    }

    /// Returns the time at which an attempt that is started now times out: after `timeout` milliseconds, but
    /// no later than the request's deadline.
    pub(super) fn attempt_deadline(&self, now: Millis, timeout: Option<Millis>) -> Millis {
        timeout.map_or(self.deadline, |timeout| self.deadline.min(now + timeout))
    }

    /// Adds an attempt and returns its index.
    pub(super) fn push_attempt(&mut self, attempt: Attempt) -> u32 {
        let index = self.attempts.len() as u32;
        self.attempts.push(attempt);
        index
    }

    /// Returns the indices of the attempts in flight that have timed out: all of them if the request has
    /// expired, otherwise those past their own deadlines.
    pub(super) fn overdue_attempts(&self, now: Millis) -> Vec<u32> {
        let has_expired = self.state == RequestState::Expired;
        let is_overdue =
            |attempt: &Attempt| attempt.is_overdue(now) || has_expired && attempt.is_in_flight();
        (0..)
            .zip(&self.attempts)
            .filter(|(_, attempt)| is_overdue(attempt))
            .map(|(index, _)| index)
            .collect()
    }

    /// Shortens an open request's deadline to `by` if it is later. Returns whether the deadline changed.
    pub(super) fn shorten_deadline(&mut self, by: Millis) -> bool {
        let is_shortened = !self.is_closed() && self.deadline > by;
        if is_shortened {
            self.deadline = by;
        }
        is_shortened
    }

    /// Marks an open request as expired if its deadline has passed. Returns whether it has.
    pub(super) fn expire(&mut self, now: Millis) -> bool {
        let has_expired = !self.is_closed() && self.deadline <= now;
        if has_expired {
            self.state = RequestState::Expired;
        }
        has_expired
    }

    /// Closes the request, either after its answer was given or because its client disconnected.
    pub(super) fn close(&mut self) {
        self.state = RequestState::Closed;
    }

    /// Returns the answer that the client gets in place of the proposed one. A rejection states that a retry
    /// is safe, so it becomes a failure if that is not the case. A rejection or failure of an expired request
    /// becomes a time-out.
    pub(super) fn final_answer(&self, proposed: Answer) -> Answer {
        let retry_safe = self.is_retry_safe();
        match proposed {
            Answer::Rejected { .. } | Answer::Failed { .. }
                if self.state == RequestState::Expired =>
            {
                Answer::TimedOut { retry_safe }
            }
            Answer::Rejected { .. } if !retry_safe => Answer::Failed {
                reason: FailureReason::MayHaveRun,
            },
            answer => answer,
        }
    }
}

#[cfg(test)]
mod tests;
