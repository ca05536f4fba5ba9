//! What operators are told: counts since the process started, and what stands now.

use crate::decision::model::ClassId;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Success,
    /// Refused: it may come again.
    Overload,
    Error,
}

impl RequestOutcome {
    pub const ALL: [(RequestOutcome, &str); 3] = [
        (RequestOutcome::Success, "success"),
        (RequestOutcome::Overload, "overload"),
        (RequestOutcome::Error, "error"),
    ];
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// By class, in the order of [`End::ALL`].
    pub replies: Vec<[u64; 3]>,
    /// Attempts written whole to engines.
    pub dispatches: u64,
    /// Requests taken and not yet ended.
    pub concurrent: usize,
    /// Engines in the list.
    pub targets: usize,
    /// Those of them that get nothing now, by hand or by choice.
    pub targets_disabled: usize,
    /// Messages at the peers' address that were no word of a peer's.
    pub peer_messages_refused: u64,
}

impl Metrics {
    /// Counts the end of one request. A class that is none of ours has no count.
    pub fn count(&mut self, class: ClassId, end: RequestOutcome) {
        if let Some(ends) = self.replies.get_mut(class) {
            ends[end as usize] += 1;
        }
    }

    /// A line for each figure, `name=value`; classes go by these names.
    pub fn text(&self, classes: &[String]) -> String {
        let mut lines = String::new();
        for (class, ends) in classes.iter().zip(&self.replies) {
            for ((_, name), n) in RequestOutcome::ALL.iter().zip(ends) {
                lines.push_str(&format!("replies.{class}.{name}={n}\n"));
            }
        }
        let rest = [
            ("dispatches", self.dispatches),
            ("concurrent", self.concurrent as u64),
            ("targets", self.targets as u64),
            ("targets_disabled", self.targets_disabled as u64),
            ("peer_messages_refused", self.peer_messages_refused),
        ];
        rest.iter()
            .for_each(|(name, n)| lines.push_str(&format!("{name}={n}\n")));
        lines
    }
}
