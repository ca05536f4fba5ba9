//! Engine lists and their updates.

use super::InstanceId;
use crate::error::HostError;
use query_dispatcher::config::{NameTable, position_of};
use query_dispatcher::{EngineEntry, EngineState, Event, ListUpdate, Millis};
use serde::Deserialize;

/// Engine in a list.
#[derive(Clone, Deserialize)]
pub(crate) struct ListedEngine {
    engine: String,
    #[serde(rename = "class_of_host")]
    kind: Option<String>,
    #[serde(rename = "ready_at")]
    started: Option<Millis>,
    #[serde(rename = "az")]
    zone: Option<String>,
    #[serde(rename = "stripe")]
    cell: Option<i64>,
    state: ListedState,
}

#[derive(Clone, Copy, Deserialize)]
enum ListedState {
    #[serde(rename = "IN")]
    Ready,
    #[serde(rename = "LAME")]
    Draining,
    #[serde(rename = "OUT")]
    Gone,
}

impl From<ListedState> for EngineState {
    fn from(state: ListedState) -> Self {
        match state {
            ListedState::Ready => EngineState::Ready,
            ListedState::Draining => EngineState::Draining,
            ListedState::Gone => EngineState::Gone,
        }
    }
}

impl ListedEngine {
    fn entry(&self, names: &NameTable) -> EngineEntry {
        let kind = self.kind.as_deref();
        let zone = self.zone.as_deref();
        EngineEntry {
            engine: self.engine.clone(),
            state: self.state.into(),
            started: self.started.filter(|time| *time > 0.0),
            kind: kind.and_then(|kind| position_of(&names.kinds, kind)),
            zone: zone.and_then(|zone| position_of(&names.zones, zone)),
            cell: self.cell.unwrap_or(0),
        }
    }
}

/// Update of an instance's engine list.
#[derive(Deserialize)]
pub(crate) struct EndpointListMessage {
    #[serde(rename = "gateway_id")]
    pub(crate) instance: InstanceId,
    how: ListChange,
    list: Option<u64>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ListChange {
    /// The list holds only changed entries.
    Patch,
    /// The list is complete.
    Whole,
    /// The list is complete but outdated.
    StaleCopy,
    /// The list could not be read.
    #[serde(rename = "broken")]
    Failed,
}

impl EndpointListMessage {
    /// Returns the number of the list that the message refers to; `None` if the list could not be read.
    pub(crate) fn list(&self) -> Result<Option<u64>, HostError> {
        match self.how {
            ListChange::Failed => Ok(None),
            _ => self.list.map(Some).ok_or(HostError::MissingList),
        }
    }

    /// Returns the event for `engines`, the engines of the list that [`EndpointListMessage::list`] names.
    pub(crate) fn event(&self, names: &NameTable, engines: &[ListedEngine]) -> Event {
        let update = match self.how {
            ListChange::Patch => ListUpdate::Patch,
            ListChange::Whole => ListUpdate::Snapshot,
            ListChange::StaleCopy => ListUpdate::Stale,
            ListChange::Failed => return Event::DiscoveryFailed,
        };
        let entries = engines.iter().map(|engine| engine.entry(names)).collect();
        Event::EngineList { update, entries }
    }
}
