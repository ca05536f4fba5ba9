//! Counts why connections ended and why requests were not opened, for operators.

use crate::protocol::frames::FrameError;
use crate::transport::memory_budget::BudgetUsage;
use std::cell::Cell;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The client closed or reset it between two frames.
    ClosedByClient,
    /// The client closed it within a frame.
    ClosedWithinFrame,
    /// No request came for the idle timeout.
    Idle,
    /// It gave way to a new connection.
    Evicted,
    /// The process shuts down.
    Shutdown,
    /// A frame could not be decoded.
    InvalidFrame,
    /// The rest of a frame did not arrive in time.
    StalledFrame,
    /// A system call failed, the client read no answer in time, or it sent more than it read answers for.
    Failed,
}

impl CloseReason {
    const ALL: [CloseReason; 8] = [
        CloseReason::ClosedByClient,
        CloseReason::ClosedWithinFrame,
        CloseReason::Idle,
        CloseReason::Evicted,
        CloseReason::Shutdown,
        CloseReason::InvalidFrame,
        CloseReason::StalledFrame,
        CloseReason::Failed,
    ];

    fn name(self) -> &'static str {
        match self {
            CloseReason::ClosedByClient => "by_client",
            CloseReason::ClosedWithinFrame => "within_frame",
            CloseReason::Idle => "idle",
            CloseReason::Evicted => "evicted",
            CloseReason::Shutdown => "shutdown",
            CloseReason::InvalidFrame => "invalid_frame",
            CloseReason::StalledFrame => "stalled_frame",
            CloseReason::Failed => "failed",
        }
    }
}

impl From<&FrameError> for CloseReason {
    fn from(error: &FrameError) -> Self {
        match error {
            FrameError::Unfinished => CloseReason::ClosedWithinFrame,
            FrameError::Stalled => CloseReason::StalledFrame,
            FrameError::Io(_) => CloseReason::Failed,
            FrameError::Length(_)
            | FrameError::Truncated
            | FrameError::Kind(_)
            | FrameError::Stream(_) => CloseReason::InvalidFrame,
        }
    }
}

/// Why the frontend answered a request without opening it, or withheld a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectionCause {
    /// A field is missing or invalid.
    Invalid,
    /// An open request has the same id.
    IdIsOpen,
    /// A request of the same id, in a class that must not run twice, may have run.
    IdMayHaveRun,
    /// The ids at the dispatcher's other process are not known.
    IdsUnavailable,
    /// As many requests are open on the connection as may be.
    TooManyOpen,
    /// The client sent more requests than are read ahead.
    ReadAheadFull,
    /// The memory for requests is exhausted.
    RequestMemory,
    /// The memory for unread answers is exhausted.
    AnswerMemory,
}

impl RejectionCause {
    const ALL: [RejectionCause; 8] = [
        RejectionCause::Invalid,
        RejectionCause::IdIsOpen,
        RejectionCause::IdMayHaveRun,
        RejectionCause::IdsUnavailable,
        RejectionCause::TooManyOpen,
        RejectionCause::ReadAheadFull,
        RejectionCause::RequestMemory,
        RejectionCause::AnswerMemory,
    ];

    /// Returns whether the request never ran, and may be sent again as it is.
    pub(super) fn may_be_retried(self) -> bool {
        match self {
            RejectionCause::Invalid
            | RejectionCause::IdIsOpen
            | RejectionCause::IdMayHaveRun
            | RejectionCause::AnswerMemory => false,
            RejectionCause::IdsUnavailable
            | RejectionCause::TooManyOpen
            | RejectionCause::ReadAheadFull
            | RejectionCause::RequestMemory => true,
        }
    }

    fn name(self) -> &'static str {
        match self {
            RejectionCause::Invalid => "invalid",
            RejectionCause::IdIsOpen => "id_is_open",
            RejectionCause::IdMayHaveRun => "id_may_have_run",
            RejectionCause::IdsUnavailable => "ids_unavailable",
            RejectionCause::TooManyOpen => "too_many_open",
            RejectionCause::ReadAheadFull => "read_ahead_full",
            RejectionCause::RequestMemory => "request_memory",
            RejectionCause::AnswerMemory => "answer_memory",
        }
    }
}

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub(super) struct Statistics {
    closed: [Cell<u64>; CloseReason::ALL.len()],
    rejected: [Cell<u64>; RejectionCause::ALL.len()],
}

impl Statistics {
    /// Counts the end of a connection.
    pub(super) fn record_close(&self, reason: CloseReason) {
        increment(&self.closed[reason as usize]);
    }

    /// Counts a request that was not opened, or a result that was withheld.
    pub(super) fn record_rejection(&self, cause: RejectionCause) {
        increment(&self.rejected[cause as usize]);
    }

    /// Formats the counters, a line `NAME=VALUE` for each.
    pub(super) fn text(&self) -> String {
        let mut text = String::new();
        for (reason, count) in CloseReason::ALL.iter().zip(&self.closed) {
            text.push_str(&format!("closed.{}={}\n", reason.name(), count.get()));
        }
        for (cause, count) in RejectionCause::ALL.iter().zip(&self.rejected) {
            text.push_str(&format!("rejected.{}={}\n", cause.name(), count.get()));
        }
        text
    }
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Formats the state of a memory budget, a line `memory.NAME.FIGURE=VALUE` for each figure.
pub(super) fn budget_text(name: &str, usage: BudgetUsage) -> String {
    format!(
        "memory.{name}.limit={}\nmemory.{name}.reserved={}\nmemory.{name}.peak={}\nmemory.{name}.denied={}\n",
        usage.limit, usage.reserved, usage.peak, usage.denied
    )
}
