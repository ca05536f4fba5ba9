//! Index of all spools, with their lifecycle from the first page to the last reader.

use super::accounting::{SpoolUsage, UsageTotals};
use super::admission::{AdmissionRequest, SpoolRejection};
use super::class_sizes::ClassSizes;
use super::commands::{OpenedSpool, Placement};
use super::disk_health::{DiskHealth, WriteOutcome};
use super::limits::SpoolLimits;
use crate::decision::model::Millis;
use std::collections::BTreeMap;

/// Identifies a spool within one process.
pub type SpoolId = u64;

/// Event counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpoolCounters {
    /// Statements that were rejected before they were sent.
    pub rejected: u64,
    /// Results that were abandoned while their engine was sending them.
    pub failed: u64,
    /// Results that were evicted to free capacity.
    pub evicted: u64,
    /// Results that expired.
    pub expired: u64,
    /// Spools that were moved to disk because memory was full.
    pub spilled: u64,
}

/// A complete result of an earlier process, found on disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RestoredSpool {
    /// Id of the spool in this process.
    pub id: SpoolId,
    /// Request that the result answers.
    pub request: AdmissionRequest,
    /// Size of all pages, in bytes.
    pub bytes: u64,
    /// Time of completion.
    pub completed_at: Millis,
}

/// Index entry of one spool.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SpoolEntry {
    pub(super) tenant: Option<usize>,
    pub(super) class: usize,
    pub(super) protected: bool,
    /// Time when the last page was added. `None` while the engine is sending the result.
    pub(super) completed_at: Option<Millis>,
    pub(super) usage: SpoolUsage,
    /// Where the next pages are stored.
    pub(super) target: Placement,
    pub(super) readers: usize,
    /// Whether a reader has read the result to the end.
    pub(super) read_to_end: bool,
    pub(super) last_used_at: Millis,
}

impl SpoolEntry {
    fn new(now: Millis, request: AdmissionRequest) -> Self {
        SpoolEntry {
            tenant: request.tenant,
            class: request.class,
            protected: request.protected,
            completed_at: None,
            usage: SpoolUsage::default(),
            target: Placement::Memory,
            readers: 0,
            read_to_end: false,
            last_used_at: now,
        }
    }

    pub(super) fn bytes(&self) -> u64 {
        self.usage.total_bytes()
    }

    /// Returns whether the spool is complete and has no readers. Only then may it be evicted, and only then
    /// does it expire.
    pub(super) fn is_idle(&self) -> bool {
        self.completed_at.is_some() && self.readers == 0
    }
}

/// Index and accounting of all spools.
#[derive(Clone, Debug)]
pub struct SpoolIndex {
    pub(super) limits: SpoolLimits,
    pub(super) entries: BTreeMap<SpoolId, SpoolEntry>,
    pub(super) totals: UsageTotals,
    /// Size estimates by class index.
    pub(super) class_sizes: Vec<ClassSizes>,
    pub(super) disk_health: DiskHealth,
    pub(super) counters: SpoolCounters,
    next_id: SpoolId,
}

