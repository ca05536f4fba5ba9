//! Synchronous interface to the decision logic: [`Facade::pick`], [`Facade::report`] and
//! [`Facade::tick`].
//!
//! Each call takes the current time and returns everything that is to be done now, so that callers
//! need not handle the events and actions of the controller.

use super::controller::Controller;
use super::model::{
    Action, Ended, EngineEntry, Event, FleetEvidence, FleetSizeRange, ListUpdate, Millis, Outcome,
    ProgressNote, Query, QueryId, Settings, SettingsError,
};

/// An action that the caller carries out now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start the query's next attempt.
    Run {
        /// The query.
        query: QueryId,
        /// The engine's id.
        engine: String,
        /// Memory granted to the attempt, MB; 0 leaves the choice to the engine.
        memory_mb: f64,
        /// Timeout of the attempt, ms, in addition to the deadline of the query.
        timeout: Option<Millis>,
    },
    /// Cancel one attempt.
    Cancel {
        /// The query.
        query: QueryId,
        /// Number of the attempt within the query, from 0.
        attempt: u32,
    },
    /// Final answer: the query is refused and can safely be retried.
    Refuse {
        /// The query.
        query: QueryId,
        /// Time after which the client may retry, ms.
        retry_after: Option<Millis>,
    },
    /// Final answer: the query has failed, and may have had an effect.
    Fail {
        /// The query.
        query: QueryId,
    },
    /// Write this line to the log.
    Log(String),
}

/// An external event that is reported to the decision logic.
#[derive(Clone, Debug)]
pub enum Report {
    /// The endpoint list has changed.
    Engines {
        /// Whether the entries replace the previous list or change parts of it.
        update: ListUpdate,
        /// Entries of the endpoint list.
        entries: Vec<EngineEntry>,
    },
    /// An attempt has ended.
    Ended(Ended),
    /// An engine has sent a progress note for an attempt in flight.
    Progress {
        /// The query.
        query: QueryId,
        /// Number of the attempt within the query, from 0.
        attempt: u32,
        /// The progress note.
        note: ProgressNote,
    },
    /// The client no longer waits for this query.
    ClientDisconnected(QueryId),
    /// A peer has received this load report from an engine.
    PeerLoadReport {
        /// The engine's id.
        engine: String,
        /// The load report.
        report: Vec<f64>,
    },
}

impl From<Report> for Event {
    fn from(report: Report) -> Self {
        match report {
            Report::Engines { update, entries } => Event::EngineList { update, entries },
            Report::Ended(ended) => Event::AttemptEnded(ended),
            Report::Progress {
                query,
                attempt,
                note,
            } => Event::Progress {
                id: query,
                attempt,
                note,
            },
            Report::ClientDisconnected(query) => Event::ClientDisconnected(query),
            Report::PeerLoadReport { engine, report } => Event::EngineReport {
                engine,
                outcome: Outcome::Served,
                report,
            },
        }
    }
}

/// Decision logic of one dispatcher behind synchronous calls.
pub struct Facade {
    controller: Controller,
    next_wakeup: Option<Millis>,
    actions: Vec<Action>,
}

impl Facade {
    /// Creates the decision logic with these settings. The seed determines its random choices and its
    /// order of the engines.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the settings are inconsistent.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Facade {
            controller: Controller::new(settings, seed)?,
            next_wakeup: None,
            actions: vec![],
        })
    }

    /// Handles the arrival of a query, and returns its placement and any other decisions due now.
    pub fn pick(&mut self, now: Millis, query: Query) -> Vec<Decision> {
        self.handle(now, Event::Query(query))
    }

    /// Handles an external event, and returns the decisions that follow from it.
    pub fn report(&mut self, now: Millis, report: Report) -> Vec<Decision> {
        self.handle(now, report.into())
    }

    /// Handles the timer if it is due, and returns the decisions that follow.
    pub fn tick(&mut self, now: Millis) -> Vec<Decision> {
        let is_due = self.next_wakeup.is_some_and(|at| at <= now);
        if !is_due {
            return vec![];
        }
        self.next_wakeup = None;
        self.handle(now, Event::Timer(0))
    }

    /// Sets the number of processes that make the decisions of this dispatcher.
    pub fn set_process_count(&mut self, processes: u32) {
        self.controller.set_process_count(processes);
    }

    /// Records evidence of the number of running dispatchers.
    pub fn observe_fleet(&mut self, evidence: FleetEvidence) {
        self.controller.observe_fleet(evidence);
    }

    /// Records that the present process of an engine started at the time `latest` or before.
    pub fn learn_engine_start(&mut self, engine: &str, latest: Millis) {
        self.controller.learn_engine_start(engine, latest);
    }

    /// Returns the assumed number of running dispatchers.
    pub fn fleet_size(&self) -> FleetSizeRange {
        self.controller.fleet_size()
    }

    /// Returns whether this engine is ejected: skipped while others are healthy.
    pub fn is_ejected(&self, engine: &str) -> bool {
        self.controller.is_ejected(engine)
    }

    /// Returns how often this dispatcher sent an engine that was warming up more than its share of
    /// what the engine sustains.
    pub fn slow_start_overruns(&self) -> u64 {
        self.controller.slow_start_overruns()
    }

    /// Returns the time at which the next tick is due, ms.
    pub fn next_tick(&self) -> Option<Millis> {
        self.next_wakeup
    }

    fn handle(&mut self, now: Millis, event: Event) -> Vec<Decision> {
        let mut actions = std::mem::take(&mut self.actions);
        self.controller.handle(now, event, &mut actions);
        let mut decisions = Vec::with_capacity(actions.len());
        // The controller emits the terms of an attempt right before the attempt itself.
        let mut granted = None;
        for action in actions.drain(..) {
            if let Action::Terms { id, memory_mb, .. } = action {
                granted = Some((id, memory_mb));
            } else {
                decisions.extend(self.decision(action, granted));
            }
        }
        self.actions = actions;
        decisions
    }

    fn decision(&mut self, action: Action, granted: Option<(QueryId, f64)>) -> Option<Decision> {
        Some(match action {
            Action::Send {
                id,
                engine,
                timeout,
            } => Decision::Run {
                query: id,
                engine,
                memory_mb: granted
                    .filter(|(query, _)| *query == id)
                    .map_or(0.0, |(_, mb)| mb),
                timeout,
            },
            Action::Cancel { id, attempt } => Decision::Cancel { query: id, attempt },
            Action::Refuse { id, retry_after } => Decision::Refuse {
                query: id,
                retry_after,
            },
            Action::Fail { id } => Decision::Fail { query: id },
            Action::Log(text) => Decision::Log(text),
            Action::Timer { at, .. } => {
                // Only the latest timer matters: nothing would be due at an earlier one.
                self.next_wakeup = Some(at);
                return None;
            }
            // Engines are not probed through this interface, and endpoint lists need no subscription.
            Action::Terms { .. } | Action::Probe { .. } | Action::Subscribe => return None,
        })
    }
}
