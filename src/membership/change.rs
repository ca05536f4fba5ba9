//! What the registry view publishes: engines, and which of them changed.

use crate::decision::model::{EngineState, ListUpdate, Millis};
use std::net::SocketAddr;

/// One engine as it is published, or as a static list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Its own id: an address may pass to another engine.
    pub id: String,
    /// Absent if the engine is removed or its address belongs to another engine.
    pub address: Option<SocketAddr>,
    /// Whether it takes requests.
    pub state: EngineState,
    /// The availability zone, if known.
    pub zone: Option<String>,
    /// The machine type, if known.
    pub kind: Option<String>,
    /// The cell that it belongs to; 0 where the list knows no cells.
    pub cell: i64,
    /// When its process last started, on the Unix clock.
    pub started: Option<Millis>,
}

/// A change of the endpoint list, or the whole list.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Whether `engines` replaces the list or patches it.
    pub update: ListUpdate,
    /// The engines that changed, removed ones first.
    pub engines: Vec<Engine>,
}
