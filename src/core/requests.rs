use crate::core::metrics::{Metrics, RequestOutcome};
use crate::decision::facade::{Decision, Facade, Report};
use crate::decision::model::*;
use crate::gossip::{Broadcaster, DecodeError, GossipBudget, PeerReport};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub type RequestId = QueryId;

/// One attempt of a request, by its place among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    pub request: RequestId,
    pub index: u32,
}

/// A request as a front took it.
#[derive(Clone, Debug)]
pub struct NewRequest {
    pub class: ClassId,
    pub tenant: Option<usize>,
    pub group: Option<u64>,
    /// When its client gives up.
    pub deadline: Millis,
    pub work: Option<f64>,
    pub memory_mb: Option<f64>,
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// What this attempt brought.
    Served(AttemptId),
    /// A retry is harmless; `later` says when, in milliseconds from now.
    Rejected {
        retry_after: Option<Millis>,
        reason: &'static str,
    },
    Failed {
        reason: &'static str,
    },
    /// The time is over; `retry_safe` tells that a retry does no harm.
    TimedOut {
        retry_safe: bool,
    },
}

/// What the adapters have to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// `write_by`: it is written whole by then or never, for later no engine would know it as a repeat (infinite where
    /// that is no matter). `alone`: it must not run twice, so that it should share no connection with what may
    /// break it.
    Start {
        attempt: AttemptId,
        engine: String,
        until: Millis,
        write_by: Millis,
        memory_mb: f64,
        alone: bool,
    },
    Cancel {
        attempt: AttemptId,
    },
    Answer {
        request: RequestId,
        answer: Answer,
    },
    Log(String),
    /// A message for every peer.
    Broadcast(Vec<u8>),
}

#[derive(Clone, Copy, Debug)]
pub struct CoreLimits {
    /// Requests open at a time.
    pub max_open_requests: usize,
    /// An answer is due this long before its client gives up: it has to be written and read whole.
    pub answer_margin: Millis,
    /// An attempt whose result has begun may stay without its next part for this long.
    pub page_timeout: Millis,
}

struct Attempt {
    engine: String,
    sent: Millis,
    until: Millis,
    out: bool,
    /// Cleared by an end that proves it never ran.
    may_have_run: bool,
    /// When the last part of its result came.
    answering: Option<Millis>,
}

struct Request {
    class: ClassId,
    due: Millis,
    answered: bool,
    /// Its time is over: whatever final answer the module words now tells the client that.
    expired: bool,
    attempts: Vec<Attempt>,
}

impl Request {
    /// A refusal promises that a repeat does no harm: from another client's word, it may go to any engine.
    fn retry_safe(&self, idempotency: Idempotency) -> bool {
        match idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                group: DeduplicationScope::All,
                ..
            } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => {
                self.attempts.iter().all(|a| !a.may_have_run)
            }
        }
    }

    /// Another attempt may be written until then: engines drop a repeat for their window from the first that may have
    /// run.
    fn repeats_until(&self, idempotency: Idempotency) -> Millis {
        let first = self.attempts.iter().find(|a| a.may_have_run);
        first.map_or(f64::INFINITY, |a| match idempotency {
            Idempotency::Idempotent => f64::INFINITY,
            Idempotency::Keyed { window, .. } => a.sent + window,
            Idempotency::NonIdempotent => f64::MIN,
        })
    }
}

/// Moments in order; `f64` times that are finite and positive sort like their bits.
type Due = BTreeSet<(u64, RequestId)>;

pub struct Core {
    facade: Facade,
    /// By class: what running it twice would do.
    idempotencies: Vec<Idempotency>,
    max_attempts: usize,
    limits: CoreLimits,
    requests: BTreeMap<RequestId, Request>,
    due: Due,
    next_id: RequestId,
    pending: VecDeque<Report>,
    commands: Vec<Command>,
    /// Requests that may be over.
    touched: Vec<RequestId>,
    /// The list as it was told last; engines that are gone are in none.
    listed: BTreeMap<String, EngineEntry>,
    /// Out by hand, whatever the list says.
    administratively_drained: BTreeSet<String>,
    /// When operators put an engine back: they have restarted it by then.
    undrain: BTreeMap<String, Millis>,
    has_list: bool,
    /// Shutting down: every answer is due by then.
    stop_by: Option<Millis>,
    metrics: Metrics,
    processes: usize,
    /// What the dispatchers of the tier tell each other, where they may.
    bulletin: Option<Broadcaster>,
}

