//! Settings and traffic of each profile.

use crate::vocabulary::AllSettings as Settings;
use query_dispatcher::core::CoreLimits;
use query_dispatcher::{
    Class, DeduplicationScope, EngineCapabilities, Idempotency, Kind, Limits, ReportField,
    RetryBudget, Rules, Tenant,
};
use std::time::Duration;

/// Properties of a stream that the settings do not determine.
#[derive(Clone, Copy)]
pub(crate) struct Traffic {
    pub(crate) engines: usize,
    pub(crate) zones: usize,
    pub(crate) arrivals_per_s: f64,
    /// Weight of a kind of failure beside a weight of 100 for served attempts; errors and rejections get
    /// twice it.
    pub(crate) failure_weight: u32,
    /// Mean time between changes of the engine list, in milliseconds.
    pub(crate) list_change_interval_ms: f64,
    /// Mean time between unsolicited load reports, in milliseconds.
    pub(crate) load_report_interval_ms: f64,
    /// Number of table groups that requests name; 0 if they name none.
    pub(crate) table_groups: usize,
    /// Number of ordering keys that requests name.
    pub(crate) keys: usize,
    /// Probability that an attempt sends progress notes.
    pub(crate) note_probability: f64,
    /// Most requests carry estimates of work and memory.
    pub(crate) estimates: bool,
}

const TRAFFIC: Traffic = Traffic {
    engines: 6,
    zones: 2,
    arrivals_per_s: 50.0,
    failure_weight: 3,
    list_change_interval_ms: 400.0,
    load_report_interval_ms: 120.0,
    table_groups: 0,
    keys: 3,
    note_probability: 0.2,
    estimates: true,
};

fn class(priority_weight: f64, latency_objective: f64, idempotency: Idempotency) -> Class {
    Class {
        priority_weight,
        latency_objective,
        latency_objective_slowdown: 2.0,
        late_answer_weight: 0.1,
        idempotency,
        in_order: false,
        allowed_zones: None,
        allowed_kinds: None,
        threads: 1.0,
        holds_tables: false,
        waits_for_loads: false,
    }
}

fn keyed(group: DeduplicationScope) -> Idempotency {
    Idempotency::Keyed {
        group,
        window: 900.0,
    }
}

fn base() -> Settings {
    Settings {
        dispatchers: 1,
        zone: Some(0),
        step: 5.0,
        classes: vec![
            class(1.0, 500.0, Idempotency::Idempotent),
            class(3.0, 900.0, keyed(DeduplicationScope::All)),
            class(2.0, 800.0, keyed(DeduplicationScope::Zone)),
            class(2.5, 700.0, keyed(DeduplicationScope::Cell)),
            Class {
                threads: 2.0,
                ..class(5.0, 1500.0, Idempotency::NonIdempotent)
            },
        ],
        tenants: vec![],
        kinds: vec![
            Kind {
                cores: 8.0,
                memory_mb: 16384.0,
            },
            Kind {
                cores: 4.0,
                memory_mb: 8192.0,
            },
        ],
        over_quota_weight: 0.1,
        limits: Limits {
            max_attempts: 3,
            hedging: false,
            cancel: true,
            probes: false,
            sends_retry_after: true,
            max_retry_after: 500.0,
        },
        engines: EngineCapabilities {
            accepts_memory_grants: false,
            accepts_priority: false,
            max_grant_share: 0.4,
            reports_cost: true,
            overcommits_memory: false,
            progress_interval: 0.0,
        },
        rules: Rules {
            answer_grace: 20.0,
            drain_grace: 250.0,
            initial_warm_up_capacity: 0.3,
            warm_up_period: 1500.0,
            overload_multiple: 3.0,
            overload_window: 1000.0,
            order_quiet_period: 300.0,
            retry_budget: None,
        },
        report_fields: vec![ReportField::Inflight, ReportField::MemoryGranted],
        must_subscribe: false,
        cross_zone_cost: 0.0,
    }
}

const ALL_FIELDS: [ReportField; 6] = [
    ReportField::Inflight,
    ReportField::MemoryQueue,
    ReportField::CpuBusy,
    ReportField::MemoryGranted,
    ReportField::DiskBusy,
    ReportField::Other,
];