impl SpoolIndex {
    /// Creates an empty index for this number of request classes.
    pub fn new(limits: SpoolLimits, class_count: usize) -> Self {
        SpoolIndex {
            disk_health: DiskHealth::new(limits.disk_bytes.is_some()),
            limits,
            entries: BTreeMap::new(),
            totals: UsageTotals::default(),
            class_sizes: vec![ClassSizes::default(); class_count],
            counters: SpoolCounters::default(),
            next_id: 1,
        }
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> &SpoolLimits {
        &self.limits
    }

    /// Replaces the limits. Existing spools stay until they expire or are evicted.
    pub fn configure(&mut self, limits: SpoolLimits) {
        if limits.disk_bytes.is_some() != self.limits.disk_bytes.is_some() {
            self.disk_health = DiskHealth::new(limits.disk_bytes.is_some());
        }
        self.limits = limits;
    }

    /// Opens a spool for a result that has outgrown [`super::MAX_INLINE_RESULT_BYTES`].
    ///
    /// # Errors
    /// [`SpoolRejection::TooManySpools`] if the maximum number of spools exists and none of them can be
    /// evicted.
    pub fn open(
        &mut self,
        now: Millis,
        request: AdmissionRequest,
    ) -> Result<OpenedSpool, SpoolRejection> {
        let mut commands = vec![];
        if self.entries.len() >= self.limits.max_spools {
            let Some(candidate) = self.eviction_candidate(request.protected, |_| true) else {
                self.counters.failed += 1;
                return Err(SpoolRejection::TooManySpools);
            };
            self.evict(candidate, &mut commands);
        }
        let id = self.reserve_id();
        self.entries.insert(id, SpoolEntry::new(now, request));
        Ok(OpenedSpool { id, commands })
    }

    /// Adds a complete result that an earlier process left on disk.
    pub fn restore(&mut self, now: Millis, restored: RestoredSpool) {
        let completed_at = restored.completed_at.min(now);
        let mut entry = SpoolEntry::new(completed_at, restored.request);
        entry.completed_at = Some(completed_at);
        entry.target = Placement::Disk;
        entry.usage.add(Placement::Disk, restored.bytes);
        self.next_id = self.next_id.max(restored.id + 1);
        self.totals
            .add(entry.tenant, Placement::Disk, restored.bytes);
        self.entries.insert(restored.id, entry);
    }

    /// Reserves an id for a spool that may be restored.
    pub fn reserve_id(&mut self) -> SpoolId {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Removes a spool whose pages could not be stored or whose engine failed.
    pub fn fail(&mut self, id: SpoolId) {
        if self.entries.contains_key(&id) {
            self.counters.failed += 1;
            self.remove(id);
        }
    }

    /// Marks a spool as complete: its last page has been added.
    pub fn complete(&mut self, now: Millis, id: SpoolId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.completed_at = Some(now);
        entry.last_used_at = now;
        let class = entry.class;
        let bytes = entry.bytes() as f64;
        self.record_result_size(class, bytes);
    }

    /// Adds a reader, which keeps the result from expiring. Returns `false` if there is no such spool.
    pub fn attach_reader(&mut self, now: Millis, id: SpoolId) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else {
            return false;
        };
        entry.readers += 1;
        entry.last_used_at = now;
        true
    }

    /// Records that a reader has read a page.
    pub fn record_read(&mut self, now: Millis, id: SpoolId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.last_used_at = now;
        }
    }

    /// Removes a reader; `read_to_end` states whether it has read all pages.
    pub fn detach_reader(&mut self, now: Millis, id: SpoolId, read_to_end: bool) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.readers = entry.readers.saturating_sub(1);
            entry.last_used_at = now;
            entry.read_to_end |= read_to_end;
        }
    }

    /// Records the outcome of a write to the disk and its duration in milliseconds. Returns whether the state
    /// of the disk has changed.
    pub fn record_disk_write(
        &mut self,
        now: Millis,
        duration: Millis,
        outcome: WriteOutcome,
    ) -> bool {
        self.disk_health.record_write(now, duration, outcome)
    }

    /// Returns the health of the disk.
    pub fn disk_health(&self) -> &DiskHealth {
        &self.disk_health
    }

    /// Returns the event counters.
    pub fn counters(&self) -> SpoolCounters {
        self.counters
    }

    /// Returns whether the spool exists.
    pub fn contains(&self, id: SpoolId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Returns the number of spools.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no spool.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes a spool, and its bytes from the totals.
    pub(super) fn remove(&mut self, id: SpoolId) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        self.totals.subtract(entry.tenant, entry.usage);
        if entry.usage.disk_bytes > 0 {
            self.disk_health.on_space_freed();
        }
    }
}
