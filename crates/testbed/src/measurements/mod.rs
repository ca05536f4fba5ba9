//! Measurements of a dispatcher's program: membership, spooled results and sessions.

pub mod membership;
pub mod sessions;
pub mod spool;
