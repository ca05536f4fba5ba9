//! The statements that one connection has prepared.

use crate::protocol::mysql::session::SessionContext;
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};

/// Statements that one connection holds prepared, so that an engine's own limit is never reached.
const MAX_STATEMENTS: usize = 64;

/// A statement and the context in which its names were resolved.
pub(super) type StatementKey = (SessionContext, Bytes);

/// The ids of a connection's prepared statements.
#[derive(Default)]
pub(super) struct PreparedStatements {
    ids: HashMap<StatementKey, u32>,
    /// In the order of their preparation; may hold some that the engine has forgotten.
    oldest_first: VecDeque<StatementKey>,
}

impl PreparedStatements {
    pub(super) fn id(&self, key: &StatementKey) -> Option<u32> {
        self.ids.get(key).copied()
    }

    pub(super) fn contains(&self, key: &StatementKey) -> bool {
        self.ids.contains_key(key)
    }

    /// The engine does not know the statement any more.
    pub(super) fn remove(&mut self, key: &StatementKey) {
        self.ids.remove(key);
    }

    /// Adds a statement; returns the ids that have to be closed for it, in order.
    pub(super) fn insert(&mut self, key: StatementKey, id: u32) -> Vec<u32> {
        let mut replaced = vec![];
        while self.oldest_first.len() >= MAX_STATEMENTS {
            let oldest = self.oldest_first.pop_front();
            replaced.extend(oldest.and_then(|key| self.ids.remove(&key)));
        }
        self.oldest_first.retain(|other| *other != key);
        replaced.extend(self.ids.insert(key.clone(), id));
        self.oldest_first.push_back(key);
        replaced
    }
}
