//! Random choices of a stream, from a fixed seed.

use oorandom::Rand64;

/// Streams of one profile have neighbouring seeds; profiles are this far apart.
const SEEDS_PER_PROFILE: u64 = 1 << 20;

pub(crate) struct Random(Rand64);

impl Random {
    pub(crate) fn of_stream(profile_seed: u64, stream: u64) -> Self {
        Random(Rand64::new(u128::from(
            profile_seed * SEEDS_PER_PROFILE + stream,
        )))
    }

    /// A whole number below `bound`.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0.rand_range(0..bound)
    }

    /// True in so many of a hundred cases.
    pub(crate) fn percent(&mut self, share: u64) -> bool {
        self.below(100) < share
    }

    /// A span or moment with a fraction, below `bound`.
    pub(crate) fn float_below(&mut self, bound: f64) -> f64 {
        self.0.rand_float() * bound
    }

    pub(crate) fn bits(&mut self) -> u64 {
        self.0.rand_u64()
    }

    pub(crate) fn choose<'items, Item>(&mut self, items: &'items [Item]) -> &'items Item {
        &items[self.below(items.len() as u64) as usize]
    }

    /// The position of one of these weights, the heavier the likelier.
    pub(crate) fn weighted(&mut self, weights: &[u64]) -> usize {
        let mut left = self.below(weights.iter().sum());
        for (position, weight) in weights.iter().enumerate() {
            if left < *weight {
                return position;
            }
            left -= weight;
        }
        unreachable!("less than the sum was drawn")
    }
}
