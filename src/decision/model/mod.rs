//! What a gateway and its [`Controller`](crate::Controller) say to each other: settings, events, actions.
//! Plain data; it holds no decision. Times are milliseconds on the gateway's one clock.

pub(crate) mod state;

/// A moment or a span, in milliseconds.
pub type Millis = f64;
/// The gateway's own number for a query; never reused.
pub type QueryId = u64;
/// Position of a class in [`Settings::classes`].
pub type ClassId = usize;

/// Everything the operator states at start. A limit that is not known is given as its cautious reading.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many gateways share the engines.
    pub dispatchers: u32,
    /// The zone this gateway stands in, by number.
    pub zone: Option<usize>,
    /// Shortest time between two calls with a later clock.
    pub step: Millis,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    pub kinds: Vec<Kind>,
    /// Worth of a query beyond its tenant's share, as a part of its class's worth.
    pub over_quota_weight: f64,
    pub limits: Limits,
    pub engines: EngineCapabilities,
    pub rules: Rules,
    /// What a load report holds, in order.
    pub report_fields: Vec<ReportField>,
    /// True if changes of the engine list arrive only after [`Action::Subscribe`] or [`Action::Fetch`].
    pub must_subscribe: bool,
    /// Points lost for each attempt that crosses zones, a query.
    pub cross_zone_cost: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub priority_weight: f64,
    /// An answer within this (plus the stretch) earns the full worth.
    pub latency_objective: Millis,
    /// The aim grows by this times the query's work divided by its threads.
    pub latency_objective_slowdown: f64,
    /// Share of the worth that a late answer still earns.
    pub late_answer_weight: f64,
    pub idempotency: Idempotency,
    /// Queries with one key run one at a time, in the order taken.
    pub in_order: bool,
    /// The only zones it may run in; `None` is anywhere.
    pub allowed_zones: Option<Vec<usize>>,
    /// The only kinds of engine it may run on; `None` is any.
    pub allowed_kinds: Option<Vec<usize>>,
    /// Threads that one query runs on.
    pub threads: f64,
    /// A load: holds its group of tables on its engine while it runs.
    pub holds_tables: bool,
    /// Stands still while a load holds its group.
    pub waits_for_loads: bool,
}

/// What running a query twice would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Idempotent,
    /// Engines of a group drop repeats for `window` from the first send that may have run.
    Keyed {
        group: DeduplicationScope,
        window: Millis,
    },
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Queries a second in its share, for all gateways together.
    pub quota_per_s: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    pub cores: f64,
    pub memory_mb: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub max_attempts: u32,
    pub hedging: bool,
    pub cancel: bool,
    pub probes: bool,
    pub sends_retry_after: bool,
    pub max_retry_after: Millis,
}

#[derive(Clone, Debug, PartialEq)]
pub struct EngineCapabilities {
    pub accepts_memory_grants: bool,
    pub accepts_priority: bool,
    /// Share of an engine's memory that one query gets at most.
    pub max_grant_share: f64,
    /// Answers tell true work and memory.
    pub reports_cost: bool,
    /// When memory runs out, queries are let in and all slow down.
    pub overcommits_memory: bool,
    /// Every attempt that runs or stands brings a note this often; 0: none tells.
    pub progress_interval: Millis,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    pub answer_grace: Millis,
    pub drain_grace: Millis,
    pub initial_warm_up_capacity: f64,
    pub warm_up_period: Millis,
    pub overload_multiple: f64,
    pub overload_window: Millis,
    /// How long a key rests after an attempt that may still run.
    pub order_quiet_period: Millis,
    pub retry_budget: Option<RetryBudget>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    pub min_retries: f64,
    pub retry_ratio: f64,
    pub window: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    Inflight,
    MemoryQueue,
    CpuBusy,
    MemoryGranted,
    DiskBusy,
    Other,
}

