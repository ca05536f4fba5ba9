//! The decisions behind three blocking calls: [`Facade::pick`], [`Facade::report`] and
//! [`Facade::tick`].
//!
//! Each takes the time, returns what is to be done now and defers nothing, so that nothing outside
//! ever handles the controller's events and actions.

use super::controller::Controller;
use super::model::{
    Action, Ended, EngineEntry, Event, FleetEvidence, FleetSizeRange, ListUpdate, Millis, Outcome,
    ProgressNote, Query, QueryId, Settings, SettingsError,
};

/// Something to be done now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start the query's next attempt.
    Run {
        /// The query.
        query: QueryId,
        /// The engine's id.
        engine: String,
        /// Memory it gets, MB; 0: the engine chooses.
        memory_mb: f64,
        /// Limit on the attempt, ms, beside the query's own deadline.
        timeout: Option<Millis>,
    },
    /// Cancel one attempt.
    Cancel {
        /// The query.
        query: QueryId,
        /// Which of its attempts, from 0.
        attempt: u32,
    },
    /// Final: refused before it had any effect.
    Refuse {
        /// The query.
        query: QueryId,
        /// When the client may come back, ms.
        retry_after: Option<Millis>,
    },
    /// Final: failed, perhaps with an effect.
    Fail {
        /// The query.
        query: QueryId,
    },
    /// A line for the log.
    Log(String),
}

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum Report {
    /// The engine list has changed.
    Engines {
        /// How the entries relate to the list before.
        update: ListUpdate,
        /// The entries.
        entries: Vec<EngineEntry>,
    },
    /// An attempt has ended.
    Ended(Ended),
    /// An engine reports of an attempt that has not ended.
    Progress {
        /// The query.
        query: QueryId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// The report.
        note: ProgressNote,
    },
    /// The client no longer waits for this query.
    ClientDisconnected(QueryId),
    /// Another dispatcher has received this load report.
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

/// One dispatcher's decisions behind blocking calls.
pub struct Facade {
    controller: Controller,
    next_wakeup: Option<Millis>,
    actions: Vec<Action>,
}

impl Facade {
    /// Decisions by these settings. The seed decides the random choices.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings contradict themselves.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Facade {
            controller: Controller::new(settings, seed)?,
            next_wakeup: None,
            actions: vec![],
        })
    }

    /// A query has arrived: where it goes, and what else is to be done.
    pub fn pick(&mut self, now: Millis, query: Query) -> Vec<Decision> {
        self.handle(now, Event::Query(query))
    }

    /// Something has happened: what is to be done.
    pub fn report(&mut self, now: Millis, report: Report) -> Vec<Decision> {
        self.handle(now, report.into())
    }

    /// Handles the timer, if it has expired.
    pub fn tick(&mut self, now: Millis) -> Vec<Decision> {
        let is_due = self.next_wakeup.is_some_and(|at| at <= now);
        if !is_due {
            return vec![];
        }
        self.next_wakeup = None;
        self.handle(now, Event::Timer(0))
    }

    /// So many processes make the decisions of this dispatcher.
    pub fn set_process_count(&mut self, processes: u32) {
        self.controller.set_process_count(processes);
    }

    /// Takes over what has been heard of how many dispatchers run.
    pub fn observe_fleet(&mut self, evidence: FleetEvidence) {
        self.controller.observe_fleet(evidence);
    }

    /// The present process of an engine has started at this time at the latest.
    pub fn learn_engine_start(&mut self, engine: &str, latest: Millis) {
        self.controller.learn_engine_start(engine, latest);
    }

    /// How many dispatchers are taken to run.
    pub fn fleet_size(&self) -> FleetSizeRange {
        self.controller.fleet_size()
    }

    /// Whether this engine is passed over while others are healthy.
    pub fn is_ejected(&self, engine: &str) -> bool {
        self.controller.is_ejected(engine)
    }

    /// How often a warming engine was sent more than this dispatcher's part of what it bears.
    pub fn slow_start_overruns(&self) -> u64 {
        self.controller.slow_start_overruns()
    }

    /// When the next tick is due, ms.
    pub fn next_tick(&self) -> Option<Millis> {
        self.next_wakeup
    }

    fn handle(&mut self, now: Millis, event: Event) -> Vec<Decision> {
        let mut actions = std::mem::take(&mut self.actions);
        self.controller.handle(now, event, &mut actions);
        let mut decisions = Vec::with_capacity(actions.len());
        // The controller names a query's terms right before its attempt.
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
                // The last timer is the only one: an older one would find nothing due.
                self.next_wakeup = Some(at);
                return None;
            }
            // Engines are never probed here, and every list comes without a subscription.
            Action::Terms { .. } | Action::Probe { .. } | Action::Subscribe => return None,
        })
    }
}
