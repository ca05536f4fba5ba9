//! Model of one engine: what runs on it, how fast, and what it reports.
//!
//! The model is deterministic: the caller passes the time in milliseconds, and no random number is drawn
//! here. The same model can run behind sockets and in virtual time.
//!
//! It follows the operators' description of their engines:
//! - An engine runs everything it is sent at once; queries share its cores and disks, and total throughput
//!   falls past a knee.
//! - A query with too little memory spills; a query whose memory grant does not fit is queued.
//! - Table groups that were read recently are warm.
//! - A load locks its table group and blocks the readers of it.
//! - An engine that has just started has a part of its capacity, and fails when it is sent several times
//!   that capacity.

pub mod engine;
pub mod params;
#[cfg(test)]
mod tests;

pub use engine::{Emulator, Job, JobId, JobOutcome, JobState, Waits};
pub use params::Params;
