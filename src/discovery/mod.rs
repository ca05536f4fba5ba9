//! Service discovery: the endpoint list, from the platform's journal or from Eureka registries. Both
//! sources deliver the same type of change, in order.

mod backoff;
pub mod eureka;
pub mod journal;
pub mod membership_driver;

use crate::config::StaticEngine;
use crate::decision::model::{EngineState, ListUpdate};
pub use crate::membership::{DiscoveredEngine, EndpointListChange};

/// Callback that receives each change of the endpoint list, in order.
pub type ChangeHandler = Box<dyn Fn(EndpointListChange)>;

/// A source of changes of the endpoint list.
pub trait Discovery {
    /// Delivers changes to `sink` for the life of the process. Does not return: during an outage of the
    /// discovery service the connection is retried.
    fn run(self, sink: ChangeHandler) -> impl Future<Output = ()>;
}

/// Returns the change that represents a static list from the configuration: one snapshot in which every
/// engine is ready.
pub fn static_snapshot(engines: &[StaticEngine]) -> EndpointListChange {
    let to_engine = |engine: &StaticEngine| DiscoveredEngine {
        id: engine.id.clone(),
        address: Some(engine.address),
        state: EngineState::Ready,
        zone: engine.zone.clone(),
        kind: engine.kind.clone(),
        cell: 0,
        started: None,
    };
    EndpointListChange {
        update: ListUpdate::Snapshot,
        engines: engines.iter().map(to_engine).collect(),
    }
}
