//! Metrics for operators: counters since the start of the process, and gauges of its present state.

use crate::core::invariants::{Violation, ViolationCounts};
use crate::decision::model::{ClassId, FleetSizeRange};

/// Number of variants of [`RequestOutcome`].
const OUTCOMES: usize = 3;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was served.
    Success,
    /// The request was rejected or timed out, and a retry is safe.
    Overload,
    /// The request failed, or timed out and may have run.
    Error,
}

impl RequestOutcome {
    /// All outcomes, in the order of their discriminants.
    const ALL: [RequestOutcome; OUTCOMES] = [
        RequestOutcome::Success,
        RequestOutcome::Overload,
        RequestOutcome::Error,
    ];

    /// Returns the outcome's name at the operators' address.
    fn name(self) -> &'static str {
        match self {
            RequestOutcome::Success => "success",
            RequestOutcome::Overload => "overload",
            RequestOutcome::Error => "error",
        }
    }
}

/// Number of answers to requests of one class by outcome, in the order of [`RequestOutcome`].
pub type AnswerCounts = [u64; OUTCOMES];

/// Counters and gauges of one process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Answer counts by class.
    pub answers: Vec<AnswerCounts>,
    /// Number of attempts that have been written to engines in full.
    pub dispatches: u64,
    /// Number of requests that await an answer.
    pub unanswered_requests: usize,
    /// Number of listed engines.
    pub endpoints: usize,
    /// Number of listed engines that get no new work: not ready, administratively drained, or ejected.
    pub unavailable_endpoints: usize,
    /// Number of gossip messages that could not be decoded or whose sender is not a peer.
    pub rejected_gossip_messages: u64,
    /// Number of standstills of the process: periods in which it was stopped or its thread was blocked.
    pub standstills: u64,
    /// Counts of violated invariants.
    pub violations: ViolationCounts,
    /// Expected and maximum number of running dispatchers.
    pub fleet_size: FleetSizeRange,
}

impl Metrics {
    /// Creates the metrics of a process that has just started, for this number of classes.
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

    /// Formats the invariants for the operators' address: a line `violations.NAME=VALUE` for each kind of
    /// violation, the number of standstills, and the expected and maximum number of running dispatchers.
    pub fn invariants_text(&self) -> String {
        let mut text = String::new();
        for violation in Violation::ALL {
            let (name, count) = (violation.name(), self.violations.count(violation));
            text.push_str(&format!("violations.{name}={count}\n"));
        }
        text.push_str(&format!("standstills={}\n", self.standstills));
        let dispatchers = self.fleet_size;
        text.push_str(&format!("dispatchers.expected={}\n", dispatchers.expected));
        text.push_str(&format!("dispatchers.max={}\n", dispatchers.max));
        text
    }

    /// Formats the metrics for the operators' address, a line `NAME=VALUE` for each. `classes` are the names
    /// of the classes.
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
