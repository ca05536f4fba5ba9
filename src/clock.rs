//! The clocks of the process, and durations for the runtime's timers.
//!
//! The process uses [`process_clock_millis`], the process clock, for all deadlines, windows, delays and grace
//! periods: these are spans of real time, which a step of the machine's wall clock must not change.
//! [`wall_clock_millis`] is only used to exchange times with other machines.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum duration of a timer, in milliseconds: one day.
const MAX_TIMER_MS: f64 = 86_400_000.0;

/// Readings of both clocks at the first use of the process clock.
struct Anchor {
    wall_clock_ms: f64,
    monotonic: Instant,
}

impl Anchor {
    fn now() -> Self {
        Anchor {
            wall_clock_ms: wall_clock_millis(),
            monotonic: Instant::now(),
        }
    }
}

/// Returns the time of the process clock, in milliseconds: the wall clock's Unix time at the first call,
/// advanced by the monotonic clock since. It never goes back and never jumps.
pub fn process_clock_millis() -> f64 {
    static ANCHOR: OnceLock<Anchor> = OnceLock::new();
    let anchor = ANCHOR.get_or_init(Anchor::now);
    anchor.wall_clock_ms + anchor.monotonic.elapsed().as_secs_f64() * 1000.0
}

/// Returns the Unix time of the machine's wall clock, in milliseconds. The clock may be wrong and may be
/// stepped at any time.
pub fn wall_clock_millis() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |elapsed| elapsed.as_secs_f64() * 1000.0)
}

/// Converts milliseconds to a duration for the runtime's timers, between zero and one day.
pub fn duration_from_millis(millis: f64) -> Duration {
    Duration::from_micros((millis.clamp(0.0, MAX_TIMER_MS) * 1000.0) as u64)
}
