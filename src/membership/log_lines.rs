//! Queue of log lines: the registry view does no I/O, so its driver drains the lines and writes them.

use std::collections::VecDeque;

/// Maximum number of queued log lines; further lines are dropped.
pub(super) const MAX_LOG_LINES: usize = 64;

/// Log lines that wait to be drained by the driver.
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
