//! What an engine is like.

use serde::{Deserialize, Serialize};

/// One kind of engine. Spans in milliseconds, memory in megabytes; work is time on one thread of a free engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Params {
    pub cores: f64,
    /// Of a core, beside the yardstick's 1.
    pub speed: f64,
    /// Threads a core past which total work falls, ...
    pub knee: f64,
    /// ... by this part for each thread a core beyond, ...
    pub fall: f64,
    /// ... down to this part.
    pub floor: f64,
    /// Threads that read or write at full speed at a time.
    pub disks: f64,
    pub memory_mb: f64,
    /// Queries that it holds at most, running and waiting.
    pub sessions: usize,
    /// A query without any of the memory that it needs does so many times its work; with a part of it, in between.
    pub spill: f64,
    /// What a query gets that names no grant, as a part of its need.
    pub own_grant: f64,
    /// Areas that stay warm, and the part of reading that this saves.
    pub warm_areas: usize,
    pub warm_saves: f64,
    /// Right after its start it does this part of its work, and all of it after `warm_up_period`.
    #[serde(rename = "cold_from")]
    pub initial_warm_up_capacity: f64,
    #[serde(rename = "warm_within")]
    pub warm_up_period: f64,
    /// Sent more than so many times what it can do within `overload_window`, while it is cold, it falls over.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    #[serde(rename = "fall_window")]
    pub overload_window: f64,
    /// Between two looks at itself: what it reports is so old at most.
    pub report_every: f64,
    /// Between two notes on a query; 0: none.
    pub note_every: f64,
}

impl Default for Params {
    fn default() -> Self {
        Params {
            cores: 8.0,
            speed: 1.0,
            knee: 1.75,
            fall: 0.25,
            floor: 0.3,
            disks: 10.0,
            memory_mb: 16_384.0,
            sessions: 64,
            spill: 2.5,
            own_grant: 1.0,
            warm_areas: 4,
            warm_saves: 0.5,
            initial_warm_up_capacity: 0.3,
            warm_up_period: 15_000.0,
            overload_multiple: 4.0,
            overload_window: 2_000.0,
            report_every: 500.0,
            note_every: 500.0,
        }
    }
}

/// A parameter that cannot be.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct ParamsError {
    pub key: &'static str,
    pub problem: String,
}

impl Params {
    /// # Errors
    /// The first parameter that is impossible, by name.
    pub fn check(&self) -> Result<(), ParamsError> {
        let above = [
            ("cores", self.cores),
            ("speed", self.speed),
            ("knee", self.knee),
            ("floor", self.floor),
            ("disks", self.disks),
            ("memory_mb", self.memory_mb),
            ("cold_from", self.initial_warm_up_capacity),
            ("fall_multiple", self.overload_multiple),
            ("fall_window", self.overload_window),
        ];
        let not_below = [
            ("fall", self.fall, 0.0),
            ("spill", self.spill, 1.0),
            ("own_grant", self.own_grant, 0.0),
            ("warm_saves", self.warm_saves, 0.0),
            ("warm_within", self.warm_up_period, 0.0),
            ("report_every", self.report_every, 0.0),
            ("note_every", self.note_every, 0.0),
        ];
        let parts = [
            ("floor", self.floor),
            ("cold_from", self.initial_warm_up_capacity),
            ("warm_saves", self.warm_saves),
        ];
        let bad = |key, problem: String| Err(ParamsError { key, problem });
        for (key, v) in above {
            if !(v.is_finite() && v > 0.0) {
                return bad(key, format!("{v} is not above 0"));
            }
        }
        for (key, v, least) in not_below {
            if !(v.is_finite() && v >= least) {
                return bad(key, format!("{v} is below {least}"));
            }
        }
        for (key, v) in parts {
            if v > 1.0 {
                return bad(key, format!("{v} is above 1"));
            }
        }
        if self.sessions == 0 {
            return bad("sessions", "must be at least 1".into());
        }
        Ok(())
    }
}
