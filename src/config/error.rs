//! Configuration errors: the invalid key, and the problem with its value.

use crate::config::fleet_settings::FleetSettingsError;
use crate::decision::model::SettingsError;
use std::fmt::Display;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::ops::RangeInclusive;

/// A configuration that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// Path of the file, as the operator wrote it.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A key or an environment variable has an invalid value.
    #[error("{key}: {problem}")]
    Invalid {
        /// Path of the key in the file, or name of the variable.
        key: String,
        /// Problem with the value.
        #[source]
        problem: Problem,
    },
}

/// Problem with the value of a key.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// A required variable is absent.
    #[error("is not set")]
    NotSet,
    /// The text is not TOML, or has an unexpected structure.
    #[error("{}", .0.message())]
    Toml(#[source] toml::de::Error),
    /// The text is not JSON, or has an unexpected structure.
    #[error("{0}")]
    Json(#[source] serde_json::Error),
    /// Not a socket address.
    #[error("{text:?} is not an IP address with a port ({source})")]
    Address {
        /// The value.
        text: String,
        /// The parser's reason.
        source: AddrParseError,
    },
    /// Not a URL.
    #[error("{text:?} is not a valid URL ({source})")]
    Url {
        /// The value.
        text: String,
        /// The parser's reason.
        source: url::ParseError,
    },
    /// A URL with another scheme than `http`.
    #[error("{text:?} is not an http:// URL; no other scheme is supported")]
    UrlScheme {
        /// The value.
        text: String,
    },
    /// A URL without a host.
    #[error("{text:?} has no host")]
    UrlHost {
        /// The value.
        text: String,
    },
    /// A URL with a query or a fragment.
    #[error("{text:?} has a query or a fragment; the URL of a server must have neither")]
    UrlQuery {
        /// The value.
        text: String,
    },
    /// The user or password in a URL is not percent-encoded UTF-8.
    #[error("the user or password in the URL is not percent-encoded UTF-8")]
    PercentEncoding(#[source] std::str::Utf8Error),
    /// Neither an IP network nor an IP address.
    #[error("{text:?} is not a network in CIDR form or an IP address")]
    Network {
        /// The value.
        text: String,
        /// Reason why it is not an address either.
        source: AddrParseError,
    },
    /// Not the number of a file descriptor.
    #[error("{text:?} is not a file descriptor, a number of at least 0")]
    Descriptor {
        /// The value.
        text: String,
    },
    /// Neither a hexadecimal nor a decimal 64-bit number.
    #[error("{text:?} is neither a hexadecimal nor a decimal 64-bit number")]
    Seed {
        /// The value.
        text: String,
        /// Reason why it is not a decimal number either.
        source: ParseIntError,
    },
    /// Not a size with a unit of bytes.
    #[error("{text:?} is not a size with a unit, such as \"16 MB\" or \"2 GiB\"")]
    Size {
        /// The value.
        text: String,
    },
    /// Not a name that can be used as a path segment in registry URLs.
    #[error("{text:?} is not a valid name; expected ASCII letters, digits and any of -_.:@")]
    RegistryName {
        /// The value.
        text: String,
    },
    /// Outside the bounds.
    #[error("{value} is not in {min} to {max}")]
    OutOfRange {
        /// The value, as the message shows it.
        value: String,
        /// Minimum valid value.
        min: String,
        /// Maximum valid value.
        max: String,
    },
    /// Not in the half-open range from 0 (excluded) to `max`.
    #[error("{value} is not above 0 and at most {max}")]
    NotPositiveUpTo {
        /// The value.
        value: f64,
        /// Maximum valid value.
        max: f64,
    },
    /// Not a finite number above 0.
    #[error("must be above 0")]
    NotPositive,
    /// Less than the minimum that the process needs.
    #[error("must be at least {min}")]
    TooFew {
        /// Minimum valid value.
        min: usize,
    },
    /// A list has too many entries.
    #[error("has more than {max} entries")]
    TooMany {
        /// Maximum number of entries.
        max: usize,
    },
    /// The number of registry servers is out of bounds.
    #[error("{count} servers are listed; expected 1 to {max}")]
    ServerCount {
        /// Number of listed servers.
        count: usize,
        /// Maximum number of servers.
        max: usize,
    },
    /// The number of TLS certificates is out of bounds.
    #[error("expected 1 to {max} certificates with their keys")]
    CertificateCount {
        /// Maximum number of certificates.
        max: usize,
    },
    /// The metadata of the registered instance exceed their limits.
    #[error("exceeds the maximum of {max_entries} entries or {max_bytes} bytes")]
    MetadataSize {
        /// Maximum number of entries.
        max_entries: usize,
        /// Maximum size of all keys and values together, in bytes.
        max_bytes: usize,
    },
    /// The value is not one that the key accepts.
    #[error("unknown value {text:?}; expected {expected}")]
    UnknownValue {
        /// The value.
        text: String,
        /// Accepted values, as the message shows them.
        expected: &'static str,
    },
    /// The value refers to a class or tenant that the file does not define.
    #[error("unknown {section} {name:?}")]
    UnknownName {
        /// Section that would define the name.
        section: &'static str,
        /// The name.
        name: String,
    },
    /// Statements of the class must not run twice, but the class is not marked `unsafe`.
    #[error("class {class:?} must be marked unsafe = true")]
    IdempotentClass {
        /// Name of the class.
        class: String,
    },
    /// Two entries have this name.
    #[error("another entry has the same name")]
    Duplicate,
    /// Two servers have the same URL.
    #[error("{server} is listed twice")]
    DuplicateServer {
        /// URL of the server.
        server: String,
    },
    /// The key conflicts with other keys, or requires one that is absent.
    #[error("{0}")]
    Combination(&'static str),
    /// The settings of the decision module are invalid.
    #[error("{}", .0.problem)]
    Settings(#[source] SettingsError),
    /// The platform's `settings` cannot be translated.
    #[error("{0}")]
    FleetSettings(#[source] FleetSettingsError),
}

impl ConfigError {
    /// Reports that `key` has an invalid value.
    pub(super) fn invalid(key: impl Into<String>, problem: Problem) -> Self {
        ConfigError::Invalid {
            key: key.into(),
            problem,
        }
    }

    /// Reports that the value of `key` is outside the bounds.
    pub(super) fn out_of_range<T: Display>(
        key: impl Into<String>,
        value: impl Display,
        bounds: &RangeInclusive<T>,
    ) -> Self {
        let problem = Problem::OutOfRange {
            value: value.to_string(),
            min: bounds.start().to_string(),
            max: bounds.end().to_string(),
        };
        ConfigError::invalid(key, problem)
    }

    /// Reports that `key` conflicts with other keys, or requires one that is absent; `reason` names them.
    pub(super) fn combination(key: impl Into<String>, reason: &'static str) -> Self {
        ConfigError::invalid(key, Problem::Combination(reason))
    }

    /// Reports that the settings of the decision module are invalid. The fields of the settings are keys
    /// below `prefix`.
    pub(super) fn settings(prefix: &str, error: SettingsError) -> Self {
        let key = format!("{prefix}{}", error.field);
        ConfigError::invalid(key, Problem::Settings(error))
    }
}
