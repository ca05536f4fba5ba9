//! A seeded stream against the request core: simulated clients, operators, peers and engines that answer
//! its commands.

use crate::controller_stream::simulated_engine;
use crate::profiles::{Traffic, core_limits};
use crate::random::{Random, StepQueue};
use crate::record::{Record, bits, optional_bits};
use crate::vocabulary::*;
use query_dispatcher::core::AttemptId;
use std::collections::BTreeSet;

/// Virtual duration of a stream, in milliseconds.
const STREAM_MS: f64 = 5000.0;
/// Virtual time at which a stream begins, in milliseconds.
const BEGIN: f64 = 1_000_000.0;

/// Properties of a stream beyond the profile of the decision module.
#[derive(Clone, Copy)]
pub(crate) struct CoreTraffic {
    /// Maximum number of open requests.
    pub(crate) max_open_requests: usize,
    /// Number of dispatchers that exchange load reports; 0 disables gossip.
    pub(crate) peers: u32,
    /// Operators drain engines and return them to service.
    pub(crate) drains_engines: bool,
    /// The process shuts down before the stream ends.
    pub(crate) shuts_down: bool,
}

enum Step {
    Open,
    Disconnect {
        request: u64,
    },
    End {
        attempt: AttemptId,
        engine: usize,
        outcome: Ending,
    },
    FirstPage {
        attempt: AttemptId,
        engine: usize,
    },
    ProgressNote {
        attempt: AttemptId,
    },
    Dispatched,
    ListChange,
    FullList,
    DrainOrUndrain,
    PeerMessage,
    ProcessCount,
    Shutdown,
    Metrics,
}

pub(crate) struct CoreStream<'a> {
    settings: AllSettings,
    traffic: Traffic,
    core_traffic: CoreTraffic,
    random: Random,
    now: f64,
    queue: StepQueue<Step>,
    engines: Vec<SimulatedEngine>,
    running: BTreeSet<AttemptId>,
    core: Core,
    /// Gossip messages of the core, which return to it as if a peer had sent them.
    peer_messages: Vec<Vec<u8>>,
    class_names: Vec<String>,
    record: &'a mut Record,
}

impl<'a> CoreStream<'a> {
    pub(crate) fn new(
        settings: AllSettings,
        traffic: Traffic,
        core_traffic: CoreTraffic,
        seed: u64,
        record: &'a mut Record,
    ) -> Self {
        let mut core = Core::new(
            settings.clone(),
            seed,
            core_limits(core_traffic.max_open_requests),
        )
        .expect("the settings are valid");
        if core_traffic.peers > 0 {
            let fields = settings.report_fields.len();
            core.join_gossip(GossipBudget {
                dispatchers: core_traffic.peers,
                message_price: 0.2,
                report_fields: fields,
            });
        }
        CoreStream {
            class_names: (0..settings.classes.len())
                .map(|class| format!("class-{class}"))
                .collect(),
            engines: (0..traffic.engines + 1)
                .map(|number| simulated_engine(number, traffic))
                .collect(),
            settings,
            traffic,
            core_traffic,
            random: Random::new(seed ^ 0xc0de),
            now: BEGIN,
            queue: StepQueue::new(),
            running: BTreeSet::new(),
            core,
            peer_messages: vec![],
            record,
        }
    }

    pub(crate) fn play(&mut self) {
        self.schedule_start();
        while let Some(at) = self.next_time().filter(|at| *at <= BEGIN + STREAM_MS) {
            self.now = at;
            if self.core.next_wakeup().is_some_and(|wake| wake <= at) {
                self.record.line("tick", &bits(at));
                self.core.tick(at);
            } else if let Some((_, step)) = self.queue.pop() {
                self.step(step);
            }
            self.settle();
        }
    }

    fn next_time(&self) -> Option<f64> {
        let times = [self.core.next_wakeup(), self.queue.next_time()];
        times
            .into_iter()
            .flatten()
            .reduce(f64::min)
            .map(|at| at.max(self.now))
    }

