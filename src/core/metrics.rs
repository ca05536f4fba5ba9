//! Counters since the process started and gauges of its present state, as operators read them.

use crate::core::invariants::{Violation, ViolationCounts};
use crate::decision::model::{ClassId, FleetSizeRange};

/// Variants of [`RequestOutcome`].
const OUTCOMES: usize = 3;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was served.
    Success,
    /// It was rejected or timed out, and a retry is safe.
    Overload,
    /// It failed.
    Error,
}

impl RequestOutcome {
    /// All outcomes, in the order of their discriminants.
    const ALL: [RequestOutcome; OUTCOMES] = [
        RequestOutcome::Success,
        RequestOutcome::Overload,
        RequestOutcome::Error,
    ];

    /// The outcome's name at the operators' address.
    fn name(self) -> &'static str {
        match self {
            RequestOutcome::Success => "success",
            RequestOutcome::Overload => "overload",
            RequestOutcome::Error => "error",
        }
    }
}

/// Answers of one class by outcome, in the order of [`RequestOutcome`].
pub type AnswerCounts = [u64; OUTCOMES];

/// Counters and gauges of one process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Answers, by class.
    pub answers: Vec<AnswerCounts>,
    /// Attempts that have been written in full to engines.
    pub dispatches: u64,
    /// Requests that await an answer now.
    pub unanswered_requests: usize,
    /// Engines that are listed now.
    pub endpoints: usize,
    /// Listed engines that get no new work now: not ready, administratively drained, or ejected.
    pub unavailable_endpoints: usize,
    /// Gossip messages that could not be decoded or whose sender is not a peer.
    pub rejected_gossip_messages: u64,
    /// Times in which the process stood still: it was stopped, or one piece of work held its thread.
    pub standstills: u64,
    /// Broken invariants.
    pub violations: ViolationCounts,
    /// How many dispatchers are taken to run.
    pub fleet_size: FleetSizeRange,
}

impl Metrics {
    /// Metrics of a process that has just started, for this number of classes.
    pub fn new(classes: usize) -> Self {
        Metrics {
            answers: vec![AnswerCounts::default(); classes],
            ..Metrics::default()
        }
    }

    /// Counts the answer to one request. A class that is not configured has no counter.
    pub fn record_answer(&mut self, class: ClassId, outcome: RequestOutcome) {
        if let Some(counts) = self.answers.get_mut(class) {
            counts[outcome as usize] += 1;
        }
    }

    /// The text of the broken invariants, a line `violations.name=value` for each kind, of the standstills, and of how many
    /// dispatchers are taken to run.
    pub fn invariants_text(&self) -> String {
        let mut text = String::new();
        for violation in Violation::ALL {
            let (name, count) = (violation.name(), self.violations.of(violation));
            text.push_str(&format!("violations.{name}={count}\n"));
        }
        text.push_str(&format!("standstills={}\n", self.standstills));
        let dispatchers = self.fleet_size;
        text.push_str(&format!("dispatchers.expected={}\n", dispatchers.expected));
        text.push_str(&format!("dispatchers.max={}\n", dispatchers.max));
        text
    }

    /// The text at the operators' address, a line `name=value` for each metric. `classes` are the classes' names.
    pub fn text(&self, classes: &[String]) -> String {
        let mut text = String::new();
        for (class, counts) in classes.iter().zip(&self.answers) {
            for (outcome, count) in RequestOutcome::ALL.iter().zip(counts) {
                text.push_str(&format!("replies.{class}.{}={count}\n", outcome.name()));
            }
        }
        let totals = [
            ("dispatches", self.dispatches),
            ("concurrent", self.unanswered_requests as u64),
            ("targets", self.endpoints as u64),
            ("targets_disabled", self.unavailable_endpoints as u64),
            ("peer_messages_refused", self.rejected_gossip_messages),
        ];
        for (name, value) in totals {
            text.push_str(&format!("{name}={value}\n"));
        }
        text
    }
}

#[cfg(test)]
mod tests;
