//! The operators' file of the MySQL front.

use super::eureka::RawEureka;
use super::spool::RawSpool;
use super::sticky_sessions::RawPins;
use super::tls::RawTls;
use super::tls::TlsSettings;
use super::*;
use crate::sticky_sessions::StickySessionLimits;
use std::collections::HashMap;
use std::path::PathBuf;
use std::time::Duration;

/// A user of the MySQL front.
#[derive(Clone, Debug)]
pub struct User {
    pub password: String,
    /// The common name that its certificate has to show.
    pub certificate_common_name: Option<String>,
    pub tenant: Option<usize>,
}

/// Which class a MySQL statement belongs to.
#[derive(Clone, Debug)]
pub struct ClassRules {
    /// The class of what is not plainly a read; an unsafe one.
    pub write_class: ClassId,
    /// The class of a read that neither a comment nor a rule names.
    pub read_class: ClassId,
    classes: Vec<String>,
    /// Words in the statement, lower case, and the class that the first match gives.
    contains: Vec<(String, ClassId)>,
}

impl ClassRules {
    /// `contains` gives a class to reads that hold a text, first match first.
    pub fn new(
        write: ClassId,
        read: ClassId,
        classes: Vec<String>,
        contains: Vec<(String, ClassId)>,
    ) -> Self {
        ClassRules {
            write_class: write,
            read_class: read,
            classes,
            contains,
        }
    }

    /// A comment or a rule chooses among the classes of a read; a write stays a write, whatever it claims.
    pub fn class_of(&self, reads: bool, claimed: Option<&str>, sql: &[u8]) -> ClassId {
        if !reads {
            return self.write_class;
        }
        let text = String::from_utf8_lossy(sql).to_lowercase();
        let ruled = || {
            self.contains
                .iter()
                .find(|r| text.contains(&r.0))
                .map(|r| r.1)
        };
        claimed
            .and_then(|c| position_of(&self.classes, c))
            .or_else(ruled)
            .unwrap_or(self.read_class)
    }
}

/// What the sessions of the MySQL front need.
#[derive(Clone, Debug)]
pub struct MysqlFrontendConfig {
    pub max_clients: usize,
    pub max_packet: usize,
    pub max_statements: usize,
    pub idle_timeout: Duration,
    /// The server version that clients are told.
    pub server_version: String,
    pub users: HashMap<String, User>,
    pub class_rules: ClassRules,
    /// By class: how long a statement may take.
    pub deadlines: Vec<Millis>,
    /// The class of what holds an engine connection; an unsafe one.
    pub transaction_class: ClassId,
    pub sticky_sessions: StickySessionLimits,
}

/// How to reach engines that speak MySQL.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCredentials {
    pub user: String,
    pub password: String,
    /// Connections to one engine at a time.
    pub max_connections: usize,
    pub max_packet: usize,
}

/// An engine that the file lists.
#[derive(Clone, Debug, PartialEq)]
pub struct StaticEngine {
    pub id: String,
    pub address: SocketAddr,
    pub zone: Option<String>,
    pub kind: Option<String>,
}

/// Where the engines of the MySQL front come from.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointSource {
    Static(Vec<StaticEngine>),
    Eureka(Box<EurekaSettings>),
}

