//! Tests of the sections, by file of the section.

mod eureka;
mod mysql;
mod platform;
mod spool;
mod tls;

use crate::config::{ConfigError, Problem};
use serde::de::DeserializeOwned;

/// Reads the text of one section, which the whole file has under `name`.
fn section<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, ConfigError> {
    let deserializer = toml::Deserializer::parse(text).unwrap();
    serde_path_to_error::deserialize(deserializer).map_err(|e| {
        let key = format!("{name}.{}", e.path());
        ConfigError::invalid(key, Problem::Toml(e.into_inner()))
    })
}

/// The message of a configuration that has to be rejected.
fn rejection<T>(result: Result<T, ConfigError>) -> String {
    match result {
        Ok(_) => panic!("the configuration is accepted"),
        Err(e) => e.to_string(),
    }
}
