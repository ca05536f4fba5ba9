//! Dispatchers: calls to their decisions, the resulting commands, messages to engines and answers to clients.

use super::{
    Answer, Attempt, AttemptId, ClientRequest, Command, Dispatch, Event, Job, Outcome, Simulation,
};
use query_dispatcher::core::StartAttempt;

impl Simulation<'_> {
    /// Calls the decisions of a dispatcher, measures the time this takes, and carries out the resulting
    /// commands.
    pub(super) fn with_decisions(&mut self, g: usize, f: impl FnOnce(&mut dyn Dispatch, f64)) {
        let began = std::time::Instant::now();
        f(&mut *self.dispatchers[g].decisions, self.now);
        self.report.decision_time_s += began.elapsed().as_secs_f64();
        self.report.decision_calls += 1;
        self.carry_out(g);
    }

    /// Carries out all pending commands of a dispatcher and schedules its next wake-up.
    pub(super) fn carry_out(&mut self, g: usize) {
        loop {
            let commands = self.dispatchers[g].decisions.take_commands();
            if commands.is_empty() {
                break;
            }
            for c in commands {
                self.command(g, c);
            }
        }
        let wake = self.dispatchers[g].decisions.next_wakeup();
        if let Some(at) = wake
            && self.dispatchers[g]
                .next_tick
                .is_none_or(|t| at < t || t <= self.now)
        {
            let at = at.max(self.now + 0.01);
            self.dispatchers[g].next_tick = Some(at);
            self.schedule(
                at,
                Event::DispatcherWakeup {
                    dispatcher: g,
                    at: at.to_bits(),
                },
            );
        }
    }

    pub(super) fn command(&mut self, g: usize, command: Command) {
        match command {
            Command::Start(StartAttempt {
                attempt,
                engine,
                memory_mb,
                ..
            }) => self.start_attempt(g, attempt, &engine, memory_mb),
            Command::Cancel { attempt } => {
                if let Some((engine, _)) = self.dispatchers[g].in_flight.remove(&attempt) {
                    let at = self.now + self.message_delay(g, engine);
                    self.schedule(
                        at,
                        Event::Cancel {
                            engine,
                            attempt: Attempt {
                                dispatcher: g,
                                id: attempt,
                            },
                        },
                    );
                }
                self.close(g, attempt.request);
            }
            Command::Answer { request, answer } => self.answer(g, request, answer),
            Command::Log(_) | Command::Broadcast(_) => {}
        }
    }

    /// Sends an attempt to its engine.
    pub(super) fn start_attempt(&mut self, g: usize, id: AttemptId, engine: &str, memory_mb: f64) {
        let Some(e) = self.engines.iter().position(|x| x.name == engine) else {
            return;
        };
        let attempt = Attempt { dispatcher: g, id };
        // Like the dispatcher program, checks the engine again immediately before sending.
        if !self.dispatchers[g].decisions.is_in_service(engine) {
            self.dispatchers[g].in_flight.insert(id, (e, self.now));
            return self.schedule(
                self.now,
                Event::AttemptOutcome {
                    attempt,
                    outcome: Outcome::Unreachable,
                    report: vec![],
                },
            );
        }
        self.report.attempts += 1;
        self.add_to_hash(
            2,
            (g as u64) << 32 | e as u64,
            id.request << 8 | u64::from(id.index),
        );
        self.checker
            .attempt_sent(self.now, (g, id.request), id.index, e);
        self.dispatchers[g].in_flight.insert(id, (e, self.now));
        let Some(t) = self.dispatchers[g].open_requests.get_mut(&id.request) else {
            return;
        };
        t.first_sent.get_or_insert(self.now);
        let job = Job {
            grant_mb: memory_mb,
            ..t.job.clone()
        };
        let (incarnation, at) = (
            self.engines[e].incarnation,
            self.now + self.message_delay(g, e),
        );
        self.schedule(
            at,
            Event::AttemptArrival {
                engine: e,
                incarnation,
                attempt,
                job: Box::new(job),
            },
        );
    }

    /// Draws the delay of a message between a dispatcher and an engine, in milliseconds.
    pub(super) fn message_delay(&mut self, g: usize, e: usize) -> f64 {
        let net = &self.scenario.net;
        let dispatcher = &mut self.dispatchers[g];
        let cross_zone_ms = dispatcher
            .delays
            .between(net.across_ms[0], net.across_ms[1]);
        let delay = if dispatcher.zone == self.engines[e].zone {
            net.within_ms
        } else {
            cross_zone_ms
        };
        delay + self.extra_delay.get(&g).copied().unwrap_or(0.0)
    }

    /// Sends the outcome of an attempt from its engine to its dispatcher.
    pub(super) fn send_result(
        &mut self,
        attempt: Attempt,
        engine: usize,
        outcome: Outcome,
        report: Vec<f64>,
    ) {
        if self.partitioned.contains(&(attempt.dispatcher, engine)) {
            return;
        }
        let at = self.now + self.message_delay(attempt.dispatcher, engine);
        self.schedule(
            at,
            Event::AttemptOutcome {
                attempt,
                outcome,
                report,
            },
        );
    }

    /// Handles the answer to a request: the client retries it, or the report counts it.
    pub(super) fn answer(&mut self, g: usize, request: u64, answer: Answer) {
        self.checker.request_answered(self.now, (g, request));
        let Some(t) = self.dispatchers[g].open_requests.get_mut(&request) else {
            return;
        };
        if std::mem::replace(&mut t.finished, true) {
            return;
        }
        let t = t.clone();
        let kind = match answer {
            Answer::Served(_) => 0,
            Answer::Rejected { .. } => 1,
            Answer::Failed { .. } => 2,
            Answer::TimedOut { .. } => 3,
        };
        self.add_to_hash(3, g as u64, request << 3 | kind);
        if let Answer::Rejected { retry_after, .. } = answer
            && t.retries < self.scenario.load.retries
        {
            let at = self.now + retry_after.unwrap_or(self.scenario.load.retry_ms).max(1.0);
            if at < t.deadline - 200.0 {
                let retry = ClientRequest {
                    retries: t.retries + 1,
                    finished: false,
                    ..t
                };
                self.schedule(at, Event::Retry(Box::new(retry)));
                return self.close(g, request);
            }
        }
        let class = &mut self.report.classes[t.class];
        let latency = self.now - t.first_tried_at;
        let late_answer_weight = self.scenario.classes[t.class].late_answer_weight;
        let earned = match answer {
            Answer::Served(_) => {
                class.outcomes.served += 1;
                class
                    .latency
                    .saturating_record((latency * 1000.0) as u64 + 1);
                if latency <= t.latency_objective {
                    t.priority_weight
                } else {
                    t.priority_weight * late_answer_weight
                }
            }
            Answer::Rejected { .. } => {
                class.outcomes.rejected += 1;
                0.0
            }
            Answer::Failed { .. } => {
                class.outcomes.failed += 1;
                0.0
            }
            Answer::TimedOut { .. } => {
                class.outcomes.timed_out += 1;
                0.0
            }
        };
        class.priority_weight.earned += earned;
        self.report.tenants[t.tenant].1.earned += earned;
        self.window_of(t.first_tried_at).priority_weight.earned += earned;
        // Records what look-ups that missed their latency objective waited for, as far as their attempts
        // have ended.
        if t.class == 0 && earned < t.priority_weight {
            let late = self.report.late.entry(g as u32).or_default();
            late.requests += 1;
            late.held += t.first_sent.unwrap_or(self.now) - t.first_tried_at;
            late.lost += t.lost_ms;
            late.add(g as u32, &t.waits);
        }
        self.close(g, request);
    }

    /// Removes a request that is answered and has no attempt in flight.
    pub(super) fn close(&mut self, g: usize, request: u64) {
        let dispatcher = &mut self.dispatchers[g];
        let first = AttemptId { request, index: 0 };
        let last = AttemptId {
            request,
            index: u32::MAX,
        };
        let has_attempts = dispatcher.in_flight.range(first..=last).next().is_some();
        if !has_attempts
            && dispatcher
                .open_requests
                .get(&request)
                .is_some_and(|t| t.finished)
        {
            dispatcher.open_requests.remove(&request);
            self.checker.request_closed((g, request));
        }
    }
}
