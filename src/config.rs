//! The one place where configuration is read, checked and given defaults; both programs share the
//! settings' form. Every message names the faulty key.

use crate::interface::*;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What was wrong with a configuration, with the key that is at fault.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("{what}: {problem}")]
    Source { what: String, problem: String },
    #[error("{key}: {problem}")]
    Key { key: String, problem: String },
}

fn bad(key: &str, problem: impl std::fmt::Display) -> ConfigError {
    ConfigError::Key { key: key.into(), problem: problem.to_string() }
}

/// Limits and time-outs of the sockets, from the settings' ceilings.
#[derive(Clone, Debug, PartialEq)]
pub struct Sockets {
    pub connect_timeout: Millis,
    pub idle: Millis,
    /// Attempts carried together on one connection.
    pub streams: usize,
    /// Every attempt on its way brings a note this often; 0: none tells.
    pub notes: Millis,
    pub most_open: usize,
    /// The longest time that a client of any class waits.
    pub longest: Millis,
}

/// The machine's limits.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Machine {
    #[serde(default = "default_memory")]
    pub memory_mb: usize,
    #[serde(default = "default_sockets")]
    pub sockets: usize,
}

fn default_memory() -> usize {
    192
}

fn default_sockets() -> usize {
    1024
}

impl Default for Machine {
    fn default() -> Self {
        Machine { memory_mb: default_memory(), sockets: default_sockets() }
    }
}

#[derive(Deserialize)]
struct RawPlatform {
    name: Option<String>,
    listen: String,
    seed: Option<String>,
    #[serde(default)]
    limits: Machine,
    journal: String,
    known: Option<serde_json::Value>,
    admin_addr: Option<String>,
    settings: Profile,
}

/// Everything that the platform tells one dispatcher.
pub struct Platform {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub limits: Machine,
    pub journal: SocketAddr,
    /// Where operators call; nowhere if it is not said.
    pub admin: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, if the platform holds that.
    pub inherited: Option<i32>,
    /// A folder that all processes of this dispatcher see.
    pub state: Option<PathBuf>,
    /// The journal's events up to now, not yet read.
    pub known: serde_json::Value,
    pub settings: Settings,
    pub names: Names,
    pub sockets: Sockets,
}

/// An address under a key.
fn address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|e| bad(key, format!("{text:?} is no address and port ({e})")))
}

/// The operators' address: `PROXY_ADMIN_ADDR` goes before the key.
fn admin(
    var: &impl Fn(&str) -> Option<String>,
    key: Option<String>,
) -> Result<Option<SocketAddr>, ConfigError> {
    let told = var("PROXY_ADMIN_ADDR").filter(|v| !v.is_empty()).map(|v| ("PROXY_ADMIN_ADDR", v));
    told.or(key.map(|v| ("admin_addr", v))).map(|(key, v)| address(key, &v)).transpose()
}

/// The inherited descriptor: `PROXY_INHERITED_FD` goes before the key.
fn inherited(var: &impl Fn(&str) -> Option<String>, key: Option<i32>) -> Result<Option<i32>, ConfigError> {
    let faulty = |v: &str| bad("PROXY_INHERITED_FD", format!("{v:?} is no descriptor"));
    let read = |v: String| v.parse().ok().filter(|n| *n >= 0).ok_or_else(|| faulty(&v));
    let told = var("PROXY_INHERITED_FD").filter(|v| !v.is_empty()).map(read).transpose()?;
    Ok(told.or(key))
}

