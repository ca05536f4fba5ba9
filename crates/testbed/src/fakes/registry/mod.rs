//! Fake Eureka registry, from the public REST API: leases with eviction and self-preservation, a response
//! cache, deltas with a retention period, replication with a lag, and faults that a test sets.

pub mod document;
pub mod leases;
pub mod server;

pub use leases::{Instance, Leases, Rules};
pub use server::{Fault, Node};
