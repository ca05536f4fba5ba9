//! Configuration of the registry view.

use crate::decision::model::Millis;
use crate::membership::{Networks, SelfPreservationConfig};

/// Configuration of the registry view. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Networks that engine addresses must be in.
    pub networks: Networks,
    /// When instances that disappear in large numbers are kept in service, and for how long.
    pub self_preservation: SelfPreservationConfig,
    /// Age of its last answer at which a source counts as unreachable, in milliseconds. The records of an
    /// unreachable source are used only while all sources are unreachable.
    pub unreachable_after: Millis,
    /// How long an instance drains after one source stopped listing it while another still does, in
    /// milliseconds.
    pub missing_grace: Millis,
    /// How long the versions of a removed instance are kept, in milliseconds, so that no older list puts it
    /// back.
    pub tombstone_ttl: Millis,
    /// Maximum number of instances, tombstones excluded; records of further instances are ignored.
    pub max_instances: usize,
    /// Maximum number of tombstones; a new one beyond it evicts the oldest.
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
