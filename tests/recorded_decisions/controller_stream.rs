//! One seeded event stream against the decision module: a toy model of engines answers what the module sends.

use crate::profiles::Traffic;
use crate::random::{Agenda, Random};
use crate::record::{Record, bits};
use crate::vocabulary::*;
use std::collections::BTreeMap;

/// Virtual time that a stream lasts, in milliseconds.
const STREAM_MS: f64 = 5500.0;
/// Engine names in the list's pool beyond those at the start: names that come later, and come back.
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
    Leave {
        request: u64,
    },
    Wake {
        token: u64,
    },
    ProbeAnswer {
        engine: usize,
    },
    LoadReport,
    ListChange,
    WholeList,
    ListFailure,
    Share,
    Survey,
    Nonsense,
}

struct ToyAttempt {
    engine: usize,
    sent: f64,
    usual_end: f64,
    out: bool,
}

struct ToyRequest {
    closed: bool,
    deadline: f64,
    work: f64,
    memory_mb: f64,
    attempts: Vec<ToyAttempt>,
}

pub(crate) struct Stream<'a> {
    settings: AllSettings,
    traffic: Traffic,
    random: Random,
    now: f64,
    agenda: Agenda<Step>,
    engines: Vec<ToyEngine>,
    requests: BTreeMap<u64, ToyRequest>,
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
        let controller = Controller::new(settings.clone(), seed).expect("the settings are sound");
        let engines = (0..traffic.engines + SPARE_ENGINES)
            .map(|number| toy_engine(number, traffic))
            .collect();
        Stream {
            settings,
            traffic,
            random: Random::new(seed ^ 0x5eed),
            now: 1000.0,
            agenda: Agenda::new(),
            engines,
            requests: BTreeMap::new(),
            controller,
            record,
        }
    }

    pub(crate) fn play(&mut self) {
        self.plan_start();
        while let Some((at, step)) = self.agenda.pop().filter(|(at, _)| *at <= STREAM_MS) {
            self.now = at;
            self.step(step);
        }
    }

    fn plan_start(&mut self) {
        let listed = self.engines[..self.traffic.engines].to_vec();
        self.tell(list_event(Update::Stale, &listed));
        let first = [
            Step::Arrive,
            Step::LoadReport,
            Step::ListChange,
            Step::Survey,
            Step::Nonsense,
        ];
        first
            .into_iter()
            .for_each(|step| self.agenda.plan(1001.0, step));
        for (from, to, step) in [
            (1500.0, 4000.0, Step::Share),
            (1500.0, 5500.0, Step::WholeList),
            (1100.0, 4000.0, Step::ListFailure),
        ] {
            let at = self.random.between(from, to);
            self.agenda.plan(at, step);
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
            Step::ProgressNote { request, attempt } => self.note(request, attempt),
            Step::Stream { request, attempt } => {
                if self.is_out(request, attempt) {
                    self.tell(streaming_event(request, attempt as u32));
                }
            }
            Step::Leave { request } => self.leave(request),
            Step::Wake { token } => self.tell(timer_event(token)),
            Step::ProbeAnswer { engine } => self.load_report(engine),
            Step::LoadReport => {
                let engine = self.random.below(self.engines.len());
                self.load_report(engine);
                self.repeat(self.traffic.load_report_every, Step::LoadReport);
            }
            Step::ListChange => self.list_change(),
            Step::WholeList => self.whole_list(),
            Step::ListFailure => self.tell(list_failure_event()),
            Step::Share => self.share(),
            Step::Survey => self.survey(),
            Step::Nonsense => self.nonsense(),
        }
    }

    /// Plans a step about this long from now.
    fn repeat(&mut self, average: f64, step: Step) {
        let at = self.now + self.random.between(0.0, 2.0 * average);
        self.agenda.plan(at, step);
    }

    /// Gives the module one event and does what its actions ask for.
    fn tell(&mut self, event: ControllerEvent) {
        // A clock that jumps back or is none at all must change nothing.
        let clock = self
            .random
            .weighted(&[(self.now, 200), (self.now - 30.0, 1), (f64::NAN, 1)]);
        self.record.line(event_word(&event), &bits(clock));
        let mut actions = vec![];
        self.controller.handle(clock, event, &mut actions);
        for action in &actions {
            let (word, details) = action_text(action);
            self.record.line(word, &details);
            self.carry_out(observe(action));
        }
    }

    fn carry_out(&mut self, observed: Observed) {
        match observed {
            Observed::Sent { request, engine } => self.sent(request, &engine),
            Observed::CancelAsked { request, attempt } => {
                let at = self.now + self.random.between(0.5, 6.0);
                let attempt = attempt as usize;
                self.agenda.plan(
                    at,
                    Step::End {
                        request,
                        attempt,
                        outcome: Ending::Cancelled,
                    },
                );
            }
            Observed::Closed { request } => {
                if let Some(toy) = self.requests.get_mut(&request) {
                    toy.closed = true;
                }
            }
            Observed::ProbeAsked { engine } => {
                let engine = self.engine_number(&engine);
                let at = self.now + self.random.between(1.0, 40.0);
                self.agenda.plan(at, Step::ProbeAnswer { engine });
            }
            Observed::WakeAsked { at, token } => {
                self.agenda.plan(at.max(self.now), Step::Wake { token })
            }
            Observed::ListAsked => self.repeat(10.0, Step::WholeList),
            Observed::NothingToDo => {}
        }
    }

    fn engine_number(&self, name: &str) -> usize {
        self.engines
            .iter()
            .position(|engine| engine.name == name)
            .expect("only listed engines are named")
    }

    fn sent(&mut self, request: u64, engine: &str) {
        let engine = self.engine_number(engine);
        let toy = &self.requests[&request];
        let attempt = toy.attempts.len();
        let crowd = 1.0 + self.engines[engine].running as f64 / 8.0;
        let usual_end = self.now + toy.work * crowd * self.engines[engine].slowness;
        let deadline = toy.deadline;
        let outcome = match self.engines[engine].dead {
            true => self
                .random
                .pick(&[Ending::Unreachable, Ending::Reset, Ending::TimedOut]),
            false => draw_outcome(&mut self.random, self.traffic.trouble),
        };
        let at = match outcome {
            Ending::TimedOut => deadline.min(self.now + self.random.between(100.0, 1500.0)),
            Ending::Served => usual_end * self.random.between(1.0, 1.02),
            _ => self.random.between(self.now, self.now + 40.0),
        };
        self.agenda.plan(
            at.max(self.now),
            Step::End {
                request,
                attempt,
                outcome,
            },
        );
        if self.random.chance(self.traffic.notes) {
            self.repeat(60.0, Step::ProgressNote { request, attempt });
        }
        if self.random.chance(0.05) {
            self.repeat(60.0, Step::Stream { request, attempt });
        }
        self.engines[engine].running += 1;
        let sent = self.now;
        let toy = self
            .requests
            .get_mut(&request)
            .expect("the request is known");
        toy.attempts.push(ToyAttempt {
            engine,
            sent,
            usual_end,
            out: true,
        });
    }

    fn is_out(&self, request: u64, attempt: usize) -> bool {
        self.requests[&request].attempts[attempt].out
    }

    fn arrive(&mut self) {
        let request = self.requests.len() as u64;
        let work = self.random.between(10.0, 250.0);
        let memory_mb = self.random.between(50.0, 3000.0);
        let time_left = self.random.pick(&[30.0, 400.0, 1200.0, 2500.0]);
        let deadline = self.now + time_left;
        let toy = ToyRequest {
            closed: false,
            deadline,
            work,
            memory_mb,
            attempts: vec![],
        };
        self.requests.insert(request, toy);
        let arrival = self.draw_arrival(request, work, memory_mb, time_left);
        let gives_up = if self.random.chance(0.05) {
            self.now + time_left / 4.0
        } else {
            deadline
        };
        self.agenda.plan(gives_up, Step::Leave { request });
        self.tell(arrival_event(arrival));
        self.repeat(1000.0 / self.traffic.arrivals_per_s, Step::Arrive);
    }

    fn draw_arrival(&mut self, request: u64, work: f64, memory_mb: f64, time_left: f64) -> Arrival {
        let rough = self.random.between(0.4, 2.5);
        let estimate = |true_value: f64, told: bool| told.then_some(true_value * rough);
        let told = self.traffic.estimates && self.random.chance(0.8);
        let named = |random: &mut Random, count: usize| {
            (count > 0 && random.chance(0.9)).then(|| random.below(count.max(1)) as u64)
        };
        Arrival {
            request,
            class: self.random.below(self.settings.classes.len()),
            tenant: named(&mut self.random, self.settings.tenants.len())
                .map(|tenant| tenant as usize),
            key: named(&mut self.random, self.traffic.keys).map(|key| format!("key-{key}")),
            tables: named(&mut self.random, self.traffic.tables),
            time_left,
            work: if self.random.chance(0.01) {
                Some(f64::NAN)
            } else {
                estimate(work, told)
            },
            memory_mb: estimate(memory_mb, told),
        }
    }

    fn end(&mut self, request: u64, attempt: usize, outcome: Ending) {
        if !self.is_out(request, attempt) {
            return;
        }
        let toy = self
            .requests
            .get_mut(&request)
            .expect("the request is known");
        toy.attempts[attempt].out = false;
        toy.closed |= outcome == Ending::Served;
        let (engine, sent) = (toy.attempts[attempt].engine, toy.attempts[attempt].sent);
        self.engines[engine].running -= 1;
        let told = outcome == Ending::Served && self.settings.engines.reports_cost;
        let silent = matches!(
            outcome,
            Ending::TimedOut | Ending::Unreachable | Ending::Reset
        );
        let end = AttemptEnd {
            request,
            attempt: attempt as u32,
            outcome,
            last: toy.closed,
            latency: self.now - sent,
            work: told.then_some(toy.work),
            memory_mb: told.then_some(toy.memory_mb),
            report: if silent {
                vec![]
            } else {
                self.draw_report(engine)
            },
        };
        self.tell(end_event(end));
    }

    fn draw_report(&mut self, engine: usize) -> Vec<f64> {
        draw_report(
            &mut self.random,
            &self.settings,
            self.engines[engine].running,
        )
    }

    fn note(&mut self, request: u64, attempt: usize) {
        if !self.is_out(request, attempt) {
            return;
        }
        let toy = &self.requests[&request].attempts[attempt];
        let done = (self.now - toy.sent) / (toy.usual_end - toy.sent).max(1.0);
        let lagging = if self.random.chance(0.1) { 0.05 } else { 1.0 };
        let note = draw_note(&mut self.random, done * lagging);
        self.repeat(80.0, Step::ProgressNote { request, attempt });
        self.tell(note_event(request, attempt as u32, note));
    }

    fn leave(&mut self, request: u64) {
        let toy = self
            .requests
            .get_mut(&request)
            .expect("the request is known");
        if !std::mem::replace(&mut toy.closed, true) {
            self.tell(client_left_event(request));
        }
    }

    fn load_report(&mut self, engine: usize) {
        let outcome = if self.engines[engine].dead {
            Ending::Unreachable
        } else {
            Ending::Served
        };
        let report = if self.engines[engine].dead {
            vec![]
        } else {
            self.draw_report(engine)
        };
        let name = self.engines[engine].name.clone();
        self.tell(load_event(&name, outcome, report));
    }

    /// One engine drains, goes, comes back, starts anew, moves or fails unseen.
    fn list_change(&mut self) {
        let number = self.random.below(self.engines.len());
        let started = self.now - self.random.between(0.0, 50.0);
        let zone = self.random.below(self.traffic.zones);
        let engine = &mut self.engines[number];
        match self.random.below(8) {
            0 => engine.standing = Standing::Draining,
            1 => engine.standing = Standing::Gone,
            2 | 3 => {
                (engine.standing, engine.started, engine.dead) =
                    (Standing::Ready, Some(started), false)
            }
            4 | 5 => (engine.standing, engine.dead) = (Standing::Ready, false),
            6 => engine.dead = true,
            _ => (engine.zone, engine.slowness) = (zone, [1.0, 6.0][zone % 2]),
        }
        let changed = self.engines[number].clone();
        self.tell(list_event(Update::Patch, &[changed]));
        self.repeat(self.traffic.list_change_every, Step::ListChange);
    }

    fn whole_list(&mut self) {
        let update = if self.random.chance(0.3) {
            Update::Stale
        } else {
            Update::Snapshot
        };
        let listed: Vec<ToyEngine> = self
            .engines
            .iter()
            .filter(|engine| engine.standing != Standing::Gone)
            .cloned()
            .collect();
        let absent = self.random.below(listed.len().max(1));
        let kept: Vec<ToyEngine> = listed
            .into_iter()
            .enumerate()
            .filter(|(number, _)| *number != absent)
            .map(|pair| pair.1)
            .collect();
        self.tell(list_event(update, &kept));
    }

    fn share(&mut self) {
        let processes = self.random.pick(&[0, 1, 2, 2]);
        self.record.line("share", &processes.to_string());
        self.controller.set_process_count(processes);
        self.repeat(700.0, Step::Share);
    }

    /// Records which engines are avoided now.
    fn survey(&mut self) {
        for engine in &self.engines {
            if self.controller.is_ejected(&engine.name) {
                self.record.line("avoided", &engine.name);
            }
        }
        self.repeat(100.0, Step::Survey);
    }

    /// An event about something that nobody knows, or that cannot be.
    fn nonsense(&mut self) {
        let known = self.requests.len().saturating_sub(1) as u64;
        let unknown = 1_000_000_000;
        let arrival = |request, class, time_left| Arrival {
            request,
            class,
            tenant: Some(99),
            key: None,
            tables: None,
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
        self.tell(event);
        self.repeat(300.0, Step::Nonsense);
    }
}

pub(crate) fn toy_engine(number: usize, traffic: Traffic) -> ToyEngine {
    let spare = number >= traffic.engines;
    ToyEngine {
        name: format!("e{number}"),
        standing: if spare {
            Standing::Gone
        } else {
            Standing::Ready
        },
        started: (number % 4 == 3).then_some(900.0),
        kind: number % 2,
        zone: number % traffic.zones,
        cell: (number / 2) as i64,
        slowness: if number % 5 == 4 { 3.0 } else { 1.0 },
        dead: false,
        running: 0,
    }
}
