//! Configuration: the files of both programs are read, checked and given their defaults here, and nowhere else.
//!
//! Each section has a module of its own, and goes through three forms: `RawX` is what `serde` reads, with the file's
//! keys as field names; its `check` validates the values; the result is a typed settings struct without options that
//! mean "default". Every error names the key at fault.
//!
//! - [`MysqlConfig`]: the TOML file of the MySQL frontend.
//! - [`PlatformConfig`]: the platform's JSON file and its environment variables.
//! - [`FleetSettings`]: the settings inside the platform's file, which the simulator sends in the same form.

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
