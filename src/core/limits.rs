//! The limits that the core enforces itself.

use crate::decision::model::Millis;
use std::time::Duration;

/// Limits that the core enforces regardless of the decision module's decisions.
#[derive(Clone, Copy, Debug)]
pub struct CoreLimits {
    /// Maximum number of requests open at the same time, over all processes of this dispatcher.
    pub max_open_requests: usize,
    /// Time between the due time of an answer and the client's deadline, so that the answer can be written
    /// and read in full.
    pub answer_margin: Duration,
    /// Time after each page of a result for which its attempt is exempt from cancellation.
    pub page_timeout: Duration,
}

impl CoreLimits {
    /// Returns [`CoreLimits::answer_margin`] in milliseconds.
    pub(super) fn answer_margin_ms(&self) -> Millis {
        millis(self.answer_margin)
    }

    /// Returns [`CoreLimits::page_timeout`] in milliseconds.
    pub(super) fn page_timeout_ms(&self) -> Millis {
        millis(self.page_timeout)
    }
}

/// Converts a duration to milliseconds; exact for durations of whole microseconds.
fn millis(duration: Duration) -> Millis {
    const MICROS_PER_MILLI: f64 = 1000.0;
    duration.as_micros() as f64 / MICROS_PER_MILLI
}
