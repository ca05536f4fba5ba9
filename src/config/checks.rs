//! Checks that several sections share. Their errors name the key.

use crate::config::{ConfigError, Problem};
use serde::de::DeserializeOwned;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Returns the value if it is within the bounds; NaN never is.
pub(super) fn in_range<T: PartialOrd + Display>(
    key: &str,
    value: T,
    bounds: RangeInclusive<T>,
) -> Result<T, ConfigError> {
    if bounds.contains(&value) {
        Ok(value)
    } else {
        Err(ConfigError::out_of_range(key, value, &bounds))
    }
}

/// Returns the value if it is finite and above 0.
pub(super) fn positive(key: &str, value: f64) -> Result<f64, ConfigError> {
    if value.is_finite() && value > 0.0 {
        Ok(value)
    } else {
        Err(ConfigError::invalid(key, Problem::NotPositive))
    }
}

/// Parses an IP address with a port.
pub(super) fn socket_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|source| {
        let text = text.to_string();
        ConfigError::invalid(key, Problem::Address { text, source })
    })
}

/// Parses the text of a TOML file. The key in an error is the path of the invalid value.
pub(super) fn from_toml<T: DeserializeOwned>(text: &str) -> Result<T, ConfigError> {
    let deserializer = toml::Deserializer::parse(text)
        .map_err(|e| ConfigError::invalid("toml", Problem::Toml(e)))?;
    serde_path_to_error::deserialize(deserializer).map_err(|e| {
        let key = e.path().to_string();
        ConfigError::invalid(key, Problem::Toml(e.into_inner()))
    })
}

/// Parses the text of a JSON file. The key in an error is the path of the invalid value.
pub(super) fn from_json<T: DeserializeOwned>(text: &str) -> Result<T, ConfigError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|e| {
        let key = e.path().to_string();
        ConfigError::invalid(key, Problem::Json(e.into_inner()))
    })
}