/// Settings that contradict themselves or cannot be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    pub field: String,
    pub problem: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Names the first field that is impossible.
    pub fn check(&self) -> Result<(), SettingsError> {
        let err = |field: String, problem| Err(SettingsError { field, problem });
        if self.classes.is_empty() {
            return err("classes".into(), "no class");
        }
        if self.dispatchers == 0 {
            return err("gateways".into(), "must be at least 1");
        }
        let r = &self.rules;
        let mut values = vec![
            ("step".to_string(), self.step),
            ("over_share_worth".into(), self.over_quota_weight),
            ("cross_zone_price".into(), self.cross_zone_cost),
            ("limits.max_retry_after".into(), self.limits.max_retry_after),
            ("engines.most_grant".into(), self.engines.max_grant_share),
            ("engines.notes_every".into(), self.engines.progress_interval),
            ("rules.answer_grace".into(), r.answer_grace),
            ("rules.drain_grace".into(), r.drain_grace),
            ("rules.cold_from".into(), r.initial_warm_up_capacity),
            ("rules.warm_within".into(), r.warm_up_period),
            ("rules.fall_multiple".into(), r.overload_multiple),
            ("rules.fall_window".into(), r.overload_window),
            ("rules.order_rest".into(), r.order_quiet_period),
        ];
        if let Some(b) = r.retry_budget {
            values.push(("rules.attempt_budget.free".into(), b.min_retries));
            values.push(("rules.attempt_budget.share".into(), b.retry_ratio));
            values.push(("rules.attempt_budget.span".into(), b.window));
        }
        for (i, c) in self.classes.iter().enumerate() {
            values.push((format!("classes[{i}].worth"), c.priority_weight));
            values.push((format!("classes[{i}].aim"), c.latency_objective));
            values.push((
                format!("classes[{i}].aim_stretch"),
                c.latency_objective_slowdown,
            ));
            values.push((format!("classes[{i}].late_share"), c.late_answer_weight));
            values.push((format!("classes[{i}].threads"), c.threads));
            if let Idempotency::Keyed { window, .. } = c.idempotency {
                values.push((format!("classes[{i}].effect.window"), window));
            }
            if c.threads < 1.0 {
                return err(format!("classes[{i}].threads"), "must be at least 1");
            }
            if c.priority_weight == 0.0 {
                return err(format!("classes[{i}].worth"), "must be above 0");
            }
            if c.allowed_kinds
                .iter()
                .flatten()
                .any(|&k| k >= self.kinds.len())
            {
                return err(format!("classes[{i}].only_kinds"), "names no listed kind");
            }
        }
        for (i, k) in self.kinds.iter().enumerate() {
            values.push((format!("kinds[{i}].cores"), k.cores));
            values.push((format!("kinds[{i}].memory_mb"), k.memory_mb));
            if k.cores <= 0.0 {
                return err(format!("kinds[{i}].cores"), "must be above 0");
            }
        }
        for (i, t) in self.tenants.iter().enumerate() {
            values.push((format!("tenants[{i}].quota_per_s"), t.quota_per_s));
        }
        match values.into_iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
            Some((field, _)) => err(field, "must be finite and not negative"),
            None => Ok(()),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    Ready,
    Draining,
    Gone,
}

/// One line of the engine list.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    pub engine: String,
    pub state: EngineState,
    /// When its process last started; `None` is long ago.
    pub started: Option<Millis>,
    pub kind: Option<usize>,
    pub zone: Option<usize>,
    pub cell: i64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only what changed.
    Patch,
    /// The complete list; an engine that is absent is gone.
    Snapshot,
    /// The complete list as last seen before a restart.
    Stale,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// The engine gave an error; may have run.
    Error,
    /// Turned away unseen; never ran.
    Rejected,
    TimedOut,
    /// Never ran.
    Unreachable,
    /// The connection broke; may have run.
    Reset,
    Cancelled,
    /// Never sent.
    NeverStarted,
}

#[derive(Clone, Debug)]
pub struct Query {
    pub id: QueryId,
    pub class: ClassId,
    pub tenant: Option<usize>,
    /// Only for classes in order.
    pub key: Option<String>,
    /// Group of tables that it reads or writes.
    pub tables: Option<u64>,
    /// Until its client gives up on this try.
    pub time_left: Millis,
    /// Estimate of its work, as time on one thread.
    pub work: Option<f64>,
    /// Estimate of the memory it needs.
    pub memory_mb: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Ended {
    pub id: QueryId,
    pub attempt: u32,
    pub outcome: Outcome,
    /// The query is over, by this or before.
    pub last: bool,
    pub latency: Millis,
    /// True work and memory, where answers tell them.
    pub work: Option<f64>,
    pub memory_mb: Option<f64>,
    pub report: Vec<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressNote {
    /// Share of the work done so far.
    Completed(f64),
    /// Spills: this many MB short.
    SpilledMemory(f64),
    WaitsForMemory,
    WaitsForLoad,
    /// Its client holds it and asks nothing of it now, so that it takes no thread; the engine answers.
    Idle,
    /// Its client has asked for something again.
    Active,
}

#[derive(Clone, Debug)]
pub enum Event {
    EngineList {
        update: ListUpdate,
        entries: Vec<EngineEntry>,
    },
    DiscoveryFailed,
    Query(Query),
    AttemptEnded(Ended),
    /// An engine's load, as a probe brought it, or a peer's word of what an answer told a moment ago.
    EngineReport {
        engine: String,
        outcome: Outcome,
        report: Vec<f64>,
    },
    Progress {
        id: QueryId,
        attempt: u32,
        note: ProgressNote,
    },
    Streaming {
        id: QueryId,
        attempt: u32,
    },
    ClientDisconnected(QueryId),
    Timer(u64),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        id: QueryId,
        engine: String,
        timeout: Option<Millis>,
    },
    /// Memory for further attempts (0: the engine chooses) and priority, 0 to 3, also of those out.
    Terms {
        id: QueryId,
        priority: u8,
        memory_mb: f64,
    },
    Cancel {
        id: QueryId,
        attempt: u32,
    },
    Refuse {
        id: QueryId,
        retry_after: Option<Millis>,
    },
    Fail {
        id: QueryId,
    },
    Probe {
        engine: String,
    },
    Timer {
        at: Millis,
        token: u64,
    },
    Subscribe,
    Log(String),
}
