//! `[spool]`: storage of results until their clients read them, with its place, size and retention time.

use crate::config::checks::in_range;
use crate::config::{ConfigError, Problem};
use crate::decision::model::Millis;
use crate::spool::SpoolLimits;
use bytesize::ByteSize;
use serde::Deserialize;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;
const TIB: u64 = 1 << 40;

const DEFAULT_PAGE_ROWS: u32 = 1000;
const MAX_PAGE_ROWS: u32 = 100_000;
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_RETENTION_S: f64 = 600.0;
const DEFAULT_MAX_RESULTS: usize = 10_000;
const MAX_RESULTS: usize = 100_000;
/// Bounds of times, in seconds: a tenth of a second to a week.
const SECONDS: RangeInclusive<f64> = 0.1..=604_800.0;

/// Bounds of `max_result`, the size of one result where there is no `[spool]`.
const RESULT_BYTES: RangeInclusive<usize> = 1024..=1 << 24;
const DEFAULT_RESULT_BYTES: usize = 1 << 20;

/// Storage of results until their clients read them.
#[derive(Clone, Debug, PartialEq)]
pub struct SpoolSettings {
    /// Limits of sizes, numbers and times.
    pub rules: SpoolLimits,
    /// Directory to which results are written when memory is full, so that they survive the process; `None`
    /// keeps results in memory only.
    pub directory: Option<PathBuf>,
    /// Maximum number of rows in a page.
    pub page_rows: u32,
    /// Time without a read after which a client is disconnected.
    pub stall_timeout: Duration,
}

impl SpoolSettings {
    /// Returns the settings for a file without `[spool]`: in memory only, with `max_result` bytes for one
    /// result.
    pub fn in_memory(max_result: usize) -> Self {
        SpoolSettings {
            rules: SpoolLimits {
                result_bytes: max_result as u64,
                ..SpoolLimits::default()
            },
            directory: None,
            page_rows: DEFAULT_PAGE_ROWS,
            stall_timeout: DEFAULT_STALL_TIMEOUT,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawSpool {
    dir: Option<PathBuf>,
    memory: Option<String>,
    disk: Option<String>,
    per_tenant: Option<String>,
    result: Option<String>,
    keep_s: Option<f64>,
    page_rows: Option<u32>,
    stall_s: Option<f64>,
    most: Option<usize>,
}

/// Validates `[spool]`, or `max_result` if there is no `[spool]`.
pub(super) fn check_spool(
    spool: Option<RawSpool>,
    max_result: Option<usize>,
) -> Result<SpoolSettings, ConfigError> {
    match spool {
        Some(_) if max_result.is_some() => Err(ConfigError::combination(
            "max_result",
            "goes into spool.result where there is a [spool]",
        )),
        Some(spool) => spool.check(),
        None => {
            let bytes = max_result.unwrap_or(DEFAULT_RESULT_BYTES);
            in_range("max_result", bytes, RESULT_BYTES).map(SpoolSettings::in_memory)
        }
    }
}

impl RawSpool {
    pub(super) fn check(self) -> Result<SpoolSettings, ConfigError> {
        if self.dir.is_none() && self.disk.is_some() {
            return Err(ConfigError::combination("spool.disk", "requires spool.dir"));
        }
        let memory = size("spool.memory", self.memory, 64 * MIB, 256 * KIB..=64 * GIB)?;
        let disk = size("spool.disk", self.disk, 4 * GIB, MIB..=16 * TIB)?;
        let result = size("spool.result", self.result, 16 * MIB, KIB..=TIB)?;
        let per_tenant = size(
            "spool.per_tenant",
            self.per_tenant,
            u64::MAX,
            64 * KIB..=u64::MAX,
        )?;
        let page_rows = self.page_rows.unwrap_or(DEFAULT_PAGE_ROWS);
        let page_rows = in_range("spool.page_rows", page_rows, 1..=MAX_PAGE_ROWS)?;
        let max_spools = self.most.unwrap_or(DEFAULT_MAX_RESULTS);
        let max_spools = in_range("spool.most", max_spools, 1..=MAX_RESULTS)?;
        Ok(SpoolSettings {
            rules: SpoolLimits {
                memory_bytes: memory,
                disk_bytes: self.dir.is_some().then_some(disk),
                tenant_bytes: per_tenant,
                result_bytes: result,
                retention: retention(self.keep_s)?,
                max_spools,
            },
            directory: self.dir,
            page_rows,
            stall_timeout: stall_timeout(self.stall_s)?,
        })
    }
}

fn retention(configured_s: Option<f64>) -> Result<Millis, ConfigError> {
    let seconds = configured_s.unwrap_or(DEFAULT_RETENTION_S);
    Ok(1000.0 * in_range("spool.keep_s", seconds, SECONDS)?)
}

fn stall_timeout(configured_s: Option<f64>) -> Result<Duration, ConfigError> {
    let seconds = configured_s.unwrap_or(DEFAULT_STALL_TIMEOUT.as_secs_f64());
    in_range("spool.stall_s", seconds, SECONDS).map(Duration::from_secs_f64)
}

/// Parses a size in bytes and checks its bounds. The unit is required, because a bare number would be
/// ambiguous.
fn size(
    key: &str,
    configured: Option<String>,
    default: u64,
    bounds: RangeInclusive<u64>,
) -> Result<u64, ConfigError> {
    let Some(text) = configured else {
        return Ok(default);
    };
    let has_unit = text.trim_end().ends_with(|c: char| c.is_ascii_alphabetic());
    let Some(size) = text.parse::<ByteSize>().ok().filter(|_| has_unit) else {
        return Err(ConfigError::invalid(key, Problem::Size { text }));
    };
    let bytes = size.as_u64();
    if bounds.contains(&bytes) {
        return Ok(bytes);
    }
    let shown = ByteSize(*bounds.start())..=ByteSize(*bounds.end());
    Err(ConfigError::out_of_range(key, text, &shown))
}