    fn schedule_start(&mut self) {
        self.queue.schedule(BEGIN, Step::FullList);
        let first = [
            Step::Open,
            Step::ListChange,
            Step::ProcessCount,
            Step::Metrics,
            Step::PeerMessage,
        ];
        first
            .into_iter()
            .for_each(|step| self.queue.schedule(BEGIN + 1.0, step));
        if self.core_traffic.drains_engines {
            self.queue.schedule(BEGIN + 200.0, Step::DrainOrUndrain);
        }
        if self.core_traffic.shuts_down {
            let at = BEGIN + self.random.between(2500.0, 4000.0);
            self.queue.schedule(at, Step::Shutdown);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Open => self.open(),
            Step::Disconnect { request } => {
                self.record
                    .line("leave", &format!("{request} {}", bits(self.now)));
                self.core.abandon(self.now, request);
            }
            Step::End {
                attempt,
                engine,
                outcome,
            } => self.end(attempt, engine, outcome),
            Step::FirstPage { attempt, engine } => self.first_page(attempt, engine),
            Step::ProgressNote { attempt } => self.send_note(attempt),
            Step::Dispatched => self.core.record_dispatch(),
            Step::ListChange => self.list_change(),
            Step::FullList => self.full_list(),
            Step::DrainOrUndrain => self.drain_or_undrain(),
            Step::PeerMessage => self.peer_message(),
            Step::ProcessCount => {
                let processes = self.random.pick(&[1, 1, 2]);
                self.record.line("share", &processes.to_string());
                self.core.set_process_count(processes);
                self.repeat(900.0, Step::ProcessCount);
            }
            Step::Shutdown => {
                self.record.line("stop", &bits(self.now));
                self.core.begin_shutdown(self.now, self.now + 400.0);
            }
            Step::Metrics => self.metrics(),
        }
    }

    fn repeat(&mut self, mean_ms: f64, step: Step) {
        let at = self.now + self.random.between(0.0, 2.0 * mean_ms);
        self.queue.schedule(at, step);
    }

    /// Records and carries out the core's commands, and records the core's state.
    fn settle(&mut self) {
        for command in self.core.take_commands() {
            let (kind, details) = command_text(&command);
            self.record.line(kind, &details);
            match attempt_of(&command) {
                Some((attempt, Some(engine))) => self.start_attempt(attempt, &engine),
                Some((attempt, None)) => drop(self.running.remove(&attempt)),
                None => {}
            }
            self.peer_messages.extend(broadcast_message(&command));
        }
        let (ready, unanswered) = (self.core.is_ready(), self.core.unanswered_requests());
        let wakeup = optional_bits(self.core.next_wakeup());
        self.record
            .line("state", &format!("{ready} {unanswered} {wakeup}"));
    }

    fn open(&mut self) {
        let group_count = self.traffic.table_groups.max(1);
        let time_left = self.random.pick(&[10.0, 200.0, 900.0, 2000.0]);
        let no_deadline = self.random.chance(0.01);
        let class = if self.random.chance(0.01) {
            99
        } else {
            self.random.below(self.settings.classes.len())
        };
        let estimated = self.random.chance(0.7);
        let new_request = NewRequest {
            class,
            tenant: Some(self.random.below(3)),
            group: (self.traffic.table_groups > 0).then(|| self.random.below(group_count) as u64),
            deadline: if no_deadline {
                f64::INFINITY
            } else {
                self.now + time_left
            },
            work: estimated.then(|| self.random.between(10.0, 400.0)),
            memory_mb: estimated.then(|| self.random.between(50.0, 3000.0)),
        };
        let request = self.core.open(self.now, new_request);
        self.record
            .line("open", &format!("{request} {}", bits(self.now)));
        if self.random.chance(0.08) {
            self.repeat(60.0, Step::Disconnect { request });
        }
        self.repeat(1000.0 / self.traffic.arrivals_per_s, Step::Open);
    }

    fn start_attempt(&mut self, attempt: AttemptId, engine: &str) {
        let engine = self
            .engines
            .iter()
            .position(|known| known.name == engine)
            .expect("the core starts attempts on listed engines only");
        self.running.insert(attempt);
        self.queue.schedule(self.now, Step::Dispatched);
        let outcome = draw_outcome(&mut self.random, self.traffic.failure_weight);
        let duration = self.random.between(5.0, 300.0) * self.engines[engine].slowness;
        match outcome {
            // The attempt never ends by itself: the core's own timeouts must end it.
            Ending::TimedOut => {}
            Ending::Served if self.random.chance(0.4) => {
                self.queue.schedule(
                    self.now + duration / 2.0,
                    Step::FirstPage { attempt, engine },
                );
            }
            _ => self.queue.schedule(
                self.now + duration,
                Step::End {
                    attempt,
                    engine,
                    outcome,
                },
            ),
        }
        if self.random.chance(self.traffic.note_probability) {
            self.repeat(60.0, Step::ProgressNote { attempt });
        }
    }

