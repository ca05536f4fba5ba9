//! Random draws from a fixed seed, and a queue of scheduled steps ordered by time.

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
        let mut remaining = self.below(total as usize) as u32;
        for &(item, weight) in items {
            if remaining < weight {
                return item;
            }
            remaining -= weight;
        }
        items[0].0
    }
}

/// Scheduled steps ordered by time; steps of the same time keep the order in which they were scheduled.
pub(crate) struct StepQueue<Step> {
    steps: BTreeMap<(u64, u64), Step>,
    scheduled: u64,
}

impl<Step> StepQueue<Step> {
    pub(crate) fn new() -> Self {
        StepQueue {
            steps: BTreeMap::new(),
            scheduled: 0,
        }
    }

    /// Schedules a step; the time must not be negative, so that times sort like their bits.
    pub(crate) fn schedule(&mut self, at: f64, step: Step) {
        self.scheduled += 1;
        self.steps.insert((at.to_bits(), self.scheduled), step);
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
