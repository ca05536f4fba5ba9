//! Snapshots: the data that one process stores for the next, so that it can serve while every registry is
//! unreachable, and does not let an older list undo a drain. Liveness evidence, preservations and sources'
//! records are not stored: they are valid only in the process that collected them.

use crate::decision::model::{EngineState, Millis};
use crate::membership::member::latest;
use crate::membership::{Member, Membership, Standing, Version};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Format version of [`Snapshot`]; it is incremented when an older program cannot read the new format.
pub const SNAPSHOT_FORMAT_VERSION: u32 = 1;

/// The stored form of the registry view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// When the snapshot was taken, in milliseconds since the Unix epoch.
    #[serde(rename = "written")]
    pub taken_at: Millis,
    /// The instances that were in service or draining.
    #[serde(rename = "engines")]
    pub instances: Vec<PersistedInstance>,
}

/// The stored form of one instance. Times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedInstance {
    /// Id of the instance.
    pub id: String,
    /// The address that belonged to the instance.
    pub address: SocketAddr,
    /// The availability zone, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The machine type, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Whether the instance was in service; otherwise it was draining.
    #[serde(rename = "serves")]
    pub in_service: bool,
    /// Since when the instance had had its standing.
    pub since: Millis,
    /// The newest version that any source reported.
    #[serde(rename = "newest")]
    pub newest_version: Version,
    /// The version of the newest drain that any source reported.
    #[serde(rename = "drained", default, skip_serializing_if = "Option::is_none")]
    pub drained_version: Option<Version>,
    /// When the instance's process started, if known.
    #[serde(rename = "started", default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<Millis>,
}

impl Membership {
    /// Takes a snapshot. Returns `None` while there is no instance to store, so that a start without
    /// instances does not overwrite the stored snapshot.
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

/// Returns the stored form of an instance, if the instance is not removed and its address belongs to it.
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
