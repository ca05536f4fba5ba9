//! The process's own memory, told in the log at a steady pace, so that a long day's curve can be read from the log
//! alone, without an address for operators (`docs/FILTER.md`: the fleet bench gives none).
//!
//! Source: Linux's `/proc/self/status`, fields `VmRSS` (resident now) and `VmHWM` (the most resident so far), both in
//! kB. Where the file cannot be read or lacks the fields nothing is said; the program goes on.

use std::time::Duration;

/// How often the line is said: once a minute, sixty lines an hour.
pub const EVERY: Duration = Duration::from_secs(60);

/// What the process holds, in kB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// Resident now.
    pub resident_kb: u64,
    /// The most that was resident since the start.
    pub peak_kb: u64,
}

/// Reads both fields of a `status` file's text; `None` if either is missing or no number.
pub fn parse(status: &str) -> Option<Memory> {
    let field = |name: &str| {
        let line = status.lines().find(|l| l.starts_with(name))?;
        line[name.len()..]
            .trim()
            .strip_suffix("kB")?
            .trim()
            .parse()
            .ok()
    };
    Some(Memory {
        resident_kb: field("VmRSS:")?,
        peak_kb: field("VmHWM:")?,
    })
}

/// This process's memory now, if the system tells it.
pub fn now() -> Option<Memory> {
    parse(&std::fs::read_to_string("/proc/self/status").ok()?)
}

/// Says `memory: R kB resident, P kB at most` every [`EVERY`], for good.
pub async fn tell() {
    // The first after a minute: a start says what it listens on first.
    let mut every = tokio::time::interval_at(tokio::time::Instant::now() + EVERY, EVERY);
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        if let Some(m) = now() {
            crate::log_line!(
                "memory: {} kB resident, {} kB at most",
                m.resident_kb,
                m.peak_kb
            );
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_fields_are_read_and_a_missing_one_is_nothing() {
        let status = "Name:\thitchwinch\nVmHWM:\t   14120 kB\nVmRSS:\t   12044 kB\nThreads:\t1\n";
        assert_eq!(
            parse(status),
            Some(Memory {
                resident_kb: 12044,
                peak_kb: 14120
            })
        );
        assert_eq!(parse("VmRSS:\t12044 kB\n"), None, "no peak");
        assert_eq!(parse("VmRSS:\tmany kB\nVmHWM:\t1 kB\n"), None, "no number");
        assert_eq!(parse("VmRSS:\t12044\nVmHWM:\t1 kB\n"), None, "no unit");
    }

    #[test]
    fn this_process_is_told() {
        let m = now().expect("Linux tells its processes' memory");
        assert!(m.resident_kb > 0 && m.peak_kb >= m.resident_kb, "{m:?}");
    }
}
