//! Gossip between the dispatchers of a tier: the load reports that engines' answers bring. A dispatcher among a hundred
//! meets an engine seldom and would learn of its load seconds late; together they meet it all the time.
//!
//! No I/O: time is passed in, and messages go in and out as bytes. Nothing is decided about requests here, only which
//! reports are broadcast: a report goes to all peers unless one of the same engine was broadcast a moment ago, by this
//! dispatcher or by another, so that the whole tier sends no more than a few messages a second for each engine, however
//! many dispatchers there are. Messages are paid from a credit that each request adds a little to.

mod engine_ages;
mod fleet_census;
mod message;
mod seven_bit;
#[cfg(test)]
mod tests;

pub use engine_ages::{AgeMessage, EngineAge, MAX_STARTS, StartId};
pub use fleet_census::FleetCensus;
pub use message::{DecodeError, LoadReportMessage, MAX_MESSAGE_BYTES};

use crate::decision::model::Millis;
use std::collections::BTreeMap;

/// An engine's report is not broadcast again within this, in ms. Engines refresh their reports every 0.2 to 0.8 s, and
/// the decisions trust one for 0.5 s.
const MIN_BROADCAST_INTERVAL_MS: Millis = 300.0;
/// Points of a request's value, in 100, that messages may cost for each admitted request.
const CREDIT_PER_REQUEST: f64 = 0.2;
/// Points that may be owed for messages to single peers.
const MAX_DEBT: f64 = 10.0;
/// Requests whose credit may be saved up.
const MAX_SAVED_REQUESTS: f64 = 50.0;

/// What the operators allow and charge.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipBudget {
    /// Dispatchers of the tier, this one included.
    pub dispatchers: u32,
    /// Points of a request's value, in 100, for one message of [`MAX_MESSAGE_BYTES`] that reaches one peer.
    pub message_price: f64,
    /// Values in a load report: as many as the settings' `feedback.fields` names.
    pub report_fields: usize,
}

/// A peer's load report of an engine that is listed here.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerReport {
    /// The engine's name.
    pub engine: String,
    /// The report's values.
    pub report: Vec<f64>,
}

/// Decides which load reports are broadcast to the peers, and reads theirs.
#[derive(Debug)]
pub struct Broadcaster {
    budget: GossipBudget,
    /// Listed engines by their hash. Those that share one take no part in gossip: the report of one would pass for that of
    /// the other.
    engines: BTreeMap<u32, Vec<String>>,
    /// When an engine's report was last broadcast, by any dispatcher.
    last_broadcast: BTreeMap<u32, Millis>,
    /// Points that may be spent.
    credit: f64,
}

impl Broadcaster {
    /// A broadcaster that knows no engines and has no credit.
    pub fn new(budget: GossipBudget) -> Self {
        Broadcaster {
            budget,
            engines: BTreeMap::new(),
            last_broadcast: BTreeMap::new(),
            credit: 0.0,
        }
    }

    /// The engines that are listed now.
    pub fn set_engines<'name>(&mut self, engines: impl Iterator<Item = &'name str>) {
        self.engines.clear();
        for name in engines {
            self.add_engine(name);
        }
        let engines = &self.engines;
        self.last_broadcast
            .retain(|hash, _| engines.contains_key(hash));
    }

    /// This engine is listed from now on.
    pub fn add_engine(&mut self, name: &str) {
        let names = self.engines.entry(message::engine_hash(name)).or_default();
        if !names.iter().any(|other| other == name) {
            names.push(name.to_string());
        }
    }

    /// This engine is not listed any more.
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

    /// A request was admitted: it pays for a part of the messages.
    pub fn credit_request(&mut self) {
        let max_credit = CREDIT_PER_REQUEST * MAX_SAVED_REQUESTS;
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(max_credit);
    }

    /// An answer brought this report of its engine: the message for all peers, if it is to be broadcast.
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

    /// Reads a peer's message. `Ok(None)`: its engine is not listed here.
    ///
    /// # Errors
    /// The message cannot be read.
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

    /// Pays for a message of this length to one peer, if there is credit for it: a dispatcher without traffic has some too.
    pub fn pay_for_one_peer(&mut self, message_bytes: usize) -> bool {
        let cost = self.cost_for_one_peer(message_bytes);
        let is_affordable = cost <= self.credit + MAX_DEBT;
        if is_affordable {
            self.credit -= cost;
        }
        is_affordable
    }

    /// Whether a dispatcher of these settings may have sent this.
    pub fn is_readable(&self, message: &[u8]) -> bool {
        message::decode(message, self.budget.report_fields).is_ok()
    }

    /// Whether exactly one listed engine has the hash.
    fn is_unambiguous(&self, hash: u32) -> bool {
        self.engines
            .get(&hash)
            .is_some_and(|names| names.len() == 1)
    }

    /// Whether no dispatcher broadcast a report of the engine a moment ago.
    fn is_due(&self, now: Millis, hash: u32) -> bool {
        self.last_broadcast
            .get(&hash)
            .is_none_or(|at| now >= at + MIN_BROADCAST_INTERVAL_MS)
    }

    /// Points that the message costs at all peers.
    fn cost(&self, message: &[u8]) -> f64 {
        let peers = f64::from(self.budget.dispatchers - 1);
        self.cost_for_one_peer(message.len()) * peers
    }

    fn cost_for_one_peer(&self, message_bytes: usize) -> f64 {
        self.budget.message_price * message_bytes as f64 / MAX_MESSAGE_BYTES as f64
    }
}
