//! Settings that the operator provides at start, and their validation.

use super::Millis;

#[cfg(test)]
mod tests;

/// All settings that the operator provides at start. An unknown limit is set to its most cautious
/// value.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of dispatchers that share the engines.
    pub dispatchers: u32,
    /// Number of the zone that this dispatcher runs in.
    pub zone: Option<usize>,
    /// Minimum time by which the clock advances between two calls, ms.
    pub step: Millis,
    /// Query classes; a [`ClassId`](super::ClassId) is a position here.
    pub classes: Vec<Class>,
    /// Tenants with a quota, by number.
    pub tenants: Vec<Tenant>,
    /// Kinds of engine, by number.
    pub kinds: Vec<Kind>,
    /// Priority weight of a query beyond its tenant's quota, as a fraction of its class's weight.
    pub over_quota_weight: f64,
    /// Limits that the platform sets for a dispatcher.
    pub limits: Limits,
    /// Capabilities of the engines.
    pub engines: EngineCapabilities,
    /// The rules that no decision may break.
    pub rules: Rules,
    /// Fields of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// Whether changes of the endpoint list arrive only after
    /// [`Action::Subscribe`](super::Action::Subscribe).
    pub must_subscribe: bool,
    /// Priority weight that a query loses for each attempt that crosses zones.
    pub cross_zone_cost: f64,
}

/// A class of queries with a common latency objective.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Weight of an answer that meets the latency objective.
    pub priority_weight: f64,
    /// An answer within this time plus the slowdown allowance has the full weight, ms.
    pub latency_objective: Millis,
    /// Slowdown allowance: the objective grows by this factor times the query's work divided by its
    /// threads.
    pub latency_objective_slowdown: f64,
    /// Fraction of the weight that a late answer still has.
    pub late_answer_weight: f64,
    /// The effect of running a query twice.
    pub idempotency: Idempotency,
    /// Whether queries with the same key run one at a time, in the order of arrival.
    pub in_order: bool,
    /// Zones that the class may run in; `None` allows every zone.
    pub allowed_zones: Option<Vec<usize>>,
    /// Kinds of engine that the class may run on; `None` allows every kind.
    pub allowed_kinds: Option<Vec<usize>>,
    /// Number of threads that one query runs on.
    pub threads: f64,
    /// Whether queries of the class are bulk loads, which lock their table group on their engine
    /// while they run.
    pub holds_tables: bool,
    /// Whether queries of the class are readers, which stall while a bulk load locks their table
    /// group.
    pub waits_for_loads: bool,
}

/// The effect of running a query twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Running it again has no further effect.
    Idempotent,
    /// Engines of one scope drop repeats for `window` ms from the first attempt that may have run.
    Keyed {
        /// The engines that share their idempotency keys.
        group: DeduplicationScope,
        /// How long a key is remembered, ms.
        window: Millis,
    },
    /// A second run has a second effect.
    NonIdempotent,
}

/// The engines that share their idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// A tenant's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Queries per second within the quota, for all dispatchers together.
    pub quota_per_s: f64,
}

/// A kind of engine, defined by its machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Number of processor cores.
    pub cores: f64,
    /// Memory available to queries, MB.
    pub memory_mb: f64,
}

/// Limits that the platform sets for a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts for one query, including the first.
    pub max_attempts: u32,
    /// Whether a second attempt may run concurrently with the first.
    pub hedging: bool,
    /// Whether cancelling an attempt stops its work.
    pub cancel: bool,
    /// Whether engines answer probes with a load report.
    pub probes: bool,
    /// Whether a refusal may name a delay after which the client may retry.
    pub sends_retry_after: bool,
    /// Maximum retry delay that a refusal may name, ms.
    pub max_retry_after: Millis,
}

/// Capabilities of the engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCapabilities {
    /// Whether an attempt may request a memory grant.
    pub accepts_memory_grants: bool,
    /// Whether an attempt may set its priority.
    pub accepts_priority: bool,
    /// Maximum fraction of an engine's memory that one query gets.
    pub max_grant_share: f64,
    /// Whether answers report the actual work and memory of the query.
    pub reports_cost: bool,
    /// Whether an engine without free memory still admits queries, which slows down all of them.
    pub overcommits_memory: bool,
    /// Interval between the progress notes of an attempt that runs or waits, ms; 0 if none are
    /// sent.
    pub progress_interval: Millis,
}

/// The rules that no decision may break.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Grace period for a final answer after the deadline, ms.
    pub answer_grace: Millis,
    /// Grace period for attempts at an engine that has begun to drain, ms.
    pub drain_grace: Millis,
    /// Fraction of its capacity that an engine has when its process starts.
    pub initial_warm_up_capacity: f64,
    /// Time from the start of an engine's process until it has its full capacity, ms.
    pub warm_up_period: Millis,
    /// Multiple of its capacity at which an engine that is warming up fails.
    pub overload_multiple: f64,
    /// Window over which the load of an engine that is warming up is counted, ms.
    pub overload_window: Millis,
    /// Quiet period of a key after an attempt that may still run, ms: no query of the key is sent
    /// during it.
    pub order_quiet_period: Millis,
    /// Limit on retries; `None` is unlimited.
    pub retry_budget: Option<RetryBudget>,
}