fn bits(at: Millis) -> u64 {
    at.max(0.0).to_bits()
}

impl Core {
    pub fn new(settings: Settings, seed: u64, limits: CoreLimits) -> Result<Self, SettingsError> {
        let metrics = Metrics {
            replies: vec![[0; 3]; settings.classes.len()],
            ..Metrics::default()
        };
        Ok(Core {
            idempotencies: settings.classes.iter().map(|c| c.idempotency).collect(),
            max_attempts: settings.limits.max_attempts as usize,
            facade: Facade::new(settings, seed)?,
            limits,
            requests: BTreeMap::new(),
            due: BTreeSet::new(),
            next_id: 1,
            pending: VecDeque::new(),
            commands: vec![],
            touched: vec![],
            listed: BTreeMap::new(),
            administratively_drained: BTreeSet::new(),
            undrain: BTreeMap::new(),
            has_list: false,
            stop_by: None,
            metrics,
            processes: 1,
            bulletin: None,
        })
    }

    /// From now on it takes part in what the dispatchers of its tier tell each other.
    pub fn join_gossip(&mut self, terms: GossipBudget) {
        let mut bulletin = Broadcaster::new(terms);
        bulletin.set_engines(self.listed.keys().map(String::as_str));
        self.bulletin = Some(bulletin);
    }

    /// A peer's message. What is none changes nothing and is counted.
    pub fn receive_gossip(&mut self, now: Millis, message: &[u8]) -> Result<(), DecodeError> {
        let Some(bulletin) = &mut self.bulletin else {
            return Ok(());
        };
        match bulletin.receive(now, message) {
            Ok(Some(PeerReport { engine, report })) => {
                self.report(now, Report::PeerLoadReport { engine, report })
            }
            Ok(None) => {}
            Err(e) => {
                self.metrics.peer_messages_refused += 1;
                return Err(e);
            }
        }
        Ok(())
    }

    /// Somebody who is no peer spoke at the peers' address.
    pub fn record_foreign_message(&mut self) {
        self.metrics.peer_messages_refused += 1;
    }

