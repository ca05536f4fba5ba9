//! Configuration errors: the key at fault and what is wrong with its value.

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
        /// The file, as the operator named it.
        file: String,
        /// What the operating system reported.
        source: io::Error,
    },
    /// A key or an environment variable holds a value that cannot be used.
    #[error("{key}: {problem}")]
    Invalid {
        /// The key's path in the file, or the variable's name.
        key: String,
        /// What is wrong with the value.
        #[source]
        problem: Problem,
    },
}

/// What is wrong with the value of a key.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// A required variable is absent.
    #[error("is not set")]
    NotSet,
    /// The text is not TOML, or not of the expected shape.
    #[error("{}", .0.message())]
    Toml(#[source] toml::de::Error),
    /// The text is not JSON, or not of the expected shape.
    #[error("{0}")]
    Json(#[source] serde_json::Error),
    /// Not a socket address.
    #[error("{text:?} is no address and port ({source})")]
    Address {
        /// The value.
        text: String,
        /// The parser's reason.
        source: AddrParseError,
    },
    /// Not a URL.
    #[error("{text:?} is no URL ({source})")]
    Url {
        /// The value.
        text: String,
        /// The parser's reason.
        source: url::ParseError,
    },
    /// A URL of another scheme than `http`.
    #[error("{text:?}: only http is spoken, and the URL starts with it")]
    UrlScheme {
        /// The value.
        text: String,
    },
    /// A URL without a host.
    #[error("{text:?} names no host")]
    UrlHost {
        /// The value.
        text: String,
    },
    /// A URL with a query or a fragment.
    #[error("{text:?}: a server has no query and no fragment")]
    UrlQuery {
        /// The value.
        text: String,
    },
    /// User or password of a URL is not percent-encoded UTF-8.
    #[error("the user or password is wrongly escaped")]
    Escaping(#[source] std::str::Utf8Error),
    /// Neither an IP network nor an IP address.
    #[error("{text:?} is no network")]
    Network {
        /// The value.
        text: String,
        /// Why it is no address either.
        source: AddrParseError,
    },
    /// Not a file descriptor's number.
    #[error("{text:?} is no descriptor")]
    Descriptor {
        /// The value.
        text: String,
    },
    /// Neither a hexadecimal nor a decimal number.
    #[error("{text:?} is no hexadecimal number")]
    Seed {
        /// The value.
        text: String,
        /// Why it is no decimal number either.
        source: ParseIntError,
    },
    /// Not a size in bytes with its unit.
    #[error("{text:?} is no size with a unit, as \"16 MB\" or \"2 GiB\"")]
    Size {
        /// The value.
        text: String,
    },
    /// Not a name that can be a segment of a registry's path.
    #[error("{text:?}: letters, digits and any of -_.:@ make a name")]
    RegistryName {
        /// The value.
        text: String,
    },
    /// Outside the bounds.
    #[error("{value} is not in {min} to {max}")]
    OutOfRange {
        /// The value, as it is shown.
        value: String,
        /// The least valid value.
        min: String,
        /// The greatest valid value.
        max: String,
    },
    /// Not in the half-open range from 0 (excluded) to `max`.
    #[error("{value} is not above 0 and at most {max}")]
    NotPositiveUpTo {
        /// The value.
        value: f64,
        /// The greatest valid value.
        max: f64,
    },
    /// Not a finite number above 0.
    #[error("must be above 0")]
    NotPositive,
    /// Less than the least number that the process can work with.
    #[error("at least {min} are needed")]
    TooFew {
        /// The least valid value.
        min: usize,
    },
    /// More entries than a list may have.
    #[error("more than {max}")]
    TooMany {
        /// The greatest valid number of entries.
        max: usize,
    },
    /// The number of registry servers is out of bounds.
    #[error("{count} servers: 1 to {max} can be")]
    ServerCount {
        /// How many are listed.
        count: usize,
        /// The greatest valid number.
        max: usize,
    },
    /// The number of TLS certificates is out of bounds.
    #[error("1 to {max} keys are to be named")]
    CertificateCount {
        /// The greatest valid number.
        max: usize,
    },
    /// The registered instance's metadata exceed their bounds.
    #[error("{max_entries} entries and {max_bytes} bytes at most")]
    MetadataSize {
        /// The greatest valid number of entries.
        max_entries: usize,
        /// The greatest valid size of all keys and values.
        max_bytes: usize,
    },
    /// None of the words that the key takes.
    #[error("{text:?} is {alternatives}")]
    UnknownWord {
        /// The value.
        text: String,
        /// The words it is not, as the message shows them.
        alternatives: &'static str,
    },
    /// Refers to a class or tenant that the file does not define.
    #[error("no {section} is named {name:?}")]
    UnknownName {
        /// What it would be, by the name of its section.
        section: &'static str,
        /// The name.
        name: String,
    },
    /// The class must not run a statement twice, but is not marked `unsafe`.
    #[error("class {class:?} is not unsafe")]
    RetriedClass {
        /// The class's name.
        class: String,
    },
    /// Two entries have this name.
    #[error("stands there twice")]
    Duplicate,
    /// Two servers have the same address.
    #[error("{server} stands there twice")]
    DuplicateServer {
        /// The server's address.
        server: String,
    },
    /// The key contradicts other keys, or needs one that is absent.
    #[error("{0}")]
    Combination(&'static str),
    /// The decision module's settings are impossible.
    #[error("{}", .0.problem)]
    Settings(#[source] SettingsError),
    /// The platform's `settings` cannot be translated.
    #[error("{0}")]
    FleetSettings(#[source] FleetSettingsError),
}

impl ConfigError {
    /// `key` holds a value that cannot be used.
    pub(super) fn invalid(key: impl Into<String>, problem: Problem) -> Self {
        ConfigError::Invalid {
            key: key.into(),
            problem,
        }
    }

    /// The value under `key` is outside the bounds.
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

    /// `key` contradicts other keys, or needs one that is absent; `reason` says which.
    pub(super) fn combination(key: impl Into<String>, reason: &'static str) -> Self {
        ConfigError::invalid(key, Problem::Combination(reason))
    }

    /// The decision module's settings are impossible; its fields are keys below `prefix`.
    pub(super) fn settings(prefix: &str, error: SettingsError) -> Self {
        let key = format!("{prefix}{}", error.field);
        ConfigError::invalid(key, Problem::Settings(error))
    }
}
