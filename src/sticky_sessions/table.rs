//! Number of sticky sessions, in total and by tenant.

use super::StickySessionLimits;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Why no further sticky session may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StickySessionLimitError {
    /// [`StickySessionLimits::max_sessions`] is reached.
    #[error("too many sessions hold an engine connection")]
    Total,
    /// [`StickySessionLimits::max_sessions_per_tenant`] is reached.
    #[error("too many sessions of this tenant hold an engine connection")]
    Tenant,
}

/// Counts sticky sessions and enforces the limits on their number. Sessions without a tenant count as one
/// tenant.
#[derive(Debug, Default)]
pub struct StickySessionTable {
    total: usize,
    by_tenant: BTreeMap<Option<usize>, usize>,
}

impl StickySessionTable {
    /// Adds one session of this tenant. Each success has to be followed by a [`StickySessionTable::release`].
    ///
    /// # Errors
    /// A limit is reached; the counts are unchanged.
    pub fn acquire(
        &mut self,
        limits: &StickySessionLimits,
        tenant: Option<usize>,
    ) -> Result<(), StickySessionLimitError> {
        if self.total >= limits.max_sessions {
            return Err(StickySessionLimitError::Total);
        }
        let tenant_count = self.by_tenant.get(&tenant).copied().unwrap_or(0);
        if tenant_count >= limits.max_sessions_per_tenant {
            return Err(StickySessionLimitError::Tenant);
        }
        self.total += 1;
        self.by_tenant.insert(tenant, tenant_count + 1);
        Ok(())
    }

    /// Removes one session of this tenant. Does nothing for a tenant without sessions.
    pub fn release(&mut self, tenant: Option<usize>) {
        let Some(tenant_count) = self.by_tenant.get_mut(&tenant) else {
            return;
        };
        *tenant_count -= 1;
        if *tenant_count == 0 {
            self.by_tenant.remove(&tenant);
        }
        self.total -= 1;
    }

    /// Returns the number of sessions of all tenants.
    pub fn total(&self) -> usize {
        self.total
    }
}
