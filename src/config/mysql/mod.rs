//! TOML file of the MySQL frontend.

mod classes;
mod decision;
mod engines;
mod frontend;
mod raw;
mod users;

pub use classes::ClassRules;
pub use engines::{EndpointSource, EngineCredentials, StaticEngine};
pub use frontend::MysqlFrontendConfig;
pub use users::User;

use crate::config::checks::{from_toml, positive, socket_address};
use crate::config::environment::{admin_address, inherited_descriptor};
use crate::config::spool::check_spool;
use crate::config::tls::{RawTls, TlsSettings};
use crate::config::{ConfigError, NameTable, SocketSettings, SpoolSettings};
use crate::decision::model::{Millis, Settings};
use classes::{check_deadlines, check_statement_classes};
use decision::Fleet;
use engines::{check_endpoint_source, kinds, zone_names};
use raw::RawMysql;
use std::net::SocketAddr;
use std::path::PathBuf;
use users::{ClientCertificates, check_users, tenant_names};

const DEFAULT_CONNECT_TIMEOUT: Millis = 250.0;
/// Time without traffic after which a connection to an engine is closed, in ms.
const ENGINE_IDLE_TIMEOUT: Millis = 30_000.0;
const MAX_OPEN_REQUESTS: usize = 1024;

/// Complete configuration of the MySQL frontend.
pub struct MysqlConfig {
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of the administrative HTTP server; `None` if there is none.
    pub admin_address: Option<SocketAddr>,
    /// Descriptor of the clients' listening socket, if the parent process keeps it open.
    pub inherited_descriptor: Option<i32>,
    /// Directory that all processes of this dispatcher share, and no other process uses.
    pub state_directory: Option<PathBuf>,
    /// Configuration of client sessions.
    pub frontend: MysqlFrontendConfig,
    /// Account at the engines, and limits of the connections to them.
    pub engine_credentials: EngineCredentials,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names for the numbers in the settings.
    pub names: NameTable,
    /// Limits and timeouts of the sockets.
    pub sockets: SocketSettings,
    /// Source of the endpoint list.
    pub source: EndpointSource,
    /// Storage of results until their clients read them.
    pub spool: SpoolSettings,
    /// Certificates of the listening socket; `None` if connections are not encrypted.
    pub tls: Option<TlsSettings>,
}

impl MysqlConfig {
    /// Returns the first changed key that requires a restart, because learned state, users and open requests
    /// depend on it.
    pub fn needs_restart(&self, new: &MysqlConfig) -> Option<&'static str> {
        if self.listen != new.listen {
            Some("listen")
        } else if self.admin_address != new.admin_address {
            Some("admin_addr")
        } else if self.state_directory != new.state_directory {
            Some("state_dir")
        } else if self.inherited_descriptor != new.inherited_descriptor {
            Some("inherited_fd")
        } else if self.settings != new.settings || self.names != new.names {
            Some("class, tenant, kind or zone")
        } else if self.tls.is_some() != new.tls.is_some() {
            Some("tls")
        } else if self.spool.directory != new.spool.directory {
            Some("spool.dir")
        } else if self.engine_credentials != new.engine_credentials || self.sockets != new.sockets {
            Some("engines")
        } else {
            None
        }
    }

    /// Reads a file. The environment variables of the process override its keys.
    ///
    /// # Errors
    /// The file cannot be read, or [`MysqlConfig::parse`] rejects it.
    pub fn read(path: &str) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            file: path.into(),
            source,
        })?;
        Self::parse(&text, |name| std::env::var(name).ok())
    }

    /// Parses the text of a file. `variable` looks up an environment variable.
    ///
    /// # Errors
    /// Names the first key or variable whose value is invalid.
    pub fn parse(
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        from_toml::<RawMysql>(text)?.check(&variable)
    }
}

impl RawMysql {
    fn check(self, variable: &impl Fn(&str) -> Option<String>) -> Result<MysqlConfig, ConfigError> {
        let classes = check_statement_classes(&self)?;
        let deadlines = check_deadlines(&self.class)?;
        let client_certificates = client_certificates(self.tls.as_ref());
        let users = check_users(self.user, &tenant_names(&self.tenant), client_certificates)?;
        let sockets = check_sockets(self.connect_timeout_ms, &deadlines)?;
        let listen = socket_address("listen", &self.listen)?;
        let source = check_endpoint_source(self.eureka, self.engine, listen, self.zone.clone())?;
        let fleet = Fleet {
            dispatchers: self.dispatchers,
            zones: zone_names(self.zone.clone(), &source),
            zone: self.zone,
            kinds: kinds(self.kind),
            classes: self.class,
            tenants: self.tenant,
        };
        let (settings, names) = fleet.check()?;
        let spool = check_spool(self.spool, self.max_result)?;
        let max_packet = frontend::check_max_packet(self.max_packet)?;
        Ok(MysqlConfig {
            listen,
            admin_address: admin_address(variable, self.admin_addr)?,
            inherited_descriptor: inherited_descriptor(variable, self.inherited_fd)?,
            state_directory: self.state_dir,
            engine_credentials: self.engines.check(max_packet)?,
            frontend: MysqlFrontendConfig {
                max_clients: frontend::check_max_clients(self.max_clients)?,
                max_packet,
                max_statements: frontend::check_max_statements(self.max_statements)?,
                idle_timeout: frontend::idle_timeout(self.idle_s),
                server_version: frontend::server_version(self.server_version),
                users,
                class_rules: classes.rules,
                deadlines,
                transaction_class: classes.transaction_class,
                sticky_sessions: self.pins.check()?,
            },
            settings,
            names,
            sockets,
            source,
            spool,
            tls: self.tls.map(RawTls::check).transpose()?,
        })
    }
}

fn client_certificates(tls: Option<&RawTls>) -> ClientCertificates {
    if tls.is_some_and(RawTls::trusts_client_certificates) {
        ClientCertificates::Trusted
    } else {
        ClientCertificates::Untrusted
    }
}

/// Validates `connect_timeout_ms`. The other limits follow from the MySQL protocol: a connection carries one
/// statement at a time and reports no progress.
fn check_sockets(
    connect_timeout_ms: Option<f64>,
    deadlines: &[Millis],
) -> Result<SocketSettings, ConfigError> {
    let connect_timeout = connect_timeout_ms.unwrap_or(DEFAULT_CONNECT_TIMEOUT);
    Ok(SocketSettings {
        connect_timeout: positive("connect_timeout_ms", connect_timeout)?,
        idle_timeout: ENGINE_IDLE_TIMEOUT,
        max_streams_per_connection: 1,
        progress_interval: 0.0,
        max_open_requests: MAX_OPEN_REQUESTS,
        longest_deadline: deadlines.iter().copied().fold(0.0, f64::max),
    })
}
