//! The settings as written in JSON. Types have the names of the format's sections, because the deserializer's
//! messages contain them.

use serde::Deserialize;

/// The complete settings.
#[derive(Deserialize)]
pub(super) struct Profile {
    pub(super) ceilings: Ceilings,
    pub(super) deductions: Option<Deductions>,
    pub(super) discovery: Option<String>,
    pub(super) extra: Option<Extra>,
    pub(super) feedback: Option<Feedback>,
    pub(super) fleet_size: u32,
    pub(super) grades: Vec<Grade>,
    pub(super) locality: Option<String>,
    pub(super) machine_types: Vec<String>,
    #[serde(rename = "over_share_worth")]
    pub(super) over_quota_weight: Option<f64>,
    pub(super) rules: RulesIn,
    pub(super) step: f64,
    pub(super) tenants: Option<Vec<TenantIn>>,
    pub(super) zones: Option<Vec<String>>,
}

/// Limits and permissions. Times are in milliseconds.
#[derive(Deserialize)]
pub(super) struct Ceilings {
    pub(super) cancel: Option<bool>,
    pub(super) conn_idle: Option<f64>,
    pub(super) connect_timeout: Option<f64>,
    pub(super) max_open: Option<usize>,
    pub(super) max_retry_after: Option<f64>,
    #[serde(rename = "most_tries")]
    pub(super) max_attempts: Option<u32>,
    pub(super) peer_messages: Option<bool>,
    pub(super) probes: Option<bool>,
    pub(super) retry_after: Option<bool>,
    #[serde(rename = "second_copies")]
    pub(super) hedging: Option<bool>,
    pub(super) streams_per_conn: Option<usize>,
}

/// Costs of an attempt in another zone and of a message to the peers, as fractions of a request's weight.
#[derive(Deserialize)]
pub(super) struct Deductions {
    pub(super) cross_zone: Option<f64>,
    pub(super) peer: Option<f64>,
}

/// Capabilities of the engines, and lists by class and by kind of engine.
#[derive(Default, Deserialize)]
pub(super) struct Extra {
    #[serde(default)]
    pub(super) class_waits: Vec<bool>,
    #[serde(default)]
    pub(super) cores_by_kind: Vec<f64>,
    pub(super) cost_in_answers: Option<bool>,
    #[serde(default)]
    pub(super) holds_tables: Vec<bool>,
    #[serde(rename = "most_grant")]
    pub(super) max_grant_share: Option<f64>,
    pub(super) on_shortage: Option<String>,
    #[serde(rename = "progress")]
    pub(super) progress_interval: Option<f64>,
    #[serde(default)]
    pub(super) ram_of_kind_mb: Vec<f64>,
    #[serde(rename = "takes_grants")]
    pub(super) accepts_memory_grants: Option<bool>,
    #[serde(rename = "takes_priority")]
    pub(super) accepts_priority: Option<bool>,
    #[serde(default)]
    pub(super) width_by_class: Vec<f64>,
}

/// Content of load reports.
#[derive(Deserialize)]
pub(super) struct Feedback {
    pub(super) fields: Option<Vec<String>>,
}

/// A class of queries.
#[derive(Deserialize)]
pub(super) struct Grade {
    pub(super) name: String,
    #[serde(rename = "aim")]
    pub(super) latency_objective: f64,
    #[serde(rename = "aim_stretch")]
    pub(super) latency_objective_slowdown: Option<f64>,
    pub(super) dedup_window: Option<f64>,
    #[serde(rename = "effect")]
    pub(super) idempotency: String,
    #[serde(rename = "hard_limit")]
    pub(super) deadline: Option<f64>,
    #[serde(rename = "group")]
    pub(super) deduplication_scope: Option<String>,
    #[serde(rename = "late_share")]
    pub(super) late_answer_weight: Option<f64>,
    #[serde(rename = "one_at_a_time")]
    pub(super) in_order: Option<bool>,
    #[serde(rename = "confined_to")]
    pub(super) allowed_zones: Option<Vec<String>>,
    #[serde(rename = "machine_types_only")]
    pub(super) allowed_kinds: Option<Vec<String>>,
    #[serde(rename = "worth")]
    pub(super) priority_weight: f64,
}

/// Behaviour of the engines, and the retry budget.
#[derive(Deserialize)]
pub(super) struct RulesIn {
    pub(super) budget_span: Option<f64>,
    #[serde(rename = "cold_from")]
    pub(super) initial_warm_up_capacity: f64,
    pub(super) drain_grace: f64,
    pub(super) extra_per_request: Option<f64>,
    #[serde(rename = "fall_multiple")]
    pub(super) overload_multiple: f64,
    #[serde(rename = "grace_to_answer")]
    pub(super) answer_grace: f64,
    #[serde(rename = "overload_for")]
    pub(super) overload_window: f64,
    pub(super) spare_attempts: Option<f64>,
    #[serde(rename = "turn_gap")]
    pub(super) order_quiet_period: Option<f64>,
    #[serde(rename = "warm_within")]
    pub(super) warm_up_period: f64,
}

/// A tenant and its quota.
#[derive(Deserialize)]
pub(super) struct TenantIn {
    pub(super) name: String,
    pub(super) quota_per_s: Option<f64>,
}