impl Platform {
    /// What a running program cannot take from `new`: learned state and open requests rest on it.
    pub fn needs_restart(&self, new: &Platform) -> Option<&'static str> {
        match () {
            () if self.listen != new.listen => Some("listen"),
            () if self.admin != new.admin => Some("admin_addr"),
            () if self.settings != new.settings || self.names != new.names || self.sockets != new.sockets => {
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
        let raw: RawPlatform =
            serde_path_to_error::deserialize(de).map_err(|e| bad(&e.path().to_string(), e.inner()))?;
        let seed = raw.seed.unwrap_or_default();
        if raw.limits.sockets < 64 {
            return Err(bad("limits.sockets", "at least 64 are needed"));
        }
        let sockets = raw.settings.sockets();
        for (key, v) in [("connect_timeout", sockets.connect_timeout), ("conn_idle", sockets.idle)] {
            if !(v.is_finite() && v > 0.0) {
                return Err(bad(&format!("settings.ceilings.{key}"), "must be above 0"));
            }
        }
        let (settings, names) = raw.settings.settings().map_err(|e| bad("settings", e))?;
        settings.check().map_err(|e| bad(&format!("settings.{}", e.field), e.problem))?;
        Ok(Platform {
            name: var("PROXY_NAME").or(raw.name).unwrap_or_else(|| "hitchwinch".into()),
            listen: match var("PROXY_LISTEN") {
                Some(text) => address("PROXY_LISTEN", &text)?,
                None => address("listen", &raw.listen)?,
            },
            seed: u64::from_str_radix(&seed, 16)
                .or_else(|_| seed.parse())
                .map_err(|_| bad("seed", format!("{seed:?} is no hexadecimal number")))?,
            inherited: inherited(&var, None)?,
            state: var("TMPDIR").filter(|v| !v.is_empty()).map(PathBuf::from),
            limits: raw.limits,
            admin: admin(&var, raw.admin_addr)?,
            journal: address("journal", &raw.journal)?,
            known: raw.known.unwrap_or(serde_json::Value::Null),
            settings,
            names,
            sockets,
        })
    }
}

/// A user of the MySQL front.
#[derive(Clone, Debug)]
pub struct User {
    pub password: String,
    pub tenant: Option<usize>,
}

/// Which class a MySQL statement belongs to.
#[derive(Clone, Debug)]
pub struct ClassRules {
    /// The class of what is not plainly a read; an unsafe one.
    pub write: ClassId,
    /// The class of a read that neither a comment nor a rule names.
    pub read: ClassId,
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
        ClassRules { write, read, classes, contains }
    }

    /// A comment or a rule chooses among the classes of a read; a write stays a write, whatever it claims.
    pub fn class(&self, reads: bool, claimed: Option<&str>, sql: &[u8]) -> ClassId {
        if !reads {
            return self.write;
        }
        let text = String::from_utf8_lossy(sql).to_lowercase();
        let ruled = || self.contains.iter().find(|r| text.contains(&r.0)).map(|r| r.1);
        claimed.and_then(|c| find(&self.classes, c)).or_else(ruled).unwrap_or(self.read)
    }
}

/// What the sessions of the MySQL front need.
#[derive(Clone, Debug)]
pub struct MysqlFront {
    pub max_clients: usize,
    pub max_packet: usize,
    pub max_statements: usize,
    pub idle: Duration,
    /// The server version that clients are told.
    pub version: String,
    pub users: HashMap<String, User>,
    pub rules: ClassRules,
    /// By class: how long a statement may take.
    pub deadlines: Vec<Millis>,
}

/// How to reach engines that speak MySQL.
#[derive(Clone, Debug, PartialEq)]
pub struct Access {
    pub user: String,
    pub password: String,
    /// Connections to one engine at a time.
    pub connections: usize,
    pub most_packet: usize,
    pub most_result: usize,
}

/// An engine that the file lists.
#[derive(Clone, Debug, PartialEq)]
pub struct FixedEngine {
    pub id: String,
    pub address: SocketAddr,
    pub zone: Option<String>,
    pub kind: Option<String>,
}

/// Where the engines of the MySQL front come from.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    Fixed(Vec<FixedEngine>),
    Eureka(EurekaSource),
}

/// A Eureka registry and the application that the engines register under.
#[derive(Clone, Debug, PartialEq)]
pub struct EurekaSource {
    pub address: SocketAddr,
    /// Before `/apps`.
    pub path: String,
    pub app: String,
    pub period: Duration,
}