/// Limits the retries within any `window` to `min_retries` plus `retry_ratio` for each arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Number of retries allowed in a window without any arrival.
    pub min_retries: f64,
    /// Number of further retries allowed for each arrival in the window.
    pub retry_ratio: f64,
    /// Length of the window, ms.
    pub window: Millis,
}

/// The meaning of one position of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Number of queries running or waiting at the engine.
    Inflight,
    /// Number of queries waiting for memory at the engine.
    MemoryQueue,
    /// Busy cores as a fraction of all cores.
    CpuBusy,
    /// Granted memory as a fraction of all memory.
    MemoryGranted,
    /// Busy disks as a fraction of all disks.
    DiskBusy,
    /// A value that the decisions do not use.
    Other,
}

/// An invalid or inconsistent setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The configuration key with the invalid value.
    pub field: String,
    /// Why the value is invalid.
    pub problem: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// A configuration key and its numeric value.
type KeyedNumber = (String, f64);

impl Settings {
    /// Checks that every number is valid and that references resolve.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] that names the first invalid field.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return invalid("classes", "no class");
        }
        if self.dispatchers == 0 {
            return invalid("gateways", "must be at least 1");
        }
        let mut numbers = self.general_numbers();
        for (index, class) in self.classes.iter().enumerate() {
            numbers.extend(class.numbers(index));
            class.check(index, self.kinds.len())?;
        }
        for (index, kind) in self.kinds.iter().enumerate() {
            numbers.push((format!("kinds[{index}].cores"), kind.cores));
            numbers.push((format!("kinds[{index}].memory_mb"), kind.memory_mb));
            if kind.cores <= 0.0 {
                return invalid(format!("kinds[{index}].cores"), "must be above 0");
            }
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            numbers.push((format!("tenants[{index}].quota_per_s"), tenant.quota_per_s));
        }
        let is_invalid = |number: f64| !number.is_finite() || number < 0.0;
        match numbers.into_iter().find(|(_, number)| is_invalid(*number)) {
            Some((field, _)) => invalid(field, "must be finite and not negative"),
            None => Ok(()),
        }
    }

    fn general_numbers(&self) -> Vec<KeyedNumber> {
        let rules = &self.rules;
        let mut numbers = vec![
            ("step".into(), self.step),
            ("over_share_worth".into(), self.over_quota_weight),
            ("cross_zone_price".into(), self.cross_zone_cost),
            ("limits.max_retry_after".into(), self.limits.max_retry_after),
            ("engines.most_grant".into(), self.engines.max_grant_share),
            ("engines.notes_every".into(), self.engines.progress_interval),
            ("rules.answer_grace".into(), rules.answer_grace),
            ("rules.drain_grace".into(), rules.drain_grace),
            ("rules.cold_from".into(), rules.initial_warm_up_capacity),
            ("rules.warm_within".into(), rules.warm_up_period),
            ("rules.fall_multiple".into(), rules.overload_multiple),
            ("rules.fall_window".into(), rules.overload_window),
            ("rules.order_rest".into(), rules.order_quiet_period),
        ];
        if let Some(budget) = rules.retry_budget {
            numbers.push(("rules.attempt_budget.free".into(), budget.min_retries));
            numbers.push(("rules.attempt_budget.share".into(), budget.retry_ratio));
            numbers.push(("rules.attempt_budget.span".into(), budget.window));
        }
        numbers
    }
}

impl Class {
    /// Returns whether the class may run on an engine of this zone and kind.
    pub(crate) fn allows(&self, zone: Option<usize>, kind: Option<usize>) -> bool {
        is_listed(&self.allowed_zones, zone) && is_listed(&self.allowed_kinds, kind)
    }

    fn numbers(&self, index: usize) -> Vec<KeyedNumber> {
        let key = |field: &str| format!("classes[{index}].{field}");
        let mut numbers = vec![
            (key("worth"), self.priority_weight),
            (key("aim"), self.latency_objective),
            (key("aim_stretch"), self.latency_objective_slowdown),
            (key("late_share"), self.late_answer_weight),
            (key("threads"), self.threads),
        ];
        if let Idempotency::Keyed { window, .. } = self.idempotency {
            numbers.push((key("effect.window"), window));
        }
        numbers
    }

    fn check(&self, index: usize, kinds: usize) -> Result<(), SettingsError> {
        let key = |field: &str| format!("classes[{index}].{field}");
        if self.threads < 1.0 {
            return invalid(key("threads"), "must be at least 1");
        }
        if self.priority_weight == 0.0 {
            return invalid(key("worth"), "must be above 0");
        }
        if self
            .allowed_kinds
            .iter()
            .flatten()
            .any(|&kind| kind >= kinds)
        {
            return invalid(key("only_kinds"), "names no listed kind");
        }
        Ok(())
    }
}

fn invalid(field: impl Into<String>, problem: &'static str) -> Result<(), SettingsError> {
    let field = field.into();
    Err(SettingsError { field, problem })
}

fn is_listed(allowed: &Option<Vec<usize>>, number: Option<usize>) -> bool {
    match allowed {
        Some(allowed) => number.is_some_and(|number| allowed.contains(&number)),
        None => true,
    }
}
