//! The registry view: what is known of every engine instance, whichever registry, connection, operator or earlier
//! process reported it.
//!
//! A pure state machine: no I/O, and time is passed in, in milliseconds on the Unix clock ([`Millis`](crate::decision::model::Millis)). A
//! [`Membership`] takes updates of registries ([`SourceUpdate`]), what connections show ([`Observation`]), the
//! operators' administrative drains and the [`Snapshot`] of an earlier process, and returns the [`Change`]s that the
//! request router applies. `docs/design/membership.md` explains the options that were weighed.
//!
//! | rule | module |
//! | --- | --- |
//! | an older record never overrides a newer one | `source_records` |
//! | contradicting sources are resolved towards draining | `resolution` |
//! | a mass disappearance is not believed for a while | `self_preservation` |
//! | connections that were all lost and are back show a restart | `liveness` |
//! | addresses outside the configured networks are rejected | `networks`, `rejections` |
//! | an address belongs to one instance | `address_owners` |
//! | the number of sources, instances and tombstones is bounded | `sources`, `instance_store` |
//!
//! An update passes through `ingestion` (records are stored), `reevaluation` (states are resolved, self-preservation
//! and address ownership are applied) and `publication` (what differs from the last publication is returned).

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

pub use change::{Change, Engine};
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
