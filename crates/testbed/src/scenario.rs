//! Scenarios of the simulation, as JSON5 files: the fleet, the load and the faults. `lab/scenarios/` has
//! examples.

use crate::simulation::emulator::Params;
use query_dispatcher::{
    Class, EngineCapabilities, Idempotency, Kind, Limits, ReportField, Rules, Settings, Tenant,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Error for a file that is not a valid scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    #[error("{path}: {problem}")]
    File { path: String, problem: String },
    #[error("{key}: {problem}")]
    Key { key: String, problem: String },
}

fn key_error(key: impl Into<String>, problem: impl std::fmt::Display) -> ScenarioError {
    ScenarioError::Key {
        key: key.into(),
        problem: problem.to_string(),
    }
}

/// A scenario. Durations are in seconds where a name ends in `_s` and in milliseconds where it ends in `_ms`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// Description for reports.
    #[serde(default)]
    pub about: String,
    /// Time during which requests arrive, in seconds.
    pub seconds: f64,
    #[serde(rename = "gateways")]
    pub dispatchers: usize,
    #[serde(default = "default_zones")]
    pub zones: Vec<String>,
    pub engines: Vec<EngineGroup>,
    /// Engine kinds by name; missing parameters are those of [`Params::default`].
    #[serde(default)]
    pub kinds: BTreeMap<String, Params>,
    #[serde(default = "default_classes")]
    pub classes: Vec<ClassSpec>,
    #[serde(default)]
    pub tenants: Vec<TenantSpec>,
    pub load: Load,
    #[serde(default)]
    pub net: Network,
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
}

fn default_zones() -> Vec<String> {
    vec!["home".into()]
}

/// A number of engines of one kind, distributed over the zones in turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    pub kind: String,
    pub count: usize,
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    pub name: String,
    /// Share of all requests, as a weight relative to the other classes.
    pub share: f64,
    /// Mean work of a request, on one thread of an idle engine.
    pub work_ms: f64,
    /// Standard deviation of the logarithm of the work.
    #[serde(default = "default_sigma")]
    pub sigma: f64,
    #[serde(default = "one_thread")]
    pub threads: f64,
    /// Bounds between which the fraction of work that reads is drawn.
    #[serde(default)]
    pub io: [f64; 2],
    /// Mean memory that a request needs, in megabytes.
    pub memory_mb: f64,
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Factor on the work divided by the threads, added to the latency objective.
    #[serde(default)]
    #[serde(rename = "aim_stretch")]
    pub latency_objective_slowdown: f64,
    /// Fraction of the priority weight that an answer after the latency objective earns.
    #[serde(default)]
    #[serde(rename = "late_share")]
    pub late_answer_weight: f64,
    pub deadline_ms: f64,
    /// Whether a request must not run twice.
    #[serde(default, rename = "unsafe")]
    pub non_idempotent: bool,
    /// Whether a request locks its table group while it runs.
    #[serde(default, rename = "holds")]
    pub holds_tables: bool,
    /// Whether a request is blocked while a load locks its table group.
    #[serde(default, rename = "stands")]
    pub waits_for_loads: bool,
}

fn one_thread() -> f64 {
    1.0
}

fn default_sigma() -> f64 {
    0.7
}

/// Returns the three classes of the operators.
fn default_classes() -> Vec<ClassSpec> {
    let class = |name: &str,
                 share,
                 work_ms,
                 threads,
                 io,
                 memory_mb,
                 priority_weight,
                 latency_objective_ms,
                 latency_objective_slowdown,
                 deadline_ms| {
        ClassSpec {
            name: name.into(),
            share,
            work_ms,
            sigma: default_sigma(),
            threads,
            io,
            memory_mb,
            priority_weight,
            latency_objective_ms,
            latency_objective_slowdown,
            late_answer_weight: 0.25,
            deadline_ms,
            non_idempotent: name == "load",
            holds_tables: name == "load",
            waits_for_loads: name != "load",
        }
    };
    vec![
        class(
            "lookup",
            0.794,
            320.0,
            1.0,
            [0.21, 0.42],
            150.0,
            1.0,
            2000.0,
            1.5,
            10_000.0,
        ),
        class(
            "report",
            0.15,
            3300.0,
            3.0,
            [0.34, 0.59],
            1000.0,
            5.0,
            2000.0,
            2.5,
            25_000.0,
        ),
        class(
            "load",
            0.056,
            3300.0,
            2.0,
            [0.42, 0.60],
            750.0,
            4.0,
            4000.0,
            3.0,
            20_000.0,
        ),
    ]
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    pub name: String,
    /// Share of all requests, as a weight relative to the other tenants.
    pub share: f64,
    /// Requests per second beyond which a request has a twentieth of its priority weight; unlimited if
    /// missing.
    pub quota_per_s: Option<f64>,
}

