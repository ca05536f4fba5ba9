//! Changes of the endpoint list, as the registry view publishes them.

use crate::decision::model::{EngineState, ListUpdate, Millis};
use std::net::SocketAddr;

/// One engine of a published or a static endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEngine {
    /// The id of the engine. The address does not identify it: an address can move to another engine.
    pub id: String,
    /// The address; `None` if the engine is removed or its address belongs to another engine.
    pub address: Option<SocketAddr>,
    /// Whether the engine takes requests.
    pub state: EngineState,
    /// The availability zone, if known.
    pub zone: Option<String>,
    /// The machine type, if known.
    pub kind: Option<String>,
    /// The cell that the engine belongs to; 0 if the list has no cells.
    pub cell: i64,
    /// When the engine's process last started, in milliseconds since the Unix epoch, if known.
    pub started: Option<Millis>,
}

/// A change of the endpoint list, or a complete list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListChange {
    /// Whether `engines` replaces the list or patches it, and whether it is stale.
    pub update: ListUpdate,
    /// The engines of a complete list, or those that changed; removed ones are first.
    pub engines: Vec<DiscoveredEngine>,
}