/// Everything that the MySQL front is configured with.
pub struct Mysql {
    pub listen: SocketAddr,
    /// Where operators call; nowhere if it is not said.
    pub admin: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, if what starts this program holds that.
    pub inherited: Option<i32>,
    /// A folder that all processes of this dispatcher see, and no other.
    pub state: Option<PathBuf>,
    pub front: MysqlFront,
    pub access: Access,
    pub settings: Settings,
    pub names: Names,
    pub sockets: Sockets,
    pub source: Source,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMysql {
    listen: String,
    admin_addr: Option<String>,
    inherited_fd: Option<i32>,
    state_dir: Option<PathBuf>,
    #[serde(default = "one")]
    gateways: u32,
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
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawUser {
    name: String,
    password: String,
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
    worth: f64,
    aim_ms: f64,
    deadline_ms: f64,
    #[serde(default)]
    aim_stretch: f64,
    #[serde(default)]
    late_share: f64,
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

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEureka {
    address: String,
    path: Option<String>,
    app: String,
    period_s: Option<u64>,
}

impl Mysql {
    /// What a running program cannot take from `new`: learned state, users and open requests rest on it.
    pub fn needs_restart(&self, new: &Mysql) -> Option<&'static str> {
        match () {
            () if self.listen != new.listen => Some("listen"),
            () if self.admin != new.admin => Some("admin_addr"),
            () if self.state != new.state => Some("state_dir"),
            () if self.inherited != new.inherited => Some("inherited_fd"),
            () if self.settings != new.settings || self.names != new.names => {
                Some("class, tenant, kind or zone")
            }
            () if self.access != new.access || self.sockets != new.sockets => Some("engines"),
            () => None,
        }
    }

    pub fn read(path: &str) -> Result<Self, ConfigError> {
        let source = |e: std::io::Error| ConfigError::Source { what: path.into(), problem: e.to_string() };
        Self::parse(&std::fs::read_to_string(path).map_err(source)?, |v| std::env::var(v).ok())
    }

    pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let de = toml::Deserializer::parse(text).map_err(|e| bad("toml", e.message()))?;
        let raw: RawMysql = serde_path_to_error::deserialize(de)
            .map_err(|e| bad(&e.path().to_string(), e.inner().message()))?;
        let classes: Vec<String> = raw.class.iter().map(|c| c.name.clone()).collect();
        let class = |key: &str, name: &str| {
            find(&classes, name).ok_or_else(|| bad(key, format!("no class is named {name:?}")))
        };
        let write = class("write_class", &raw.write_class)?;
        let read = class("read_class", &raw.read_class)?;
        if !raw.class[write].fragile {
            return Err(bad("write_class", format!("class {:?} is not unsafe", raw.write_class)));
        }
        let mut contains = vec![];
        for (i, r) in raw.rule.iter().enumerate() {
            contains.push((r.contains.to_lowercase(), class(&format!("rule[{i}].class"), &r.class)?));
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
                let unknown = || bad(&format!("user[{i}].tenant"), format!("no tenant is named {t:?}"));
                find(&tenants, &t).ok_or_else(unknown)
            });
            let user = User { password: u.password, tenant: tenant.transpose()? };
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
            kind_facts.push(Kind { cores: k.cores, memory_mb: k.memory_mb });
        }
        if kinds.is_empty() {
            kinds.push("std".into());
            kind_facts.push(Kind { cores: 8.0, memory_mb: 16384.0 });
        }
        let source = match raw.eureka {
            Some(_) if !raw.engine.is_empty() => {
                return Err(bad("eureka", "engines are listed too: only one of both can be"));
            }
            None if raw.engine.is_empty() => return Err(bad("engine", "no engine is listed, and no eureka")),
            Some(e) => Source::Eureka(EurekaSource {
                address: address("eureka.address", &e.address)?,
                path: e.path.unwrap_or_else(|| "/eureka".into()).trim_end_matches('/').into(),
                app: e.app,
                period: Duration::from_secs(e.period_s.unwrap_or(5).clamp(1, 300)),
            }),
            None => {
                let mut engines = vec![];
                for (i, e) in raw.engine.into_iter().enumerate() {
                    zones.extend(e.zone.iter().filter(|z| !zones.contains(z)).cloned().collect::<Vec<_>>());
                    let address = address(&format!("engine[{i}].address"), &e.address)?;
                    engines.push(FixedEngine { id: e.id, address, zone: e.zone, kind: e.kind });
                }
                Source::Fixed(engines)
            }
        };
        let settings = Settings {
            gateways: raw.gateways,
            zone: raw.zone.as_ref().and_then(|z| find(&zones, z)),
            step: 5.0,
            classes: raw
                .class
                .iter()
                .map(|c| Class {
                    worth: c.worth,
                    aim: c.aim_ms,
                    aim_stretch: c.aim_stretch,
                    late_share: c.late_share,
                    effect: if c.fragile { Effect::Unsafe } else { Effect::Safe },
                    in_order: false,
                    only_zones: None,
                    only_kinds: None,
                    threads: f64::from(c.threads),
                    holds_tables: c.holds_tables,
                    waits_for_loads: c.waits_for_loads,
                })
                .collect(),
            tenants: raw
                .tenant
                .iter()
                .map(|t| Tenant { quota_per_s: t.quota_per_s.unwrap_or(f64::MAX) })
                .collect(),
            kinds: kind_facts,
            over_share_worth: 0.05,
            limits: Limits {
                most_attempts: 3,
                second_copies: false,
                cancel: true,
                probes: false,
                retry_advice: true,
                max_retry_after: 500.0,
            },
            // MySQL takes no grants, and its answers tell nothing of load.
            engines: EngineFacts {
                takes_grants: false,
                takes_priority: false,
                most_grant: 0.4,
                tells_cost: false,
                overcommits: false,
                notes_every: 0.0,
            },
            rules: Rules {
                answer_grace: 20.0,
                drain_grace: 1000.0,
                cold_from: 0.3,
                warm_within: 15_000.0,
                fall_multiple: 4.0,
                fall_window: 2000.0,
                order_rest: 0.0,
                attempt_budget: None,
            },
            report_fields: vec![],
            must_subscribe: false,
            cross_zone_price: 0.0,
        };
        settings.check().map_err(|e| bad(&e.field, e.problem))?;
        let deadlines: Vec<Millis> = raw.class.iter().map(|c| c.deadline_ms).collect();
        let max_packet = in_range("max_packet", raw.max_packet, 1 << 20, 1024, (1 << 24) - 2)?;
        Ok(Mysql {
            listen: address("listen", &raw.listen)?,
            admin: admin(&var, raw.admin_addr)?,
            inherited: inherited(&var, raw.inherited_fd)?,
            state: raw.state_dir,
            sockets: Sockets {
                connect_timeout,
                idle: 30_000.0,
                streams: 1,
                notes: 0.0,
                most_open: 1024,
                longest: deadlines.iter().copied().fold(0.0, f64::max),
            },
            access: Access {
                user: raw.engines.user,
                password: raw.engines.password,
                connections: in_range("engines.connections", raw.engines.connections, 32, 1, 256)?,
                most_packet: max_packet,
                most_result: in_range("max_result", raw.max_result, 1 << 20, 1024, 1 << 24)?,
            },
            front: MysqlFront {
                max_clients: in_range("max_clients", raw.max_clients, 256, 1, 512)?,
                max_packet,
                max_statements: in_range("max_statements", raw.max_statements, 256, 1, 65_535)?,
                idle: Duration::from_secs(raw.idle_s.unwrap_or(600).max(1)),
                version: raw.server_version.unwrap_or_else(|| "8.0.0-hitchwinch".into()),
                users,
                rules: ClassRules::new(write, read, classes.clone(), contains),
                deadlines,
            },
            names: Names { classes, kinds, zones, tenants, tells_cost: false, report_fields: vec![] },
            settings,
            source,
        })
    }
}

