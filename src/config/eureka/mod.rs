//! `[eureka]`: servers of the registry, the instances that are requested, and the limits on what they report.

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
use networks::{ServerSyntax, check_networks};
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
/// Number of successive failed polls after which the registry counts as unreachable.
const FAILED_POLLS_UNREACHABLE: f64 = 3.0;
/// Number of servers that one poll requests, if the file lists as many.
const DEFAULT_SERVERS_PER_ROUND: usize = 2;
/// Maximum size of a body, in bytes. A list of 10,000 instances needs about 12 MB.
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
/// Maximum length of a name that is used as a path segment in registry URLs, in bytes.
const MAX_NAME_BYTES: usize = 255;

/// Servers of the registry, and how they are polled.
#[derive(Clone, Debug, PartialEq)]
pub struct EurekaSettings {
    /// Servers of the registry, in the order of the file.
    pub servers: Vec<RegistryServer>,
    /// Instances that are requested.
    pub query: RegistryQuery,
    /// Further regions whose instances are requested.
    pub remote_regions: Vec<String>,
    /// Zone of this dispatcher: servers in it are preferred.
    pub zone: Option<String>,
    /// Time between two polls.
    pub poll_interval: Duration,
    /// Timeout of a complete exchange with a server.
    pub request_timeout: Duration,
    /// Number of servers that one poll requests.
    pub servers_per_round: usize,
    /// Format of the responses.
    pub format: PayloadFormat,
    /// Maximum size of a body, both compressed and decompressed, in bytes.
    pub max_body_bytes: usize,
    /// Rules that admit instances and remove them.
    pub rules: MembershipConfig,
    /// Registration of this dispatcher, by which clients find it; `None` if it is not registered.
    pub registration: Option<InstanceRegistration>,
}

impl EurekaSettings {
    /// Returns the names of the servers as operators see them, without credentials.
    pub fn names(&self) -> Vec<String> {
        self.servers.iter().map(|s| s.name.clone()).collect()
    }
}

/// Format of a registry's responses.
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
    /// Older syntax for a single server, with `path`.
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
    /// Validates the section. `listen` is the address that clients connect to, which is registered by
    /// default; `zone` is the zone of this dispatcher.
    pub(super) fn check(
        self,
        listen: SocketAddr,
        zone: Option<String>,
    ) -> Result<EurekaSettings, ConfigError> {
        let syntax = match self.address {
            Some(_) => ServerSyntax::Address,
            None => ServerSyntax::Servers,
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
        let networks = check_networks(self.networks, syntax)?;
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

/// Time without a response after which the registry counts as unreachable, in ms: the failed polls, the last
/// of which runs into its timeout.
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

/// Returns the interval in seconds.
fn check_poll_interval(configured: Option<f64>) -> Result<f64, ConfigError> {
    let seconds = configured.unwrap_or(DEFAULT_POLL_INTERVAL_S);
    in_range("eureka.period_s", seconds, POLL_INTERVAL_S)
}

/// Returns the timeout in milliseconds.
fn check_request_timeout(configured: Option<f64>) -> Result<Millis, ConfigError> {
    let millis = configured.unwrap_or(DEFAULT_REQUEST_TIMEOUT_MS);
    in_range("eureka.timeout_ms", millis, REQUEST_TIMEOUT_MS)
}

/// Returns how long an instance is kept after no server lists it any more, in ms.
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
    let per_round = configured.unwrap_or(DEFAULT_SERVERS_PER_ROUND.min(servers));
    in_range("eureka.ask", per_round, 1..=servers)
}

fn check_max_body(configured: Option<usize>) -> Result<usize, ConfigError> {
    let bytes = configured.unwrap_or(DEFAULT_MAX_BODY_BYTES);
    in_range("eureka.max_body", bytes, MAX_BODY_BYTES)
}

/// Returns a name that can be used as a path segment in registry URLs.
fn check_name(key: &str, text: &str) -> Result<String, ConfigError> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.:@".contains(c);
    let text = text.to_string();
    if !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_plain) {
        Ok(text)
    } else {
        Err(ConfigError::invalid(key, Problem::RegistryName { text }))
    }
}
