//! CPU time of the decision module for a change of one engine in a long list, and for the query after it.

use query_dispatcher::{
    Action, Class, Controller, EngineCapabilities, EngineEntry, EngineState, Event, Idempotency,
    Kind, Limits, ListUpdate, Query, ReportField, Rules, Settings, SettingsError,
};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Interval between two events, in milliseconds.
const EVENT_INTERVAL: f64 = 0.5;
/// Number of table groups that queries read.
const GROUPS: u64 = 32;
const ZONES: usize = 3;

fn class(holds_tables: bool) -> Class {
    Class {
        priority_weight: 1.0,
        latency_objective: 2000.0,
        latency_objective_slowdown: 2.0,
        late_answer_weight: 0.3,
        idempotency: match holds_tables {
            true => Idempotency::NonIdempotent,
            false => Idempotency::Idempotent,
        },
        in_order: false,
        allowed_zones: None,
        allowed_kinds: None,
        threads: 1.0,
        holds_tables,
        waits_for_loads: !holds_tables,
    }
}

fn settings() -> Settings {
    Settings {
        dispatchers: 300,
        zone: Some(0),
        step: 5.0,
        classes: vec![class(false), class(true)],
        tenants: vec![],
        kinds: vec![Kind {
            cores: 8.0,
            memory_mb: 16_384.0,
        }],
        over_quota_weight: 0.05,
        limits: Limits {
            max_attempts: 3,
            hedging: true,
            cancel: true,
            probes: false,
            sends_retry_after: true,
            max_retry_after: 500.0,
        },
        engines: EngineCapabilities {
            accepts_memory_grants: true,
            accepts_priority: false,
            max_grant_share: 0.4,
            reports_cost: false,
            overcommits_memory: false,
            progress_interval: 500.0,
        },
        rules: Rules {
            answer_grace: 20.0,
            drain_grace: 1000.0,
            initial_warm_up_capacity: 0.3,
            warm_up_period: 15_000.0,
            overload_multiple: 4.0,
            overload_window: 2000.0,
            order_quiet_period: 0.0,
            retry_budget: None,
        },
        report_fields: vec![ReportField::Inflight, ReportField::MemoryGranted],
        must_subscribe: false,
        cross_zone_cost: 0.02,
    }
}

fn entry(engine: usize, state: EngineState) -> EngineEntry {
    EngineEntry {
        engine: format!("s-{engine:08x}"),
        state,
        started: None,
        kind: Some(0),
        zone: Some(engine % ZONES),
        cell: 0,
    }
}

fn query(id: u64) -> Query {
    Query {
        id,
        class: usize::from(id.is_multiple_of(10)),
        tenant: None,
        key: None,
        tables: Some(id % GROUPS),
        time_left: 60_000.0,
        work: Some(100.0),
        memory_mb: Some(64.0),
    }
}

/// Decision module under measurement, in virtual time.
struct Subject {
    controller: Controller,
    now: f64,
    actions: Vec<Action>,
}

impl Subject {
    /// Handles an event and returns the real time that this took.
    fn timed(&mut self, event: Event) -> Duration {
        self.now += EVENT_INTERVAL;
        self.actions.clear();
        let began = Instant::now();
        self.controller.handle(self.now, event, &mut self.actions);
        began.elapsed()
    }
}

fn mean_us(total: Duration, count: usize) -> f64 {
    let mean = total.as_secs_f64() * 1e6 / count.max(1) as f64;
    (mean * 10.0).round() / 10.0
}

/// Measures `events` changes of a list of `engines` engines, with `open` open queries. The engines drain
/// and become ready again one by one, and a new query follows each change.
///
/// # Errors
/// The settings are invalid.
pub fn list_events(engines: usize, open: u64, events: usize) -> Result<Value, SettingsError> {
    let mut subject = Subject {
        controller: Controller::new(settings(), 7)?,
        now: 0.0,
        actions: vec![],
    };
    let entries = (0..engines).map(|engine| entry(engine, EngineState::Ready));
    let whole_list = subject.timed(Event::EngineList {
        update: ListUpdate::Snapshot,
        entries: entries.collect(),
    });
    for id in 0..open {
        subject.timed(Event::Query(query(id)));
    }
    let (mut changes, mut queries) = (Duration::ZERO, Duration::ZERO);
    for number in 0..events {
        // Each engine drains and is ready again with the next event.
        let state = match number % 2 {
            0 => EngineState::Draining,
            _ => EngineState::Ready,
        };
        let engine = (number / 2 * 37) % engines.max(1);
        changes += subject.timed(Event::EngineList {
            update: ListUpdate::Patch,
            entries: vec![entry(engine, state)],
        });
        queries += subject.timed(Event::Query(query(open + number as u64)));
    }
    Ok(json!({
        "engines": engines,
        "open_queries": open,
        "whole_list_ms": mean_us(whole_list, 1000),
        "change_us": mean_us(changes, events),
        "query_after_it_us": mean_us(queries, events),
    }))
}
