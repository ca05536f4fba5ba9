//! Tests of the registry view through its public interface.

mod addresses;
mod bounds;
mod contradictions;
mod invariants;
mod liveness;
mod ordering;
mod report;
mod self_preservation;
mod snapshot;
mod sources;

use super::{
    DiscoveredEngine, EndpointListChange, InstanceRecord, Membership, MembershipConfig,
    Observation, Reason, SourceUpdate, Status, UpdateContent, Version,
};
use crate::decision::model::{EngineState, ListUpdate, Millis};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const SOURCE_A: &str = "http://a/eureka";
const SOURCE_B: &str = "http://b/eureka";

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns a port that depends only on the id.
fn port_of(id: &str) -> u16 {
    let hash = id.bytes().fold(0u16, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    });
    1000 + hash % 50_000
}

fn record(id: &str, status: Status, dirty: u64, updated: u64) -> InstanceRecord {
    InstanceRecord {
        id: id.into(),
        status,
        overridden: None,
        address: Some(address(port_of(id))),
        zone: None,
        kind: None,
        version: Version::new(dirty, updated),
        started: None,
    }
}

fn up(id: &str, dirty: u64, updated: u64) -> InstanceRecord {
    record(id, Status::Up, dirty, updated)
}

fn out_of_service(id: &str, dirty: u64, updated: u64) -> InstanceRecord {
    record(id, Status::OutOfService, dirty, updated)
}

fn up_at(id: &str, dirty: u64, port: u16) -> InstanceRecord {
    InstanceRecord {
        address: Some(address(port)),
        ..up(id, dirty, 100)
    }
}

/// Returns `count` records of instances `e0000`, `e0001`, ... with status `UP`.
fn many(count: usize) -> Vec<InstanceRecord> {
    (0..count)
        .map(|number| up_at(&format!("e{number:04}"), 5, 2000 + number as u16))
        .collect()
}

/// A registry view with a simulated clock, the endpoint list published so far, and the log lines.
struct Simulation {
    view: Membership,
    now: Millis,
    published: BTreeMap<String, DiscoveredEngine>,
    log_lines: Vec<String>,
}

impl Simulation {
    fn new(config: MembershipConfig) -> Self {
        Simulation {
            view: Membership::new(config),
            now: 1_000_000.0,
            published: BTreeMap::new(),
            log_lines: vec![],
        }
    }

    fn apply(&mut self, change: Option<EndpointListChange>) {
        self.log_lines.extend(self.view.drain_log_lines());
        let Some(change) = change else { return };
        if change.update != ListUpdate::Patch {
            self.published.clear();
        }
        for engine in change.engines {
            match engine.state {
                EngineState::Gone => self.published.remove(&engine.id),
                _ => self.published.insert(engine.id.clone(), engine),
            };
        }
    }

    fn update(&mut self, source: &str, requested_at: Millis, content: UpdateContent) {
        let update = SourceUpdate {
            source: source.into(),
            requested_at,
            received_at: self.now,
            content,
        };
        let change = self.view.apply_update(self.now, update);
        self.apply(change);
    }

    fn full_list(&mut self, source: &str, records: &[InstanceRecord]) {
        self.update(source, self.now, UpdateContent::Full(records.to_vec()));
    }

    fn delta(&mut self, source: &str, changed: &[InstanceRecord], deleted: &[(&str, Version)]) {
        let deleted = deleted
            .iter()
            .map(|(id, version)| (id.to_string(), *version))
            .collect();
        let content = UpdateContent::Delta {
            changed: changed.to_vec(),
            deleted,
        };
        self.update(source, self.now, content);
    }

    fn fail(&mut self, source: &str) {
        let change = self
            .view
            .record_source_failure(self.now, source, "refused".into());
        self.apply(change);
    }

    fn advance(&mut self, duration: Millis) {
        self.now += duration;
        let change = self.view.tick(self.now);
        self.apply(change);
    }

    /// Returns whether the engine has restarted.
    fn observe(&mut self, engine: &str, observation: Observation) -> bool {
        let outcome = self.view.record_observation(self.now, engine, observation);
        self.apply(outcome.change);
        outcome.restarted
    }

    fn state(&self, id: &str) -> EngineState {
        self.published
            .get(id)
            .map_or(EngineState::Gone, |engine| engine.state)
    }

    fn published_address(&self, id: &str) -> Option<SocketAddr> {
        self.published[id].address
    }

    fn reason(&self, id: &str) -> Reason {
        self.view.members()[id].resolved.reason
    }

    fn ready_count(&self) -> usize {
        self.published
            .values()
            .filter(|engine| engine.state == EngineState::Ready)
            .count()
    }

    fn logged(&self, text: &str) -> bool {
        self.log_lines.iter().any(|line| line.contains(text))
    }
}
