//! Status of the spools for operators: a page and metrics. Keys and texts are part of the external interface
//! of the program.

use super::spools::Spools;
use crate::clock::process_clock_millis;
use crate::decision::model::Millis;
use crate::spool::DiskState;
use std::collections::BTreeMap;

/// Name that is shown for requests without a tenant.
const NO_TENANT: &str = "(none)";

impl Spools {
    /// Returns the body of `GET /_spools`, as JSON.
    pub fn status_page(&self) -> String {
        let now = process_clock_millis();
        let index = self.index.borrow();
        let limits = index.limits();
        let usage = index.usage();
        let counters = index.counters();
        let disk_health = index.disk_health();
        let rejections = self.handles.borrow().rejections();
        let page = serde_json::json!({
            "results": index.len(),
            "most_results": limits.max_spools,
            "memory_bytes": usage.memory_bytes,
            "most_memory_bytes": limits.memory_bytes,
            "disk_bytes": usage.disk_bytes,
            "most_disk_bytes": limits.disk_bytes,
            "disk": describe_disk_state(disk_health.state(), now),
            "disk_failures": disk_health.failures(),
            "on_the_way_to_disk_bytes": self.pending_write_bytes.get(),
            "tenant_bytes": self.tenant_bytes(),
            "refused": counters.rejected,
            "failed": counters.failed,
            "evicted": counters.evicted,
            "expired": counters.expired,
            "spilled": counters.spilled,
            "torn_pages": self.corrupt_pages.get(),
            "bytes_taken": self.received_bytes.get(),
            "handles": {
                "others": rejections.other_user,
                "wrong": rejections.unknown,
                "expired": rejections.expired,
            },
        });
        serde_json::to_string_pretty(&page).unwrap_or_default() + "\n"
    }

    /// Returns the bytes by tenant name.
    fn tenant_bytes(&self) -> BTreeMap<String, u64> {
        let index = self.index.borrow();
        let by_tenant = index.bytes_by_tenant().iter();
        by_tenant
            .map(|(tenant, bytes)| (self.tenant_name(*tenant), *bytes))
            .collect()
    }

    fn tenant_name(&self, tenant: Option<usize>) -> String {
        tenant
            .and_then(|tenant| self.tenants.get(tenant).cloned())
            .unwrap_or_else(|| NO_TENANT.into())
    }

    /// Returns the lines for `GET /_vars`.
    pub fn metrics(&self) -> String {
        let index = self.index.borrow();
        let usage = index.usage();
        let counters = index.counters();
        let disk_is_healthy = matches!(
            index.disk_health().state(),
            DiskState::Healthy | DiskState::Absent
        );
        [
            ("results", index.len() as u64),
            ("memory_bytes", usage.memory_bytes),
            ("disk_bytes", usage.disk_bytes),
            ("disk_well", u64::from(disk_is_healthy)),
            ("refused", counters.rejected),
            ("failed", counters.failed),
            ("evicted", counters.evicted),
            ("expired", counters.expired),
        ]
        .iter()
        .map(|(name, value)| format!("spool.{name}={value}\n"))
        .collect()
    }
}

/// Describes the state of the disk for operators.
pub(super) fn describe_disk_state(state: &DiskState, now: Millis) -> String {
    let seconds = |since: &Millis| ((now - since) / 1000.0).max(0.0).round();
    match state {
        DiskState::Absent => "none".into(),
        DiskState::Healthy => "well".into(),
        DiskState::Full { since } => format!("full for {} s", seconds(since)),
        DiskState::Failing { since, reason } => {
            format!("failing for {} s: {reason}", seconds(since))
        }
        DiskState::Slow { since } => format!("slow for {} s", seconds(since)),
    }
}
