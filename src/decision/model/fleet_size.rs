//! Number of dispatchers that share the engines: the configured number, and the evidence from the
//! other dispatchers.

use super::Millis;

#[cfg(test)]
mod tests;

/// While the configured number is unconfirmed, up to this multiple of it is assumed to run: a fleet
/// can be doubled before all of its configurations name the new size.
const MAX_UNDERCOUNT: f64 = 2.0;

/// Evidence of how many dispatchers run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetEvidence {
    /// Minimum number of dispatchers that run, including this one.
    pub min_dispatchers: u32,
    /// Time until which the configured number is confirmed as the maximum, ms; `None` if it is
    /// unconfirmed.
    pub confirmed_until: Option<Millis>,
}

/// Range of the number of dispatchers assumed to run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetSizeRange {
    /// The configured number, or the number seen if that is larger.
    pub expected: f64,
    /// The maximum number that an engine that is warming up is protected against.
    pub max: f64,
}

/// The number of dispatchers that a common limit is divided among.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    configured: f64,
    min_dispatchers: f64,
    confirmed_until: Millis,
}

impl FleetSize {
    /// Creates a fleet size from the configured number, which is still unconfirmed.
    pub(crate) fn new(configured: u32) -> Self {
        FleetSize {
            configured: f64::from(configured),
            min_dispatchers: 0.0,
            confirmed_until: f64::MIN,
        }
    }

    /// Updates the fleet size from new evidence.
    pub(crate) fn observe(&mut self, evidence: FleetEvidence) {
        self.min_dispatchers = f64::from(evidence.min_dispatchers);
        self.confirmed_until = evidence.confirmed_until.unwrap_or(f64::MIN);
    }

    /// Returns the expected number: the configured one, or the number seen if that is larger.
    pub(crate) fn expected(&self) -> f64 {
        self.configured.max(self.min_dispatchers)
    }

    /// Returns the maximum number that may run. The engines must sustain what this many dispatchers
    /// send in total.
    pub(crate) fn upper_bound(&self, now: Millis) -> f64 {
        match now < self.confirmed_until {
            true => self.expected(),
            false => self.expected().max(MAX_UNDERCOUNT * self.configured),
        }
    }
}
