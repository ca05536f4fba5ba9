//! Drives the pure request core: the request router, which runs the core's timers and commands, and the
//! gossip driver.

mod commands;
mod endpoints;
pub mod gossip_driver;
mod request_router;
mod standstill;
mod start_times;
mod upstream;

pub use crate::core::StartAttempt;
pub use endpoints::AdministrativeDrain;
pub use request_router::{GossipSender, Reply, ReplyHandler, RequestRouter};
pub use upstream::Upstream;
