//! An engine's load as it last reported it.

use super::{Millis, ReportField};

#[cfg(test)]
mod tests;

/// How long a report tells two engines apart, ms; by older ones dispatchers would herd.
const FRESHNESS: Millis = 500.0;

/// An engine's load as it last reported it; all 0 before the first report.
#[derive(Clone, Debug)]
pub(crate) struct LoadReport {
    /// Queries running or waiting there.
    pub(crate) inflight: f64,
    /// Queries waiting there for memory.
    pub(crate) memory_queue: f64,
    /// Busy cores as a fraction of all.
    pub(crate) cpu_busy: f64,
    /// Granted memory as a fraction of all.
    pub(crate) memory_granted: f64,
    /// When the last report came, ms.
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
    /// Returns false, and changes nothing, if the report is empty or holds an impossible number.
    pub(crate) fn decode(&mut self, now: Millis, fields: &[ReportField], report: &[f64]) -> bool {
        let is_impossible = |value: &f64| !value.is_finite() || *value < 0.0;
        if report.is_empty() || report.iter().any(is_impossible) {
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

    /// The last report is recent enough to compare engines by it.
    pub(crate) fn is_fresh(&self, now: Millis) -> bool {
        now <= self.received_at + FRESHNESS
    }

    /// At least one report has come.
    pub(crate) fn is_known(&self) -> bool {
        self.received_at > f64::MIN
    }
}
