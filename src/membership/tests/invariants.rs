//! Property tests: invariants that hold for every sequence of events.

use super::{SOURCE_A, Simulation, address, many, record};
use crate::decision::model::EngineState::Ready;
use crate::decision::model::Millis;
use crate::membership::{
    InstanceRecord, MembershipConfig, Observation, Reported, Status, UpdateContent, Version,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const SOURCES: [&str; 3] = ["a", "b", "c"];
const INSTANCES: usize = 4;
const STATUSES: [Status; 5] = [
    Status::Up,
    Status::Up,
    Status::OutOfService,
    Status::Down,
    Status::Starting,
];

/// A generated record of an instance; all fields are small numbers.
#[derive(Clone, Debug)]
struct RecordInput {
    instance: usize,
    status: usize,
    dirty: u8,
    updated: u8,
    port: u8,
}

#[derive(Clone, Debug)]
struct UpdateInput {
    source: usize,
    /// How long ago the answer was requested, in milliseconds.
    age: u32,
    full: bool,
    records: Vec<RecordInput>,
    deleted: Vec<(usize, u8)>,
}

#[derive(Clone, Debug)]
enum Step {
    Update(UpdateInput),
    Observation {
        instance: usize,
        kind: usize,
    },
    /// The clock advances by so many milliseconds.
    Advance(u32),
}

fn instance_id(number: usize) -> String {
    format!("e{number}")
}

/// Returns a timestamp of a registry, in steps of two seconds: more than the clock skew between registries.
fn updated_timestamp(step: u8) -> u64 {
    1 + 2_000 * u64::from(step)
}

impl RecordInput {
    fn build(&self) -> InstanceRecord {
        let id = instance_id(self.instance);
        let status = STATUSES[self.status];
        let updated = updated_timestamp(self.updated);
        InstanceRecord {
            address: Some(address(9000 + u16::from(self.port))),
            ..record(&id, status, self.dirty.into(), updated)
        }
    }
}

impl UpdateInput {
    fn content(&self, records: Vec<InstanceRecord>) -> UpdateContent {
        if self.full {
            return UpdateContent::Full(records);
        }
        let deleted = self
            .deleted
            .iter()
            .map(|(instance, updated)| {
                let version = Version::new(2, updated_timestamp(*updated));
                (instance_id(*instance), version)
            })
            .collect();
        UpdateContent::Delta {
            changed: records,
            deleted,
        }
    }
}

fn observation(simulation: &Simulation, kind: usize) -> Observation {
    let observations = [
        Observation::Opened { at: simulation.now },
        Observation::Broken {
            open_connections: 0,
        },
        Observation::Refused {
            open_connections: 0,
        },
        Observation::Closed {
            open_connections: 0,
        },
    ];
    observations[kind]
}

fn records() -> impl Strategy<Value = Vec<RecordInput>> {
    let record = (0..INSTANCES, 0..STATUSES.len(), 1..4u8, 0..6u8, 0..4u8).prop_map(
        |(instance, status, dirty, updated, port)| RecordInput {
            instance,
            status,
            dirty,
            updated,
            port,
        },
    );
    prop::collection::vec(record, 0..5)
}

fn updates() -> impl Strategy<Value = Step> {
    let deleted = prop::collection::vec((0..INSTANCES, 0..6u8), 0..2);
    (
        0..SOURCES.len(),
        0..3_000u32,
        any::<bool>(),
        records(),
        deleted,
    )
        .prop_map(|(source, age, full, records, deleted)| {
            Step::Update(UpdateInput {
                source,
                age,
                full,
                records,
                deleted,
            })
        })
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let observations =
        (0..INSTANCES, 0..4usize).prop_map(|(instance, kind)| Step::Observation { instance, kind });
    let pauses = (0..40_000u32).prop_map(Step::Advance);
    let step = prop_oneof![6 => updates(), 1 => observations, 1 => pauses];
    prop::collection::vec(step, 1..40)
}

/// The newest reported versions of each instance, by whether the record puts it into service.
#[derive(Default)]
struct ReportedVersions {
    serving: BTreeMap<String, Version>,
    drained: BTreeMap<String, Version>,
}

impl ReportedVersions {
    fn add(&mut self, record: &InstanceRecord) {
        let versions = match record.reported() {
            Reported::Serving => &mut self.serving,
            _ => &mut self.drained,
        };
        let newest = versions.entry(record.id.clone()).or_default();
        *newest = (*newest).max(record.version);
    }
}

/// A simulation with the versions that sources reported to it.
struct Checked {
    simulation: Simulation,
    versions: ReportedVersions,
    last_requested_at: [Millis; SOURCES.len()],
}

impl Checked {
    fn new() -> Self {
        Checked {
            simulation: Simulation::new(MembershipConfig {
                tombstone_ttl: f64::INFINITY,
                ..MembershipConfig::default()
            }),
            versions: ReportedVersions::default(),
            last_requested_at: [f64::MIN; SOURCES.len()],
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Update(update) => self.play_update(&update),
            Step::Observation { instance, kind } => {
                let observation = observation(&self.simulation, kind);
                self.simulation.observe(&instance_id(instance), observation);
            }
            Step::Advance(duration) => self.simulation.advance(duration.into()),
        }
    }

    fn play_update(&mut self, update: &UpdateInput) {
        let requested_at = self.simulation.now - f64::from(update.age);
        let records: Vec<InstanceRecord> = update.records.iter().map(RecordInput::build).collect();
        let last_requested_at = &mut self.last_requested_at[update.source];
        if requested_at >= *last_requested_at {
            *last_requested_at = requested_at;
            records.iter().for_each(|record| self.versions.add(record));
        }
        let content = update.content(records);
        self.simulation
            .update(SOURCES[update.source], requested_at, content);
    }

    fn check_no_drain_is_undone(&self) -> Result<(), TestCaseError> {
        let published = self.simulation.published.iter();
        for (id, _) in published.filter(|(_, engine)| engine.state == Ready) {
            let drained = self.versions.drained.get(id).copied().unwrap_or_default();
            let serving = self.versions.serving.get(id).copied().unwrap_or_default();
            prop_assert!(
                serving > drained,
                "{id} is in service: UP {serving:?}, drained {drained:?}"
            );
        }
        Ok(())
    }

    fn check_addresses_are_unique(&self) -> Result<(), TestCaseError> {
        let mut addresses: Vec<SocketAddr> = self
            .simulation
            .published
            .values()
            .filter_map(|engine| engine.address)
            .collect();
        let count = addresses.len();
        addresses.sort();
        addresses.dedup();
        prop_assert_eq!(addresses.len(), count, "two engines share an address");
        Ok(())
    }

    fn check_published_states(&self) -> Result<(), TestCaseError> {
        let members = self.simulation.view.members();
        for (id, member) in members {
            prop_assert_eq!(
                self.simulation.state(id),
                member.state(),
                "the published state of {} is the resolved one",
                id
            );
            prop_assert!(member.records.iter().count() <= SOURCES.len());
        }
        prop_assert!(members.len() <= INSTANCES);
        Ok(())
    }

    fn check_wakeup(&self) -> Result<(), TestCaseError> {
        let now = self.simulation.now;
        let wakeup = self.simulation.view.next_wakeup(now);
        prop_assert!(
            wakeup.is_none_or(|at| at > now),
            "the next wake-up is not in the future: {wakeup:?} at {now}"
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// For reports in any order: an engine in service was reported as UP by a record that is newer than every
    /// drain reported of it; no two published engines share an address; the published state is the resolved
    /// state; the number of stored instances and records is bounded; and the next wake-up is in the future.
    #[test]
    fn a_newer_drain_is_never_undone_by_an_older_up(steps in steps()) {
        let mut checked = Checked::new();
        for step in steps {
            checked.play(step);
            checked.check_no_drain_is_undone()?;
            checked.check_addresses_are_unique()?;
            checked.check_published_states()?;
            checked.check_wakeup()?;
        }
    }

    #[test]
    fn self_preservation_lets_no_more_than_its_share_be_removed_within_its_duration(
        sizes in prop::collection::vec(0..60usize, 1..30), gap in 1..20_000u32
    ) {
        let config = MembershipConfig::default();
        let limits = config.self_preservation.clone();
        let mut simulation = Simulation::new(config);
        simulation.full_list(SOURCE_A, &many(60));
        let mut accepted: Vec<(Millis, usize)> = vec![];
        for size in sizes {
            simulation.now += f64::from(gap);
            let published_before = simulation.published.len();
            let preserved = simulation.view.preserved_count();
            simulation.full_list(SOURCE_A, &many(size));
            let removed = published_before.saturating_sub(simulation.published.len());
            // Removals at the end of a preservation are not caused by the list, so they are not checked.
            if preserved == 0 && removed > 0 {
                accepted.retain(|(at, _)| *at + limits.duration > simulation.now);
                let recent: usize = accepted.iter().map(|(_, count)| count).sum();
                let in_service = (published_before + recent) as f64;
                let tolerated = (in_service * limits.max_missing_share) as usize;
                prop_assert!(removed + recent <= limits.max_missing_count.max(tolerated));
                accepted.push((simulation.now, removed));
            }
        }
    }
}
