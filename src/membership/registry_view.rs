//! The registry view itself: what it holds, and its entry points besides sources' answers and snapshots.

use crate::decision::model::Millis;
use crate::membership::address_owners::AddressOwners;
use crate::membership::instance_store::InstanceStore;
use crate::membership::liveness::RegistryCoverage;
use crate::membership::log_lines::LogLines;
use crate::membership::publication::PublicationStage;
use crate::membership::restore::RestoredSnapshot;
use crate::membership::sources::SourceTable;
use crate::membership::{
    Change, DisappearanceHistory, Member, MembershipConfig, Observation, RejectionLog, Source,
    SourceFailure, SourceId,
};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of every instance. The rules are described at [`crate::membership`].
#[derive(Debug)]
pub struct Membership {
    pub(super) config: MembershipConfig,
    pub(super) sources: SourceTable,
    pub(super) instances: InstanceStore,
    pub(super) address_owners: AddressOwners,
    pub(super) missing: DisappearanceHistory,
    pub(super) administratively_drained: BTreeSet<String>,
    pub(super) rejections: RejectionLog,
    /// Records of instances beyond [`MembershipConfig::max_instances`] that were ignored.
    pub(super) instances_over_limit: u64,
    pub(super) publication: PublicationStage,
    pub(super) log: LogLines,
    pub(super) restored: Option<RestoredSnapshot>,
}

/// What an observation of a connection comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservationOutcome {
    /// What it changes in the published list.
    pub change: Option<Change>,
    /// The engine has restarted: the connection must carry nothing that was meant for its old process.
    pub restarted: bool,
}

impl Membership {
    /// A view in which nothing is known.
    pub fn new(config: MembershipConfig) -> Self {
        Membership {
            config,
            sources: SourceTable::new(),
            instances: InstanceStore::default(),
            address_owners: AddressOwners::default(),
            missing: DisappearanceHistory::default(),
            administratively_drained: BTreeSet::new(),
            rejections: RejectionLog::default(),
            instances_over_limit: 0,
            publication: PublicationStage::Nothing,
            log: LogLines::default(),
            restored: None,
        }
    }

    /// Applies a new configuration and the names of its sources. Nothing that is known is dropped: what sources that
    /// are no longer named have listed stands until those that are named answer.
    pub fn configure(
        &mut self,
        now: Millis,
        config: MembershipConfig,
        source_names: &[String],
    ) -> Option<Change> {
        self.config = config;
        self.sources.retire_unnamed(source_names);
        self.reevaluate_all(now)
    }

    /// A source was polled and gave nothing usable. Its records count until it is unreachable.
    pub fn record_source_failure(
        &mut self,
        now: Millis,
        source: &str,
        problem: String,
    ) -> Option<Change> {
        let id = self.register_source(source);
        if let Some(source) = self.sources.get_mut(id) {
            source.failures += 1;
            source.last_failure = Some(SourceFailure { at: now, problem });
        }
        self.tick(now)
    }

    /// Something happened on a connection to an engine.
    pub fn record_observation(
        &mut self,
        now: Millis,
        engine: &str,
        observation: Observation,
    ) -> ObservationOutcome {
        let unaffected = ObservationOutcome {
            change: None,
            restarted: false,
        };
        let coverage = self.registry_coverage(now);
        let Some(member) = self.instances.get_mut(engine) else {
            return unaffected;
        };
        let was_unreachable = member.liveness.is_unreachable();
        let restarted = member.liveness.record(now, observation, coverage);
        if !restarted && member.liveness.is_unreachable() == was_unreachable {
            return unaffected;
        }
        if restarted {
            // The connection confirms the instance, and its start is known now.
            member.unconfirmed_since = None;
            self.log.push(format!(
                "engine {engine}: all connections were lost and it is back: it started anew"
            ));
        }
        ObservationOutcome {
            change: self.reevaluate(now, vec![engine.to_string()]),
            restarted,
        }
    }

    fn registry_coverage(&self, now: Millis) -> RegistryCoverage {
        let unreachable_after = self.config.unreachable_after;
        if self.sources.any_answering(now, unreachable_after) {
            RegistryCoverage::Answering
        } else {
            RegistryCoverage::Unreachable
        }
    }

    /// Does what is due: sources that are unreachable by now, preservations and graces that end.
    pub fn tick(&mut self, now: Millis) -> Option<Change> {
        self.expire_tombstones(now);
        if self.counted_sources_changed(now) {
            return self.reevaluate_all(now);
        }
        let due = self.instances.pop_due(now);
        if due.is_empty() {
            return None;
        }
        self.reevaluate(now, due)
    }

    /// When the next [`Membership::tick`] is due.
    pub fn next_wakeup(&self, now: Millis) -> Option<Millis> {
        let unreachable_after = self.config.unreachable_after;
        let deadline = self.instances.next_deadline();
        let unreachable = self.sources.next_unreachable_at(now, unreachable_after);
        [deadline, unreachable]
            .into_iter()
            .flatten()
            .reduce(f64::min)
    }

    pub(super) fn counted_sources_changed(&self, now: Millis) -> bool {
        let unreachable_after = self.config.unreachable_after;
        self.sources.counted_changed(now, unreachable_after)
    }

    /// The source of this name. A new one may displace another, whose records are dropped.
    pub(super) fn register_source(&mut self, name: &str) -> SourceId {
        let registered = self.sources.register(name);
        if let Some(dropped) = registered.dropped {
            for (_, member) in self.instances.iter_mut() {
                member.records.remove_source(dropped);
            }
        }
        registered.id
    }

    /// Lines for the log since the last call.
    pub fn drain_log_lines(&mut self) -> Vec<String> {
        self.log.drain()
    }

    /// All instances by id, tombstones included.
    pub fn members(&self) -> &BTreeMap<String, Member> {
        self.instances.members()
    }

    /// All sources.
    pub fn sources(&self) -> impl Iterator<Item = &Source> {
        self.sources.iter()
    }

    /// Whether a source's last answer is recent enough for its records to count.
    pub fn is_answering(&self, source: &Source, now: Millis) -> bool {
        source.is_answering(now, self.config.unreachable_after)
    }

    /// Addresses that were rejected.
    pub fn rejections(&self) -> &RejectionLog {
        &self.rejections
    }

    /// Records of instances beyond the limit that were ignored.
    pub fn instances_over_limit(&self) -> u64 {
        self.instances_over_limit
    }

    /// Removed instances whose versions are kept.
    pub fn tombstone_count(&self) -> usize {
        self.instances.tombstone_count()
    }

    /// The configuration in force.
    pub fn config(&self) -> &MembershipConfig {
        &self.config
    }

    /// Missing instances that are kept in service.
    pub fn preserved_count(&self) -> usize {
        self.members()
            .values()
            .filter(|member| member.preservation.is_some())
            .count()
    }
}
