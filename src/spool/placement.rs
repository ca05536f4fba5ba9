//! Placement of pages: in memory, or on disk when memory is full.

use super::admission::SpoolRejection;
use super::commands::{AddPageOutcome, Placement, SpoolCommand};
use super::index::{SpoolId, SpoolIndex};
use crate::decision::model::Millis;

impl SpoolIndex {
    /// Adds a page of this size, in bytes, to a spool. If the page is rejected, the caller has to abandon the
    /// whole result with [`SpoolIndex::fail`]. The commands have to be executed in either case.
    pub fn add_page(&mut self, now: Millis, id: SpoolId, bytes: u64) -> AddPageOutcome {
        let mut commands = vec![];
        let placement = self.try_add_page(now, id, bytes, &mut commands);
        AddPageOutcome {
            placement,
            commands,
        }
    }

    fn try_add_page(
        &mut self,
        now: Millis,
        id: SpoolId,
        bytes: u64,
        commands: &mut Vec<SpoolCommand>,
    ) -> Result<Placement, SpoolRejection> {
        // The limits are checked first, so that nothing is evicted for a page that cannot be stored.
        self.check_limits(now, id, bytes)?;
        self.make_tenant_capacity(id, bytes, commands)?;
        let placement = self.make_capacity(now, id, bytes, commands)?;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.usage.add(placement, bytes);
            entry.last_used_at = now;
            self.totals.add(entry.tenant, placement, bytes);
        }
        Ok(placement)
    }

    fn check_limits(&self, now: Millis, id: SpoolId, bytes: u64) -> Result<(), SpoolRejection> {
        let entry = self.entries.get(&id).ok_or(SpoolRejection::UnknownSpool)?;
        let limits = &self.limits;
        if entry.bytes() + bytes > limits.result_bytes {
            return Err(SpoolRejection::ResultTooLarge(limits.result_bytes));
        }
        if self.tenant_capacity(entry.tenant, entry.protected) < bytes {
            return Err(SpoolRejection::TenantQuota(limits.tenant_bytes));
        }
        if self.capacity(now, entry.protected) < bytes {
            return Err(SpoolRejection::NoCapacity);
        }
        Ok(())
    }

    /// Evicts results of the spool's tenant until its quota has capacity for the page.
    fn make_tenant_capacity(
        &mut self,
        id: SpoolId,
        bytes: u64,
        commands: &mut Vec<SpoolCommand>,
    ) -> Result<(), SpoolRejection> {
        let entry = self.entries.get(&id).ok_or(SpoolRejection::UnknownSpool)?;
        let tenant = entry.tenant;
        let protected = entry.protected;
        let quota = self.limits.tenant_bytes;
        while self.totals.of_tenant(tenant) + bytes > quota {
            let candidate = self
                .eviction_candidate(protected, |entry| entry.tenant == tenant)
                .ok_or(SpoolRejection::TenantQuota(quota))?;
            self.evict(candidate, commands);
        }
        Ok(())
    }

    /// Evicts results until the page fits in memory or on disk.
    fn make_capacity(
        &mut self,
        now: Millis,
        id: SpoolId,
        bytes: u64,
        commands: &mut Vec<SpoolCommand>,
    ) -> Result<Placement, SpoolRejection> {
        let protected = self.entries.get(&id).is_some_and(|entry| entry.protected);
        loop {
            if let Some(placement) = self.place_page(now, id, bytes, commands) {
                return Ok(placement);
            }
            let candidate = self
                .eviction_candidate(protected, |_| true)
                .ok_or(SpoolRejection::NoCapacity)?;
            self.evict(candidate, commands);
        }
    }

    /// Returns where a page fits without an eviction. Spills spools to disk if that frees enough memory.
    fn place_page(
        &mut self,
        now: Millis,
        id: SpoolId,
        bytes: u64,
        commands: &mut Vec<SpoolCommand>,
    ) -> Option<Placement> {
        if self.is_spilled(id) && self.fits_on_disk(now, bytes) {
            return Some(Placement::Disk);
        }
        // The spool with the most bytes in memory is spilled: its reader is furthest behind, and the freed
        // memory then serves many small results.
        while self.totals.usage.memory_bytes + bytes > self.limits.memory_bytes {
            let (largest, largest_bytes) = self.largest_in_memory()?;
            if !self.fits_on_disk(now, largest_bytes + bytes) {
                return None;
            }
            self.spill(largest, commands);
            self.counters.spilled += 1;
            if largest == id {
                let fits = self.fits_on_disk(now, bytes);
                return fits.then_some(Placement::Disk);
            }
        }
        Some(Placement::Memory)
    }

    fn largest_in_memory(&self) -> Option<(SpoolId, u64)> {
        self.entries
            .iter()
            .map(|(id, entry)| (*id, entry.usage.memory_bytes))
            .filter(|(_, memory_bytes)| *memory_bytes > 0)
            .max_by_key(|(_, memory_bytes)| *memory_bytes)
    }

    fn fits_on_disk(&self, now: Millis, bytes: u64) -> bool {
        let used = self.totals.usage.disk_bytes;
        self.disk_health.accepts_writes(now)
            && self
                .limits
                .disk_bytes
                .is_some_and(|limit| used + bytes <= limit)
    }

    /// Moves a spool to disk; its later pages are stored there as well.
    fn spill(&mut self, id: SpoolId, commands: &mut Vec<SpoolCommand>) {
        if let Some(entry) = self.entries.get_mut(&id) {
            let bytes = entry.usage.memory_bytes;
            entry.usage.move_to_disk(bytes);
            entry.target = Placement::Disk;
            self.totals.usage.move_to_disk(bytes);
            commands.push(SpoolCommand::Spill(id));
        }
    }

    /// Moves a complete result to disk if there is capacity, so that it outlives the process.
    pub fn persist(&mut self, now: Millis, id: SpoolId) -> Vec<SpoolCommand> {
        let mut commands = vec![];
        let memory_bytes = self
            .entries
            .get(&id)
            .filter(|entry| entry.completed_at.is_some())
            .map_or(0, |entry| entry.usage.memory_bytes);
        if memory_bytes > 0 && self.fits_on_disk(now, memory_bytes) {
            self.spill(id, &mut commands);
        }
        commands
    }

    /// Returns whether the pages of the spool are stored on disk.
    pub fn is_spilled(&self, id: SpoolId) -> bool {
        self.entries
            .get(&id)
            .is_some_and(|entry| entry.target == Placement::Disk)
    }
}
