//! Administrative drains: the instances that operators took out of service at this dispatcher.

use crate::membership::Membership;
use std::collections::BTreeSet;

impl Membership {
    /// Exactly these are drained by operators. They count neither as in service nor as missing.
    pub fn set_administratively_drained(&mut self, drained: BTreeSet<String>) {
        self.administratively_drained = drained;
    }

    /// Whether operators drained it.
    pub fn is_administratively_drained(&self, engine: &str) -> bool {
        self.administratively_drained.contains(engine)
    }
}
