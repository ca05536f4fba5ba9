//! Resolves the states of instances anew, applies self-preservation and address ownership, and publishes the result.

use crate::decision::model::Millis;
use crate::membership::log_lines::MAX_LOG_LINES;
use crate::membership::{Change, Membership, Reason};
use std::collections::BTreeSet;

/// Lines of one reevaluation that say why instances drain; the rest of the log is for other lines.
const MAX_DRAIN_LINES: usize = MAX_LOG_LINES / 2;

/// What became of one instance when its state was resolved.
pub(super) struct Transition {
    /// It was in service, and no source that counts lists it any more, or some of them do not.
    pub(super) went_missing: bool,
    /// It is published and drains for another reason than before.
    pub(super) drained_for: Option<Reason>,
}

impl Membership {
    /// Another set of sources counts, so that every instance may resolve to another state.
    pub(super) fn reevaluate_all(&mut self, now: Millis) -> Option<Change> {
        let unreachable_after = self.config.unreachable_after;
        self.sources.update_counted(now, unreachable_after);
        let ids = self.instances.ids().cloned().collect();
        self.reevaluate(now, ids)
    }

    /// Resolves the states of these instances anew and returns what changes by it.
    pub(super) fn reevaluate(&mut self, now: Millis, ids: Vec<String>) -> Option<Change> {
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

    /// Instances in service that operators did not drain.
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
        // Only a snapshot lists it, and no source has answered since.
        let resolved = if member.records.is_empty() && sources.none_counted() {
            member.resolved.clone()
        } else {
            member
                .records
                .resolve(now, self.config.missing_grace, |source| {
                    sources.counts(source)
                })
        };
        Some(member.adopt(now, resolved, administratively_drained))
    }

    fn log_drained(&mut self, drained: Vec<(String, Reason)>) {
        for (id, reason) in drained.into_iter().take(MAX_DRAIN_LINES) {
            let reason = self.explain(reason);
            self.log
                .push(format!("engine {id} takes nothing new: {reason}"));
        }
    }

    /// Keeps instances in service that went missing together with many others.
    fn preserve_missing(&mut self, now: Millis, missing: Vec<String>, in_service: usize) {
        let config = &self.config.self_preservation;
        // What was known from a snapshot that is older than the duration would no longer be preserved.
        let doubted: Vec<String> = missing
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
            .missing
            .evaluate(config, now, doubted.len(), in_service);
        let Some(preservation) = preservation else {
            return;
        };
        self.log.push(format!(
            "{} of {} engines vanished at once: {} are held in service for {} s",
            preservation.missing,
            preservation.in_service,
            doubted.len(),
            config.duration / 1000.0
        ));
        for id in doubted {
            if let Some(member) = self.instances.get_mut(&id) {
                member.preservation = Some(preservation.clone());
            }
        }
    }
}
