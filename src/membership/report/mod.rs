//! The operators' report on the registry view: the JSON of `GET /_members`. Ages are in milliseconds at the
//! time of the call.

mod build;
mod query;

pub use query::{MAX_MEMBERS_PER_REPORT, MemberFilter, Query, QueryError};

use crate::membership::Version;
use serde::Serialize;
use std::net::SocketAddr;

/// The report on sources and instances.
#[derive(Debug, Serialize)]
pub struct Report {
    /// All sources.
    pub sources: Vec<SourceReport>,
    /// Age of the restored snapshot, in milliseconds, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub snapshot_age_ms: Option<f64>,
    /// Counts over all instances.
    pub counts: Counts,
    /// The instances that the query selects, ordered by id.
    pub members: Vec<MemberReport>,
    /// The value of `after` for the next call, if there are more instances.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
    /// The latest rejected addresses, the earliest recorded first.
    pub rejected: Vec<RejectedReport>,
}

/// The report on one source.
#[derive(Debug, Serialize)]
pub struct SourceReport {
    /// Name of the source: the address of the registry.
    pub name: String,
    /// Whether the last answer is recent enough for the source's records to be used.
    #[serde(rename = "answers")]
    pub answering: bool,
    /// Age of the last answer, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answered_age_ms: Option<f64>,
    /// Number of full lists that the source sent.
    #[serde(rename = "whole_lists")]
    pub full_lists: u64,
    /// Number of deltas that the source sent.
    pub deltas: u64,
    /// Number of exchanges that failed or gave an unusable answer.
    pub failures: u64,
    /// Problem of the last failed exchange.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub last_failure: Option<String>,
    /// Age of the last failed exchange, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub last_failure_age_ms: Option<f64>,
}

/// Counts over all instances.
#[derive(Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Number of instances that take requests.
    pub ready: usize,
    /// Number of instances that take no new requests.
    pub draining: usize,
    /// Number of missing instances that self-preservation keeps in service.
    #[serde(rename = "held")]
    pub preserved: usize,
    /// Number of instances on which sources contradict each other.
    pub contradicted: usize,
    /// Number of restored instances that no source has confirmed.
    #[serde(rename = "unproven")]
    pub unconfirmed: usize,
    /// Number of instances that operators have drained.
    #[serde(rename = "by_hand")]
    pub administratively_drained: usize,
    /// Number of removed instances whose versions are kept.
    #[serde(rename = "gone")]
    pub tombstones: usize,
    /// Number of rejections since the start of the process.
    pub rejections: u64,
    /// Number of records that were ignored because of the maximum number of instances.
    #[serde(rename = "beyond_bound")]
    pub over_limit: u64,
    /// Number of records that were ignored because a newer one was known.
    #[serde(rename = "passed_over")]
    pub outdated_records: u64,
}

/// The report on one instance.
#[derive(Debug, Serialize)]
pub struct MemberReport {
    /// Id of the instance.
    pub id: String,
    /// The address, if known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// The reason for the state.
    #[serde(rename = "why")]
    pub reason: String,
    /// Time since the standing last changed, in milliseconds.
    pub state_age_ms: f64,
    /// Number of changes of the standing.
    #[serde(rename = "turns")]
    pub state_changes: u64,
    /// The availability zone, if known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The machine type, if known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Time since the instance's process started, in milliseconds, if known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub started_age_ms: Option<f64>,
    /// The newest version that any source reported.
    pub version: Version,
    /// Whether sources contradict each other on the instance.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub contradiction: bool,
    /// Whether the instance was restored from a snapshot and no source has confirmed it since.
    #[serde(rename = "unproven", skip_serializing_if = "std::ops::Not::not")]
    pub unconfirmed: bool,
    /// Whether operators have drained the instance.
    #[serde(rename = "by_hand", skip_serializing_if = "std::ops::Not::not")]
    pub administratively_drained: bool,
    /// Whether all connections to the instance were lost or refused, and none has been opened since.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub connections_lost: bool,
    /// Set while the instance is missing and self-preservation keeps it in service.
    #[serde(rename = "held", skip_serializing_if = "Option::is_none")]
    pub preservation: Option<PreservationReport>,
    /// The newer instance that this instance's address belongs to, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub superseded_by: Option<String>,
    /// The last report of each source.
    #[serde(rename = "claims")]
    pub records: Vec<SourceRecordReport>,
}

/// Why and for how much longer a missing instance is kept in service.
#[derive(Debug, Serialize)]
pub struct PreservationReport {
    /// Text that states how many instances went missing together.
    #[serde(rename = "why")]
    pub reason: String,
    /// Time until the preservation ends, in milliseconds.
    pub ends_in_ms: f64,
}

/// The last report of one source on an instance.
#[derive(Debug, Serialize)]
pub struct SourceRecordReport {
    /// Name of the source.
    pub source: String,
    /// The reported status, or a text that states that the address is unusable or the instance not listed.
    #[serde(rename = "says")]
    pub reported: String,
    /// Version of the report.
    pub version: Version,
    /// Time since the source first reported this state, in milliseconds.
    pub since_age_ms: f64,
    /// Whether a newer `lastDirtyTimestamp` of the instance is known.
    #[serde(rename = "older", skip_serializing_if = "std::ops::Not::not")]
    pub outdated: bool,
}

/// A rejected address.
#[derive(Debug, Serialize)]
pub struct RejectedReport {
    /// Id of the instance.
    pub id: String,
    /// The address, if the record named one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// Why the address was rejected.
    #[serde(rename = "why")]
    pub reason: String,
    /// Number of rejections of this address of the instance.
    #[serde(rename = "times")]
    pub count: u64,
    /// Time since the last rejection, in milliseconds.
    pub last_age_ms: f64,
}
