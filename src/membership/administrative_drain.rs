//! Administrative drains: instances that operators have taken out of service at this dispatcher.

use crate::membership::Membership;
use std::collections::BTreeSet;

impl Membership {
    /// Replaces the set of instances that operators have drained. Self-preservation counts these neither as
    /// in service nor as missing.
    pub fn set_administratively_drained(&mut self, drained: BTreeSet<String>) {
        self.administratively_drained = drained;
    }

    /// Returns whether operators have drained this engine.
    pub fn is_administratively_drained(&self, engine: &str) -> bool {
        self.administratively_drained.contains(engine)
    }
}
