//! What is believed of every engine, whichever registry, connection, operator or earlier process told it.
//!
//! Pure: no I/O, and time is passed in, in milliseconds on the Unix clock ([`Millis`]). A [`Membership`] takes
//! views of registries ([`SourceUpdate`]), what connections show ([`Observation`]), operators' hands and the [`Snapshot`] of an
//! earlier process, and gives the [`Change`]s that the hub takes. `docs/design/membership.md` tells the options
//! that were weighed; the rules stand as doc comments where they are kept:
//!
//! | rule | where |
//! | --- | --- |
//! | an older fact never overrides a newer one; contradictions are resolved towards draining | [`claims`] |
//! | a mass disappearance is held back for a time | [`hold`] |
//! | connections that were all lost and come back are a fresh start | [`proof`] |
//! | addresses outside the networks are rejected | [`networks`] |
//! | an address belongs to one engine; every map is bounded | [`book`] |

pub mod liveness;
pub mod networks;
pub mod registry_view;
pub mod report;
pub mod self_preservation;
pub mod snapshot;
pub mod source_records;
#[cfg(test)]
mod tests;

pub use liveness::Observation;
pub use networks::Networks;
pub use registry_view::{Membership, MembershipConfig};
pub use self_preservation::SelfPreservationConfig;
pub use snapshot::Snapshot;
pub use source_records::{InstanceRecord, Status, Version};

use crate::decision::model::{EngineState, ListUpdate, Millis};
use std::net::SocketAddr;

/// One engine as a source lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Its own id: an address may pass to another engine.
    pub id: String,
    /// Absent in news of one that is gone.
    pub address: Option<SocketAddr>,
    pub state: EngineState,
    pub zone: Option<String>,
    pub kind: Option<String>,
    pub cell: i64,
    /// When its process last started, on the Unix clock.
    pub started: Option<Millis>,
}

/// What has changed, or the whole list.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub update: ListUpdate,
    pub engines: Vec<Engine>,
}

/// What one source lists, as of one answer.
#[derive(Clone, Debug)]
pub struct SourceUpdate {
    /// The source's name: a registry's address. The same name is the same source.
    pub source: String,
    /// When it was asked. An answer that was asked for earlier never counts after one asked for later.
    pub requested_at: Millis,
    /// When the last byte of its answer was here: from here on its drains count as told.
    pub received_at: Millis,
    pub content: UpdateContent,
}

#[derive(Clone, Debug)]
pub enum UpdateContent {
    /// All that the source lists; what is absent it lists no more.
    Full(Vec<InstanceRecord>),
    /// What changed since the source's last view.
    Delta {
        changed: Vec<InstanceRecord>,
        deleted: Vec<(String, Version)>,
    },
}
