//! Tests of `[spool]`.

use super::{rejection, section};
use crate::config::spool::RawSpool;
use crate::config::{ConfigError, SpoolSettings};
use std::time::Duration;

fn read(text: &str) -> Result<SpoolSettings, ConfigError> {
    section::<RawSpool>("spool", text)?.check()
}

#[test]
fn sizes_have_units_and_a_result_may_exceed_the_memory() {
    let settings = read(
        "dir = \"/var/spool/x\"\nmemory = \"16 MB\"\ndisk = \"2 GiB\"\nresult = \"1GB\"
         per_tenant = \"500 MiB\"\nkeep_s = 30\npage_rows = 50\nstall_s = 5",
    )
    .unwrap();
    assert_eq!(
        (settings.rules.memory_bytes, settings.rules.disk_bytes),
        (16_000_000, Some(2 << 30))
    );
    assert_eq!(
        (settings.rules.result_bytes, settings.rules.tenant_bytes),
        (1_000_000_000, 500 << 20)
    );
    assert_eq!(
        (
            settings.rules.retention,
            settings.page_rows,
            settings.stall_timeout
        ),
        (30_000.0, 50, Duration::from_secs(5))
    );
    let settings = read("").unwrap();
    assert_eq!(
        (
            settings.rules.disk_bytes,
            settings.directory,
            settings.rules.result_bytes
        ),
        (None, None, 16 << 20)
    );
}

#[test]
fn every_invalid_key_is_named() {
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
        let message = rejection(read(text));
        assert!(message.starts_with(key), "{text}: {message}");
    }
}
