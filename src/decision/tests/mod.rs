//! Fixtures for the unit tests of the decisions; the submodules hold the tests, by concern.

use super::Controller;
use super::model::{
    Action, Class, EngineCapabilities, EngineEntry, EngineState, Event, Idempotency, Kind, Limits,
    ListUpdate, Millis, Query, QueryId, Rules, Settings,
};

mod endpoint_list;
mod feedback;
mod placement;
mod send_guard;
mod slow_start;

fn class(priority_weight: f64, threads: f64) -> Class {
    Class {
        priority_weight,
        latency_objective: 1000.0,
        latency_objective_slowdown: 2.0,
        late_answer_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        in_order: false,
        allowed_zones: None,
        allowed_kinds: None,
        threads,
        holds_tables: false,
        waits_for_loads: false,
    }
}

/// Returns settings with two classes, one of weight 1 on one thread and one of weight 8 on two
/// threads, and engines of 8 cores.
pub(super) fn settings() -> Settings {
    Settings {
        dispatchers: 1,
        zone: None,
        step: 5.0,
        classes: vec![class(1.0, 1.0), class(8.0, 2.0)],
        tenants: vec![],
        kinds: vec![Kind {
            cores: 8.0,
            memory_mb: 1024.0,
        }],
        over_quota_weight: 1.0,
        limits: Limits {
            max_attempts: 1,
            hedging: false,
            cancel: false,
            probes: false,
            sends_retry_after: false,
            max_retry_after: 0.0,
        },
        engines: EngineCapabilities {
            accepts_memory_grants: false,
            accepts_priority: false,
            max_grant_share: 0.0,
            reports_cost: false,
            overcommits_memory: false,
            progress_interval: 0.0,
        },
        rules: Rules {
            answer_grace: 20.0,
            drain_grace: 250.0,
            initial_warm_up_capacity: 0.3,
            warm_up_period: 1000.0,
            overload_multiple: 3.0,
            overload_window: 1000.0,
            order_quiet_period: 0.0,
            retry_budget: None,
        },
        report_fields: vec![],
        must_subscribe: false,
        cross_zone_cost: 0.0,
    }
}

/// Returns the entry of an engine of 8 cores that is in service.
pub(super) fn entry(engine: &str, started: Option<Millis>) -> EngineEntry {
    EngineEntry {
        engine: engine.into(),
        state: EngineState::Ready,
        started,
        kind: Some(0),
        zone: None,
        cell: 0,
    }
}

/// Returns a query of the first class without any estimates.
pub(super) fn query(id: QueryId) -> Query {
    Query {
        id,
        class: 0,
        tenant: None,
        key: None,
        tables: None,
        time_left: 900.0,
        work: None,
        memory_mb: None,
    }
}

/// Returns a controller with one engine, "e".
fn controller() -> Controller {
    let mut controller = Controller::new(settings(), 1).unwrap();
    list(&mut controller, 0.0, vec![entry("e", None)]);
    controller
}

fn list(controller: &mut Controller, now: Millis, entries: Vec<EngineEntry>) {
    let update = ListUpdate::Snapshot;
    handle(controller, now, Event::EngineList { update, entries });
}

fn handle(controller: &mut Controller, now: Millis, event: Event) -> Vec<Action> {
    let mut actions = vec![];
    controller.handle(now, event, &mut actions);
    actions
}

/// Asserts that two values differ by less than 1e-6.
pub(super) fn assert_close(actual: f64, expected: f64) {
    assert!(
        (actual - expected).abs() < 1e-6,
        "the value is {actual}, expected {expected}"
    );
}
