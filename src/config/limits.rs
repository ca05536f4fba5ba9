//! Limits of the machine and of the sockets.

use crate::decision::model::Millis;
use serde::Deserialize;

/// Maximum memory of the process unless `memory_mb` is given, in megabytes.
const DEFAULT_MEMORY_MB: usize = 192;
/// Maximum number of open sockets of the process unless `sockets` is given.
const DEFAULT_MAX_SOCKETS: usize = 1024;

/// Limits and timeouts of the sockets, derived from the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct SocketSettings {
    /// Maximum time to establish a connection to an engine, in ms.
    pub connect_timeout: Millis,
    /// Time without traffic after which a connection to an engine is closed, in ms.
    pub idle_timeout: Millis,
    /// Maximum number of concurrent attempts on one connection.
    pub max_streams_per_connection: usize,
    /// Interval at which engines report the progress of every running attempt, in ms; 0 for never.
    pub progress_interval: Millis,
    /// Maximum number of requests that are open at the same time.
    pub max_open_requests: usize,
    /// Longest deadline of any class, in ms; infinite if a class has none.
    pub longest_deadline: Millis,
}

/// Limits of the process on its machine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "Machine")]
pub struct MachineLimits {
    /// Maximum memory, in megabytes.
    pub memory_mb: usize,
    /// Maximum number of open sockets.
    pub max_sockets: usize,
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits {
            memory_mb: DEFAULT_MEMORY_MB,
            max_sockets: DEFAULT_MAX_SOCKETS,
        }
    }
}

/// `limits` in the platform's file. The deserializer's messages contain the name of this type.
#[derive(Deserialize)]
struct Machine {
    #[serde(default = "default_memory_mb")]
    memory_mb: usize,
    #[serde(default = "default_max_sockets")]
    sockets: usize,
}

fn default_memory_mb() -> usize {
    DEFAULT_MEMORY_MB
}

fn default_max_sockets() -> usize {
    DEFAULT_MAX_SOCKETS
}

impl From<Machine> for MachineLimits {
    fn from(raw: Machine) -> Self {
        MachineLimits {
            memory_mb: raw.memory_mb,
            max_sockets: raw.sockets,
        }
    }
}
