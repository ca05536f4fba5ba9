//! What connections to an engine prove, whatever the lists say.
//!
//! **An engine whose connections were all lost, and that takes one again, has started anew.** Reason: the list may
//! be older than the restart (its registry is away, or tells an engine's start late); an engine that has just
//! started bears a part of its load only, and what was learned of its old process is void. An engine that nobody
//! had a connection to, while no registry answered, for longer than a process needs to restart
//! ([`UNWATCHED`]) may have started anew unseen, and is taken as if it had.

use crate::decision::model::Millis;

/// In milliseconds: no engine restarts in less.
pub const UNWATCHED: Millis = 5_000.0;

/// What happened on connections to one engine. `left` is how many are open after it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// One was opened and logged in; begun at `at`.
    Opened { at: Millis },
    /// One broke off that should not have, or the engine said that it shuts down.
    Broken { open_connections: usize },
    /// A new one was refused: nobody listens there. (One that is not answered proves nothing.)
    Refused { open_connections: usize },
    /// One was closed in order, by either side.
    Closed { open_connections: usize },
}

/// What connections have shown of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LivenessEvidence {
    /// All connections were lost then, and none has been taken since.
    pub lost: Option<Millis>,
    /// No connection is open since then, lost or closed in order.
    pub unwatched: Option<Millis>,
    /// It was seen to start anew then.
    pub started: Option<Millis>,
    /// A connection has been open at some time.
    pub seen: bool,
    /// Refusals since the last connection.
    pub refused: u32,
}

impl LivenessEvidence {
    /// Takes what was seen; true if the engine has started anew by it. `answered` tells that a registry has
    /// spoken of late, so that a restart would have been told.
    pub fn take(&mut self, now: Millis, seen: Observation, answered: bool) -> bool {
        match seen {
            Observation::Opened { at } => {
                let alone = self.unwatched.is_some_and(|t| now >= t + UNWATCHED);
                let anew = self.lost.is_some() || (self.seen && alone && !answered);
                (self.lost, self.unwatched, self.refused, self.seen) = (None, None, 0, true);
                if anew {
                    self.started = Some(at.max(self.started.unwrap_or(at)));
                }
                return anew;
            }
            Observation::Broken {
                open_connections: 0,
            } => {
                self.lost.get_or_insert(now);
                self.unwatched.get_or_insert(now);
            }
            Observation::Refused {
                open_connections: 0,
            } => {
                self.refused = self.refused.saturating_add(1);
                // Nobody listens: whoever does later has started since.
                self.lost.get_or_insert(now);
                self.unwatched.get_or_insert(now);
            }
            Observation::Closed {
                open_connections: 0,
            } => drop(self.unwatched.get_or_insert(now)),
            Observation::Broken { .. }
            | Observation::Refused { .. }
            | Observation::Closed { .. } => {}
        }
        false
    }

    /// Connections confirm that it is gone: none is open, and it takes none.
    pub fn dead(&self) -> bool {
        self.refused > 0 || self.lost.is_some()
    }
}
