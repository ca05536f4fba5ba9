//! The settings' own JSON form: `settings` of the platform's file, and the simulator's first message to an instance.

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
/// More streams than this on one connection are not used, whatever the settings say.
const MAX_STREAMS_PER_CONNECTION: usize = 1024;
/// The settings state a message's price as a part of a request's weight, the budget in hundredths of it.
const HUNDREDTHS: f64 = 100.0;

/// The settings of a fleet, as the platform or the simulator states them.
#[derive(Deserialize)]
#[serde(transparent)]
pub struct FleetSettings {
    raw: Profile,
}

/// Settings that cannot be translated.
#[derive(Debug, thiserror::Error)]
pub enum FleetSettingsError {
    /// None of the words that the key takes.
    #[error("{key}: unknown word {word:?}")]
    UnknownWord {
        /// The key's path.
        key: String,
        /// The value.
        word: String,
    },
    /// A list by class or by kind has another length than the list of classes or kinds.
    #[error("{key}: {entries} entries where {expected} belong")]
    WrongLength {
        /// The key's path.
        key: &'static str,
        /// How many entries the list has.
        entries: usize,
        /// How many classes or kinds there are.
        expected: usize,
    },
}

impl FleetSettings {
    /// What the sockets need to know of the settings.
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

    /// Infinite if a class has no deadline: its queries wait for as long as their clients say.
    fn longest_deadline(&self) -> Millis {
        self.raw
            .grades
            .iter()
            .map(|class| class.deadline.unwrap_or(f64::INFINITY))
            .fold(0.0, f64::max)
    }

    /// How much the dispatchers of the tier may send each other; `None`: nothing. `listed_dispatchers` are those that
    /// the configuration names one by one.
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
            message_price: price * HUNDREDTHS,
            report_fields: fields,
        })
    }

    /// The decision module's settings, and the names behind its numbers.
    ///
    /// # Errors
    /// The key of a word that is not known, or of a list that does not fit the classes or kinds.
    pub fn decision_settings(self) -> Result<(Settings, NameTable), FleetSettingsError> {
        decision::translate(self.raw)
    }
}
