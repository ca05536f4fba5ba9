//! The latest ids that are claimed, each by one process. Pure.

use std::collections::{HashMap, VecDeque};

/// Maximum number of claims that are remembered; beyond it, the oldest is forgotten.
pub(super) const MAX_CLAIMS: usize = 16_384;

/// A process that claims ids, by a random number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Owner(pub(super) u64);

/// Claims in the order in which they were made.
#[derive(Debug, Default)]
pub(super) struct ClaimTable {
    by_id: HashMap<u64, Claim>,
    /// Ids and numbers of claims, released ones included.
    order: VecDeque<(u64, u64)>,
    next_number: u64,
}

#[derive(Debug)]
struct Claim {
    owner: Owner,
    /// Tells this claim from earlier ones of the same id.
    number: u64,
}

impl ClaimTable {
    /// Returns the owner of an id, if it is claimed.
    pub(super) fn owner(&self, id: u64) -> Option<Owner> {
        self.by_id.get(&id).map(|claim| claim.owner)
    }

    /// Claims an id for `owner`; returns false if it is claimed already, by whomever.
    pub(super) fn claim(&mut self, id: u64, owner: Owner) -> bool {
        if self.by_id.contains_key(&id) {
            return false;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.by_id.insert(id, Claim { owner, number });
        self.order.push_back((id, number));
        self.forget_oldest();
        true
    }

    /// Releases an id, if `owner` claims it.
    pub(super) fn release(&mut self, id: u64, owner: Owner) {
        if self.owner(id) == Some(owner) {
            self.by_id.remove(&id);
        }
    }

    /// Returns the claims, the oldest first.
    pub(super) fn claims(&self) -> impl Iterator<Item = (u64, Owner)> {
        let is_current = |(id, number): &&(u64, u64)| self.is_current(*id, *number);
        let claims = self.order.iter().filter(is_current);
        claims.filter_map(|(id, _)| Some((*id, self.owner(*id)?)))
    }

    fn is_current(&self, id: u64, number: u64) -> bool {
        self.by_id
            .get(&id)
            .is_some_and(|claim| claim.number == number)
    }

    /// Forgets the oldest claims beyond the maximum, and entries of released ones when they are most.
    fn forget_oldest(&mut self) {
        while self.by_id.len() > MAX_CLAIMS
            && let Some((id, number)) = self.order.pop_front()
        {
            if self.is_current(id, number) {
                self.by_id.remove(&id);
            }
        }
        if self.order.len() > 2 * MAX_CLAIMS {
            let by_id = &self.by_id;
            self.order
                .retain(|(id, number)| by_id.get(id).is_some_and(|claim| claim.number == *number));
        }
    }
}
