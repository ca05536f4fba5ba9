//! The request core: a pure state machine for requests and their attempts. It does no I/O and reads no clock; time is
//! passed in, and what has to be done comes out as [`Command`]s that the adapters carry out.
//!
//! The decision module chooses engines, retries and rejections. The core enforces what must hold whatever it decides:
//!
//! - every request gets exactly one final answer, in time for its client to read it;
//! - no further attempt is started once a non-idempotent request may have run;
//! - no attempt stays in flight once its request is closed.
//!
//! [`Core`] is the entry point. Its parts each hold one concern: the request table, the states of a request and of an
//! attempt, the deadline queue, the endpoint list with its administrative drains, and the metrics.

mod administrative_drain;
mod answer;
mod attempt;
mod command;
mod deadlines;
mod decisions;
mod endpoint_list;
mod endpoints;
pub mod invariants;
mod limits;
mod metrics;
mod request;
mod request_core;
mod request_table;

pub use answer::{Answer, FailureReason, RejectionReason};
pub use command::{AttemptId, Command, NewRequest, RequestId, StartAttempt};
pub use invariants::Violation;
pub use limits::CoreLimits;
pub use metrics::{AnswerCounts, Metrics, RequestOutcome};
pub use request_core::Core;
