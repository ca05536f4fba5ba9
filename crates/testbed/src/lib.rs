//! Stand-ins for what stands round a dispatcher, written from public specifications, and the tools that measure it.
//! Tests, measurements and examples share them. Everything stays on loopback and on one thread.

pub mod client;
pub mod compare;
pub mod engine;
pub mod measure;
pub mod measure_sessions;
pub mod measure_spool;
pub mod model;
pub mod program;
pub mod random;
pub mod raw;
pub mod registry;
pub mod scenario;
pub mod session;
pub mod stand;
pub mod world;

/// The machine's Unix clock, in milliseconds: the stand-ins' logs and the checkers run on it.
pub fn now() -> f64 {
    query_dispatcher::clock::unix_time_millis()
}
