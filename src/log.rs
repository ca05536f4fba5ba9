//! The one way to the log: a rate-limited `eprintln`, since a storm of failures must not become a storm of
//! writes to a pipe that nobody empties.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Lines a second; what goes beyond is counted and told with the next second's first line.
const PER_SECOND: u64 = 50;

static SECOND: AtomicU64 = AtomicU64::new(0);
static LINES: AtomicU64 = AtomicU64::new(0);

/// How many lines went unsaid before this one, if this one may be said.
pub fn admit() -> Option<u64> {
    let second = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs());
    admit_at(second, &SECOND, &LINES)
}

fn admit_at(second: u64, last: &AtomicU64, lines: &AtomicU64) -> Option<u64> {
    if last.swap(second, Ordering::Relaxed) != second {
        return Some(lines.swap(1, Ordering::Relaxed).saturating_sub(PER_SECOND));
    }
    (lines.fetch_add(1, Ordering::Relaxed) < PER_SECOND).then_some(0)
}

/// Says one line on standard error, unless too many were said this second.
#[macro_export]
macro_rules! log_line {
    ($($arg:tt)*) => {
        if let Some(unsaid) = $crate::log::admit() {
            if unsaid > 0 {
                eprintln!("({unsaid} lines unsaid)");
            }
            eprintln!($($arg)*);
        }
    };
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_storm_is_cut_and_counted() {
        let (last, lines) = (AtomicU64::new(0), AtomicU64::new(0));
        let said = (0..PER_SECOND + 7)
            .filter(|_| admit_at(5, &last, &lines).is_some())
            .count() as u64;
        assert_eq!(said, PER_SECOND);
        assert_eq!(admit_at(6, &last, &lines), Some(7));
        assert_eq!(admit_at(6, &last, &lines), Some(0));
    }
}
