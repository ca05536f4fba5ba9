//! What the controller asks the dispatcher to do.

use super::{Millis, QueryId};

/// Something to be done now, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the query's next attempt.
    Send {
        /// The query.
        id: QueryId,
        /// The engine's id.
        engine: String,
        /// Limit on the attempt, ms, beside the query's own deadline.
        timeout: Option<Millis>,
    },
    /// Terms for further attempts of a query; its priority holds for those in flight as well.
    Terms {
        /// The query.
        id: QueryId,
        /// From 0 to 3, the highest.
        priority: u8,
        /// Memory it gets, MB; 0: the engine chooses.
        memory_mb: f64,
    },
    /// Cancel one attempt.
    Cancel {
        /// The query.
        id: QueryId,
        /// Which of its attempts, from 0.
        attempt: u32,
    },
    /// Final: refused before it had any effect.
    Refuse {
        /// The query.
        id: QueryId,
        /// When the client may come back, ms.
        retry_after: Option<Millis>,
    },
    /// Final: failed, perhaps with an effect.
    Fail {
        /// The query.
        id: QueryId,
    },
    /// Ask an engine for its load report.
    Probe {
        /// The engine's id.
        engine: String,
    },
    /// Call again with [`Event::Timer`](super::Event::Timer) at this time; replaces any earlier
    /// timer.
    Timer {
        /// When, ms.
        at: Millis,
        /// Comes back with the event.
        token: u64,
    },
    /// Subscribe to changes of the engine list.
    Subscribe,
    /// A line for the log.
    Log(String),
}

impl Action {
    /// Starts an attempt that only its query's deadline limits.
    pub(crate) fn send(id: QueryId, engine: &str) -> Self {
        Action::Send {
            id,
            engine: engine.into(),
            timeout: None,
        }
    }

    /// Names the terms of the next attempt.
    pub(crate) fn terms(id: QueryId, priority: u8, memory_mb: f64) -> Self {
        Action::Terms {
            id,
            priority,
            memory_mb,
        }
    }

    /// Asks an engine for its load report.
    pub(crate) fn probe(engine: &str) -> Self {
        Action::Probe {
            engine: engine.into(),
        }
    }
}
