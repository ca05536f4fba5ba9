//! The registry view itself: its data, and the entry points that are not about sources' answers or snapshots.

use crate::decision::model::Millis;
use crate::membership::address_owners::AddressOwners;
use crate::membership::instance_store::InstanceStore;
use crate::membership::liveness::RegistryReachability;
use crate::membership::log_lines::LogLines;
use crate::membership::publication::PublicationStage;
use crate::membership::restore::RestoredSnapshot;
use crate::membership::sources::SourceTable;
use crate::membership::{
    DisappearanceHistory, EndpointListChange, Member, MembershipConfig, Observation, RejectionLog,
    Source, SourceFailure, SourceId,
};
use std::collections::{BTreeMap, BTreeSet};

/// The registry view of all instances. [`crate::membership`] describes its rules.
#[derive(Debug)]
pub struct Membership {
    pub(super) config: MembershipConfig,
    pub(super) sources: SourceTable,
    pub(super) instances: InstanceStore,
    pub(super) address_owners: AddressOwners,
    pub(super) disappearances: DisappearanceHistory,
    pub(super) administratively_drained: BTreeSet<String>,
    pub(super) rejections: RejectionLog,
    /// Number of records that were ignored because of [`MembershipConfig::max_instances`].
    pub(super) instances_over_limit: u64,
    pub(super) publication: PublicationStage,
    pub(super) log: LogLines,
    pub(super) restored: Option<RestoredSnapshot>,
}

/// Outcome of an observation of a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservationOutcome {
    /// The resulting change of the endpoint list, if any.
    pub change: Option<EndpointListChange>,
    /// Whether the engine has restarted. If so, nothing that was meant for its previous process may be sent
    /// on the connection.
    pub restarted: bool,
}

impl Membership {
    /// Creates an empty view.
    pub fn new(config: MembershipConfig) -> Self {
        Membership {
            config,
            sources: SourceTable::new(),
            instances: InstanceStore::default(),
            address_owners: AddressOwners::default(),
            disappearances: DisappearanceHistory::default(),
            administratively_drained: BTreeSet::new(),
            rejections: RejectionLog::default(),
            instances_over_limit: 0,
            publication: PublicationStage::Nothing,
            log: LogLines::default(),
            restored: None,
        }
    }

    /// Applies a new configuration and the names of its sources. No data is dropped: the lists of sources
    /// that are no longer named stay in force until a named source answers.
    pub fn configure(
        &mut self,
        now: Millis,
        config: MembershipConfig,
        source_names: &[String],
    ) -> Option<EndpointListChange> {
        self.config = config;
        self.sources.retire_unnamed(source_names);
        self.reevaluate_all(now)
    }

    /// Records that a request to a source failed or that its answer was unusable. The source's records stay
    /// in use until the source counts as unreachable.
    pub fn record_source_failure(
        &mut self,
        now: Millis,
        source: &str,
        problem: String,
    ) -> Option<EndpointListChange> {
        let id = self.register_source(source);
        if let Some(source) = self.sources.get_mut(id) {
            source.failures += 1;
            source.last_failure = Some(SourceFailure { at: now, problem });
        }
        self.tick(now)
    }

    /// Records an event on a connection to an engine.
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
        let reachability = self.registry_reachability(now);
        let Some(member) = self.instances.get_mut(engine) else {
            return unaffected;
        };
        let was_unreachable = member.liveness.is_unreachable();
        let restarted = member.liveness.record(now, observation, reachability);
        if !restarted && member.liveness.is_unreachable() == was_unreachable {
            return unaffected;
        }
        if restarted {
            // The connection confirms the instance, and the start of its process is known now.
            member.unconfirmed_since = None;
            self.log.push(format!(
                "engine {engine} counts as restarted: it accepts connections again after none was open"
            ));
        }
        ObservationOutcome {
            change: self.reevaluate(now, vec![engine.to_string()]),
            restarted,
        }
    }

    fn registry_reachability(&self, now: Millis) -> RegistryReachability {
        let unreachable_after = self.config.unreachable_after;
        if self.sources.any_answering(now, unreachable_after) {
            RegistryReachability::Answering
        } else {
            RegistryReachability::Unreachable
        }
    }

    /// Handles everything that is due at `now`: sources that become unreachable, the ends of preservations
    /// and grace periods, and the expiry of tombstones.
    pub fn tick(&mut self, now: Millis) -> Option<EndpointListChange> {
        self.expire_tombstones(now);
        if self.effective_sources_changed(now) {
            return self.reevaluate_all(now);
        }
        let due = self.instances.pop_due(now);
        if due.is_empty() {
            return None;
        }
        self.reevaluate(now, due)
    }

    /// Returns when the next [`Membership::tick`] is due, if any is.
    pub fn next_wakeup(&self, now: Millis) -> Option<Millis> {
        let unreachable_after = self.config.unreachable_after;
        let deadline = self.instances.next_deadline();
        let unreachable = self.sources.next_unreachable_at(now, unreachable_after);
        [deadline, unreachable]
            .into_iter()
            .flatten()
            .reduce(f64::min)
    }

    pub(super) fn effective_sources_changed(&self, now: Millis) -> bool {
        let unreachable_after = self.config.unreachable_after;
        self.sources.effective_changed(now, unreachable_after)
    }

    /// Returns the id of the source with this name; adds it if it is new. Adding one beyond the maximum
    /// evicts another source, whose records are dropped.
    pub(super) fn register_source(&mut self, name: &str) -> SourceId {
        let registered = self.sources.register(name);
        if let Some(dropped) = registered.dropped {
            for (_, member) in self.instances.iter_mut() {
                member.records.remove_source(dropped);
            }
        }
        registered.id
    }

    /// Removes and returns the log lines since the last call.
    pub fn drain_log_lines(&mut self) -> Vec<String> {
        self.log.drain()
    }

    /// Returns all instances by id, tombstones included.
    pub fn members(&self) -> &BTreeMap<String, Member> {
        self.instances.members()
    }

    /// Returns all sources.
    pub fn sources(&self) -> impl Iterator<Item = &Source> {
        self.sources.iter()
    }

    /// Returns whether the source's last answer is recent enough for its records to be used.
    pub fn is_answering(&self, source: &Source, now: Millis) -> bool {
        source.is_answering(now, self.config.unreachable_after)
    }

    /// Returns the log of rejected addresses.
    pub fn rejections(&self) -> &RejectionLog {
        &self.rejections
    }

    /// Returns the number of records that were ignored because of [`MembershipConfig::max_instances`].
    pub fn instances_over_limit(&self) -> u64 {
        self.instances_over_limit
    }

    /// Returns the number of removed instances whose versions are kept.
    pub fn tombstone_count(&self) -> usize {
        self.instances.tombstone_count()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &MembershipConfig {
        &self.config
    }

    /// Returns the number of missing instances that are kept in service.
    pub fn preserved_count(&self) -> usize {
        self.members()
            .values()
            .filter(|member| member.preservation.is_some())
            .count()
    }
}
