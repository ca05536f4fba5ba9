mod admission;
mod disk_health;
mod handles;
mod invariants;
mod lifecycle;

use super::*;
use crate::decision::model::Millis;

const KB: u64 = 1024;
const PAGE: u64 = 10 * KB;

fn limits() -> SpoolLimits {
    SpoolLimits {
        memory_bytes: 100 * KB,
        disk_bytes: Some(400 * KB),
        tenant_bytes: 300 * KB,
        result_bytes: 200 * KB,
        retention: 1000.0,
        max_spools: 20,
    }
}

fn new_index() -> SpoolIndex {
    SpoolIndex::new(limits(), 2)
}

fn report(tenant: usize) -> AdmissionRequest {
    AdmissionRequest {
        tenant: Some(tenant),
        class: 0,
        protected: false,
    }
}

fn load(tenant: usize) -> AdmissionRequest {
    AdmissionRequest {
        tenant: Some(tenant),
        class: 1,
        protected: true,
    }
}

/// Spools a complete result of this number of pages of 10 KB.
fn spool_result(
    index: &mut SpoolIndex,
    now: Millis,
    request: AdmissionRequest,
    pages: u64,
) -> Result<OpenedSpool, SpoolRejection> {
    let mut spool = index.open(now, request)?;
    for _ in 0..pages {
        let outcome = index.add_page(now, spool.id, PAGE);
        spool.commands.extend(outcome.commands);
        if let Err(rejection) = outcome.placement {
            index.fail(spool.id);
            return Err(rejection);
        }
    }
    index.complete(now, spool.id);
    Ok(spool)
}

fn usage(memory_bytes: u64, disk_bytes: u64) -> SpoolUsage {
    SpoolUsage {
        memory_bytes,
        disk_bytes,
    }
}
