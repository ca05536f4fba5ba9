//! Configuration: reads and validates the files of both programs, and applies all defaults.
//!
//! Each section has its own module and is processed in three steps: `serde` reads a `RawX`, whose field names
//! are the file's keys; its `check` validates the values; the result is a typed settings struct in which no
//! option means "default". Every error names the invalid key.
//!
//! - [`MysqlConfig`]: TOML file of the MySQL frontend.
//! - [`PlatformConfig`]: JSON file and environment variables of the platform.
//! - [`FleetSettings`]: settings inside the platform's file, which the simulator sends in the same form.

mod checks;
mod environment;
mod error;
pub mod eureka;
mod fleet_settings;
mod limits;
mod mysql;
mod names;
mod platform;
mod spool;
mod sticky_sessions;
#[cfg(test)]
mod tests;
pub mod tls;

pub use error::{ConfigError, Problem};
pub use eureka::EurekaSettings;
pub use fleet_settings::{FleetSettings, FleetSettingsError};
pub use limits::{MachineLimits, SocketSettings};
pub use mysql::{
    ClassRules, EndpointSource, EngineCredentials, MysqlConfig, MysqlFrontendConfig, StaticEngine,
    User,
};
pub use names::{NameTable, position_of};
pub use platform::{GossipSettings, PlatformConfig};
pub use spool::SpoolSettings;
