//! The decision module behind three blocking calls: [`Facade::pick`], [`Facade::report`] and
//! [`Facade::tick`]. Each takes the time, returns what to do now and keeps nothing waiting, so that nothing
//! outside ever meets the module's events and actions.

use crate::decision::controller::Controller;
use crate::decision::model::*;

/// What the module wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start the query's next attempt; memory 0 leaves the grant to the engine.
    Run {
        query: QueryId,
        engine: String,
        memory_mb: f64,
        timeout: Option<Millis>,
    },
    /// Call one attempt off.
    Cancel { query: QueryId, attempt: u32 },
    /// Final: refused, and when the client may come back.
    Refuse {
        query: QueryId,
        retry_after: Option<Millis>,
    },
    /// Final: failed.
    Fail { query: QueryId },
    /// A line for the log.
    Log(String),
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Report {
    Engines {
        update: ListUpdate,
        entries: Vec<EngineEntry>,
    },
    Ended(Ended),
    Progress {
        query: QueryId,
        attempt: u32,
        note: ProgressNote,
    },
    /// Nobody waits for it any more.
    ClientDisconnected(QueryId),
    /// A peer's news of an engine's load.
    PeerLoadReport {
        engine: String,
        report: Vec<f64>,
    },
}

pub struct Facade {
    controller: Controller,
    alarm: Option<Millis>,
    actions: Vec<Action>,
}

impl Facade {
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Facade {
            controller: Controller::new(settings, seed)?,
            alarm: None,
            actions: vec![],
        })
    }

    /// A query has come in: where does it go, and what else may go now?
    pub fn pick(&mut self, now: Millis, query: Query) -> Vec<Decision> {
        self.call(now, Event::Query(query))
    }

    pub fn report(&mut self, now: Millis, report: Report) -> Vec<Decision> {
        self.call(
            now,
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
            },
        )
    }

    /// Lets the module look at the clock if it asked for that.
    pub fn tick(&mut self, now: Millis) -> Vec<Decision> {
        match self.alarm.is_some_and(|at| at <= now) {
            true => {
                self.alarm = None;
                self.call(now, Event::Timer(0))
            }
            false => vec![],
        }
    }

    /// So many processes share this gateway's part.
    pub fn set_process_count(&mut self, processes: u32) {
        self.controller.set_process_count(processes);
    }

    /// The module leaves this engine out while others are well. Read only, for operators.
    pub fn is_ejected(&self, engine: &str) -> bool {
        self.controller.is_ejected(engine)
    }

    /// When the next tick is due.
    pub fn next_tick(&self) -> Option<Millis> {
        self.alarm
    }

    fn call(&mut self, now: Millis, event: Event) -> Vec<Decision> {
        let mut actions = std::mem::take(&mut self.actions);
        self.controller.handle(now, event, &mut actions);
        let mut decisions = Vec::with_capacity(actions.len());
        // The module names a query's terms right before its send.
        let mut terms = None;
        for action in actions.drain(..) {
            match action {
                Action::Terms { id, memory_mb, .. } => terms = Some((id, memory_mb)),
                Action::Send {
                    id,
                    engine,
                    timeout,
                } => {
                    let memory_mb = terms.filter(|t| t.0 == id).map_or(0.0, |t| t.1);
                    decisions.push(Decision::Run {
                        query: id,
                        engine,
                        memory_mb,
                        timeout,
                    });
                }
                Action::Cancel { id, attempt } => {
                    decisions.push(Decision::Cancel { query: id, attempt })
                }
                Action::Refuse { id, retry_after } => decisions.push(Decision::Refuse {
                    query: id,
                    retry_after: retry_after,
                }),
                Action::Fail { id } => decisions.push(Decision::Fail { query: id }),
                // The last alarm is the module's only one: an older one would find nothing due.
                Action::Timer { at, .. } => self.alarm = Some(at),
                Action::Log(text) => decisions.push(Decision::Log(text)),
                // Engines are never probed here, and every list comes unasked.
                Action::Probe { .. } | Action::Subscribe => {}
            }
        }
        self.actions = actions;
        decisions
    }
}
