//! A seeded event stream against the decision module: simulated engines answer the attempts that the module
//! sends.

use crate::profiles::Traffic;
use crate::random::{Random, StepQueue};
use crate::record::{Record, bits};
use crate::vocabulary::*;
use std::collections::BTreeMap;

/// Virtual time at which a stream ends, in milliseconds.
const STREAM_END_MS: f64 = 5500.0;
/// Number of engines beyond those listed at the start; they are listed later and may return after removal.
const SPARE_ENGINES: usize = 3;

enum Step {
    Arrive,
    End {
        request: u64,
        attempt: usize,
        outcome: Ending,
    },
    ProgressNote {
        request: u64,
        attempt: usize,
    },
    Stream {
        request: u64,
        attempt: usize,
    },
    Disconnect {
        request: u64,
    },
    Timer {
        token: u64,
    },
    ProbeAnswer {
        engine: usize,
    },
    LoadReport,
    ListChange,
    FullList,
    ListFailure,
    ProcessCount,
    CheckEjected,
    InvalidEvent,
}

struct SimulatedAttempt {
    engine: usize,
    sent_at: f64,
    expected_end: f64,
    in_flight: bool,
}

struct SimulatedRequest {
    closed: bool,
    deadline: f64,
    work: f64,
    memory_mb: f64,
    attempts: Vec<SimulatedAttempt>,
}

pub(crate) struct Stream<'a> {
    settings: AllSettings,
    traffic: Traffic,
    random: Random,
    now: f64,
    queue: StepQueue<Step>,
    engines: Vec<SimulatedEngine>,
    requests: BTreeMap<u64, SimulatedRequest>,
    controller: Controller,
    record: &'a mut Record,
}

impl<'a> Stream<'a> {
    pub(crate) fn new(
        settings: AllSettings,
        traffic: Traffic,
        seed: u64,
        record: &'a mut Record,
    ) -> Self {
        let controller = Controller::new(settings.clone(), seed).expect("the settings are valid");
        let engines = (0..traffic.engines + SPARE_ENGINES)
            .map(|number| simulated_engine(number, traffic))
            .collect();
        Stream {
            settings,
            traffic,
            random: Random::new(seed ^ 0x5eed),
            now: 1000.0,
            queue: StepQueue::new(),
            engines,
            requests: BTreeMap::new(),
            controller,
            record,
        }
    }

    pub(crate) fn play(&mut self) {
        self.schedule_start();
        while let Some((at, step)) = self.queue.pop().filter(|(at, _)| *at <= STREAM_END_MS) {
            self.now = at;
            self.step(step);
        }
    }

    fn schedule_start(&mut self) {
        let listed = self.engines[..self.traffic.engines].to_vec();
        self.send_event(list_event(Update::Stale, &listed));
        let first = [
            Step::Arrive,
            Step::LoadReport,
            Step::ListChange,
            Step::CheckEjected,
            Step::InvalidEvent,
        ];
        first
            .into_iter()
            .for_each(|step| self.queue.schedule(1001.0, step));
        for (from, to, step) in [
            (1500.0, 4000.0, Step::ProcessCount),
            (1500.0, 5500.0, Step::FullList),
            (1100.0, 4000.0, Step::ListFailure),
        ] {
            let at = self.random.between(from, to);
            self.queue.schedule(at, step);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive => self.arrive(),
            Step::End {
                request,
                attempt,
                outcome,
            } => self.end(request, attempt, outcome),
            Step::ProgressNote { request, attempt } => self.send_note(request, attempt),
            Step::Stream { request, attempt } => {
                if self.is_in_flight(request, attempt) {
                    self.send_event(streaming_event(request, attempt as u32));
                }
            }
            Step::Disconnect { request } => self.disconnect(request),
            Step::Timer { token } => self.send_event(timer_event(token)),
            Step::ProbeAnswer { engine } => self.load_report(engine),
            Step::LoadReport => {
                let engine = self.random.below(self.engines.len());
                self.load_report(engine);
                self.repeat(self.traffic.load_report_interval_ms, Step::LoadReport);
            }
            Step::ListChange => self.list_change(),
            Step::FullList => self.full_list(),
            Step::ListFailure => self.send_event(list_failure_event()),
            Step::ProcessCount => self.change_process_count(),
            Step::CheckEjected => self.check_ejected(),
            Step::InvalidEvent => self.invalid_event(),
        }
    }

