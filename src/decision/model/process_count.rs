//! The processes that make the decisions of one dispatcher: two while one takes over from the
//! other.

use super::Millis;

#[cfg(test)]
mod tests;

/// The present number of processes, and the one before.
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
    /// From now on there are so many.
    pub(crate) fn set(&mut self, now: Millis, processes: u32) {
        self.previous = self.current;
        self.changed_at = now;
        self.current = f64::from(processes.max(1));
    }

    /// The greater of the present number and the one that a change after `start` has replaced.
    pub(crate) fn max_since(&self, start: Millis) -> f64 {
        if start < self.changed_at {
            self.current.max(self.previous)
        } else {
            self.current
        }
    }
}
