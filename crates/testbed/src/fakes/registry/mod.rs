//! A stand-in for a Eureka registry, from its public REST API: leases with eviction and self-preservation, a
//! response cache, deltas with a retention, replicas that copy each other with a lag, and scripted trouble.

pub mod document;
pub mod leases;
pub mod server;

pub use leases::{Instance, Leases, Rules};
pub use server::{Fault, Node};
