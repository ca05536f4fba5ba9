//! Limits that the core enforces itself.

use crate::decision::model::Millis;
use std::time::Duration;

/// Limits that the core enforces whatever the decision module decides.
#[derive(Clone, Copy, Debug)]
pub struct CoreLimits {
    /// Requests that may be open at a time, over all processes of this dispatcher.
    pub max_open_requests: usize,
    /// How long before the client's deadline the answer is due, so that it can be written and read in full.
    pub answer_margin: Duration,
    /// How long an attempt whose result is arriving is exempt from cancellation after each page.
    pub page_timeout: Duration,
}

impl CoreLimits {
    /// [`CoreLimits::answer_margin`] in milliseconds.
    pub(super) fn answer_margin_ms(&self) -> Millis {
        millis(self.answer_margin)
    }

    /// [`CoreLimits::page_timeout`] in milliseconds.
    pub(super) fn page_timeout_ms(&self) -> Millis {
        millis(self.page_timeout)
    }
}

/// Exact for durations of whole microseconds.
fn millis(duration: Duration) -> Millis {
    const MICROS_PER_MILLI: f64 = 1000.0;
    duration.as_micros() as f64 / MICROS_PER_MILLI
}
