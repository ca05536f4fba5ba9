//! Start times of engines, allowing for errors of the wall clocks that they come from.
//!
//! Discovery reports an engine's start as a Unix time of another machine. Neither that machine's clock nor
//! the local one can be relied on: both may be stepped, before or after the start of this process. An engine
//! whose age is overestimated gets more load than it sustains, so only the age that is certain despite two
//! wrong clocks is used: an engine counts as started when its start was first reported here, unless the
//! reported start is longer ago than any clock error, or a peer has known of the start for longer. Peers are
//! polled a few times for each start: the ages that they report are spans of real time, which clock errors do
//! not change.

use crate::decision::model::{EngineState, ListUpdate, Millis};
use crate::gossip::{EngineAge, MAX_STARTS_PER_MESSAGE, StartId};
use crate::membership::EndpointListChange;
use std::collections::{HashMap, HashSet};

/// Maximum difference between the wall clocks of two machines, in milliseconds: each may be off by an hour.
const MAX_CLOCK_ERROR_MS: Millis = 7_200_000.0;

/// Delays between the requests to peers for the age of a start, in milliseconds, each after the previous
/// request. There are several because the first peer may not have known the start yet.
const REQUEST_DELAYS_MS: [Millis; 3] = [0.0, 500.0, 2000.0];

/// A reading of the process clock and the wall clock at the same time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    /// Time on the process clock, in milliseconds.
    pub(super) process_ms: Millis,
    /// Unix time of the wall clock, in milliseconds.
    pub(super) wall_clock_ms: Millis,
}

/// The start of an engine, in milliseconds on the process clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct StartTime {
    /// Start time if both wall clocks are right. It determines which connections lead to the engine's present
    /// process.
    pub(super) estimate: Millis,
    /// Latest start time that is possible with wrong clocks. It determines how much load the engine sustains.
    pub(super) latest: Millis,
}

/// A start of an engine, and the state of the requests to peers for its age.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// Start time as reported by discovery, in milliseconds of Unix time. It identifies the start.
    reported: Millis,
    id: StartId,
    time: StartTime,
    /// Number of requests sent to peers.
    requests_sent: usize,
    /// Time at which the next request is due, on the process clock; infinite if there is none.
    next_request_at: Millis,
}

impl Start {
    fn has_requests_left(&self) -> bool {
        self.requests_sent < REQUEST_DELAYS_MS.len()
    }

    fn is_request_due(&self, now: Millis) -> bool {
        self.has_requests_left() && now >= self.next_request_at
    }

    fn record_request(&mut self, now: Millis) {
        self.requests_sent += 1;
        let delay = REQUEST_DELAYS_MS.get(self.requests_sent);
        self.next_request_at = now + delay.copied().unwrap_or(f64::INFINITY);
    }
}

/// The latest starts of all listed engines.
#[derive(Debug, Default)]
pub(super) struct StartTimes {
    by_engine: HashMap<String, Start>,
    /// Engine ids by the start ids that gossip uses.
    engines: HashMap<StartId, String>,
    /// Whether any start may have requests to peers left.
    has_requests_left: bool,
}

impl StartTimes {
    /// Records the start time of an engine that discovery reports, and returns it on the process clock. A
    /// start that has been recorded before keeps its time.
    pub(super) fn record_start(
        &mut self,
        now: ClockReading,
        engine: &str,
        reported: Millis,
    ) -> StartTime {
        let known = self.by_engine.get(engine);
        if let Some(start) = known.filter(|start| start.reported == reported) {
            return start.time;
        }
        let apparent_age = now.wall_clock_ms - reported;
        let time = StartTime {
            estimate: now.process_ms - apparent_age.max(0.0),
            latest: now.process_ms - (apparent_age - MAX_CLOCK_ERROR_MS).max(0.0),
        };
        self.insert(
            engine,
            Start {
                reported,
                id: StartId::new(engine, reported),
                time,
                requests_sent: 0,
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
        self.has_requests_left = true;
    }

    /// Returns the starts whose ages are to be requested from a peer now, at most as many as fit in one
    /// message, and counts the requests as sent.
    pub(super) fn due_requests(&mut self, now: Millis) -> Vec<StartId> {
        if !self.has_requests_left {
            return vec![];
        }
        let starts = self.by_engine.values_mut();
        let due = starts.filter(|start| start.is_request_due(now));
        let mut requested = vec![];
        for start in due.take(MAX_STARTS_PER_MESSAGE) {
            start.record_request(now);
            requested.push(start.id);
        }
        self.has_requests_left = self.by_engine.values().any(Start::has_requests_left);
        requested
    }

    /// Returns the minimum ages of those of the requested starts that are known here.
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

    /// Applies the minimum age of a start that a peer reports. If it is older than known here, returns the
    /// engine and the new latest possible start time.
    pub(super) fn apply_peer_age(&mut self, now: Millis, age: EngineAge) -> Option<(&str, Millis)> {
        let engine = self.engines.get(&age.start)?;
        let start = self.by_engine.get_mut(engine)?;
        let latest = now - age.min_age;
        if latest >= start.time.latest {
            return None;
        }
        start.time.latest = latest;
        Some((engine, latest))
    }

    /// Removes the engines that a change no longer lists.
    pub(super) fn remove_unlisted(&mut self, change: &EndpointListChange) {
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
