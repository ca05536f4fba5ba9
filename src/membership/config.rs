//! The registry view's configuration.

use crate::decision::model::Millis;
use crate::membership::{Networks, SelfPreservationConfig};

/// The operators' settings of the registry view. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// The networks that engines may be in.
    pub networks: Networks,
    /// When a mass disappearance is not believed, and for how long.
    pub self_preservation: SelfPreservationConfig,
    /// A source whose last answer is older is unreachable: its records count only if all sources are unreachable.
    pub unreachable_after: Millis,
    /// How long an instance drains that one source no longer lists and another does.
    pub missing_grace: Millis,
    /// How long the versions of a removed instance are kept, so that no older list brings it back.
    pub tombstone_ttl: Millis,
    /// Instances at a time; further ones are ignored.
    pub max_instances: usize,
    /// Tombstones at a time; the oldest is dropped for a new one.
    pub max_tombstones: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            networks: Networks::any(),
            self_preservation: SelfPreservationConfig::default(),
            unreachable_after: 15_000.0,
            missing_grace: 60_000.0,
            tombstone_ttl: 600_000.0,
            max_instances: 20_000,
            max_tombstones: 4_096,
        }
    }
}
