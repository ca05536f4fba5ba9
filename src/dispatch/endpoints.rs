//! The router's endpoint list: updates from discovery, and administrative drains.

use crate::clock::{process_time_millis, wall_clock_millis};
use crate::config::position_of;
use crate::decision::model::{EngineEntry, ListUpdate, Millis};
use crate::discovery::{Change, Engine};
use crate::dispatch::request_router::RequestRouter;
use crate::dispatch::start_times::Now;
use crate::dispatch::upstream::Upstream;
use crate::gossip::{AgeMessage, EngineAge, StartId};
use crate::log_line;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Whether operators drain an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdministrativeDrain {
    /// The engine gets no new work, whatever the endpoint list says.
    Drained,
    /// The engine is what the endpoint list says.
    Undrained,
}

impl<U: Upstream> RequestRouter<U> {
    /// Applies a change of the endpoint list. Changes are to come in the order in which discovery reports them.
    pub fn update_endpoints(self: &Rc<Self>, change: &Change) {
        let now = Now {
            process_ms: process_time_millis(),
            wall_clock_ms: wall_clock_millis(),
        };
        let (entries, change) = self.localize(now, change);
        // The core is told first, so that it knows of the change when the upstream's connections close.
        self.core
            .borrow_mut()
            .update_endpoints(now.process_ms, change.update, entries);
        self.upstream.update_endpoints(&change);
        self.run_commands();
    }

    /// The change as the core takes it, and as the upstream does, with the starts of engines on the clock of the process.
    fn localize(&self, now: Now, change: &Change) -> (Vec<EngineEntry>, Change) {
        let mut start_times = self.start_times.borrow_mut();
        let mut entries = Vec::with_capacity(change.engines.len());
        let mut engines = Vec::with_capacity(change.engines.len());
        for engine in &change.engines {
            let started = engine
                .started
                .map(|told| start_times.locate(now, &engine.id, told));
            entries.push(self.engine_entry(engine, started.map(|time| time.latest)));
            engines.push(Engine {
                started: started.map(|time| time.estimate),
                ..engine.clone()
            });
        }
        start_times.forget_removed(change);
        let update = change.update;
        (entries, Change { update, engines })
    }

    /// A request to a peer about the ages of engines, if one is due.
    pub fn age_request(&self) -> Option<Vec<u8>> {
        let now = process_time_millis();
        let starts = self.start_times.borrow_mut().due_requests(now);
        (!starts.is_empty()).then(|| AgeMessage::Request(starts).encode())
    }

    /// The answer to a peer's request about the ages of engines, if there is credit for it.
    pub fn answer_age_request(&self, starts: &[StartId]) -> Option<Vec<u8>> {
        let ages = self
            .start_times
            .borrow()
            .ages(process_time_millis(), starts);
        if ages.is_empty() {
            return None;
        }
        let answer = AgeMessage::Response(ages).encode();
        let is_paid = self.core.borrow_mut().try_charge_for_one_peer(answer.len());
        is_paid.then_some(answer)
    }

    /// Takes over a peer's answer about the ages of engines.
    pub fn learn_engine_ages(&self, ages: Vec<EngineAge>) {
        let now = process_time_millis();
        let mut start_times = self.start_times.borrow_mut();
        let mut core = self.core.borrow_mut();
        for age in ages {
            if let Some((engine, latest)) = start_times.learn(now, age) {
                core.learn_engine_start(engine, latest);
            }
        }
    }

    /// The engine with numbers in place of names; names that are not configured have none.
    fn engine_entry(&self, engine: &Engine, started: Option<Millis>) -> EngineEntry {
        let number = |names: &[String], name: &Option<String>| {
            name.as_deref().and_then(|name| position_of(names, name))
        };
        EngineEntry {
            engine: engine.id.clone(),
            state: engine.state,
            started,
            kind: number(&self.names.kinds, &engine.kind),
            zone: number(&self.names.zones, &engine.zone),
            cell: engine.cell,
        }
    }

    /// New work may be sent to this engine. To be checked right before an attempt is written.
    pub fn is_in_service(&self, engine: &str) -> bool {
        self.core.borrow().is_in_service(engine)
    }

    /// The engine is listed, or was when operators drained it.
    pub fn is_known(&self, engine: &str) -> bool {
        self.core.borrow().is_known(engine)
    }

    /// Begins or ends an engine's administrative drain. Doing so twice changes nothing.
    pub fn set_administrative_drain(self: &Rc<Self>, engine: &str, drain: AdministrativeDrain) {
        let changed = match drain {
            AdministrativeDrain::Drained => self
                .core
                .borrow_mut()
                .drain_engine(process_time_millis(), engine),
            AdministrativeDrain::Undrained => self
                .core
                .borrow_mut()
                .undrain_engine(process_time_millis(), engine),
        };
        if let Some(entry) = changed {
            let done = match drain {
                AdministrativeDrain::Drained => "administratively drained",
                AdministrativeDrain::Undrained => "no longer administratively drained",
            };
            log_line!("engine {engine}: {done}");
            self.upstream.update_endpoints(&patch(entry));
        }
        self.run_commands();
    }

    /// Drains exactly these engines: another process of this dispatcher may have been called.
    pub fn apply_administrative_drains(self: &Rc<Self>, drained: &BTreeSet<String>) {
        let current = self.drained_engines();
        for engine in drained.difference(&current) {
            self.set_administrative_drain(engine, AdministrativeDrain::Drained);
        }
        for engine in current.difference(drained) {
            self.set_administrative_drain(engine, AdministrativeDrain::Undrained);
        }
    }

    /// The engines that are administratively drained.
    pub fn drained_engines(&self) -> BTreeSet<String> {
        self.core.borrow().drained_engines().clone()
    }
}

/// The entry as a change for the upstream, which keeps the address that it knows and closes connections to an earlier
/// process.
fn patch(entry: EngineEntry) -> Change {
    let engine = Engine {
        id: entry.engine,
        address: None,
        state: entry.state,
        zone: None,
        kind: None,
        cell: entry.cell,
        started: entry.started,
    };
    Change {
        update: ListUpdate::Patch,
        engines: vec![engine],
    }
}
