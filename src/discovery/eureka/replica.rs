//! Replica of one registry's list: a full list, then deltas, verified by the registry's hash code. Does no I/O.

use crate::config::eureka::RegistryQuery;
use crate::discovery::eureka::model::{Application, Document};
use crate::membership::{Status, UpdateContent, Version};
use std::collections::{BTreeMap, HashMap};

/// Maximum number of instances, over all applications, that a replica holds.
pub(super) const MAX_INSTANCES: usize = 200_000;

/// The status of every instance of every application in one registry, all of which the hash code counts.
#[derive(Debug, Default)]
pub(super) struct Replica {
    statuses: HashMap<(String, String), Status>,
    counts: BTreeMap<&'static str, usize>,
    listed: bool,
}

/// The result of applying a delta.
#[derive(Debug)]
pub(super) struct Applied {
    /// The changes that concern engines.
    pub(super) content: UpdateContent,
    /// The hash code does not match or is missing, so the full list has to be fetched. `content` is valid all the same: a
    /// drain must not wait for another exchange.
    pub(super) differs: bool,
}

/// Why a document cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ReplicaError {
    /// There are more than [`MAX_INSTANCES`] instances.
    #[error("the registry lists more than {MAX_INSTANCES} instances")]
    Many,
}

impl Replica {
    /// Whether the replica holds a full list, to which deltas can be applied.
    pub(super) fn listed(&self) -> bool {
        self.listed
    }

    /// Marks the replica as outdated, so that the full list has to be fetched next.
    pub(super) fn forget(&mut self) {
        self.listed = false;
    }

    /// Number of instances in each status, in the registry's notation: `DOWN_1_UP_7_`.
    pub(super) fn hashcode(&self) -> String {
        self.counts
            .iter()
            .filter(|(_, n)| **n > 0)
            .map(|(status, n)| format!("{status}_{n}_"))
            .collect()
    }

    /// Sets the status of an instance, or removes it.
    fn set(&mut self, app: &str, id: &str, status: Option<Status>) -> Result<(), ReplicaError> {
        let key = (app.to_string(), id.to_string());
        let before = match status {
            Some(status) => self.statuses.insert(key, status),
            None => self.statuses.remove(&key),
        };
        if let Some(n) = before.and_then(|b| self.counts.get_mut(b.as_str())) {
            *n -= 1;
        }
        if let Some(status) = status {
            *self.counts.entry(status.as_str()).or_default() += 1;
        }
        if self.statuses.len() > MAX_INSTANCES {
            Err(ReplicaError::Many)
        } else {
            Ok(())
        }
    }

    /// Replaces the replica by a full list and returns the engines in it.
    ///
    /// # Errors
    /// There are more than [`MAX_INSTANCES`] instances; the replica then holds no full list.
    pub(super) fn whole(
        &mut self,
        document: &Document,
        query: &RegistryQuery,
    ) -> Result<UpdateContent, ReplicaError> {
        self.listed = false;
        self.statuses.clear();
        self.counts.clear();
        let mut records = vec![];
        for Application { name, instances } in &document.applications {
            for instance in instances.iter().filter(|i| !i.deleted()) {
                self.set(name, &instance.id, Some(Status::parse(&instance.status)))?;
                if query.counts(name) {
                    records.push(instance.fact(query.secure()));
                }
            }
        }
        self.listed = true;
        Ok(UpdateContent::Full(records))
    }

    /// Applies a delta and returns the changes of engines in it.
    ///
    /// # Errors
    /// There are more than [`MAX_INSTANCES`] instances; the full list has to be fetched then.
    pub(super) fn delta(
        &mut self,
        document: &Document,
        query: &RegistryQuery,
    ) -> Result<Applied, ReplicaError> {
        let (mut changed, mut deleted) = (vec![], vec![]);
        for Application { name, instances } in &document.applications {
            for instance in instances {
                let status = (!instance.deleted()).then(|| Status::parse(&instance.status));
                let set = self.set(name, &instance.id, status);
                if set.is_err() {
                    self.listed = false;
                }
                set?;
                match query.counts(name) {
                    true if instance.deleted() => {
                        let version = Version::from_timestamps(instance.dirty, instance.updated);
                        deleted.push((instance.id.clone(), version));
                    }
                    true => changed.push(instance.fact(query.secure())),
                    false => {}
                }
            }
        }
        let differs = document
            .hashcode
            .as_ref()
            .is_none_or(|h| *h != self.hashcode());
        if differs {
            self.listed = false;
        }
        Ok(Applied {
            content: UpdateContent::Delta { changed, deleted },
            differs,
        })
    }
}
