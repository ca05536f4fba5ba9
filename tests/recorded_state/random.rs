//! Random draws of a stream from a fixed seed.

use oorandom::Rand64;

/// Number of seeds reserved for each profile; its streams use consecutive ones.
const SEEDS_PER_PROFILE: u64 = 1 << 20;

pub(crate) struct Random(Rand64);

impl Random {
    pub(crate) fn of_stream(profile_seed: u64, stream: u64) -> Self {
        Random(Rand64::new(u128::from(
            profile_seed * SEEDS_PER_PROFILE + stream,
        )))
    }

    /// Draws an integer below `bound`.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0.rand_range(0..bound)
    }

    /// Returns true with this probability in percent.
    pub(crate) fn percent(&mut self, probability: u64) -> bool {
        self.below(100) < probability
    }

    /// Draws a non-negative float below `bound`.
    pub(crate) fn float_below(&mut self, bound: f64) -> f64 {
        self.0.rand_float() * bound
    }

    pub(crate) fn bits(&mut self) -> u64 {
        self.0.rand_u64()
    }

    pub(crate) fn choose<'items, Item>(&mut self, items: &'items [Item]) -> &'items Item {
        &items[self.below(items.len() as u64) as usize]
    }

    /// Draws the position of a weight with a probability in proportion to it.
    pub(crate) fn weighted(&mut self, weights: &[u64]) -> usize {
        let mut remaining = self.below(weights.iter().sum());
        for (position, weight) in weights.iter().enumerate() {
            if remaining < *weight {
                return position;
            }
            remaining -= weight;
        }
        unreachable!("the drawn number is below the sum of the weights")
    }
}
