//! Who decides at a gateway: the real core, or one of the plain ways that it is measured beside.

use crate::random::Stream;
use query_dispatcher::core::{
    Answer, AttemptId, Command, Core, FailureReason, NewRequest, RejectionReason, RequestId,
    StartAttempt,
};
use query_dispatcher::{EngineEntry, EngineState, ListUpdate, Outcome, ProgressNote};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a gateway's decisions need to be.
pub trait Dispatch: Send {
    fn open(&mut self, now: f64, r: NewRequest) -> RequestId;
    fn leave(&mut self, now: f64, request: RequestId);
    fn ended(&mut self, now: f64, attempt: AttemptId, outcome: Outcome, report: Vec<f64>);
    fn note(&mut self, now: f64, attempt: AttemptId, note: ProgressNote);
    fn engines(&mut self, now: f64, update: ListUpdate, entries: Vec<EngineEntry>);
    fn administratively_drained(&mut self, now: f64, engine: &str, out: bool);
    fn tick(&mut self, now: f64);
    fn next_wake(&self) -> Option<f64>;
    fn commands(&mut self) -> Vec<Command>;
    /// New work may still be written to this engine: looked at right before.
    fn in_service(&self, engine: &str) -> bool;
}

impl Dispatch for Core {
    fn open(&mut self, now: f64, r: NewRequest) -> RequestId {
        Core::open(self, now, r)
    }
    fn leave(&mut self, now: f64, request: RequestId) {
        Core::abandon(self, now, request);
    }
    fn ended(&mut self, now: f64, attempt: AttemptId, outcome: Outcome, report: Vec<f64>) {
        Core::attempt_ended(self, now, attempt, outcome, report);
    }
    fn note(&mut self, now: f64, attempt: AttemptId, note: ProgressNote) {
        Core::progress(self, now, attempt, note);
    }
    fn engines(&mut self, now: f64, update: ListUpdate, entries: Vec<EngineEntry>) {
        Core::update_endpoints(self, now, update, entries);
    }
    fn administratively_drained(&mut self, now: f64, engine: &str, out: bool) {
        let _ = if out {
            self.drain_engine(now, engine)
        } else {
            self.undrain_engine(now, engine)
        };
    }
    fn tick(&mut self, now: f64) {
        Core::tick(self, now);
    }
    fn next_wake(&self) -> Option<f64> {
        Core::next_wakeup(self)
    }
    fn commands(&mut self) -> Vec<Command> {
        Core::take_commands(self)
    }
    fn in_service(&self, engine: &str) -> bool {
        Core::is_in_service(self, engine)
    }
}

/// How an engine is chosen.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    clap::ValueEnum,
)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The program's own decisions.
    Module,
    Random,
    RoundRobin,
    /// The engine with the fewest of this gateway's attempts.
    LeastOutstanding,
    /// Of two drawn, the one with fewer.
    TwoChoices,
}

impl Policy {
    pub const ALL: [Policy; 5] = [
        Policy::Module,
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastOutstanding,
        Policy::TwoChoices,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Policy::Module => "module",
            Policy::Random => "random",
            Policy::RoundRobin => "round robin",
            Policy::LeastOutstanding => "least outstanding",
            Policy::TwoChoices => "two choices",
        }
    }
}

struct Open {
    fragile: bool,
    due: f64,
    attempts: Vec<(usize, bool)>,
    may_have_run: bool,
}

/// Sends each request at once to an engine of the list, and again where that does no harm.
pub struct Plain {
    policy: Policy,
    fragile: Vec<bool>,
    random: Stream,
    engines: Vec<String>,
    place: BTreeMap<String, usize>,
    ready: BTreeSet<usize>,
    administratively_drained: BTreeSet<usize>,
    out: Vec<usize>,
    turn: usize,
    open: BTreeMap<RequestId, Open>,
    due: BTreeSet<(u64, RequestId)>,
    next: RequestId,
    commands: Vec<Command>,
}

/// An answer is given this long before its client gives up, in milliseconds.
const MARGIN: f64 = 40.0;
const ATTEMPTS: usize = 3;

impl Plain {
    /// `fragile` tells by class what must not run twice.
    pub fn new(policy: Policy, fragile: Vec<bool>, random: Stream) -> Self {
        Plain {
            policy,
            fragile,
            random,
            engines: vec![],
            place: BTreeMap::new(),
            ready: BTreeSet::new(),
            administratively_drained: BTreeSet::new(),
            out: vec![],
            turn: 0,
            open: BTreeMap::new(),
            due: BTreeSet::new(),
            next: 1,
            commands: vec![],
        }
    }

    fn choose(&mut self, tried: &[usize]) -> Option<usize> {
        let usable: Vec<usize> = self
            .ready
            .difference(&self.administratively_drained)
            .copied()
            .collect();
        let fresh: Vec<usize> = usable
            .iter()
            .copied()
            .filter(|e| !tried.contains(e))
            .collect();
        let from = if fresh.is_empty() { usable } else { fresh };
        if from.is_empty() {
            return None;
        }
        Some(match self.policy {
            Policy::Module | Policy::Random => from[self.random.below(from.len())],
            Policy::RoundRobin => {
                self.turn += 1;
                from[self.turn % from.len()]
            }
            Policy::LeastOutstanding => {
                let least = from.iter().map(|e| self.out[*e]).min().unwrap_or(0);
                let equal: Vec<usize> =
                    from.into_iter().filter(|e| self.out[*e] == least).collect();
                equal[self.random.below(equal.len())]
            }
            Policy::TwoChoices => {
                let (a, b) = (
                    from[self.random.below(from.len())],
                    from[self.random.below(from.len())],
                );
                if self.out[b] < self.out[a] { b } else { a }
            }
        })
    }

