//! The request core: a pure state machine for requests and their attempts. It does no I/O and reads no clock:
//! callers pass the current time in, and side effects come out as [`Command`]s for the adapters to execute.
//!
//! The decision module chooses engines, retries and rejections. Independently of its decisions, the core
//! guarantees that:
//!
//! - every request gets exactly one final answer, early enough for its client to read it;
//! - no further attempt is started once a non-idempotent request may have run;
//! - no attempt stays in flight once its request is closed.
//!
//! [`Core`] is the entry point. The submodules implement the request table, the state machines of requests
//! and of attempts, the deadline queue, the endpoint list with the administrative drains, and the metrics.

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
