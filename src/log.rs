//! The process's log: rate-limited lines on standard error. The limit keeps a burst of failures from becoming
//! a burst of writes to a pipe that nobody reads, which would block the process.

#[cfg(test)]
mod tests;

use crate::clock::process_clock_millis;
use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum number of lines written per second; further ones are only counted.
const MAX_LINES_PER_SECOND: u64 = 50;

static LIMITER: LineLimiter = LineLimiter::new();

/// Permission to write one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinePermit {
    /// Number of lines suppressed since the last line that was written.
    pub suppressed: u64,
}

/// Rate limiter for log lines. Concurrent callers may exceed the limit by a few lines at the start of a
/// second.
#[derive(Debug)]
struct LineLimiter {
    /// Second of the process clock to which `lines` applies.
    second: AtomicU64,
    /// Number of lines requested during `second`, including suppressed ones.
    lines: AtomicU64,
}

impl LineLimiter {
    const fn new() -> Self {
        LineLimiter {
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
        }
    }

    /// Returns a permit for a line in `second`, or counts the line as suppressed and returns `None`.
    fn acquire(&self, second: u64) -> Option<LinePermit> {
        if self.second.swap(second, Ordering::Relaxed) != second {
            let lines_before = self.lines.swap(1, Ordering::Relaxed);
            return Some(LinePermit {
                suppressed: lines_before.saturating_sub(MAX_LINES_PER_SECOND),
            });
        }
        let lines_before = self.lines.fetch_add(1, Ordering::Relaxed);
        (lines_before < MAX_LINES_PER_SECOND).then_some(LinePermit { suppressed: 0 })
    }
}

/// Returns permission to write one line now. Returns `None` if the limit for the current second is reached;
/// the line is then counted as suppressed.
pub fn acquire_line() -> Option<LinePermit> {
    LIMITER.acquire((process_clock_millis() / 1000.0) as u64)
}

/// Writes one line to the log, within the rate limit; takes the arguments of [`eprintln!`].
#[macro_export]
macro_rules! log_line {
    ($($arg:tt)*) => {
        if let Some(permit) = $crate::log::acquire_line() {
            if permit.suppressed > 0 {
                eprintln!("({} lines suppressed)", permit.suppressed);
            }
            eprintln!($($arg)*);
        }
    };
}
