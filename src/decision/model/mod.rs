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
    pub gateways: u32,
    /// The zone this gateway stands in, by number.
    pub zone: Option<usize>,
    /// Shortest time between two calls with a later clock.
    pub step: Millis,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    pub kinds: Vec<Kind>,
    /// Worth of a query beyond its tenant's share, as a part of its class's worth.
    pub over_share_worth: f64,
    pub limits: Limits,
    pub engines: EngineFacts,
    pub rules: Rules,
    /// What a load report holds, in order.
    pub report_fields: Vec<ReportField>,
    /// True if changes of the engine list arrive only after [`Action::Subscribe`] or [`Action::Fetch`].
    pub must_subscribe: bool,
    /// Points lost for each attempt that crosses zones, a query.
    pub cross_zone_price: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub worth: f64,
    /// An answer within this (plus the stretch) earns the full worth.
    pub aim: Millis,
    /// The aim grows by this times the query's work divided by its threads.
    pub aim_stretch: f64,
    /// Share of the worth that a late answer still earns.
    pub late_share: f64,
    pub effect: Effect,
    /// Queries with one key run one at a time, in the order taken.
    pub in_order: bool,
    /// The only zones it may run in; `None` is anywhere.
    pub only_zones: Option<Vec<usize>>,
    /// The only kinds of engine it may run on; `None` is any.
    pub only_kinds: Option<Vec<usize>>,
    /// Threads that one query runs on.
    pub threads: f64,
    /// A load: holds its group of tables on its engine while it runs.
    pub holds_tables: bool,
    /// Stands still while a load holds its group.
    pub waits_for_loads: bool,
}

/// What running a query twice would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Safe,
    /// Engines of a group drop repeats for `window` from the first send that may have run.
    Keyed {
        group: Group,
        window: Millis,
    },
    Unsafe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
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
    pub most_attempts: u32,
    pub second_copies: bool,
    pub cancel: bool,
    pub probes: bool,
    pub retry_advice: bool,
    pub max_retry_after: Millis,
}

#[derive(Clone, Debug, PartialEq)]
pub struct EngineFacts {
    pub takes_grants: bool,
    pub takes_priority: bool,
    /// Share of an engine's memory that one query gets at most.
    pub most_grant: f64,
    /// Answers tell true work and memory.
    pub tells_cost: bool,
    /// When memory runs out, queries are let in and all slow down.
    pub overcommits: bool,
    /// Every attempt that runs or stands brings a note this often; 0: none tells.
    pub notes_every: Millis,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    pub answer_grace: Millis,
    pub drain_grace: Millis,
    pub cold_from: f64,
    pub warm_within: Millis,
    pub fall_multiple: f64,
    pub fall_window: Millis,
    /// How long a key rests after an attempt that may still run.
    pub order_rest: Millis,
    pub attempt_budget: Option<AttemptBudget>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptBudget {
    pub free: f64,
    pub share: f64,
    pub span: Millis,
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
        if self.gateways == 0 {
            return err("gateways".into(), "must be at least 1");
        }
        let r = &self.rules;
        let mut values = vec![
            ("step".to_string(), self.step),
            ("over_share_worth".into(), self.over_share_worth),
            ("cross_zone_price".into(), self.cross_zone_price),
            ("limits.max_retry_after".into(), self.limits.max_retry_after),
            ("engines.most_grant".into(), self.engines.most_grant),
            ("engines.notes_every".into(), self.engines.notes_every),
            ("rules.answer_grace".into(), r.answer_grace),
            ("rules.drain_grace".into(), r.drain_grace),
            ("rules.cold_from".into(), r.cold_from),
            ("rules.warm_within".into(), r.warm_within),
            ("rules.fall_multiple".into(), r.fall_multiple),
            ("rules.fall_window".into(), r.fall_window),
            ("rules.order_rest".into(), r.order_rest),
        ];
        if let Some(b) = r.attempt_budget {
            values.push(("rules.attempt_budget.free".into(), b.free));
            values.push(("rules.attempt_budget.share".into(), b.share));
            values.push(("rules.attempt_budget.span".into(), b.span));
        }
        for (i, c) in self.classes.iter().enumerate() {
            values.push((format!("classes[{i}].worth"), c.worth));
            values.push((format!("classes[{i}].aim"), c.aim));
            values.push((format!("classes[{i}].aim_stretch"), c.aim_stretch));
            values.push((format!("classes[{i}].late_share"), c.late_share));
            values.push((format!("classes[{i}].threads"), c.threads));
            if let Effect::Keyed { window, .. } = c.effect {
                values.push((format!("classes[{i}].effect.window"), window));
            }
            if c.threads < 1.0 {
                return err(format!("classes[{i}].threads"), "must be at least 1");
            }
            if c.worth == 0.0 {
                return err(format!("classes[{i}].worth"), "must be above 0");
            }
            if c.only_kinds
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
    Whole,
    /// The complete list as last seen before a restart.
    Stale,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// The engine gave an error; may have run.
    Error,
    /// Turned away unseen; never ran.
    Full,
    TimedOut,
    /// Never ran.
    Unreachable,
    /// The connection broke; may have run.
    Reset,
    Cancelled,
    /// Never sent.
    Moot,
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
pub enum Note {
    /// Share of the work done so far.
    Done(f64),
    /// Spills: this many MB short.
    Spills(f64),
    WaitsForMemory,
    WaitsForLoad,
    /// Its client holds it and asks nothing of it now, so that it takes no thread; the engine answers.
    Idle,
    /// Its client has asked for something again.
    Works,
}

#[derive(Clone, Debug)]
pub enum Event {
    Engines {
        update: ListUpdate,
        entries: Vec<EngineEntry>,
    },
    DiscoveryFailed,
    Query(Query),
    Ended(Ended),
    /// An engine's load, as a probe brought it, or a peer's word of what an answer told a moment ago.
    Heard {
        engine: String,
        outcome: Outcome,
        report: Vec<f64>,
    },
    Progress {
        id: QueryId,
        attempt: u32,
        note: Note,
    },
    Streaming {
        id: QueryId,
        attempt: u32,
    },
    ClientLeft(QueryId),
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
