//! The core's handling of the endpoint list, of administrative drains and of gossip.

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

    /// Passes the listed engines to gossip. The cost of a patch is proportional to the number of its entries.
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

    /// Returns whether new work may be sent to an engine: it is listed as ready and not administratively
    /// drained.
    pub fn is_in_service(&self, engine: &str) -> bool {
        self.endpoints.is_in_service(engine)
    }

    /// Returns whether an engine is listed or administratively drained.
    pub fn is_known(&self, engine: &str) -> bool {
        self.endpoints.is_known(engine)
    }

    /// Returns the ids of the administratively drained engines.
    pub fn drained_engines(&self) -> &BTreeSet<String> {
        self.endpoints.drained()
    }

    /// Drains an engine, regardless of the endpoint list, until [`Core::undrain_engine`]. Returns the
    /// engine's entry if it is listed and was not already drained.
    pub fn drain_engine(&mut self, now: Millis, engine: &str) -> Option<EngineEntry> {
        let is_new = self.endpoints.drain(engine);
        self.report_endpoint(now, engine).filter(|_| is_new)
    }

    /// Ends an engine's administrative drain: the engine has the listed state again, and its process counts
    /// as just started. Returns the engine's entry if it is listed and was drained.
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

    /// Starts sharing load reports with the peer dispatchers.
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
    /// Returns an error if the message cannot be decoded. Such a message only changes the metrics.
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

    /// Spends gossip credit on a message of this length to one peer. Returns false if there is too little
    /// credit.
    pub fn try_charge_for_one_peer(&mut self, message_bytes: usize) -> bool {
        let gossip = self.gossip.as_mut();
        gossip.is_some_and(|gossip| gossip.try_charge_for_one_peer(message_bytes))
    }

    /// Applies newly received evidence that the present process of an engine started earlier than assumed: at
    /// `started` at the latest.
    pub fn learn_engine_start(&mut self, engine: &str, started: Millis) {
        self.endpoints.learn_start(engine, started);
        let entry = self.endpoints.effective_entry(engine);
        if let Some(started) = entry.and_then(|entry| entry.started) {
            self.policy.learn_engine_start(engine, started);
        }
    }

    /// Treats the configured number of dispatchers as confirmed for good, because there is no other evidence
    /// of their number.
    pub fn confirm_configured_fleet_size(&mut self) {
        self.policy.observe_fleet(FleetEvidence {
            min_dispatchers: 0,
            confirmed_until: Some(f64::INFINITY),
        });
    }

    /// Records a listed peer from which a readable message was received.
    pub fn record_listed_peer(&mut self, now: Millis, peer: SocketAddr) {
        if let Some(census) = &mut self.census {
            self.policy.observe_fleet(census.record_listed(now, peer));
        }
    }

    /// Counts a rejected gossip message whose sender is not a peer.
    pub fn record_foreign_message(&mut self) {
        self.metrics.rejected_gossip_messages += 1;
    }

    /// Counts a rejected gossip message whose sender is not listed. A readable one shows that more
    /// dispatchers run than are configured.
    pub fn record_unlisted_peer(&mut self, now: Millis, peer: SocketAddr, message: &[u8]) {
        self.record_foreign_message();
        let is_readable = |gossip: &Broadcaster| gossip.is_readable(message);
        if let Some(census) = &mut self.census
            && self.gossip.as_ref().is_some_and(is_readable)
        {
            self.policy.observe_fleet(census.record_unlisted(now, peer));
        }
    }

    /// Broadcasts the load report that came with an attempt's outcome, if the gossip budget allows it. A
    /// report from before the engine's last restart is dropped: it does not describe the new process.
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
