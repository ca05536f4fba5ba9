//! Parameters of an emulated engine.

use serde::{Deserialize, Serialize};

/// Parameters of one kind of engine. Durations are in milliseconds and memory in megabytes; work is the
/// time it takes on one thread of an otherwise idle engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Params {
    pub cores: f64,
    /// Speed of a core; 1 is the speed that work is measured at.
    pub speed: f64,
    /// Threads per core past which total throughput falls.
    pub knee: f64,
    /// Fraction of throughput that is lost for each thread per core beyond `knee`.
    pub fall: f64,
    /// Fraction of throughput that remains however many threads run.
    pub floor: f64,
    /// Number of threads that can read or write at full speed at the same time.
    pub disks: f64,
    pub memory_mb: f64,
    /// Maximum number of queries, running and waiting.
    pub sessions: usize,
    /// Factor on the work of a query that gets none of the memory it needs; with a part of the memory, the
    /// factor is interpolated linearly towards 1.
    pub spill: f64,
    /// Memory granted to a query that requests no grant, as a fraction of its need.
    pub own_grant: f64,
    /// Number of table groups that stay warm.
    pub warm_areas: usize,
    /// Fraction of reading that a warm table group saves.
    pub warm_saves: f64,
    /// Fraction of full capacity right after a start; capacity is full after `warm_up_period`.
    #[serde(rename = "cold_from")]
    pub initial_warm_up_capacity: f64,
    /// Length of the slow-start window, in milliseconds.
    #[serde(rename = "warm_within")]
    pub warm_up_period: f64,
    /// An engine that is warming up fails when the work it is sent within `overload_window` exceeds this
    /// multiple of its capacity in that window.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Length of the window over which received work is summed, in milliseconds.
    #[serde(rename = "fall_window")]
    pub overload_window: f64,
    /// Interval between two samples of its load in milliseconds: the maximum age of a load report.
    pub report_every: f64,
    /// Interval between two progress notes on a query, in milliseconds; 0 disables notes.
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

/// A parameter whose value is out of range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct ParamsError {
    pub key: &'static str,
    pub problem: String,
}

impl Params {
    /// Checks that all parameters are in range.
    ///
    /// # Errors
    /// Returns the key of the first parameter that is out of range.
    pub fn check(&self) -> Result<(), ParamsError> {
        let positive = [
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
        let lower_bounded = [
            ("fall", self.fall, 0.0),
            ("spill", self.spill, 1.0),
            ("own_grant", self.own_grant, 0.0),
            ("warm_saves", self.warm_saves, 0.0),
            ("warm_within", self.warm_up_period, 0.0),
            ("report_every", self.report_every, 0.0),
            ("note_every", self.note_every, 0.0),
        ];
        let fractions = [
            ("floor", self.floor),
            ("cold_from", self.initial_warm_up_capacity),
            ("warm_saves", self.warm_saves),
        ];
        let error = |key, problem: String| Err(ParamsError { key, problem });
        for (key, v) in positive {
            if !(v.is_finite() && v > 0.0) {
                return error(key, format!("{v} is not a finite number above 0"));
            }
        }
        for (key, v, min) in lower_bounded {
            if !(v.is_finite() && v >= min) {
                return error(key, format!("{v} is not a finite number of at least {min}"));
            }
        }
        for (key, v) in fractions {
            if v > 1.0 {
                return error(key, format!("{v} is above the maximum of 1"));
            }
        }
        if self.sessions == 0 {
            return error("sessions", "must be at least 1".into());
        }
        Ok(())
    }
}
