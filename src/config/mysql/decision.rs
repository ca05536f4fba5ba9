//! Settings of the decision module for engines that use the MySQL protocol.

use crate::config::mysql::classes::{RawClass, decision_class};
use crate::config::mysql::engines::Kinds;
use crate::config::mysql::users::{RawTenant, decision_tenant, tenant_names};
use crate::config::{ConfigError, NameTable, position_of};
use crate::decision::model::{EngineCapabilities, Limits, Millis, Rules, Settings};

/// Minimum time between two calls of the decision module with a later clock, in ms.
const STEP: Millis = 5.0;
/// Weight of a statement that exceeds its tenant's quota, as a fraction of its class's weight.
const OVER_QUOTA_WEIGHT: f64 = 0.05;

const LIMITS: Limits = Limits {
    max_attempts: 3,
    hedging: false,
    cancel: true,
    probes: false,
    sends_retry_after: true,
    max_retry_after: 500.0,
};

/// MySQL accepts no memory grants, and its answers report neither load nor cost.
const ENGINES: EngineCapabilities = EngineCapabilities {
    accepts_memory_grants: false,
    accepts_priority: false,
    max_grant_share: 0.4,
    reports_cost: false,
    overcommits_memory: false,
    progress_interval: 0.0,
};

const RULES: Rules = Rules {
    answer_grace: 20.0,
    drain_grace: 1000.0,
    initial_warm_up_capacity: 0.3,
    warm_up_period: 15_000.0,
    overload_multiple: 4.0,
    overload_window: 2000.0,
    order_quiet_period: 0.0,
    retry_budget: None,
};

/// Sections of the file that describe the fleet.
pub(super) struct Fleet {
    pub(super) dispatchers: u32,
    /// Name of this dispatcher's zone.
    pub(super) zone: Option<String>,
    /// Names of all zones.
    pub(super) zones: Vec<String>,
    pub(super) kinds: Kinds,
    pub(super) classes: Vec<RawClass>,
    pub(super) tenants: Vec<RawTenant>,
}

impl Fleet {
    /// Returns the settings, and the names for their numbers.
    pub(super) fn check(self) -> Result<(Settings, NameTable), ConfigError> {
        let zone = self.zone.as_ref();
        let settings = Settings {
            dispatchers: self.dispatchers,
            zone: zone.and_then(|name| position_of(&self.zones, name)),
            step: STEP,
            classes: self.classes.iter().map(decision_class).collect(),
            tenants: self.tenants.iter().map(decision_tenant).collect(),
            kinds: self.kinds.kinds,
            over_quota_weight: OVER_QUOTA_WEIGHT,
            limits: LIMITS,
            engines: ENGINES,
            rules: RULES,
            report_fields: vec![],
            must_subscribe: false,
            cross_zone_cost: 0.0,
        };
        settings.check().map_err(|e| ConfigError::settings("", e))?;
        let names = NameTable {
            classes: self.classes.into_iter().map(|class| class.name).collect(),
            kinds: self.kinds.names,
            zones: self.zones,
            tenants: tenant_names(&self.tenants),
            reports_cost: ENGINES.reports_cost,
            report_fields: vec![],
        };
        Ok((settings, names))
    }
}
