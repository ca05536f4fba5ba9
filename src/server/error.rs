//! Errors of the start and of a configuration reload.

use crate::config::ConfigError;
use crate::decision::model::SettingsError;
use crate::transport::listener::ListenError;
use crate::transport::tls::TlsError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Error that prevents a process from starting or from applying a new configuration. The message names the
/// setting at fault.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The command line is invalid; holds the usage line.
    #[error("{0}")]
    Usage(&'static str),
    /// The configuration cannot be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The decision module rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The clients' listening socket cannot be opened or inherited.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The runtime, a signal handler or a socket operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The journal events in the configuration (key `known`) cannot be parsed.
    #[error("known: {0}")]
    KnownEvents(#[source] serde_json::Error),
    /// The directory for spooled results cannot be used.
    #[error("spool.dir ({directory:?}): {source}")]
    SpoolDirectory {
        /// The configured directory, if any.
        directory: Option<PathBuf>,
        /// Error of the operating system.
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
        /// Error of the operating system.
        source: io::Error,
    },
    /// The state directory, which the dispatcher's processes share, cannot be used.
    #[error("state directory {directory:?} cannot be used: {source}")]
    StateDirectory {
        /// The configured directory, if any.
        directory: Option<PathBuf>,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A running process cannot change this setting; holds the setting's key.
    #[error("{0}: a changed value requires a restart")]
    NeedsRestart(&'static str),
}
