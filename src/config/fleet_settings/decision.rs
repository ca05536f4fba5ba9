//! Translates the settings into those of the decision module: replaces names by numbers, and absent keys by
//! their defaults.

use super::FleetSettingsError;
use super::raw::{Ceilings, Deductions, Extra, Feedback, Grade, Profile, RulesIn, TenantIn};
use crate::config::{NameTable, position_of};
use crate::decision::model::{
    Class, DeduplicationScope, EngineCapabilities, Idempotency, Kind, Limits, ReportField,
    RetryBudget, Rules, Settings, Tenant,
};

pub(super) fn translate(raw: Profile) -> Result<(Settings, NameTable), FleetSettingsError> {
    let extra = raw.extra.unwrap_or_default();
    let zones = raw.zones.unwrap_or_default();
    let kind_names = raw.machine_types;
    let classes = classes(&raw.grades, &extra, &zones, &kind_names)?;
    let kinds = kinds(&extra, kind_names.len())?;
    let tenants = raw.tenants.unwrap_or_default();
    let report_fields = raw
        .feedback
        .and_then(|f: Feedback| f.fields)
        .unwrap_or_default();
    let engines = engine_capabilities(&extra);
    let reports_cost = engines.reports_cost;
    let settings = Settings {
        dispatchers: raw.fleet_size,
        zone: raw.locality.and_then(|zone| position_of(&zones, &zone)),
        step: raw.step,
        classes,
        tenants: tenants.iter().map(tenant).collect(),
        kinds,
        over_quota_weight: raw.over_quota_weight.unwrap_or(1.0),
        limits: limits(&raw.ceilings),
        engines,
        rules: rules(&raw.rules),
        report_fields: report_fields
            .iter()
            .map(|name| report_field(name))
            .collect(),
        must_subscribe: raw.discovery.as_deref() == Some("subscribe"),
        cross_zone_cost: cross_zone_cost(raw.deductions.as_ref()),
    };
    let names = NameTable {
        classes: raw.grades.into_iter().map(|class| class.name).collect(),
        kinds: kind_names,
        zones,
        tenants: tenants.into_iter().map(|tenant| tenant.name).collect(),
        reports_cost,
        report_fields,
    };
    Ok((settings, names))
}

fn classes(
    grades: &[Grade],
    extra: &Extra,
    zones: &[String],
    kinds: &[String],
) -> Result<Vec<Class>, FleetSettingsError> {
    let count = grades.len();
    let mut classes = Vec::with_capacity(count);
    for (index, raw) in grades.iter().enumerate() {
        let idempotency = idempotency(index, raw)?;
        let threads = entry("extra.width_by_class", &extra.width_by_class, index, count)?;
        let holds_tables = entry("extra.holds_tables", &extra.holds_tables, index, count)?;
        let waits_for_loads = entry("extra.class_waits", &extra.class_waits, index, count)?;
        classes.push(Class {
            priority_weight: raw.priority_weight,
            latency_objective: raw.latency_objective,
            latency_objective_slowdown: raw.latency_objective_slowdown.unwrap_or(0.0),
            late_answer_weight: raw.late_answer_weight.unwrap_or(0.0),
            idempotency,
            in_order: raw.in_order.unwrap_or(false),
            allowed_zones: raw
                .allowed_zones
                .as_deref()
                .map(|names| positions(names, zones)),
            allowed_kinds: raw
                .allowed_kinds
                .as_deref()
                .map(|names| positions(names, kinds)),
            threads: threads.unwrap_or(1.0),
            holds_tables: holds_tables.unwrap_or(false),
            waits_for_loads: waits_for_loads.unwrap_or(false),
        });
    }
    Ok(classes)
}

fn idempotency(index: usize, raw: &Grade) -> Result<Idempotency, FleetSettingsError> {
    match raw.idempotency.as_str() {
        "retryable" => Ok(Idempotency::Idempotent),
        "fragile" => Ok(Idempotency::NonIdempotent),
        "dedup" => Ok(Idempotency::Keyed {
            group: deduplication_scope(index, raw.deduplication_scope.as_deref())?,
            window: raw.dedup_window.unwrap_or(0.0),
        }),
        value => Err(FleetSettingsError::UnknownValue {
            key: format!("grades[{index}].effect"),
            value: value.into(),
        }),
    }
}

