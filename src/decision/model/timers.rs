//! Times at which the controller has to be called again, and what is due then.

use super::Millis;

#[cfg(test)]
mod tests;

/// Sampling period of the integral controller, ms.
pub(crate) const SAMPLING_PERIOD: Millis = 2000.0;

/// Interval between wakeups while requests are pending, ms: shorter than every latency objective,
/// longer than a wakeup takes to run.
pub(crate) const WAKEUP_INTERVAL: Millis = 20.0;

/// Times of the next sampling period, wakeup and subscription.
#[derive(Debug)]
pub(crate) struct Timers {
    started_at: Millis,
    period_end: Millis,
    next_wakeup: Millis,
    subscribe_at: Millis,
}

impl Default for Timers {
    /// Creates timers that have not started; a wakeup and a subscription are due at once.
    fn default() -> Self {
        Timers {
            started_at: f64::MIN,
            period_end: f64::MIN,
            next_wakeup: f64::MIN,
            subscribe_at: f64::MIN,
        }
    }
}

impl Timers {
    /// Starts the first sampling period at the first call; later calls have no effect.
    pub(crate) fn start(&mut self, now: Millis) {
        if self.started_at == f64::MIN {
            self.started_at = now;
            self.period_end = now + SAMPLING_PERIOD;
        }
    }

    /// Returns the time of the first call. What the dispatcher did before it is unknown.
    pub(crate) fn started_at(&self) -> Millis {
        self.started_at
    }

    /// Returns whether the requested wakeup is due.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        now >= self.next_wakeup
    }

    /// Returns true once at the end of each sampling period, and starts the next period.
    pub(crate) fn end_period(&mut self, now: Millis) -> bool {
        let is_over = now >= self.period_end;
        if is_over {
            self.period_end = now + SAMPLING_PERIOD;
        }
        is_over
    }

    /// Schedules another subscription one sampling period after the previous one failed.
    pub(crate) fn retry_subscription(&mut self, now: Millis) {
        self.subscribe_at = now + SAMPLING_PERIOD;
    }

    /// Returns true once when a subscription is due.
    pub(crate) fn take_subscription(&mut self, now: Millis) -> bool {
        let is_due = now >= self.subscribe_at;
        if is_due {
            self.subscribe_at = f64::INFINITY;
        }
        is_due
    }

    /// Returns the time of the next wakeup, if it has to be requested: the last one `was_due`, or
    /// the new one is earlier.
    pub(crate) fn schedule(
        &mut self,
        now: Millis,
        interval: Millis,
        was_due: bool,
    ) -> Option<Millis> {
        let mut next = now + interval;
        if self.subscribe_at > now {
            next = next.min(self.subscribe_at);
        }
        let is_new = was_due || next < self.next_wakeup;
        if is_new {
            self.next_wakeup = next;
        }
        is_new.then_some(next)
    }
}

/// Returns the time to the next wakeup, ms, if nothing else is due; `step` is the minimum time by
/// which the clock advances, ms.
pub(crate) fn wakeup_interval(is_idle: bool, step: Millis) -> Millis {
    match is_idle {
        true => SAMPLING_PERIOD,
        false => WAKEUP_INTERVAL.max(step),
    }
}