/// The offered load. It is open: arrivals do not wait for answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests per second of all clients where the shape is 1.
    pub per_s: f64,
    /// Pairs of a time in seconds and the fraction of `per_s` at that time, interpolated linearly; if
    /// empty, the fraction is always 1.
    pub shape: Vec<[f64; 2]>,
    /// Number of table groups.
    pub areas: usize,
    /// Exponent of Zipf's law for the popularity of table groups.
    pub zipf: f64,
    /// Standard deviation of the logarithm of an estimate, for work and for memory.
    pub estimate_sigma: f64,
    /// Maximum number of retries of a rejected client.
    pub retries: u32,
    /// Delay before a retry whose rejection named none.
    pub retry_ms: f64,
    /// Fraction of clients that disconnect early, at half of their deadline.
    pub leave: f64,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            per_s: 50.0,
            shape: vec![],
            areas: 60,
            zipf: 1.0,
            estimate_sigma: 0.2,
            retries: 1,
            retry_ms: 300.0,
            leave: 0.0,
        }
    }
}

impl Load {
    /// Returns the fraction of `per_s` at a time in seconds.
    pub fn fraction_at(&self, at: f64) -> f64 {
        let Some(first) = self.shape.first() else {
            return 1.0;
        };
        if at <= first[0] {
            return first[1];
        }
        for pair in self.shape.windows(2) {
            let ([t0, a], [t1, b]) = (pair[0], pair[1]);
            if at < t1 {
                return a + (b - a) * (at - t0) / (t1 - t0).max(1e-9);
            }
        }
        self.shape.last().map_or(1.0, |l| l[1])
    }

    /// Returns the highest fraction of `per_s`.
    pub fn peak_fraction(&self) -> f64 {
        self.shape
            .iter()
            .map(|s| s[1])
            .fold(if self.shape.is_empty() { 1.0 } else { 0.0 }, f64::max)
    }
}

/// One-way delays and losses of messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Delay between a dispatcher and an engine of the same zone.
    pub within_ms: f64,
    /// Bounds of the delay between zones, drawn for each message.
    pub across_ms: [f64; 2],
    /// Bounds of the delay of list events, drawn for each dispatcher and event.
    pub list_ms: [f64; 2],
    /// Fraction of progress notes that are lost.
    pub lost_notes: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            within_ms: 0.3,
            across_ms: [1.4, 2.6],
            list_ms: [200.0, 900.0],
            lost_notes: 0.0,
        }
    }
}

/// Which engines a fault affects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum EngineSelection {
    /// Engines by their index in the fleet.
    These(Vec<usize>),
    /// A number of engines, drawn at random.
    Some(usize),
    /// A fraction of all engines, drawn at random.
    Part { part: f64 },
    /// All engines of a zone.
    Zone { zone: String },
}

