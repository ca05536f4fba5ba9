//! hitchwinch is a dispatcher for query engines. Its decision module, the [`Controller`], decides which
//! queries run, on which engine, with how much memory and at what priority. It receives events and returns
//! actions; it opens no socket, reads no clock and keeps no state outside itself. The other modules connect
//! it to clients, engines and service discovery.
//!
//! ```
//! use query_dispatcher::*;
//!
//! let class = Class {
//!     priority_weight: 1.0, latency_objective: 500.0, latency_objective_slowdown: 2.0,
//!     late_answer_weight: 0.0, idempotency: Idempotency::Idempotent, in_order: false,
//!     allowed_zones: None, allowed_kinds: None, threads: 1.0,
//!     holds_tables: false, waits_for_loads: false,
//! };
//! let settings = Settings {
//!     dispatchers: 1, zone: None, step: 5.0, classes: vec![class], tenants: vec![],
//!     kinds: vec![Kind { cores: 8.0, memory_mb: 16384.0 }], over_quota_weight: 1.0,
//!     limits: Limits {
//!         max_attempts: 3, hedging: false, cancel: true, probes: false,
//!         sends_retry_after: true, max_retry_after: 500.0,
//!     },
//!     engines: EngineCapabilities {
//!         accepts_memory_grants: false, accepts_priority: false, max_grant_share: 0.4,
//!         reports_cost: false, overcommits_memory: false, progress_interval: 0.0,
//!     },
//!     rules: Rules {
//!         answer_grace: 20.0, drain_grace: 250.0, initial_warm_up_capacity: 0.3, warm_up_period: 14000.0,
//!         overload_multiple: 3.0, overload_window: 1500.0, order_quiet_period: 0.0, retry_budget: None,
//!     },
//!     report_fields: vec![], must_subscribe: false, cross_zone_cost: 0.0,
//! };
//! let mut controller = Controller::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let entries = vec![EngineEntry {
//!     engine: "db-1".into(), state: EngineState::Ready, started: None, kind: Some(0), zone: None,
//!     cell: 0,
//! }];
//! controller.handle(0.0, Event::EngineList { update: ListUpdate::Stale, entries }, &mut actions);
//! let query = Query {
//!     id: 1, class: 0, tenant: None, key: None, tables: None, time_left: 2000.0, work: None,
//!     memory_mb: None,
//! };
//! controller.handle(1.0, Event::Query(query), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, engine, .. } if engine == "db-1")));
//! # Ok::<(), SettingsError>(())
//! ```

pub mod admin;
pub mod certificates;
pub mod clock;
pub mod config;
pub mod core;
pub mod decision;
pub mod discovery;
pub mod dispatch;
pub mod frontend;
pub mod gossip;
pub mod log;
pub mod membership;
pub mod protocol;
pub mod server;
pub mod spool;
pub mod spool_io;
pub mod sticky_sessions;
pub mod storage;
pub mod transport;
pub mod upstream;

pub use decision::Controller;
pub use decision::model::*;
