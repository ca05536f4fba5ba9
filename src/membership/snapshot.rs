//! What one process leaves for the next: enough to serve while every registry is unreachable, and to know the drains
//! that an older list must not undo. Connections, preservations and sources' records are not kept: they belong to the
//! process that saw them.

use crate::decision::model::{EngineState, Millis};
use crate::membership::member::latest;
use crate::membership::{Member, Membership, Standing, Version};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The format version of [`Snapshot`]; it rises when an older program could not read the new form.
pub const SNAPSHOT_FORMAT_VERSION: u32 = 1;

/// The registry view as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// When it was taken, on the Unix clock, in milliseconds.
    #[serde(rename = "written")]
    pub taken_at: Millis,
    /// The instances that were listed.
    #[serde(rename = "engines")]
    pub instances: Vec<PersistedInstance>,
}

/// One instance that was listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedInstance {
    /// The instance's id.
    pub id: String,
    /// The address that belonged to it.
    pub address: SocketAddr,
    /// Its zone, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Its machine type, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Whether it was in service; it drained otherwise.
    #[serde(rename = "serves")]
    pub in_service: bool,
    /// Since when it had its standing.
    pub since: Millis,
    /// The newest version that any source reported.
    #[serde(rename = "newest")]
    pub newest_version: Version,
    /// The version of the newest drain that any source reported.
    #[serde(rename = "drained", default, skip_serializing_if = "Option::is_none")]
    pub drained_version: Option<Version>,
    /// When its process started, if known.
    #[serde(rename = "started", default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<Millis>,
}

impl Membership {
    /// What is known now; none while no instance is listed, so that an empty start overwrites nothing.
    pub fn snapshot(&self, now: Millis) -> Option<Snapshot> {
        let instances: Vec<PersistedInstance> = self
            .members()
            .iter()
            .filter_map(|(id, member)| persisted_form(id, member))
            .collect();
        if instances.is_empty() {
            return None;
        }
        Some(Snapshot {
            taken_at: now,
            instances,
        })
    }
}

/// The instance as it is stored, if it is listed and has an address of its own.
fn persisted_form(id: &str, member: &Member) -> Option<PersistedInstance> {
    if member.state() == EngineState::Gone || member.superseded_by.is_some() {
        return None;
    }
    let in_service = member.resolved.standing == Standing::Serving || member.preservation.is_some();
    let drain = member.records.drain_watermark;
    Some(PersistedInstance {
        id: id.to_string(),
        address: member.address?,
        zone: member.zone.clone(),
        kind: member.kind.clone(),
        in_service,
        since: member.since,
        newest_version: member.records.newest_version,
        drained_version: drain.map(|drain| drain.version),
        started_at: latest([member.listed_start, member.liveness.restarted_at]),
    })
}
