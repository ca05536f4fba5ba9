//! What one registry has told so far: the whole list, then changes, checked by the registry's hash code. Pure.

use crate::config::eureka::RegistryQuery;
use crate::discovery::eureka::model::{Application, Document};
use crate::membership::{Status, UpdateContent, Version};
use std::collections::{BTreeMap, HashMap};

/// Instances of all applications of one registry that are kept count of.
pub const MOST: usize = 200_000;

/// A copy of one registry: the status of each instance of every application, since the hash code counts all.
#[derive(Debug, Default)]
pub struct Replica {
    statuses: HashMap<(String, String), Status>,
    counts: BTreeMap<&'static str, usize>,
    listed: bool,
}

/// What a change comes to.
#[derive(Debug)]
pub struct Applied {
    pub content: UpdateContent,
    /// The copy is not what the registry has: the whole is to be asked for. What was told counts all the same,
    /// for a drain must not wait for another exchange.
    pub differs: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaError {
    #[error("the registry lists more than {MOST} instances")]
    Many,
}

impl Replica {
    /// Changes can be applied: a whole list is in hand.
    pub fn listed(&self) -> bool {
        self.listed
    }

    /// The whole is to be asked for next.
    pub fn forget(&mut self) {
        self.listed = false;
    }

    /// How many instances stand in each status, as the registry words it: `DOWN_1_UP_7_`.
    pub fn hashcode(&self) -> String {
        self.counts
            .iter()
            .filter(|(_, n)| **n > 0)
            .map(|(status, n)| format!("{status}_{n}_"))
            .collect()
    }

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
        if self.statuses.len() > MOST {
            Err(ReplicaError::Many)
        } else {
            Ok(())
        }
    }

    /// The whole list of a registry.
    ///
    /// # Errors
    /// More instances than are kept count of; the list is not in hand then.
    pub fn whole(
        &mut self,
        document: &Document,
        listing: &RegistryQuery,
    ) -> Result<UpdateContent, ReplicaError> {
        self.listed = false;
        self.statuses.clear();
        self.counts.clear();
        let mut facts = vec![];
        for a in &document.applications {
            for i in a.instances.iter().filter(|i| !i.deleted()) {
                self.set(&a.name, &i.id, Some(Status::parse(&i.status)))?;
                if listing.counts(&a.name) {
                    facts.push(i.fact(listing.secure()));
                }
            }
        }
        self.listed = true;
        Ok(UpdateContent::Full(facts))
    }

    /// A change since the last answer.
    ///
    /// # Errors
    /// More instances than are kept count of; the whole is to be asked for then.
    pub fn delta(
        &mut self,
        document: &Document,
        listing: &RegistryQuery,
    ) -> Result<Applied, ReplicaError> {
        let (mut changed, mut deleted) = (vec![], vec![]);
        for Application { name, instances } in &document.applications {
            for i in instances {
                let status = (!i.deleted()).then(|| Status::parse(&i.status));
                let set = self.set(name, &i.id, status);
                if set.is_err() {
                    self.listed = false;
                }
                set?;
                match listing.counts(name) {
                    true if i.deleted() => {
                        deleted.push((i.id.clone(), Version::from_timestamps(i.dirty, i.updated)))
                    }
                    true => changed.push(i.fact(listing.secure())),
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