/// A fault that begins at `at_s`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    pub at_s: f64,
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// What a fault does, and for how long.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultKind {
    /// Engine processes end and are started again after `back_s`; they then warm up.
    Die {
        engines: EngineSelection,
        back_s: f64,
    },
    /// Engines accept requests but answer none.
    Hang {
        engines: EngineSelection,
        for_s: f64,
    },
    /// Another program uses this fraction of each engine's machine.
    Neighbour {
        engines: EngineSelection,
        part: f64,
        for_s: f64,
    },
    /// List events are delayed by an additional `extra_s`.
    StaleList { extra_s: f64, for_s: f64 },
    /// The work of this fraction of a class's requests is multiplied by `times`; their estimates reflect it.
    HeavyTail {
        class: String,
        part: f64,
        times: f64,
        for_s: f64,
    },
    /// No message passes between these dispatchers and these engines.
    Partition {
        #[serde(rename = "gateways")]
        dispatchers: Vec<usize>,
        engines: EngineSelection,
        for_s: f64,
    },
    /// Messages of these dispatchers are delayed by an additional `extra_ms`.
    SlowLink {
        #[serde(rename = "gateways")]
        dispatchers: Vec<usize>,
        extra_ms: f64,
        for_s: f64,
    },
    /// All attempts on these engines are reset; the processes continue.
    Reset { engines: EngineSelection },
    /// All engine processes of a zone end and are started again after `back_s`; they then warm up.
    #[serde(rename = "building_lost")]
    ZoneOutage { zone: String, back_s: f64 },
    /// The list reports engines as draining; after `for_s` they are restarted and listed as ready.
    Drain {
        engines: EngineSelection,
        for_s: f64,
    },
    /// All engines are drained and restarted one after the other: one begins every `each_s`, and is
    /// restarted after `drain_s`.
    RollingRestart { each_s: f64, drain_s: f64 },
    /// Operators drain engines at every dispatcher, restart them after `restart_after_s`, and end the drain
    /// after `for_s`.
    #[serde(rename = "by_hand")]
    AdministrativeDrain {
        engines: EngineSelection,
        for_s: f64,
        restart_after_s: f64,
    },
    /// No list event reaches any dispatcher until the fault ends.
    #[serde(rename = "registry_away")]
    RegistryOutage { for_s: f64 },
}

impl Scenario {
    /// Reads a scenario from a file.
    ///
    /// # Errors
    /// Returns the first problem of the file, with its path and key.
    pub fn read(path: &std::path::Path) -> Result<Self, ScenarioError> {
        let path_text = path.display().to_string();
        let file_error = |problem: String| ScenarioError::File {
            path: path_text.clone(),
            problem,
        };
        let text = std::fs::read_to_string(path).map_err(|e| file_error(e.to_string()))?;
        Self::parse(&text).map_err(|e| file_error(e.to_string()))
    }

