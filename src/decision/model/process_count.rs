//! The number of processes that make the decisions of one dispatcher: two while one takes over from
//! the other.

use super::Millis;

#[cfg(test)]
mod tests;

/// The current number of processes, and the previous one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessCount {
    current: f64,
    previous: f64,
    changed_at: Millis,
}

impl Default for ProcessCount {
    fn default() -> Self {
        ProcessCount {
            current: 1.0,
            previous: 1.0,
            changed_at: f64::MIN,
        }
    }
}

impl ProcessCount {
    /// Sets the number of processes from now on; it is at least 1.
    pub(crate) fn set(&mut self, now: Millis, processes: u32) {
        self.previous = self.current;
        self.changed_at = now;
        self.current = f64::from(processes.max(1));
    }

    /// Returns the larger of the current number and the one that it replaced, if the change came
    /// after `start`.
    pub(crate) fn max_since(&self, start: Millis) -> f64 {
        if start < self.changed_at {
            self.current.max(self.previous)
        } else {
            self.current
        }
    }
}
