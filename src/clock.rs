//! The wall clock of the process and conversions to the runtime's timers.

use std::time::{SystemTime, UNIX_EPOCH};

/// Clients' figures beyond these are no estimates: an hour, in milliseconds, and a terabyte, in megabytes. One
/// such figure would spoil what is learned of all other requests.
pub const MAX_ESTIMATED_WORK_MS: f64 = 3_600_000.0;
pub const MAX_ESTIMATED_MEMORY_MB: f64 = 1_048_576.0;

/// The machine's Unix clock, in milliseconds: all rules run on it, the module too.
pub fn unix_time_millis() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

/// A span for the runtime's timers; absurd ones are cut.
pub fn duration_from_millis(ms: f64) -> std::time::Duration {
    std::time::Duration::from_micros((ms.clamp(0.0, 86_400_000.0) * 1000.0) as u64)
}
