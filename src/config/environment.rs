//! Environment variables that override keys of the file. An empty variable is treated as absent.

use crate::config::checks::socket_address;
use crate::config::{ConfigError, Problem};
use std::net::SocketAddr;

/// Overrides `admin_addr`.
const ADMIN_ADDRESS: &str = "PROXY_ADMIN_ADDR";
/// Descriptor of an inherited listening socket; overrides `inherited_fd`.
const INHERITED_DESCRIPTOR: &str = "PROXY_INHERITED_FD";

/// Returns the variable's value unless it is absent or empty.
pub(super) fn non_empty(variable: &impl Fn(&str) -> Option<String>, name: &str) -> Option<String> {
    variable(name).filter(|value| !value.is_empty())
}

/// Returns the address of the administrative HTTP server, if one is configured.
pub(super) fn admin_address(
    variable: &impl Fn(&str) -> Option<String>,
    configured: Option<String>,
) -> Result<Option<SocketAddr>, ConfigError> {
    let overridden = non_empty(variable, ADMIN_ADDRESS).map(|text| (ADMIN_ADDRESS, text));
    overridden
        .or(configured.map(|text| ("admin_addr", text)))
        .map(|(key, text)| socket_address(key, &text))
        .transpose()
}

/// Returns the descriptor of the inherited listening socket, if one is configured.
pub(super) fn inherited_descriptor(
    variable: &impl Fn(&str) -> Option<String>,
    configured: Option<i32>,
) -> Result<Option<i32>, ConfigError> {
    match non_empty(variable, INHERITED_DESCRIPTOR) {
        Some(text) => descriptor(text).map(Some),
        None => Ok(configured),
    }
}

fn descriptor(text: String) -> Result<i32, ConfigError> {
    match text.parse() {
        Ok(number) if number >= 0 => Ok(number),
        _ => Err(ConfigError::invalid(
            INHERITED_DESCRIPTOR,
            Problem::Descriptor { text },
        )),
    }
}
