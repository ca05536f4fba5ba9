//! Budget of the bytes that clients make the process hold: unfinished messages, requests that wait or are open, and
//! answers that are not written yet. Connections are bounded in number, and each in what it may hold, but the sum
//! over all connections would exceed the process's memory limit.
//!
//! What is held reserves its bytes with a [`Reservation`], which frees them on drop. Unfinished messages may reserve
//! only half of the budget, so that clients that stop half way leave room for complete ones, and large ones leave a
//! quarter to small ones.

use std::cell::Cell;
use std::rc::Rc;

/// Unfinished messages may reserve the limit divided by this number.
const UNFINISHED_DIVISOR: usize = 2;
/// Only small messages may reserve the limit divided by this number.
const SMALL_ONLY_DIVISOR: usize = 4;

/// A budget of bytes. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct MemoryBudget(Rc<Account>);

#[derive(Debug, Default)]
struct Account {
    limit: Cell<usize>,
    reserved: Cell<usize>,
    /// Part of `reserved` that unfinished messages hold.
    unfinished: Cell<usize>,
    peak: Cell<usize>,
    denied: Cell<u64>,
}

/// What reserved bytes are held for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Purpose {
    /// A message of which a part has arrived.
    Unfinished,
    /// A complete message of some size.
    Large,
    /// A complete message of a few kilobytes.
    #[default]
    Small,
}

/// Bytes reserved in a budget, freed on drop. A default reservation belongs to no budget and is empty.
#[derive(Debug, Default)]
pub struct Reservation {
    budget: Option<MemoryBudget>,
    bytes: usize,
    purpose: Purpose,
}

/// The state of a budget, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Limit, in bytes.
    pub limit: usize,
    /// Reserved bytes.
    pub reserved: usize,
    /// Highest number of reserved bytes so far.
    pub peak: usize,
    /// Number of denied reservations.
    pub denied: u64,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let budget = MemoryBudget::default();
        budget.set_limit(limit);
        budget
    }

    /// Creates a budget without a limit.
    pub fn unlimited() -> Self {
        MemoryBudget::new(usize::MAX)
    }

    /// Sets the limit, in bytes; existing reservations are kept.
    pub fn set_limit(&self, limit: usize) {
        self.0.limit.set(limit);
    }

    /// Reserves bytes; returns `None` if that would exceed the limit.
    pub fn reserve(&self, bytes: usize, purpose: Purpose) -> Option<Reservation> {
        let mut reservation = Reservation {
            budget: Some(self.clone()),
            bytes: 0,
            purpose,
        };
        reservation.resize(bytes).then_some(reservation)
    }

    /// Returns a reservation of no bytes, to be resized.
    pub fn empty_reservation(&self) -> Reservation {
        Reservation {
            budget: Some(self.clone()),
            ..Reservation::default()
        }
    }

    /// Returns the state of the budget.
    pub fn usage(&self) -> BudgetUsage {
        BudgetUsage {
            limit: self.0.limit.get(),
            reserved: self.0.reserved.get(),
            peak: self.0.peak.get(),
            denied: self.0.denied.get(),
        }
    }

    /// Returns whether further bytes for this purpose are within the limit.
    fn has_room(&self, bytes: usize, purpose: Purpose) -> bool {
        let limit = self.0.limit.get();
        let reserved = self.0.reserved.get().saturating_add(bytes);
        let unfinished = self.0.unfinished.get().saturating_add(bytes);
        let shared_limit = limit - limit / SMALL_ONLY_DIVISOR;
        match purpose {
            Purpose::Unfinished => {
                reserved <= shared_limit && unfinished <= limit / UNFINISHED_DIVISOR
            }
            Purpose::Large => reserved <= shared_limit,
            Purpose::Small => reserved <= limit,
        }
    }

    fn add(&self, bytes: usize, purpose: Purpose) {
        let account = &self.0;
        account.reserved.set(account.reserved.get() + bytes);
        account
            .peak
            .set(account.peak.get().max(account.reserved.get()));
        if purpose == Purpose::Unfinished {
            account.unfinished.set(account.unfinished.get() + bytes);
        }
    }

    fn subtract(&self, bytes: usize, purpose: Purpose) {
        let account = &self.0;
        account.reserved.set(account.reserved.get() - bytes);
        if purpose == Purpose::Unfinished {
            account.unfinished.set(account.unfinished.get() - bytes);
        }
    }
}

impl Reservation {
    /// Changes the number of reserved bytes. Returns false, and changes nothing, if more bytes would exceed the
    /// limit. A reservation without a budget always succeeds.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let Some(budget) = &self.budget else {
            return true;
        };
        if bytes <= self.bytes {
            budget.subtract(self.bytes - bytes, self.purpose);
        } else if budget.has_room(bytes - self.bytes, self.purpose) {
            budget.add(bytes - self.bytes, self.purpose);
        } else {
            budget.0.denied.set(budget.0.denied.get() + 1);
            return false;
        }
        self.bytes = bytes;
        true
    }

    /// Changes what the bytes are held for; their number stays.
    pub fn set_purpose(&mut self, purpose: Purpose) {
        let previous = std::mem::replace(&mut self.purpose, purpose);
        if let Some(budget) = &self.budget {
            budget.subtract(self.bytes, previous);
            budget.add(self.bytes, purpose);
        }
    }

    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(budget) = &self.budget {
            budget.subtract(self.bytes, self.purpose);
        }
    }
}

#[cfg(test)]
mod tests;
