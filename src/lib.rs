//! hitchwinch makes a query gateway's decisions: what runs, where, with how much memory and at what
//! priority. The gateway reports events; the [`Controller`] answers with actions. It opens no
//! socket, reads no clock and keeps no state outside itself.
//!
//! ```
//! use query_dispatcher::*;
//!
//! let class = Class {
//!     worth: 1.0, aim: 500.0, aim_stretch: 2.0, late_share: 0.0, effect: Effect::Safe,
//!     in_order: false, only_zones: None, only_kinds: None, threads: 1.0,
//!     holds_tables: false, waits_for_loads: false,
//! };
//! let settings = Settings {
//!     gateways: 1, zone: None, step: 5.0, classes: vec![class], tenants: vec![],
//!     kinds: vec![Kind { cores: 8.0, memory_mb: 16384.0 }], over_share_worth: 1.0,
//!     limits: Limits {
//!         most_attempts: 3, second_copies: false, cancel: true, probes: false,
//!         retry_advice: true, max_retry_after: 500.0,
//!     },
//!     engines: EngineFacts { takes_grants: false, takes_priority: false, most_grant: 0.4, tells_cost: false, overcommits: false, notes_every: 0.0 },
//!     rules: Rules {
//!         answer_grace: 20.0, drain_grace: 250.0, cold_from: 0.3, warm_within: 14000.0,
//!         fall_multiple: 3.0, fall_window: 1500.0, order_rest: 0.0, attempt_budget: None,
//!     },
//!     report_fields: vec![], must_subscribe: false, cross_zone_price: 0.0,
//! };
//! let mut controller = Controller::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let entries = vec![EngineEntry {
//!     engine: "db-1".into(), state: EngineState::Ready, started: None, kind: Some(0), zone: None, cell: 0,
//! }];
//! controller.handle(0.0, Event::Engines { update: ListUpdate::Stale, entries }, &mut actions);
//! let query = Query {
//!     id: 1, class: 0, tenant: None, key: None, tables: None, time_left: 2000.0, work: None, memory_mb: None,
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
