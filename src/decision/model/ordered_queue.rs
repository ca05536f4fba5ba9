//! Queues of the queries that have to run one at a time, in the order of arrival, by key.

use super::{Millis, QueryId};
use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
mod tests;

/// Queries of one key in the order of arrival, and the end of the key's quiet period.
#[derive(Debug, Default)]
pub(crate) struct OrderedQueue {
    ids: VecDeque<QueryId>,
    quiet_until: Millis,
}

impl OrderedQueue {
    /// Returns whether this query is the first of its key.
    pub(crate) fn is_first(&self, id: QueryId) -> bool {
        self.ids.front() == Some(&id)
    }

    /// Returns whether the key is in its quiet period, because an attempt may still run.
    pub(crate) fn is_quiet(&self, now: Millis) -> bool {
        now < self.quiet_until
    }

    fn is_idle(&self, now: Millis) -> bool {
        self.ids.is_empty() && self.quiet_until <= now
    }
}

/// The queues of all keys in use.
#[derive(Debug, Default)]
pub(crate) struct OrderedQueues {
    by_key: BTreeMap<String, OrderedQueue>,
}

impl OrderedQueues {
    /// Appends a query to the queue of its key.
    pub(crate) fn push(&mut self, key: &str, id: QueryId) {
        self.by_key.entry(key.into()).or_default().ids.push_back(id);
    }

    /// Returns the queue of a key, if the key is in use.
    pub(crate) fn get(&self, key: &str) -> Option<&OrderedQueue> {
        self.by_key.get(key)
    }

    /// Removes a query, and the queue of its key if that becomes idle.
    pub(crate) fn remove(&mut self, key: &str, id: QueryId, now: Millis) {
        let Some(queue) = self.by_key.get_mut(key) else {
            return;
        };
        queue.ids.retain(|&queued| queued != id);
        if queue.is_idle(now) {
            self.by_key.remove(key);
        }
    }

    /// Extends the quiet period of a key that is in use to `until`, unless it already lasts longer.
    pub(crate) fn extend_quiet_period(&mut self, key: &str, until: Millis) {
        if let Some(queue) = self.by_key.get_mut(key) {
            queue.quiet_until = queue.quiet_until.max(until);
        }
    }

    /// Removes queues that are idle.
    pub(crate) fn remove_idle(&mut self, now: Millis) {
        self.by_key.retain(|_, queue| !queue.is_idle(now));
    }
}
