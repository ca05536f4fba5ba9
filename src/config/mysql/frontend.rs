//! Configuration of client sessions: limits of connections, packets and statements.

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
/// Maximum size of a packet, in bytes: one less than the protocol's maximum of 2^24 - 1, because a packet of
/// that size announces a continuation.
const MAX_PACKET_BYTES: usize = (1 << 24) - 2;
const DEFAULT_MAX_STATEMENTS: usize = 256;
const MAX_STATEMENTS: usize = 65_535;
const DEFAULT_IDLE_TIMEOUT_S: u64 = 600;
const DEFAULT_SERVER_VERSION: &str = "8.0.0-hitchwinch";

/// Configuration of the sessions of the MySQL frontend.
#[derive(Clone, Debug)]
pub struct MysqlFrontendConfig {
    /// Maximum number of concurrent client connections.
    pub max_clients: usize,
    /// Maximum size of a packet, in bytes.
    pub max_packet: usize,
    /// Maximum number of prepared statements in one session.
    pub max_statements: usize,
    /// Time without a statement after which a session is closed.
    pub idle_timeout: Duration,
    /// Server version that clients see.
    pub server_version: String,
    /// Users by name.
    pub users: HashMap<String, User>,
    /// Rules that assign statements to classes.
    pub class_rules: ClassRules,
    /// Deadline of a statement by class, in ms.
    pub deadlines: Vec<Millis>,
    /// Class of sticky sessions, which hold an engine's connection; it is non-idempotent.
    pub transaction_class: ClassId,
    /// Limits of sticky sessions.
    pub sticky_sessions: StickySessionLimits,
}

/// Validates `max_packet`, in bytes.
pub(super) fn check_max_packet(configured: Option<usize>) -> Result<usize, ConfigError> {
    let bytes = configured.unwrap_or(DEFAULT_MAX_PACKET_BYTES);
    in_range("max_packet", bytes, MIN_PACKET_BYTES..=MAX_PACKET_BYTES)
}

/// Validates `max_clients`.
pub(super) fn check_max_clients(configured: Option<usize>) -> Result<usize, ConfigError> {
    let clients = configured.unwrap_or(DEFAULT_MAX_CLIENTS);
    in_range("max_clients", clients, 1..=MAX_CLIENTS)
}

/// Validates `max_statements`.
pub(super) fn check_max_statements(configured: Option<usize>) -> Result<usize, ConfigError> {
    let statements = configured.unwrap_or(DEFAULT_MAX_STATEMENTS);
    in_range("max_statements", statements, 1..=MAX_STATEMENTS)
}

/// Returns `idle_s` or its default, at least one second.
pub(super) fn idle_timeout(configured_s: Option<u64>) -> Duration {
    Duration::from_secs(configured_s.unwrap_or(DEFAULT_IDLE_TIMEOUT_S).max(1))
}

/// Returns `server_version` or its default.
pub(super) fn server_version(configured: Option<String>) -> String {
    configured.unwrap_or_else(|| DEFAULT_SERVER_VERSION.into())
}
