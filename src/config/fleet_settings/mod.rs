//! JSON form of the settings: `settings` in the platform's file, and the simulator's first message to an
//! instance.

mod decision;
mod raw;

use crate::config::{NameTable, SocketSettings};
use crate::decision::model::{Millis, Settings};
use crate::gossip::GossipBudget;
use raw::Profile;
use serde::Deserialize;

const DEFAULT_CONNECT_TIMEOUT: Millis = 250.0;
const DEFAULT_IDLE_TIMEOUT: Millis = 30_000.0;
const DEFAULT_MAX_OPEN_REQUESTS: usize = 20_000;
const DEFAULT_STREAMS_PER_CONNECTION: usize = 100;
/// Maximum number of streams on one connection, even if the settings permit more.
const MAX_STREAMS_PER_CONNECTION: usize = 1024;
/// The settings state a message's price as a fraction of a request's weight; the budget counts points, which
/// are hundredths of it.
const POINTS: f64 = 100.0;

/// Settings of a fleet, as the platform or the simulator states them.
#[derive(Deserialize)]
#[serde(transparent)]
pub struct FleetSettings {
    raw: Profile,
}

/// Settings that cannot be translated.
#[derive(Debug, thiserror::Error)]
pub enum FleetSettingsError {
    /// The value is not one that the key accepts.
    #[error("{key}: unknown value {value:?}")]
    UnknownValue {
        /// Path of the key.
        key: String,
        /// The value.
        value: String,
    },
    /// The length of a list by class or by kind differs from the number of classes or kinds.
    #[error("{key}: has {entries} entries; expected {expected}")]
    WrongLength {
        /// Path of the key.
        key: &'static str,
        /// Number of entries in the list.
        entries: usize,
        /// Number of classes or kinds.
        expected: usize,
    },
}

impl FleetSettings {
    /// Returns the limits and timeouts of the sockets.
    pub fn socket_settings(&self) -> SocketSettings {
        let ceilings = &self.raw.ceilings;
        let extra = self.raw.extra.as_ref();
        SocketSettings {
            connect_timeout: ceilings.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            idle_timeout: ceilings.conn_idle.unwrap_or(DEFAULT_IDLE_TIMEOUT),
            max_streams_per_connection: ceilings
                .streams_per_conn
                .unwrap_or(DEFAULT_STREAMS_PER_CONNECTION)
                .clamp(1, MAX_STREAMS_PER_CONNECTION),
            progress_interval: extra.and_then(|e| e.progress_interval).unwrap_or(0.0),
            max_open_requests: ceilings.max_open.unwrap_or(DEFAULT_MAX_OPEN_REQUESTS),
            longest_deadline: self.longest_deadline(),
        }
    }

    /// Returns the longest deadline of a class, in ms; infinite if a class has none, because its queries wait
    /// as long as their clients request.
    fn longest_deadline(&self) -> Millis {
        self.raw
            .grades
            .iter()
            .map(|class| class.deadline.unwrap_or(f64::INFINITY))
            .fold(0.0, f64::max)
    }

    /// Returns the budget for messages between the dispatchers of the tier, or `None` if they send none.
    /// `listed_dispatchers` is the number of dispatchers that the configuration lists by address.
    pub fn gossip_budget(&self, listed_dispatchers: u32) -> Option<GossipBudget> {
        let raw = &self.raw;
        let dispatchers = raw.fleet_size.max(listed_dispatchers);
        let report_fields = raw.feedback.as_ref().and_then(|f| f.fields.as_ref());
        let fields = report_fields.map_or(0, Vec::len);
        let permitted = raw.ceilings.peer_messages.unwrap_or(false);
        let price = raw.deductions.as_ref().and_then(|d| d.peer).unwrap_or(0.0);
        let is_price_valid = price.is_finite() && price >= 0.0;
        let has_purpose = dispatchers > 1 && fields > 0;
        (permitted && has_purpose && is_price_valid).then_some(GossipBudget {
            dispatchers,
            message_price: price * POINTS,
            report_fields: fields,
        })
    }

    /// Returns the settings of the decision module, and the names for its numbers.
    ///
    /// # Errors
    /// A key has an unknown value, or a list does not have as many entries as there are classes or kinds.
    pub fn decision_settings(self) -> Result<(Settings, NameTable), FleetSettingsError> {
        decision::translate(self.raw)
    }
}
