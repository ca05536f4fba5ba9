//! The router's handling of the endpoint list: updates from discovery, and administrative drains.

use crate::clock::{process_clock_millis, wall_clock_millis};
use crate::config::position_of;
use crate::decision::model::{EngineEntry, ListUpdate, Millis};
use crate::discovery::{DiscoveredEngine, EndpointListChange};
use crate::dispatch::request_router::RequestRouter;
use crate::dispatch::start_times::ClockReading;
use crate::dispatch::upstream::Upstream;
use crate::gossip::{AgeMessage, EngineAge, StartId};
use crate::log_line;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Whether an engine is administratively drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdministrativeDrain {
    /// The engine gets no new work, regardless of the endpoint list.
    Drained,
    /// The engine has the state that the endpoint list gives.
    Undrained,
}

impl<U: Upstream> RequestRouter<U> {
    /// Applies a change of the endpoint list. Changes must be passed in the order in which discovery reports
    /// them.
    pub fn update_endpoints(self: &Rc<Self>, change: &EndpointListChange) {
        let now = ClockReading {
            process_ms: process_clock_millis(),
            wall_clock_ms: wall_clock_millis(),
        };
        let (entries, change) = self.convert_change(now, change);
        // The core is updated first, so that it has the change when the upstream's connections close.
        self.core
            .borrow_mut()
            .update_endpoints(now.process_ms, change.update, entries);
        self.upstream.update_endpoints(&change);
        self.run_commands();
    }

    /// Converts a change to entries for the core and a change for the upstream, with the engines' start times
    /// on the process clock. The core gets the latest possible start times, the upstream the estimates.
    fn convert_change(
        &self,
        now: ClockReading,
        change: &EndpointListChange,
    ) -> (Vec<EngineEntry>, EndpointListChange) {
        let mut start_times = self.start_times.borrow_mut();
        let mut entries = Vec::with_capacity(change.engines.len());
        let mut engines = Vec::with_capacity(change.engines.len());
        for engine in &change.engines {
            let started = engine
                .started
                .map(|reported| start_times.record_start(now, &engine.id, reported));
            entries.push(self.engine_entry(engine, started.map(|time| time.latest)));
            engines.push(DiscoveredEngine {
                started: started.map(|time| time.estimate),
                ..engine.clone()
            });
        }
        start_times.remove_unlisted(change);
        let update = change.update;
        (entries, EndpointListChange { update, engines })
    }

    /// Returns an encoded request to a peer for the ages of engines, if one is due.
    pub fn age_request(&self) -> Option<Vec<u8>> {
        let now = process_clock_millis();
        let starts = self.start_times.borrow_mut().due_requests(now);
        (!starts.is_empty()).then(|| AgeMessage::Request(starts).encode())
    }

    /// Returns the encoded response to a peer's request for the ages of engines, if any of them is known and
    /// there is gossip credit for it.
    pub fn answer_age_request(&self, starts: &[StartId]) -> Option<Vec<u8>> {
        let ages = self
            .start_times
            .borrow()
            .ages(process_clock_millis(), starts);
        if ages.is_empty() {
            return None;
        }
        let response = AgeMessage::Response(ages).encode();
        let is_paid = self
            .core
            .borrow_mut()
            .try_charge_for_one_peer(response.len());
        is_paid.then_some(response)
    }

    /// Applies a peer's response with the ages of engines.
    pub fn learn_engine_ages(&self, ages: Vec<EngineAge>) {
        let now = process_clock_millis();
        let mut start_times = self.start_times.borrow_mut();
        let mut core = self.core.borrow_mut();
        for age in ages {
            if let Some((engine, latest)) = start_times.apply_peer_age(now, age) {
                core.learn_engine_start(engine, latest);
            }
        }
    }

    /// Converts an engine to an entry for the core, with indices in place of names. A name that is not
    /// configured becomes `None`.
    fn engine_entry(&self, engine: &DiscoveredEngine, started: Option<Millis>) -> EngineEntry {
        let index = |names: &[String], name: &Option<String>| {
            name.as_deref().and_then(|name| position_of(names, name))
        };
        EngineEntry {
            engine: engine.id.clone(),
            state: engine.state,
            started,
            kind: index(&self.names.kinds, &engine.kind),
            zone: index(&self.names.zones, &engine.zone),
            cell: engine.cell,
        }
    }

    /// Returns whether new work may be sent to an engine. Upstreams must check this right before they write
    /// an attempt.
    pub fn is_in_service(&self, engine: &str) -> bool {
        self.core.borrow().is_in_service(engine)
    }

    /// Returns whether an engine is listed or administratively drained.
    pub fn is_known(&self, engine: &str) -> bool {
        self.core.borrow().is_known(engine)
    }

    /// Begins or ends an engine's administrative drain. Repeating the call has no effect.
    pub fn set_administrative_drain(self: &Rc<Self>, engine: &str, drain: AdministrativeDrain) {
        let changed = match drain {
            AdministrativeDrain::Drained => self
                .core
                .borrow_mut()
                .drain_engine(process_clock_millis(), engine),
            AdministrativeDrain::Undrained => self
                .core
                .borrow_mut()
                .undrain_engine(process_clock_millis(), engine),
        };
        if let Some(entry) = changed {
            let status = match drain {
                AdministrativeDrain::Drained => "administratively drained",
                AdministrativeDrain::Undrained => "no longer administratively drained",
            };
            log_line!("engine {engine}: {status}");
            self.upstream.update_endpoints(&patch(entry));
        }
        self.run_commands();
    }

    /// Drains exactly these engines and ends all other drains: operators may have called another process of
    /// this dispatcher.
    pub fn apply_administrative_drains(self: &Rc<Self>, drained: &BTreeSet<String>) {
        let current = self.drained_engines();
        for engine in drained.difference(&current) {
            self.set_administrative_drain(engine, AdministrativeDrain::Drained);
        }
        for engine in current.difference(drained) {
            self.set_administrative_drain(engine, AdministrativeDrain::Undrained);
        }
    }

    /// Returns the ids of the administratively drained engines.
    pub fn drained_engines(&self) -> BTreeSet<String> {
        self.core.borrow().drained_engines().clone()
    }
}

/// Converts an entry to a change for the upstream, which keeps the engine's known address and closes
/// connections to an earlier process.
fn patch(entry: EngineEntry) -> EndpointListChange {
    let engine = DiscoveredEngine {
        id: entry.engine,
        address: None,
        state: entry.state,
        zone: None,
        kind: None,
        cell: entry.cell,
        started: entry.started,
    };
    EndpointListChange {
        update: ListUpdate::Patch,
        engines: vec![engine],
    }
}