    /// What is to be done since the last call.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Takes a request. Its answer comes as a command, maybe at once.
    pub fn open(&mut self, now: Millis, r: NewRequest) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        let due =
            (r.deadline - self.limits.answer_margin).min(self.stop_by.unwrap_or(f64::INFINITY));
        let out_of_range = r.class >= self.idempotencies.len() || !due.is_finite();
        let refusal = match () {
            // Held beyond this, requests would outgrow the memory that the machine gives.
            () if self.requests.len() >= self.limits.max_open_requests / self.processes => {
                Some("too many requests are open")
            }
            () if due <= now => Some("too little time is left"),
            () => None,
        };
        if out_of_range || refusal.is_some() {
            let answer = match refusal {
                Some(reason) if !out_of_range => Answer::Rejected {
                    retry_after: None,
                    reason,
                },
                _ => Answer::Failed {
                    reason: "the request names no class or deadline",
                },
            };
            self.answer(id, r.class, answer);
            return id;
        }
        self.requests.insert(
            id,
            Request {
                class: r.class,
                due,
                answered: false,
                expired: false,
                attempts: vec![],
            },
        );
        self.due.insert((bits(due), id));
        self.bulletin
            .iter_mut()
            .for_each(Broadcaster::credit_request);
        let query = Query {
            id,
            class: r.class,
            tenant: r.tenant,
            key: None,
            tables: r.group.map(|g| (g as f64).to_bits()),
            time_left: due - now,
            work: r.work,
            memory_mb: r.memory_mb,
        };
        let decisions = self.facade.pick(now, query);
        self.carry_out(now, decisions);
        id
    }

    /// Its client waits no more: no answer is owed, and what is out is dropped.
    pub fn abandon(&mut self, now: Millis, request: RequestId) {
        let Some(r) = self.requests.get_mut(&request) else {
            return;
        };
        r.answered = true;
        self.touched.push(request);
        self.drop_all(now, request);
        self.report(now, Report::ClientDisconnected(request));
    }

    /// A part of the attempt's result is here; more parts follow.
    pub fn page_received(&mut self, now: Millis, attempt: AttemptId) {
        if let Some(a) = self.attempt(attempt) {
            a.answering = Some(now);
        }
    }

    /// An attempt ended. False if it was over already, so that its result counts for nothing.
    pub fn attempt_ended(
        &mut self,
        now: Millis,
        attempt: AttemptId,
        outcome: Outcome,
        report: Vec<f64>,
    ) -> bool {
        let Some(r) = self.requests.get_mut(&attempt.request) else {
            return false;
        };
        let Some(a) = r.attempts.get_mut(attempt.index as usize).filter(|a| a.out) else {
            return false;
        };
        a.out = false;
        self.touched.push(attempt.request);
        // What a process said before its restart is no news of this one.
        let void = self
            .listed
            .get(&a.engine)
            .and_then(|e| e.started)
            .is_some_and(|t| a.sent < t);
        if let Some(bulletin) = self.bulletin.as_mut().filter(|_| !void) {
            self.commands.extend(
                bulletin
                    .offer_report(now, &a.engine, &report)
                    .map(Command::Broadcast),
            );
        }
        a.may_have_run = !matches!(
            outcome,
            Outcome::Rejected | Outcome::Unreachable | Outcome::NeverStarted
        );
        let latency = now - a.sent;
        if outcome == Outcome::Served && !r.answered {
            r.answered = true;
            let class = r.class;
            self.answer(attempt.request, class, Answer::Served(attempt));
        }
        let last = self
            .requests
            .get(&attempt.request)
            .is_none_or(|r| r.answered);
        let ended = Ended {
            id: attempt.request,
            attempt: attempt.index,
            outcome,
            last,
            latency,
            work: None,
            memory_mb: None,
            report,
        };
        self.report(now, Report::Ended(ended));
        true
    }

    pub fn progress(&mut self, now: Millis, attempt: AttemptId, note: ProgressNote) {
        if self.attempt(attempt).is_some() {
            self.report(
                now,
                Report::Progress {
                    query: attempt.request,
                    attempt: attempt.index,
                    note,
                },
            );
        }
    }

    pub fn update_endpoints(&mut self, now: Millis, update: ListUpdate, told: Vec<EngineEntry>) {
        if update != ListUpdate::Patch {
            self.listed.clear();
        }
        let entries: Vec<EngineEntry> = told.iter().map(|e| self.overlaid(e.clone())).collect();
        self.listed
            .extend(told.into_iter().map(|e| (e.engine.clone(), e)));
        // New ids come all day: those that are gone are not kept.
        self.listed.retain(|_, e| e.state != EngineState::Gone);
        self.undrain.retain(|id, _| self.listed.contains_key(id));
        self.has_list = true;
        if let Some(bulletin) = &mut self.bulletin {
            bulletin.set_engines(self.listed.keys().map(String::as_str));
        }
        self.report(now, Report::Engines { update, entries });
    }

    /// New work may still be written to this engine.
    pub fn is_in_service(&self, engine: &str) -> bool {
        !self.administratively_drained.contains(engine)
            && self
                .listed
                .get(engine)
                .is_some_and(|e| e.state == EngineState::Ready)
    }

    /// What operators say in place of the list.
    fn overlaid(&self, mut e: EngineEntry) -> EngineEntry {
        if self.administratively_drained.contains(&e.engine) && e.state == EngineState::Ready {
            e.state = EngineState::Draining;
        }
        // The list may tell of its restart late, or never: what was learned of the old process is void.
        let back = self.undrain.get(&e.engine).copied();
        e.started = e.started.into_iter().chain(back).reduce(f64::max);
        e
    }

    /// Somebody has this id: it is in the list, or was when operators took it out.
    pub fn is_known(&self, engine: &str) -> bool {
        self.listed.contains_key(engine) || self.administratively_drained.contains(engine)
    }

    pub fn drained_engines(&self) -> &BTreeSet<String> {
        &self.administratively_drained
    }

    /// From now on it drains, whatever the list says, until [`Core::undrain_engine`].
    pub fn drain_engine(&mut self, now: Millis, engine: &str) -> Option<EngineEntry> {
        self.undrain.remove(engine);
        let new = self.administratively_drained.insert(engine.to_string());
        self.retold(now, engine).filter(|_| new)
    }

    /// It is what the list says again, with a process that has just started.
    pub fn undrain_engine(&mut self, now: Millis, engine: &str) -> Option<EngineEntry> {
        if !self.administratively_drained.remove(engine) {
            return None;
        }
        if self.listed.contains_key(engine) {
            self.undrain.insert(engine.to_string(), now);
        }
        self.retold(now, engine)
    }

    /// Tells the module how a listed engine stands now.
    fn retold(&mut self, now: Millis, engine: &str) -> Option<EngineEntry> {
        let entry = self.overlaid(self.listed.get(engine)?.clone());
        self.report(
            now,
            Report::Engines {
                update: ListUpdate::Patch,
                entries: vec![entry.clone()],
            },
        );
        Some(entry)
    }

    /// Ready for clients: a list of engines is in hand and no end is near.
    pub fn is_ready(&self) -> bool {
        self.has_list && self.stop_by.is_none()
    }

    /// No new life after `by`: every answer still owed is given until then.
    pub fn begin_shutdown(&mut self, now: Millis, by: Millis) {
        self.stop_by = Some(by);
        for (&id, r) in &mut self.requests {
            if !r.answered && r.due > by {
                self.due.remove(&(bits(r.due), id));
                r.due = by;
                self.due.insert((bits(by), id));
            }
        }
        self.tick(now);
    }

    /// Requests that are still owed an answer.
    pub fn unanswered_requests(&self) -> usize {
        self.requests.values().filter(|r| !r.answered).count()
    }

    pub fn next_wakeup(&self) -> Option<Millis> {
        let due = self.due.first().map(|d| f64::from_bits(d.0));
        [due, self.facade.next_tick()]
            .into_iter()
            .flatten()
            .reduce(f64::min)
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Millis) {
        let decisions = self.facade.tick(now);
        self.carry_out(now, decisions);
        while let Some(&(at, id)) = self.due.first().filter(|d| d.0 <= bits(now)) {
            self.due.remove(&(at, id));
            self.expire(now, id);
        }
    }

    /// The last moment of a request: what is out has timed out, and the answer is given in any case.
    fn expire(&mut self, now: Millis, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.answered) else {
            return;
        };
        let over = r.due <= now;
        r.expired |= over;
        let late = |k: &u32| {
            let a = &r.attempts[*k as usize];
            a.out && (over || a.until <= now)
        };
        let out: Vec<u32> = (0..r.attempts.len() as u32).filter(late).collect();
        for index in out {
            let attempt = AttemptId { request: id, index };
            self.commands.push(Command::Cancel { attempt });
            self.attempt_ended(now, attempt, Outcome::TimedOut, vec![]);
        }
        if over && self.requests.get(&id).is_some_and(|r| !r.answered) {
            self.finish(
                id,
                Answer::Failed {
                    reason: "the time is over",
                },
            );
            self.drop_all(now, id);
            self.report(now, Report::ClientDisconnected(id));
        }
    }

    fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let r = self.requests.get_mut(&id.request)?;
        r.attempts.get_mut(id.index as usize).filter(|a| a.out)
    }

    fn report(&mut self, now: Millis, report: Report) {
        let decisions = self.facade.report(now, report);
        self.carry_out(now, decisions);
    }

    /// Carries the module's decisions out. Ends that follow at once (an attempt called off) are told only
    /// after all of them, as they would come from outside.
    fn carry_out(&mut self, now: Millis, decisions: Vec<Decision>) {
        for d in decisions {
            match d {
                Decision::Run {
                    query,
                    engine,
                    memory_mb,
                    timeout,
                } => self.run(now, query, engine, memory_mb, timeout),
                Decision::Cancel { query, attempt } => self.call_off(
                    now,
                    AttemptId {
                        request: query,
                        index: attempt,
                    },
                ),
                Decision::Refuse { query, retry_after } => {
                    self.finish(
                        query,
                        Answer::Rejected {
                            retry_after,
                            reason: "the engines have no room for it in time",
                        },
                    );
                }
                Decision::Fail { query } => self.finish(
                    query,
                    Answer::Failed {
                        reason: "no engine answered it",
                    },
                ),
                Decision::Log(text) => self.commands.push(Command::Log(text)),
            }
        }
        while let Some(report) = self.pending.pop_front() {
            let decisions = self.facade.report(now, report);
            self.carry_out(now, decisions);
        }
        self.sweep();
    }

    fn run(
        &mut self,
        now: Millis,
        id: RequestId,
        engine: String,
        memory_mb: f64,
        timeout: Option<Millis>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let index = r.attempts.len() as u32;
        let write_by = r.repeats_until(self.idempotencies[r.class]);
        let allowed =
            !r.answered && r.attempts.len() < self.max_attempts && now < r.due && now < write_by;
        let until = timeout.map_or(r.due, |t| r.due.min(now + t));
        r.attempts.push(Attempt {
            engine: engine.clone(),
            sent: now,
            until,
            out: allowed,
            may_have_run: allowed,
            answering: None,
        });
        if allowed {
            if until < r.due {
                self.due.insert((bits(until), id));
            }
            let attempt = AttemptId { request: id, index };
            let alone = self.idempotencies[r.class] == Idempotency::NonIdempotent;
            self.commands.push(Command::Start {
                attempt,
                engine,
                until,
                write_by,
                memory_mb,
                alone,
            });
        } else {
            self.pending.push_back(Report::Ended(Ended {
                id,
                attempt: index,
                outcome: Outcome::NeverStarted,
                last: r.answered,
                latency: 0.0,
                work: None,
                memory_mb: None,
                report: vec![],
            }));
        }
    }

    /// Calls an attempt off, unless its result is coming in: then that goes on, for a while.
    fn call_off(&mut self, now: Millis, id: AttemptId) {
        let Some(r) = self.requests.get_mut(&id.request) else {
            return;
        };
        let answered = r.answered;
        let Some(a) = r.attempts.get_mut(id.index as usize).filter(|a| a.out) else {
            return;
        };
        if !answered
            && a.answering
                .is_some_and(|at| now < at + self.limits.page_timeout)
        {
            return;
        }
        a.out = false;
        let latency = now - a.sent;
        self.touched.push(id.request);
        self.commands.push(Command::Cancel { attempt: id });
        self.pending.push_back(Report::Ended(Ended {
            id: id.request,
            attempt: id.index,
            outcome: Outcome::Cancelled,
            last: answered,
            latency,
            work: None,
            memory_mb: None,
            report: vec![],
        }));
    }

    fn drop_all(&mut self, now: Millis, id: RequestId) {
        let n = self
            .requests
            .get(&id)
            .map_or(0, |r| r.attempts.len() as u32);
        (0..n).for_each(|index| self.call_off(now, AttemptId { request: id, index }));
    }

    /// Gives the final answer, once.
    fn finish(&mut self, id: RequestId, answer: Answer) {
        if let Some(r) = self.requests.get_mut(&id).filter(|r| !r.answered) {
            r.answered = true;
            self.touched.push(id);
            // Guards the rule whatever the module says: only what cannot have run twice is called harmless.
            let retry_safe = r.retry_safe(self.idempotencies[r.class]);
            let answer = match answer {
                Answer::Rejected { .. } | Answer::Failed { .. } if r.expired => {
                    Answer::TimedOut { retry_safe }
                }
                Answer::Rejected { .. } if !retry_safe => Answer::Failed {
                    reason: "it may have run",
                },
                other => other,
            };
            let class = r.class;
            self.answer(id, class, answer);
        }
    }

    /// The one place where answers are given, and so counted.
    fn answer(&mut self, request: RequestId, class: ClassId, answer: Answer) {
        let end = match answer {
            Answer::Served(_) => RequestOutcome::Success,
            Answer::Rejected { .. } | Answer::TimedOut { retry_safe: true } => {
                RequestOutcome::Overload
            }
            Answer::Failed { .. } | Answer::TimedOut { retry_safe: false } => RequestOutcome::Error,
        };
        self.metrics.count(class, end);
        self.commands.push(Command::Answer { request, answer });
    }

    /// A front answered this one itself, at the door.
    pub fn record_rejection(&mut self, class: ClassId, end: RequestOutcome) {
        self.metrics.count(class, end);
    }

    /// So many processes of this dispatcher live: each takes its part of what is bounded for all.
    pub fn set_process_count(&mut self, processes: u32) {
        self.processes = processes.max(1) as usize;
        self.facade.set_process_count(processes);
    }

    /// The last byte of an attempt is written.
    pub fn record_dispatch(&mut self) {
        self.metrics.dispatches += 1;
    }

    pub fn metrics(&self) -> Metrics {
        let avoided = |name: &&String| !self.is_in_service(name) || self.facade.is_ejected(name);
        Metrics {
            concurrent: self.unanswered_requests(),
            targets: self.listed.len(),
            targets_disabled: self.listed.keys().filter(avoided).count(),
            ..self.metrics.clone()
        }
    }

    /// Forgets requests that are answered and have nothing out.
    fn sweep(&mut self) {
        while let Some(id) = self.touched.pop() {
            let over = |r: &Request| r.answered && r.attempts.iter().all(|a| !a.out);
            if self.requests.get(&id).is_some_and(over)
                && let Some(r) = self.requests.remove(&id)
            {
                self.due.remove(&(bits(r.due), id));
                for a in &r.attempts {
                    self.due.remove(&(bits(a.until), id));
                }
            }
        }
    }
}
