//! `[pins]`: limits of the number and duration of sticky sessions, which hold an engine's connection.

use crate::config::checks::in_range;
use crate::config::{ConfigError, Problem};
use crate::decision::model::Millis;
use crate::sticky_sessions::StickySessionLimits;
use serde::Deserialize;

const DEFAULT_IDLE_S: f64 = 30.0;
const MAX_IDLE_S: f64 = 3600.0;
const DEFAULT_LONGEST_S: f64 = 300.0;
const MAX_LONGEST_S: f64 = 86_400.0;
const DEFAULT_DRAIN_S: f64 = 5.0;
const MAX_DRAIN_S: f64 = 3600.0;
const DEFAULT_SESSIONS: usize = 128;
const MAX_SESSIONS: usize = 512;

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawPins {
    idle_s: Option<f64>,
    longest_s: Option<f64>,
    drain_s: Option<f64>,
    most: Option<usize>,
    most_of_tenant: Option<usize>,
}

impl RawPins {
    pub(super) fn check(self) -> Result<StickySessionLimits, ConfigError> {
        let most = check_sessions("pins.most", self.most.unwrap_or(DEFAULT_SESSIONS))?;
        let idle_s = self.idle_s.unwrap_or(DEFAULT_IDLE_S);
        let longest_s = self.longest_s.unwrap_or(DEFAULT_LONGEST_S);
        let drain_s = self.drain_s.unwrap_or(DEFAULT_DRAIN_S);
        let most_of_tenant = self.most_of_tenant.unwrap_or(most);
        Ok(StickySessionLimits {
            idle_timeout: check_seconds("pins.idle_s", idle_s, MAX_IDLE_S)?,
            max_lifetime: check_seconds("pins.longest_s", longest_s, MAX_LONGEST_S)?,
            drain_timeout: check_seconds("pins.drain_s", drain_s, MAX_DRAIN_S)?,
            max_sessions: most,
            max_sessions_per_tenant: check_sessions("pins.most_of_tenant", most_of_tenant)?,
        })
    }
}

fn check_seconds(key: &str, seconds: f64, max: f64) -> Result<Millis, ConfigError> {
    if seconds > 0.0 && seconds <= max {
        return Ok(seconds * 1000.0);
    }
    let value = seconds;
    let problem = Problem::NotPositiveUpTo { value, max };
    Err(ConfigError::invalid(key, problem))
}

fn check_sessions(key: &str, sessions: usize) -> Result<usize, ConfigError> {
    in_range(key, sessions, 1..=MAX_SESSIONS)
}