/// The settings as the simulator's first message and the platform's `settings` hold them.
#[derive(Deserialize)]
pub struct Profile {
    ceilings: Ceilings,
    deductions: Option<Deductions>,
    discovery: Option<String>,
    extra: Option<Extra>,
    feedback: Option<Feedback>,
    fleet_size: u32,
    grades: Vec<Grade>,
    locality: Option<String>,
    machine_types: Vec<String>,
    over_share_worth: Option<f64>,
    rules: RulesIn,
    step: f64,
    tenants: Option<Vec<TenantIn>>,
    zones: Option<Vec<String>>,
}

#[derive(Deserialize)]
struct Ceilings {
    cancel: Option<bool>,
    conn_idle: Option<f64>,
    connect_timeout: Option<f64>,
    max_open: Option<usize>,
    max_retry_after: Option<f64>,
    most_tries: Option<u32>,
    probes: Option<bool>,
    retry_after: Option<bool>,
    second_copies: Option<bool>,
    streams_per_conn: Option<usize>,
}

#[derive(Deserialize)]
struct Deductions {
    cross_zone: Option<f64>,
}

#[derive(Default, Deserialize)]
struct Extra {
    #[serde(default)]
    class_waits: Vec<bool>,
    #[serde(default)]
    cores_by_kind: Vec<f64>,
    cost_in_answers: Option<bool>,
    #[serde(default)]
    holds_tables: Vec<bool>,
    most_grant: Option<f64>,
    on_shortage: Option<String>,
    progress: Option<f64>,
    #[serde(default)]
    ram_of_kind_mb: Vec<f64>,
    takes_grants: Option<bool>,
    takes_priority: Option<bool>,
    #[serde(default)]
    width_by_class: Vec<f64>,
}

