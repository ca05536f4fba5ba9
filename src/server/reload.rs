//! Reloads the configuration on SIGHUP.

use crate::config::ConfigError;
use crate::log_line;
use crate::server::ServerError;
use crate::server::signals::Signals;

/// Result of applying a valid new configuration.
pub(super) enum Reloaded {
    /// All settings are in effect.
    Applied,
    /// All settings are in effect except the one with this key, which a running process cannot change.
    AppliedExcept(&'static str),
}

/// Rereads and applies the configuration on every SIGHUP. A configuration that cannot be read or applied
/// changes nothing. Returns when the signal pipe is broken.
pub(super) async fn reload_on_sighup<C>(
    mut sighup: Signals,
    read: impl Fn() -> Result<C, ConfigError>,
    mut apply: impl FnMut(C) -> Result<Reloaded, ServerError>,
) {
    while sighup.recv().await.is_some() {
        match read().map_err(ServerError::from).and_then(&mut apply) {
            Ok(Reloaded::Applied) => log_line!("SIGHUP: the configuration is in force"),
            Ok(Reloaded::AppliedExcept(key)) => {
                log_line!("SIGHUP: the configuration is in force, but {key} needs a restart");
            }
            Err(error) => log_line!("SIGHUP: {error}; the configuration before stays in force"),
        }
    }
}
