//! How many dispatchers share the engines: the configured number, and what is heard of the others.

use super::Millis;

#[cfg(test)]
mod tests;

/// While nothing confirms the configured number, so many times as many may run: a fleet is
/// doubled before all of its configurations name the new size.
const MAX_UNDERCOUNT: f64 = 2.0;

/// What has been heard of how many dispatchers run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetEvidence {
    /// At least so many run, this one included.
    pub min_dispatchers: u32,
    /// Until then no more are taken to run than are configured; `None`: nothing shows that.
    pub confirmed_until: Option<Millis>,
}

/// How many dispatchers are taken to run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetSizeRange {
    /// The configured number, or more if more are heard.
    pub expected: f64,
    /// The number that a warming engine is protected against.
    pub max: f64,
}

/// The number of dispatchers that a limit for all of them together is divided by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    configured: f64,
    min_dispatchers: f64,
    confirmed_until: Millis,
}

impl FleetSize {
    /// The configured number, which nothing confirms yet.
    pub(crate) fn new(configured: u32) -> Self {
        FleetSize {
            configured: f64::from(configured),
            min_dispatchers: 0.0,
            confirmed_until: f64::MIN,
        }
    }

    /// Takes over what has been heard.
    pub(crate) fn observe(&mut self, evidence: FleetEvidence) {
        self.min_dispatchers = f64::from(evidence.min_dispatchers);
        self.confirmed_until = evidence.confirmed_until.unwrap_or(f64::MIN);
    }

    /// The number that is expected: the configured one, unless more are heard.
    pub(crate) fn expected(&self) -> f64 {
        self.configured.max(self.min_dispatchers)
    }

    /// The number that may run: what every dispatcher does has to be borne from so many.
    pub(crate) fn upper_bound(&self, now: Millis) -> f64 {
        match now < self.confirmed_until {
            true => self.expected(),
            false => self.expected().max(MAX_UNDERCOUNT * self.configured),
        }
    }
}
