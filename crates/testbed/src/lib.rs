//! Testbed for the dispatcher: fakes of its surroundings (engines, registries, clients), a simulation of a
//! whole fleet in virtual time, and measurements of both. Tests, measurements and examples share it. All
//! sockets are on loopback, and the fakes run on one thread.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports,
    reason = "test support: modules are documented, but not yet each item"
)]

pub mod clients;
pub mod comparison;
pub mod fakes;
pub mod fixture;
pub mod measurements;
pub mod mysql_soak;
pub mod platform;
pub mod program;
pub mod random;
pub mod scenario;
pub mod simulation;

/// Returns the Unix time of the machine in milliseconds, for the logs of fakes and for checkers.
pub fn now() -> f64 {
    query_dispatcher::clock::wall_clock_millis()
}