/// Returns the settings and traffic of the profile with this name.
pub(crate) fn profile(name: &str) -> (Settings, Traffic) {
    let mut settings = base();
    let mut traffic = TRAFFIC;
    match name {
        "one_gateway" => {}
        "three_gateways_in_zones" => {
            settings.dispatchers = 3;
            settings.cross_zone_cost = 0.5;
            traffic = Traffic {
                engines: 9,
                zones: 3,
                ..traffic
            };
        }
        "fifty_gateways_with_probes" => {
            (settings.dispatchers, settings.limits.probes) = (50, true);
            settings.report_fields = ALL_FIELDS.to_vec();
            traffic = Traffic {
                engines: 10,
                arrivals_per_s: 30.0,
                ..traffic
            };
        }
        "three_hundred_gateways_and_restarts" => {
            (settings.dispatchers, settings.limits.probes) = (300, true);
            settings.rules.initial_warm_up_capacity = 0.6;
            settings.report_fields = vec![ReportField::CpuBusy];
            traffic = Traffic {
                engines: 12,
                arrivals_per_s: 25.0,
                list_change_interval_ms: 100.0,
                ..traffic
            };
        }
        "loads_hold_tables" => loads_hold_tables(&mut settings, &mut traffic),
        "keys_in_order" => {
            settings
                .classes
                .iter_mut()
                .for_each(|class| class.in_order = true);
            traffic = Traffic {
                keys: 12,
                failure_weight: 5,
                ..traffic
            };
        }
        "tenants_and_retry_budget" => {
            settings.dispatchers = 3;
            settings.tenants = [4.0, 15.0, 60.0]
                .map(|quota_per_s| Tenant { quota_per_s })
                .to_vec();
            settings.rules.retry_budget = Some(RetryBudget {
                min_retries: 2.0,
                retry_ratio: 0.1,
                window: 1000.0,
            });
            traffic = Traffic {
                failure_weight: 10,
                ..traffic
            };
        }
        "memory_overcommitted" => {
            settings.engines.overcommits_memory = true;
            (
                settings.engines.accepts_memory_grants,
                settings.engines.accepts_priority,
            ) = (true, true);
            traffic = Traffic {
                engines: 4,
                arrivals_per_s: 80.0,
                note_probability: 0.6,
                ..traffic
            };
        }
        "list_by_subscription" => {
            settings.must_subscribe = true;
            settings.engines.accepts_memory_grants = true;
            settings.report_fields = vec![];
            settings.engines.reports_cost = false;
            traffic = Traffic {
                list_change_interval_ms: 60.0,
                estimates: false,
                ..traffic
            };
        }
        "hedging_in_places" => hedging_in_places(&mut settings, &mut traffic),
        other => panic!("unknown profile {other:?}"),
    }
    (settings, traffic)
}

fn loads_hold_tables(settings: &mut Settings, traffic: &mut Traffic) {
    settings.dispatchers = 3;
    (
        settings.engines.accepts_memory_grants,
        settings.engines.accepts_priority,
    ) = (true, true);
    settings.engines.progress_interval = 80.0;
    settings.classes[0].waits_for_loads = true;
    settings.classes[1].waits_for_loads = true;
    settings.classes[4] = Class {
        holds_tables: true,
        ..class(8.0, 1500.0, keyed(DeduplicationScope::All))
    };
    *traffic = Traffic {
        engines: 8,
        table_groups: 4,
        note_probability: 0.9,
        ..*traffic
    };
}

fn hedging_in_places(settings: &mut Settings, traffic: &mut Traffic) {
    settings.limits.hedging = true;
    (settings.limits.cancel, settings.limits.sends_retry_after) = (false, false);
    settings.classes[0].allowed_zones = Some(vec![0, 2]);
    settings.classes[1].allowed_kinds = Some(vec![1]);
    settings.classes[2].allowed_zones = Some(vec![1]);
    *traffic = Traffic {
        engines: 9,
        zones: 3,
        failure_weight: 6,
        ..*traffic
    };
}

/// Returns the limits of the request core with this maximum number of open requests.
pub(crate) fn core_limits(max_open_requests: usize) -> CoreLimits {
    CoreLimits {
        max_open_requests,
        answer_margin: Duration::from_millis(20),
        page_timeout: Duration::from_millis(300),
    }
}
