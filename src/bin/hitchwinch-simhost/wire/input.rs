//! Messages from the simulator, and their translation into the decision module's events.

use super::{
    AttemptEndedMessage, EndpointListMessage, EngineReportMessage, ListedEngine, ProgressMessage,
};
use crate::error::HostError;
use query_dispatcher::config::{FleetSettings, NameTable, position_of};
use query_dispatcher::{Event, Millis, Query};
use serde::Deserialize;

/// Simulator's name for a dispatcher instance.
pub(crate) type InstanceId = String;

/// One line from the simulator. A batch comprises everything from `BeginBatch` to `Commit`, which triggers
/// the replies.
#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
#[serde(expecting = "internally tagged enum In")]
pub(crate) enum Input {
    /// Opens a batch; all its messages take place at this time.
    #[serde(rename = "turn")]
    BeginBatch {
        #[serde(rename = "ts")]
        time: Millis,
    },
    /// Closes the batch and requests the replies to it.
    Commit,
    /// Defines an engine list, which later messages refer to by its number.
    #[serde(rename = "table")]
    DefineList {
        list: u64,
        #[serde(rename = "members")]
        engines: Vec<ListedEngine>,
    },
    /// Starts a dispatcher instance.
    Provision {
        #[serde(rename = "gateway_id")]
        instance: InstanceId,
        #[serde(rename = "prng")]
        seed: u64,
        #[serde(rename = "profile_data")]
        settings: Box<FleetSettings>,
    },
    /// An instance receives an update of the engine list.
    #[serde(rename = "membership")]
    EndpointList(EndpointListMessage),
    /// A query arrives.
    #[serde(rename = "inbound")]
    Query(QueryMessage),
    /// An attempt has ended.
    #[serde(rename = "ended")]
    AttemptEnded(AttemptEndedMessage),
    /// A health check has ended.
    #[serde(rename = "health")]
    EngineReport(EngineReportMessage),
    /// A running attempt reports its progress.
    Progress(ProgressMessage),
    /// Another instance's load report arrives.
    #[serde(rename = "message")]
    Peer(PeerMessage),
    /// An instance has been killed.
    Killed {
        #[serde(rename = "gateway_id")]
        instance: InstanceId,
    },
    /// The client of a query has disconnected.
    #[serde(rename = "client_left")]
    ClientDisconnected {
        #[serde(rename = "gateway_id")]
        instance: InstanceId,
        #[serde(rename = "corr")]
        query: u32,
    },
    /// A timer has expired.
    #[serde(rename = "ring")]
    Timer {
        #[serde(rename = "gateway_id")]
        instance: InstanceId,
        #[serde(rename = "nonce")]
        token: u64,
    },
    /// An attempt has begun to return its result.
    #[serde(rename = "under_way")]
    Streaming {
        #[serde(rename = "gateway_id")]
        instance: InstanceId,
        #[serde(rename = "corr")]
        query: u32,
        #[serde(rename = "go")]
        attempt: u32,
    },
}

/// Message that a query has arrived.
#[derive(Deserialize)]
pub(crate) struct QueryMessage {
    #[serde(rename = "gateway_id")]
    pub(crate) instance: InstanceId,
    #[serde(rename = "corr")]
    id: u32,
    #[serde(rename = "data_group")]
    tables: Option<f64>,
    #[serde(rename = "band")]
    class: String,
    #[serde(rename = "object")]
    key: Option<String>,
    time_left: Millis,
    #[serde(rename = "footprint_mb")]
    memory_mb: Option<f64>,
    #[serde(rename = "est_cost")]
    work: Option<f64>,
    #[serde(rename = "team")]
    tenant: Option<TenantName>,
}

/// Name of a tenant, or the number 0 for no tenant.
#[derive(Deserialize)]
#[serde(untagged)]
#[serde(expecting = "data did not match any variant of untagged enum Name")]
enum TenantName {
    Name(String),
    Absent(#[allow(dead_code, reason = "any number is read as no tenant")] f64),
}

impl QueryMessage {
    pub(crate) fn event(self, names: &NameTable) -> Result<Event, HostError> {
        let Some(class) = position_of(&names.classes, &self.class) else {
            return Err(HostError::UnknownClass { class: self.class });
        };
        let tenant = match &self.tenant {
            Some(TenantName::Name(name)) => position_of(&names.tenants, name),
            Some(TenantName::Absent(_)) | None => None,
        };
        Ok(Event::Query(Query {
            id: self.id.into(),
            class,
            tenant,
            key: self.key,
            tables: self.tables.map(f64::to_bits),
            time_left: self.time_left,
            work: self.work.filter(|work| *work > 0.0),
            memory_mb: self.memory_mb.filter(|memory| *memory > 0.0),
        }))
    }
}

/// Message with another instance's load report.
#[derive(Deserialize)]
pub(crate) struct PeerMessage {
    #[serde(rename = "gateway_id")]
    pub(crate) instance: InstanceId,
    /// Number of the instance that sent the report.
    #[serde(rename = "who")]
    pub(crate) sender: u32,
    /// Payload of the UDP message, as text.
    pub(crate) content: String,
}
