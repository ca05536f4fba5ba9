//! The one place where configuration is read, checked and given defaults; both programs share the
//! settings' form. Every message names the faulty key.

pub mod eureka;
mod mysql;
mod platform;
mod profile;
pub mod spool;
mod sticky_sessions;
pub mod tls;

pub use eureka::EurekaSettings;
pub use mysql::{
    ClassRules, EndpointSource, EngineCredentials, MysqlConfig, MysqlFrontendConfig, StaticEngine,
    User,
};
pub use platform::{GossipSettings, PlatformConfig};
pub use profile::FleetSettings;
pub use spool::SpoolSettings;

use crate::decision::model::*;
use serde::Deserialize;
use std::net::SocketAddr;

/// What was wrong with a configuration, with the key that is at fault.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("{what}: {problem}")]
    Source { what: String, problem: String },
    #[error("{key}: {problem}")]
    Key { key: String, problem: String },
}

fn bad(key: &str, problem: impl std::fmt::Display) -> ConfigError {
    ConfigError::Key {
        key: key.into(),
        problem: problem.to_string(),
    }
}

/// Limits and time-outs of the sockets, from the settings' ceilings.
#[derive(Clone, Debug, PartialEq)]
pub struct SocketSettings {
    pub connect_timeout: Millis,
    pub idle_timeout: Millis,
    /// Attempts carried together on one connection.
    pub max_streams_per_connection: usize,
    /// Every attempt on its way brings a note this often; 0: none tells.
    pub progress_interval: Millis,
    pub max_open_requests: usize,
    /// The longest time that a client of any class waits.
    pub longest_deadline: Millis,
}

/// The machine's limits.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct MachineLimits {
    #[serde(default = "default_memory")]
    pub memory_mb: usize,
    #[serde(rename = "sockets")]
    pub max_sockets: usize,
}

fn default_memory() -> usize {
    192
}

fn default_sockets() -> usize {
    1024
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits {
            memory_mb: default_memory(),
            max_sockets: default_sockets(),
        }
    }
}

/// An address under a key.
fn address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|e| bad(key, format!("{text:?} is no address and port ({e})")))
}

/// The operators' address: `PROXY_ADMIN_ADDR` goes before the key.
fn admin(
    var: &impl Fn(&str) -> Option<String>,
    key: Option<String>,
) -> Result<Option<SocketAddr>, ConfigError> {
    let told = var("PROXY_ADMIN_ADDR")
        .filter(|v| !v.is_empty())
        .map(|v| ("PROXY_ADMIN_ADDR", v));
    told.or(key.map(|v| ("admin_addr", v)))
        .map(|(key, v)| address(key, &v))
        .transpose()
}

/// The inherited descriptor: `PROXY_INHERITED_FD` goes before the key.
fn inherited(
    var: &impl Fn(&str) -> Option<String>,
    key: Option<i32>,
) -> Result<Option<i32>, ConfigError> {
    let faulty = |v: &str| bad("PROXY_INHERITED_FD", format!("{v:?} is no descriptor"));
    let read = |v: String| v.parse().ok().filter(|n| *n >= 0).ok_or_else(|| faulty(&v));
    let told = var("PROXY_INHERITED_FD")
        .filter(|v| !v.is_empty())
        .map(read)
        .transpose()?;
    Ok(told.or(key))
}

/// Names to numbers, as one instance's settings list them.
#[derive(Clone, Debug, PartialEq)]
pub struct NameTable {
    pub classes: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    pub tenants: Vec<String>,
    pub reports_cost: bool,
    /// The names of a load report's values, as the settings list them.
    pub report_fields: Vec<String>,
}

/// Position of a name in a list.
pub fn position_of(list: &[String], name: &str) -> Option<usize> {
    list.iter().position(|n| n == name)
}

#[cfg(test)]
mod tests {
    use super::*;

