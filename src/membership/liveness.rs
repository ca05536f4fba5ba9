//! Liveness evidence from connections to an engine, independent of the lists.
//!
//! **An engine whose connections were all lost, and that accepts one again, has restarted.** Reason: the list
//! may be older than the restart (its registry is unreachable, or learns of an engine's start late). An
//! engine that has just started sustains only a part of its load, and measurements of its previous process no
//! longer apply. An engine that had no connection, while no registry answered, for longer than the shortest
//! restart ([`MIN_RESTART_MS`]) may have restarted unnoticed, and is treated as restarted.

use crate::decision::model::Millis;

/// Minimum duration of an engine's restart, in milliseconds.
const MIN_RESTART_MS: Millis = 5_000.0;

/// An event on the connections to one engine. `open_connections` is the number of connections that are open
/// after it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A connection was opened, and the login succeeded.
    Opened {
        /// When the connection attempt began, in milliseconds since the Unix epoch.
        at: Millis,
    },
    /// A connection broke unexpectedly, or the engine announced its shutdown.
    Broken {
        /// Connections that are open still.
        open_connections: usize,
    },
    /// A new connection was refused: no process listens at the address. (A connection attempt that times out
    /// is no evidence.)
    Refused {
        /// Connections that are open still.
        open_connections: usize,
    },
    /// A connection was closed in an orderly way, by either side.
    Closed {
        /// Connections that are open still.
        open_connections: usize,
    },
}

/// Whether any registry is reachable, so that it would have reported a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryReachability {
    /// At least one registry answered recently.
    Answering,
    /// All registries are unreachable.
    Unreachable,
}

/// Evidence from the connections to one engine. Times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LivenessEvidence {
    /// When all connections were lost, or one was refused while none was open, if none has been opened since.
    pub all_lost_at: Option<Millis>,
    /// Since when no connection has been open, whether the last was lost or closed in an orderly way.
    pub unconnected_since: Option<Millis>,
    /// When the last detected restart was.
    pub restarted_at: Option<Millis>,
    /// Whether a connection has ever been opened.
    pub ever_connected: bool,
    /// Number of refused connections since the last one that was opened.
    pub refusals: u32,
}

impl LivenessEvidence {
    /// Records an event on a connection. Returns whether it shows that the engine has restarted.
    pub fn record(
        &mut self,
        now: Millis,
        observation: Observation,
        reachability: RegistryReachability,
    ) -> bool {
        match observation {
            Observation::Opened { at } => return self.record_opened(now, at, reachability),
            Observation::Broken {
                open_connections: 0,
            } => self.record_all_lost(now),
            Observation::Refused {
                open_connections: 0,
            } => {
                self.refusals = self.refusals.saturating_add(1);
                // No process listens now, so one that accepts a connection later has started in between.
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

    fn record_opened(
        &mut self,
        now: Millis,
        at: Millis,
        reachability: RegistryReachability,
    ) -> bool {
        let unconnected_for_long = self
            .unconnected_since
            .is_some_and(|since| now >= since + MIN_RESTART_MS);
        let unseen_restart = self.ever_connected
            && unconnected_for_long
            && reachability == RegistryReachability::Unreachable;
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

    /// Returns whether the evidence confirms that the engine is gone: connections were refused or all lost,
    /// and none has been opened since.
    pub fn is_unreachable(&self) -> bool {
        self.refusals > 0 || self.all_lost_at.is_some()
    }
}