    /// Parses and checks a scenario.
    ///
    /// # Errors
    /// Returns the first problem of the text, with its key.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let s: Scenario = json5::from_str(text).map_err(|e| key_error("JSON5", e))?;
        s.check()?;
        Ok(s)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let total: usize = self.engines.iter().map(|e| e.count).sum();
        if !(1..=5000).contains(&total) {
            return Err(key_error(
                "engines",
                format!("the total of {total} is not in 1 to 5000"),
            ));
        }
        if !(1..=5000).contains(&self.dispatchers) {
            return Err(key_error(
                "gateways",
                format!("{} is not in 1 to 5000", self.dispatchers),
            ));
        }
        if !(self.seconds > 0.0 && self.seconds <= 86_400.0) {
            return Err(key_error(
                "seconds",
                format!("{} is not above 0 and at most 86400", self.seconds),
            ));
        }
        if self.zones.is_empty() {
            return Err(key_error("zones", "at least one is required"));
        }
        for (name, kind) in &self.kinds {
            kind.check()
                .map_err(|e| key_error(format!("kinds.{name}.{}", e.key), e.problem))?;
        }
        let unknown = self
            .engines
            .iter()
            .position(|e| !self.kinds.contains_key(&e.kind) && e.kind != "std");
        if let Some(i) = unknown {
            return Err(key_error(
                format!("engines[{i}].kind"),
                format!("{:?} is an unknown kind", self.engines[i].kind),
            ));
        }
        if self.classes.is_empty() {
            return Err(key_error("classes", "at least one is required"));
        }
        for (i, c) in self.classes.iter().enumerate() {
            let valid = c.share >= 0.0
                && c.work_ms > 0.0
                && c.deadline_ms > 0.0
                && c.priority_weight > 0.0
                && c.threads >= 1.0;
            if !valid {
                return Err(key_error(
                    format!("classes[{i}]"),
                    "share must be at least 0, work_ms, deadline_ms and worth above 0, and threads at least 1",
                ));
            }
        }
        if !(self.load.per_s >= 0.0 && self.load.per_s.is_finite() && self.load.areas > 0) {
            return Err(key_error(
                "load",
                "per_s must be finite and at least 0, and areas at least 1",
            ));
        }
        if self.load.shape.windows(2).any(|w| w[0][0] >= w[1][0]) {
            return Err(key_error("load.shape", "times must be strictly increasing"));
        }
        for (i, fault) in self.faults.iter().enumerate() {
            let key = format!("trouble[{i}]");
            let selection = match &fault.kind {
                FaultKind::Die { engines, .. }
                | FaultKind::Hang { engines, .. }
                | FaultKind::Neighbour { engines, .. }
                | FaultKind::Partition { engines, .. }
                | FaultKind::Reset { engines }
                | FaultKind::Drain { engines, .. }
                | FaultKind::AdministrativeDrain { engines, .. } => Some(engines.clone()),
                FaultKind::ZoneOutage { zone, .. } => {
                    Some(EngineSelection::Zone { zone: zone.clone() })
                }
                _ => None,
            };
            match selection {
                Some(EngineSelection::These(n)) if n.iter().any(|n| *n >= total) => {
                    return Err(key_error(
                        key,
                        format!("engine indices must be below {total}"),
                    ));
                }
                Some(EngineSelection::Zone { zone }) if !self.zones.contains(&zone) => {
                    return Err(key_error(key, format!("{zone:?} is an unknown zone")));
                }
                _ => {}
            }
            if let FaultKind::HeavyTail { class, .. } = &fault.kind
                && !self.classes.iter().any(|c| c.name == *class)
            {
                return Err(key_error(key, format!("{class:?} is an unknown class")));
            }
            let dispatchers = match &fault.kind {
                FaultKind::Partition { dispatchers, .. }
                | FaultKind::SlowLink { dispatchers, .. } => &dispatchers[..],
                _ => &[],
            };
            if dispatchers.iter().any(|g| *g >= self.dispatchers) {
                return Err(key_error(
                    key,
                    format!("gateway indices must be below {}", self.dispatchers),
                ));
            }
        }
        Ok(())
    }

    /// Returns the parameters of a kind; one that is not defined, such as `std`, has the default parameters.
    pub fn kind(&self, name: &str) -> Params {
        self.kinds.get(name).cloned().unwrap_or_default()
    }

    /// Returns the names of the kinds in the order in which dispatchers number them.
    pub fn kind_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.engines.iter().map(|e| e.kind.clone()).collect();
        names.sort();
        names.dedup();
        names
    }

    /// Returns the settings of a dispatcher in this zone.
    pub fn settings(&self, zone: usize) -> Settings {
        let params: Vec<Params> = self.kind_names().iter().map(|n| self.kind(n)).collect();
        let first = params.first().cloned().unwrap_or_default();
        let kinds = params.iter().map(|p| Kind {
            cores: p.cores,
            memory_mb: p.memory_mb,
        });
        let class = |c: &ClassSpec| Class {
            priority_weight: c.priority_weight,
            latency_objective: c.latency_objective_ms,
            latency_objective_slowdown: c.latency_objective_slowdown,
            late_answer_weight: c.late_answer_weight,
            idempotency: if c.non_idempotent {
                Idempotency::NonIdempotent
            } else {
                Idempotency::Idempotent
            },
            in_order: false,
            allowed_zones: None,
            allowed_kinds: None,
            threads: c.threads,
            holds_tables: c.holds_tables,
            waits_for_loads: c.waits_for_loads,
        };
        Settings {
            dispatchers: self.dispatchers as u32,
            zone: Some(zone),
            step: 5.0,
            classes: self.classes.iter().map(class).collect(),
            tenants: self
                .tenants
                .iter()
                .map(|t| Tenant {
                    quota_per_s: t.quota_per_s.unwrap_or(f64::MAX),
                })
                .collect(),
            kinds: kinds.collect(),
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
                progress_interval: first.note_every,
            },
            rules: Rules {
                answer_grace: 20.0,
                drain_grace: 1000.0,
                initial_warm_up_capacity: first.initial_warm_up_capacity,
                warm_up_period: first.warm_up_period,
                overload_multiple: first.overload_multiple,
                overload_window: first.overload_window,
                order_quiet_period: 0.0,
                retry_budget: None,
            },
            report_fields: vec![ReportField::Inflight, ReportField::MemoryGranted],
            must_subscribe: false,
            cross_zone_cost: 0.0,
        }
    }
}

#[cfg(test)]
mod tests;
