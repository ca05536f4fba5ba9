//! The settings' own form, shared by the platform and the simulator.

use super::*;
use crate::gossip::GossipBudget;

/// The settings as the simulator's first message and the platform's `settings` hold them.
#[derive(Deserialize)]
pub struct FleetSettings {
    ceilings: Ceilings,
    deductions: Option<Deductions>,
    discovery: Option<String>,
    extra: Option<Extra>,
    feedback: Option<Feedback>,
    fleet_size: u32,
    grades: Vec<Grade>,
    locality: Option<String>,
    machine_types: Vec<String>,
    #[serde(rename = "over_share_worth")]
    over_quota_weight: Option<f64>,
    rules: RulesIn,
    step: f64,
    tenants: Option<Vec<TenantIn>>,
    zones: Option<Vec<String>>,
}

#[derive(Deserialize)]
struct Ceilings {
    cancel: Option<bool>,
    conn_idle: Option<f64>,
    connect_timeout: Option<f64>,
    max_open: Option<usize>,
    max_retry_after: Option<f64>,
    most_tries: Option<u32>,
    peer_messages: Option<bool>,
    probes: Option<bool>,
    retry_after: Option<bool>,
    #[serde(rename = "second_copies")]
    hedging: Option<bool>,
    streams_per_conn: Option<usize>,
}

#[derive(Deserialize)]
struct Deductions {
    cross_zone: Option<f64>,
    peer: Option<f64>,
}

#[derive(Default, Deserialize)]
struct Extra {
    #[serde(default)]
    class_waits: Vec<bool>,
    #[serde(default)]
    cores_by_kind: Vec<f64>,
    cost_in_answers: Option<bool>,
    #[serde(default)]
    holds_tables: Vec<bool>,
    #[serde(rename = "most_grant")]
    max_grant_share: Option<f64>,
    on_shortage: Option<String>,
    progress: Option<f64>,
    #[serde(default)]
    ram_of_kind_mb: Vec<f64>,
    #[serde(rename = "takes_grants")]
    accepts_memory_grants: Option<bool>,
    #[serde(rename = "takes_priority")]
    accepts_priority: Option<bool>,
    #[serde(default)]
    width_by_class: Vec<f64>,
}

#[derive(Deserialize)]
struct Feedback {
    fields: Option<Vec<String>>,
}

#[derive(Deserialize)]
struct Grade {
    name: String,
    #[serde(rename = "aim")]
    latency_objective: f64,
    #[serde(rename = "aim_stretch")]
    latency_objective_slowdown: Option<f64>,
    dedup_window: Option<f64>,
    #[serde(rename = "effect")]
    idempotency: String,
    hard_limit: Option<f64>,
    group: Option<String>,
    #[serde(rename = "late_share")]
    late_answer_weight: Option<f64>,
    one_at_a_time: Option<bool>,
    confined_to: Option<Vec<String>>,
    machine_types_only: Option<Vec<String>>,
    #[serde(rename = "worth")]
    priority_weight: f64,
}

#[derive(Deserialize)]
struct RulesIn {
    budget_span: Option<f64>,
    #[serde(rename = "cold_from")]
    initial_warm_up_capacity: f64,
    drain_grace: f64,
    extra_per_request: Option<f64>,
    #[serde(rename = "fall_multiple")]
    overload_multiple: f64,
    grace_to_answer: f64,
    overload_for: f64,
    spare_attempts: Option<f64>,
    turn_gap: Option<f64>,
    #[serde(rename = "warm_within")]
    warm_up_period: f64,
}

#[derive(Deserialize)]
struct TenantIn {
    name: String,
    quota_per_s: Option<f64>,
}

fn at<T: Copy>(list: &[T], i: usize, absent: T, len: usize, field: &str) -> Result<T, String> {
    match list.len() {
        0 => Ok(absent),
        n if n == len => Ok(list[i]),
        n => Err(format!("{field}: {n} entries where {len} belong")),
    }
}

impl FleetSettings {
    /// What the sockets need to know of the settings.
    pub fn sockets(&self) -> SocketSettings {
        let c = &self.ceilings;
        // A class without one waits for as long as its clients say.
        let longest = self
            .grades
            .iter()
            .map(|g| g.hard_limit.unwrap_or(f64::INFINITY))
            .fold(0.0, f64::max);
        SocketSettings {
            connect_timeout: c.connect_timeout.unwrap_or(250.0),
            idle_timeout: c.conn_idle.unwrap_or(30_000.0),
            max_streams_per_connection: c.streams_per_conn.unwrap_or(100).clamp(1, 1024),
            progress_interval: self.extra.as_ref().and_then(|x| x.progress).unwrap_or(0.0),
            max_open_requests: c.max_open.unwrap_or(20_000),
            longest_deadline: longest,
        }
    }

    /// What the dispatchers of the tier may tell each other; `None`: nothing.
    pub fn gossip_budget(&self) -> Option<GossipBudget> {
        let fields = self
            .feedback
            .as_ref()
            .and_then(|f| f.fields.as_ref())
            .map_or(0, Vec::len);
        let price = self.deductions.as_ref().and_then(|d| d.peer).unwrap_or(0.0);
        let may = self.ceilings.peer_messages.unwrap_or(false) && self.fleet_size > 1 && fields > 0;
        let usable = price.is_finite() && price >= 0.0;
        (may && usable).then_some(GossipBudget {
            dispatchers: self.fleet_size,
            message_price: price * 100.0,
            report_fields: fields,
        })
    }

