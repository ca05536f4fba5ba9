//! A registry's documents, whatever format they came in, and the facts that they tell.

use crate::config::eureka::RegistryQuery;
use crate::membership::{InstanceRecord, Status, Version};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Applications, as `/apps`, `/apps/delta`, `/vips/…` and `/svips/…` list them, or one of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// How many instances stand in each status, over all applications; absent where one application is told.
    pub hashcode: Option<String>,
    pub applications: Vec<Application>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Application {
    pub name: String,
    pub instances: Vec<Instance>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instance {
    /// `instanceId`, or where a registry tells none, the host's name.
    pub id: String,
    pub ip: Option<String>,
    pub status: String,
    pub overridden: Option<String>,
    pub port: Option<Port>,
    pub secure_port: Option<Port>,
    pub action: Option<String>,
    /// `serviceUpTimestamp` of the lease, in milliseconds.
    pub started: Option<f64>,
    pub dirty: Option<f64>,
    pub updated: Option<f64>,
    pub metadata: BTreeMap<String, String>,
    /// `availability-zone` of the data centre, where metadata names no zone.
    pub zone: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Port {
    pub number: Option<u16>,
    pub enabled: bool,
}

impl Document {
    pub fn instances(&self) -> usize {
        self.applications.iter().map(|a| a.instances.len()).sum()
    }
}

impl Instance {
    pub fn deleted(&self) -> bool {
        self.action.as_deref() == Some("DELETED")
    }

    /// What it tells of an engine. `secure` takes the secure port.
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
    /// The path of the whole list, behind the server's own.
    pub fn path(&self) -> String {
        match self {
            RegistryQuery::AllApplications(_) => "/apps".into(),
            RegistryQuery::Application(app) => format!("/apps/{app}"),
            RegistryQuery::VipAddress(vip) => format!("/vips/{vip}"),
            RegistryQuery::SecureVipAddress(vip) => format!("/svips/{vip}"),
        }
    }

    /// Changes alone can be asked for.
    pub fn has_deltas(&self) -> bool {
        matches!(self, RegistryQuery::AllApplications(_))
    }

    pub fn secure(&self) -> bool {
        matches!(self, RegistryQuery::SecureVipAddress(_))
    }

    /// Engines are the instances of this application; all that is listed, where that was asked for by name.
    pub fn counts(&self, application: &str) -> bool {
        match self {
            RegistryQuery::AllApplications(app) | RegistryQuery::Application(app) => {
                app.eq_ignore_ascii_case(application)
            }
            RegistryQuery::VipAddress(_) | RegistryQuery::SecureVipAddress(_) => true,
        }
    }
}
