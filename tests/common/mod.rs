//! Helpers for tests of the decision module with scripted events: settings, engine lists, queries and a
//! controller with its own clock.
#![allow(dead_code)]

use query_dispatcher::*;

/// Returns an idempotent single-threaded class with this priority weight and latency objective in
/// milliseconds.
pub(crate) fn class(priority_weight: f64, latency_objective: f64) -> Class {
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

/// Returns the settings of a single dispatcher with these classes and two kinds of engine.
pub(crate) fn test_settings(classes: Vec<Class>) -> Settings {
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

/// Returns the list entry of a ready, warm engine of the first kind in the first zone.
pub(crate) fn engine_entry(engine: &str) -> EngineEntry {
    EngineEntry {
        engine: engine.into(),
        state: EngineState::Ready,
        started: None,
        kind: Some(0),
        zone: Some(0),
        cell: 0,
    }
}

/// Returns a query without estimates that waits for four seconds.
pub(crate) fn query(id: QueryId, class: ClassId) -> Query {
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

/// Returns the list entries of this many engines, named from `e0` on, all ready and warm.
pub(crate) fn fleet(engine_count: usize) -> Vec<EngineEntry> {
    (0..engine_count)
        .map(|i| engine_entry(&format!("e{i}")))
        .collect()
}

/// The decision module with its own clock, in milliseconds.
pub(crate) struct TestController {
    pub(crate) inner: Controller,
    pub(crate) now: f64,
}

impl TestController {
    /// Creates a controller with seed 1 and this engine list.
    pub(crate) fn new(settings: Settings, engines: Vec<EngineEntry>) -> Self {
        Self::seeded(settings, engines, 1)
    }

    /// Creates a controller with this seed and engine list.
    pub(crate) fn seeded(settings: Settings, engines: Vec<EngineEntry>, seed: u64) -> Self {
        let mut controller = TestController {
            inner: Controller::new(settings, seed).unwrap(),
            now: 1000.0,
        };
        controller.handle(Event::EngineList {
            update: ListUpdate::Stale,
            entries: engines,
        });
        controller
    }

    /// Handles an event now and returns the actions.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = vec![];
        self.inner.handle(self.now, event, &mut out);
        out
    }

    /// Advances the clock by this many milliseconds, with a timer event every 20 ms, and returns the
    /// actions.
    pub(crate) fn advance(&mut self, ms: f64) -> Vec<Action> {
        let end = self.now + ms;
        let mut all = vec![];
        while self.now < end {
            self.now = (self.now + 20.0).min(end);
            all.extend(self.handle(Event::Timer(0)));
        }
        all
    }

    /// Submits a query now and returns the actions.
    pub(crate) fn submit(&mut self, query: Query) -> Vec<Action> {
        self.handle(Event::Query(query))
    }

    /// Ends an attempt now with this outcome and returns the actions.
    pub(crate) fn end_attempt(
        &mut self,
        id: QueryId,
        attempt: u32,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(attempt_ended(id, attempt, outcome)))
    }
}

/// Returns the end of an attempt with this outcome, which is final if the query was served.
pub(crate) fn attempt_ended(id: QueryId, attempt: u32, outcome: Outcome) -> Ended {
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

/// Returns the query and the engine of each attempt that these actions send.
pub(crate) fn sent_attempts(actions: &[Action]) -> Vec<(QueryId, String)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Send { id, engine, .. } => Some((*id, engine.clone())),
            _ => None,
        })
        .collect()
}

/// Returns the memory granted by the first terms among these actions, in megabytes.
pub(crate) fn granted_memory(actions: &[Action]) -> Option<f64> {
    actions.iter().find_map(|action| match action {
        Action::Terms { memory_mb, .. } => Some(*memory_mb),
        _ => None,
    })
}

/// Returns the queries that these actions refuse or fail.
pub(crate) fn final_answers(actions: &[Action]) -> Vec<QueryId> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Refuse { id, .. } | Action::Fail { id } => Some(*id),
            _ => None,
        })
        .collect()
}
