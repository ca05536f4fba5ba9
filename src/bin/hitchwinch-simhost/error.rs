//! Errors that end the program: input that the protocol does not permit, and failures of standard input or
//! output.

use query_dispatcher::SettingsError;
use query_dispatcher::config::FleetSettingsError;

/// Error while handling a line.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HostError {
    /// The line is not a valid message, or a reply cannot be serialized as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// Standard input or output failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A batch begins before the previous one has ended.
    #[error("`turn` inside a batch; expected `commit` first")]
    NestedBatch,
    /// A message precedes the first batch or is between two batches.
    #[error("message outside a batch; expected `turn` first")]
    OutsideBatch,
    /// The input ends before the current batch does.
    #[error("input ends inside a batch; expected `commit`")]
    UnfinishedBatch,
    /// The message requires a list and names none.
    #[error("missing field `list`")]
    MissingList,
    /// The message names a list that was not defined.
    #[error("list: table {list} is not defined")]
    UnknownList {
        /// Number of the list.
        list: u64,
    },
    /// The query's class is not among the instance's classes.
    #[error("band: class {class:?} is not in the instance's settings")]
    UnknownClass {
        /// Name of the class.
        class: String,
    },
    /// No instance has this name.
    #[error("gateway_id: instance {instance:?} is not provisioned")]
    UnknownInstance {
        /// Name of the instance.
        instance: String,
    },
    /// An instance's settings cannot be translated into decision settings.
    #[error("{0}")]
    FleetSettings(#[from] FleetSettingsError),
    /// The decision module rejects an instance's settings.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}

/// Error with the number of the line at fault.
#[derive(Debug, thiserror::Error)]
#[error("line {number}: {error}")]
pub(crate) struct LineError {
    /// Line number, counted from 1.
    pub(crate) number: u64,
    #[source]
    pub(crate) error: HostError,
}
