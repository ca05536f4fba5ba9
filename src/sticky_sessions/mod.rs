//! Sticky sessions: when a client session holds an engine connection, for how long, and the transaction
//! outcome when that connection is lost.
//!
//! This module does no I/O and reads no clock: the time is a parameter, and engine responses are typed
//! values. Times are [`Millis`] on the Unix clock, periods are in milliseconds.
//!
//! For the decision module a sticky session is a single attempt. The engine is selected when the session
//! begins, the session continues while that engine drains, and none of its statements is ever retried on
//! another engine.

mod limits;
mod session;
mod table;
mod transaction;

pub use limits::StickySessionLimits;
pub use session::{
    ConnectionDisposition, EngineResponse, Expired, StatementEffect, StickyReason, StickySession,
};
pub use table::{StickySessionLimitError, StickySessionTable};
pub use transaction::{Commits, TransactionOutcome, TransactionState};

#[cfg(doc)]
use crate::decision::model::Millis;
