//! Configuration of one dispatcher by the platform: environment variables and a JSON file.

use crate::config::checks::{from_json, positive, socket_address};
use crate::config::environment::{admin_address, inherited_descriptor, non_empty};
use crate::config::{
    ConfigError, FleetSettings, MachineLimits, NameTable, Problem, SocketSettings,
};
use crate::decision::model::Settings;
use crate::gossip::GossipBudget;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Path of the platform's file.
const CONFIG_FILE: &str = "PROXY_CONFIG";
/// Overrides `listen`.
const LISTEN_ADDRESS: &str = "PROXY_LISTEN";
/// Overrides `name`.
const NAME: &str = "PROXY_NAME";
/// Directory that all processes of this dispatcher share.
const STATE_DIRECTORY: &str = "TMPDIR";

/// Default name of the dispatcher in its log.
const DEFAULT_NAME: &str = "hitchwinch";
/// Minimum number of sockets that the process needs to serve clients and engines.
const MIN_SOCKETS: usize = 64;

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

/// Addresses and budget for the exchange of load reports with the other dispatchers of the tier, over UDP.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipSettings {
    /// Address at which messages to this dispatcher arrive.
    pub listen: SocketAddr,
    /// Addresses from which the other dispatchers send.
    pub members: Vec<SocketAddr>,
    /// Address at which a message reaches every other dispatcher.
    pub broadcast: SocketAddr,
    /// Budget for sent messages.
    pub budget: GossipBudget,
}

/// Complete configuration of one dispatcher on the platform.
pub struct PlatformConfig {
    /// Name of the dispatcher in its log.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Limits of the process on its machine.
    pub limits: MachineLimits,
    /// Address of the journal, the source of the endpoint list.
    pub journal_address: SocketAddr,
    /// Gossip with the other dispatchers of the tier, if the settings permit it.
    pub gossip: Option<GossipSettings>,
    /// Address of the administrative HTTP server; `None` if there is none.
    pub admin_address: Option<SocketAddr>,
    /// Descriptor of the clients' listening socket, if the platform keeps it open.
    pub inherited_descriptor: Option<i32>,
    /// Directory that all processes of this dispatcher share.
    pub state_directory: Option<PathBuf>,
    /// Events of the journal up to now, not yet decoded.
    pub journal_events: serde_json::Value,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names for the numbers in the settings.
    pub names: NameTable,
    /// Limits and timeouts of the sockets.
    pub sockets: SocketSettings,
}

impl PlatformConfig {
    /// Returns the first changed key that requires a restart, because learned state and open requests depend
    /// on it.
    pub fn needs_restart(&self, new: &PlatformConfig) -> Option<&'static str> {
        if self.listen != new.listen {
            Some("listen")
        } else if self.admin_address != new.admin_address {
            Some("admin_addr")
        } else if self.gossip != new.gossip {
            Some("peers")
        } else if self.settings != new.settings
            || self.names != new.names
            || self.sockets != new.sockets
        {
            Some("settings")
        } else {
            None
        }
    }

    /// Reads the file that `PROXY_CONFIG` names. Other environment variables override its keys, see
    /// [`PlatformConfig::parse`].
    ///
    /// # Errors
    /// The variable is not set, the file cannot be read, or [`PlatformConfig::parse`] rejects it.
    pub fn from_env(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = variable(CONFIG_FILE)
            .ok_or_else(|| ConfigError::invalid(CONFIG_FILE, Problem::NotSet))?;
        let text = std::fs::read_to_string(&path).map_err(|source| ConfigError::Unreadable {
            file: format!("{CONFIG_FILE} ({path})"),
            source,
        })?;
        Self::parse(&text, variable)
    }

    /// Parses the text of the file. `variable` looks up an environment variable; `PROXY_LISTEN`,
    /// `PROXY_NAME`, `PROXY_ADMIN_ADDR` and `PROXY_INHERITED_FD` override keys of the file.
    ///
    /// # Errors
    /// Names the first key or variable whose value is invalid.
    pub fn parse(
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        from_json::<RawPlatform>(text)?.check(&variable)
    }
}

