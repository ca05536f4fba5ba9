//! A scenario as a JSON5 file: the fleet, the load and the faults. `lab/scenarios/` has ready ones.

use crate::simulation::emulator::Params;
use query_dispatcher::{
    Class, EngineCapabilities, Idempotency, Kind, Limits, ReportField, Rules, Settings, Tenant,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Why a file is not a valid scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    #[error("{path}: {problem}")]
    File { path: String, problem: String },
    #[error("{key}: {problem}")]
    Key { key: String, problem: String },
}

fn bad(key: impl Into<String>, problem: impl std::fmt::Display) -> ScenarioError {
    ScenarioError::Key {
        key: key.into(),
        problem: problem.to_string(),
    }
}

/// A scenario. Spans are in seconds where a name ends in `_s`, in milliseconds where it ends in `_ms`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// What it is about, for reports.
    #[serde(default)]
    pub about: String,
    /// Requests come for so long.
    pub seconds: f64,
    #[serde(rename = "gateways")]
    pub dispatchers: usize,
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    pub engines: Vec<EngineGroup>,
    /// Kinds by name; what is left out is as in [`Params::default`].
    #[serde(default)]
    pub kinds: BTreeMap<String, Params>,
    #[serde(default = "classes")]
    pub classes: Vec<ClassSpec>,
    #[serde(default)]
    pub tenants: Vec<TenantSpec>,
    pub load: Load,
    #[serde(default)]
    pub net: Network,
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
}

fn one_zone() -> Vec<String> {
    vec!["home".into()]
}

/// This many engines of a kind, distributed over the zones in turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    pub kind: String,
    pub count: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    pub name: String,
    /// Its part of all requests.
    pub share: f64,
    /// The mean of its work, and the standard deviation of its logarithm.
    pub work_ms: f64,
    #[serde(default = "spread")]
    pub sigma: f64,
    #[serde(default = "one")]
    pub threads: f64,
    /// The part of its work that reads, drawn between these.
    #[serde(default)]
    pub io: [f64; 2],
    /// Memory that it needs, on average.
    pub memory_mb: f64,
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    pub aim_ms: f64,
    #[serde(default)]
    #[serde(rename = "aim_stretch")]
    pub latency_objective_slowdown: f64,
    #[serde(default)]
    #[serde(rename = "late_share")]
    pub late_answer_weight: f64,
    pub deadline_ms: f64,
    /// Running it twice would do harm.
    #[serde(default, rename = "unsafe")]
    pub non_idempotent: bool,
    /// It locks the tables of its area while it runs.
    #[serde(default, rename = "holds")]
    pub holds_tables: bool,
    /// It waits while a load locks the tables of its area.
    #[serde(default, rename = "stands")]
    pub waits_for_loads: bool,
}

fn one() -> f64 {
    1.0
}

fn spread() -> f64 {
    0.7
}

