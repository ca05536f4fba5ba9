//! Census of the dispatchers in the tier: checks the configured number of dispatchers against received
//! messages.
//!
//! Every dispatcher with traffic broadcasts. If more dispatchers ran than the configuration lists, messages
//! from the unlisted ones would arrive too. A sample of messages from enough different listed peers, and from
//! no unlisted peer, therefore confirms the configured number for a limited time; one message from an
//! unlisted peer refutes it.

use crate::decision::model::{FleetEvidence, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// Number of messages in a sample. If twice as many dispatchers ran as are listed, one sample in a million
/// would contain no message from an unlisted one.
const SAMPLE_MESSAGES: usize = 20;
/// Maximum number of different peers that a sample requires.
const MAX_SAMPLE_PEERS: usize = 20;
/// Fraction of the listed peers that a sample requires in a small tier.
const MIN_SAMPLED_FRACTION: f64 = 0.75;
/// Maximum time that a sample takes, in ms; after it, a new sample is started.
const MAX_SAMPLE_AGE: Millis = 10_000.0;
/// Time for which a sample confirms the configured number, in ms.
const CONFIRMATION_PERIOD: Millis = 10_000.0;
/// Time for which an unlisted peer is counted after its last message, in ms.
const UNLISTED_PERIOD: Millis = 60_000.0;
/// Maximum number of unlisted peers that are tracked.
const MAX_UNLISTED_PEERS: usize = 1024;

/// Counts the dispatchers that messages are received from. `Peer` identifies the sender of a message.
#[derive(Debug)]
pub struct FleetCensus<Peer> {
    /// Configured number of dispatchers in the tier, including this one.
    configured: u32,
    sample: Sample<Peer>,
    /// Unlisted peers, with the time of the last message from each.
    unlisted: BTreeMap<Peer, Millis>,
    confirmed_until: Option<Millis>,
}

/// The current sample of messages from listed peers.
#[derive(Debug)]
struct Sample<Peer> {
    began_at: Millis,
    messages: usize,
    peers: BTreeSet<Peer>,
}

impl<Peer> Sample<Peer> {
    fn new(now: Millis) -> Self {
        Sample {
            began_at: now,
            messages: 0,
            peers: BTreeSet::new(),
        }
    }
}

impl<Peer: Ord> FleetCensus<Peer> {
    /// Creates a census without messages. `configured` is the number of dispatchers in the tier, including
    /// this one.
    pub fn new(configured: u32) -> Self {
        FleetCensus {
            configured,
            sample: Sample::new(f64::MIN),
            unlisted: BTreeMap::new(),
            confirmed_until: None,
        }
    }

    /// Records a message from a peer that the configuration lists.
    pub fn record_listed(&mut self, now: Millis, peer: Peer) -> FleetEvidence {
        self.expire_unlisted(now);
        if !self.unlisted.is_empty() {
            return self.evidence();
        }
        if now - self.sample.began_at > MAX_SAMPLE_AGE {
            self.sample = Sample::new(now);
        }
        self.sample.messages += 1;
        if self.sample.peers.len() < MAX_SAMPLE_PEERS {
            self.sample.peers.insert(peer);
        }
        if self.is_sample_complete() {
            self.confirmed_until = Some(now + CONFIRMATION_PERIOD);
            self.sample = Sample::new(now);
        }
        self.evidence()
    }

    /// Records a message from a peer that the configuration does not list: more dispatchers run than
    /// configured.
    pub fn record_unlisted(&mut self, now: Millis, peer: Peer) -> FleetEvidence {
        self.expire_unlisted(now);
        if self.unlisted.len() < MAX_UNLISTED_PEERS || self.unlisted.contains_key(&peer) {
            self.unlisted.insert(peer, now);
        }
        self.confirmed_until = None;
        self.sample = Sample::new(now);
        self.evidence()
    }

    /// Returns the evidence from the messages received so far.
    fn evidence(&self) -> FleetEvidence {
        let min_dispatchers = match u32::try_from(self.unlisted.len()) {
            Ok(0) | Err(_) => 0,
            Ok(unlisted) => self.configured.saturating_add(unlisted),
        };
        FleetEvidence {
            min_dispatchers,
            confirmed_until: self.confirmed_until,
        }
    }

    fn is_sample_complete(&self) -> bool {
        let others = f64::from(self.configured.saturating_sub(1));
        let required = (others * MIN_SAMPLED_FRACTION).ceil() as usize;
        let required = required.clamp(1, MAX_SAMPLE_PEERS);
        self.sample.messages >= SAMPLE_MESSAGES && self.sample.peers.len() >= required
    }

    fn expire_unlisted(&mut self, now: Millis) {
        self.unlisted
            .retain(|_, received_at| now - *received_at < UNLISTED_PERIOD);
    }
}

#[cfg(test)]
mod tests;
