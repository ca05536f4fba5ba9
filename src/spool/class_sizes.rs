//! An estimate of the result size of each request class.

/// The weight that the estimate keeps at each further result.
const DECAY: f64 = 0.95;
/// Results that are needed before the estimate is used.
const MIN_SAMPLES: f64 = 5.0;

/// The decaying mean and mean deviation of a class's result sizes, in bytes.
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

    /// The size of the next result: one deviation above the mean, in bytes. `None` before enough samples.
    pub(super) fn expected_bytes(&self) -> Option<u64> {
        (self.samples >= MIN_SAMPLES).then_some((self.mean + self.deviation) as u64)
    }
}
