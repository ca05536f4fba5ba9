//! Limits of the machine and of the sockets.

use crate::decision::model::Millis;
use serde::Deserialize;

/// Memory that the process may use unless `memory_mb` is given, in megabytes.
const DEFAULT_MEMORY_MB: usize = 192;
/// Sockets that the process may open unless `sockets` is given.
const DEFAULT_MAX_SOCKETS: usize = 1024;

/// Limits and timeouts of the sockets, derived from the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct SocketSettings {
    /// A connection to an engine must be established within this.
    pub connect_timeout: Millis,
    /// A connection to an engine without traffic is closed after this.
    pub idle_timeout: Millis,
    /// Attempts that one connection carries at the same time.
    pub max_streams_per_connection: usize,
    /// Engines report the progress of every running attempt this often; 0: never.
    pub progress_interval: Millis,
    /// Requests that are open at the same time.
    pub max_open_requests: usize,
    /// The longest deadline of any class; infinite if a class has none.
    pub longest_deadline: Millis,
}

/// What the machine allows the process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "Machine")]
pub struct MachineLimits {
    /// Memory, in megabytes.
    pub memory_mb: usize,
    /// Open sockets.
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

/// `limits` of the platform's file. The deserializer's messages show this type's name.
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
