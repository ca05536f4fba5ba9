//! The statements that one connection has prepared.

use super::work::Work;
use crate::protocol::mysql::session::SessionContext;
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};

/// Maximum number of statements that one connection keeps prepared, so that the limit of the engine is
/// never reached.
const MAX_STATEMENTS: usize = 64;

/// Maximum size of the texts of these statements together, in bytes, unless the last one alone is larger.
const MAX_TEXT_BYTES: usize = 256 * 1024;

/// A statement and the contexts that its meaning depends on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct StatementKey {
    /// The context in which it is executed, and its names were resolved.
    pub(super) context: SessionContext,
    /// The context in which its text was read, if that was another one.
    pub(super) preparation: Option<SessionContext>,
    pub(super) sql: Bytes,
}

impl StatementKey {
    /// Returns the key of a piece of work.
    pub(super) fn of(work: &Work) -> Self {
        StatementKey {
            context: work.context.clone(),
            preparation: work.preparation.clone(),
            sql: work.sql.clone(),
        }
    }
}

/// The ids of a connection's prepared statements.
#[derive(Default)]
pub(super) struct PreparedStatements {
    ids: HashMap<StatementKey, u32>,
    /// Statements in the order of their preparation; may include some that the engine no longer knows.
    oldest_first: VecDeque<StatementKey>,
    /// Size of the texts in `oldest_first`.
    text_bytes: usize,
}

impl PreparedStatements {
    pub(super) fn id(&self, key: &StatementKey) -> Option<u32> {
        self.ids.get(key).copied()
    }

    pub(super) fn contains(&self, key: &StatementKey) -> bool {
        self.ids.contains_key(key)
    }

    /// Removes a statement that the engine no longer knows.
    pub(super) fn remove(&mut self, key: &StatementKey) {
        self.ids.remove(key);
    }

    /// Adds a statement, and returns the ids of the statements it replaces, in the order in which to
    /// close them.
    pub(super) fn insert(&mut self, key: StatementKey, id: u32) -> Vec<u32> {
        let mut replaced = vec![];
        self.oldest_first.retain(|other| *other != key);
        self.text_bytes = self.oldest_first.iter().map(text_bytes).sum();
        while (self.oldest_first.len() >= MAX_STATEMENTS
            || self.text_bytes + text_bytes(&key) > MAX_TEXT_BYTES)
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.text_bytes -= text_bytes(&oldest);
            replaced.extend(self.ids.remove(&oldest));
        }
        self.text_bytes += text_bytes(&key);
        replaced.extend(self.ids.insert(key.clone(), id));
        self.oldest_first.push_back(key);
        replaced
    }
}

fn text_bytes(key: &StatementKey) -> usize {
    key.sql.len()
}

#[cfg(test)]
mod tests;
