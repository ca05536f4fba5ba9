//! Publication of changes: compares instances with their last published form.

use crate::decision::model::{EngineState, ListUpdate, Millis};
use crate::membership::{DiscoveredEngine, EndpointListChange, Member, Membership};
use std::collections::BTreeSet;

/// Whether a list has been published yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PublicationStage {
    /// Nothing has been published: no source has answered yet.
    Nothing,
    /// A list of a source, or the instances of a snapshot, has been published.
    Published,
}

impl Membership {
    /// Returns the differences from what was published before. Removed engines are first, since their
    /// addresses may belong to other engines of the same change.
    pub(super) fn publish(
        &mut self,
        now: Millis,
        affected: BTreeSet<String>,
    ) -> Option<EndpointListChange> {
        let mut engines: Vec<DiscoveredEngine> = affected
            .iter()
            .filter_map(|id| self.publish_instance(now, id))
            .collect();
        self.expire_tombstones(now);
        let is_first = self.publication == PublicationStage::Nothing;
        // The first list is published even if it is empty: an empty list states that there is no engine.
        let publishes_empty = is_first && !self.sources.none_effective();
        if engines.is_empty() && !publishes_empty {
            return None;
        }
        self.publication = PublicationStage::Published;
        engines.sort_by_key(publication_rank);
        let update = if is_first {
            ListUpdate::Snapshot
        } else {
            ListUpdate::Patch
        };
        Some(EndpointListChange { update, engines })
    }

    /// Returns the engine to publish if it differs from what was last published.
    fn publish_instance(&mut self, now: Millis, id: &str) -> Option<DiscoveredEngine> {
        self.instances.update_indexes(now, id);
        let member = self.instances.get_mut(id)?;
        let engine = published_form(id, member);
        let differs = match &member.published {
            None => engine.state != EngineState::Gone,
            Some(published) => {
                let stays_removed =
                    engine.state == EngineState::Gone && published.state == EngineState::Gone;
                *published != engine && !stays_removed
            }
        };
        if !differs {
            return None;
        }
        member.published = Some(engine.clone());
        Some(engine)
    }

    /// Drops tombstones that are too old, or beyond the maximum number.
    pub(super) fn expire_tombstones(&mut self, now: Millis) {
        let ttl = self.config.tombstone_ttl;
        let max_tombstones = self.config.max_tombstones;
        self.instances.expire_tombstones(now, ttl, max_tombstones);
    }
}

fn published_form(id: &str, member: &Member) -> DiscoveredEngine {
    let state = member.state();
    // Connections to an address that belongs to another instance would not reach this one.
    let address = member
        .address
        .filter(|_| state != EngineState::Gone && member.superseded_by.is_none());
    DiscoveredEngine {
        id: id.to_string(),
        address,
        state,
        zone: member.zone.clone(),
        kind: member.kind.clone(),
        cell: 0,
        started: member.started_at(),
    }
}

/// Returns the rank by which engines are ordered: removed ones, then those without an address, then the
/// others.
fn publication_rank(engine: &DiscoveredEngine) -> u8 {
    match (engine.state, engine.address) {
        (EngineState::Gone, _) => 0,
        (_, None) => 1,
        _ => 2,
    }
}
