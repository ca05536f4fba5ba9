//! Dispatchers: calls of their decisions, the commands these give, messages to engines and answers to
//! clients.

use super::{
    Answer, Attempt, AttemptId, ClientRequest, Command, Dispatch, Event, Job, Outcome, Simulation,
};
use query_dispatcher::core::StartAttempt;

impl Simulation<'_> {
    pub(super) fn with_decisions(&mut self, g: usize, f: impl FnOnce(&mut dyn Dispatch, f64)) {
        let began = std::time::Instant::now();
        f(&mut *self.dispatchers[g].decisions, self.now);
        self.day.decided_s += began.elapsed().as_secs_f64();
        self.day.calls += 1;
        self.carry_out(g);
    }

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
                .tick_at
                .is_none_or(|t| at < t || t <= self.now)
        {
            let at = at.max(self.now + 0.01);
            self.dispatchers[g].tick_at = Some(at);
            self.schedule(
                at,
                Event::Tick {
                    gateway: g,
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
            }) => self.start(g, attempt, &engine, memory_mb),
            Command::Cancel { attempt } => {
                if let Some((engine, _)) = self.dispatchers[g].out.remove(&attempt) {
                    let at = self.now + self.delay(g, engine);
                    self.schedule(
                        at,
                        Event::Cancel {
                            engine,
                            attempt: Attempt {
                                gateway: g,
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

    pub(super) fn start(&mut self, g: usize, id: AttemptId, engine: &str, memory_mb: f64) {
        let Some(e) = self.engines.iter().position(|x| x.name == engine) else {
            return;
        };
        let attempt = Attempt { gateway: g, id };
        // As the program does: looked at again right before it is written.
        if !self.dispatchers[g].decisions.is_in_service(engine) {
            self.dispatchers[g].out.insert(id, (e, self.now));
            return self.schedule(
                self.now,
                Event::Back {
                    attempt,
                    outcome: Outcome::Unreachable,
                    report: vec![],
                },
            );
        }
        self.day.attempts += 1;
        self.add_to_hash(
            2,
            (g as u64) << 32 | e as u64,
            id.request << 8 | u64::from(id.index),
        );
        self.checker
            .attempt_sent(self.now, (g, id.request), id.index, e);
        self.dispatchers[g].out.insert(id, (e, self.now));
        let Some(t) = self.dispatchers[g].open_requests.get_mut(&id.request) else {
            return;
        };
        t.first_sent.get_or_insert(self.now);
        let job = Job {
            grant_mb: memory_mb,
            ..t.job.clone()
        };
        let (process, at) = (self.engines[e].process, self.now + self.delay(g, e));
        self.schedule(
            at,
            Event::Reach {
                engine: e,
                process,
                attempt,
                job: Box::new(job),
            },
        );
    }

    pub(super) fn delay(&mut self, g: usize, e: usize) -> f64 {
        let net = &self.scenario.net;
        let gateway = &mut self.dispatchers[g];
        let across = gateway.delay.between(net.across_ms[0], net.across_ms[1]);
        let span = if gateway.zone == self.engines[e].zone {
            net.within_ms
        } else {
            across
        };
        span + self.slow.get(&g).copied().unwrap_or(0.0)
    }

    /// Something that an engine sends to a gateway.
    pub(super) fn send_result(
        &mut self,
        attempt: Attempt,
        engine: usize,
        outcome: Outcome,
        report: Vec<f64>,
    ) {
        if self.cut.contains(&(attempt.gateway, engine)) {
            return;
        }
        let at = self.now + self.delay(attempt.gateway, engine);
        self.schedule(
            at,
            Event::Back {
                attempt,
                outcome,
                report,
            },
        );
    }

    pub(super) fn answer(&mut self, g: usize, request: u64, answer: Answer) {
        self.checker.request_answered(self.now, (g, request));
        let Some(t) = self.dispatchers[g].open_requests.get_mut(&request) else {
            return;
        };
        if std::mem::replace(&mut t.over, true) {
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
            && t.again < self.scenario.load.retries
        {
            let at = self.now + retry_after.unwrap_or(self.scenario.load.retry_ms).max(1.0);
            if at < t.gives_up - 200.0 {
                let again = ClientRequest {
                    again: t.again + 1,
                    over: false,
                    ..t
                };
                self.schedule(at, Event::Again(Box::new(again)));
                return self.close(g, request);
            }
        }
        let class = &mut self.day.classes[t.class];
        let took = self.now - t.born;
        let late_answer_weight = self.scenario.classes[t.class].late_answer_weight;
        let earned = match answer {
            Answer::Served(_) => {
                class.outcomes.served += 1;
                class.latency.saturating_record((took * 1000.0) as u64 + 1);
                if took <= t.latency_objective {
                    t.priority_weight
                } else {
                    t.priority_weight * late_answer_weight
                }
            }
            Answer::Rejected { .. } => {
                class.outcomes.refused += 1;
                0.0
            }
            Answer::Failed { .. } => {
                class.outcomes.failed += 1;
                0.0
            }
            Answer::TimedOut { .. } => {
                class.outcomes.late += 1;
                0.0
            }
        };
        class.priority_weight.earned += earned;
        self.day.tenants[t.tenant].1.earned += earned;
        self.window_of(t.born).priority_weight.earned += earned;
        // What look-ups that missed their aim waited for: their attempts' times are still being added.
        if t.class == 0 && earned < t.priority_weight {
            let late = self.day.late.entry(g as u32).or_default();
            late.requests += 1;
            late.held += t.first_sent.unwrap_or(self.now) - t.born;
            late.lost += t.lost;
            late.add(g as u32, &t.waits);
        }
        self.close(g, request);
    }

    /// Forgets a request that is answered and has nothing out.
    pub(super) fn close(&mut self, g: usize, request: u64) {
        let gateway = &mut self.dispatchers[g];
        let first = AttemptId { request, index: 0 };
        let last = AttemptId {
            request,
            index: u32::MAX,
        };
        let out = gateway.out.range(first..=last).next().is_some();
        if !out && gateway.open_requests.get(&request).is_some_and(|t| t.over) {
            gateway.open_requests.remove(&request);
            self.checker.request_closed((g, request));
        }
    }
}
