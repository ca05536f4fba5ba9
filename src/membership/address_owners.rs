//! An address belongs to one instance: the newest that lists it.
//!
//! Reason: where two ids name one address, one process would get the work of two engines, and what is open there for
//! the old instance leads to a process that does not know it.

use crate::decision::model::EngineState;
use crate::membership::Member;
use crate::membership::instance_store::InstanceStore;
use crate::membership::time_index::TimeKey;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Which instance each address belongs to.
#[derive(Debug, Default)]
pub(super) struct AddressOwners {
    owners: BTreeMap<SocketAddr, String>,
}

/// Of two instances at one address the newer owns it: by the instance's own clock, then by its start.
fn newness(member: &Member) -> (u64, TimeKey) {
    let started_at = member.started_at().unwrap_or(0.0);
    (
        member.records.newest_version.dirty,
        TimeKey::new(started_at),
    )
}

impl AddressOwners {
    /// Decides anew whom the addresses of these instances belong to. Instances that gain or lose an address by it are
    /// added to `affected`.
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
                self.contend(instances, &id, address, affected);
            }
        }
        released.retain(|address| !self.owners.contains_key(address));
        for address in released {
            self.pass_on(instances, address, affected);
        }
    }

    /// Releases the address that the instance owned and no longer names.
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

    /// Gives the address to the instance if it is free or its owner is older.
    fn contend(
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
        let rival = owner
            .as_ref()
            .and_then(|owner| instances.get(owner))
            .map(newness);
        let own = instances.get(id).map(newness);
        let is_newer = rival.is_none() || own > rival;
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

    /// Gives a released address to the newest instance that was superseded there.
    fn pass_on(
        &mut self,
        instances: &mut InstanceStore,
        address: SocketAddr,
        affected: &mut BTreeSet<String>,
    ) {
        let heir = instances
            .members()
            .iter()
            .filter(|(_, member)| member.superseded_by.is_some())
            .filter(|(_, member)| member.address == Some(address))
            .filter(|(_, member)| member.state() != EngineState::Gone)
            .max_by_key(|(_, member)| member.records.newest_version.dirty)
            .map(|(id, _)| id.clone());
        let Some(heir) = heir else {
            return;
        };
        self.owners.insert(address, heir.clone());
        if let Some(member) = instances.get_mut(&heir) {
            member.superseded_by = None;
        }
        affected.insert(heir);
    }
}
