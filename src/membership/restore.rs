//! Restores the snapshot of an earlier process.

use crate::decision::model::{ListUpdate, Millis};
use crate::membership::publication::PublicationStage;
use crate::membership::{
    DrainWatermark, EndpointListChange, Member, Membership, PersistedInstance, Reason,
    ResolvedState, Snapshot, SourceId, Standing,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Id that stands for a snapshot as the source of a drain; the ids of sources start at 1.
const SNAPSHOT_SOURCE: SourceId = 0;

/// The snapshot that this process started from.
#[derive(Clone, Copy, Debug)]
pub(super) struct RestoredSnapshot {
    /// When the snapshot was taken.
    taken_at: Millis,
    /// Whether the restored instances were published because no source had answered.
    published: bool,
}

impl Membership {
    /// Loads the snapshot of an earlier process, before any source has answered, so that older lists cannot
    /// undo the drains in it. Only [`Membership::serve_restored`] publishes the instances.
    pub fn restore(&mut self, now: Millis, snapshot: Snapshot) {
        self.restored = Some(RestoredSnapshot {
            taken_at: snapshot.taken_at,
            published: false,
        });
        let max_instances = self.config.max_instances;
        for instance in snapshot.instances.into_iter().take(max_instances) {
            // The configured networks may have changed since the snapshot was taken.
            if let Ok(address) = self.config.networks.admit(instance.address) {
                let member = self.instances.get_or_add(now, &instance.id);
                restore_member(member, snapshot.taken_at, address, instance);
            }
        }
    }

    /// Publishes the restored instances if no source has answered yet. Each is published as just started,
    /// since it is not known whether it restarted after the snapshot. Returns `None` if there is nothing to
    /// publish.
    pub fn serve_restored(&mut self, now: Millis) -> Option<EndpointListChange> {
        if self.publication == PublicationStage::Published {
            return None;
        }
        let restored = self
            .restored
            .as_mut()
            .filter(|restored| !restored.published)?;
        restored.published = true;
        for (_, member) in self.instances.iter_mut() {
            if member.unconfirmed_since.is_some() {
                member.unconfirmed_since = Some(now);
            }
        }
        let mut affected: BTreeSet<String> = self.instances.ids().cloned().collect();
        self.address_owners
            .reassign(&mut self.instances, &mut affected);
        let mut change = self.publish(now, affected)?;
        change.update = ListUpdate::Stale;
        Some(change)
    }

    /// Returns when the restored snapshot was taken, if there is one.
    pub fn snapshot_taken_at(&self) -> Option<Millis> {
        self.restored.map(|restored| restored.taken_at)
    }
}

fn restore_member(
    member: &mut Member,
    taken_at: Millis,
    address: SocketAddr,
    instance: PersistedInstance,
) {
    member.address = Some(address);
    member.zone = instance.zone;
    member.kind = instance.kind;
    member.listed_start = instance.started_at;
    member.unconfirmed_since = Some(taken_at);
    member.records.newest_version = instance.newest_version;
    member.records.drain_watermark = instance
        .drained_version
        .filter(|version| !version.is_unset())
        .map(|version| DrainWatermark {
            version,
            source: SNAPSHOT_SOURCE,
            requested_at: taken_at,
        });
    member.since = instance.since;
    member.resolved = ResolvedState {
        standing: if instance.in_service {
            Standing::Serving
        } else {
            Standing::Draining
        },
        reason: Reason::Unlisted,
        until: None,
    };
}
