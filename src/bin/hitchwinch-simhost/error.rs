//! What ends the program: input that the protocol does not permit, or a failure of standard input or output.

use query_dispatcher::SettingsError;
use query_dispatcher::config::FleetSettingsError;

/// Why a line could not be handled.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HostError {
    /// The line is no message, or a reply cannot be written as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// Standard input or output failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A batch begins before the one before has ended.
    #[error("turn inside a batch")]
    NestedBatch,
    /// A message stands before the first batch, or between two.
    #[error("event outside a batch")]
    OutsideBatch,
    /// The input ends before the batch does.
    #[error("input ends inside a batch")]
    UnfinishedBatch,
    /// The message needs a list and names none.
    #[error("missing field `list`")]
    MissingList,
    /// The message names a list that was not defined.
    #[error("unknown table {list}")]
    UnknownList {
        /// The list's number.
        list: u64,
    },
    /// The query's class is not among the instance's.
    #[error("band: class {class:?} is not listed")]
    UnknownClass {
        /// The class's name.
        class: String,
    },
    /// No instance has this name.
    #[error("instance {instance:?} is not provisioned")]
    UnknownInstance {
        /// The instance's name.
        instance: String,
    },
    /// An instance's settings cannot be translated.
    #[error("{0}")]
    FleetSettings(#[from] FleetSettingsError),
    /// An instance's settings are impossible.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}

/// A line that could not be handled.
#[derive(Debug, thiserror::Error)]
#[error("line {number}: {error}")]
pub(crate) struct LineError {
    /// Counted from 1.
    pub(crate) number: u64,
    #[source]
    pub(crate) error: HostError,
}
