//! Self-preservation: when many instances disappear from the lists at once, the lists are doubted before the
//! instances are.
//!
//! Reason: a registry that was just restarted, or cut off from the engines, shows an empty or short list while the
//! engines go on serving; a dispatcher that believes it rejects every request. A registry does the same for its own
//! clients. The protection has a size ([`SelfPreservationConfig::max_missing_share`],
//! [`SelfPreservationConfig::max_missing_count`]), a duration ([`SelfPreservationConfig::duration`]) and an end:
//! connections that are refused confirm a disappearance at once.

use crate::decision::model::Millis;
use std::collections::VecDeque;

/// When a disappearance is not believed, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct SelfPreservationConfig {
    /// More than this part of the instances in service must go missing within the duration, 0 to 1, ...
    pub max_missing_share: f64,
    /// ... and more than so many: two of three instances may well be removed together.
    pub max_missing_count: usize,
    /// How long missing instances are kept in service, in milliseconds; 0: never.
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

/// Why and how long a missing instance is kept in service.
#[derive(Clone, Debug, PartialEq)]
pub struct Preservation {
    /// When it went missing.
    pub since: Millis,
    /// Until when it is kept in service.
    pub until: Millis,
    /// Instances that went missing within the duration ...
    pub missing: usize,
    /// ... of so many that were in service.
    pub in_service: usize,
}

/// Instances that went missing at one time.
#[derive(Clone, Copy, Debug)]
struct Disappearance {
    at: Millis,
    count: usize,
}

/// Disappearances are told apart up to so many; the oldest two become one.
const MAX_DISAPPEARANCES: usize = 64;

/// Disappearances within the duration that were believed: a list that shrinks step by step is as doubtful as one that
/// shrinks at once.
#[derive(Clone, Debug, Default)]
pub struct DisappearanceHistory {
    /// Oldest first; those of one time are one.
    believed: VecDeque<Disappearance>,
}

impl DisappearanceHistory {
    /// `missing` instances disappear now of `in_service` before. Returns how they are to be kept in service, or none
    /// if the disappearance is believed: it counts for later ones then.
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
        let believed: usize = self.believed.iter().map(|past| past.count).sum();
        let total_missing = believed + missing;
        let total_in_service = believed + in_service;
        let tolerated = config.max_missing_share * total_in_service as f64;
        if total_missing > config.max_missing_count && total_missing as f64 > tolerated {
            return Some(Preservation {
                since: now,
                until: now + config.duration,
                missing: total_missing,
                in_service: total_in_service,
            });
        }
        self.believe(now, missing);
        None
    }

    fn expire(&mut self, now: Millis, duration: Millis) {
        let expired = |past: &Disappearance| past.at + duration <= now;
        while self.believed.front().is_some_and(expired) {
            self.believed.pop_front();
        }
    }

    fn believe(&mut self, now: Millis, count: usize) {
        match self.believed.back_mut() {
            Some(last) if last.at == now => last.count += count,
            _ => self.believed.push_back(Disappearance { at: now, count }),
        }
        if self.believed.len() > MAX_DISAPPEARANCES {
            self.merge_oldest();
        }
    }

    fn merge_oldest(&mut self) {
        if let Some(oldest) = self.believed.pop_front()
            && let Some(next) = self.believed.front_mut()
        {
            next.count += oldest.count;
        }
    }
}
