//! The MySQL frontend's file as `serde` reads it: field names are the file's keys.

use crate::config::eureka::RawEureka;
use crate::config::mysql::classes::{RawClass, RawRule};
use crate::config::mysql::engines::{RawEngine, RawEngines, RawKind};
use crate::config::mysql::users::{RawTenant, RawUser};
use crate::config::spool::RawSpool;
use crate::config::sticky_sessions::RawPins;
use crate::config::tls::RawTls;
use serde::Deserialize;
use std::path::PathBuf;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawMysql {
    pub(super) listen: String,
    pub(super) admin_addr: Option<String>,
    pub(super) inherited_fd: Option<i32>,
    pub(super) state_dir: Option<PathBuf>,
    #[serde(default = "one")]
    #[serde(rename = "gateways")]
    pub(super) dispatchers: u32,
    pub(super) zone: Option<String>,
    pub(super) max_clients: Option<usize>,
    pub(super) max_packet: Option<usize>,
    pub(super) max_result: Option<usize>,
    pub(super) max_statements: Option<usize>,
    pub(super) idle_s: Option<u64>,
    pub(super) connect_timeout_ms: Option<f64>,
    pub(super) server_version: Option<String>,
    pub(super) read_class: String,
    pub(super) write_class: String,
    pub(super) transaction_class: Option<String>,
    #[serde(default)]
    pub(super) pins: RawPins,
    #[serde(default)]
    pub(super) user: Vec<RawUser>,
    #[serde(default)]
    pub(super) tenant: Vec<RawTenant>,
    pub(super) class: Vec<RawClass>,
    #[serde(default)]
    pub(super) rule: Vec<RawRule>,
    pub(super) engines: RawEngines,
    #[serde(default)]
    pub(super) kind: Vec<RawKind>,
    #[serde(default)]
    pub(super) engine: Vec<RawEngine>,
    pub(super) eureka: Option<RawEureka>,
    pub(super) spool: Option<RawSpool>,
    pub(super) tls: Option<RawTls>,
}

fn one() -> u32 {
    1
}
