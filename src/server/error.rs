//! Why a process cannot start, or cannot take a new configuration.

use crate::config::ConfigError;
use crate::decision::model::SettingsError;
use crate::transport::listener::ListenError;
use crate::transport::tls::TlsError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a process cannot start, or cannot take a new configuration. The message names the setting at fault.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The command line is not understood; holds the usage line.
    #[error("{0}")]
    Usage(&'static str),
    /// The configuration cannot be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The decision module refuses the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The clients' listening socket cannot be had.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The runtime, a signal handler or a socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The journal's events in the configuration cannot be read.
    #[error("known: {0}")]
    KnownEvents(#[source] serde_json::Error),
    /// The directory for spooled results cannot be used.
    #[error("spool.dir ({directory:?}): {source}")]
    SpoolDirectory {
        /// The configured directory, if any.
        directory: Option<PathBuf>,
        /// What the system answered.
        source: io::Error,
    },
    /// A certificate or key cannot be used.
    #[error("tls: {0}")]
    Tls(#[from] TlsError),
    /// The operators' address cannot be bound.
    #[error("admin_addr {address}: {source}")]
    AdminListen {
        /// The configured address.
        address: SocketAddr,
        /// What the system answered.
        source: io::Error,
    },
    /// The directory that the dispatcher's processes share cannot be used.
    #[error("the folder for state ({directory:?}): {source}")]
    StateDirectory {
        /// The configured directory, if any.
        directory: Option<PathBuf>,
        /// What the system answered.
        source: io::Error,
    },
    /// A running process cannot change this setting; holds its key.
    #[error("{0}: a change of it needs a restart")]
    NeedsRestart(&'static str),
}
