//! What one process leaves for the next: enough to serve while every registry is away, and to know the drains
//! that an older list must not undo. Connections, holds and claims are not kept: they are another process's.

use crate::decision::model::{EngineState, Millis};
use crate::membership::registry_view::Membership;
use crate::membership::source_records::{Standing, Version};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The form of [`Snapshot`]; it rises when an older program could not read it.
pub const SNAPSHOT_FORMAT_VERSION: u32 = 1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// When it was taken, on the Unix clock, in milliseconds.
    #[serde(rename = "written")]
    pub taken_at: Millis,
    #[serde(rename = "engines")]
    pub instances: Vec<PersistedInstance>,
}

/// One engine that was listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedInstance {
    pub id: String,
    pub address: SocketAddr,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    pub serves: bool,
    pub since: Millis,
    pub newest: Version,
    /// The newest drain that was told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drained: Option<Version>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<Millis>,
}

impl Membership {
    /// What is believed now; none before anything was told, so that an empty start overwrites nothing.
    pub fn snapshot(&self, now: Millis) -> Option<Snapshot> {
        let listed = self
            .members()
            .iter()
            .filter(|(_, m)| m.state() != EngineState::Gone);
        let engines: Vec<PersistedInstance> = listed
            .filter_map(|(id, m)| {
                Some(PersistedInstance {
                    id: id.clone(),
                    address: m.address.filter(|_| m.superseded.is_none())?,
                    zone: m.zone.clone(),
                    kind: m.kind.clone(),
                    serves: m.belief.stand == Standing::Serving || m.held.is_some(),
                    since: m.since,
                    newest: m.claims.newest,
                    drained: m.claims.floor.map(|f| f.version),
                    started: [m.listed_start, m.proof.started]
                        .into_iter()
                        .flatten()
                        .reduce(f64::max),
                })
            })
            .collect();
        (!engines.is_empty()).then_some(Snapshot {
            taken_at: now,
            instances: engines,
        })
    }
}