    const MYSQL: &str = include_str!("../../deploy/mysql.toml");
    const PLATFORM: &str = r#"{"listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","journal":"127.0.0.1:2",
        "settings":{"ceilings":{"connect_timeout":250.0},"fleet_size":1,"grades":[{"name":"lookup",
        "aim":800.0,"effect":"retryable","worth":1.0}],"machine_types":["std"],"rules":{"cold_from":0.3,
        "drain_grace":250.0,"fall_multiple":3.0,"grace_to_answer":20.0,"overload_for":1500.0,
        "warm_within":14000.0},"step":5.0}}"#;

    #[test]
    fn the_file_under_deploy_is_good_and_a_faulty_key_is_named() {
        let good = MysqlConfig::parse(MYSQL, |_| None)
            .map_err(|e| e.to_string())
            .unwrap();
        assert_eq!(
            (
                good.frontend.class_rules.read_class,
                good.frontend.class_rules.write_class
            ),
            (0, 2)
        );
        let cases = [
            ("listen = \"127", "listen = \"x127", "listen"),
            (
                "read_class = \"lookup\"",
                "read_class = \"look\"",
                "read_class",
            ),
            (
                "write_class = \"load\"",
                "write_class = \"report\"",
                "write_class",
            ),
            (
                "tenant = \"ti-marmite\"",
                "tenant = \"x\"",
                "user[0].tenant",
            ),
            ("threads = 3", "threads = 0", "classes[1].threads"),
            (
                "deadline_ms = 25000.0",
                "deadline_ms = -1.0",
                "class[1].deadline_ms",
            ),
            (
                "deadline_ms = 25000.0",
                "deadline_ms = \"x\"",
                "class[1].deadline_ms",
            ),
            ("class = \"report\"", "class = \"rep\"", "rule[0].class"),
            ("connections = 32", "connections = 0", "engines.connections"),
            ("connections = 32", "conections = 32", "conections"),
            (
                "address = \"127.0.0.1:4002\"",
                "address = \"there\"",
                "engine[1].address",
            ),
            (
                "# admin_addr = \"127.0.0.1:3307\"",
                "admin_addr = \"there\"",
                "admin_addr",
            ),
            ("# inherited_fd = 7", "inherited_fd = \"x\"", "inherited_fd"),
        ];
        for (good, faulty, key) in cases {
            assert!(MYSQL.contains(good), "{good}");
            let told = MysqlConfig::parse(&MYSQL.replace(good, faulty), |_| None)
                .map(|_| ())
                .unwrap_err()
                .to_string();
            assert!(told.contains(key), "{faulty}: {told}");
        }
    }

    #[test]
    fn the_platforms_file_goes_behind_its_variables_and_a_faulty_key_is_named() {
        let none = |_: &str| None;
        let var = |v: &str| (v == "PROXY_LISTEN").then(|| "127.0.0.1:9".to_string());
        assert_eq!(
            PlatformConfig::parse(PLATFORM, var)
                .map(|p| p.listen.port())
                .unwrap(),
            9
        );
        let cases = [
            ("8c1f30d27a5be964", "xyz", "seed"),
            (
                "\"connect_timeout\":250.0",
                "\"connect_timeout\":0.0",
                "settings.ceilings.connect_timeout",
            ),
            (
                "\"worth\":1.0",
                "\"worth\":\"x\"",
                "settings.grades[0].worth",
            ),
            ("\"retryable\"", "\"odd\"", "grades[0].effect"),
            ("\"step\":5.0", "\"step\":-5.0", "settings.step"),
            ("127.0.0.1:2", "there", "journal"),
        ];
        for (good, faulty, key) in cases {
            assert!(PLATFORM.contains(good), "{good}");
            let told = PlatformConfig::parse(&PLATFORM.replace(good, faulty), none)
                .map(|_| ())
                .unwrap_err();
            assert!(told.to_string().contains(key), "{faulty}: {told}");
        }
    }

    #[test]
    fn the_operators_address_and_the_inherited_socket_are_read_with_the_variable_first() {
        let file = PLATFORM.replacen('{', "{\"admin_addr\":\"127.0.0.1:7\",", 1);
        let port = |v: &[(&str, &str)]| {
            let var = |name: &str| v.iter().find(|v| v.0 == name).map(|v| v.1.to_string());
            PlatformConfig::parse(&file, var)
                .map(|p| (p.admin_address.map(|a| a.port()), p.inherited_descriptor))
        };
        assert_eq!(port(&[]).unwrap(), (Some(7), None));
        let both = [
            ("PROXY_ADMIN_ADDR", "127.0.0.1:8"),
            ("PROXY_INHERITED_FD", "7"),
        ];
        assert_eq!(port(&both).unwrap(), (Some(8), Some(7)));
        let faulty = port(&[("PROXY_INHERITED_FD", "-1")])
            .unwrap_err()
            .to_string();
        assert!(faulty.contains("PROXY_INHERITED_FD"), "{faulty}");
    }

    #[test]
    fn a_write_stays_a_write_whatever_it_claims() {
        let rules = MysqlConfig::parse(MYSQL, |_| None)
            .map(|m| m.frontend.class_rules)
            .unwrap();
        assert_eq!(rules.class_of(false, Some("lookup"), b"delete from t"), 2);
        assert_eq!(rules.class_of(true, Some("report"), b"select 1"), 1);
        assert_eq!(
            rules.class_of(true, Some("unknown"), b"select a from t GROUP BY a"),
            1
        );
        assert_eq!(rules.class_of(true, None, b"select 1"), 0);
    }
}