    /// Schedules a step after a random delay with this mean.
    fn repeat(&mut self, mean_ms: f64, step: Step) {
        let at = self.now + self.random.between(0.0, 2.0 * mean_ms);
        self.queue.schedule(at, step);
    }

    /// Sends one event to the module, and records and carries out its actions.
    fn send_event(&mut self, event: ControllerEvent) {
        // A clock that jumps back or is not a number must change nothing.
        let clock = self
            .random
            .weighted(&[(self.now, 200), (self.now - 30.0, 1), (f64::NAN, 1)]);
        self.record.line(event_kind(&event), &bits(clock));
        let mut actions = vec![];
        self.controller.handle(clock, event, &mut actions);
        for action in &actions {
            let (kind, details) = action_text(action);
            self.record.line(kind, &details);
            self.carry_out(observe(action));
        }
    }

    fn carry_out(&mut self, observed: Observed) {
        match observed {
            Observed::Sent { request, engine } => self.start_attempt(request, &engine),
            Observed::CancelRequested { request, attempt } => {
                let at = self.now + self.random.between(0.5, 6.0);
                let attempt = attempt as usize;
                self.queue.schedule(
                    at,
                    Step::End {
                        request,
                        attempt,
                        outcome: Ending::Cancelled,
                    },
                );
            }
            Observed::Closed { request } => {
                if let Some(simulated) = self.requests.get_mut(&request) {
                    simulated.closed = true;
                }
            }
            Observed::ProbeRequested { engine } => {
                let engine = self.engine_number(&engine);
                let at = self.now + self.random.between(1.0, 40.0);
                self.queue.schedule(at, Step::ProbeAnswer { engine });
            }
            Observed::TimerRequested { at, token } => {
                self.queue.schedule(at.max(self.now), Step::Timer { token })
            }
            Observed::ListRequested => self.repeat(10.0, Step::FullList),
            Observed::Ignored => {}
        }
    }

    fn engine_number(&self, name: &str) -> usize {
        self.engines
            .iter()
            .position(|engine| engine.name == name)
            .expect("only listed engines are named")
    }

    fn start_attempt(&mut self, request: u64, engine: &str) {
        let engine = self.engine_number(engine);
        let simulated = &self.requests[&request];
        let attempt = simulated.attempts.len();
        let contention = 1.0 + self.engines[engine].in_flight as f64 / 8.0;
        let expected_end = self.now + simulated.work * contention * self.engines[engine].slowness;
        let deadline = simulated.deadline;
        let outcome = match self.engines[engine].unresponsive {
            true => self
                .random
                .pick(&[Ending::Unreachable, Ending::Reset, Ending::TimedOut]),
            false => draw_outcome(&mut self.random, self.traffic.failure_weight),
        };
        let at = match outcome {
            Ending::TimedOut => deadline.min(self.now + self.random.between(100.0, 1500.0)),
            Ending::Served => expected_end * self.random.between(1.0, 1.02),
            _ => self.random.between(self.now, self.now + 40.0),
        };
        self.queue.schedule(
            at.max(self.now),
            Step::End {
                request,
                attempt,
                outcome,
            },
        );
        if self.random.chance(self.traffic.note_probability) {
            self.repeat(60.0, Step::ProgressNote { request, attempt });
        }
        if self.random.chance(0.05) {
            self.repeat(60.0, Step::Stream { request, attempt });
        }
        self.engines[engine].in_flight += 1;
        let sent_at = self.now;
        let simulated = self
            .requests
            .get_mut(&request)
            .expect("the request is known");
        simulated.attempts.push(SimulatedAttempt {
            engine,
            sent_at,
            expected_end,
            in_flight: true,
        });
    }

    fn is_in_flight(&self, request: u64, attempt: usize) -> bool {
        self.requests[&request].attempts[attempt].in_flight
    }

