//! What an engine's replies say: their fields, load reports, progress notes and pages of a result.

use crate::decision::model::ProgressNote;
use std::collections::HashMap;

/// Columns of a row.
const COLUMNS: usize = 3;
/// Bytes of a page at most; rows are whole in a page.
const MAX_PAGE_BYTES: usize = 6000;

/// One of a reply's fields, which are `name=value,name=value` or `-`.
pub fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields
        .split(',')
        .filter_map(|field| field.split_once('='))
        .find(|(field, _)| *field == name)
        .map(|(_, value)| value)
}

/// A load report (`meter=inflight:7;util:0.61`) in the order of the configured names; empty if there is none, or if it
/// lacks a value: then nothing of it could be trusted.
pub fn load_report(fields: &str, names: &[String]) -> Vec<f64> {
    let Some(meter) = field(fields, "meter") else {
        return vec![];
    };
    let values: HashMap<&str, f64> = meter
        .split(';')
        .filter_map(|entry| entry.split_once(':'))
        .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
        .collect();
    let value = |name: &String| {
        values
            .get(name.as_str())
            .or_else(|| values.get(engine_name(name)))
            .copied()
    };
    let report: Option<Vec<f64>> = names.iter().map(value).collect();
    report.unwrap_or_default()
}

/// The settings name the values as the simulator's wire does, the engines as the operators do.
fn engine_name(name: &str) -> &'static str {
    match name {
        "rif" => "inflight",
        "q" => "queue",
        "busy" => "util",
        "lat_ms" => "latency_ms",
        "rate" => "qps",
        "fail_rate" => "eps",
        _ => "",
    }
}

/// Whether a body is whole rows of three text columns: a damaged one must not be forwarded as served.
pub fn is_page(body: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(body) else {
        return false;
    };
    let is_row = |row: &str| {
        row.matches('\t').count() == COLUMNS - 1
            && !row.contains(|c: char| c.is_control() && c != '\t')
    };
    body.len() <= MAX_PAGE_BYTES
        && text.split_terminator('\n').all(is_row)
        && (text.is_empty() || text.ends_with('\n'))
}

/// A note on an attempt's progress; `None` if it is of no known kind.
pub fn progress_note(fields: &str) -> Option<ProgressNote> {
    let value: f64 = field(fields, "datum")?.parse().ok()?;
    match field(fields, "tell")? {
        "frac" => Some(ProgressNote::Completed(value)),
        "missing" => Some(ProgressNote::SpilledMemory(value)),
        "parked" if value == 2.0 => Some(ProgressNote::WaitsForLoad),
        "parked" => Some(ProgressNote::WaitsForMemory),
        _ => None,
    }
}
