//! Log of rejected addresses and records, for operators.

use crate::decision::model::Millis;
use crate::membership::InstanceRecord;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of rejected addresses that are kept for operators; a new one beyond it evicts the oldest.
pub const MAX_REJECTED_ADDRESSES: usize = 64;
/// Maximum number of characters kept of an instance's id: a rejected id may be of any length.
const MAX_ID_CHARS: usize = 80;

/// A rejected address of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct RejectedAddress {
    /// Id of the instance, cut to its first 80 characters.
    pub id: String,
    /// The address, if the record named one.
    pub address: Option<SocketAddr>,
    /// Why the address was rejected, for operators.
    pub reason: String,
    /// Number of rejections of this address of the instance.
    pub count: u64,
    /// When the address was last rejected, in milliseconds since the Unix epoch.
    pub last_rejected_at: Millis,
}

/// The latest rejected addresses, and the total number of rejections.
#[derive(Debug, Default)]
pub struct RejectionLog {
    recent: VecDeque<RejectedAddress>,
    total: u64,
}

impl RejectionLog {
    /// Returns the rejected addresses that are kept, the earliest recorded first.
    pub fn recent(&self) -> impl Iterator<Item = &RejectedAddress> {
        self.recent.iter()
    }

    /// Returns the number of rejections since the start of the process.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Records a rejection. Returns a log line if it is the first kept rejection of this instance and
    /// address.
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
