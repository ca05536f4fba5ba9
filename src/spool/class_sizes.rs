//! Estimate of the result size of each request class.

/// Weight of the previous estimate when a further result is recorded.
const DECAY: f64 = 0.95;
/// Minimum number of results before the estimate is used.
const MIN_SAMPLES: f64 = 5.0;

/// Decaying mean and mean deviation of the result sizes of a class, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ClassSizes {
    mean: f64,
    deviation: f64,
    samples: f64,
}

impl ClassSizes {
    /// Records the size of a result, in bytes.
    pub(super) fn record(&mut self, bytes: f64) {
        // With few samples this is the plain mean.
        let decay = DECAY.min(self.samples / (self.samples + 1.0));
        let deviation = (bytes - self.mean).abs();
        self.mean = decay * self.mean + (1.0 - decay) * bytes;
        self.deviation = if self.samples > 0.0 {
            decay * self.deviation + (1.0 - decay) * deviation
        } else {
            0.0
        };
        self.samples += 1.0;
    }

    /// Returns the estimated size of the next result, in bytes: one deviation above the mean. Returns `None`
    /// before [`MIN_SAMPLES`] results.
    pub(super) fn expected_bytes(&self) -> Option<u64> {
        (self.samples >= MIN_SAMPLES).then_some((self.mean + self.deviation) as u64)
    }
}