impl RawPlatform {
    fn check(
        self,
        variable: &impl Fn(&str) -> Option<String>,
    ) -> Result<PlatformConfig, ConfigError> {
        if self.limits.max_sockets < MIN_SOCKETS {
            let problem = Problem::TooFew { min: MIN_SOCKETS };
            return Err(ConfigError::invalid("limits.sockets", problem));
        }
        let gossip = self.gossip()?;
        let sockets = self.settings.socket_settings();
        check_timeouts(&sockets)?;
        let listed_dispatchers = self.listed_dispatchers();
        let (mut settings, names) = self
            .settings
            .decision_settings()
            .map_err(|e| ConfigError::invalid("settings", Problem::FleetSettings(e)))?;
        settings
            .check()
            .map_err(|e| ConfigError::settings("settings.", e))?;
        settings.dispatchers = settings.dispatchers.max(listed_dispatchers);
        Ok(PlatformConfig {
            name: variable(NAME)
                .or(self.name)
                .unwrap_or_else(|| DEFAULT_NAME.into()),
            listen: listen_address(variable, &self.listen)?,
            seed: seed(self.seed.unwrap_or_default())?,
            inherited_descriptor: inherited_descriptor(variable, None)?,
            state_directory: non_empty(variable, STATE_DIRECTORY).map(PathBuf::from),
            limits: self.limits,
            gossip,
            admin_address: admin_address(variable, self.admin_addr)?,
            journal_address: socket_address("journal", &self.journal)?,
            journal_events: self.known.unwrap_or(serde_json::Value::Null),
            settings,
            names,
            sockets,
        })
    }

    /// Returns the number of dispatchers in `peers`, including this one; `settings.fleet_size` may be
    /// smaller.
    fn listed_dispatchers(&self) -> u32 {
        let distinct: BTreeSet<&String> = self.peers.iter().collect();
        u32::try_from(distinct.len()).unwrap_or(u32::MAX)
    }

    /// Validates `peer_listen`, `peers` and `peers_all`, which have no effect unless the settings permit
    /// messages between dispatchers.
    fn gossip(&self) -> Result<Option<GossipSettings>, ConfigError> {
        let (Some(budget), Some(listen), Some(broadcast)) = (
            self.settings.gossip_budget(self.listed_dispatchers()),
            &self.peer_listen,
            &self.peers_all,
        ) else {
            return Ok(None);
        };
        let listen = socket_address("peer_listen", listen)?;
        let mut members = Vec::with_capacity(self.peers.len());
        for (index, member) in self.peers.iter().enumerate() {
            members.push(socket_address(&format!("peers[{index}]"), member)?);
        }
        Ok(Some(GossipSettings {
            listen,
            members,
            broadcast: socket_address("peers_all", broadcast)?,
            budget,
        }))
    }
}

fn check_timeouts(sockets: &SocketSettings) -> Result<(), ConfigError> {
    positive("settings.ceilings.connect_timeout", sockets.connect_timeout)?;
    positive("settings.ceilings.conn_idle", sockets.idle_timeout)?;
    Ok(())
}

fn listen_address(
    variable: &impl Fn(&str) -> Option<String>,
    configured: &str,
) -> Result<SocketAddr, ConfigError> {
    match variable(LISTEN_ADDRESS) {
        Some(text) => socket_address(LISTEN_ADDRESS, &text),
        None => socket_address("listen", configured),
    }
}

/// Parses a hexadecimal number, or a decimal one if the text is not a 64-bit hexadecimal number.
fn seed(text: String) -> Result<u64, ConfigError> {
    u64::from_str_radix(&text, 16)
        .or_else(|_| text.parse())
        .map_err(|source| ConfigError::invalid("seed", Problem::Seed { text, source }))
}
