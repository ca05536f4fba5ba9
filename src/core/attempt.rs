//! The state machine of an attempt.

use crate::decision::model::{Millis, Outcome};

/// The state of an attempt.
///
/// ```text
///  start ──▶ InFlight ──page──▶ Receiving ──page──▶ Receiving
///               │                   │
///               └── finish, cancel ─┴──▶ MayHaveRun or NeverRan
///
///  suppressed ──▶ NeverRan
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptState {
    /// Passed to an upstream; no part of a result has arrived.
    InFlight,
    /// Pages of the result are arriving.
    Receiving { last_page_at: Millis },
    /// Ended. The engine may have run it.
    MayHaveRun,
    /// Ended, and known never to have run.
    NeverRan,
}

/// One attempt to run a request on an engine.
#[derive(Debug)]
pub(super) struct Attempt {
    engine: String,
    started_at: Millis,
    deadline: Millis,
    state: AttemptState,
}

impl Attempt {
    /// Creates an attempt that is started now.
    pub(super) fn start(engine: String, now: Millis, deadline: Millis) -> Self {
        Attempt {
            engine,
            started_at: now,
            deadline,
            state: AttemptState::InFlight,
        }
    }

    /// Creates an attempt that the decision module requested but that must not be started. It still takes an
    /// index among the request's attempts.
    pub(super) fn suppressed(engine: String, now: Millis, deadline: Millis) -> Self {
        Attempt {
            state: AttemptState::NeverRan,
            ..Attempt::start(engine, now, deadline)
        }
    }

    /// Returns the id of the engine that the attempt was sent to.
    pub(super) fn engine(&self) -> &str {
        &self.engine
    }

    /// Returns the time at which the attempt was started, in milliseconds on the process clock.
    pub(super) fn started_at(&self) -> Millis {
        self.started_at
    }

    /// Returns the time at which the attempt times out, in milliseconds on the process clock.
    pub(super) fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Returns whether the attempt has been started and has not ended.
    pub(super) fn is_in_flight(&self) -> bool {
        match self.state {
            AttemptState::InFlight | AttemptState::Receiving { .. } => true,
            AttemptState::MayHaveRun | AttemptState::NeverRan => false,
        }
    }

    /// Returns whether the engine may have run the attempt: nothing proves that it has not.
    pub(super) fn may_have_run(&self) -> bool {
        self.state != AttemptState::NeverRan
    }

    /// Returns whether the last page of the result arrived less than `page_timeout` milliseconds ago and more
    /// are expected.
    pub(super) fn is_receiving(&self, now: Millis, page_timeout: Millis) -> bool {
        match self.state {
            AttemptState::Receiving { last_page_at } => now < last_page_at + page_timeout,
            _ => false,
        }
    }

    /// Returns whether the attempt is in flight though its deadline has passed.
    pub(super) fn is_overdue(&self, now: Millis) -> bool {
        self.is_in_flight() && self.deadline <= now
    }

    /// Records that a page of the result has arrived and more follow. Has no effect on an attempt that has
    /// ended.
    pub(super) fn receive_page(&mut self, now: Millis) {
        if self.is_in_flight() {
            self.state = AttemptState::Receiving { last_page_at: now };
        }
    }

    /// Ends the attempt with this outcome. Has no effect on an attempt that has ended.
    pub(super) fn finish(&mut self, outcome: Outcome) {
        if self.is_in_flight() {
            self.state = final_state(outcome);
        }
    }

    /// Ends the attempt as cancelled: its engine may have run it nevertheless. Has no effect on an attempt
    /// that has ended.
    pub(super) fn cancel(&mut self) {
        self.finish(Outcome::Cancelled);
    }
}

/// Returns the final state for an outcome, depending on whether it proves that the attempt never ran.
fn final_state(outcome: Outcome) -> AttemptState {
    match outcome {
        Outcome::Rejected | Outcome::Unreachable | Outcome::NeverStarted => AttemptState::NeverRan,
        Outcome::Served
        | Outcome::Error
        | Outcome::TimedOut
        | Outcome::Reset
        | Outcome::Cancelled => AttemptState::MayHaveRun,
    }
}

#[cfg(test)]
mod tests;
