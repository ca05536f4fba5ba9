//! `[eureka]`: the registry's servers, what is requested of them, and which of their answers are trusted.

mod networks;
mod query;
mod registration;
mod servers;

pub use query::RegistryQuery;
pub use registration::InstanceRegistration;
pub use servers::RegistryServer;

use crate::config::checks::in_range;
use crate::config::{ConfigError, Problem};
use crate::decision::model::Millis;
use crate::membership::{MembershipConfig, SelfPreservationConfig};
use networks::{Form, check_networks};
use query::RawQuery;
use registration::RawRegister;
use serde::Deserialize;
use servers::{RawServer, RawServers};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

const DEFAULT_POLL_INTERVAL_S: f64 = 5.0;
const POLL_INTERVAL_S: RangeInclusive<f64> = 0.05..=300.0;
const DEFAULT_REQUEST_TIMEOUT_MS: f64 = 5000.0;
const REQUEST_TIMEOUT_MS: RangeInclusive<f64> = 50.0..=60_000.0;
/// A registry whose polls fail this often in a row is unreachable.
const FAILED_POLLS_UNREACHABLE: f64 = 3.0;
/// Servers that one poll asks, if the file lists as many.
const DEFAULT_SERVERS_PER_ROUND: usize = 2;
/// 10,000 instances need about 12 MB.
const DEFAULT_MAX_BODY_BYTES: usize = 32 << 20;
const MAX_BODY_BYTES: RangeInclusive<usize> = 1 << 10..=1 << 28;
const DEFAULT_MISSING_GRACE_S: f64 = 60.0;
const MISSING_GRACE_S: RangeInclusive<f64> = 0.0..=3600.0;
const DEFAULT_MAX_ENGINES: usize = 20_000;
const MAX_ENGINES: RangeInclusive<usize> = 1..=100_000;
const DEFAULT_SELF_PRESERVATION_SHARE: f64 = 0.25;
const DEFAULT_SELF_PRESERVATION_ENGINES: usize = 2;
const DEFAULT_SELF_PRESERVATION_S: f64 = 120.0;
const SELF_PRESERVATION_S: RangeInclusive<f64> = 0.0..=86_400.0;
/// The longest name that becomes a segment of a registry's path.
const MAX_NAME_BYTES: usize = 255;

/// The registry's servers, and how they are polled.
#[derive(Clone, Debug, PartialEq)]
pub struct EurekaSettings {
    /// In the order of the file.
    pub servers: Vec<RegistryServer>,
    /// Which instances are requested.
    pub query: RegistryQuery,
    /// Further regions whose instances are requested.
    pub remote_regions: Vec<String>,
    /// This dispatcher's zone: servers in it come first.
    pub zone: Option<String>,
    /// Between two polls.
    pub poll_interval: Duration,
    /// For a whole exchange with a server.
    pub request_timeout: Duration,
    /// Servers that one poll asks.
    pub servers_per_round: usize,
    /// The form of the answers.
    pub format: PayloadFormat,
    /// The longest body, as sent and as unpacked, in bytes.
    pub max_body_bytes: usize,
    /// Which instances are admitted, and when they are dropped.
    pub rules: MembershipConfig,
    /// Registers this dispatcher, so that clients find it; `None`: it is not registered.
    pub registration: Option<InstanceRegistration>,
}

impl EurekaSettings {
    /// The names of the servers, as operators see them.
    pub fn names(&self) -> Vec<String> {
        self.servers.iter().map(|s| s.name.clone()).collect()
    }
}

