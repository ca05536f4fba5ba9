//! What connections to an engine prove, whatever the lists say.
//!
//! **An engine whose connections were all lost, and that accepts one again, has restarted.** Reason: the list may be
//! older than the restart (its registry is unreachable, or learns of an engine's start late); an engine that has just
//! started bears a part of its load only, and what was learned of its old process is void. An engine that nobody had
//! a connection to, while no registry answered, for longer than a process needs to restart ([`MIN_RESTART_MS`]) may
//! have restarted unseen, and is taken as if it had.

use crate::decision::model::Millis;

/// No engine restarts in less, in milliseconds.
const MIN_RESTART_MS: Millis = 5_000.0;

/// What happened on connections to one engine. `open_connections` is how many are open after it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A connection was opened and logged in.
    Opened {
        /// When the connection was begun.
        at: Millis,
    },
    /// A connection broke that should not have, or the engine said that it shuts down.
    Broken {
        /// Connections that are open still.
        open_connections: usize,
    },
    /// A new connection was refused: nobody listens there. (One that is not answered proves nothing.)
    Refused {
        /// Connections that are open still.
        open_connections: usize,
    },
    /// A connection was closed in order, by either side.
    Closed {
        /// Connections that are open still.
        open_connections: usize,
    },
}

/// Whether a registry would have reported a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryCoverage {
    /// Some registry answered lately.
    Answering,
    /// All registries are unreachable.
    Unreachable,
}

/// What connections have shown of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LivenessEvidence {
    /// All connections were lost then, and none has been opened since.
    pub all_lost_at: Option<Millis>,
    /// No connection has been open since then, lost or closed in order.
    pub unconnected_since: Option<Millis>,
    /// The last restart that was detected.
    pub restarted_at: Option<Millis>,
    /// A connection has been open at some time.
    pub ever_connected: bool,
    /// Refusals since the last connection.
    pub refusals: u32,
}

impl LivenessEvidence {
    /// Records what happened on a connection; true if it shows that the engine has restarted.
    pub fn record(
        &mut self,
        now: Millis,
        observation: Observation,
        coverage: RegistryCoverage,
    ) -> bool {
        match observation {
            Observation::Opened { at } => return self.record_opened(now, at, coverage),
            Observation::Broken {
                open_connections: 0,
            } => self.record_all_lost(now),
            Observation::Refused {
                open_connections: 0,
            } => {
                self.refusals = self.refusals.saturating_add(1);
                // Nobody listens: whoever does later has started since.
                self.record_all_lost(now);
            }
            Observation::Closed {
                open_connections: 0,
            } => {
                self.unconnected_since.get_or_insert(now);
            }
            Observation::Broken { .. }
            | Observation::Refused { .. }
            | Observation::Closed { .. } => {}
        }
        false
    }

    fn record_opened(&mut self, now: Millis, at: Millis, coverage: RegistryCoverage) -> bool {
        let unwatched_for_long = self
            .unconnected_since
            .is_some_and(|since| now >= since + MIN_RESTART_MS);
        let unseen_restart =
            self.ever_connected && unwatched_for_long && coverage == RegistryCoverage::Unreachable;
        let restarted = self.all_lost_at.is_some() || unseen_restart;
        self.all_lost_at = None;
        self.unconnected_since = None;
        self.refusals = 0;
        self.ever_connected = true;
        if restarted {
            self.restarted_at = Some(at.max(self.restarted_at.unwrap_or(at)));
        }
        restarted
    }

    fn record_all_lost(&mut self, now: Millis) {
        self.all_lost_at.get_or_insert(now);
        self.unconnected_since.get_or_insert(now);
    }

    /// Connections confirm that the engine is removed: none is open, and it accepts none.
    pub fn is_unreachable(&self) -> bool {
        self.refusals > 0 || self.all_lost_at.is_some()
    }
}