#[derive(Deserialize)]
struct Feedback {
    fields: Option<Vec<String>>,
}

#[derive(Deserialize)]
struct Grade {
    name: String,
    aim: f64,
    aim_stretch: Option<f64>,
    dedup_window: Option<f64>,
    effect: String,
    hard_limit: Option<f64>,
    group: Option<String>,
    late_share: Option<f64>,
    one_at_a_time: Option<bool>,
    confined_to: Option<Vec<String>>,
    machine_types_only: Option<Vec<String>>,
    worth: f64,
}

#[derive(Deserialize)]
struct RulesIn {
    budget_span: Option<f64>,
    cold_from: f64,
    drain_grace: f64,
    extra_per_request: Option<f64>,
    fall_multiple: f64,
    grace_to_answer: f64,
    overload_for: f64,
    spare_attempts: Option<f64>,
    turn_gap: Option<f64>,
    warm_within: f64,
}

#[derive(Deserialize)]
struct TenantIn {
    name: String,
    quota_per_s: Option<f64>,
}

/// Names to numbers, as one instance's settings list them.
#[derive(Clone, Debug, PartialEq)]
pub struct Names {
    pub classes: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    pub tenants: Vec<String>,
    pub tells_cost: bool,
    /// The names of a load report's values, as the settings list them.
    pub report_fields: Vec<String>,
}

/// Position of a name in a list.
pub fn find(list: &[String], name: &str) -> Option<usize> {
    list.iter().position(|n| n == name)
}

fn at<T: Copy>(list: &[T], i: usize, absent: T, len: usize, field: &str) -> Result<T, String> {
    match list.len() {
        0 => Ok(absent),
        n if n == len => Ok(list[i]),
        n => Err(format!("{field}: {n} entries where {len} belong")),
    }
}

impl Profile {
    /// What the sockets need to know of the settings.
    pub fn sockets(&self) -> Sockets {
        let c = &self.ceilings;
        let longest = self.grades.iter().filter_map(|g| g.hard_limit).fold(0.0, f64::max);
        Sockets {
            connect_timeout: c.connect_timeout.unwrap_or(250.0),
            idle: c.conn_idle.unwrap_or(30_000.0),
            streams: c.streams_per_conn.unwrap_or(100).clamp(1, 1024),
            notes: self.extra.as_ref().and_then(|x| x.progress).unwrap_or(0.0),
            most_open: c.max_open.unwrap_or(20_000),
            longest,
        }
    }