/// The form of a registry's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PayloadFormat {
    /// JSON.
    #[default]
    Json,
    /// XML.
    Xml,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawEureka {
    /// The earlier form: one server by address and path.
    address: Option<String>,
    path: Option<String>,
    servers: Option<Vec<RawServer>>,
    app: Option<String>,
    vip: Option<String>,
    secure_vip: Option<String>,
    fetch: Option<String>,
    #[serde(default)]
    regions: Vec<String>,
    period_s: Option<f64>,
    timeout_ms: Option<f64>,
    ask: Option<usize>,
    #[serde(default)]
    format: PayloadFormat,
    max_body: Option<usize>,
    networks: Option<Vec<String>>,
    patience_s: Option<f64>,
    max_engines: Option<usize>,
    #[serde(default)]
    hold: RawHold,
    register: Option<RawRegister>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawHold {
    share: Option<f64>,
    least: Option<usize>,
    for_s: Option<f64>,
}

impl RawEureka {
    /// `listen` is where clients connect, which is what is registered; `zone` is this dispatcher's.
    pub(super) fn check(
        self,
        listen: SocketAddr,
        zone: Option<String>,
    ) -> Result<EurekaSettings, ConfigError> {
        let form = match self.address {
            Some(_) => Form::Address,
            None => Form::Servers,
        };
        let servers = RawServers {
            address: self.address,
            path: self.path,
            servers: self.servers,
        };
        let servers = servers.check()?;
        let query = RawQuery {
            app: self.app,
            vip: self.vip,
            secure_vip: self.secure_vip,
            fetch: self.fetch,
        };
        let query = query.check()?;
        let remote_regions = check_regions(self.regions)?;
        let networks = check_networks(self.networks, form)?;
        let poll_interval_s = check_poll_interval(self.period_s)?;
        let request_timeout_ms = check_request_timeout(self.timeout_ms)?;
        let rules = MembershipConfig {
            networks,
            unreachable_after: unreachable_after(poll_interval_s, request_timeout_ms),
            missing_grace: check_missing_grace(self.patience_s)?,
            max_instances: check_max_engines(self.max_engines)?,
            self_preservation: self.hold.check()?,
            ..MembershipConfig::default()
        };
        Ok(EurekaSettings {
            query,
            remote_regions,
            zone,
            poll_interval: Duration::from_secs_f64(poll_interval_s),
            request_timeout: Duration::from_secs_f64(request_timeout_ms / 1000.0),
            servers_per_round: check_servers_per_round(self.ask, servers.len())?,
            servers,
            format: self.format,
            max_body_bytes: check_max_body(self.max_body)?,
            rules,
            registration: self.register.map(|r| r.check(listen)).transpose()?,
        })
    }
}

impl RawHold {
    fn check(self) -> Result<SelfPreservationConfig, ConfigError> {
        let share = self.share.unwrap_or(DEFAULT_SELF_PRESERVATION_SHARE);
        let seconds = self.for_s.unwrap_or(DEFAULT_SELF_PRESERVATION_S);
        Ok(SelfPreservationConfig {
            max_missing_share: in_range("eureka.hold.share", share, 0.0..=1.0)?,
            max_missing_count: self.least.unwrap_or(DEFAULT_SELF_PRESERVATION_ENGINES),
            duration: 1000.0 * in_range("eureka.hold.for_s", seconds, SELF_PRESERVATION_S)?,
        })
    }
}

/// Polls that fail, the last of which takes its whole time.
fn unreachable_after(poll_interval_s: f64, request_timeout_ms: f64) -> Millis {
    FAILED_POLLS_UNREACHABLE * 1000.0 * poll_interval_s + request_timeout_ms
}

fn check_regions(configured: Vec<String>) -> Result<Vec<String>, ConfigError> {
    let mut regions = Vec::with_capacity(configured.len());
    for (index, region) in configured.iter().enumerate() {
        regions.push(check_name(&format!("eureka.regions[{index}]"), region)?);
    }
    Ok(regions)
}

/// In seconds.
fn check_poll_interval(configured: Option<f64>) -> Result<f64, ConfigError> {
    let seconds = configured.unwrap_or(DEFAULT_POLL_INTERVAL_S);
    in_range("eureka.period_s", seconds, POLL_INTERVAL_S)
}

/// In milliseconds.
fn check_request_timeout(configured: Option<f64>) -> Result<Millis, ConfigError> {
    let millis = configured.unwrap_or(DEFAULT_REQUEST_TIMEOUT_MS);
    in_range("eureka.timeout_ms", millis, REQUEST_TIMEOUT_MS)
}

/// How long an instance that no server lists any more stays.
fn check_missing_grace(configured: Option<f64>) -> Result<Millis, ConfigError> {
    let seconds = configured.unwrap_or(DEFAULT_MISSING_GRACE_S);
    Ok(1000.0 * in_range("eureka.patience_s", seconds, MISSING_GRACE_S)?)
}

fn check_max_engines(configured: Option<usize>) -> Result<usize, ConfigError> {
    let engines = configured.unwrap_or(DEFAULT_MAX_ENGINES);
    in_range("eureka.max_engines", engines, MAX_ENGINES)
}

fn check_servers_per_round(
    configured: Option<usize>,
    servers: usize,
) -> Result<usize, ConfigError> {
    let asked = configured.unwrap_or(DEFAULT_SERVERS_PER_ROUND.min(servers));
    in_range("eureka.ask", asked, 1..=servers)
}

fn check_max_body(configured: Option<usize>) -> Result<usize, ConfigError> {
    let bytes = configured.unwrap_or(DEFAULT_MAX_BODY_BYTES);
    in_range("eureka.max_body", bytes, MAX_BODY_BYTES)
}

/// A name that becomes a segment of a registry's path.
fn check_name(key: &str, text: &str) -> Result<String, ConfigError> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.:@".contains(c);
    let text = text.to_string();
    if !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_plain) {
        Ok(text)
    } else {
        Err(ConfigError::invalid(key, Problem::RegistryName { text }))
    }
}
