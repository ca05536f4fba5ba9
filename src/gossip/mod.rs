//! Gossip between the dispatchers of a tier: broadcasts of the load reports that engines' answers carry. One
//! dispatcher of a hundred rarely sends a request to a given engine and would learn its load seconds late;
//! together the dispatchers reach every engine all the time.
//!
//! The module performs no I/O: time is passed in, and messages go in and out as bytes. It decides nothing
//! about requests, only which reports are broadcast: a report goes to all peers unless a report of the same
//! engine was broadcast shortly before, by this dispatcher or by another. The whole tier therefore sends only
//! a few messages per second for each engine, however many dispatchers there are. Messages are charged to a
//! credit that every admitted request increases.

mod engine_ages;
mod fleet_census;
mod message;
mod seven_bit;
#[cfg(test)]
mod tests;

pub use engine_ages::{AgeMessage, EngineAge, MAX_STARTS_PER_MESSAGE, StartId};
pub use fleet_census::FleetCensus;
pub use message::{DecodeError, LoadReportMessage, MAX_MESSAGE_BYTES};

use crate::decision::model::Millis;
use std::collections::BTreeMap;

/// Minimum time between two broadcasts of the same engine's report, in ms. Engines refresh their reports
/// every 0.2 to 0.8 s, and the decision module uses a report for 0.5 s.
const MIN_BROADCAST_INTERVAL_MS: Millis = 300.0;
/// Credit for messages that each admitted request adds, in points (hundredths of a request's value).
const CREDIT_PER_REQUEST: f64 = 0.2;
/// Maximum debt that messages to single peers may cause, in points.
const MAX_DEBT: f64 = 10.0;
/// Maximum number of requests whose credit accumulates.
const MAX_SAVED_REQUESTS: f64 = 50.0;

/// Size of the tier, price of a message and length of a report, from the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipBudget {
    /// Number of dispatchers in the tier, including this one.
    pub dispatchers: u32,
    /// Price of a message of [`MAX_MESSAGE_BYTES`] to one peer, in points (hundredths of a request's value).
    pub message_price: f64,
    /// Number of values in a load report: as many as the settings' `feedback.fields` names.
    pub report_fields: usize,
}

/// A peer's load report of an engine that is in this dispatcher's endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerReport {
    /// Name of the engine.
    pub engine: String,
    /// Values of the report.
    pub report: Vec<f64>,
}

/// Decides which load reports are broadcast to the peers, and decodes those that peers send.
#[derive(Debug)]
pub struct Broadcaster {
    budget: GossipBudget,
    /// Listed engines by the hash of their name. Engines with the same hash are excluded from gossip, because
    /// the report of one would be attributed to the other.
    engines: BTreeMap<u32, Vec<String>>,
    /// Time of the last broadcast of each engine's report by any dispatcher, by the engine's hash.
    last_broadcast: BTreeMap<u32, Millis>,
    /// Points available for messages; negative while there is a debt.
    credit: f64,
}

impl Broadcaster {
    /// Creates a broadcaster without engines and without credit.
    pub fn new(budget: GossipBudget) -> Self {
        Broadcaster {
            budget,
            engines: BTreeMap::new(),
            last_broadcast: BTreeMap::new(),
            credit: 0.0,
        }
    }

    /// Replaces the endpoint list.
    pub fn set_engines<'name>(&mut self, engines: impl Iterator<Item = &'name str>) {
        self.engines.clear();
        for name in engines {
            self.add_engine(name);
        }
        let engines = &self.engines;
        self.last_broadcast
            .retain(|hash, _| engines.contains_key(hash));
    }

    /// Adds an engine to the endpoint list.
    pub fn add_engine(&mut self, name: &str) {
        let names = self.engines.entry(message::engine_hash(name)).or_default();
        if !names.iter().any(|other| other == name) {
            names.push(name.to_string());
        }
    }

    /// Removes an engine from the endpoint list.
    pub fn remove_engine(&mut self, name: &str) {
        let hash = message::engine_hash(name);
        let Some(names) = self.engines.get_mut(&hash) else {
            return;
        };
        names.retain(|other| other != name);
        if names.is_empty() {
            self.engines.remove(&hash);
            self.last_broadcast.remove(&hash);
        }
    }

    /// Adds the credit of one admitted request.
    pub fn credit_request(&mut self) {
        let max_credit = CREDIT_PER_REQUEST * MAX_SAVED_REQUESTS;
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(max_credit);
    }

    /// Takes the report that an engine's answer carried. Returns the message for all peers if it is to be
    /// broadcast.
    pub fn offer_report(&mut self, now: Millis, engine: &str, report: &[f64]) -> Option<Vec<u8>> {
        let hash = message::engine_hash(engine);
        let has_peers = self.budget.dispatchers > 1;
        if !has_peers || !self.is_unambiguous(hash) || !self.is_due(now, hash) {
            return None;
        }
        let message = message::encode(hash, report, self.budget.report_fields)?;
        let cost = self.cost(&message);
        if cost > self.credit {
            return None;
        }
        self.credit -= cost;
        self.last_broadcast.insert(hash, now);
        Some(message)
    }

    /// Decodes a peer's message. Returns `Ok(None)` if its engine is not listed here, or if several listed
    /// engines have its hash.
    ///
    /// # Errors
    /// The message is malformed.
    pub fn receive(
        &mut self,
        now: Millis,
        message: &[u8],
    ) -> Result<Option<PeerReport>, DecodeError> {
        let LoadReportMessage {
            engine_hash,
            report,
        } = message::decode(message, self.budget.report_fields)?;
        let Some([engine]) = self.engines.get(&engine_hash).map(Vec::as_slice) else {
            return Ok(None);
        };
        self.last_broadcast.insert(engine_hash, now);
        let engine = engine.clone();
        Ok(Some(PeerReport { engine, report }))
    }

    /// Charges a message of this length to one peer and returns true, unless the debt would exceed its
    /// maximum. The permitted debt lets a dispatcher without traffic send a few such messages too.
    pub fn try_charge_for_one_peer(&mut self, message_bytes: usize) -> bool {
        let cost = self.cost_for_one_peer(message_bytes);
        let is_affordable = cost <= self.credit + MAX_DEBT;
        if is_affordable {
            self.credit -= cost;
        }
        is_affordable
    }

    /// Returns true if the bytes are a valid load report under the current settings.
    pub fn is_readable(&self, message: &[u8]) -> bool {
        message::decode(message, self.budget.report_fields).is_ok()
    }

    /// Returns true if exactly one listed engine has the hash.
    fn is_unambiguous(&self, hash: u32) -> bool {
        self.engines
            .get(&hash)
            .is_some_and(|names| names.len() == 1)
    }

    /// Returns true if no dispatcher broadcast a report of the engine within the minimum interval.
    fn is_due(&self, now: Millis, hash: u32) -> bool {
        self.last_broadcast
            .get(&hash)
            .is_none_or(|at| now >= at + MIN_BROADCAST_INTERVAL_MS)
    }

    /// Price of sending the message to all peers, in points.
    fn cost(&self, message: &[u8]) -> f64 {
        let peers = f64::from(self.budget.dispatchers - 1);
        self.cost_for_one_peer(message.len()) * peers
    }

    /// Price of sending a message of this length to one peer, in points.
    fn cost_for_one_peer(&self, message_bytes: usize) -> f64 {
        self.budget.message_price * message_bytes as f64 / MAX_MESSAGE_BYTES as f64
    }
}