    /// The module's settings, and the names behind its numbers.
    pub fn settings(self) -> Result<(Settings, Names), String> {
        let x = self.extra.unwrap_or_default();
        let zones = self.zones.unwrap_or_default();
        let kinds = self.machine_types;
        let n = self.grades.len();
        let mut classes = Vec::with_capacity(n);
        for (i, g) in self.grades.iter().enumerate() {
            let effect = match g.effect.as_str() {
                "retryable" => Effect::Safe,
                "fragile" => Effect::Unsafe,
                "dedup" => Effect::Keyed {
                    group: match g.group.as_deref() {
                        Some("all") => Group::All,
                        Some("zone") => Group::Zone,
                        Some("cell") | None => Group::Cell,
                        Some(other) => return Err(format!("grades[{i}].group: unknown word {other:?}")),
                    },
                    window: g.dedup_window.unwrap_or(0.0),
                },
                other => return Err(format!("grades[{i}].effect: unknown word {other:?}")),
            };
            // A name that is not listed can match no engine: it is left out, which is the stricter reading.
            let numbers = |names: &Option<Vec<String>>, list: &[String]| {
                names.as_ref().map(|v| v.iter().filter_map(|s| find(list, s)).collect())
            };
            classes.push(Class {
                worth: g.worth,
                aim: g.aim,
                aim_stretch: g.aim_stretch.unwrap_or(0.0),
                late_share: g.late_share.unwrap_or(0.0),
                effect,
                in_order: g.one_at_a_time.unwrap_or(false),
                only_zones: numbers(&g.confined_to, &zones),
                only_kinds: numbers(&g.machine_types_only, &kinds),
                threads: at(&x.width_by_class, i, 1.0, n, "extra.width_by_class")?,
                holds_tables: at(&x.holds_tables, i, false, n, "extra.holds_tables")?,
                waits_for_loads: at(&x.class_waits, i, false, n, "extra.class_waits")?,
            });
        }
        let m = kinds.len();
        let kind_facts = (0..m)
            .map(|i| {
                Ok(Kind {
                    cores: at(&x.cores_by_kind, i, 1.0, m, "extra.cores_by_kind")?,
                    memory_mb: at(&x.ram_of_kind_mb, i, 0.0, m, "extra.ram_of_kind_mb")?,
                })
            })
            .collect::<Result<_, String>>()?;
        let tenants = self.tenants.unwrap_or_default();
        let r = self.rules;
        let budget = (r.budget_span, r.spare_attempts, r.extra_per_request);
        let c = self.ceilings;
        let fields = self.feedback.and_then(|f| f.fields).unwrap_or_default();
        let tells_cost = x.cost_in_answers.unwrap_or(false);
        let settings = Settings {
            gateways: self.fleet_size,
            zone: self.locality.and_then(|z| find(&zones, &z)),
            step: self.step,
            classes,
            tenants: tenants
                .iter()
                .map(|t| Tenant { quota_per_s: t.quota_per_s.unwrap_or(f64::MAX) })
                .collect(),
            kinds: kind_facts,
            over_share_worth: self.over_share_worth.unwrap_or(1.0),
            limits: Limits {
                most_attempts: c.most_tries.unwrap_or(1),
                second_copies: c.second_copies.unwrap_or(false),
                cancel: c.cancel.unwrap_or(false),
                probes: c.probes.unwrap_or(false),
                retry_advice: c.retry_after.unwrap_or(false),
                max_retry_after: c.max_retry_after.unwrap_or(0.0),
            },
            engines: EngineFacts {
                takes_grants: x.takes_grants.unwrap_or(false),
                takes_priority: x.takes_priority.unwrap_or(false),
                most_grant: x.most_grant.unwrap_or(0.0),
                tells_cost,
                overcommits: x.on_shortage.as_deref() == Some("overcommit"),
                notes_every: x.progress.unwrap_or(0.0),
            },
            rules: Rules {
                answer_grace: r.grace_to_answer,
                drain_grace: r.drain_grace,
                cold_from: r.cold_from,
                warm_within: r.warm_within,
                fall_multiple: r.fall_multiple,
                fall_window: r.overload_for,
                order_rest: r.turn_gap.unwrap_or(0.0),
                attempt_budget: match budget {
                    (None, None, None) => None,
                    (span, free, share) => Some(AttemptBudget {
                        span: span.unwrap_or(0.0),
                        free: free.unwrap_or(0.0),
                        share: share.unwrap_or(0.0),
                    }),
                },
            },
            report_fields: fields
                .iter()
                .map(|f| match f.as_str() {
                    "rif" => ReportField::Inflight,
                    "q" => ReportField::MemoryQueue,
                    "busy" => ReportField::CpuBusy,
                    "x0" => ReportField::MemoryGranted,
                    "x1" => ReportField::DiskBusy,
                    _ => ReportField::Other,
                })
                .collect(),
            must_subscribe: self.discovery.as_deref() == Some("subscribe"),
            cross_zone_price: self.deductions.and_then(|d| d.cross_zone).unwrap_or(0.0),
        };
        let names = Names {
            classes: self.grades.into_iter().map(|g| g.name).collect(),
            kinds,
            zones,
            tenants: tenants.into_iter().map(|t| t.name).collect(),
            tells_cost,
            report_fields: fields,
        };
        Ok((settings, names))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MYSQL: &str = include_str!("../deploy/mysql.toml");
    const PLATFORM: &str = r#"{"listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","journal":"127.0.0.1:2",
        "settings":{"ceilings":{"connect_timeout":250.0},"fleet_size":1,"grades":[{"name":"lookup",
        "aim":800.0,"effect":"retryable","worth":1.0}],"machine_types":["std"],"rules":{"cold_from":0.3,
        "drain_grace":250.0,"fall_multiple":3.0,"grace_to_answer":20.0,"overload_for":1500.0,
        "warm_within":14000.0},"step":5.0}}"#;

