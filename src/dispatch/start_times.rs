//! When engines started, as far as other machines' wall clocks can tell.
//!
//! Discovery tells an engine's start as a Unix time of another machine. Neither that clock nor this machine's is known to be
//! right: both may be stepped, before this process began or since. An engine that is taken for older than it is gets more
//! than it bears, so its age is what two wrong clocks leave certain: it counts as started when its start was first heard of,
//! unless the start is longer ago than any clock error, or a peer has known of it for longer. Peers are requested a few times
//! for each start: their ages are spans of real time.

use crate::decision::model::{EngineState, ListUpdate, Millis};
use crate::gossip::{EngineAge, MAX_STARTS_PER_MESSAGE, StartId};
use crate::membership::Change;
use std::collections::{HashMap, HashSet};

/// The wall clocks of two machines differ by at most this: each may be off by an hour.
const MAX_CLOCK_ERROR_MS: Millis = 7_200_000.0;

/// Times after which peers are requested for the age of a start, each after the one before, in ms: the first may have been
/// requested when it did not know the start either.
const REQUEST_DELAYS_MS: [Millis; 3] = [0.0, 500.0, 2000.0];

/// The time on both clocks of this process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Now {
    /// The time that the process goes by.
    pub(super) process_ms: Millis,
    /// The wall clock's Unix time.
    pub(super) wall_clock_ms: Millis,
}

/// When an engine started, on the clock of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct StartTime {
    /// If both wall clocks are right: which connections lead to the present process depends on it.
    pub(super) estimate: Millis,
    /// The latest time that wrong clocks leave possible: how much the engine bears depends on it.
    pub(super) latest: Millis,
}

/// One start of an engine.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// As discovery tells it: it identifies the start.
    told: Millis,
    id: StartId,
    time: StartTime,
    /// Questions to peers that have been requested.
    requests: usize,
    /// When the next one is due, if there is one.
    next_request_at: Millis,
}

impl Start {
    fn is_unresolved(&self) -> bool {
        self.requests < REQUEST_DELAYS_MS.len()
    }

    fn is_request_due(&self, now: Millis) -> bool {
        self.is_unresolved() && now >= self.next_request_at
    }

    fn record_request(&mut self, now: Millis) {
        self.requests += 1;
        let delay = REQUEST_DELAYS_MS.get(self.requests);
        self.next_request_at = now + delay.copied().unwrap_or(f64::INFINITY);
    }
}

/// The starts of all listed engines.
#[derive(Debug, Default)]
pub(super) struct StartTimes {
    by_engine: HashMap<String, Start>,
    /// The engines by the starts that are meant among peers.
    engines: HashMap<StartId, String>,
    /// Some start may have a request left.
    has_unresolved: bool,
}

impl StartTimes {
    /// When this start was, on the clock of the process. The same start keeps its time.
    pub(super) fn locate(&mut self, now: Now, engine: &str, told: Millis) -> StartTime {
        let known = self.by_engine.get(engine);
        if let Some(start) = known.filter(|start| start.told == told) {
            return start.time;
        }
        let apparent_age = now.wall_clock_ms - told;
        let time = StartTime {
            estimate: now.process_ms - apparent_age.max(0.0),
            latest: now.process_ms - (apparent_age - MAX_CLOCK_ERROR_MS).max(0.0),
        };
        self.insert(
            engine,
            Start {
                told,
                id: StartId::new(engine, told),
                time,
                requests: 0,
                next_request_at: now.process_ms + REQUEST_DELAYS_MS[0],
            },
        );
        time
    }

    fn insert(&mut self, engine: &str, start: Start) {
        if let Some(replaced) = self.by_engine.insert(engine.to_string(), start) {
            self.engines.remove(&replaced.id);
        }
        self.engines.insert(start.id, engine.to_string());
        self.has_unresolved = true;
    }

    /// Starts whose ages a peer is to be asked for now, one message's worth.
    pub(super) fn due_requests(&mut self, now: Millis) -> Vec<StartId> {
        if !self.has_unresolved {
            return vec![];
        }
        let starts = self.by_engine.values_mut();
        let due = starts.filter(|start| start.is_request_due(now));
        let mut requested = vec![];
        for start in due.take(MAX_STARTS_PER_MESSAGE) {
            start.record_request(now);
            requested.push(start.id);
        }
        self.has_unresolved = self.by_engine.values().any(Start::is_unresolved);
        requested
    }

    /// How old these are at least, as far as they are known here.
    pub(super) fn ages(&self, now: Millis, requested: &[StartId]) -> Vec<EngineAge> {
        let known = requested.iter().filter_map(|id| {
            let start = self.by_engine.get(self.engines.get(id)?)?;
            Some(EngineAge {
                start: *id,
                min_age: now - start.time.latest,
            })
        });
        known.collect()
    }

    /// Takes over a peer's word that an engine is older than is known here: the engine, and the latest time of its start.
    pub(super) fn learn(&mut self, now: Millis, age: EngineAge) -> Option<(&str, Millis)> {
        let engine = self.engines.get(&age.start)?;
        let start = self.by_engine.get_mut(engine)?;
        let latest = now - age.min_age;
        if latest >= start.time.latest {
            return None;
        }
        start.time.latest = latest;
        Some((engine, latest))
    }

    /// Forgets the engines that a change removes.
    pub(super) fn forget_removed(&mut self, change: &Change) {
        if change.update != ListUpdate::Patch {
            let listed: HashSet<&str> = change.engines.iter().map(|e| e.id.as_str()).collect();
            self.by_engine.retain(|id, _| listed.contains(id.as_str()));
            self.engines
                .retain(|_, engine| listed.contains(engine.as_str()));
        }
        for engine in &change.engines {
            if engine.state == EngineState::Gone
                && let Some(start) = self.by_engine.remove(&engine.id)
            {
                self.engines.remove(&start.id);
            }
        }
    }
}

#[cfg(test)]
mod tests;
