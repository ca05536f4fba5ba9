//! What must hold whatever is decided, checked where attempts start, repeat and end and where answers and closes happen. A
//! breach that can be prevented is; each is counted, for operators and for the soak.

use crate::core::request::Request;
use crate::decision::model::Millis;

/// An answer that is later than this after its client's deadline is lost, in milliseconds.
pub const LATE_ANSWER_MS: Millis = 500.0;

/// A broken invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt was to start though its request had its answer, or nobody waited for one.
    AttemptAfterEnd,
    /// An attempt was to start at an engine that gets no new work.
    EngineOutOfService,
    /// A request was to run again though it may have run and must not run twice.
    RepeatedEffect,
    /// A warming engine got more than this dispatcher's part of what it bears.
    SlowStartOverrun,
    /// An answer was given long after its deadline.
    LateAnswer,
    /// A client's connection was closed, or the process ended, with a request unanswered.
    ClosedUnanswered,
}

impl Violation {
    /// All of them, in the order of their discriminants.
    pub const ALL: [Violation; 6] = [
        Violation::AttemptAfterEnd,
        Violation::EngineOutOfService,
        Violation::RepeatedEffect,
        Violation::SlowStartOverrun,
        Violation::LateAnswer,
        Violation::ClosedUnanswered,
    ];

    /// Its name at the operators' address.
    pub fn name(self) -> &'static str {
        match self {
            Violation::AttemptAfterEnd => "attempt_after_end",
            Violation::EngineOutOfService => "engine_out_of_service",
            Violation::RepeatedEffect => "repeated_effect",
            Violation::SlowStartOverrun => "slow_start_overrun",
            Violation::LateAnswer => "late_answer",
            Violation::ClosedUnanswered => "closed_unanswered",
        }
    }
}

/// Violations so far, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViolationCounts([u64; Violation::ALL.len()]);

impl ViolationCounts {
    /// Counts one.
    pub fn record(&mut self, violation: Violation) {
        self.0[violation as usize] += 1;
    }

    /// How many of this kind there were.
    pub fn of(&self, violation: Violation) -> u64 {
        self.0[violation as usize]
    }

    /// Sets the count of a kind that is counted elsewhere.
    pub fn set(&mut self, violation: Violation, count: u64) {
        self.0[violation as usize] = count;
    }
}

/// Whether an attempt of this request may start at an engine; the guard of everything that is sent.
///
/// # Errors
/// The invariant that it would break.
pub(super) fn check_start(request: &Request, is_in_service: bool) -> Result<(), Violation> {
    if request.is_closed() {
        Err(Violation::AttemptAfterEnd)
    } else if !is_in_service {
        Err(Violation::EngineOutOfService)
    } else if request.is_non_idempotent() && !request.is_retry_safe() {
        Err(Violation::RepeatedEffect)
    } else {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
