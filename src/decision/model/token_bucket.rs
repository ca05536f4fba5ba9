//! A token bucket for a tenant's quota.

use super::Millis;

#[cfg(test)]
mod tests;

/// A token bucket that starts full. Its capacity is at least one token, however low its rate.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket whose capacity is `burst_seconds` of its rate, in tokens per second.
    pub(crate) fn new(rate_per_s: f64, burst_seconds: f64) -> Self {
        TokenBucket {
            rate_per_s,
            capacity: (rate_per_s * burst_seconds).max(1.0),
            tokens: f64::INFINITY,
            refilled_at: 0.0,
        }
    }

    /// Takes a token if one is available. Returns whether it did.
    pub(crate) fn try_acquire(&mut self, now: Millis) -> bool {
        let refilled = self.tokens + self.rate_per_s * (now - self.refilled_at) / 1000.0;
        self.tokens = refilled.min(self.capacity);
        self.refilled_at = now;
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }
}
