//! `[spool]` of the operators' file: how much of results is kept, where and for how long.

use super::{ConfigError, bad};
use crate::spool::SpoolLimits;
use bytesize::ByteSize;
use serde::Deserialize;
use std::path::PathBuf;
use std::time::Duration;

/// How results wait for their readers.
#[derive(Clone, Debug, PartialEq)]
pub struct SpoolSettings {
    pub rules: SpoolLimits,
    /// Results lie below it when memory is full, and outlive the process; none: in memory only.
    pub directory: Option<PathBuf>,
    /// Rows of a page at most.
    pub page_rows: u32,
    /// A client that takes nothing for so long is closed.
    pub stall_timeout: Duration,
}

impl SpoolSettings {
    /// What holds without `[spool]`: memory only, as much for one result as ever.
    pub fn in_memory(result: usize) -> Self {
        SpoolSettings {
            rules: SpoolLimits {
                result_bytes: result as u64,
                ..SpoolLimits::default()
            },
            directory: None,
            page_rows: PAGE_ROWS,
            stall_timeout: STALL,
        }
    }
}

const PAGE_ROWS: u32 = 1000;
const STALL: Duration = Duration::from_secs(30);

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

/// A size with its unit, within bounds.
fn size(
    key: &str,
    text: Option<&str>,
    default: u64,
    least: u64,
    most: u64,
) -> Result<u64, ConfigError> {
    let Some(text) = text else { return Ok(default) };
    // A bare number could be read as anything.
    let unit = text.trim_end().ends_with(|c: char| c.is_ascii_alphabetic());
    let read = text
        .parse::<ByteSize>()
        .ok()
        .filter(|_| unit)
        .map(|s| s.as_u64());
    let n = read.ok_or_else(|| {
        bad(
            key,
            format!("{text:?} is no size with a unit, as \"16 MB\" or \"2 GiB\""),
        )
    })?;
    match (least..=most).contains(&n) {
        true => Ok(n),
        false => Err(bad(
            key,
            format!("{text} is not in {} to {}", ByteSize(least), ByteSize(most)),
        )),
    }
}

impl RawSpool {
    pub(super) fn check(self) -> Result<SpoolSettings, ConfigError> {
        const KB: u64 = 1 << 10;
        const GB: u64 = 1 << 30;
        if self.dir.is_none() && self.disk.is_some() {
            return Err(bad("spool.disk", "goes with dir"));
        }
        let memory = size(
            "spool.memory",
            self.memory.as_deref(),
            64 << 20,
            256 * KB,
            64 * GB,
        )?;
        let disk = size("spool.disk", self.disk.as_deref(), 4 * GB, 1 << 20, 1 << 44)?;
        let result = size(
            "spool.result",
            self.result.as_deref(),
            16 << 20,
            KB,
            1 << 40,
        )?;
        let per_tenant = size(
            "spool.per_tenant",
            self.per_tenant.as_deref(),
            u64::MAX,
            64 * KB,
            u64::MAX,
        )?;
        let seconds = |key: &str, v: Option<f64>, default: f64| match v.unwrap_or(default) {
            v if (0.1..=604_800.0).contains(&v) => Ok(v),
            v => Err(bad(key, format!("{v} is not in 0.1 to 604800"))),
        };
        let page_rows = self.page_rows.unwrap_or(PAGE_ROWS);
        if !(1..=100_000).contains(&page_rows) {
            return Err(bad(
                "spool.page_rows",
                format!("{page_rows} is not in 1 to 100000"),
            ));
        }
        let most = self.most.unwrap_or(10_000);
        if !(1..=100_000).contains(&most) {
            return Err(bad("spool.most", format!("{most} is not in 1 to 100000")));
        }
        Ok(SpoolSettings {
            rules: SpoolLimits {
                memory_bytes: memory,
                disk_bytes: self.dir.is_some().then_some(disk),
                tenant_bytes: per_tenant,
                result_bytes: result,
                retention: 1000.0 * seconds("spool.keep_s", self.keep_s, 600.0)?,
                max_spools: most,
            },
            directory: self.dir,
            page_rows,
            stall_timeout: Duration::from_secs_f64(seconds(
                "spool.stall_s",
                self.stall_s,
                STALL.as_secs_f64(),
            )?),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<SpoolSettings, ConfigError> {
        let de = toml::Deserializer::parse(text).unwrap();
        let raw: RawSpool = serde_path_to_error::deserialize(de)
            .map_err(|e| bad(&format!("spool.{}", e.path()), e.inner().message()))?;
        raw.check()
    }

    #[test]
    fn sizes_have_units_and_a_result_may_be_larger_than_memory() {
        let s = read(
            "dir = \"/var/spool/x\"\nmemory = \"16 MB\"\ndisk = \"2 GiB\"\nresult = \"1GB\"\nper_tenant = \"500 MiB\"
             keep_s = 30\npage_rows = 50\nstall_s = 5",
        )
        .unwrap();
        assert_eq!(
            (s.rules.memory_bytes, s.rules.disk_bytes),
            (16_000_000, Some(2 << 30))
        );
        assert_eq!(
            (s.rules.result_bytes, s.rules.tenant_bytes),
            (1_000_000_000, 500 << 20)
        );
        assert_eq!(
            (s.rules.retention, s.page_rows, s.stall_timeout),
            (30_000.0, 50, Duration::from_secs(5))
        );
        let s = read("").unwrap();
        assert_eq!(
            (s.rules.disk_bytes, s.directory, s.rules.result_bytes),
            (None, None, 16 << 20)
        );
    }

    #[test]
    fn every_bad_key_is_named() {
        let cases = [
            ("memory = \"16\"", "spool.memory"),
            ("memory = \"1 kB\"", "spool.memory"),
            ("disk = \"1 GB\"", "spool.disk"),
            ("dir = \"/x\"\ndisk = \"lots\"", "spool.disk"),
            ("result = \"-1 MB\"", "spool.result"),
            ("per_tenant = \"1 B\"", "spool.per_tenant"),
            ("keep_s = 0", "spool.keep_s"),
            ("stall_s = nan", "spool.stall_s"),
            ("page_rows = 0", "spool.page_rows"),
            ("most = 0", "spool.most"),
            ("size = \"1 MB\"", "spool"),
        ];
        for (text, key) in cases {
            let told = read(text).map(|_| ()).unwrap_err().to_string();
            assert!(told.starts_with(key), "{text}: {told}");
        }
    }
}
