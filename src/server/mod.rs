//! Builds and runs one process: wires the configured frontend, upstream and discovery together, reloads the
//! configuration on SIGHUP, and shuts down gracefully on SIGTERM.

mod endpoint_source;
mod error;
mod graceful_shutdown;
mod instance_coordination;
pub mod instance_registry;
pub mod mysql;
mod operators;
pub mod platform;
pub mod process_metrics;
mod reload;
pub mod signals;

pub use error::ServerError;

use crate::config::SocketSettings;
use crate::core::CoreLimits;
use std::time::Duration;

/// An answer is due this long before its client gives up: it has to be written and read.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// A result that has begun may stay without its next page for this long.
const PAGE_TIMEOUT: Duration = Duration::from_millis(600);

/// The limits of the request core, as both kinds of process set them.
fn core_limits(sockets: &SocketSettings) -> CoreLimits {
    CoreLimits {
        max_open_requests: sockets.max_open_requests,
        answer_margin: ANSWER_MARGIN,
        page_timeout: PAGE_TIMEOUT,
    }
}
