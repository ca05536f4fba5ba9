//! `eureka.app`, `eureka.vip`, `eureka.secure_vip` and `eureka.fetch`: instances that are requested from a
//! registry.

use crate::config::eureka::check_name;
use crate::config::{ConfigError, Problem};

/// Instances that are requested from a registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryQuery {
    /// Requests `/apps` and its deltas; the engines are the instances of this application.
    AllApplications(String),
    /// Requests `/apps/{app}` alone, which transfers less if the registry holds many applications.
    Application(String),
    /// Requests `/vips/{vip}`.
    VipAddress(String),
    /// Requests `/svips/{vip}`; the secure ports of the instances are used.
    SecureVipAddress(String),
}

/// Keys that select instances.
pub(super) struct RawQuery {
    pub(super) app: Option<String>,
    pub(super) vip: Option<String>,
    pub(super) secure_vip: Option<String>,
    pub(super) fetch: Option<String>,
}

impl RawQuery {
    pub(super) fn check(self) -> Result<RegistryQuery, ConfigError> {
        match (self.app, self.vip, self.secure_vip, self.fetch.as_deref()) {
            (Some(app), None, None, None | Some("apps")) => {
                check_name("eureka.app", &app).map(RegistryQuery::AllApplications)
            }
            (Some(app), None, None, Some("app")) => {
                check_name("eureka.app", &app).map(RegistryQuery::Application)
            }
            (None, Some(vip), None, None) => {
                check_name("eureka.vip", &vip).map(RegistryQuery::VipAddress)
            }
            (None, None, Some(vip), None) => {
                check_name("eureka.secure_vip", &vip).map(RegistryQuery::SecureVipAddress)
            }
            (_, _, _, Some(fetch)) if !["apps", "app"].contains(&fetch) => {
                let problem = Problem::UnknownValue {
                    text: fetch.into(),
                    expected: "\"apps\" or \"app\"",
                };
                Err(ConfigError::invalid("eureka.fetch", problem))
            }
            (None, _, _, Some(_)) => Err(ConfigError::combination(
                "eureka.fetch",
                "requires eureka.app",
            )),
            _ => Err(ConfigError::combination(
                "eureka.app",
                "exactly one of app, vip and secure_vip is required",
            )),
        }
    }
}
