//! Random draws from a fixed seed, and an agenda of planned steps in the order of their times.

use std::collections::BTreeMap;

pub(crate) struct Random(oorandom::Rand64);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Random(oorandom::Rand64::new(u128::from(seed)))
    }

    pub(crate) fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.rand_float()
    }

    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.0.rand_float() < probability
    }

    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.0.rand_range(0..bound as u64) as usize
    }

    pub(crate) fn pick<Item: Copy>(&mut self, items: &[Item]) -> Item {
        items[self.below(items.len())]
    }

    /// Draws an item with a probability in proportion to its weight.
    pub(crate) fn weighted<Item: Copy>(&mut self, items: &[(Item, u32)]) -> Item {
        let total: u32 = items.iter().map(|(_, weight)| weight).sum();
        let mut left = self.below(total as usize) as u32;
        for &(item, weight) in items {
            if left < weight {
                return item;
            }
            left -= weight;
        }
        items[0].0
    }
}

/// Steps by time; those of one time come in the order in which they were planned.
pub(crate) struct Agenda<Step> {
    steps: BTreeMap<(u64, u64), Step>,
    planned: u64,
}

impl<Step> Agenda<Step> {
    pub(crate) fn new() -> Self {
        Agenda {
            steps: BTreeMap::new(),
            planned: 0,
        }
    }

    /// Plans a step; the time must not be negative, so that times sort like their bits.
    pub(crate) fn plan(&mut self, at: f64, step: Step) {
        self.planned += 1;
        self.steps.insert((at.to_bits(), self.planned), step);
    }

    pub(crate) fn next_time(&self) -> Option<f64> {
        self.steps
            .first_key_value()
            .map(|(key, _)| f64::from_bits(key.0))
    }

    pub(crate) fn pop(&mut self) -> Option<(f64, Step)> {
        self.steps
            .pop_first()
            .map(|(key, step)| (f64::from_bits(key.0), step))
    }
}
