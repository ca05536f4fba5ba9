//! What the platform tells one dispatcher: its variables and its JSON.

use super::*;
use crate::gossip::GossipBudget;
use std::path::PathBuf;

#[derive(Deserialize)]
struct RawPlatform {
    name: Option<String>,
    listen: String,
    seed: Option<String>,
    #[serde(default)]
    limits: MachineLimits,
    journal: String,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    peers_all: Option<String>,
    known: Option<serde_json::Value>,
    admin_addr: Option<String>,
    settings: FleetSettings,
}

/// The tier's dispatchers, by the addresses that this one sees.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipSettings {
    /// What they send to this dispatcher comes in here.
    pub listen: SocketAddr,
    /// Where what they send comes from.
    pub members: Vec<SocketAddr>,
    /// What is sent here reaches every other.
    pub broadcast: SocketAddr,
    pub budget: GossipBudget,
}

/// Everything that the platform tells one dispatcher.
pub struct PlatformConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub limits: MachineLimits,
    pub journal_address: SocketAddr,
    /// Where the tier's dispatchers reach each other, if the settings let them.
    pub gossip: Option<GossipSettings>,
    /// Where operators call; nowhere if it is not said.
    pub admin_address: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, if the platform holds that.
    pub inherited_descriptor: Option<i32>,
    /// A folder that all processes of this dispatcher see.
    pub state_directory: Option<PathBuf>,
    /// The journal's events up to now, not yet read.
    pub recorded_events: serde_json::Value,
    pub settings: Settings,
    pub names: NameTable,
    pub sockets: SocketSettings,
}

impl PlatformConfig {
    /// What a running program cannot take from `new`: learned state and open requests rest on it.
    pub fn needs_restart(&self, new: &PlatformConfig) -> Option<&'static str> {
        match () {
            () if self.listen != new.listen => Some("listen"),
            () if self.admin_address != new.admin_address => Some("admin_addr"),
            () if self.gossip != new.gossip => Some("peers"),
            () if self.settings != new.settings
                || self.names != new.names
                || self.sockets != new.sockets =>
            {
                Some("settings")
            }
            () => None,
        }
    }

    /// Reads the file that `PROXY_CONFIG` names; `PROXY_LISTEN` and `PROXY_NAME` go before what it says.
    pub fn from_env(var: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = var("PROXY_CONFIG").ok_or_else(|| bad("PROXY_CONFIG", "is not set"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| ConfigError::Source {
            what: format!("PROXY_CONFIG ({path})"),
            problem: e.to_string(),
        })?;
        Self::parse(&text, var)
    }

    pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let de = &mut serde_json::Deserializer::from_str(text);
        let raw: RawPlatform = serde_path_to_error::deserialize(de)
            .map_err(|e| bad(&e.path().to_string(), e.inner()))?;
        let seed = raw.seed.unwrap_or_default();
        if raw.limits.max_sockets < 64 {
            return Err(bad("limits.sockets", "at least 64 are needed"));
        }
        let sockets = raw.settings.sockets();
        let each = || -> Result<_, ConfigError> {
            raw.peers
                .iter()
                .enumerate()
                .map(|(i, a)| address(&format!("peers[{i}]"), a))
                .collect()
        };
        let peers = match (
            raw.settings.gossip_budget(),
            &raw.peer_listen,
            &raw.peers_all,
        ) {
            (Some(terms), Some(listen), Some(all)) => Some(GossipSettings {
                listen: address("peer_listen", listen)?,
                members: each()?,
                broadcast: address("peers_all", all)?,
                budget: terms,
            }),
            _ => None,
        };
        for (key, v) in [
            ("connect_timeout", sockets.connect_timeout),
            ("conn_idle", sockets.idle_timeout),
        ] {
            if !(v.is_finite() && v > 0.0) {
                return Err(bad(&format!("settings.ceilings.{key}"), "must be above 0"));
            }
        }
        let (settings, names) = raw.settings.settings().map_err(|e| bad("settings", e))?;
        settings
            .check()
            .map_err(|e| bad(&format!("settings.{}", e.field), e.problem))?;
        Ok(PlatformConfig {
            name: var("PROXY_NAME")
                .or(raw.name)
                .unwrap_or_else(|| "hitchwinch".into()),
            listen: match var("PROXY_LISTEN") {
                Some(text) => address("PROXY_LISTEN", &text)?,
                None => address("listen", &raw.listen)?,
            },
            seed: u64::from_str_radix(&seed, 16)
                .or_else(|_| seed.parse())
                .map_err(|_| bad("seed", format!("{seed:?} is no hexadecimal number")))?,
            inherited_descriptor: inherited(&var, None)?,
            state_directory: var("TMPDIR").filter(|v| !v.is_empty()).map(PathBuf::from),
            limits: raw.limits,
            gossip: peers,
            admin_address: admin(&var, raw.admin_addr)?,
            journal_address: address("journal", &raw.journal)?,
            recorded_events: raw.known.unwrap_or(serde_json::Value::Null),
            settings,
            names,
            sockets,
        })
    }
}
