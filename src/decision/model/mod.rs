//! The data model of the dispatch decisions: settings, events and actions; the state of engines,
//! requests and classes; statistics and estimates over them. The decisions themselves are made
//! elsewhere.
//!
//! Times are milliseconds on the dispatcher's clock.

mod actions;
mod events;
mod query;
mod settings;

pub(super) mod aimd_limit;
pub(super) mod class;
pub(super) mod cost_estimator;
pub(super) mod endpoint;
pub(super) mod endpoint_list;
pub(super) mod endpoint_summary;
pub(super) mod fleet_size;
pub(super) mod in_flight_attempt;
pub(super) mod load_report;
pub(super) mod ordered_queue;
pub(super) mod process_count;
pub(super) mod rate_predictor;
pub(super) mod request;
pub(super) mod request_lifecycle;
pub(super) mod retry_usage;
pub(super) mod selection;
pub(super) mod slow_start_usage;
pub(super) mod state;
pub(super) mod statistics;
pub(super) mod timers;
pub(super) mod token_bucket;
pub(super) mod utilization;

pub use actions::Action;
pub use events::{Ended, EngineEntry, EngineState, Event, ListUpdate, Outcome, ProgressNote};
pub use fleet_size::{FleetEvidence, FleetSizeRange};
pub use query::Query;
pub use settings::{
    Class, DeduplicationScope, EngineCapabilities, Idempotency, Kind, Limits, ReportField,
    RetryBudget, Rules, Settings, SettingsError, Tenant,
};

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;
/// The dispatcher's own number for a query; never reused.
pub type QueryId = u64;
/// Position of a class in [`Settings::classes`].
pub type ClassId = usize;
