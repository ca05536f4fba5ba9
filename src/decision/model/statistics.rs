//! Statistics that weight recent samples more than old ones, and sums over a sliding time window.

use super::Millis;
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Minimum total weight of samples for a mean to be trusted.
pub(crate) const TRUSTED_WEIGHT: f64 = 3.0;

/// A mean whose samples lose weight with each later sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingMean {
    sum: f64,
    weight: f64,
}

impl DecayingMean {
    /// Multiplies the weight of all earlier samples by `retention`, and adds a sample of weight 1.
    pub(crate) fn add(&mut self, sample: f64, retention: f64) {
        self.sum = self.sum * retention + sample;
        self.weight = self.weight * retention + 1.0;
    }

    /// Multiplies the weight of all samples by `retention` without adding one.
    pub(crate) fn decay(&mut self, retention: f64) {
        self.sum *= retention;
        self.weight *= retention;
    }

    /// Returns the total weight of all samples.
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the mean, or `default` without any sample.
    pub(crate) fn mean_or(&self, default: f64) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            default
        }
    }

    /// Returns whether the total weight of the samples is high enough to trust the mean.
    pub(crate) fn is_trusted(&self) -> bool {
        self.weight >= TRUSTED_WEIGHT
    }

    /// Returns the mean, or `default` while it is not trusted.
    pub(crate) fn trusted_mean_or(&self, default: f64) -> f64 {
        if self.weight < TRUSTED_WEIGHT {
            default
        } else {
            self.mean_or(default)
        }
    }

    /// Returns the mean with one more sample of value 0, which limits the influence of a single
    /// sample.
    pub(crate) fn shrunken_mean(&self) -> f64 {
        self.sum / (self.weight + 1.0)
    }
}

/// Means, variances and covariance of pairs whose weight decays with each later pair.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRegression {
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    sum_yy: f64,
}

/// The moments of a [`DecayingRegression`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Moments {
    /// Mean of x.
    pub(crate) mean_x: f64,
    /// Mean of y.
    pub(crate) mean_y: f64,
    /// Variance of x, never negative.
    pub(crate) variance_x: f64,
    /// Covariance of x and y.
    pub(crate) covariance: f64,
    /// Variance of y, never negative.
    pub(crate) variance_y: f64,
}

impl DecayingRegression {
    /// Multiplies the weight of all earlier pairs by `retention`, and adds a pair of weight 1.
    pub(crate) fn add(&mut self, x: f64, y: f64, retention: f64) {
        self.weight = self.weight * retention + 1.0;
        self.sum_x = self.sum_x * retention + x;
        self.sum_y = self.sum_y * retention + y;
        self.sum_xx = self.sum_xx * retention + x * x;
        self.sum_xy = self.sum_xy * retention + x * y;
        self.sum_yy = self.sum_yy * retention + y * y;
    }

    /// Returns the total weight of all pairs.
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the moments; they are NaN or 0 without any pair.
    pub(crate) fn moments(&self) -> Moments {
        let mean_x = self.sum_x / self.weight;
        let mean_y = self.sum_y / self.weight;
        Moments {
            mean_x,
            mean_y,
            variance_x: (self.sum_xx / self.weight - mean_x * mean_x).max(0.0),
            covariance: self.sum_xy / self.weight - mean_x * mean_y,
            variance_y: (self.sum_yy / self.weight - mean_y * mean_y).max(0.0),
        }
    }
}

/// Sum of the amounts recorded within a sliding time window.
#[derive(Debug, Default)]
pub(crate) struct SlidingWindowSum {
    entries: VecDeque<(Millis, f64)>,
}

impl SlidingWindowSum {
    /// Discards amounts older than `window` ms, and adds `amount` if it is above 0.
    pub(crate) fn record(&mut self, now: Millis, window: Millis, amount: f64) {
        self.entries.retain(|(at, _)| *at >= now - window);
        if amount > 0.0 {
            self.entries.push_back((now, amount));
        }
    }

    /// Returns the sum of the amounts recorded after `start`.
    pub(crate) fn sum_after(&self, start: Millis) -> f64 {
        let recent = self.entries.iter().filter(|(at, _)| *at > start);
        recent.map(|(_, amount)| amount).sum()
    }
}
