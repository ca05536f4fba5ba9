//! Self-preservation: instances that disappear from the lists in large numbers are kept in service for a
//! limited time.
//!
//! Reason: a registry that has just restarted, or is cut off from the engines, sends an empty or short list
//! while the engines are still serving; a dispatcher that trusted the list would reject every request.
//! Registries protect the instances that they list in the same way. The thresholds are
//! [`SelfPreservationConfig::max_missing_share`] and [`SelfPreservationConfig::max_missing_count`].
//! Preservation ends after [`SelfPreservationConfig::duration`], or at once when a refused connection
//! confirms that the instance is gone.

use crate::decision::model::Millis;
use std::collections::VecDeque;

/// When missing instances are kept in service, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct SelfPreservationConfig {
    /// Maximum share of the instances in service that may go missing within the duration without
    /// preservation, 0 to 1.
    pub max_missing_share: f64,
    /// Maximum number of instances that may go missing within the duration without preservation. Preservation
    /// needs both limits to be exceeded: in a small fleet, two of three instances may well be removed
    /// together.
    pub max_missing_count: usize,
    /// How long missing instances are kept in service, in milliseconds; 0 disables self-preservation.
    pub duration: Millis,
}

impl Default for SelfPreservationConfig {
    fn default() -> Self {
        SelfPreservationConfig {
            max_missing_share: 0.25,
            max_missing_count: 2,
            duration: 120_000.0,
        }
    }
}

/// Why and until when a missing instance is kept in service. Times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq)]
pub struct Preservation {
    /// When the instance went missing.
    pub since: Millis,
    /// Until when the instance is kept in service.
    pub until: Millis,
    /// Number of instances that went missing within the duration.
    pub missing: usize,
    /// Number of instances that were in service before they went missing.
    pub in_service: usize,
}

/// Instances that went missing at the same time.
#[derive(Clone, Copy, Debug)]
struct Disappearance {
    at: Millis,
    count: usize,
}

/// Maximum number of disappearances that are stored separately; beyond it the oldest two are merged.
const MAX_DISAPPEARANCES: usize = 64;

/// Accepted disappearances within the duration, that is, those whose instances were removed. They count
/// towards the limits of later ones, since a list that shrinks step by step is as suspect as one that shrinks
/// at once.
#[derive(Clone, Debug, Default)]
pub struct DisappearanceHistory {
    /// Accepted disappearances, oldest first; those at the same time are one entry.
    accepted: VecDeque<Disappearance>,
}

impl DisappearanceHistory {
    /// Evaluates the disappearance of `missing` of `in_service` instances. Returns the preservation of the
    /// missing instances, or `None` if the disappearance is accepted; it then counts towards the limits of
    /// later ones.
    pub fn evaluate(
        &mut self,
        config: &SelfPreservationConfig,
        now: Millis,
        missing: usize,
        in_service: usize,
    ) -> Option<Preservation> {
        if missing == 0 || config.duration <= 0.0 {
            return None;
        }
        self.expire(now, config.duration);
        let accepted: usize = self.accepted.iter().map(|past| past.count).sum();
        let total_missing = accepted + missing;
        let total_in_service = accepted + in_service;
        let tolerated = config.max_missing_share * total_in_service as f64;
        if total_missing > config.max_missing_count && total_missing as f64 > tolerated {
            return Some(Preservation {
                since: now,
                until: now + config.duration,
                missing: total_missing,
                in_service: total_in_service,
            });
        }
        self.accept(now, missing);
        None
    }

    fn expire(&mut self, now: Millis, duration: Millis) {
        let expired = |past: &Disappearance| past.at + duration <= now;
        while self.accepted.front().is_some_and(expired) {
            self.accepted.pop_front();
        }
    }

    fn accept(&mut self, now: Millis, count: usize) {
        match self.accepted.back_mut() {
            Some(last) if last.at == now => last.count += count,
            _ => self.accepted.push_back(Disappearance { at: now, count }),
        }
        if self.accepted.len() > MAX_DISAPPEARANCES {
            self.merge_oldest();
        }
    }

    fn merge_oldest(&mut self) {
        if let Some(oldest) = self.accepted.pop_front()
            && let Some(next) = self.accepted.front_mut()
        {
            next.count += oldest.count;
        }
    }
}
