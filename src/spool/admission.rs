//! Admission: whether the result of a statement will have capacity, decided before the statement is sent.

use super::index::{SpoolEntry, SpoolIndex};
use crate::decision::model::Millis;

/// Maximum size of a result, in bytes, that is sent to the client directly and not spooled.
pub const MAX_INLINE_RESULT_BYTES: usize = 64 << 10;

/// A request whose result may have to be spooled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Index of the tenant.
    pub tenant: Option<usize>,
    /// Index of the request class.
    pub class: usize,
    /// Whether the statement must not run twice. Its result cannot be produced again, so it is never evicted
    /// for a result that is not protected.
    pub protected: bool,
}

/// Decision whether a statement may be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The result is expected to have capacity.
    Admitted,
    /// The result would have no capacity, so the statement is not sent.
    Rejected {
        /// Message for the client.
        reason: &'static str,
        /// Milliseconds until the next result expires, if known.
        retry_after: Option<Millis>,
    },
}

/// Reason why a page, and with it the whole result, is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpoolRejection {
    /// The result is larger than [`super::SpoolLimits::result_bytes`].
    #[error("the result is above the bound of {0} bytes")]
    ResultTooLarge(u64),
    /// The results of the tenant are together larger than [`super::SpoolLimits::tenant_bytes`].
    #[error("its tenant's results are above their bound of {0} bytes")]
    TenantQuota(u64),
    /// Neither memory nor disk has capacity.
    #[error("neither memory nor disk has room for the result")]
    NoCapacity,
    /// [`super::SpoolLimits::max_spools`] is reached.
    #[error("too many results wait for their readers")]
    TooManySpools,
    /// The spool does not exist or has been removed.
    #[error("there is no such spool")]
    UnknownSpool,
}

impl SpoolIndex {
    /// Decides whether a statement may be sent. A rejected statement has not run.
    pub fn admit(&mut self, now: Millis, request: AdmissionRequest) -> Admission {
        match self.rejection_reason(now, request) {
            None => Admission::Admitted,
            Some(reason) => {
                self.counters.rejected += 1;
                let retry_after = self.next_expiry().map(|at| (at - now).max(0.0));
                Admission::Rejected {
                    reason,
                    retry_after,
                }
            }
        }
    }

    fn rejection_reason(&self, now: Millis, request: AdmissionRequest) -> Option<&'static str> {
        let expected = self.expected_bytes(request.class);
        if expected <= MAX_INLINE_RESULT_BYTES as u64 {
            // The result is expected to be sent directly, without a spool.
            None
        } else if self.entries.len() >= self.limits.max_spools
            && self.evictable_for(request.protected).next().is_none()
        {
            Some("too many results wait for their readers")
        } else if self.tenant_capacity(request.tenant, request.protected) < expected {
            Some("its tenant's results leave no room for another")
        } else if self.capacity(now, request.protected) < expected {
            Some("neither memory nor disk has room for its result")
        } else {
            None
        }
    }

    /// Returns the expected result size of a class, in bytes; 0 while too few results are known.
    pub fn expected_bytes(&self, class: usize) -> u64 {
        self.class_sizes
            .get(class)
            .and_then(|sizes| sizes.expected_bytes())
            .map_or(0, |bytes| bytes.min(self.limits.result_bytes))
    }

    /// Records the size of a complete result, in bytes, spooled or not.
    pub fn record_result_size(&mut self, class: usize, bytes: f64) {
        if let Some(sizes) = self.class_sizes.get_mut(class) {
            sizes.record(bytes);
        }
    }

    /// Returns the size of the largest result that could be stored, in bytes: the free and evictable bytes
    /// either of memory or of disk, since a result that outgrows memory moves to disk as a whole.
    pub(super) fn capacity(&self, now: Millis, protected: bool) -> u64 {
        let usage = self.totals.usage;
        let disk_accepts_writes = self.disk_health.accepts_writes(now);
        let disk_limit = self.limits.disk_bytes.filter(|_| disk_accepts_writes);
        let mut memory = self.limits.memory_bytes.saturating_sub(usage.memory_bytes);
        let mut disk = disk_limit.map_or(0, |limit| limit.saturating_sub(usage.disk_bytes));
        for (_, entry) in self.evictable_for(protected) {
            memory += entry.usage.memory_bytes;
            if disk_accepts_writes {
                disk += entry.usage.disk_bytes;
            }
        }
        memory.max(disk)
    }

    /// Returns the number of bytes that a tenant may still spool: the unused part of its quota and the size
    /// of its evictable results.
    pub(super) fn tenant_capacity(&self, tenant: Option<usize>, protected: bool) -> u64 {
        let used = self.totals.of_tenant(tenant);
        let evictable: u64 = self
            .evictable_for(protected)
            .filter(|(_, entry)| entry.tenant == tenant)
            .map(|(_, entry)| SpoolEntry::bytes(entry))
            .sum();
        self.limits.tenant_bytes.saturating_sub(used) + evictable
    }
}
