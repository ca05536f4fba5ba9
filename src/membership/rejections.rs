//! Addresses and records that were rejected, for operators.

use crate::decision::model::Millis;
use crate::membership::InstanceRecord;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Rejected addresses that are kept for operators; the oldest is dropped for a new one.
pub const MAX_REJECTED_ADDRESSES: usize = 64;
/// Characters of an instance's id that are kept: a rejected id may be of any length.
const MAX_ID_CHARS: usize = 80;

/// An instance's address that was rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct RejectedAddress {
    /// The instance's id, its first 80 characters.
    pub id: String,
    /// The address, if one was named.
    pub address: Option<SocketAddr>,
    /// Why it was rejected, for operators.
    pub reason: String,
    /// How often it was rejected.
    pub count: u64,
    /// When it was last rejected.
    pub last_rejected_at: Millis,
}

/// The latest rejected addresses, and how many rejections there were.
#[derive(Debug, Default)]
pub struct RejectionLog {
    recent: VecDeque<RejectedAddress>,
    total: u64,
}

impl RejectionLog {
    /// The rejected addresses that are kept, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &RejectedAddress> {
        self.recent.iter()
    }

    /// Rejections since the start.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Records a rejection; the line for the log, if it is the first of this instance and address.
    pub(super) fn record(
        &mut self,
        now: Millis,
        record: &InstanceRecord,
        reason: &str,
    ) -> Option<String> {
        self.total += 1;
        let id: String = record.id.chars().take(MAX_ID_CHARS).collect();
        let known = self
            .recent
            .iter_mut()
            .find(|past| past.id == id && past.address == record.address);
        if let Some(past) = known {
            past.count += 1;
            past.last_rejected_at = now;
            return None;
        }
        let address = record
            .address
            .map_or("no address".to_string(), |address| address.to_string());
        let line = format!("engine {id:?} at {address} is rejected: {reason}");
        if self.recent.len() >= MAX_REJECTED_ADDRESSES {
            self.recent.pop_front();
        }
        self.recent.push_back(RejectedAddress {
            id,
            address: record.address,
            reason: reason.to_string(),
            count: 1,
            last_rejected_at: now,
        });
        Some(line)
    }
}
