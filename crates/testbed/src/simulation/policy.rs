//! Dispatch policies of a simulated dispatcher: the real core, or one of the baselines that it is compared
//! with.

use crate::random::Stream;
use query_dispatcher::core::{
    Answer, AttemptId, Command, Core, FailureReason, NewRequest, RejectionReason, RequestId,
    StartAttempt,
};
use query_dispatcher::{EngineEntry, EngineState, ListUpdate, Outcome, ProgressNote};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Decisions of a dispatcher: reports go in as calls, and commands come out.
pub trait Dispatch: Send {
    fn open(&mut self, now: f64, r: NewRequest) -> RequestId;
    fn abandon(&mut self, now: f64, request: RequestId);
    fn attempt_ended(&mut self, now: f64, attempt: AttemptId, outcome: Outcome, report: Vec<f64>);
    fn progress(&mut self, now: f64, attempt: AttemptId, note: ProgressNote);
    fn update_endpoints(&mut self, now: f64, update: ListUpdate, entries: Vec<EngineEntry>);
    fn set_administrative_drain(&mut self, now: f64, engine: &str, drained: bool);
    fn tick(&mut self, now: f64);
    fn next_wakeup(&self) -> Option<f64>;
    fn take_commands(&mut self) -> Vec<Command>;
    /// Returns whether new work may still be sent to this engine; checked immediately before sending.
    fn is_in_service(&self, engine: &str) -> bool;
}

impl Dispatch for Core {
    fn open(&mut self, now: f64, r: NewRequest) -> RequestId {
        Core::open(self, now, r)
    }
    fn abandon(&mut self, now: f64, request: RequestId) {
        Core::abandon(self, now, request);
    }
    fn attempt_ended(&mut self, now: f64, attempt: AttemptId, outcome: Outcome, report: Vec<f64>) {
        Core::attempt_ended(self, now, attempt, outcome, report);
    }
    fn progress(&mut self, now: f64, attempt: AttemptId, note: ProgressNote) {
        Core::progress(self, now, attempt, note);
    }
    fn update_endpoints(&mut self, now: f64, update: ListUpdate, entries: Vec<EngineEntry>) {
        Core::update_endpoints(self, now, update, entries);
    }
    fn set_administrative_drain(&mut self, now: f64, engine: &str, drained: bool) {
        let _ = if drained {
            self.drain_engine(now, engine)
        } else {
            self.undrain_engine(now, engine)
        };
    }
    fn tick(&mut self, now: f64) {
        Core::tick(self, now);
    }
    fn next_wakeup(&self) -> Option<f64> {
        Core::next_wakeup(self)
    }
    fn take_commands(&mut self) -> Vec<Command> {
        Core::take_commands(self)
    }
    fn is_in_service(&self, engine: &str) -> bool {
        Core::is_in_service(self, engine)
    }
}

/// How a dispatcher chooses an engine.
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
    /// The decisions of the real core.
    Module,
    Random,
    RoundRobin,
    /// The engine with the fewest attempts of this dispatcher in flight.
    LeastOutstanding,
    /// Of two engines drawn at random, the one with fewer attempts of this dispatcher in flight.
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

struct OpenRequest {
    non_idempotent: bool,
    deadline: f64,
    /// Engine of each attempt, and whether the attempt is in flight.
    attempts: Vec<(usize, bool)>,
    may_have_run: bool,
}

/// A baseline dispatcher: sends each request at once to a listed engine, and sends it again after a failure
/// where a retry is safe.
pub struct BaselineDispatcher {
    policy: Policy,
    /// By class, whether its requests are non-idempotent.
    non_idempotent: Vec<bool>,
    random: Stream,
    engines: Vec<String>,
    /// Positions in `engines`, by name.
    positions: BTreeMap<String, usize>,
    ready: BTreeSet<usize>,
    administratively_drained: BTreeSet<usize>,
    /// Number of attempts in flight, by engine.
    in_flight: Vec<usize>,
    rotation: usize,
    open: BTreeMap<RequestId, OpenRequest>,
    /// Deadlines of open requests, as the bits of a time that is not negative.
    deadlines: BTreeSet<(u64, RequestId)>,
    next: RequestId,
    commands: Vec<Command>,
}

/// Time before the client gives up at which a request is answered as timed out, in milliseconds.
const ANSWER_MARGIN_MS: f64 = 40.0;
const MAX_ATTEMPTS: usize = 3;

