//! Replica of one registry's instances, built from a full list and deltas and verified by the registry's hash
//! code. Does no I/O.

use crate::config::eureka::RegistryQuery;
use crate::discovery::eureka::model::{Application, Document};
use crate::membership::{Status, UpdateContent, Version};
use std::collections::{BTreeMap, HashMap};

/// Maximum number of instances, over all applications, that a replica holds.
pub(super) const MAX_INSTANCES: usize = 200_000;

/// The status of every instance of every application in one registry; the hash code counts all of them.
#[derive(Debug, Default)]
pub(super) struct Replica {
    /// Status by application name and instance ID.
    statuses: HashMap<(String, String), Status>,
    /// Number of instances by status.
    counts: BTreeMap<&'static str, usize>,
    has_full_list: bool,
}

/// The result of applying a delta.
#[derive(Debug)]
pub(super) struct AppliedDelta {
    /// The changes that concern engines.
    pub(super) content: UpdateContent,
    /// Whether the full list has to be fetched because the hash code does not match or is missing. `content`
    /// is valid in that case too, because a drain must not wait for another exchange.
    pub(super) needs_full_list: bool,
}

/// Why a document cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ReplicaError {
    /// There are more than [`MAX_INSTANCES`] instances.
    #[error("the registry lists more than {MAX_INSTANCES} instances")]
    TooManyInstances,
}

impl Replica {
    /// Returns whether the replica holds a full list, to which deltas can be applied.
    pub(super) fn has_full_list(&self) -> bool {
        self.has_full_list
    }

    /// Marks the replica as invalid, so that the full list is fetched next.
    pub(super) fn invalidate(&mut self) {
        self.has_full_list = false;
    }

    /// Returns the number of instances in each status, in the registry's notation: `DOWN_1_UP_7_`.
    pub(super) fn hashcode(&self) -> String {
        self.counts
            .iter()
            .filter(|(_, count)| **count > 0)
            .map(|(status, count)| format!("{status}_{count}_"))
            .collect()
    }

    /// Sets the status of an instance, or removes the instance if `status` is `None`.
    fn set_status(
        &mut self,
        application: &str,
        id: &str,
        status: Option<Status>,
    ) -> Result<(), ReplicaError> {
        let key = (application.to_string(), id.to_string());
        let previous = match status {
            Some(status) => self.statuses.insert(key, status),
            None => self.statuses.remove(&key),
        };
        if let Some(count) = previous.and_then(|status| self.counts.get_mut(status.as_str())) {
            *count -= 1;
        }
        if let Some(status) = status {
            *self.counts.entry(status.as_str()).or_default() += 1;
        }
        if self.statuses.len() > MAX_INSTANCES {
            Err(ReplicaError::TooManyInstances)
        } else {
            Ok(())
        }
    }

    /// Replaces the replica by a full list and returns the engines in that list.
    ///
    /// # Errors
    /// There are more than [`MAX_INSTANCES`] instances; the replica then holds no full list.
    pub(super) fn apply_full_list(
        &mut self,
        document: &Document,
        query: &RegistryQuery,
    ) -> Result<UpdateContent, ReplicaError> {
        self.has_full_list = false;
        self.statuses.clear();
        self.counts.clear();
        let mut records = vec![];
        for Application { name, instances } in &document.applications {
            for instance in instances.iter().filter(|instance| !instance.deleted()) {
                self.set_status(name, &instance.id, Some(Status::parse(&instance.status)))?;
                if query.includes(name) {
                    records.push(instance.to_record(query.uses_secure_port()));
                }
            }
        }
        self.has_full_list = true;
        Ok(UpdateContent::Full(records))
    }

    /// Applies a delta and returns the changes of engines in that delta.
    ///
    /// # Errors
    /// There are more than [`MAX_INSTANCES`] instances; the full list has to be fetched then.
    pub(super) fn apply_delta(
        &mut self,
        document: &Document,
        query: &RegistryQuery,
    ) -> Result<AppliedDelta, ReplicaError> {
        let (mut changed, mut deleted) = (vec![], vec![]);
        for Application { name, instances } in &document.applications {
            for instance in instances {
                let status = (!instance.deleted()).then(|| Status::parse(&instance.status));
                let result = self.set_status(name, &instance.id, status);
                if result.is_err() {
                    self.has_full_list = false;
                }
                result?;
                match query.includes(name) {
                    true if instance.deleted() => {
                        let version = Version::from_timestamps(instance.dirty, instance.updated);
                        deleted.push((instance.id.clone(), version));
                    }
                    true => changed.push(instance.to_record(query.uses_secure_port())),
                    false => {}
                }
            }
        }
        let needs_full_list = document
            .hashcode
            .as_ref()
            .is_none_or(|hashcode| *hashcode != self.hashcode());
        if needs_full_list {
            self.has_full_list = false;
        }
        Ok(AppliedDelta {
            content: UpdateContent::Delta { changed, deleted },
            needs_full_list,
        })
    }
}
