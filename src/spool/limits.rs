//! Configured limits of spooled results.

use crate::decision::model::Millis;

/// Limits on the size, the number and the retention of spooled results.
#[derive(Clone, Debug, PartialEq)]
pub struct SpoolLimits {
    /// Maximum size of all pages in memory, in bytes.
    pub memory_bytes: u64,
    /// Maximum size of all pages on disk, in bytes. `None` without a spool directory.
    pub disk_bytes: Option<u64>,
    /// Maximum size of all results of one tenant in memory and on disk, in bytes. Requests without a tenant
    /// count as one tenant.
    pub tenant_bytes: u64,
    /// Maximum size of one result, in bytes.
    pub result_bytes: u64,
    /// Time for which a complete result is retained after its last use, in milliseconds.
    pub retention: Millis,
    /// Maximum number of spools that exist at the same time.
    pub max_spools: usize,
}

impl Default for SpoolLimits {
    fn default() -> Self {
        SpoolLimits {
            memory_bytes: 64 << 20,
            disk_bytes: None,
            tenant_bytes: u64::MAX,
            result_bytes: 1 << 20,
            retention: 60_000.0,
            max_spools: 10_000,
        }
    }
}