    fn arrive(&mut self) {
        let request = self.requests.len() as u64;
        let work = self.random.between(10.0, 250.0);
        let memory_mb = self.random.between(50.0, 3000.0);
        let time_left = self.random.pick(&[30.0, 400.0, 1200.0, 2500.0]);
        let deadline = self.now + time_left;
        let simulated = SimulatedRequest {
            closed: false,
            deadline,
            work,
            memory_mb,
            attempts: vec![],
        };
        self.requests.insert(request, simulated);
        let arrival = self.draw_arrival(request, work, memory_mb, time_left);
        let leaves_at = if self.random.chance(0.05) {
            self.now + time_left / 4.0
        } else {
            deadline
        };
        self.queue.schedule(leaves_at, Step::Disconnect { request });
        self.send_event(arrival_event(arrival));
        self.repeat(1000.0 / self.traffic.arrivals_per_s, Step::Arrive);
    }

    fn draw_arrival(&mut self, request: u64, work: f64, memory_mb: f64, time_left: f64) -> Arrival {
        let error_factor = self.random.between(0.4, 2.5);
        let estimate =
            |true_value: f64, estimated: bool| estimated.then_some(true_value * error_factor);
        let estimated = self.traffic.estimates && self.random.chance(0.8);
        let draw_name = |random: &mut Random, count: usize| {
            (count > 0 && random.chance(0.9)).then(|| random.below(count.max(1)) as u64)
        };
        Arrival {
            request,
            class: self.random.below(self.settings.classes.len()),
            tenant: draw_name(&mut self.random, self.settings.tenants.len())
                .map(|tenant| tenant as usize),
            key: draw_name(&mut self.random, self.traffic.keys).map(|key| format!("key-{key}")),
            table_group: draw_name(&mut self.random, self.traffic.table_groups),
            time_left,
            work: if self.random.chance(0.01) {
                Some(f64::NAN)
            } else {
                estimate(work, estimated)
            },
            memory_mb: estimate(memory_mb, estimated),
        }
    }

    fn end(&mut self, request: u64, attempt: usize, outcome: Ending) {
        if !self.is_in_flight(request, attempt) {
            return;
        }
        let simulated = self
            .requests
            .get_mut(&request)
            .expect("the request is known");
        simulated.attempts[attempt].in_flight = false;
        simulated.closed |= outcome == Ending::Served;
        let (engine, sent_at) = (
            simulated.attempts[attempt].engine,
            simulated.attempts[attempt].sent_at,
        );
        self.engines[engine].in_flight -= 1;
        let reports_cost = outcome == Ending::Served && self.settings.engines.reports_cost;
        let without_report = matches!(
            outcome,
            Ending::TimedOut | Ending::Unreachable | Ending::Reset
        );
        let end = AttemptEnd {
            request,
            attempt: attempt as u32,
            outcome,
            last: simulated.closed,
            latency: self.now - sent_at,
            work: reports_cost.then_some(simulated.work),
            memory_mb: reports_cost.then_some(simulated.memory_mb),
            report: if without_report {
                vec![]
            } else {
                self.draw_report(engine)
            },
        };
        self.send_event(end_event(end));
    }

    fn draw_report(&mut self, engine: usize) -> Vec<f64> {
        draw_report(
            &mut self.random,
            &self.settings,
            self.engines[engine].in_flight,
        )
    }

    fn send_note(&mut self, request: u64, attempt: usize) {
        if !self.is_in_flight(request, attempt) {
            return;
        }
        let running = &self.requests[&request].attempts[attempt];
        let completed =
            (self.now - running.sent_at) / (running.expected_end - running.sent_at).max(1.0);
        let progress_factor = if self.random.chance(0.1) { 0.05 } else { 1.0 };
        let note = draw_note(&mut self.random, completed * progress_factor);
        self.repeat(80.0, Step::ProgressNote { request, attempt });
        self.send_event(note_event(request, attempt as u32, note));
    }

    fn disconnect(&mut self, request: u64) {
        let simulated = self
            .requests
            .get_mut(&request)
            .expect("the request is known");
        if !std::mem::replace(&mut simulated.closed, true) {
            self.send_event(client_left_event(request));
        }
    }

