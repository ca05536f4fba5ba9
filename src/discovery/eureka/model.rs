//! A registry's documents, independent of their format, and the instance records in them.

use crate::config::eureka::RegistryQuery;
use crate::membership::{InstanceRecord, Status, Version};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// A list of applications, from `/apps`, `/apps/delta`, `/vips/…` or `/svips/…`, or a single one, from `/apps/…` or
/// `/instances/…`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// The registry's count of instances in each status over all its applications, such as `DOWN_1_UP_7_`; absent in a
    /// document of a single application or instance.
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
    /// `actionType`: what a delta says of the instance, such as `ADDED` or `DELETED`.
    pub action: Option<String>,
    /// `serviceUpTimestamp` of the lease, in milliseconds since the Unix epoch.
    pub started: Option<f64>,
    /// `lastDirtyTimestamp`, in milliseconds since the Unix epoch on the instance's clock.
    pub dirty: Option<f64>,
    /// `lastUpdatedTimestamp`, in milliseconds since the Unix epoch on the registry's clock.
    pub updated: Option<f64>,
    /// The `zone` and `kind` entries of `metadata`; others are not kept.
    pub metadata: BTreeMap<String, String>,
    /// `availability-zone` of `dataCenterInfo`, used if the metadata has no zone.
    pub zone: Option<String>,
}

/// A port of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Port {
    /// The port number; absent if the document's is not a valid one.
    pub number: Option<u16>,
    /// Whether the port is in use; true if the document does not say.
    pub enabled: bool,
}

impl Document {
    /// Number of instances over all applications.
    pub fn instances(&self) -> usize {
        self.applications.iter().map(|a| a.instances.len()).sum()
    }
}

impl Instance {
    /// Whether a delta says that the instance was deleted.
    pub fn deleted(&self) -> bool {
        self.action.as_deref() == Some("DELETED")
    }

    /// The instance as a membership record, with the address of the secure port if `secure`. It has no address if the IP
    /// is invalid or the port missing or disabled.
    pub fn fact(&self, secure: bool) -> InstanceRecord {
        let port = if secure { self.secure_port } else { self.port };
        let number = port.filter(|p| p.enabled).and_then(|p| p.number);
        let ip: Option<IpAddr> = self.ip.as_deref().and_then(|a| a.parse().ok());
        // Registries write UNKNOWN where nothing is set over the status.
        let overridden = self
            .overridden
            .as_deref()
            .filter(|o| !o.is_empty() && *o != "UNKNOWN");
        InstanceRecord {
            id: self.id.clone(),
            status: Status::parse(&self.status),
            overridden: overridden.map(Status::parse),
            address: ip.zip(number).map(|(ip, port)| SocketAddr::new(ip, port)),
            zone: self.metadata.get("zone").or(self.zone.as_ref()).cloned(),
            kind: self.metadata.get("kind").cloned(),
            version: Version::from_timestamps(self.dirty, self.updated),
            started: self.started.filter(|t| t.is_finite() && *t > 0.0),
        }
    }
}

impl RegistryQuery {
    /// Path of the full list, to append to the server's base path.
    pub fn path(&self) -> String {
        match self {
            RegistryQuery::AllApplications(_) => "/apps".into(),
            RegistryQuery::Application(app) => format!("/apps/{app}"),
            RegistryQuery::VipAddress(vip) => format!("/vips/{vip}"),
            RegistryQuery::SecureVipAddress(vip) => format!("/svips/{vip}"),
        }
    }

    /// Whether the registry offers deltas for this query.
    pub fn has_deltas(&self) -> bool {
        matches!(self, RegistryQuery::AllApplications(_))
    }

    /// Whether the instances' secure ports are meant.
    pub fn secure(&self) -> bool {
        matches!(self, RegistryQuery::SecureVipAddress(_))
    }

    /// Whether the instances of `application` are engines. For queries by VIP address, every listed instance is.
    pub fn counts(&self, application: &str) -> bool {
        match self {
            RegistryQuery::AllApplications(app) | RegistryQuery::Application(app) => {
                app.eq_ignore_ascii_case(application)
            }
            RegistryQuery::VipAddress(_) | RegistryQuery::SecureVipAddress(_) => true,
        }
    }
}
