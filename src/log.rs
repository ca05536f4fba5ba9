//! The process's log: lines on standard error, so many a second at most. Reason: a storm of failures must not become
//! a storm of writes to a pipe that nobody empties.

#[cfg(test)]
mod tests;

use crate::clock::process_clock_millis;
use std::sync::atomic::{AtomicU64, Ordering};

/// Lines that are written in one second; further ones are only counted.
const MAX_LINES_PER_SECOND: u64 = 50;

static LIMITER: LineLimiter = LineLimiter::new();

/// Permission to write one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinePermit {
    /// Lines that were suppressed since the last line that was written.
    pub suppressed: u64,
}

/// Limits lines a second. Concurrent callers may exceed the limit by a few lines where a second begins.
#[derive(Debug)]
struct LineLimiter {
    /// The second, on the clock of the process, that `lines` counts.
    second: AtomicU64,
    lines: AtomicU64,
}

impl LineLimiter {
    const fn new() -> Self {
        LineLimiter {
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
        }
    }

    /// Admits a line in this second, or counts it as suppressed.
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

/// Permission to write one line now; `None`: this second's lines are used up, and the line counts as suppressed.
pub fn acquire_line() -> Option<LinePermit> {
    LIMITER.acquire((process_clock_millis() / 1000.0) as u64)
}

/// Writes one line to the log; its arguments are those of [`eprintln!`].
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