    fn load_report(&mut self, engine: usize) {
        let outcome = if self.engines[engine].unresponsive {
            Ending::Unreachable
        } else {
            Ending::Served
        };
        let report = if self.engines[engine].unresponsive {
            vec![]
        } else {
            self.draw_report(engine)
        };
        let name = self.engines[engine].name.clone();
        self.send_event(load_event(&name, outcome, report));
    }

    /// Drains, removes, restores, restarts or moves one engine, or makes it unresponsive without a change
    /// of the list.
    fn list_change(&mut self) {
        let number = self.random.below(self.engines.len());
        let started = self.now - self.random.between(0.0, 50.0);
        let zone = self.random.below(self.traffic.zones);
        let engine = &mut self.engines[number];
        match self.random.below(8) {
            0 => engine.state = ListedState::Draining,
            1 => engine.state = ListedState::Gone,
            2 | 3 => {
                (engine.state, engine.started, engine.unresponsive) =
                    (ListedState::Ready, Some(started), false)
            }
            4 | 5 => (engine.state, engine.unresponsive) = (ListedState::Ready, false),
            6 => engine.unresponsive = true,
            _ => (engine.zone, engine.slowness) = (zone, [1.0, 6.0][zone % 2]),
        }
        let changed = self.engines[number].clone();
        self.send_event(list_event(Update::Patch, &[changed]));
        self.repeat(self.traffic.list_change_interval_ms, Step::ListChange);
    }

    fn full_list(&mut self) {
        let update = if self.random.chance(0.3) {
            Update::Stale
        } else {
            Update::Snapshot
        };
        let listed: Vec<SimulatedEngine> = self
            .engines
            .iter()
            .filter(|engine| engine.state != ListedState::Gone)
            .cloned()
            .collect();
        let absent = self.random.below(listed.len().max(1));
        let kept: Vec<SimulatedEngine> = listed
            .into_iter()
            .enumerate()
            .filter(|(number, _)| *number != absent)
            .map(|pair| pair.1)
            .collect();
        self.send_event(list_event(update, &kept));
    }

    fn change_process_count(&mut self) {
        let processes = self.random.pick(&[0, 1, 2, 2]);
        self.record.line("share", &processes.to_string());
        self.controller.set_process_count(processes);
        self.repeat(700.0, Step::ProcessCount);
    }

    /// Records which engines are ejected now.
    fn check_ejected(&mut self) {
        for engine in &self.engines {
            if self.controller.is_ejected(&engine.name) {
                self.record.line("avoided", &engine.name);
            }
        }
        self.repeat(100.0, Step::CheckEjected);
    }

    /// Sends an event that names an unknown item or carries invalid values.
    fn invalid_event(&mut self) {
        let known = self.requests.len().saturating_sub(1) as u64;
        let unknown = 1_000_000_000;
        let arrival = |request, class, time_left| Arrival {
            request,
            class,
            tenant: Some(99),
            key: None,
            table_group: None,
            time_left,
            work: Some(-1.0),
            memory_mb: Some(f64::INFINITY),
        };
        let event = match self.random.below(7) {
            0 => arrival_event(arrival(unknown, 99, 500.0)),
            1 => arrival_event(arrival(known, 0, f64::NAN)),
            2 => client_left_event(unknown),
            3 => note_event(unknown, 0, ProgressNote::Idle),
            4 => note_event(known, 9, ProgressNote::Active),
            5 => load_event("nobody", Ending::Unreachable, vec![1.0]),
            _ => streaming_event(unknown, 0),
        };
        self.send_event(event);
        self.repeat(300.0, Step::InvalidEvent);
    }
}

/// Returns an engine of the initial list, or a spare one that the list does not hold yet.
pub(crate) fn simulated_engine(number: usize, traffic: Traffic) -> SimulatedEngine {
    let spare = number >= traffic.engines;
    SimulatedEngine {
        name: format!("e{number}"),
        state: if spare {
            ListedState::Gone
        } else {
            ListedState::Ready
        },
        started: (number % 4 == 3).then_some(900.0),
        kind: number % 2,
        zone: number % traffic.zones,
        cell: (number / 2) as i64,
        slowness: if number % 5 == 4 { 3.0 } else { 1.0 },
        unresponsive: false,
        in_flight: 0,
    }
}
