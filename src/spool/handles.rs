//! Handles: which user may resume which result.
//!
//! A handle is 128 random bits, so it cannot be guessed. It belongs to the user who sent the statement. Any
//! other user gets the same error as for a handle that never existed, so that probing reveals nothing. Only
//! the owner learns that a result has expired.

use super::index::SpoolId;
use std::collections::{HashMap, VecDeque};

/// Maximum number of expired handles that are remembered, so that their owners learn of the expiry.
const MAX_EXPIRED_HANDLES: usize = 4_096;
/// Length of a handle, in hexadecimal digits.
pub const HANDLE_DIGITS: usize = 32;

/// Reason why a result cannot be resumed.
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

/// Numbers of rejected handles by true reason, which operators see and users do not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandleRejections {
    /// Handles of another user.
    pub other_user: u64,
    /// Handles that do not exist.
    pub unknown: u64,
    /// Handles of expired results.
    pub expired: u64,
}

/// Spool of a handle, and the owner of the result.
#[derive(Clone, Debug)]
struct HandleOwner {
    user: String,
    spool: SpoolId,
}

/// Handles of the existing results and of the most recently expired ones.
#[derive(Clone, Debug, Default)]
pub struct HandleTable {
    live: HashMap<String, HandleOwner>,
    by_spool: HashMap<SpoolId, String>,
    /// Owner of each expired handle.
    expired: HashMap<String, String>,
    /// Expired handles, oldest first.
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

    /// Returns the handle of an existing result.
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

    /// Returns the spool of a handle to the owner of the result. Upper-case digits are accepted.
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

    /// Returns the numbers of rejected handles since the start.
    pub fn rejections(&self) -> HandleRejections {
        self.rejections
    }

    /// Returns the number of existing results with a handle.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Returns whether no existing result has a handle.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }
}
