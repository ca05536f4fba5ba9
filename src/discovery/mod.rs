//! Where the list of engines comes from: the platform's journal or a Eureka registry. Both tell the same
//! changes, in order, through one trait.

mod backoff;
pub mod eureka;
pub mod journal;
pub mod membership_driver;

use crate::config::StaticEngine;
use crate::decision::model::{EngineState, ListUpdate};
pub use crate::membership::{Change, Engine};

/// Takes changes as they come.
pub type ChangeHandler = Box<dyn Fn(Change)>;

/// A source of changes: runs for ever, and survives the outages of what it asks.
pub trait Discovery {
    fn run(self, sink: ChangeHandler) -> impl Future<Output = ()>;
}

/// The one change that a list in a file makes.
pub fn fixed(engines: &[StaticEngine]) -> Change {
    let engine = |e: &StaticEngine| Engine {
        id: e.id.clone(),
        address: Some(e.address),
        state: EngineState::Ready,
        zone: e.zone.clone(),
        kind: e.kind.clone(),
        cell: 0,
        started: None,
    };
    Change {
        update: ListUpdate::Snapshot,
        engines: engines.iter().map(engine).collect(),
    }
}
