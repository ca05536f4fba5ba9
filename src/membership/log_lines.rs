//! Lines for the log: the registry view does no I/O and hands them to its driver.

use std::collections::VecDeque;

/// Lines that wait to be drained; further ones are dropped.
pub(super) const MAX_LOG_LINES: usize = 64;

/// Lines for the log that wait to be drained.
#[derive(Debug, Default)]
pub(super) struct LogLines {
    lines: VecDeque<String>,
}

impl LogLines {
    pub(super) fn push(&mut self, line: String) {
        if self.lines.len() < MAX_LOG_LINES {
            self.lines.push_back(line);
        }
    }

    pub(super) fn drain(&mut self) -> Vec<String> {
        self.lines.drain(..).collect()
    }
}
