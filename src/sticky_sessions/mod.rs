//! Sticky sessions: when a client session keeps one engine connection, for how long, and what becomes of its open
//! transaction when that connection is lost.
//!
//! Everything here is pure: the time is a parameter, and engine responses arrive as typed values. Times are [`Millis`]
//! on the Unix clock, periods are milliseconds.
//!
//! To the decision module a sticky session is a single attempt. The engine is chosen when the session begins, the
//! session goes on while that engine drains, and none of its statements is ever retried on another engine.

mod limits;
mod session;
mod table;

pub use limits::StickySessionLimits;
pub use session::{
    ConnectionDisposition, EngineResponse, Expired, StatementEffect, StickyReason, StickySession,
    TransactionOutcome,
};
pub use table::{StickySessionLimitError, StickySessionTable};

#[cfg(doc)]
use crate::decision::model::Millis;
