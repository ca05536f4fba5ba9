//! Address ownership: an address belongs to the newest instance that is listed with it.
//!
//! Reason: if two ids shared an address, one process would get the load of two engines, and connections that
//! are open for the old instance would lead to a process that does not know their sessions.

use crate::decision::model::EngineState;
use crate::membership::Member;
use crate::membership::instance_store::InstanceStore;
use crate::membership::time_index::TimeKey;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The instance that each address belongs to.
#[derive(Debug, Default)]
pub(super) struct AddressOwners {
    owners: BTreeMap<SocketAddr, String>,
}

/// Returns the key by which instances at one address are ordered: the timestamp that the instance itself set,
/// then the start of its process. The greatest owns the address.
fn recency(member: &Member) -> (u64, TimeKey) {
    let started_at = member.started_at().unwrap_or(0.0);
    (
        member.records.newest_version.dirty,
        TimeKey::new(started_at),
    )
}

impl AddressOwners {
    /// Reassigns the addresses of the instances in `affected`, and adds to it the instances that gain or lose
    /// an address.
    pub(super) fn reassign(
        &mut self,
        instances: &mut InstanceStore,
        affected: &mut BTreeSet<String>,
    ) {
        let mut released = vec![];
        for id in affected.clone() {
            let Some(member) = instances.get(&id) else {
                continue;
            };
            let wanted = member
                .address
                .filter(|_| member.state() != EngineState::Gone);
            released.extend(self.release_former(&id, member, wanted));
            if let Some(address) = wanted {
                self.claim(instances, &id, address, affected);
            }
        }
        released.retain(|address| !self.owners.contains_key(address));
        for address in released {
            self.assign_released(instances, address, affected);
        }
    }

    /// Releases and returns the address that the instance owned and is no longer listed with.
    fn release_former(
        &mut self,
        id: &str,
        member: &Member,
        wanted: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let published = member.published.as_ref()?;
        let former = published
            .address
            .filter(|address| Some(*address) != wanted)?;
        if self.owners.get(&former).is_none_or(|owner| owner != id) {
            return None;
        }
        self.owners.remove(&former);
        Some(former)
    }

    /// Assigns the address to the instance if the address is free or its owner is older.
    fn claim(
        &mut self,
        instances: &mut InstanceStore,
        id: &str,
        address: SocketAddr,
        affected: &mut BTreeSet<String>,
    ) {
        let owner = self
            .owners
            .get(&address)
            .filter(|owner| *owner != id)
            .cloned();
        let owner_recency = owner
            .as_ref()
            .and_then(|owner| instances.get(owner))
            .map(recency);
        let own_recency = instances.get(id).map(recency);
        let is_newer = owner_recency.is_none() || own_recency > owner_recency;
        if is_newer {
            self.owners.insert(address, id.to_string());
            if let Some(former_owner) = &owner
                && let Some(member) = instances.get_mut(former_owner)
            {
                member.superseded_by = Some(id.to_string());
                affected.insert(former_owner.clone());
            }
        }
        if let Some(member) = instances.get_mut(id) {
            member.superseded_by = owner.filter(|_| !is_newer);
        }
    }

    /// Assigns a released address to the newest of the superseded instances that are listed with it.
    fn assign_released(
        &mut self,
        instances: &mut InstanceStore,
        address: SocketAddr,
        affected: &mut BTreeSet<String>,
    ) {
        let successor = instances
            .members()
            .iter()
            .filter(|(_, member)| member.superseded_by.is_some())
            .filter(|(_, member)| member.address == Some(address))
            .filter(|(_, member)| member.state() != EngineState::Gone)
            .max_by_key(|(_, member)| member.records.newest_version.dirty)
            .map(|(id, _)| id.clone());
        let Some(successor) = successor else {
            return;
        };
        self.owners.insert(address, successor.clone());
        if let Some(member) = instances.get_mut(&successor) {
            member.superseded_by = None;
        }
        affected.insert(successor);
    }
}
