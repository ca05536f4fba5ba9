//! Measurements of the dispatcher's binary (membership, spooled results and sessions) and of its decision
//! module.

pub mod list_events;
pub mod membership;
pub mod sessions;
pub mod spool;
