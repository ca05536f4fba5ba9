//! The final answer to a request, and the reasons that its client is given.

use crate::core::command::AttemptId;
use crate::core::metrics::RequestOutcome;
use crate::decision::model::Millis;
use std::fmt;

/// The one final answer to a request. The core names the attempt that served it; the request router puts the
/// attempt's result in its place.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer<R = AttemptId> {
    /// The request was served.
    Served(R),
    /// The request was rejected and never ran, or running it again does no harm: a retry is safe.
    Rejected {
        /// When the client may retry, in milliseconds from now.
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
        /// True if it never ran, or running it again does no harm.
        retry_safe: bool,
    },
}

impl Answer {
    /// The answer with the served attempt's result in place of its id. A served answer whose result is missing
    /// becomes a failure.
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

    /// How the metrics count this answer.
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

/// Why a request was rejected. Clients see the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// [`CoreLimits::max_open_requests`](crate::core::CoreLimits::max_open_requests) are open.
    TooManyOpenRequests,
    /// The deadline is closer than the margin that an answer needs.
    DeadlineTooClose,
    /// The decision module shed the request: no engine has capacity before its deadline.
    NoCapacity,
    /// An adapter rejected it before the core saw it; the text is the adapter's.
    Adapter(&'static str),
}

impl RejectionReason {
    /// The text that clients see.
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

/// Why a request failed. Clients see the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The request's class is not configured, or its deadline is not finite.
    InvalidRequest,
    /// The decision module gave up: no attempt was served, and no other may be started.
    NoEngineAnswered,
    /// The request would have been rejected, but an attempt may have run.
    MayHaveRun,
    /// An attempt was served, but its result is not there any more.
    ResultLost,
    /// An adapter failed it; the text is the adapter's.
    Adapter(&'static str),
}

impl FailureReason {
    /// The text that clients see.
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
