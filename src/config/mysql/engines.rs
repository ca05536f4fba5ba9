//! `[engines]`, `[[kind]]` and `[[engine]]`: source of the endpoint list, and connections to engines.

use crate::config::checks::{in_range, socket_address};
use crate::config::eureka::RawEureka;
use crate::config::{ConfigError, EurekaSettings};
use crate::decision::model::Kind;
use serde::Deserialize;
use std::net::SocketAddr;

const DEFAULT_CONNECTIONS: usize = 32;
const MAX_CONNECTIONS: usize = 256;

/// Kind of all engines if the file lists no kinds.
const DEFAULT_KIND_NAME: &str = "std";
const DEFAULT_KIND: Kind = Kind {
    cores: 8.0,
    memory_mb: 16_384.0,
};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawEngines {
    user: String,
    password: String,
    connections: Option<usize>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawKind {
    name: String,
    cores: f64,
    memory_mb: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawEngine {
    id: String,
    address: String,
    zone: Option<String>,
    kind: Option<String>,
}

/// Account at the engines, and limits of the connections to them.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCredentials {
    /// User name, the same at every engine.
    pub user: String,
    /// Password of the user.
    pub password: String,
    /// Maximum number of concurrent connections to one engine.
    pub max_connections: usize,
    /// Maximum size of a packet, in bytes.
    pub max_packet: usize,
}

/// An engine that the file lists.
#[derive(Clone, Debug, PartialEq)]
pub struct StaticEngine {
    /// Name of the engine.
    pub id: String,
    /// Address that the engine listens on.
    pub address: SocketAddr,
    /// Name of the engine's zone.
    pub zone: Option<String>,
    /// Name of the engine's kind.
    pub kind: Option<String>,
}

/// Source of the MySQL frontend's endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointSource {
    /// Engines that the file lists.
    Static(Vec<StaticEngine>),
    /// Engines that Eureka registries list.
    Eureka(Box<EurekaSettings>),
}

/// Kinds of engine and their names, in the same order.
pub(super) struct Kinds {
    pub(super) names: Vec<String>,
    pub(super) kinds: Vec<Kind>,
}

impl RawEngines {
    pub(super) fn check(self, max_packet: usize) -> Result<EngineCredentials, ConfigError> {
        let connections = self.connections.unwrap_or(DEFAULT_CONNECTIONS);
        Ok(EngineCredentials {
            user: self.user,
            password: self.password,
            max_connections: in_range("engines.connections", connections, 1..=MAX_CONNECTIONS)?,
            max_packet,
        })
    }
}

/// Returns the source of the endpoint list: either `[eureka]` or at least one `[[engine]]`. `listen` is the
/// address that clients connect to, `zone` is the zone of this dispatcher.
pub(super) fn check_endpoint_source(
    eureka: Option<RawEureka>,
    engines: Vec<RawEngine>,
    listen: SocketAddr,
    zone: Option<String>,
) -> Result<EndpointSource, ConfigError> {
    match eureka {
        Some(_) if !engines.is_empty() => Err(ConfigError::combination(
            "eureka",
            "engines are listed too: only one of both can be",
        )),
        Some(eureka) => {
            let settings = eureka.check(listen, zone)?;
            Ok(EndpointSource::Eureka(Box::new(settings)))
        }
        None if engines.is_empty() => Err(ConfigError::combination(
            "engine",
            "no engine is listed, and there is no [eureka] section",
        )),
        None => check_static_engines(engines).map(EndpointSource::Static),
    }
}

fn check_static_engines(engines: Vec<RawEngine>) -> Result<Vec<StaticEngine>, ConfigError> {
    let mut checked = Vec::with_capacity(engines.len());
    for (index, raw) in engines.into_iter().enumerate() {
        let address = socket_address(&format!("engine[{index}].address"), &raw.address)?;
        checked.push(StaticEngine {
            id: raw.id,
            address,
            zone: raw.zone,
            kind: raw.kind,
        });
    }
    Ok(checked)
}

/// Returns the names of the zones of this dispatcher and of the listed engines, in order of appearance.
pub(super) fn zone_names(own: Option<String>, source: &EndpointSource) -> Vec<String> {
    let engines: &[StaticEngine] = match source {
        EndpointSource::Static(engines) => engines,
        EndpointSource::Eureka(_) => &[],
    };
    let mut names: Vec<String> = own.into_iter().collect();
    for zone in engines.iter().filter_map(|engine| engine.zone.as_ref()) {
        if !names.contains(zone) {
            names.push(zone.clone());
        }
    }
    names
}

/// Returns the listed kinds of engine, or the default kind if none is listed.
pub(super) fn kinds(raw: Vec<RawKind>) -> Kinds {
    if raw.is_empty() {
        return Kinds {
            names: vec![DEFAULT_KIND_NAME.into()],
            kinds: vec![DEFAULT_KIND],
        };
    }
    let mut names = Vec::with_capacity(raw.len());
    let mut kinds = Vec::with_capacity(raw.len());
    for kind in raw {
        names.push(kind.name);
        kinds.push(Kind {
            cores: kind.cores,
            memory_mb: kind.memory_mb,
        });
    }
    Kinds { names, kinds }
}
