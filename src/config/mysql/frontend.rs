//! What clients' sessions need: limits of connections, packets and statements.

use crate::config::ConfigError;
use crate::config::checks::in_range;
use crate::config::mysql::classes::ClassRules;
use crate::config::mysql::users::User;
use crate::decision::model::{ClassId, Millis};
use crate::sticky_sessions::StickySessionLimits;
use std::collections::HashMap;
use std::time::Duration;

const DEFAULT_MAX_CLIENTS: usize = 256;
const MAX_CLIENTS: usize = 512;
const DEFAULT_MAX_PACKET_BYTES: usize = 1 << 20;
const MIN_PACKET_BYTES: usize = 1024;
/// Two bytes less than the protocol's largest packet: a packet of that size announces another.
const MAX_PACKET_BYTES: usize = (1 << 24) - 2;
const DEFAULT_MAX_STATEMENTS: usize = 256;
const MAX_STATEMENTS: usize = 65_535;
const DEFAULT_IDLE_TIMEOUT_S: u64 = 600;
const DEFAULT_SERVER_VERSION: &str = "8.0.0-hitchwinch";

/// What the sessions of the MySQL frontend need.
#[derive(Clone, Debug)]
pub struct MysqlFrontendConfig {
    /// Connections of clients at the same time.
    pub max_clients: usize,
    /// The largest packet, in bytes.
    pub max_packet: usize,
    /// Prepared statements that one session may hold.
    pub max_statements: usize,
    /// A session without a statement is closed after this.
    pub idle_timeout: Duration,
    /// The server version that clients see.
    pub server_version: String,
    /// The users by name.
    pub users: HashMap<String, User>,
    /// Which class a statement belongs to.
    pub class_rules: ClassRules,
    /// By class: how long a statement may take.
    pub deadlines: Vec<Millis>,
    /// The class of sessions that hold an engine's connection; a non-idempotent one.
    pub transaction_class: ClassId,
    /// Limits of sessions that hold an engine's connection.
    pub sticky_sessions: StickySessionLimits,
}

/// `max_packet`, in bytes.
pub(super) fn check_max_packet(configured: Option<usize>) -> Result<usize, ConfigError> {
    let bytes = configured.unwrap_or(DEFAULT_MAX_PACKET_BYTES);
    in_range("max_packet", bytes, MIN_PACKET_BYTES..=MAX_PACKET_BYTES)
}

/// `max_clients`.
pub(super) fn check_max_clients(configured: Option<usize>) -> Result<usize, ConfigError> {
    let clients = configured.unwrap_or(DEFAULT_MAX_CLIENTS);
    in_range("max_clients", clients, 1..=MAX_CLIENTS)
}

/// `max_statements`.
pub(super) fn check_max_statements(configured: Option<usize>) -> Result<usize, ConfigError> {
    let statements = configured.unwrap_or(DEFAULT_MAX_STATEMENTS);
    in_range("max_statements", statements, 1..=MAX_STATEMENTS)
}

/// `idle_s`; a second at least.
pub(super) fn idle_timeout(configured_s: Option<u64>) -> Duration {
    Duration::from_secs(configured_s.unwrap_or(DEFAULT_IDLE_TIMEOUT_S).max(1))
}

/// `server_version`.
pub(super) fn server_version(configured: Option<String>) -> String {
    configured.unwrap_or_else(|| DEFAULT_SERVER_VERSION.into())
}
