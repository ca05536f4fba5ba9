//! Reevaluation: resolves the states of instances again, applies self-preservation and address ownership, and
//! publishes the result.

use crate::decision::model::Millis;
use crate::membership::log_lines::MAX_LOG_LINES;
use crate::membership::{EndpointListChange, Membership, Reason};
use std::collections::BTreeSet;

/// Maximum number of log lines of one reevaluation that explain why instances drain; the rest of the queue is
/// kept for other lines.
const MAX_DRAIN_LINES: usize = MAX_LOG_LINES / 2;

/// Outcome of resolving the state of one instance.
pub(super) struct Transition {
    /// Whether the instance was in service and is no longer listed by some or all effective sources.
    pub(super) went_missing: bool,
    /// The reason, if the instance is published and drains for another reason than before.
    pub(super) drained_for: Option<Reason>,
}

impl Membership {
    /// Updates the set of effective sources and reevaluates all instances, since each may resolve to another
    /// state.
    pub(super) fn reevaluate_all(&mut self, now: Millis) -> Option<EndpointListChange> {
        let unreachable_after = self.config.unreachable_after;
        self.sources.update_effective(now, unreachable_after);
        let ids = self.instances.ids().cloned().collect();
        self.reevaluate(now, ids)
    }

    /// Resolves the states of these instances again and returns the resulting change of the endpoint list.
    pub(super) fn reevaluate(
        &mut self,
        now: Millis,
        ids: Vec<String>,
    ) -> Option<EndpointListChange> {
        let in_service = self.in_service_count();
        let mut missing = vec![];
        let mut drained = vec![];
        let mut affected = BTreeSet::new();
        for id in ids {
            let Some(transition) = self.resolve_instance(now, &id) else {
                continue;
            };
            if transition.went_missing {
                missing.push(id.clone());
            }
            if let Some(reason) = transition.drained_for {
                drained.push((id.clone(), reason));
            }
            affected.insert(id);
        }
        self.log_drained(drained);
        self.preserve_missing(now, missing, in_service);
        self.address_owners
            .reassign(&mut self.instances, &mut affected);
        self.publish(now, affected)
    }

    /// Returns the number of instances in service that operators have not drained.
    fn in_service_count(&self) -> usize {
        self.instances
            .members()
            .iter()
            .filter(|(id, member)| member.is_in_service() && !self.is_administratively_drained(id))
            .count()
    }

    fn resolve_instance(&mut self, now: Millis, id: &str) -> Option<Transition> {
        let administratively_drained = self.is_administratively_drained(id);
        let sources = &self.sources;
        let member = self.instances.get_mut(id)?;
        // Only the snapshot contains the instance, and no source has answered since.
        let resolved = if member.records.is_empty() && sources.none_effective() {
            member.resolved.clone()
        } else {
            member
                .records
                .resolve(now, self.config.missing_grace, |source| {
                    sources.is_effective(source)
                })
        };
        Some(member.adopt(now, resolved, administratively_drained))
    }

    fn log_drained(&mut self, drained: Vec<(String, Reason)>) {
        for (id, reason) in drained.into_iter().take(MAX_DRAIN_LINES) {
            let reason = self.explain(reason);
            self.log
                .push(format!("engine {id} takes no new requests: {reason}"));
        }
    }

    /// Keeps instances in service if they went missing together with many others.
    fn preserve_missing(&mut self, now: Millis, missing: Vec<String>, in_service: usize) {
        let config = &self.config.self_preservation;
        // An instance that is known only from a snapshot older than the duration is not preserved: had it
        // gone missing when the snapshot was taken, its preservation would have ended by now.
        let candidates: Vec<String> = missing
            .into_iter()
            .filter(|id| {
                let member = self.instances.get(id);
                member.is_some_and(|member| {
                    member
                        .unconfirmed_since
                        .is_none_or(|at| now < at + config.duration)
                })
            })
            .collect();
        let preservation = self
            .disappearances
            .evaluate(config, now, candidates.len(), in_service);
        let Some(preservation) = preservation else {
            return;
        };
        self.log.push(format!(
            "{} of {} engines vanished at once: {} are kept in service for {} s",
            preservation.missing,
            preservation.in_service,
            candidates.len(),
            config.duration / 1000.0
        ));
        for id in candidates {
            if let Some(member) = self.instances.get_mut(&id) {
                member.preservation = Some(preservation.clone());
            }
        }
    }
}