/// Everything that the MySQL front is configured with.
pub struct MysqlConfig {
    pub listen: SocketAddr,
    /// Where operators call; nowhere if it is not said.
    pub admin_address: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, if what starts this program holds that.
    pub inherited_descriptor: Option<i32>,
    /// A folder that all processes of this dispatcher see, and no other.
    pub state_directory: Option<PathBuf>,
    pub frontend: MysqlFrontendConfig,
    pub engine_credentials: EngineCredentials,
    pub settings: Settings,
    pub names: NameTable,
    pub sockets: SocketSettings,
    pub source: EndpointSource,
    pub spool: SpoolSettings,
    pub tls: Option<TlsSettings>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMysql {
    listen: String,
    admin_addr: Option<String>,
    inherited_fd: Option<i32>,
    state_dir: Option<PathBuf>,
    #[serde(default = "one")]
    #[serde(rename = "gateways")]
    dispatchers: u32,
    zone: Option<String>,
    max_clients: Option<usize>,
    max_packet: Option<usize>,
    max_result: Option<usize>,
    max_statements: Option<usize>,
    idle_s: Option<u64>,
    connect_timeout_ms: Option<f64>,
    server_version: Option<String>,
    read_class: String,
    write_class: String,
    transaction_class: Option<String>,
    #[serde(default)]
    pins: RawPins,
    #[serde(default)]
    user: Vec<RawUser>,
    #[serde(default)]
    tenant: Vec<RawTenant>,
    class: Vec<RawClass>,
    #[serde(default)]
    rule: Vec<RawRule>,
    engines: RawEngines,
    #[serde(default)]
    kind: Vec<RawKind>,
    #[serde(default)]
    engine: Vec<RawEngine>,
    eureka: Option<RawEureka>,
    spool: Option<RawSpool>,
    tls: Option<RawTls>,
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawUser {
    name: String,
    password: String,
    certificate: Option<String>,
    tenant: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTenant {
    name: String,
    quota_per_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawClass {
    name: String,
    #[serde(rename = "worth")]
    priority_weight: f64,
    aim_ms: f64,
    deadline_ms: f64,
    #[serde(default)]
    #[serde(rename = "aim_stretch")]
    latency_objective_slowdown: f64,
    #[serde(default)]
    #[serde(rename = "late_share")]
    late_answer_weight: f64,
    #[serde(default = "one")]
    threads: u32,
    /// True: running it twice would do harm.
    #[serde(rename = "unsafe", default)]
    fragile: bool,
    #[serde(default)]
    holds_tables: bool,
    #[serde(default)]
    waits_for_loads: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRule {
    contains: String,
    class: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEngines {
    user: String,
    password: String,
    connections: Option<usize>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKind {
    name: String,
    cores: f64,
    memory_mb: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEngine {
    id: String,
    address: String,
    zone: Option<String>,
    kind: Option<String>,
}

impl MysqlConfig {
    /// What a running program cannot take from `new`: learned state, users and open requests rest on it.
    pub fn needs_restart(&self, new: &MysqlConfig) -> Option<&'static str> {
        match () {
            () if self.listen != new.listen => Some("listen"),
            () if self.admin_address != new.admin_address => Some("admin_addr"),
            () if self.state_directory != new.state_directory => Some("state_dir"),
            () if self.inherited_descriptor != new.inherited_descriptor => Some("inherited_fd"),
            () if self.settings != new.settings || self.names != new.names => {
                Some("class, tenant, kind or zone")
            }
            () if self.tls.is_some() != new.tls.is_some() => Some("tls"),
            () if self.spool.directory != new.spool.directory => Some("spool.dir"),
            () if self.engine_credentials != new.engine_credentials
                || self.sockets != new.sockets =>
            {
                Some("engines")
            }
            () => None,
        }
    }

    pub fn read(path: &str) -> Result<Self, ConfigError> {
        let source = |e: std::io::Error| ConfigError::Source {
            what: path.into(),
            problem: e.to_string(),
        };
        Self::parse(&std::fs::read_to_string(path).map_err(source)?, |v| {
            std::env::var(v).ok()
        })
    }

    pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let de = toml::Deserializer::parse(text).map_err(|e| bad("toml", e.message()))?;
        let raw: RawMysql = serde_path_to_error::deserialize(de)
            .map_err(|e| bad(&e.path().to_string(), e.inner().message()))?;
        let classes: Vec<String> = raw.class.iter().map(|c| c.name.clone()).collect();
        let class = |key: &str, name: &str| {
            position_of(&classes, name)
                .ok_or_else(|| bad(key, format!("no class is named {name:?}")))
        };
        let write = class("write_class", &raw.write_class)?;
        let read = class("read_class", &raw.read_class)?;
        let named = raw
            .transaction_class
            .as_ref()
            .map(|t| class("transaction_class", t))
            .transpose()?;
        let transaction = named.unwrap_or(write);
        for (key, class) in [("write_class", write), ("transaction_class", transaction)] {
            if !raw.class[class].fragile {
                return Err(bad(
                    key,
                    format!("class {:?} is not unsafe", raw.class[class].name),
                ));
            }
        }
        let mut contains = vec![];
        for (i, r) in raw.rule.iter().enumerate() {
            contains.push((
                r.contains.to_lowercase(),
                class(&format!("rule[{i}].class"), &r.class)?,
            ));
        }
        for (i, c) in raw.class.iter().enumerate() {
            if !(c.deadline_ms.is_finite() && c.deadline_ms > 0.0) {
                return Err(bad(&format!("class[{i}].deadline_ms"), "must be above 0"));
            }
        }
        let tenants: Vec<String> = raw.tenant.iter().map(|t| t.name.clone()).collect();
        let mut users = HashMap::new();
        for (i, u) in raw.user.into_iter().enumerate() {
            let tenant = u.tenant.map(|t| {
                let unknown = || {
                    bad(
                        &format!("user[{i}].tenant"),
                        format!("no tenant is named {t:?}"),
                    )
                };
                position_of(&tenants, &t).ok_or_else(unknown)
            });
            if u.certificate.is_some() && raw.tls.as_ref().is_none_or(|t| !t.knows_clients()) {
                return Err(bad(
                    &format!("user[{i}].certificate"),
                    "there is no tls.client_ca to trust it by",
                ));
            }
            let user = User {
                password: u.password,
                certificate_common_name: u.certificate,
                tenant: tenant.transpose()?,
            };
            if users.insert(u.name, user).is_some() {
                return Err(bad(&format!("user[{i}].name"), "stands there twice"));
            }
        }
        let in_range = |key: &str, v: Option<usize>, default: usize, least: usize, most: usize| {
            let v = v.unwrap_or(default);
            if (least..=most).contains(&v) {
                Ok(v)
            } else {
                Err(bad(key, format!("{v} is not in {least} to {most}")))
            }
        };
        let connect_timeout = raw.connect_timeout_ms.unwrap_or(250.0);
        if !(connect_timeout.is_finite() && connect_timeout > 0.0) {
            return Err(bad("connect_timeout_ms", "must be above 0"));
        }
        let mut zones: Vec<String> = raw.zone.iter().cloned().collect();
        let mut kinds = vec![];
        let mut kind_facts = vec![];
        for k in raw.kind {
            kinds.push(k.name);
            kind_facts.push(Kind {
                cores: k.cores,
                memory_mb: k.memory_mb,
            });
        }
        if kinds.is_empty() {
            kinds.push("std".into());
            kind_facts.push(Kind {
                cores: 8.0,
                memory_mb: 16384.0,
            });
        }
        let listen = address("listen", &raw.listen)?;
        let source = match raw.eureka {
            Some(_) if !raw.engine.is_empty() => {
                return Err(bad(
                    "eureka",
                    "engines are listed too: only one of both can be",
                ));
            }
            None if raw.engine.is_empty() => {
                return Err(bad("engine", "no engine is listed, and no eureka"));
            }
            Some(e) => EndpointSource::Eureka(Box::new(e.check(listen, raw.zone.clone())?)),
            None => {
                let mut engines = vec![];
                for (i, e) in raw.engine.into_iter().enumerate() {
                    zones.extend(
                        e.zone
                            .iter()
                            .filter(|z| !zones.contains(z))
                            .cloned()
                            .collect::<Vec<_>>(),
                    );
                    let address = address(&format!("engine[{i}].address"), &e.address)?;
                    engines.push(StaticEngine {
                        id: e.id,
                        address,
                        zone: e.zone,
                        kind: e.kind,
                    });
                }
                EndpointSource::Static(engines)
            }
        };
        let settings = Settings {
            dispatchers: raw.dispatchers,
            zone: raw.zone.as_ref().and_then(|z| position_of(&zones, z)),
            step: 5.0,
            classes: raw
                .class
                .iter()
                .map(|c| Class {
                    priority_weight: c.priority_weight,
                    latency_objective: c.aim_ms,
                    latency_objective_slowdown: c.latency_objective_slowdown,
                    late_answer_weight: c.late_answer_weight,
                    idempotency: if c.fragile {
                        Idempotency::NonIdempotent
                    } else {
                        Idempotency::Idempotent
                    },
                    in_order: false,
                    allowed_zones: None,
                    allowed_kinds: None,
                    threads: f64::from(c.threads),
                    holds_tables: c.holds_tables,
                    waits_for_loads: c.waits_for_loads,
                })
                .collect(),
            tenants: raw
                .tenant
                .iter()
                .map(|t| Tenant {
                    quota_per_s: t.quota_per_s.unwrap_or(f64::MAX),
                })
                .collect(),
            kinds: kind_facts,
            over_quota_weight: 0.05,
            limits: Limits {
                max_attempts: 3,
                hedging: false,
                cancel: true,
                probes: false,
                sends_retry_after: true,
                max_retry_after: 500.0,
            },
            // MySQL takes no grants, and its answers tell nothing of load.
            engines: EngineCapabilities {
                accepts_memory_grants: false,
                accepts_priority: false,
                max_grant_share: 0.4,
                reports_cost: false,
                overcommits_memory: false,
                progress_interval: 0.0,
            },
            rules: Rules {
                answer_grace: 20.0,
                drain_grace: 1000.0,
                initial_warm_up_capacity: 0.3,
                warm_up_period: 15_000.0,
                overload_multiple: 4.0,
                overload_window: 2000.0,
                order_quiet_period: 0.0,
                retry_budget: None,
            },
            report_fields: vec![],
            must_subscribe: false,
            cross_zone_cost: 0.0,
        };
        settings.check().map_err(|e| bad(&e.field, e.problem))?;
        let deadlines: Vec<Millis> = raw.class.iter().map(|c| c.deadline_ms).collect();
        let spool = match raw.spool {
            Some(_) if raw.max_result.is_some() => {
                return Err(bad(
                    "max_result",
                    "goes into spool.result where there is a [spool]",
                ));
            }
            Some(spool) => spool.check()?,
            None => SpoolSettings::in_memory(in_range(
                "max_result",
                raw.max_result,
                1 << 20,
                1024,
                1 << 24,
            )?),
        };
        let max_packet = in_range("max_packet", raw.max_packet, 1 << 20, 1024, (1 << 24) - 2)?;
        Ok(MysqlConfig {
            listen,
            admin_address: admin(&var, raw.admin_addr)?,
            inherited_descriptor: inherited(&var, raw.inherited_fd)?,
            state_directory: raw.state_dir,
            sockets: SocketSettings {
                connect_timeout,
                idle_timeout: 30_000.0,
                max_streams_per_connection: 1,
                progress_interval: 0.0,
                max_open_requests: 1024,
                longest_deadline: deadlines.iter().copied().fold(0.0, f64::max),
            },
            engine_credentials: EngineCredentials {
                user: raw.engines.user,
                password: raw.engines.password,
                max_connections: in_range(
                    "engines.connections",
                    raw.engines.connections,
                    32,
                    1,
                    256,
                )?,
                max_packet,
            },
            frontend: MysqlFrontendConfig {
                max_clients: in_range("max_clients", raw.max_clients, 256, 1, 512)?,
                max_packet,
                max_statements: in_range("max_statements", raw.max_statements, 256, 1, 65_535)?,
                idle_timeout: Duration::from_secs(raw.idle_s.unwrap_or(600).max(1)),
                server_version: raw
                    .server_version
                    .unwrap_or_else(|| "8.0.0-hitchwinch".into()),
                users,
                class_rules: ClassRules::new(write, read, classes.clone(), contains),
                deadlines,
                transaction_class: transaction,
                sticky_sessions: raw.pins.check()?,
            },
            names: NameTable {
                classes,
                kinds,
                zones,
                tenants,
                reports_cost: false,
                report_fields: vec![],
            },
            settings,
            source,
            spool,
            tls: raw.tls.map(RawTls::check).transpose()?,
        })
    }
}
