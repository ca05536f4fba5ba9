//! The settings and the traffic of each profile.

use crate::vocabulary::AllSettings as Settings;
use query_dispatcher::core::Bounds;
use query_dispatcher::{
    AttemptBudget, Class, Effect, EngineFacts, Group, Kind, Limits, ReportField, Rules, Tenant,
};

/// What a stream brings, beside what the settings say.
#[derive(Clone, Copy)]
pub struct Traffic {
    pub engines: usize,
    pub zones: usize,
    pub arrivals_per_s: f64,
    /// Weight of each kind of failure beside a hundred answers.
    pub trouble: u32,
    /// Milliseconds between changes of the engine list, on average.
    pub list_change_every: f64,
    /// Milliseconds between load reports that come unasked, on average.
    pub load_report_every: f64,
    /// Tables that requests name, 0: none; and in-order keys.
    pub tables: usize,
    pub keys: usize,
    /// Probability that an attempt tells of its progress.
    pub notes: f64,
    pub estimates: bool,
}

const TRAFFIC: Traffic = Traffic {
    engines: 6,
    zones: 2,
    arrivals_per_s: 50.0,
    trouble: 3,
    list_change_every: 400.0,
    load_report_every: 120.0,
    tables: 0,
    keys: 3,
    notes: 0.2,
    estimates: true,
};

fn class(worth: f64, aim: f64, effect: Effect) -> Class {
    Class {
        worth,
        aim,
        aim_stretch: 2.0,
        late_share: 0.1,
        effect,
        in_order: false,
        only_zones: None,
        only_kinds: None,
        threads: 1.0,
        holds_tables: false,
        waits_for_loads: false,
    }
}

fn keyed(group: Group) -> Effect {
    Effect::Keyed {
        group,
        window: 900.0,
    }
}

fn base() -> Settings {
    Settings {
        gateways: 1,
        zone: Some(0),
        step: 5.0,
        classes: vec![
            class(1.0, 500.0, Effect::Safe),
            class(3.0, 900.0, keyed(Group::All)),
            class(2.0, 800.0, keyed(Group::Zone)),
            class(2.5, 700.0, keyed(Group::Cell)),
            Class {
                threads: 2.0,
                ..class(5.0, 1500.0, Effect::Unsafe)
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
        over_share_worth: 0.1,
        limits: Limits {
            most_attempts: 3,
            second_copies: false,
            cancel: true,
            probes: false,
            retry_advice: true,
            max_retry_after: 500.0,
        },
        engines: EngineFacts {
            takes_grants: false,
            takes_priority: false,
            most_grant: 0.4,
            tells_cost: true,
            overcommits: false,
            notes_every: 0.0,
        },
        rules: Rules {
            answer_grace: 20.0,
            drain_grace: 250.0,
            cold_from: 0.3,
            warm_within: 1500.0,
            fall_multiple: 3.0,
            fall_window: 1000.0,
            order_rest: 300.0,
            attempt_budget: None,
        },
        report_fields: vec![ReportField::Inflight, ReportField::MemoryGranted],
        must_subscribe: false,
        cross_zone_price: 0.0,
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

/// Settings and traffic of a profile, by its name.
pub fn profile(name: &str) -> (Settings, Traffic) {
    let mut settings = base();
    let mut traffic = TRAFFIC;
    match name {
        "one_gateway" => {}
        "three_gateways_in_zones" => {
            settings.gateways = 3;
            settings.cross_zone_price = 0.5;
            traffic = Traffic {
                engines: 9,
                zones: 3,
                ..traffic
            };
        }
        "fifty_gateways_with_probes" => {
            (settings.gateways, settings.limits.probes) = (50, true);
            settings.report_fields = ALL_FIELDS.to_vec();
            traffic = Traffic {
                engines: 10,
                arrivals_per_s: 30.0,
                ..traffic
            };
        }
        "three_hundred_gateways_and_restarts" => {
            (settings.gateways, settings.limits.probes) = (300, true);
            settings.rules.cold_from = 0.6;
            settings.report_fields = vec![ReportField::CpuBusy];
            traffic = Traffic {
                engines: 12,
                arrivals_per_s: 25.0,
                list_change_every: 100.0,
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
                trouble: 5,
                ..traffic
            };
        }
        "tenants_and_retry_budget" => {
            settings.gateways = 3;
            settings.tenants = [4.0, 15.0, 60.0]
                .map(|quota_per_s| Tenant { quota_per_s })
                .to_vec();
            settings.rules.attempt_budget = Some(AttemptBudget {
                free: 2.0,
                share: 0.1,
                span: 1000.0,
            });
            traffic = Traffic {
                trouble: 10,
                ..traffic
            };
        }
        "memory_overcommitted" => {
            settings.engines.overcommits = true;
            (
                settings.engines.takes_grants,
                settings.engines.takes_priority,
            ) = (true, true);
            traffic = Traffic {
                engines: 4,
                arrivals_per_s: 80.0,
                notes: 0.6,
                ..traffic
            };
        }
        "list_by_subscription" => {
            settings.must_subscribe = true;
            settings.engines.takes_grants = true;
            settings.report_fields = vec![];
            settings.engines.tells_cost = false;
            traffic = Traffic {
                list_change_every: 60.0,
                estimates: false,
                ..traffic
            };
        }
        "hedging_in_places" => hedging_in_places(&mut settings, &mut traffic),
        other => panic!("no profile {other}"),
    }
    (settings, traffic)
}

fn loads_hold_tables(settings: &mut Settings, traffic: &mut Traffic) {
    settings.gateways = 3;
    (
        settings.engines.takes_grants,
        settings.engines.takes_priority,
    ) = (true, true);
    settings.engines.notes_every = 80.0;
    settings.classes[0].waits_for_loads = true;
    settings.classes[1].waits_for_loads = true;
    settings.classes[4] = Class {
        holds_tables: true,
        ..class(8.0, 1500.0, keyed(Group::All))
    };
    *traffic = Traffic {
        engines: 8,
        tables: 4,
        notes: 0.9,
        ..*traffic
    };
}

fn hedging_in_places(settings: &mut Settings, traffic: &mut Traffic) {
    settings.limits.second_copies = true;
    (settings.limits.cancel, settings.limits.retry_advice) = (false, false);
    settings.classes[0].only_zones = Some(vec![0, 2]);
    settings.classes[1].only_kinds = Some(vec![1]);
    settings.classes[2].only_zones = Some(vec![1]);
    *traffic = Traffic {
        engines: 9,
        zones: 3,
        trouble: 6,
        ..*traffic
    };
}

/// What the request core may hold open, and its margins.
pub fn core_bounds(open: usize) -> Bounds {
    Bounds {
        open,
        margin: 20.0,
        page_wait: 300.0,
    }
}