impl BaselineDispatcher {
    /// Creates a dispatcher; `non_idempotent` states by class which requests must not run twice.
    pub fn new(policy: Policy, non_idempotent: Vec<bool>, random: Stream) -> Self {
        BaselineDispatcher {
            policy,
            non_idempotent,
            random,
            engines: vec![],
            positions: BTreeMap::new(),
            ready: BTreeSet::new(),
            administratively_drained: BTreeSet::new(),
            in_flight: vec![],
            rotation: 0,
            open: BTreeMap::new(),
            deadlines: BTreeSet::new(),
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
        let untried: Vec<usize> = usable
            .iter()
            .copied()
            .filter(|e| !tried.contains(e))
            .collect();
        let from = if untried.is_empty() { usable } else { untried };
        if from.is_empty() {
            return None;
        }
        Some(match self.policy {
            Policy::Module | Policy::Random => from[self.random.below(from.len())],
            Policy::RoundRobin => {
                self.rotation += 1;
                from[self.rotation % from.len()]
            }
            Policy::LeastOutstanding => {
                let least = from.iter().map(|e| self.in_flight[*e]).min().unwrap_or(0);
                let equal: Vec<usize> = from
                    .into_iter()
                    .filter(|e| self.in_flight[*e] == least)
                    .collect();
                equal[self.random.below(equal.len())]
            }
            Policy::TwoChoices => {
                let (a, b) = (
                    from[self.random.below(from.len())],
                    from[self.random.below(from.len())],
                );
                if self.in_flight[b] < self.in_flight[a] {
                    b
                } else {
                    a
                }
            }
        })
    }

    fn send_attempt(&mut self, id: RequestId) {
        let Some(r) = self.open.get(&id) else { return };
        let tried: Vec<usize> = r.attempts.iter().map(|a| a.0).collect();
        let (deadline, retry_safe) = (r.deadline, !(r.non_idempotent && r.may_have_run));
        let chosen = if tried.len() < MAX_ATTEMPTS && retry_safe {
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
        self.in_flight[engine] += 1;
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
            deadline,
            write_by,
            memory_mb: 0.0,
            exclusive_connection: false,
        };
        self.commands.push(Command::Start(start));
    }

    /// Ends a request and cancels its attempts in flight; without an answer, nothing is sent to the client.
    fn close(&mut self, id: RequestId, answer: Option<Answer>) {
        if let Some(r) = self.open.remove(&id) {
            self.deadlines.remove(&(r.deadline.to_bits(), id));
            for (index, (engine, in_flight)) in r.attempts.into_iter().enumerate() {
                if in_flight {
                    self.in_flight[engine] -= 1;
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

impl Dispatch for BaselineDispatcher {
    fn open(&mut self, now: f64, r: NewRequest) -> RequestId {
        let id = self.next;
        self.next += 1;
        let deadline = (r.deadline - ANSWER_MARGIN_MS).max(now);
        let non_idempotent = self.non_idempotent.get(r.class).copied().unwrap_or(true);
        self.open.insert(
            id,
            OpenRequest {
                non_idempotent,
                deadline,
                attempts: vec![],
                may_have_run: false,
            },
        );
        self.deadlines.insert((deadline.to_bits(), id));
        self.send_attempt(id);
        id
    }

    fn abandon(&mut self, _: f64, request: RequestId) {
        self.close(request, None);
    }

    fn attempt_ended(&mut self, _: f64, attempt: AttemptId, outcome: Outcome, _: Vec<f64>) {
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
        self.in_flight[engine] -= 1;
        match outcome {
            Outcome::Served => self.close(attempt.request, Some(Answer::Served(attempt))),
            _ => self.send_attempt(attempt.request),
        }
    }

    fn progress(&mut self, _: f64, _: AttemptId, _: ProgressNote) {}

    fn update_endpoints(&mut self, _: f64, update: ListUpdate, entries: Vec<EngineEntry>) {
        if update != ListUpdate::Patch {
            self.ready.clear();
        }
        for e in entries {
            let n = self.engines.len();
            let position = *self.positions.entry(e.engine.clone()).or_insert(n);
            if position == n {
                self.engines.push(e.engine);
                self.in_flight.push(0);
            }
            match e.state {
                EngineState::Ready => drop(self.ready.insert(position)),
                _ => drop(self.ready.remove(&position)),
            }
        }
    }

    fn set_administrative_drain(&mut self, _: f64, engine: &str, drained: bool) {
        let Some(position) = self.positions.get(engine) else {
            return;
        };
        match drained {
            true => drop(self.administratively_drained.insert(*position)),
            false => drop(self.administratively_drained.remove(position)),
        }
    }

    fn tick(&mut self, now: f64) {
        while let Some((_, id)) = self
            .deadlines
            .first()
            .copied()
            .filter(|d| f64::from_bits(d.0) <= now)
        {
            let retry_safe = self.open.get(&id).is_none_or(|r| !r.non_idempotent);
            self.close(id, Some(Answer::TimedOut { retry_safe }));
        }
    }

    fn next_wakeup(&self) -> Option<f64> {
        self.deadlines.first().map(|d| f64::from_bits(d.0))
    }

    fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    fn is_in_service(&self, engine: &str) -> bool {
        self.positions
            .get(engine)
            .is_some_and(|p| self.ready.contains(p) && !self.administratively_drained.contains(p))
    }
}
