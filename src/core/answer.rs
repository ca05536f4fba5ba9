//! The final answer to a request, with the reasons that are reported to the client.

use crate::core::command::AttemptId;
use crate::core::metrics::RequestOutcome;
use crate::decision::model::Millis;
use std::fmt;

/// The final answer to a request. The core's answers identify the attempt that served the request; the
/// request router replaces the attempt's id with its result.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer<R = AttemptId> {
    /// The request was served.
    Served(R),
    /// The request was rejected. A retry is safe: the request never ran, or may run again.
    Rejected {
        /// Time after which the client may retry, in milliseconds from now.
        retry_after: Option<Millis>,
        /// Why it was rejected.
        reason: RejectionReason,
    },
    /// The request failed. It may have run.
    Failed {
        /// Why it failed.
        reason: FailureReason,
    },
    /// The request's deadline has passed.
    TimedOut {
        /// Whether a retry is safe: the request never ran, or may run again.
        retry_safe: bool,
    },
}

impl Answer {
    /// Replaces the served attempt's id with its result. A served answer without a result becomes a failure.
    pub fn with_result<R>(self, result: Option<R>) -> Answer<R> {
        match self {
            Answer::Served(_) => result.map_or(
                Answer::Failed {
                    reason: FailureReason::ResultLost,
                },
                Answer::Served,
            ),
            Answer::Rejected {
                retry_after,
                reason,
            } => Answer::Rejected {
                retry_after,
                reason,
            },
            Answer::Failed { reason } => Answer::Failed { reason },
            Answer::TimedOut { retry_safe } => Answer::TimedOut { retry_safe },
        }
    }

    /// Returns the outcome under which the metrics count this answer.
    pub(super) fn outcome(&self) -> RequestOutcome {
        match self {
            Answer::Served(_) => RequestOutcome::Success,
            Answer::Rejected { .. } | Answer::TimedOut { retry_safe: true } => {
                RequestOutcome::Overload
            }
            Answer::Failed { .. } | Answer::TimedOut { retry_safe: false } => RequestOutcome::Error,
        }
    }
}

/// The reason for a rejection. Its text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The limit [`CoreLimits::max_open_requests`](crate::core::CoreLimits::max_open_requests) is reached.
    TooManyOpenRequests,
    /// The deadline is closer than [`CoreLimits::answer_margin`](crate::core::CoreLimits::answer_margin).
    DeadlineTooClose,
    /// The decision module shed the request: no engine has capacity before its deadline.
    NoCapacity,
    /// An adapter rejected the request before it reached the core, with this text.
    Adapter(&'static str),
}

impl RejectionReason {
    /// Returns the text that is sent to the client.
    pub const fn as_str(self) -> &'static str {
        match self {
            RejectionReason::TooManyOpenRequests => "too many requests are open",
            RejectionReason::DeadlineTooClose => "too little time is left",
            RejectionReason::NoCapacity => "the engines have no room for it in time",
            RejectionReason::Adapter(text) => text,
        }
    }
}

impl fmt::Display for RejectionReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The reason for a failure. Its text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The request's class is not configured, or its deadline is not finite.
    InvalidRequest,
    /// No attempt was served, and the decision module starts no other.
    NoEngineAnswered,
    /// The request would have been rejected, but an attempt may have run.
    MayHaveRun,
    /// An attempt was served, but its result is no longer available.
    ResultLost,
    /// An adapter failed the request, with this text.
    Adapter(&'static str),
}

impl FailureReason {
    /// Returns the text that is sent to the client.
    pub const fn as_str(self) -> &'static str {
        match self {
            FailureReason::InvalidRequest => "the request names no class or deadline",
            FailureReason::NoEngineAnswered => "no engine answered it",
            FailureReason::MayHaveRun => "it may have run",
            FailureReason::ResultLost => "the result was lost",
            FailureReason::Adapter(text) => text,
        }
    }
}

impl fmt::Display for FailureReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
