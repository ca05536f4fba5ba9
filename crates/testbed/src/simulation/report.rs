//! What a day came to.

use super::rules::RuleViolation;
use crate::simulation::emulator::Waits;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// How requests ended for their clients, in the order of `OutcomeCounts`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct OutcomeCounts {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub late: u64,
    pub left: u64,
}

/// Worth asked for and worth earned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct WeightedValue {
    pub asked: f64,
    pub earned: f64,
}

impl WeightedValue {
    /// 1 where nothing was asked.
    pub fn part(&self) -> f64 {
        if self.asked > 0.0 {
            self.earned / self.asked
        } else {
            1.0
        }
    }
}

/// One class's requests.
#[derive(Clone, Debug)]
pub struct ClassReport {
    pub name: String,
    pub priority_weight: WeightedValue,
    pub outcomes: OutcomeCounts,
    /// From the moment a request was due, in microseconds.
    pub latency: Histogram<u64>,
}

/// Where the time of look-ups that came too late, or never, went, in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LateCauses {
    pub requests: u64,
    /// Held at the gateway before an attempt.
    pub held: f64,
    /// Running, slowed by what else ran.
    pub ran: f64,
    pub in_line: f64,
    /// Standing behind a load of the same gateway, and of another.
    pub behind_own: f64,
    pub behind_others: f64,
    /// On attempts that were lost, or whose engine said nothing.
    pub lost: f64,
}

impl LateCauses {
    pub fn add(&mut self, gateway: u32, waits: &Waits) {
        self.ran += waits.running;
        self.in_line += waits.queued_for_memory;
        for (whose, span) in &waits.blocked_by_load {
            *(if *whose == gateway {
                &mut self.behind_own
            } else {
                &mut self.behind_others
            }) += span;
        }
    }

    /// The causes by name, the longest first.
    pub fn ranked(&self) -> Vec<(&'static str, f64)> {
        let mut all = vec![
            ("held at the gateway", self.held),
            ("running among others", self.ran),
            ("in the line for memory", self.in_line),
            ("behind a load of the same gateway", self.behind_own),
            ("behind a load of another gateway", self.behind_others),
            ("on attempts that were lost", self.lost),
        ];
        all.sort_by(|a, b| b.1.total_cmp(&a.1));
        all
    }
}

/// A stretch of the day.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Window {
    pub from_s: f64,
    #[serde(rename = "worth")]
    pub priority_weight: WeightedValue,
    /// The part of all cores that worked, and engines in service.
    pub occupied: f64,
    pub serving: usize,
}

/// The whole day.
#[derive(Clone, Debug)]
pub struct RunReport {
    pub seconds: f64,
    pub classes: Vec<ClassReport>,
    pub tenants: Vec<(String, WeightedValue)>,
    pub windows: Vec<Window>,
    pub attempts: u64,
    pub requests: u64,
    /// Calls on gateways' decisions, and the machine's time they took, in seconds.
    pub calls: u64,
    pub decided_s: f64,
    pub late: BTreeMap<u32, LateCauses>,
    pub broken: Vec<RuleViolation>,
    pub latest_after_notice_ms: f64,
    /// Of every event, in order.
    pub hash: u64,
    pub events: u64,
}

/// The length of a window, in seconds.
pub const WINDOW_S: f64 = 10.0;

impl RunReport {
    pub fn priority_weight(&self) -> WeightedValue {
        let mut all = WeightedValue::default();
        for c in &self.classes {
            all.asked += c.priority_weight.asked;
            all.earned += c.priority_weight.earned;
        }
        all
    }

    /// The operators' goal: 30% the whole, 40% the worst window, 20% the worst class, 10% the worst member;
    /// 0 if a rule was broken.
    pub fn goal(&self) -> f64 {
        match self.broken.is_empty() {
            true => self.service(),
            false => 0.0,
        }
    }

    /// The same, whether or not a rule was broken.
    pub fn service(&self) -> f64 {
        let whole = self.priority_weight().part();
        // A window in which next to nothing was asked tells nothing.
        let usual = self.priority_weight().asked / self.windows.len().max(1) as f64;
        let windows = self
            .windows
            .iter()
            .filter(|w| w.priority_weight.asked > 0.2 * usual);
        let window = windows
            .map(|w| w.priority_weight.part())
            .fold(1.0, f64::min);
        let classes = self
            .classes
            .iter()
            .filter(|c| c.priority_weight.asked > 0.0);
        let class = classes
            .map(|c| c.priority_weight.part())
            .fold(1.0, f64::min);
        let tenants = self.tenants.iter().filter(|t| t.1.asked > 0.0);
        let tenant = tenants.map(|t| t.1.part()).fold(1.0, f64::min);
        0.3 * whole + 0.4 * window + 0.2 * class + 0.1 * tenant
    }

    /// Milliseconds within which this part of a class's requests was served.
    pub fn percentile(&self, class: usize, percent: f64) -> f64 {
        self.classes.get(class).map_or(0.0, |c| {
            c.latency.value_at_percentile(percent) as f64 / 1000.0
        })
    }

    /// The mean of a class's latency, in milliseconds.
    pub fn mean(&self, class: usize) -> f64 {
        self.classes
            .get(class)
            .map_or(0.0, |c| c.latency.mean() / 1000.0)
    }

    /// All late look-ups' causes together.
    pub fn late_causes(&self) -> LateCauses {
        let mut all = LateCauses::default();
        for l in self.late.values() {
            all.requests += l.requests;
            all.held += l.held;
            all.ran += l.ran;
            all.in_line += l.in_line;
            all.behind_own += l.behind_own;
            all.behind_others += l.behind_others;
            all.lost += l.lost;
        }
        all
    }
}
