//! Reloads the configuration on SIGHUP.

use crate::config::ConfigError;
use crate::log_line;
use crate::server::ServerError;
use crate::server::signals::Signals;

/// What a valid new configuration came to.
pub(super) enum Reloaded {
    /// All of it is in force.
    Applied,
    /// All but the setting of this key, which a running process cannot change.
    AppliedExcept(&'static str),
}

/// On every SIGHUP reads the configuration again and applies it. One that cannot be read or applied changes nothing.
/// Runs until the signal pipe breaks.
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
