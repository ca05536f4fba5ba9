//! `eureka.register`: registration of this dispatcher as an instance in the registry.

use crate::config::checks::in_range;
use crate::config::eureka::check_name;
use crate::config::{ConfigError, Problem};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

const DEFAULT_APPLICATION: &str = "HITCHWINCH";
const MAX_METADATA_ENTRIES: usize = 64;
/// Maximum size of all keys and values together, in bytes.
const MAX_METADATA_BYTES: usize = 8192;
const DEFAULT_RENEWAL_INTERVAL_S: f64 = 30.0;
const MIN_RENEWAL_INTERVAL_S: f64 = 0.05;
const MAX_RENEWAL_INTERVAL_S: f64 = 3600.0;
/// Duration of a lease in renewal intervals, unless `lease_s` is given: a lease survives two failed renewals.
const DEFAULT_RENEWALS_PER_LEASE: f64 = 3.0;
const MAX_LEASE_S: f64 = 86_400.0;

/// The instance that this dispatcher registers.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceRegistration {
    /// Name of the application, in upper case.
    pub app: String,
    /// Name of the instance, unique within the application.
    pub instance_id: String,
    /// Host that clients connect to.
    pub host: String,
    /// IP address that clients connect to.
    pub ip: IpAddr,
    /// Port that clients connect to.
    pub port: u16,
    /// Virtual IP address: a name by which clients look up the instance.
    pub vip_address: String,
    /// Further entries for clients.
    pub metadata: BTreeMap<String, String>,
    /// Time between two renewals of the lease.
    pub renewal_interval: Duration,
    /// Time after which the registry evicts an instance whose lease was not renewed.
    pub lease_duration: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawRegister {
    app: Option<String>,
    instance_id: Option<String>,
    host: Option<String>,
    ip: Option<IpAddr>,
    port: Option<u16>,
    vip: Option<String>,
    #[serde(default)]
    metadata: BTreeMap<String, String>,
    renew_s: Option<f64>,
    lease_s: Option<f64>,
}

impl RawRegister {
    /// Validates the section. `listen` is the address that clients connect to; it is registered unless the
    /// keys name another address.
    pub(super) fn check(self, listen: SocketAddr) -> Result<InstanceRegistration, ConfigError> {
        let ip = self.ip.unwrap_or(listen.ip());
        if ip.is_unspecified() {
            return Err(ConfigError::combination(
                "eureka.register.ip",
                "is required, because listen has an unspecified address",
            ));
        }
        let app = self.app.as_deref().unwrap_or(DEFAULT_APPLICATION);
        let app = check_name("eureka.register.app", app)?.to_uppercase();
        let port = self.port.unwrap_or(listen.port());
        let default_id = format!("{ip}:{}:{port}", app.to_lowercase());
        let instance_id = self.instance_id.unwrap_or(default_id);
        let instance_id = check_name("eureka.register.instance_id", &instance_id)?;
        check_metadata(&self.metadata)?;
        let (renewal_interval, lease_duration) = check_lease(self.renew_s, self.lease_s)?;
        let host = self.host.unwrap_or_else(|| ip.to_string());
        let vip_address = self.vip.unwrap_or_else(|| app.to_lowercase());
        Ok(InstanceRegistration {
            host: check_name("eureka.register.host", &host)?,
            vip_address: check_name("eureka.register.vip", &vip_address)?,
            app,
            instance_id,
            ip,
            port,
            metadata: self.metadata,
            renewal_interval,
            lease_duration,
        })
    }
}

fn check_metadata(metadata: &BTreeMap<String, String>) -> Result<(), ConfigError> {
    let entries = metadata.iter();
    let bytes: usize = entries.map(|(key, value)| key.len() + value.len()).sum();
    if metadata.len() > MAX_METADATA_ENTRIES || bytes > MAX_METADATA_BYTES {
        let problem = Problem::MetadataSize {
            max_entries: MAX_METADATA_ENTRIES,
            max_bytes: MAX_METADATA_BYTES,
        };
        return Err(ConfigError::invalid("eureka.register.metadata", problem));
    }
    for key in metadata.keys() {
        check_name(&format!("eureka.register.metadata.{key}"), key)?;
    }
    Ok(())
}

/// Returns the interval of renewals and the duration of the lease.
fn check_lease(
    renew_s: Option<f64>,
    lease_s: Option<f64>,
) -> Result<(Duration, Duration), ConfigError> {
    let interval = in_range(
        "eureka.register.renew_s",
        renew_s.unwrap_or(DEFAULT_RENEWAL_INTERVAL_S),
        MIN_RENEWAL_INTERVAL_S..=MAX_RENEWAL_INTERVAL_S,
    )?;
    let duration = in_range(
        "eureka.register.lease_s",
        lease_s.unwrap_or(DEFAULT_RENEWALS_PER_LEASE * interval),
        interval..=MAX_LEASE_S,
    )?;
    Ok((
        Duration::from_secs_f64(interval),
        Duration::from_secs_f64(duration),
    ))
}
