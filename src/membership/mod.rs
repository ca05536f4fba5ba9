//! The registry view: the state of every engine instance, merged from registries, connections, operators and
//! the snapshot of an earlier process.
//!
//! It is a pure state machine: it does no I/O, and the caller passes the time in, in milliseconds since the
//! Unix epoch ([`Millis`](crate::decision::model::Millis)). The inputs of a [`Membership`] are answers of
//! registries ([`SourceUpdate`]), events on connections ([`Observation`]), the operators' administrative
//! drains and the [`Snapshot`] of an earlier process; its outputs are the [`EndpointListChange`]s
//! that the request router applies. `docs/design/membership.md` compares the alternatives that were
//! considered.
//!
//! | rule | module |
//! | --- | --- |
//! | an older record never overrides a newer one | `source_records` |
//! | an instance on which sources contradict each other drains | `resolution` |
//! | instances that disappear in large numbers stay in service for a limited time | `self_preservation` |
//! | an engine that accepts connections again after all were lost has restarted | `liveness` |
//! | an address outside the configured networks is rejected | `networks`, `rejections` |
//! | an address belongs to at most one instance | `address_owners` |
//! | the number of sources, instances and tombstones is bounded | `sources`, `instance_store` |
//!
//! An update passes through `ingestion` (records are stored), `reevaluation` (states are resolved,
//! self-preservation and address ownership are applied) and `publication` (the differences from the last
//! publication are returned).

mod address_owners;
mod administrative_drain;
mod change;
mod config;
mod explanation;
mod ingestion;
mod instance_record;
mod instance_store;
mod liveness;
mod log_lines;
mod member;
mod networks;
mod publication;
mod reevaluation;
mod registry_view;
mod rejections;
pub mod report;
mod resolution;
mod restore;
mod self_preservation;
mod snapshot;
mod source_records;
mod sources;
#[cfg(test)]
mod tests;
mod time_index;
mod update;

pub use change::{DiscoveredEngine, EndpointListChange};
pub use config::MembershipConfig;
pub use instance_record::{InstanceRecord, Reported, Status, Version};
pub use liveness::{LivenessEvidence, Observation};
pub use member::Member;
pub use networks::{AddressError, MAX_NETWORKS, Networks};
pub use registry_view::{Membership, ObservationOutcome};
pub use rejections::{MAX_REJECTED_ADDRESSES, RejectedAddress, RejectionLog};
pub use resolution::{Reason, ResolvedState, Standing};
pub use self_preservation::{DisappearanceHistory, Preservation, SelfPreservationConfig};
pub use snapshot::{PersistedInstance, SNAPSHOT_FORMAT_VERSION, Snapshot};
pub use source_records::{DrainWatermark, MAX_CLOCK_SKEW_MS, SourceRecord, SourceRecords};
pub use sources::{MAX_SOURCES, Source, SourceFailure, SourceId};
pub use update::{SourceUpdate, UpdateContent};
