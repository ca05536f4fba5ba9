//! Service discovery: the list of engines, from the platform's journal or from Eureka registries. Either source
//! delivers the same kind of change, in order.

mod backoff;
pub mod eureka;
pub mod journal;
pub mod membership_driver;

use crate::config::StaticEngine;
use crate::decision::model::{EngineState, ListUpdate};
pub use crate::membership::{DiscoveredEngine, EndpointListChange};

/// Callback that receives each change of the engine list, in order.
pub type ChangeHandler = Box<dyn Fn(EndpointListChange)>;

/// A source of engine list changes.
pub trait Discovery {
    /// Delivers changes to `sink` for the life of the process. Does not return: an outage of the service behind it
    /// is retried.
    fn run(self, sink: ChangeHandler) -> impl Future<Output = ()>;
}

/// The change that a static list from the configuration amounts to: one snapshot in which every engine is ready.
pub fn fixed(engines: &[StaticEngine]) -> EndpointListChange {
    let engine = |e: &StaticEngine| DiscoveredEngine {
        id: e.id.clone(),
        address: Some(e.address),
        state: EngineState::Ready,
        zone: e.zone.clone(),
        kind: e.kind.clone(),
        cell: 0,
        started: None,
    };
    EndpointListChange {
        update: ListUpdate::Snapshot,
        engines: engines.iter().map(engine).collect(),
    }
}
