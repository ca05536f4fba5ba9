//! Accounting of the bytes in use by spool, by tenant and in total.

use super::commands::Placement;
use super::index::{SpoolEntry, SpoolId, SpoolIndex};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes in memory and on disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpoolUsage {
    /// Bytes of pages in memory.
    pub memory_bytes: u64,
    /// Bytes of pages on disk.
    pub disk_bytes: u64,
}

impl SpoolUsage {
    /// Returns the bytes in memory and on disk together.
    pub fn total_bytes(&self) -> u64 {
        self.memory_bytes + self.disk_bytes
    }

    pub(super) fn add(&mut self, placement: Placement, bytes: u64) {
        match placement {
            Placement::Memory => self.memory_bytes += bytes,
            Placement::Disk => self.disk_bytes += bytes,
        }
    }

    pub(super) fn subtract(&mut self, other: SpoolUsage) {
        self.memory_bytes -= other.memory_bytes;
        self.disk_bytes -= other.disk_bytes;
    }

    pub(super) fn move_to_disk(&mut self, bytes: u64) {
        self.memory_bytes -= bytes;
        self.disk_bytes += bytes;
    }

    pub(super) fn move_to_memory(&mut self, bytes: u64) {
        self.disk_bytes -= bytes;
        self.memory_bytes += bytes;
    }
}

/// Sums over all spools.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageTotals {
    pub(super) usage: SpoolUsage,
    /// Bytes in memory and on disk by tenant. A tenant without stored bytes has no entry.
    pub(super) by_tenant: BTreeMap<Option<usize>, u64>,
}

impl UsageTotals {
    pub(super) fn of_tenant(&self, tenant: Option<usize>) -> u64 {
        self.by_tenant.get(&tenant).copied().unwrap_or(0)
    }

    pub(super) fn add(&mut self, tenant: Option<usize>, placement: Placement, bytes: u64) {
        *self.by_tenant.entry(tenant).or_default() += bytes;
        self.usage.add(placement, bytes);
    }

    pub(super) fn subtract(&mut self, tenant: Option<usize>, usage: SpoolUsage) {
        self.usage.subtract(usage);
        if let Some(tenant_bytes) = self.by_tenant.get_mut(&tenant) {
            *tenant_bytes -= usage.total_bytes();
            if *tenant_bytes == 0 {
                self.by_tenant.remove(&tenant);
            }
        }
    }
}

impl SpoolIndex {
    /// Returns the bytes of all spools in memory and on disk.
    pub fn usage(&self) -> SpoolUsage {
        self.totals.usage
    }

    /// Returns the bytes by tenant, in memory and on disk together.
    pub fn bytes_by_tenant(&self) -> &BTreeMap<Option<usize>, u64> {
        &self.totals.by_tenant
    }

    /// Moves bytes that could not be written to disk back to the memory account, even above its limit. They
    /// count there until the spool is spilled again or removed.
    pub fn return_to_memory(&mut self, id: SpoolId, bytes: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            let bytes = bytes.min(entry.usage.disk_bytes);
            entry.usage.move_to_memory(bytes);
            entry.target = Placement::Memory;
            self.totals.usage.move_to_memory(bytes);
        }
    }

    /// Returns whether the sums match the spools. For tests, since it visits every spool.
    pub fn is_consistent(&self) -> bool {
        let memory_bytes: u64 = self.entries.values().map(|e| e.usage.memory_bytes).sum();
        let disk_bytes: u64 = self.entries.values().map(|e| e.usage.disk_bytes).sum();
        let tenants: BTreeSet<_> = self.entries.values().map(|e| e.tenant).collect();
        let tenants_match = tenants
            .iter()
            .all(|tenant| self.sum_of_tenant(*tenant) == self.totals.of_tenant(*tenant));
        let usage = SpoolUsage {
            memory_bytes,
            disk_bytes,
        };
        usage == self.totals.usage && tenants_match
    }

    fn sum_of_tenant(&self, tenant: Option<usize>) -> u64 {
        self.entries
            .values()
            .filter(|entry| entry.tenant == tenant)
            .map(SpoolEntry::bytes)
            .sum()
    }
}
