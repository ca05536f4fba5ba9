//! The wall clock of the process, and durations for the runtime's timers.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The longest duration of a timer, in milliseconds: a day.
const MAX_TIMER_MS: f64 = 86_400_000.0;

/// The machine's Unix time, in milliseconds. The whole process goes by it, the decision module too.
pub fn unix_time_millis() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |elapsed| elapsed.as_secs_f64() * 1000.0)
}

/// A duration for the runtime's timers, at most a day; negative ones are 0.
pub fn duration_from_millis(millis: f64) -> Duration {
    Duration::from_micros((millis.clamp(0.0, MAX_TIMER_MS) * 1000.0) as u64)
}
