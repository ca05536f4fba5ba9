//! Handles: who may come back for which result.
//!
//! A handle is 128 random bits, so it cannot be guessed. It belongs to the user who sent the statement. Any other user
//! gets the same error as for a handle that never existed, so that probing reveals nothing. Only the owner learns
//! that a result has expired.

use super::index::SpoolId;
use std::collections::{HashMap, VecDeque};

/// Expired handles that are remembered for their owners.
const MAX_EXPIRED_HANDLES: usize = 4_096;
/// The length of a handle, in hexadecimal digits.
pub const HANDLE_DIGITS: usize = 32;

/// Why a result cannot be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResumeError {
    /// The handle never existed, or belongs to another user.
    #[error("no result of yours has this handle")]
    Unknown,
    /// The result of this user has expired.
    #[error("this result has expired; ask for it anew")]
    Expired,
    /// The text is not a handle.
    #[error("a handle has 32 hexadecimal digits")]
    Malformed,
}

/// Rejected handles, by their true reason: operators see what users do not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandleRejections {
    /// Handles of another user.
    pub other_user: u64,
    /// Handles that do not exist.
    pub unknown: u64,
    /// Handles of expired results.
    pub expired: u64,
}

/// The result behind a handle, and its owner.
#[derive(Clone, Debug)]
struct HandleOwner {
    user: String,
    spool: SpoolId,
}

/// The handles of the existing results and of the last expired ones.
#[derive(Clone, Debug, Default)]
pub struct HandleTable {
    live: HashMap<String, HandleOwner>,
    by_spool: HashMap<SpoolId, String>,
    /// The user of each expired handle.
    expired: HashMap<String, String>,
    /// The expired handles, the oldest first.
    expired_order: VecDeque<String>,
    rejections: HandleRejections,
}

impl HandleTable {
    /// Issues the handle of a new result, made of 128 random bits.
    pub fn issue(&mut self, spool: SpoolId, user: &str, random: u128) -> String {
        let handle = format!("{random:032x}");
        self.restore(spool, user, &handle);
        handle
    }

    /// Adds the handle of a result that was found on disk.
    pub fn restore(&mut self, spool: SpoolId, user: &str, handle: &str) {
        let owner = HandleOwner {
            user: user.to_string(),
            spool,
        };
        self.live.insert(handle.to_string(), owner);
        self.by_spool.insert(spool, handle.to_string());
    }

    /// The handle of an existing result.
    pub fn of_spool(&self, spool: SpoolId) -> Option<&str> {
        self.by_spool.get(&spool).map(String::as_str)
    }

    /// Marks the handle of a removed result as expired.
    pub fn expire(&mut self, spool: SpoolId) {
        let Some(handle) = self.by_spool.remove(&spool) else {
            return;
        };
        let Some(owner) = self.live.remove(&handle) else {
            return;
        };
        if self.expired_order.len() >= MAX_EXPIRED_HANDLES
            && let Some(oldest) = self.expired_order.pop_front()
        {
            self.expired.remove(&oldest);
        }
        self.expired_order.push_back(handle.clone());
        self.expired.insert(handle, owner.user);
    }

    /// Finds the result behind a handle, for its owner. Upper-case digits are accepted.
    ///
    /// # Errors
    /// See [`ResumeError`]. The handle of another user gives the same error as an unknown one.
    pub fn resolve(&mut self, user: &str, handle: &str) -> Result<SpoolId, ResumeError> {
        if handle.len() != HANDLE_DIGITS || !handle.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ResumeError::Malformed);
        }
        let handle = handle.to_ascii_lowercase();
        match (self.live.get(&handle), self.expired.get(&handle)) {
            (Some(owner), _) if owner.user == user => Ok(owner.spool),
            (_, Some(owner)) if owner == user => {
                self.rejections.expired += 1;
                Err(ResumeError::Expired)
            }
            (None, None) => {
                self.rejections.unknown += 1;
                Err(ResumeError::Unknown)
            }
            _ => {
                self.rejections.other_user += 1;
                Err(ResumeError::Unknown)
            }
        }
    }

    /// Rejected handles since the start.
    pub fn rejections(&self) -> HandleRejections {
        self.rejections
    }

    /// The number of existing results with a handle.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether no existing result has a handle.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }
}
