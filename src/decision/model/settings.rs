//! What the operator states at start, and the check that refuses settings which cannot be.

use super::Millis;

#[cfg(test)]
mod tests;

/// Everything the operator states at start. A limit that is not known is given as its cautious
/// reading.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many dispatchers share the engines.
    pub dispatchers: u32,
    /// The zone this dispatcher runs in, by number.
    pub zone: Option<usize>,
    /// Shortest time between two calls with a later clock, ms.
    pub step: Millis,
    /// Query classes; a [`ClassId`](super::ClassId) is a position here.
    pub classes: Vec<Class>,
    /// Tenants with a quota, by number.
    pub tenants: Vec<Tenant>,
    /// Kinds of engine, by number.
    pub kinds: Vec<Kind>,
    /// Priority weight of a query beyond its tenant's quota, as a part of its class's weight.
    pub over_quota_weight: f64,
    /// What the platform allows a dispatcher to do.
    pub limits: Limits,
    /// What the engines can do and report.
    pub engines: EngineCapabilities,
    /// The rules that no decision may break.
    pub rules: Rules,
    /// What a load report holds, in order.
    pub report_fields: Vec<ReportField>,
    /// True if changes of the engine list arrive only after
    /// [`Action::Subscribe`](super::Action::Subscribe).
    pub must_subscribe: bool,
    /// Priority weight lost by each attempt that crosses zones, per query.
    pub cross_zone_cost: f64,
}

/// A class of queries with one objective.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Weight of an answer in time.
    pub priority_weight: f64,
    /// An answer within this time, plus the slowdown allowance, earns the full weight, ms.
    pub latency_objective: Millis,
    /// The objective grows by this times the query's work divided by its threads.
    pub latency_objective_slowdown: f64,
    /// Part of the weight that a late answer still earns.
    pub late_answer_weight: f64,
    /// What running a query twice would do.
    pub idempotency: Idempotency,
    /// Queries with one key run one at a time, in the order of arrival.
    pub in_order: bool,
    /// The only zones it may run in; `None` is anywhere.
    pub allowed_zones: Option<Vec<usize>>,
    /// The only kinds of engine it may run on; `None` is any.
    pub allowed_kinds: Option<Vec<usize>>,
    /// Threads that one query runs on.
    pub threads: f64,
    /// A bulk load: locks its group of tables on its engine while it runs.
    pub holds_tables: bool,
    /// A reader that stalls while a bulk load locks its group of tables.
    pub waits_for_loads: bool,
}

/// What running a query twice would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Nothing: it may run any number of times.
    Idempotent,
    /// Engines of one scope drop repeats for `window` from the first attempt that may have run.
    Keyed {
        /// The engines that share their knowledge of keys.
        group: DeduplicationScope,
        /// How long a key is remembered, ms.
        window: Millis,
    },
    /// A second run has a second effect.
    NonIdempotent,
}

/// The engines that know each other's idempotency keys.
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
    /// Queries a second within its quota, for all dispatchers together.
    pub quota_per_s: f64,
}

/// A kind of engine, by its machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Processor cores.
    pub cores: f64,
    /// Memory for queries, MB.
    pub memory_mb: f64,
}

/// What the platform allows a dispatcher to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts for one query, the first included.
    pub max_attempts: u32,
    /// A second attempt may run beside the first.
    pub hedging: bool,
    /// Cancelling an attempt stops its work.
    pub cancel: bool,
    /// Engines answer probes with a load report.
    pub probes: bool,
    /// A refusal may say when to come back.
    pub sends_retry_after: bool,
    /// The longest such time, ms.
    pub max_retry_after: Millis,
}

/// What the engines can do and report.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCapabilities {
    /// An attempt may name the memory it gets.
    pub accepts_memory_grants: bool,
    /// An attempt may name its priority.
    pub accepts_priority: bool,
    /// Part of an engine's memory that one query gets at most.
    pub max_grant_share: f64,
    /// Answers report true work and memory.
    pub reports_cost: bool,
    /// When memory runs out, queries are still admitted and all slow down.
    pub overcommits_memory: bool,
    /// Every attempt that runs or waits sends a progress note this often, ms; 0: none does.
    pub progress_interval: Millis,
}

/// The rules that no decision may break.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Allowance for a final answer after the deadline, ms.
    pub answer_grace: Millis,
    /// Allowance for attempts at an engine that began to drain, ms.
    pub drain_grace: Millis,
    /// Part of its capacity that an engine has when its process starts.
    pub initial_warm_up_capacity: f64,
    /// Time from its start until an engine has its full capacity, ms.
    pub warm_up_period: Millis,
    /// A warming engine fails at this multiple of its capacity.
    pub overload_multiple: f64,
    /// The window over which that load is counted, ms.
    pub overload_window: Millis,
    /// How long a key rests after an attempt that may still run, ms.
    pub order_quiet_period: Millis,
    /// Bound on further attempts; `None` is unbounded.
    pub retry_budget: Option<RetryBudget>,
}

/// Within any `window`, retries stay within `min_retries` plus `retry_ratio` for each arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in a window without any arrival.
    pub min_retries: f64,
    /// Further retries for each arrival in the window.
    pub retry_ratio: f64,
    /// Length of the window, ms.
    pub window: Millis,
}

/// What one position of a load report holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Queries running or waiting at the engine.
    Inflight,
    /// Queries waiting there for memory.
    MemoryQueue,
    /// Busy cores as a fraction of all.
    CpuBusy,
    /// Granted memory as a fraction of all.
    MemoryGranted,
    /// Busy disks as a fraction of all.
    DiskBusy,
    /// Something the decisions do not use.
    Other,
}

/// Settings that contradict themselves or cannot be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The configuration key at fault.
    pub field: String,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// A number by the configuration key it came from.
type KeyedNumber = (String, f64);

impl Settings {
    /// Checks that every number can be used and that references resolve.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first field that is impossible.
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
        let is_impossible = |number: f64| !number.is_finite() || number < 0.0;
        match numbers
            .into_iter()
            .find(|(_, number)| is_impossible(*number))
        {
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
    /// It may run on an engine of this zone and kind.
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
