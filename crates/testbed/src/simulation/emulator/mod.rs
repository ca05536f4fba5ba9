//! One engine: what runs on it, how quickly, and what it tells. Pure: time is passed in, in milliseconds, and nothing
//! here draws a random number. The same model stands behind sockets and in virtual time.
//!
//! What it follows is the operators' description of their engines: it runs all that it is sent at once; queries share
//! its cores and disks; total work falls past a knee; a query that lacks memory spills; one whose grant does not fit
//! waits in a line; areas read of late are warm; a load holds its area and stalls the readers of it; an engine that
//! has just started does a part of its work, and falls over when it is sent several times what it can do.

pub mod engine;
pub mod params;
#[cfg(test)]
mod tests;

pub use engine::{Emulator, End, Job, JobId, State, Waits};
pub use params::Params;
