//! Actions that the controller requests from the dispatcher.

use super::{Millis, QueryId};

/// An action to execute now, in the order in which it was returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts the query's next attempt.
    Send {
        /// The query.
        id: QueryId,
        /// The engine's id.
        engine: String,
        /// Time limit of the attempt, ms, in addition to the query's own deadline.
        timeout: Option<Millis>,
    },
    /// Sets the terms of further attempts of a query. The priority applies to attempts in flight as
    /// well.
    Terms {
        /// The query.
        id: QueryId,
        /// Priority from 0 to 3; 3 is the highest.
        priority: u8,
        /// Memory granted to an attempt, MB; 0 leaves the choice to the engine.
        memory_mb: f64,
    },
    /// Cancels one attempt.
    Cancel {
        /// The query.
        id: QueryId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Answers the query finally: refused before it had any effect.
    Refuse {
        /// The query.
        id: QueryId,
        /// Delay after which the client may retry, ms.
        retry_after: Option<Millis>,
    },
    /// Answers the query finally: failed, possibly after it had an effect.
    Fail {
        /// The query.
        id: QueryId,
    },
    /// Requests a load report from an engine.
    Probe {
        /// The engine's id.
        engine: String,
    },
    /// Requests an [`Event::Timer`](super::Event::Timer) at this time. It replaces any earlier
    /// timer.
    Timer {
        /// Expiry time, ms.
        at: Millis,
        /// Token that the event returns.
        token: u64,
    },
    /// Subscribes to changes of the endpoint list.
    Subscribe,
    /// Writes a line to the log.
    Log(String),
}

impl Action {
    /// Creates an action that starts an attempt limited only by its query's deadline.
    pub(crate) fn send(id: QueryId, engine: &str) -> Self {
        Action::Send {
            id,
            engine: engine.into(),
            timeout: None,
        }
    }

    /// Creates an action that sets the terms of the next attempt.
    pub(crate) fn terms(id: QueryId, priority: u8, memory_mb: f64) -> Self {
        Action::Terms {
            id,
            priority,
            memory_mb,
        }
    }

    /// Creates an action that requests a load report from an engine.
    pub(crate) fn probe(engine: &str) -> Self {
        Action::Probe {
            engine: engine.into(),
        }
    }
}
