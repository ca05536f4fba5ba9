//! Invariants that must hold regardless of the decision module's decisions, checked where attempts start, are
//! retried and end, and where requests are answered and connections closed. Violations are prevented where
//! that is possible, and each is counted for operators and for the soak test.

use crate::core::request::Request;
use crate::decision::model::Millis;

/// Maximum delay of an answer after its client's deadline, in milliseconds. A later answer counts as lost.
pub const LATE_ANSWER_MS: Millis = 500.0;

/// A violation of an invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt was requested for a request that had been answered or whose client had disconnected.
    AttemptAfterEnd,
    /// An attempt was requested on an engine that gets no new work.
    EngineOutOfService,
    /// A retry was requested for a non-idempotent request that may have run.
    RepeatedEffect,
    /// An engine that is warming up got more than this dispatcher's share of the load that it sustains.
    SlowStartOverrun,
    /// An answer was given more than [`LATE_ANSWER_MS`] after its client's deadline.
    LateAnswer,
    /// A client's connection was closed, or the process ended, with a request unanswered.
    ClosedUnanswered,
}

impl Violation {
    /// All violations, in the order of their discriminants.
    pub const ALL: [Violation; 6] = [
        Violation::AttemptAfterEnd,
        Violation::EngineOutOfService,
        Violation::RepeatedEffect,
        Violation::SlowStartOverrun,
        Violation::LateAnswer,
        Violation::ClosedUnanswered,
    ];

    /// Returns the name under which the operators' address reports the violation.
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

/// Number of violations of each kind since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViolationCounts([u64; Violation::ALL.len()]);

impl ViolationCounts {
    /// Counts one violation of a kind.
    pub fn record(&mut self, violation: Violation) {
        self.0[violation as usize] += 1;
    }

    /// Returns the number of violations of a kind.
    pub fn count(&self, violation: Violation) -> u64 {
        self.0[violation as usize]
    }

    /// Sets the number of violations of a kind that is counted elsewhere.
    pub fn set(&mut self, violation: Violation, count: u64) {
        self.0[violation as usize] = count;
    }
}

/// Checks whether an attempt of a request may start on an engine. Every attempt passes this check before it
/// is sent.
///
/// # Errors
///
/// Returns the invariant that the attempt would violate.
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
