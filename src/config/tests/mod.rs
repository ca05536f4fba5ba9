//! Unit tests of the configuration, one module for each file or section.

mod eureka;
mod mysql;
mod platform;
mod spool;
mod tls;

use crate::config::{ConfigError, Problem};
use serde::de::DeserializeOwned;

/// Parses the text of one section, whose name in the complete file is `name`.
fn section<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, ConfigError> {
    let deserializer = toml::Deserializer::parse(text).unwrap();
    serde_path_to_error::deserialize(deserializer).map_err(|e| {
        let key = format!("{name}.{}", e.path());
        ConfigError::invalid(key, Problem::Toml(e.into_inner()))
    })
}

/// Returns the error message of a configuration that must be rejected.
fn rejection<T>(result: Result<T, ConfigError>) -> String {
    match result {
        Ok(_) => panic!("the configuration was accepted"),
        Err(e) => e.to_string(),
    }
}
