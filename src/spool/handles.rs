//! Who may come back for which result.
//!
//! A handle is 128 random bits: it is not to be guessed. It belongs to the user whose statement it was; for any other
//! user there is no such result, in the very words that a handle nobody ever had gets, so that trying handles tells
//! nothing. Only its owner is told that a result has expired.

use crate::spool::index::SpoolId;
use std::collections::{HashMap, VecDeque};

/// Handles of expired results that their owners are still told of.
const EXPIRED: usize = 4_096;
/// A handle's length, as hexadecimal digits.
pub const LENGTH: usize = 32;

/// Why nobody gets a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResumeError {
    /// The handle was never given, or not to this user.
    #[error("no result of yours has this handle")]
    Unknown,
    #[error("this result has expired; ask for it anew")]
    Expired,
    /// It is no handle.
    #[error("a handle has 32 hexadecimal digits")]
    Malformed,
}

/// Handles of results that are there, and of some that were.
#[derive(Clone, Debug, Default)]
pub struct Handles {
    live: HashMap<String, (String, SpoolId)>,
    of: HashMap<SpoolId, String>,
    expired: HashMap<String, String>,
    oldest: VecDeque<String>,
    /// Handles asked for that were another user's; wrong ones; expired ones.
    pub refused: [u64; 3],
}

impl Handles {
    /// A result gets this handle; `random` are its 128 bits.
    pub fn give(&mut self, spool: SpoolId, user: &str, random: u128) -> String {
        let handle = format!("{random:032x}");
        self.put(spool, user, &handle);
        handle
    }

    /// A result that was found at the start keeps its handle.
    pub fn put(&mut self, spool: SpoolId, user: &str, handle: &str) {
        self.live
            .insert(handle.to_string(), (user.to_string(), spool));
        self.of.insert(spool, handle.to_string());
    }

    pub fn of(&self, spool: SpoolId) -> Option<&str> {
        self.of.get(&spool).map(String::as_str)
    }

    /// The result is there no more.
    pub fn expire(&mut self, spool: SpoolId) {
        let Some(handle) = self.of.remove(&spool) else {
            return;
        };
        let Some((user, _)) = self.live.remove(&handle) else {
            return;
        };
        if self.oldest.len() >= EXPIRED
            && let Some(old) = self.oldest.pop_front()
        {
            self.expired.remove(&old);
        }
        self.oldest.push_back(handle.clone());
        self.expired.insert(handle, user);
    }

    /// The result behind a handle, for its owner.
    ///
    /// # Errors
    /// See [`ResumeError`]; another user's handle reads like a wrong one.
    pub fn find(&mut self, user: &str, handle: &str) -> Result<SpoolId, ResumeError> {
        if handle.len() != LENGTH || !handle.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ResumeError::Malformed);
        }
        let handle = handle.to_ascii_lowercase();
        let (kind, error) = match (self.live.get(&handle), self.expired.get(&handle)) {
            (Some((owner, spool)), _) if owner == user => return Ok(*spool),
            (_, Some(owner)) if owner == user => (2, ResumeError::Expired),
            (None, None) => (1, ResumeError::Unknown),
            _ => (0, ResumeError::Unknown),
        };
        self.refused[kind] += 1;
        Err(error)
    }

    pub fn len(&self) -> usize {
        self.live.len()
    }

    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }
}
