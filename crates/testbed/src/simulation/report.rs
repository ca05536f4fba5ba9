//! Report of a simulation run.

use super::rules::RuleViolation;
use crate::simulation::emulator::Waits;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Numbers of requests by how they ended for their clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct OutcomeCounts {
    pub served: u64,
    #[serde(rename = "refused")]
    pub rejected: u64,
    pub failed: u64,
    #[serde(rename = "late")]
    pub timed_out: u64,
    /// The client disconnected before an answer.
    #[serde(rename = "left")]
    pub client_left: u64,
}

/// Priority weight that requests offered, and the part of it that their answers earned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct WeightedValue {
    #[serde(rename = "asked")]
    pub offered: f64,
    pub earned: f64,
}

impl WeightedValue {
    /// Returns the fraction of the offered weight that was earned; 1 if none was offered.
    pub fn earned_fraction(&self) -> f64 {
        if self.offered > 0.0 {
            self.earned / self.offered
        } else {
            1.0
        }
    }
}

/// Report of the requests of one class.
#[derive(Clone, Debug)]
pub struct ClassReport {
    pub name: String,
    pub priority_weight: WeightedValue,
    pub outcomes: OutcomeCounts,
    /// Latency of served requests from their first try, in microseconds.
    pub latency: Histogram<u64>,
}

/// Time that look-ups which were late or not served spent in each state, in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LateCauses {
    /// Number of such look-ups.
    pub requests: u64,
    /// Queued at the dispatcher before the first attempt.
    pub held: f64,
    /// Running, slowed down by other queries.
    #[serde(rename = "ran")]
    pub running: f64,
    /// Queued at the engine for memory.
    #[serde(rename = "in_line")]
    pub queued_for_memory: f64,
    /// Blocked by a load of the same dispatcher.
    pub behind_own: f64,
    /// Blocked by a load of another dispatcher.
    pub behind_others: f64,
    /// Spent on attempts that were reset or whose engine was unreachable.
    pub lost: f64,
}

impl LateCauses {
    /// Adds the times of one request of this dispatcher.
    pub fn add(&mut self, dispatcher: u32, waits: &Waits) {
        self.running += waits.running;
        self.queued_for_memory += waits.queued_for_memory;
        for (sender, span) in &waits.blocked_by_load {
            *(if *sender == dispatcher {
                &mut self.behind_own
            } else {
                &mut self.behind_others
            }) += span;
        }
    }

    /// Returns the causes with their names, longest time first.
    pub fn ranked(&self) -> Vec<(&'static str, f64)> {
        let mut all = vec![
            ("held at the gateway", self.held),
            ("running among others", self.running),
            ("in the line for memory", self.queued_for_memory),
            ("behind a load of the same gateway", self.behind_own),
            ("behind a load of another gateway", self.behind_others),
            ("on attempts that were lost", self.lost),
        ];
        all.sort_by(|a, b| b.1.total_cmp(&a.1));
        all
    }
}

/// A time window of the run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Window {
    pub from_s: f64,
    #[serde(rename = "worth")]
    pub priority_weight: WeightedValue,
    /// Fraction of the capacity of all cores that was used.
    #[serde(rename = "occupied")]
    pub utilization: f64,
    /// Number of engines in service at the end of the window.
    pub serving: usize,
}

/// Report of a whole run.
#[derive(Clone, Debug)]
pub struct RunReport {
    pub seconds: f64,
    pub classes: Vec<ClassReport>,
    pub tenants: Vec<(String, WeightedValue)>,
    pub windows: Vec<Window>,
    pub attempts: u64,
    pub requests: u64,
    /// Number of calls to the dispatchers' decisions.
    pub decision_calls: u64,
    /// Wall-clock time of these calls, in seconds.
    pub decision_time_s: f64,
    /// Causes of late look-ups, by dispatcher.
    pub late: BTreeMap<u32, LateCauses>,
    /// First violation of each rule.
    pub violations: Vec<RuleViolation>,
    /// Longest time after a drain notice at which a new attempt was still sent, in milliseconds.
    pub latest_send_after_notice_ms: f64,
    /// Hash of every event, in order.
    pub hash: u64,
    pub events: u64,
}

/// Length of a window, in seconds.
pub const WINDOW_S: f64 = 10.0;

impl RunReport {
    /// Returns the offered and earned priority weight of all classes.
    pub fn priority_weight(&self) -> WeightedValue {
        let mut all = WeightedValue::default();
        for c in &self.classes {
            all.offered += c.priority_weight.offered;
            all.earned += c.priority_weight.earned;
        }
        all
    }

    /// Returns the operators' score: 30% for the whole run, 40% for the worst window, 20% for the worst
    /// class and 10% for the worst tenant; 0 if a rule was violated.
    pub fn score(&self) -> f64 {
        match self.violations.is_empty() {
            true => self.unpenalized_score(),
            false => 0.0,
        }
    }

    /// Returns the score without regard to violations.
    pub fn unpenalized_score(&self) -> f64 {
        let whole = self.priority_weight().earned_fraction();
        // A window with less than a fifth of the average offered weight says little, so it is left out.
        let average = self.priority_weight().offered / self.windows.len().max(1) as f64;
        let windows = self
            .windows
            .iter()
            .filter(|w| w.priority_weight.offered > 0.2 * average);
        let window = windows
            .map(|w| w.priority_weight.earned_fraction())
            .fold(1.0, f64::min);
        let classes = self
            .classes
            .iter()
            .filter(|c| c.priority_weight.offered > 0.0);
        let class = classes
            .map(|c| c.priority_weight.earned_fraction())
            .fold(1.0, f64::min);
        let tenants = self.tenants.iter().filter(|t| t.1.offered > 0.0);
        let tenant = tenants.map(|t| t.1.earned_fraction()).fold(1.0, f64::min);
        0.3 * whole + 0.4 * window + 0.2 * class + 0.1 * tenant
    }

    /// Returns a percentile of a class's latency, in milliseconds.
    pub fn latency_percentile(&self, class: usize, percent: f64) -> f64 {
        self.classes.get(class).map_or(0.0, |c| {
            c.latency.value_at_percentile(percent) as f64 / 1000.0
        })
    }

    /// Returns the mean latency of a class, in milliseconds.
    pub fn mean_latency(&self, class: usize) -> f64 {
        self.classes
            .get(class)
            .map_or(0.0, |c| c.latency.mean() / 1000.0)
    }

    /// Returns the causes of all late look-ups together.
    pub fn late_causes(&self) -> LateCauses {
        let mut all = LateCauses::default();
        for l in self.late.values() {
            all.requests += l.requests;
            all.held += l.held;
            all.running += l.running;
            all.queued_for_memory += l.queued_for_memory;
            all.behind_own += l.behind_own;
            all.behind_others += l.behind_others;
            all.lost += l.lost;
        }
        all
    }
}
