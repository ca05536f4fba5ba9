//! Mass disappearance: when many engines vanish from the lists at once, the list is doubted before the engines
//! are.
//!
//! Reason: a registry that was just restarted, or cut off from the engines, shows an empty or short list while
//! the engines serve on; a dispatcher that believes it turns everybody away. A registry does the same for its own
//! clients (self-preservation). The doubt has a size ([`SelfPreservationConfig::max_missing_share`], [`SelfPreservationConfig::max_missing_count`]), a time
//! ([`SelfPreservationConfig::duration`]) and an end: connections that are refused confirm a disappearance at once.

use crate::decision::model::Millis;
use std::collections::VecDeque;

/// When a disappearance is doubted, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct SelfPreservationConfig {
    /// More than this part of the engines in service must vanish within a span, 0 to 1; ...
    pub max_missing_share: f64,
    /// ... and more than so many: two of three engines may well go together.
    pub max_missing_count: usize,
    /// For so long, in milliseconds, a disappearance is held back; 0: never.
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

/// Why an engine that no list names is kept in service.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    pub since: Millis,
    pub until: Millis,
    /// How many vanished with it, of how many.
    pub vanished: usize,
    pub of: usize,
}

/// Disappearances of late that were let through: a list that shrinks step by step is as doubtful as one that
/// shrinks at once.
#[derive(Clone, Debug, Default)]
pub struct MissingInstances {
    /// Moment and number, oldest first; entries of one moment are one.
    recent: VecDeque<(Millis, usize)>,
}

/// No more moments are told apart; the oldest two become one.
const MOMENTS: usize = 64;

impl MissingInstances {
    /// Some vanish now, of so many in service before: are they to be held? If not, they count from here on.
    pub fn doubt(
        &mut self,
        rules: &SelfPreservationConfig,
        now: Millis,
        vanish: usize,
        serving: usize,
    ) -> Option<Held> {
        if vanish == 0 || rules.duration <= 0.0 {
            return None;
        }
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| *at + rules.duration <= now)
        {
            self.recent.pop_front();
        }
        let before: usize = self.recent.iter().map(|r| r.1).sum();
        let (vanished, of) = (before + vanish, before + serving);
        if vanished > rules.max_missing_count
            && vanished as f64 > rules.max_missing_share * of as f64
        {
            return Some(Held {
                since: now,
                until: now + rules.duration,
                vanished,
                of,
            });
        }
        match self.recent.back_mut() {
            Some((at, n)) if *at == now => *n += vanish,
            _ => self.recent.push_back((now, vanish)),
        }
        if self.recent.len() > MOMENTS
            && let (Some(a), Some(b)) = (self.recent.pop_front(), self.recent.front_mut())
        {
            b.1 += a.1;
        }
        None
    }
}
