//! What operators are shown of the registry view: the JSON of `GET /_members`. Ages are in milliseconds before the call.

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
    /// The age of the snapshot that this process started from.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub snapshot_age_ms: Option<f64>,
    /// Counts over all instances.
    pub counts: Counts,
    /// The instances that the query selects, ordered by id.
    pub members: Vec<MemberReport>,
    /// The id after which the next call continues, if there are more.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
    /// The latest rejected addresses.
    pub rejected: Vec<RejectedReport>,
}

/// One source.
#[derive(Debug, Serialize)]
pub struct SourceReport {
    /// The registry's address.
    pub name: String,
    /// Whether its last answer is recent enough for its records to count.
    #[serde(rename = "answers")]
    pub answering: bool,
    /// The age of its last answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answered_age_ms: Option<f64>,
    /// Full lists that it sent.
    #[serde(rename = "whole_lists")]
    pub full_lists: u64,
    /// Deltas that it sent.
    pub deltas: u64,
    /// Exchanges that gave nothing usable.
    pub failures: u64,
    /// What went wrong in the last of these.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub last_failure: Option<String>,
    /// The age of the last failure.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub last_failure_age_ms: Option<f64>,
}

/// Counts over all instances.
#[derive(Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Instances that take requests.
    pub ready: usize,
    /// Instances that take no new requests.
    pub draining: usize,
    /// Missing instances that are kept in service.
    #[serde(rename = "held")]
    pub preserved: usize,
    /// Instances on which sources contradict each other.
    pub contradicted: usize,
    /// Restored instances that no source has confirmed.
    #[serde(rename = "unproven")]
    pub unconfirmed: usize,
    /// Instances that operators drained.
    #[serde(rename = "by_hand")]
    pub administratively_drained: usize,
    /// Removed instances whose versions are kept.
    #[serde(rename = "gone")]
    pub tombstones: usize,
    /// Rejected addresses since the start.
    pub rejections: u64,
    /// Records of instances beyond the limit that were ignored.
    #[serde(rename = "beyond_bound")]
    pub over_limit: u64,
    /// Records that were ignored because a newer one was known.
    #[serde(rename = "passed_over")]
    pub outdated_records: u64,
}

/// One instance.
#[derive(Debug, Serialize)]
pub struct MemberReport {
    /// Its id.
    pub id: String,
    /// Its address, if known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// Why it is in this state.
    #[serde(rename = "why")]
    pub reason: String,
    /// Since when it has its standing.
    pub state_age_ms: f64,
    /// How often its standing has changed.
    #[serde(rename = "turns")]
    pub state_changes: u64,
    /// Its zone, if known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Its machine type, if known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// The age of its process, if known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub started_age_ms: Option<f64>,
    /// The newest version that any source reported.
    pub version: Version,
    /// Sources contradict each other.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub contradiction: bool,
    /// Restored from a snapshot and confirmed by no source since.
    #[serde(rename = "unproven", skip_serializing_if = "std::ops::Not::not")]
    pub unconfirmed: bool,
    /// Operators drained it.
    #[serde(rename = "by_hand", skip_serializing_if = "std::ops::Not::not")]
    pub administratively_drained: bool,
    /// Connections show that nobody is there.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub connections_lost: bool,
    /// It is missing and kept in service.
    #[serde(rename = "held", skip_serializing_if = "Option::is_none")]
    pub preservation: Option<PreservationReport>,
    /// The instance that its address belongs to now.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub superseded_by: Option<String>,
    /// What each source last reported of it.
    #[serde(rename = "claims")]
    pub records: Vec<SourceRecordReport>,
}

/// Why and how long a missing instance is kept in service.
#[derive(Debug, Serialize)]
pub struct PreservationReport {
    /// How many went missing with it.
    #[serde(rename = "why")]
    pub reason: String,
    /// The time that is left.
    pub ends_in_ms: f64,
}

/// What one source last reported of an instance.
#[derive(Debug, Serialize)]
pub struct SourceRecordReport {
    /// The source's name.
    pub source: String,
    /// The status that it reported, or that it does not list the instance.
    #[serde(rename = "says")]
    pub reported: String,
    /// How new the report is.
    pub version: Version,
    /// Since when the source reports this.
    pub since_age_ms: f64,
    /// The instance itself has reported something newer since.
    #[serde(rename = "older", skip_serializing_if = "std::ops::Not::not")]
    pub outdated: bool,
}

/// An address that was rejected.
#[derive(Debug, Serialize)]
pub struct RejectedReport {
    /// The instance's id.
    pub id: String,
    /// The address, if one was named.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// Why it was rejected.
    #[serde(rename = "why")]
    pub reason: String,
    /// How often it was rejected.
    #[serde(rename = "times")]
    pub count: u64,
    /// The age of the last rejection.
    pub last_age_ms: f64,
}
