//! Builds and runs one process: connects the configured frontend, upstream and discovery, reloads the
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

/// Time by which an answer is due before its client's timeout, because it still has to be written and read.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// Maximum time that a started result may wait for its next page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(600);

/// Returns the limits of the request core, which are the same for both kinds of process.
fn core_limits(sockets: &SocketSettings) -> CoreLimits {
    CoreLimits {
        max_open_requests: sockets.max_open_requests,
        answer_margin: ANSWER_MARGIN,
        page_timeout: PAGE_TIMEOUT,
    }
}
