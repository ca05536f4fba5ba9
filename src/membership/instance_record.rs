//! What one answer of a registry says of one instance.

use crate::decision::model::Millis;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Timestamps at or beyond this, in milliseconds, are garbage: they do not fit a float exactly.
const TIMESTAMP_LIMIT_MS: f64 = 9e15;

/// An instance's status, by the registries' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Status {
    /// It takes requests.
    Up,
    /// Its process has not come into service yet.
    Starting,
    /// Operators took it out of service.
    OutOfService,
    /// A health check failed.
    Down,
    /// None of the others.
    Unknown,
}

impl Status {
    /// Reads a registry's name of a status; any other text is [`Status::Unknown`], which takes no requests.
    pub fn parse(name: &str) -> Self {
        match name {
            "UP" => Status::Up,
            "STARTING" => Status::Starting,
            "OUT_OF_SERVICE" => Status::OutOfService,
            "DOWN" => Status::Down,
            _ => Status::Unknown,
        }
    }

    /// The registries' name of it.
    pub fn as_str(self) -> &'static str {
        match self {
            Status::Up => "UP",
            Status::Starting => "STARTING",
            Status::OutOfService => "OUT_OF_SERVICE",
            Status::Down => "DOWN",
            Status::Unknown => "UNKNOWN",
        }
    }
}

/// How new a record is: ordered first by the instance's own clock, then by the registry's. Both are in milliseconds,
/// and 0 where a registry gives none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// `lastDirtyTimestamp`, set by the instance.
    pub dirty: u64,
    /// `lastUpdatedTimestamp`, set by the registry.
    pub updated: u64,
}

impl Version {
    /// A version of these timestamps, in milliseconds.
    pub fn new(dirty: u64, updated: u64) -> Self {
        Version { dirty, updated }
    }

    /// The version of a record as registries write it: a timestamp that is not a positive number counts as absent.
    pub fn from_timestamps(dirty: Option<f64>, updated: Option<f64>) -> Self {
        let milliseconds = |timestamp: Option<f64>| {
            timestamp
                .filter(|at| at.is_finite() && *at > 0.0 && *at < TIMESTAMP_LIMIT_MS)
                .map_or(0, |at| at as u64)
        };
        Version::new(milliseconds(dirty), milliseconds(updated))
    }

    /// The registry gives no timestamps: only the order of requests is left, within that one source.
    pub fn is_unset(self) -> bool {
        self == Version::default()
    }
}

/// What one answer says of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceRecord {
    /// The instance's id.
    pub id: String,
    /// The status that the instance reported.
    pub status: Status,
    /// The status that operators set at the registry, if any. (Registries write `UNKNOWN` where nothing is set.)
    pub overridden: Option<Status>,
    /// Absent if the record names no address, or no open port.
    pub address: Option<SocketAddr>,
    /// The availability zone, if given.
    pub zone: Option<String>,
    /// The machine type, if given.
    pub kind: Option<String>,
    /// How new the record is.
    pub version: Version,
    /// `serviceUpTimestamp`: when its process came into service.
    pub started: Option<Millis>,
}

/// What a source reports of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reported {
    /// It takes requests.
    Serving,
    /// It takes no new requests, because of this status.
    Draining(Status),
    /// Its address must not be used.
    UnusableAddress,
    /// It was listed before and no longer is.
    Absent,
}

impl InstanceRecord {
    /// Any status but `UP`, and an override of any status but `UP`, drains the instance: requests that run may end.
    /// Reason: `DOWN` is what a health check says of an instance that may well finish what it runs; only its
    /// disappearance shows that it is removed.
    pub fn reported(&self) -> Reported {
        match self.overridden.filter(|status| *status != Status::Up) {
            Some(status) => Reported::Draining(status),
            None if self.status == Status::Up => Reported::Serving,
            None => Reported::Draining(self.status),
        }
    }
}