    /// The module's settings, and the names behind its numbers.
    pub fn settings(self) -> Result<(Settings, NameTable), String> {
        let x = self.extra.unwrap_or_default();
        let zones = self.zones.unwrap_or_default();
        let kinds = self.machine_types;
        let n = self.grades.len();
        let mut classes = Vec::with_capacity(n);
        for (i, g) in self.grades.iter().enumerate() {
            let idempotency = match g.idempotency.as_str() {
                "retryable" => Idempotency::Idempotent,
                "fragile" => Idempotency::NonIdempotent,
                "dedup" => Idempotency::Keyed {
                    group: match g.group.as_deref() {
                        Some("all") => DeduplicationScope::All,
                        Some("zone") => DeduplicationScope::Zone,
                        Some("cell") | None => DeduplicationScope::Cell,
                        Some(other) => {
                            return Err(format!("grades[{i}].group: unknown word {other:?}"));
                        }
                    },
                    window: g.dedup_window.unwrap_or(0.0),
                },
                other => return Err(format!("grades[{i}].effect: unknown word {other:?}")),
            };
            // A name that is not listed can match no engine: it is left out, which is the stricter reading.
            let numbers = |names: &Option<Vec<String>>, list: &[String]| {
                names
                    .as_ref()
                    .map(|v| v.iter().filter_map(|s| position_of(list, s)).collect())
            };
            classes.push(Class {
                priority_weight: g.priority_weight,
                latency_objective: g.latency_objective,
                latency_objective_slowdown: g.latency_objective_slowdown.unwrap_or(0.0),
                late_answer_weight: g.late_answer_weight.unwrap_or(0.0),
                idempotency,
                in_order: g.one_at_a_time.unwrap_or(false),
                allowed_zones: numbers(&g.confined_to, &zones),
                allowed_kinds: numbers(&g.machine_types_only, &kinds),
                threads: at(&x.width_by_class, i, 1.0, n, "extra.width_by_class")?,
                holds_tables: at(&x.holds_tables, i, false, n, "extra.holds_tables")?,
                waits_for_loads: at(&x.class_waits, i, false, n, "extra.class_waits")?,
            });
        }
        let m = kinds.len();
        let kind_facts = (0..m)
            .map(|i| {
                Ok(Kind {
                    cores: at(&x.cores_by_kind, i, 1.0, m, "extra.cores_by_kind")?,
                    memory_mb: at(&x.ram_of_kind_mb, i, 0.0, m, "extra.ram_of_kind_mb")?,
                })
            })
            .collect::<Result<_, String>>()?;
        let tenants = self.tenants.unwrap_or_default();
        let r = self.rules;
        let budget = (r.budget_span, r.spare_attempts, r.extra_per_request);
        let c = self.ceilings;
        let fields = self.feedback.and_then(|f| f.fields).unwrap_or_default();
        let reports_cost = x.cost_in_answers.unwrap_or(false);
        let settings = Settings {
            dispatchers: self.fleet_size,
            zone: self.locality.and_then(|z| position_of(&zones, &z)),
            step: self.step,
            classes,
            tenants: tenants
                .iter()
                .map(|t| Tenant {
                    quota_per_s: t.quota_per_s.unwrap_or(f64::MAX),
                })
                .collect(),
            kinds: kind_facts,
            over_quota_weight: self.over_quota_weight.unwrap_or(1.0),
            limits: Limits {
                max_attempts: c.most_tries.unwrap_or(1),
                hedging: c.hedging.unwrap_or(false),
                cancel: c.cancel.unwrap_or(false),
                probes: c.probes.unwrap_or(false),
                sends_retry_after: c.retry_after.unwrap_or(false),
                max_retry_after: c.max_retry_after.unwrap_or(0.0),
            },
            engines: EngineCapabilities {
                accepts_memory_grants: x.accepts_memory_grants.unwrap_or(false),
                accepts_priority: x.accepts_priority.unwrap_or(false),
                max_grant_share: x.max_grant_share.unwrap_or(0.0),
                reports_cost,
                overcommits_memory: x.on_shortage.as_deref() == Some("overcommit"),
                progress_interval: x.progress.unwrap_or(0.0),
            },
            rules: Rules {
                answer_grace: r.grace_to_answer,
                drain_grace: r.drain_grace,
                initial_warm_up_capacity: r.initial_warm_up_capacity,
                warm_up_period: r.warm_up_period,
                overload_multiple: r.overload_multiple,
                overload_window: r.overload_for,
                order_quiet_period: r.turn_gap.unwrap_or(0.0),
                retry_budget: match budget {
                    (None, None, None) => None,
                    (window, min_retries, retry_ratio) => Some(RetryBudget {
                        window: window.unwrap_or(0.0),
                        min_retries: min_retries.unwrap_or(0.0),
                        retry_ratio: retry_ratio.unwrap_or(0.0),
                    }),
                },
            },
            report_fields: fields
                .iter()
                .map(|f| match f.as_str() {
                    "rif" => ReportField::Inflight,
                    "q" => ReportField::MemoryQueue,
                    "busy" => ReportField::CpuBusy,
                    "x0" => ReportField::MemoryGranted,
                    "x1" => ReportField::DiskBusy,
                    _ => ReportField::Other,
                })
                .collect(),
            must_subscribe: self.discovery.as_deref() == Some("subscribe"),
            cross_zone_cost: self.deductions.and_then(|d| d.cross_zone).unwrap_or(0.0),
        };
        let names = NameTable {
            classes: self.grades.into_iter().map(|g| g.name).collect(),
            kinds,
            zones,
            tenants: tenants.into_iter().map(|t| t.name).collect(),
            reports_cost,
            report_fields: fields,
        };
        Ok((settings, names))
    }
}
