//! Which dispatchers of the tier are heard, and whether that bears out how many are configured.
//!
//! Every dispatcher with traffic broadcasts. If more ran than the configuration lists, messages of the others
//! would arrive among those of the listed ones: a sample of messages from enough different listed peers with none
//! from elsewhere confirms the configured number for a while, one message from elsewhere refutes it.

use crate::decision::model::{FleetEvidence, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// Messages of a sample. If twice as many dispatchers ran as are listed, one sample in a million would miss the others.
const SAMPLE_MESSAGES: usize = 20;
/// Different peers that a sample needs at most.
const MAX_SAMPLE_PEERS: usize = 20;
/// The part of the listed peers that a sample needs in a small tier.
const MIN_SAMPLED_FRACTION: f64 = 0.75;
/// A sample that is not complete within this time begins anew, in ms.
const MAX_SAMPLE_AGE: Millis = 10_000.0;
/// How long a sample confirms the configured number, in ms.
const CONFIRMATION_PERIOD: Millis = 10_000.0;
/// How long a peer that is not listed counts after its last message, in ms.
const UNLISTED_PERIOD: Millis = 60_000.0;
/// Peers that are not listed which are remembered.
const MAX_UNLISTED_PEERS: usize = 1024;

/// Counts the dispatchers that are heard. `Peer` identifies the sender of a message.
#[derive(Debug)]
pub struct FleetCensus<Peer> {
    /// Dispatchers of the tier by the configuration, this one included.
    configured: u32,
    sample: Sample<Peer>,
    /// Peers that are not listed, and when each was last heard.
    unlisted: BTreeMap<Peer, Millis>,
    confirmed_until: Option<Millis>,
}

/// The messages of listed peers that are being counted.
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
    /// A census that has heard nobody. `configured` dispatchers are in the tier, this one included.
    pub fn new(configured: u32) -> Self {
        FleetCensus {
            configured,
            sample: Sample::new(f64::MIN),
            unlisted: BTreeMap::new(),
            confirmed_until: None,
        }
    }

    /// A message has come from a peer that the configuration lists.
    pub fn record_listed(&mut self, now: Millis, peer: Peer) -> FleetEvidence {
        self.forget_unlisted(now);
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

    /// A message has come from a peer that the configuration does not list: more dispatchers run than it says.
    pub fn record_unlisted(&mut self, now: Millis, peer: Peer) -> FleetEvidence {
        self.forget_unlisted(now);
        if self.unlisted.len() < MAX_UNLISTED_PEERS || self.unlisted.contains_key(&peer) {
            self.unlisted.insert(peer, now);
        }
        self.confirmed_until = None;
        self.sample = Sample::new(now);
        self.evidence()
    }

    /// What has been heard so far.
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

    fn forget_unlisted(&mut self, now: Millis) {
        self.unlisted
            .retain(|_, heard_at| now - *heard_at < UNLISTED_PERIOD);
    }
}

#[cfg(test)]
mod tests;