    fn send(&mut self, id: RequestId) {
        let Some(r) = self.open.get(&id) else { return };
        let tried: Vec<usize> = r.attempts.iter().map(|a| a.0).collect();
        let (due, retry_safe) = (r.due, !(r.fragile && r.may_have_run));
        let chosen = if tried.len() < ATTEMPTS && retry_safe {
            self.choose(&tried)
        } else {
            None
        };
        let Some(engine) = chosen else {
            let answer = match retry_safe {
                true => Answer::Rejected {
                    retry_after: Some(500.0),
                    reason: RejectionReason::Adapter("no engine"),
                },
                false => Answer::Failed {
                    reason: FailureReason::MayHaveRun,
                },
            };
            return self.close(id, Some(answer));
        };
        self.out[engine] += 1;
        if let Some(r) = self.open.get_mut(&id) {
            r.attempts.push((engine, true));
        }
        let attempt = AttemptId {
            request: id,
            index: tried.len() as u32,
        };
        let engine = self.engines[engine].clone();
        let write_by = f64::INFINITY;
        let start = StartAttempt {
            attempt,
            engine,
            deadline: due,
            write_by,
            memory_mb: 0.0,
            exclusive_connection: false,
        };
        self.commands.push(Command::Start(start));
    }

    /// The end of a request; nobody hears it if no answer is given.
    fn close(&mut self, id: RequestId, answer: Option<Answer>) {
        if let Some(r) = self.open.remove(&id) {
            self.due.remove(&(r.due.to_bits(), id));
            for (index, (engine, out)) in r.attempts.into_iter().enumerate() {
                if out {
                    self.out[engine] -= 1;
                    self.commands.push(Command::Cancel {
                        attempt: AttemptId {
                            request: id,
                            index: index as u32,
                        },
                    });
                }
            }
            self.commands.extend(answer.map(|answer| Command::Answer {
                request: id,
                answer,
            }));
        }
    }
}

impl Dispatch for Plain {
    fn open(&mut self, now: f64, r: NewRequest) -> RequestId {
        let id = self.next;
        self.next += 1;
        let due = (r.deadline - MARGIN).max(now);
        let fragile = self.fragile.get(r.class).copied().unwrap_or(true);
        self.open.insert(
            id,
            Open {
                fragile,
                due,
                attempts: vec![],
                may_have_run: false,
            },
        );
        self.due.insert((due.to_bits(), id));
        self.send(id);
        id
    }

    fn leave(&mut self, _: f64, request: RequestId) {
        self.close(request, None);
    }

    fn ended(&mut self, _: f64, attempt: AttemptId, outcome: Outcome, _: Vec<f64>) {
        let Some(r) = self.open.get_mut(&attempt.request) else {
            return;
        };
        let Some(a) = r.attempts.get_mut(attempt.index as usize).filter(|a| a.1) else {
            return;
        };
        a.1 = false;
        let engine = a.0;
        r.may_have_run |= !matches!(
            outcome,
            Outcome::Rejected | Outcome::Unreachable | Outcome::NeverStarted
        );
        self.out[engine] -= 1;
        match outcome {
            Outcome::Served => self.close(attempt.request, Some(Answer::Served(attempt))),
            _ => self.send(attempt.request),
        }
    }

    fn note(&mut self, _: f64, _: AttemptId, _: ProgressNote) {}

    fn engines(&mut self, _: f64, update: ListUpdate, entries: Vec<EngineEntry>) {
        if update != ListUpdate::Patch {
            self.ready.clear();
        }
        for e in entries {
            let n = self.engines.len();
            let place = *self.place.entry(e.engine.clone()).or_insert(n);
            if place == n {
                self.engines.push(e.engine);
                self.out.push(0);
            }
            match e.state {
                EngineState::Ready => drop(self.ready.insert(place)),
                _ => drop(self.ready.remove(&place)),
            }
        }
    }

    fn administratively_drained(&mut self, _: f64, engine: &str, out: bool) {
        let Some(place) = self.place.get(engine) else {
            return;
        };
        match out {
            true => drop(self.administratively_drained.insert(*place)),
            false => drop(self.administratively_drained.remove(place)),
        }
    }

    fn tick(&mut self, now: f64) {
        while let Some((_, id)) = self
            .due
            .first()
            .copied()
            .filter(|d| f64::from_bits(d.0) <= now)
        {
            let retry_safe = self.open.get(&id).is_none_or(|r| !r.fragile);
            self.close(id, Some(Answer::TimedOut { retry_safe }));
        }
    }

    fn next_wake(&self) -> Option<f64> {
        self.due.first().map(|d| f64::from_bits(d.0))
    }

    fn commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    fn in_service(&self, engine: &str) -> bool {
        self.place
            .get(engine)
            .is_some_and(|p| self.ready.contains(p) && !self.administratively_drained.contains(p))
    }
}