/// The operators' three classes.
fn classes() -> Vec<ClassSpec> {
    let class = |name: &str,
                 share,
                 work_ms,
                 threads,
                 io,
                 memory_mb,
                 priority_weight,
                 aim_ms,
                 latency_objective_slowdown,
                 deadline_ms| {
        ClassSpec {
            name: name.into(),
            share,
            work_ms,
            sigma: spread(),
            threads,
            io,
            memory_mb,
            priority_weight,
            aim_ms,
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    pub name: String,
    /// Its part of all requests.
    pub share: f64,
    /// Beyond it its requests are worth a twentieth; none: no bound.
    pub quota_per_s: Option<f64>,
}

/// The offered load: arrivals do not wait for answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests a second of all clients, where the shape is 1.
    pub per_s: f64,
    /// Moments in seconds and the part of `per_s` at each, joined by lines; empty: always 1.
    pub shape: Vec<[f64; 2]>,
    /// Subject areas, and how unevenly they are asked for.
    pub areas: usize,
    pub zipf: f64,
    /// The standard deviation of an estimate's logarithm, of work and of memory.
    pub estimate_sigma: f64,
    /// A refused client asks again so often, after this or after what it was told.
    pub retries: u32,
    pub retry_ms: f64,
    /// The part of clients that leave before their time, at half of it.
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
    /// The part of `per_s` at a moment in seconds.
    pub fn part(&self, at: f64) -> f64 {
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

    pub fn most(&self) -> f64 {
        self.shape
            .iter()
            .map(|s| s[1])
            .fold(if self.shape.is_empty() { 1.0 } else { 0.0 }, f64::max)
    }
}

/// One way, between a gateway and an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    pub within_ms: f64,
    /// Between zones, drawn anew for each message.
    pub across_ms: [f64; 2],
    /// News of the list reach each gateway within these.
    pub list_ms: [f64; 2],
    /// The part of notes that are lost.
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
    /// By their places in the fleet.
    These(Vec<usize>),
    /// So many, drawn.
    Some(usize),
    /// This part of all, drawn.
    Part { part: f64 },
    /// All of a zone.
    Zone { zone: String },
}

/// A fault that begins at `at_s`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    pub at_s: f64,
    #[serde(flatten)]
    pub what: FaultKind,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultKind {
    /// Processes end, and come back cold.
    Die {
        engines: EngineSelection,
        back_s: f64,
    },
    /// They take requests and answer none.
    Hang {
        engines: EngineSelection,
        for_s: f64,
    },
    /// Another program takes this part of the machine.
    Neighbour {
        engines: EngineSelection,
        part: f64,
        for_s: f64,
    },
    /// The list is so much further behind.
    StaleList { extra_s: f64, for_s: f64 },
    /// This part of a class's requests costs so many times the usual; their estimates show it.
    HeavyTail {
        class: String,
        part: f64,
        times: f64,
        for_s: f64,
    },
    /// Nothing passes between these gateways and these engines.
    Partition {
        #[serde(rename = "gateways")]
        dispatchers: Vec<usize>,
        engines: EngineSelection,
        for_s: f64,
    },
    /// Messages of these gateways take so much longer.
    SlowLink {
        #[serde(rename = "gateways")]
        dispatchers: Vec<usize>,
        extra_ms: f64,
        for_s: f64,
    },
    /// What these engines have breaks off; their processes go on.
    Reset { engines: EngineSelection },
    /// All engines of a zone end; those that are back start cold.
    #[serde(rename = "building_lost")]
    ZoneOutage { zone: String, back_s: f64 },
    /// The list takes them out of service; after `for_s` they are back, restarted.
    Drain {
        engines: EngineSelection,
        for_s: f64,
    },
    /// One after the other: drained, restarted, back.
    RollingRestart { each_s: f64, drain_s: f64 },
    /// Operators take them out at every gateway, restart them and put them back.
    #[serde(rename = "by_hand")]
    AdministrativeDrain {
        engines: EngineSelection,
        for_s: f64,
        restart_after_s: f64,
    },
    /// No news of the list reaches anybody.
    #[serde(rename = "registry_away")]
    RegistryOutage { for_s: f64 },
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    /// What is wrong with the file, by its key.
    pub fn read(path: &std::path::Path) -> Result<Self, ScenarioError> {
        let shown = path.display().to_string();
        let file = |problem: String| ScenarioError::File {
            path: shown.clone(),
            problem,
        };
        let text = std::fs::read_to_string(path).map_err(|e| file(e.to_string()))?;
        Self::parse(&text).map_err(|e| file(e.to_string()))
    }

    /// # Errors
    /// What is wrong with the text, by its key.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let s: Scenario = json5::from_str(text).map_err(|e| bad("JSON5", e))?;
        s.check()?;
        Ok(s)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let total: usize = self.engines.iter().map(|e| e.count).sum();
        if !(1..=5000).contains(&total) {
            return Err(bad("engines", format!("{total} engines are not 1 to 5000")));
        }
        if !(1..=5000).contains(&self.dispatchers) {
            return Err(bad(
                "gateways",
                format!("{} is not in 1 to 5000", self.dispatchers),
            ));
        }
        if !(self.seconds > 0.0 && self.seconds <= 86_400.0) {
            return Err(bad(
                "seconds",
                format!("{} is not in 0 to 86400", self.seconds),
            ));
        }
        if self.zones.is_empty() {
            return Err(bad("zones", "at least one is needed"));
        }
        for (name, kind) in &self.kinds {
            kind.check()
                .map_err(|e| bad(format!("kinds.{name}.{}", e.key), e.problem))?;
        }
        let unknown = self
            .engines
            .iter()
            .position(|e| !self.kinds.contains_key(&e.kind) && e.kind != "std");
        if let Some(i) = unknown {
            return Err(bad(
                format!("engines[{i}].kind"),
                format!("{:?} is no kind", self.engines[i].kind),
            ));
        }
        if self.classes.is_empty() {
            return Err(bad("classes", "at least one is needed"));
        }
        for (i, c) in self.classes.iter().enumerate() {
            let ok = c.share >= 0.0
                && c.work_ms > 0.0
                && c.deadline_ms > 0.0
                && c.priority_weight > 0.0
                && c.threads >= 1.0;
            if !ok {
                return Err(bad(
                    format!("classes[{i}]"),
                    "share, work, deadline, worth or threads cannot be",
                ));
            }
        }
        if !(self.load.per_s >= 0.0 && self.load.per_s.is_finite() && self.load.areas > 0) {
            return Err(bad("load", "per_s or areas cannot be"));
        }
        if self.load.shape.windows(2).any(|w| w[0][0] >= w[1][0]) {
            return Err(bad("load.shape", "moments must rise"));
        }
        for (i, t) in self.faults.iter().enumerate() {
            let key = format!("trouble[{i}]");
            let which = match &t.what {
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
            match which {
                Some(EngineSelection::These(n)) if n.iter().any(|n| *n >= total) => {
                    return Err(bad(
                        key,
                        format!("there are {total} engines, counted from 0"),
                    ));
                }
                Some(EngineSelection::Zone { zone }) if !self.zones.contains(&zone) => {
                    return Err(bad(key, format!("{zone:?} is no zone")));
                }
                _ => {}
            }
            if let FaultKind::HeavyTail { class, .. } = &t.what
                && !self.classes.iter().any(|c| c.name == *class)
            {
                return Err(bad(key, format!("{class:?} is no class")));
            }
            let dispatchers = match &t.what {
                FaultKind::Partition { dispatchers, .. }
                | FaultKind::SlowLink { dispatchers, .. } => &dispatchers[..],
                _ => &[],
            };
            if dispatchers.iter().any(|g| *g >= self.dispatchers) {
                return Err(bad(
                    key,
                    format!("there are {} gateways, counted from 0", self.dispatchers),
                ));
            }
        }
        Ok(())
    }

    /// The kind by its name; `std` is there without a word.
    pub fn kind(&self, name: &str) -> Params {
        self.kinds.get(name).cloned().unwrap_or_default()
    }

    /// The names of kinds, in the order that gateways number them by.
    pub fn kind_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.engines.iter().map(|e| e.kind.clone()).collect();
        names.sort();
        names.dedup();
        names
    }

    /// The settings of one dispatcher in this zone.
    pub fn settings(&self, zone: usize) -> Settings {
        let params: Vec<Params> = self.kind_names().iter().map(|n| self.kind(n)).collect();
        let first = params.first().cloned().unwrap_or_default();
        let kinds = params.iter().map(|p| Kind {
            cores: p.cores,
            memory_mb: p.memory_mb,
        });
        let class = |c: &ClassSpec| Class {
            priority_weight: c.priority_weight,
            latency_objective: c.aim_ms,
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
