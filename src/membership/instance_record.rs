//! Records of instances, as registries list them.

use crate::decision::model::Millis;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Limit of valid timestamps, in milliseconds since the Unix epoch: greater values are not exact in an `f64`.
const TIMESTAMP_LIMIT_MS: f64 = 9e15;

/// Status of an instance, as in the registries' protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Status {
    /// The instance takes requests.
    Up,
    /// The instance's process has started and is not in service yet.
    Starting,
    /// Operators took the instance out of service.
    OutOfService,
    /// A health check failed.
    Down,
    /// The status is not known, or its name is none of the others.
    Unknown,
}

impl Status {
    /// Parses the name of a status; any other text is [`Status::Unknown`], with which an instance takes no
    /// requests.
    pub fn parse(name: &str) -> Self {
        match name {
            "UP" => Status::Up,
            "STARTING" => Status::Starting,
            "OUT_OF_SERVICE" => Status::OutOfService,
            "DOWN" => Status::Down,
            _ => Status::Unknown,
        }
    }

    /// Returns the name of the status in the registries' protocol.
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

/// Version of a record: ordered first by the instance's own clock, then by the registry's. Both timestamps
/// are in milliseconds since the Unix epoch, and 0 if the registry sends none.
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
    /// Creates a version from its timestamps, in milliseconds since the Unix epoch.
    pub fn new(dirty: u64, updated: u64) -> Self {
        Version { dirty, updated }
    }

    /// Creates a version from the timestamps of a registry's record, in milliseconds since the Unix epoch. A
    /// timestamp that is not a positive number or is out of range counts as absent.
    pub fn from_timestamps(dirty: Option<f64>, updated: Option<f64>) -> Self {
        let milliseconds = |timestamp: Option<f64>| {
            timestamp
                .filter(|at| at.is_finite() && *at > 0.0 && *at < TIMESTAMP_LIMIT_MS)
                .map_or(0, |at| at as u64)
        };
        Version::new(milliseconds(dirty), milliseconds(updated))
    }

    /// Returns whether the registry sends no timestamps. Then only the order of requests to this one source
    /// orders its records.
    pub fn is_unset(self) -> bool {
        self == Version::default()
    }
}

/// The record of one instance in one answer of a registry.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceRecord {
    /// Id of the instance.
    pub id: String,
    /// The status that the instance reported.
    pub status: Status,
    /// The status that operators set at the registry, if any. (Registries send `UNKNOWN` if none is set.)
    pub overridden: Option<Status>,
    /// The address; `None` if the record has no address or no enabled port.
    pub address: Option<SocketAddr>,
    /// The availability zone, if the record has one.
    pub zone: Option<String>,
    /// The machine type, if the record has one.
    pub kind: Option<String>,
    /// Version of the record.
    pub version: Version,
    /// `serviceUpTimestamp`: when the instance's process came into service, in milliseconds since the Unix
    /// epoch.
    pub started: Option<Millis>,
}

/// The state that a source reports of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reported {
    /// The instance takes requests.
    Serving,
    /// The instance takes no new requests, because of this status.
    Draining(Status),
    /// The address is missing or rejected.
    UnusableAddress,
    /// The source listed the instance before and no longer does.
    Absent,
}

impl InstanceRecord {
    /// Returns the state that the record reports. Any status except `UP`, or an override to any status except
    /// `UP`, drains the instance: running requests may finish. Reason: an instance that fails a health check
    /// (`DOWN`) may still be able to finish its running requests; only its absence from the list shows that
    /// it is removed.
    pub fn reported(&self) -> Reported {
        match self.overridden.filter(|status| *status != Status::Up) {
            Some(status) => Reported::Draining(status),
            None if self.status == Status::Up => Reported::Serving,
            None => Reported::Draining(self.status),
        }
    }
}
