//! Periodic log lines with the memory use of this process. They make the memory use of a long run readable
//! from the log alone where no operators' address is configured (`docs/FILTER.md`: the fleet bench configures
//! none).
//!
//! Source: `/proc/self/status` on Linux, fields `VmRSS` (resident now) and `VmHWM` (peak resident), both in
//! kB. Nothing is logged where the file cannot be read or lacks one of the fields.

use crate::log_line;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior};

/// Interval between log lines.
pub const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Resident memory of a process, in kB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// Current resident memory, in kB.
    pub resident_kb: u64,
    /// Peak resident memory since the start of the process, in kB.
    pub peak_kb: u64,
}

/// Parses both fields from the text of a `status` file; returns `None` if either is missing or invalid.
pub fn parse_status(status: &str) -> Option<Memory> {
    Some(Memory {
        resident_kb: field_kb(status, "VmRSS:")?,
        peak_kb: field_kb(status, "VmHWM:")?,
    })
}

fn field_kb(status: &str, name: &str) -> Option<u64> {
    let value = status.lines().find_map(|line| line.strip_prefix(name))?;
    value.trim().strip_suffix("kB")?.trim().parse().ok()
}

/// Returns the current memory use of this process, if the system reports it.
pub fn current() -> Option<Memory> {
    parse_status(&std::fs::read_to_string("/proc/self/status").ok()?)
}

/// Logs `memory: R kB resident, P kB at most` every [`LOG_INTERVAL`]; never returns.
pub async fn log_periodically() {
    // The first line comes after one interval, because a starting process logs its addresses first.
    let mut ticks = tokio::time::interval_at(Instant::now() + LOG_INTERVAL, LOG_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Some(memory) = current() {
            log_line!(
                "memory: {} kB resident, {} kB at most",
                memory.resident_kb,
                memory.peak_kb
            );
        }
    }
}

#[cfg(test)]
mod tests;
