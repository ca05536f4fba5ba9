//! Scripted events for one gateway.
#![allow(dead_code)]

use query_dispatcher::*;

pub fn class(priority_weight: f64, latency_objective: f64) -> Class {
    Class {
        priority_weight,
        latency_objective,
        latency_objective_slowdown: 2.0,
        late_answer_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        in_order: false,
        allowed_zones: None,
        allowed_kinds: None,
        threads: 1.0,
        holds_tables: false,
        waits_for_loads: false,
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        dispatchers: 1,
        zone: None,
        step: 5.0,
        classes,
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
            accepts_memory_grants: true,
            accepts_priority: true,
            max_grant_share: 0.4,
            reports_cost: true,
            overcommits_memory: false,
            progress_interval: 0.0,
        },
        rules: Rules {
            answer_grace: 20.0,
            drain_grace: 250.0,
            initial_warm_up_capacity: 0.3,
            warm_up_period: 14000.0,
            overload_multiple: 3.0,
            overload_window: 1500.0,
            order_quiet_period: 300.0,
            retry_budget: None,
        },
        report_fields: vec![ReportField::Inflight, ReportField::MemoryGranted],
        must_subscribe: false,
        cross_zone_cost: 0.0,
    }
}

pub fn entry(engine: &str) -> EngineEntry {
    EngineEntry {
        engine: engine.into(),
        state: EngineState::Ready,
        started: None,
        kind: Some(0),
        zone: Some(0),
        cell: 0,
    }
}

pub fn query(id: QueryId, class: ClassId) -> Query {
    Query {
        id,
        class,
        tenant: None,
        key: None,
        tables: None,
        time_left: 4000.0,
        work: None,
        memory_mb: None,
    }
}

pub struct Gateway {
    pub c: Controller,
    pub now: f64,
}

impl Gateway {
    pub fn new(s: Settings, engines: Vec<EngineEntry>) -> Self {
        Self::seeded(s, engines, 1)
    }

    pub fn seeded(s: Settings, engines: Vec<EngineEntry>, seed: u64) -> Self {
        let mut g = Gateway {
            c: Controller::new(s, seed).unwrap(),
            now: 1000.0,
        };
        g.does(Event::EngineList {
            update: ListUpdate::Stale,
            entries: engines,
        });
        g
    }

    pub fn does(&mut self, event: Event) -> Vec<Action> {
        let mut out = vec![];
        self.c.handle(self.now, event, &mut out);
        out
    }

    /// Moves the clock on and lets the timer ring.
    pub fn pass(&mut self, ms: f64) -> Vec<Action> {
        let end = self.now + ms;
        let mut all = vec![];
        while self.now < end {
            self.now = (self.now + 20.0).min(end);
            all.extend(self.does(Event::Timer(0)));
        }
        all
    }

    pub fn take(&mut self, q: Query) -> Vec<Action> {
        self.does(Event::Query(q))
    }

    pub fn end(&mut self, id: QueryId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        self.does(Event::AttemptEnded(ended(id, attempt, outcome)))
    }
}

pub fn ended(id: QueryId, attempt: u32, outcome: Outcome) -> Ended {
    let last = outcome == Outcome::Served;
    Ended {
        id,
        attempt,
        outcome,
        last,
        latency: 1.0,
        work: None,
        memory_mb: None,
        report: vec![],
    }
}

pub fn sends(actions: &[Action]) -> Vec<(QueryId, String)> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Send { id, engine, .. } => Some((*id, engine.clone())),
            _ => None,
        })
        .collect()
}

/// The memory granted by the first terms.
pub fn granted(actions: &[Action]) -> Option<f64> {
    actions.iter().find_map(|a| match a {
        Action::Terms { memory_mb, .. } => Some(*memory_mb),
        _ => None,
    })
}

pub fn finals(actions: &[Action]) -> Vec<QueryId> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Refuse { id, .. } | Action::Fail { id } => Some(*id),
            _ => None,
        })
        .collect()
}
