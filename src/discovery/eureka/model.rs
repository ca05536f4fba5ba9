//! A registry's documents, independent of their format, and the instance records in them.

use crate::config::eureka::RegistryQuery;
use crate::membership::{InstanceRecord, Status, Version};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// A list of applications, from `/apps`, `/apps/delta`, `/vips/…` or `/svips/…`, or a single one, from
/// `/apps/…` or `/instances/…`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// The registry's count of instances in each status over all its applications, such as `DOWN_1_UP_7_`;
    /// absent in a document of a single application or instance.
    pub hashcode: Option<String>,
    /// The applications, in document order.
    pub applications: Vec<Application>,
}

/// An application with its instances.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Application {
    /// The name; empty in a document of a single instance.
    pub name: String,
    /// The instances, in document order.
    pub instances: Vec<Instance>,
}

/// An instance of an application, as the registry describes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instance {
    /// `instanceId`, or `hostName` if that is missing or empty.
    pub id: String,
    /// `ipAddr`, not parsed.
    pub ip: Option<String>,
    /// `status`, not parsed.
    pub status: String,
    /// `overriddenStatus` or `overriddenstatus`, not parsed.
    pub overridden: Option<String>,
    /// `port`.
    pub port: Option<Port>,
    /// `securePort`.
    pub secure_port: Option<Port>,
    /// `actionType`: the change in a delta, such as `ADDED` or `DELETED`.
    pub action: Option<String>,
    /// `serviceUpTimestamp` of the lease, in milliseconds since the Unix epoch.
    pub started: Option<f64>,
    /// `lastDirtyTimestamp`, in milliseconds since the Unix epoch on the instance's clock.
    pub dirty: Option<f64>,
    /// `lastUpdatedTimestamp`, in milliseconds since the Unix epoch on the registry's clock.
    pub updated: Option<f64>,
    /// The `zone` and `kind` entries of `metadata`; other entries are dropped.
    pub metadata: BTreeMap<String, String>,
    /// `availability-zone` of `dataCenterInfo`, used if the metadata has no zone.
    pub zone: Option<String>,
}

/// A port of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Port {
    /// The port number; absent if the value in the document is not a valid port.
    pub number: Option<u16>,
    /// Whether the port is in use; true if the document does not specify it.
    pub enabled: bool,
}

impl Document {
    /// Returns the number of instances over all applications.
    pub fn instance_count(&self) -> usize {
        self.applications
            .iter()
            .map(|application| application.instances.len())
            .sum()
    }
}

impl Instance {
    /// Returns whether the instance is a deletion in a delta.
    pub fn deleted(&self) -> bool {
        self.action.as_deref() == Some("DELETED")
    }

    /// Converts the instance to a membership record, with the address of the secure port if `secure`. The
    /// record has no address if the IP address is invalid, or the port is missing or disabled.
    pub fn to_record(&self, secure: bool) -> InstanceRecord {
        let port = if secure { self.secure_port } else { self.port };
        let number = port
            .filter(|port| port.enabled)
            .and_then(|port| port.number);
        let ip: Option<IpAddr> = self.ip.as_deref().and_then(|ip| ip.parse().ok());
        // Registries write UNKNOWN if the status is not overridden.
        let overridden = self
            .overridden
            .as_deref()
            .filter(|status| !status.is_empty() && *status != "UNKNOWN");
        InstanceRecord {
            id: self.id.clone(),
            status: Status::parse(&self.status),
            overridden: overridden.map(Status::parse),
            address: ip.zip(number).map(|(ip, port)| SocketAddr::new(ip, port)),
            zone: self.metadata.get("zone").or(self.zone.as_ref()).cloned(),
            kind: self.metadata.get("kind").cloned(),
            version: Version::from_timestamps(self.dirty, self.updated),
            started: self
                .started
                .filter(|started| started.is_finite() && *started > 0.0),
        }
    }
}

impl RegistryQuery {
    /// Returns the path of the full list, to append to the server's base path.
    pub fn path(&self) -> String {
        match self {
            RegistryQuery::AllApplications(_) => "/apps".into(),
            RegistryQuery::Application(app) => format!("/apps/{app}"),
            RegistryQuery::VipAddress(vip) => format!("/vips/{vip}"),
            RegistryQuery::SecureVipAddress(vip) => format!("/svips/{vip}"),
        }
    }

    /// Returns whether the registry offers deltas for this query.
    pub fn has_deltas(&self) -> bool {
        matches!(self, RegistryQuery::AllApplications(_))
    }

    /// Returns whether the engines are reached at the secure ports of their instances.
    pub fn uses_secure_port(&self) -> bool {
        matches!(self, RegistryQuery::SecureVipAddress(_))
    }

    /// Returns whether the instances of `application` are engines. For queries by VIP address, every listed
    /// instance is one.
    pub fn includes(&self, application: &str) -> bool {
        match self {
            RegistryQuery::AllApplications(engine_application)
            | RegistryQuery::Application(engine_application) => {
                engine_application.eq_ignore_ascii_case(application)
            }
            RegistryQuery::VipAddress(_) | RegistryQuery::SecureVipAddress(_) => true,
        }
    }
}
