//! The TOML file of the MySQL frontend.

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
/// A connection to an engine without traffic is closed after this.
const ENGINE_IDLE_TIMEOUT: Millis = 30_000.0;
const MAX_OPEN_REQUESTS: usize = 1024;

/// Everything that the MySQL frontend is configured with.
pub struct MysqlConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the administrative HTTP server listens; `None`: there is none.
    pub admin_address: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, if whatever starts this program holds that.
    pub inherited_descriptor: Option<i32>,
    /// A directory that all processes of this dispatcher share, and no others.
    pub state_directory: Option<PathBuf>,
    /// What clients' sessions need.
    pub frontend: MysqlFrontendConfig,
    /// How to log in to engines.
    pub engine_credentials: EngineCredentials,
    /// The decision module's settings.
    pub settings: Settings,
    /// The names behind the settings' numbers.
    pub names: NameTable,
    /// Limits and timeouts of the sockets.
    pub sockets: SocketSettings,
    /// Where the list of engines comes from.
    pub source: EndpointSource,
    /// How results are stored until their clients read them.
    pub spool: SpoolSettings,
    /// The certificates of the listening socket; `None`: connections are not encrypted.
    pub tls: Option<TlsSettings>,
}

impl MysqlConfig {
    /// The first key whose change a running process cannot apply: learned state, users and open requests depend on
    /// it.
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

    /// Reads a file; the process's environment variables override its keys.
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

    /// Reads a file's text; `variable` looks up an environment variable.
    ///
    /// # Errors
    /// The first key or variable that holds what cannot be used.
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

/// `connect_timeout_ms`, and what MySQL sets: a connection carries one statement at a time and reports no progress.
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
