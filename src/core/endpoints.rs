//! The core's endpoint list, administrative drains and gossip.

use crate::core::command::{AttemptId, Command};
use crate::core::request_core::Core;
use crate::decision::facade::Report;
use crate::decision::model::{EngineEntry, FleetEvidence, ListUpdate, Millis};
use crate::gossip::{Broadcaster, DecodeError, FleetCensus, GossipBudget, PeerReport};
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Core {
    /// Applies an update of the endpoint list from discovery.
    pub fn update_endpoints(&mut self, now: Millis, update: ListUpdate, entries: Vec<EngineEntry>) {
        let entries = self.endpoints.update(update, entries);
        self.update_gossip(update, &entries);
        self.report(now, Report::Engines { update, entries });
    }

    /// Tells gossip which engines are listed. A change costs no more than the engines that it names.
    fn update_gossip(&mut self, update: ListUpdate, entries: &[EngineEntry]) {
        let Some(gossip) = &mut self.gossip else {
            return;
        };
        if update != ListUpdate::Patch {
            return gossip.set_engines(self.endpoints.engines());
        }
        for entry in entries {
            match self.endpoints.is_listed(&entry.engine) {
                true => gossip.add_engine(&entry.engine),
                false => gossip.remove_engine(&entry.engine),
            }
        }
    }

    /// New work may be sent to this engine: it is listed as ready and not administratively drained.
    pub fn is_in_service(&self, engine: &str) -> bool {
        self.endpoints.is_in_service(engine)
    }

    /// The engine is listed, or was when operators drained it.
    pub fn is_known(&self, engine: &str) -> bool {
        self.endpoints.is_known(engine)
    }

    /// The engines that are administratively drained.
    pub fn drained_engines(&self) -> &BTreeSet<String> {
        self.endpoints.drained()
    }

    /// Drains an engine, whatever the endpoint list says, until [`Core::undrain_engine`]. Returns its entry if it is
    /// listed and was not drained before.
    pub fn drain_engine(&mut self, now: Millis, engine: &str) -> Option<EngineEntry> {
        let is_new = self.endpoints.drain(engine);
        self.report_endpoint(now, engine).filter(|_| is_new)
    }

    /// Ends an engine's administrative drain: it is what the endpoint list says, with a process that has just
    /// started. Returns its entry if it is listed and was drained.
    pub fn undrain_engine(&mut self, now: Millis, engine: &str) -> Option<EngineEntry> {
        if !self.endpoints.undrain(now, engine) {
            return None;
        }
        self.report_endpoint(now, engine)
    }

    /// Reports a listed engine's effective entry to the decision module, and returns it.
    fn report_endpoint(&mut self, now: Millis, engine: &str) -> Option<EngineEntry> {
        let entry = self.endpoints.effective_entry(engine)?;
        let report = Report::Engines {
            update: ListUpdate::Patch,
            entries: vec![entry.clone()],
        };
        self.report(now, report);
        Some(entry)
    }

    /// Shares load reports with the other dispatchers of the tier from now on.
    pub fn join_gossip(&mut self, budget: GossipBudget) {
        let mut gossip = Broadcaster::new(budget.clone());
        gossip.set_engines(self.endpoints.engines());
        self.gossip = Some(gossip);
        self.census = Some(FleetCensus::new(budget.dispatchers));
    }

    /// Receives a peer's gossip message.
    ///
    /// # Errors
    ///
    /// A message that cannot be decoded changes nothing but the metrics.
    pub fn receive_gossip(&mut self, now: Millis, message: &[u8]) -> Result<(), DecodeError> {
        let Some(gossip) = &mut self.gossip else {
            return Ok(());
        };
        let received = gossip.receive(now, message);
        if received.is_err() {
            self.metrics.rejected_gossip_messages += 1;
        }
        if let Some(PeerReport { engine, report }) = received? {
            self.report(now, Report::PeerLoadReport { engine, report });
        }
        Ok(())
    }

    /// Pays for a gossip message of this length to one peer, if there is credit for it.
    pub fn try_charge_for_one_peer(&mut self, message_bytes: usize) -> bool {
        let gossip = self.gossip.as_mut();
        gossip.is_some_and(|gossip| gossip.try_charge_for_one_peer(message_bytes))
    }

    /// The present process of an engine has started at this time at the latest, earlier than was known.
    pub fn learn_engine_start(&mut self, engine: &str, started: Millis) {
        self.endpoints.learn_start(engine, started);
        let entry = self.endpoints.effective_entry(engine);
        if let Some(started) = entry.and_then(|entry| entry.started) {
            self.policy.learn_engine_start(engine, started);
        }
    }

    /// No more dispatchers are taken to run than are configured: nothing else can tell their number.
    pub fn trust_configured_fleet(&mut self) {
        self.policy.observe_fleet(FleetEvidence {
            min_dispatchers: 0,
            confirmed_until: Some(f64::INFINITY),
        });
    }

    /// A listed peer was heard: what it sent could be read.
    pub fn record_listed_peer(&mut self, now: Millis, peer: SocketAddr) {
        if let Some(census) = &mut self.census {
            self.policy.observe_fleet(census.record_listed(now, peer));
        }
    }

    /// Counts a gossip message whose sender is not a peer.
    pub fn record_foreign_message(&mut self) {
        self.metrics.rejected_gossip_messages += 1;
    }

    /// Counts a gossip message whose sender is not listed. One that can be read shows that more dispatchers run than
    /// the configuration says.
    pub fn record_unlisted_peer(&mut self, now: Millis, peer: SocketAddr, message: &[u8]) {
        self.record_foreign_message();
        let is_readable = |gossip: &Broadcaster| gossip.is_readable(message);
        if let Some(census) = &mut self.census
            && self.gossip.as_ref().is_some_and(is_readable)
        {
            self.policy.observe_fleet(census.record_unlisted(now, peer));
        }
    }

    /// Broadcasts the load report that an attempt brought, if the gossip budget allows it. The report of a process
    /// that has been restarted since says nothing of the new one.
    pub(super) fn broadcast_load_report(&mut self, now: Millis, id: AttemptId, report: &[f64]) {
        let Some(gossip) = &mut self.gossip else {
            return;
        };
        let Some(attempt) = self.requests.attempt(id) else {
            return;
        };
        if self
            .endpoints
            .is_restarted_since(attempt.engine(), attempt.started_at())
        {
            return;
        }
        let message = gossip.offer_report(now, attempt.engine(), report);
        self.commands.extend(message.map(Command::Broadcast));
    }
}
