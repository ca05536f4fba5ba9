//! The last load report of an engine.

use super::{Millis, ReportField};

#[cfg(test)]
mod tests;

/// How long a report may be used to compare engines, ms. If dispatchers compared engines by older
/// reports, they would all pick the same ones.
const FRESHNESS: Millis = 500.0;

/// The last load report of an engine; all values are 0 before the first one.
#[derive(Clone, Debug)]
pub(crate) struct LoadReport {
    /// Number of queries running or waiting at the engine.
    pub(crate) inflight: f64,
    /// Number of queries waiting for memory at the engine.
    pub(crate) memory_queue: f64,
    /// Busy cores as a fraction of all cores.
    pub(crate) cpu_busy: f64,
    /// Granted memory as a fraction of all memory.
    pub(crate) memory_granted: f64,
    /// When the last report was received, ms.
    pub(crate) received_at: Millis,
}

impl Default for LoadReport {
    fn default() -> Self {
        LoadReport {
            inflight: 0.0,
            memory_queue: 0.0,
            cpu_busy: 0.0,
            memory_granted: 0.0,
            received_at: f64::MIN,
        }
    }
}

impl LoadReport {
    /// Decodes a report, given the field that each position holds. Absent fields keep their values.
    ///
    /// Returns false and changes nothing if the report is empty or contains a negative or
    /// non-finite number.
    pub(crate) fn decode(&mut self, now: Millis, fields: &[ReportField], report: &[f64]) -> bool {
        let is_invalid = |value: &f64| !value.is_finite() || *value < 0.0;
        if report.is_empty() || report.iter().any(is_invalid) {
            return false;
        }
        self.received_at = now;
        for (field, &value) in fields.iter().zip(report) {
            match field {
                ReportField::Inflight => self.inflight = value,
                ReportField::CpuBusy => self.cpu_busy = value,
                ReportField::MemoryGranted => self.memory_granted = value,
                ReportField::MemoryQueue => self.memory_queue = value,
                ReportField::DiskBusy | ReportField::Other => {}
            }
        }
        true
    }

    /// Returns whether the last report is recent enough to compare engines by it.
    pub(crate) fn is_fresh(&self, now: Millis) -> bool {
        now <= self.received_at + FRESHNESS
    }

    /// Returns whether any report has been received.
    pub(crate) fn is_known(&self) -> bool {
        self.received_at > f64::MIN
    }
}
