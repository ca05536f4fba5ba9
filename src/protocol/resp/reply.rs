//! Parsing of an engine's replies: fields, load reports, progress notes and pages of a result.

use crate::decision::model::ProgressNote;
use std::collections::HashMap;

/// Number of columns of a row.
const COLUMNS: usize = 3;
/// Maximum size of a page, in bytes. A page has only complete rows.
const MAX_PAGE_BYTES: usize = 6000;

/// Returns the value of a field of a reply. The fields are `name=value,name=value`, or `-` if there are none.
pub fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields
        .split(',')
        .filter_map(|field| field.split_once('='))
        .find(|(field, _)| *field == name)
        .map(|(_, value)| value)
}

/// Parses a load report (`meter=inflight:7;util:0.61`) into the order of the configured names. The
/// result is empty if there is no report, or if a value is missing: an incomplete report is not
/// trusted.
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
            .or_else(|| values.get(reported_name(name)))
            .copied()
    };
    let report: Option<Vec<f64>> = names.iter().map(value).collect();
    report.unwrap_or_default()
}

/// Returns the name of a value in an engine's load report. The settings use the names of the
/// simulator's protocol, which differ.
fn reported_name(name: &str) -> &'static str {
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

/// Returns whether a body consists of complete rows of three text columns: a damaged page must not
/// be forwarded as served.
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

/// Parses a progress note of an attempt; `None` if its kind is unknown.
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
