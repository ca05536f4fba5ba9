//! `[pins]`: how long sessions may hold engine connections, and how many.

use super::{ConfigError, bad};
use crate::sticky_sessions::StickySessionLimits;
use serde::Deserialize;

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPins {
    idle_s: Option<f64>,
    longest_s: Option<f64>,
    drain_s: Option<f64>,
    most: Option<usize>,
    most_of_tenant: Option<usize>,
}

impl RawPins {
    /// # Errors
    /// A key is out of its range; the message names it.
    pub fn check(self) -> Result<StickySessionLimits, ConfigError> {
        let seconds =
            |key: &str, v: Option<f64>, default: f64, most: f64| match v.unwrap_or(default) {
                s if s > 0.0 && s <= most => Ok(s * 1000.0),
                s => Err(bad(key, format!("{s} is not above 0 and at most {most}"))),
            };
        let number = |key: &str, v: Option<usize>, default: usize| match v.unwrap_or(default) {
            n if (1..=512).contains(&n) => Ok(n),
            n => Err(bad(key, format!("{n} is not in 1 to 512"))),
        };
        let most = number("pins.most", self.most, 128)?;
        Ok(StickySessionLimits {
            idle_timeout: seconds("pins.idle_s", self.idle_s, 30.0, 3600.0)?,
            max_lifetime: seconds("pins.longest_s", self.longest_s, 300.0, 86_400.0)?,
            drain_timeout: seconds("pins.drain_s", self.drain_s, 5.0, 3600.0)?,
            max_sessions: most,
            max_sessions_per_tenant: number("pins.most_of_tenant", self.most_of_tenant, most)?,
        })
    }
}
