use super::*;

fn limits() -> StickySessionLimits {
    StickySessionLimits {
        idle_timeout: 100.0,
        max_lifetime: 1000.0,
        drain_timeout: 50.0,
        max_sessions: 3,
        max_sessions_per_tenant: 2,
    }
}

#[test]
fn sessions_are_counted_by_tenant_and_released() {
    let mut table = StickySessionTable::default();
    let limits = limits();
    assert_eq!(table.acquire(&limits, Some(0)), Ok(()));
    assert_eq!(table.acquire(&limits, Some(0)), Ok(()));
    assert_eq!(
        table.acquire(&limits, Some(0)),
        Err(StickySessionLimitError::Tenant)
    );
    assert_eq!(table.acquire(&limits, None), Ok(()));
    assert_eq!(
        table.acquire(&limits, Some(1)),
        Err(StickySessionLimitError::Total)
    );
    table.release(Some(0));
    table.release(Some(7));
    assert_eq!(table.acquire(&limits, Some(1)), Ok(()));
    for tenant in [Some(0), None, Some(1)] {
        table.release(tenant);
    }
    assert_eq!(table.total(), 0);
    assert_eq!(table.by_tenant.len(), 0);
}