    fn first_page(&mut self, attempt: AttemptId, engine: usize) {
        self.record.line("answering", &bits(self.now));
        self.core.page_received(self.now, attempt);
        let outcome = if self.random.chance(0.9) {
            Ending::Served
        } else {
            Ending::Reset
        };
        self.repeat(
            150.0,
            Step::End {
                attempt,
                engine,
                outcome,
            },
        );
    }

    fn end(&mut self, attempt: AttemptId, engine: usize, outcome: Ending) {
        self.running.remove(&attempt);
        let report = draw_report(
            &mut self.random,
            &self.settings,
            self.running.len() / 4 + engine % 2,
        );
        let counted = self.core.attempt_ended(self.now, attempt, outcome, report);
        self.record.line(
            outcome_kind(outcome),
            &format!("{counted} {}", bits(self.now)),
        );
    }

    fn send_note(&mut self, attempt: AttemptId) {
        if !self.running.contains(&attempt) {
            return;
        }
        let completed = self.random.between(0.0, 1.0);
        let note = draw_note(&mut self.random, completed);
        self.record.line(note_kind(note), &bits(self.now));
        self.core.progress(self.now, attempt, note);
        self.repeat(80.0, Step::ProgressNote { attempt });
    }

    fn list_change(&mut self) {
        let number = self.random.below(self.engines.len());
        let engine = &mut self.engines[number];
        engine.state = self.random.pick(&[
            ListedState::Ready,
            ListedState::Ready,
            ListedState::Draining,
            ListedState::Gone,
        ]);
        engine.started = if self.random.chance(0.3) {
            Some(self.now - 5.0)
        } else {
            engine.started
        };
        let entries = vec![entry(engine)];
        self.record.line("list-patch", &bits(self.now));
        self.core.update_endpoints(self.now, Update::Patch, entries);
        self.repeat(self.traffic.list_change_interval_ms, Step::ListChange);
    }

    fn full_list(&mut self) {
        let entries: Vec<_> = self
            .engines
            .iter()
            .filter(|engine| engine.state != ListedState::Gone)
            .map(entry)
            .collect();
        let first = self.now == BEGIN;
        self.record.line(
            if first { "list-stale" } else { "list-whole" },
            &bits(self.now),
        );
        self.core.update_endpoints(
            self.now,
            if first {
                Update::Stale
            } else {
                Update::Snapshot
            },
            entries,
        );
        self.repeat(1000.0, Step::FullList);
    }

    fn drain_or_undrain(&mut self) {
        let name = format!("e{}", self.random.below(self.engines.len() + 1));
        let (kind, entry) = match self.random.chance(0.5) {
            true => ("hold-out", self.core.drain_engine(self.now, &name)),
            false => ("put-back", self.core.undrain_engine(self.now, &name)),
        };
        let (in_service, known) = (self.core.is_in_service(&name), self.core.is_known(&name));
        let drained_engines = self.core.drained_engines().len();
        self.record.line(
            kind,
            &format!(
                "{name} {in_service} {known} {drained_engines} {}",
                entry_text(entry)
            ),
        );
        self.repeat(150.0, Step::DrainOrUndrain);
    }

    /// Delivers a message as if from a peer: one that this core wrote itself, sometimes malformed.
    fn peer_message(&mut self) {
        self.repeat(100.0, Step::PeerMessage);
        if self.peer_messages.is_empty() {
            return;
        }
        let number = self.random.below(self.peer_messages.len());
        let mut message = self.peer_messages[number].clone();
        let last = message.len() - 1;
        match self.random.below(8) {
            0 => message[0] = b'x',
            1 => message[last] = 200,
            2 => message.push(0),
            3 => message[2] = 1,
            _ => message[last] = self.random.below(128) as u8,
        }
        let accepted = self.core.receive_gossip(self.now, &message).is_ok();
        self.record
            .line("peer-message", &format!("{accepted} {}", bits(self.now)));
        if self.random.chance(0.1) {
            self.core.record_foreign_message();
        }
    }

    fn metrics(&mut self) {
        let text = self.core.metrics().text(&self.class_names);
        self.record.line("figures", &text);
        self.repeat(100.0, Step::Metrics);
    }
}
