//! Fakes of what surrounds a dispatcher, a simulation of a whole fleet in virtual time, and the tools that
//! measure both. Tests, measurements and examples share them. Everything stays on loopback and on one thread.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports,
    reason = "fakes and measurements whose modules are laid out, and not yet documented item by item"
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

/// The machine's Unix clock, in milliseconds: the fakes' logs and the checkers use it.
pub fn now() -> f64 {
    query_dispatcher::clock::wall_clock_millis()
}
