//! The process's own memory, logged at a steady pace, so that a long run's curve can be read from the log alone, where
//! no operators' address is given (`docs/FILTER.md`: the fleet bench gives none).
//!
//! Source: Linux's `/proc/self/status`, fields `VmRSS` (resident now) and `VmHWM` (peak resident), both in kB. Where the
//! file cannot be read or lacks the fields nothing is logged.

use crate::log_line;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior};

/// How often the line is logged.
pub const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// What the process holds, in kB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// Resident now.
    pub resident_kb: u64,
    /// The most that was resident since the start.
    pub peak_kb: u64,
}

/// Reads both fields of a `status` file's text; `None` if either is missing or no number.
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

/// This process's memory now, if the system reports it.
pub fn current() -> Option<Memory> {
    parse_status(&std::fs::read_to_string("/proc/self/status").ok()?)
}

/// Logs `memory: R kB resident, P kB at most` every [`LOG_INTERVAL`]; runs for ever.
pub async fn log_periodically() {
    // The first after an interval: a start logs its addresses first.
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