fn deduplication_scope(
    index: usize,
    configured: Option<&str>,
) -> Result<DeduplicationScope, FleetSettingsError> {
    match configured {
        Some("all") => Ok(DeduplicationScope::All),
        Some("zone") => Ok(DeduplicationScope::Zone),
        Some("cell") | None => Ok(DeduplicationScope::Cell),
        Some(value) => Err(FleetSettingsError::UnknownValue {
            key: format!("grades[{index}].group"),
            value: value.into(),
        }),
    }
}

/// Returns the positions of the names in the list. A name that is not in the list matches no engine; it is
/// left out, which is the stricter interpretation.
fn positions(names: &[String], list: &[String]) -> Vec<usize> {
    names
        .iter()
        .filter_map(|name| position_of(list, name))
        .collect()
}

/// Returns one entry of a list, which must have either `expected` entries or none.
fn entry<T: Copy>(
    key: &'static str,
    list: &[T],
    index: usize,
    expected: usize,
) -> Result<Option<T>, FleetSettingsError> {
    if list.is_empty() {
        return Ok(None);
    }
    if list.len() != expected {
        return Err(FleetSettingsError::WrongLength {
            key,
            entries: list.len(),
            expected,
        });
    }
    Ok(Some(list[index]))
}

fn kinds(extra: &Extra, count: usize) -> Result<Vec<Kind>, FleetSettingsError> {
    let mut kinds = Vec::with_capacity(count);
    for index in 0..count {
        let cores = entry("extra.cores_by_kind", &extra.cores_by_kind, index, count)?;
        let memory_mb = entry("extra.ram_of_kind_mb", &extra.ram_of_kind_mb, index, count)?;
        kinds.push(Kind {
            cores: cores.unwrap_or(1.0),
            memory_mb: memory_mb.unwrap_or(0.0),
        });
    }
    Ok(kinds)
}

fn tenant(raw: &TenantIn) -> Tenant {
    Tenant {
        quota_per_s: raw.quota_per_s.unwrap_or(f64::MAX),
    }
}

fn limits(raw: &Ceilings) -> Limits {
    Limits {
        max_attempts: raw.max_attempts.unwrap_or(1),
        hedging: raw.hedging.unwrap_or(false),
        cancel: raw.cancel.unwrap_or(false),
        probes: raw.probes.unwrap_or(false),
        sends_retry_after: raw.retry_after.unwrap_or(false),
        max_retry_after: raw.max_retry_after.unwrap_or(0.0),
    }
}

fn engine_capabilities(raw: &Extra) -> EngineCapabilities {
    EngineCapabilities {
        accepts_memory_grants: raw.accepts_memory_grants.unwrap_or(false),
        accepts_priority: raw.accepts_priority.unwrap_or(false),
        max_grant_share: raw.max_grant_share.unwrap_or(0.0),
        reports_cost: raw.cost_in_answers.unwrap_or(false),
        overcommits_memory: raw.on_shortage.as_deref() == Some("overcommit"),
        progress_interval: raw.progress_interval.unwrap_or(0.0),
    }
}

fn rules(raw: &RulesIn) -> Rules {
    Rules {
        answer_grace: raw.answer_grace,
        drain_grace: raw.drain_grace,
        initial_warm_up_capacity: raw.initial_warm_up_capacity,
        warm_up_period: raw.warm_up_period,
        overload_multiple: raw.overload_multiple,
        overload_window: raw.overload_window,
        order_quiet_period: raw.order_quiet_period.unwrap_or(0.0),
        retry_budget: retry_budget(raw),
    }
}

/// Returns `None` if none of the budget's keys is given; otherwise absent keys are 0.
fn retry_budget(raw: &RulesIn) -> Option<RetryBudget> {
    let is_given = raw.budget_span.is_some()
        || raw.spare_attempts.is_some()
        || raw.extra_per_request.is_some();
    is_given.then(|| RetryBudget {
        window: raw.budget_span.unwrap_or(0.0),
        min_retries: raw.spare_attempts.unwrap_or(0.0),
        retry_ratio: raw.extra_per_request.unwrap_or(0.0),
    })
}

fn report_field(name: &str) -> ReportField {
    match name {
        "rif" => ReportField::Inflight,
        "q" => ReportField::MemoryQueue,
        "busy" => ReportField::CpuBusy,
        "x0" => ReportField::MemoryGranted,
        "x1" => ReportField::DiskBusy,
        _ => ReportField::Other,
    }
}

fn cross_zone_cost(deductions: Option<&Deductions>) -> f64 {
    deductions.and_then(|d| d.cross_zone).unwrap_or(0.0)
}