    #[test]
    fn the_file_under_deploy_is_good_and_a_faulty_key_is_named() {
        let good = Mysql::parse(MYSQL, |_| None).map_err(|e| e.to_string()).unwrap();
        assert_eq!((good.front.rules.read, good.front.rules.write), (0, 2));
        let cases = [
            ("listen = \"127", "listen = \"x127", "listen"),
            ("read_class = \"lookup\"", "read_class = \"look\"", "read_class"),
            ("write_class = \"load\"", "write_class = \"report\"", "write_class"),
            ("tenant = \"ti-marmite\"", "tenant = \"x\"", "user[0].tenant"),
            ("threads = 3", "threads = 0", "classes[1].threads"),
            ("deadline_ms = 25000.0", "deadline_ms = -1.0", "class[1].deadline_ms"),
            ("deadline_ms = 25000.0", "deadline_ms = \"x\"", "class[1].deadline_ms"),
            ("class = \"report\"", "class = \"rep\"", "rule[0].class"),
            ("connections = 32", "connections = 0", "engines.connections"),
            ("connections = 32", "conections = 32", "conections"),
            ("address = \"127.0.0.1:4002\"", "address = \"there\"", "engine[1].address"),
            ("# admin_addr = \"127.0.0.1:3307\"", "admin_addr = \"there\"", "admin_addr"),
            ("# inherited_fd = 7", "inherited_fd = \"x\"", "inherited_fd"),
        ];
        for (good, faulty, key) in cases {
            assert!(MYSQL.contains(good), "{good}");
            let told =
                Mysql::parse(&MYSQL.replace(good, faulty), |_| None).map(|_| ()).unwrap_err().to_string();
            assert!(told.contains(key), "{faulty}: {told}");
        }
    }

    #[test]
    fn the_platforms_file_goes_behind_its_variables_and_a_faulty_key_is_named() {
        let none = |_: &str| None;
        let var = |v: &str| (v == "PROXY_LISTEN").then(|| "127.0.0.1:9".to_string());
        assert_eq!(Platform::parse(PLATFORM, var).map(|p| p.listen.port()).unwrap(), 9);
        let cases = [
            ("8c1f30d27a5be964", "xyz", "seed"),
            ("\"connect_timeout\":250.0", "\"connect_timeout\":0.0", "settings.ceilings.connect_timeout"),
            ("\"worth\":1.0", "\"worth\":\"x\"", "settings.grades[0].worth"),
            ("\"retryable\"", "\"odd\"", "grades[0].effect"),
            ("\"step\":5.0", "\"step\":-5.0", "settings.step"),
            ("127.0.0.1:2", "there", "journal"),
        ];
        for (good, faulty, key) in cases {
            assert!(PLATFORM.contains(good), "{good}");
            let told = Platform::parse(&PLATFORM.replace(good, faulty), none).map(|_| ()).unwrap_err();
            assert!(told.to_string().contains(key), "{faulty}: {told}");
        }
    }

    #[test]
    fn the_operators_address_and_the_inherited_socket_are_read_with_the_variable_first() {
        let file = PLATFORM.replacen('{', "{\"admin_addr\":\"127.0.0.1:7\",", 1);
        let port = |v: &[(&str, &str)]| {
            let var = |name: &str| v.iter().find(|v| v.0 == name).map(|v| v.1.to_string());
            Platform::parse(&file, var).map(|p| (p.admin.map(|a| a.port()), p.inherited))
        };
        assert_eq!(port(&[]).unwrap(), (Some(7), None));
        let both = [("PROXY_ADMIN_ADDR", "127.0.0.1:8"), ("PROXY_INHERITED_FD", "7")];
        assert_eq!(port(&both).unwrap(), (Some(8), Some(7)));
        let faulty = port(&[("PROXY_INHERITED_FD", "-1")]).unwrap_err().to_string();
        assert!(faulty.contains("PROXY_INHERITED_FD"), "{faulty}");
    }

    #[test]
    fn a_write_stays_a_write_whatever_it_claims() {
        let rules = Mysql::parse(MYSQL, |_| None).map(|m| m.front.rules).unwrap();
        assert_eq!(rules.class(false, Some("lookup"), b"delete from t"), 2);
        assert_eq!(rules.class(true, Some("report"), b"select 1"), 1);
        assert_eq!(rules.class(true, Some("unknown"), b"select a from t GROUP BY a"), 1);
        assert_eq!(rules.class(true, None, b"select 1"), 0);
    }
}
