//! One dispatcher instance: its [`Controller`], and the load reports that it exchanges with its peers.

use crate::error::HostError;
use query_dispatcher::config::{FleetSettings, NameTable};
use query_dispatcher::gossip::{Broadcaster, FleetCensus, PeerReport};
use query_dispatcher::{
    Action, Controller, EngineEntry, EngineState, Event, ListUpdate, Millis, Outcome,
};
use std::any::Any;
use std::collections::BTreeSet;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Dispatcher instance.
pub(crate) struct Instance {
    controller: Controller,
    names: NameTable,
    gossip: Option<Gossip>,
    /// Actions for the last event; the buffer is reused, so that an event needs no allocation.
    actions: Vec<Action>,
}

/// Exchange of load reports with the other instances.
struct Gossip {
    /// Configured number of instances; they are numbered from 0.
    dispatchers: u32,
    /// Census of the instances whose messages arrive, by instance number.
    census: FleetCensus<u32>,
    broadcaster: Broadcaster,
    /// Engines in the instance's endpoint list; load reports of other engines are ignored.
    listed_engines: BTreeSet<String>,
}

impl Instance {
    pub(crate) fn new(settings: FleetSettings, seed: u64) -> Result<Self, HostError> {
        let gossip = settings.gossip_budget(0).map(|budget| Gossip {
            dispatchers: budget.dispatchers,
            census: FleetCensus::new(budget.dispatchers),
            broadcaster: Broadcaster::new(budget),
            listed_engines: BTreeSet::new(),
        });
        let (settings, names) = settings.decision_settings()?;
        Ok(Instance {
            controller: Controller::new(settings, seed)?,
            names,
            gossip,
            actions: vec![],
        })
    }

    /// Returns the table of names that the indices in events refer to.
    pub(crate) fn names(&self) -> &NameTable {
        &self.names
    }

    /// Handles an event and returns the resulting actions.
    ///
    /// # Errors
    /// The controller panicked; holds the panic message.
    pub(crate) fn handle(&mut self, now: Millis, event: Event) -> Result<&[Action], String> {
        if let Some(gossip) = &mut self.gossip {
            gossip.observe(&event);
        }
        self.actions.clear();
        let controller = &mut self.controller;
        let actions = &mut self.actions;
        catch_unwind(AssertUnwindSafe(|| controller.handle(now, event, actions)))
            .map_err(|panic| panic_message(&*panic))?;
        Ok(&self.actions)
    }

    /// Returns the message to the peers for an answer's load report, if one is to be sent.
    pub(crate) fn peer_message(
        &mut self,
        now: Millis,
        engine: &str,
        report: &[f64],
    ) -> Option<String> {
        let message = self
            .gossip
            .as_mut()?
            .broadcaster
            .offer_report(now, engine, report)?;
        String::from_utf8(message).ok()
    }

    /// Translates a peer's message into an event. Returns `None` if the message cannot be decoded, which is
    /// not an error on the dispatcher's sockets either.
    pub(crate) fn peer_event(&mut self, now: Millis, sender: u32, message: &[u8]) -> Option<Event> {
        let gossip = self.gossip.as_mut()?;
        let received = gossip.broadcaster.receive(now, message).ok()?;
        let evidence = match sender < gossip.dispatchers {
            true => gossip.census.record_listed(now, sender),
            false => gossip.census.record_unlisted(now, sender),
        };
        self.controller.observe_fleet(evidence);
        let PeerReport { engine, report } = received?;
        Some(Event::EngineReport {
            engine,
            outcome: Outcome::Served,
            report,
        })
    }
}

impl Gossip {
    /// Counts queries, on which the message budget depends, and tracks the engine list.
    fn observe(&mut self, event: &Event) {
        match event {
            Event::Query(_) => self.broadcaster.credit_request(),
            Event::EngineList { update, entries } => self.follow_list(*update, entries),
            _ => {}
        }
    }

    fn follow_list(&mut self, update: ListUpdate, entries: &[EngineEntry]) {
        if update != ListUpdate::Patch {
            self.listed_engines.clear();
        }
        for entry in entries {
            if entry.state == EngineState::Gone {
                self.listed_engines.remove(&entry.engine);
            } else {
                self.listed_engines.insert(entry.engine.clone());
            }
        }
        let engines = self.listed_engines.iter().map(String::as_str);
        self.broadcaster.set_engines(engines);
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic
        .downcast_ref::<String>()
        .map(String::as_str)
        .or_else(|| panic.downcast_ref::<&str>().copied());
    text.unwrap_or("panic").to_string()
}
