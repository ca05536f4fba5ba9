//! A whole day in virtual time: clients, gateways with their decisions, messages, engines, the list and trouble. One
//! seed gives one day, to the last event.

pub mod emulator;
pub mod policy;
pub mod report;
pub mod rules;
#[cfg(test)]
mod tests;

use crate::random::{Stream, Streams, zipf};
use crate::scenario::{EngineSelection, FaultKind, Scenario};
use crate::simulation::emulator::{Emulator, Job, JobId, Waits};
use hdrhistogram::Histogram;
use policy::{Dispatch, Plain, Policy};
use query_dispatcher::core::{Answer, AttemptId, Command, Core, CoreLimits, NewRequest};
use query_dispatcher::{EngineEntry, EngineState, ListUpdate, Outcome, ProgressNote};
use report::{ClassReport, LateCauses, OutcomeCounts, RunReport, WINDOW_S, WeightedValue, Window};
use rules::Checker;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// The day begins at this moment, in milliseconds: spans before it are in the past, as on a real clock.
const START_MS: f64 = 1_000_000.0;
/// After the last arrival the day goes on for so long, in milliseconds.
const RUN_OUT_MS: f64 = 60_000.0;
/// The same bounds as the program's.
const ANSWER_MARGIN_MS: f64 = 40.0;
const PAGE_TIMEOUT_MS: f64 = 600.0;

/// One try of one client.
#[derive(Clone, Debug)]
struct ClientRequest {
    gateway: usize,
    class: usize,
    tenant: usize,
    job: Job,
    work_told: f64,
    memory_told: f64,
    /// When its first try came, which its service is counted from.
    born: f64,
    gives_up: f64,
    latency_objective: f64,
    priority_weight: f64,
    again: u32,
    /// Where the time of its attempts went.
    waits: Waits,
    first_sent: Option<f64>,
    lost: f64,
    over: bool,
}

enum Event {
    Arrive,
    Again(Box<ClientRequest>),
    Leave {
        gateway: usize,
        request: u64,
    },
    Reach {
        engine: usize,
        process: u32,
        attempt: Attempt,
        job: Box<Job>,
    },
    Cancel {
        engine: usize,
        attempt: Attempt,
    },
    Wake {
        engine: usize,
        stamp: u64,
    },
    Notes {
        engine: usize,
        stamp: u64,
    },
    Back {
        attempt: Attempt,
        outcome: Outcome,
        report: Vec<f64>,
    },
    Noted {
        attempt: Attempt,
        note: ProgressNote,
    },
    Tick {
        gateway: usize,
        at: u64,
    },
    News {
        gateway: usize,
        engine: usize,
        entry: Box<EngineEntry>,
        at: u64,
    },
    Hand {
        gateway: usize,
        engine: usize,
        out: bool,
    },
    Fault(usize),
    Over(usize, Vec<usize>),
    Step(Step),
    Look,
}

/// One thing done to one engine by trouble.
enum Step {
    Start(usize),
    ListOut(usize),
    ListIn(usize),
    HandIn(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    gateway: usize,
    id: AttemptId,
}

struct ScheduledEvent {
    at: f64,
    seq: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.seq.cmp(&other.seq))
    }
}

struct Engine {
    name: String,
    kind: usize,
    zone: usize,
    model: Emulator,
    process: u32,
    up: bool,
    /// As the list has it.
    listed: EngineState,
    jobs: BTreeMap<JobId, Attempt>,
    ids: BTreeMap<Attempt, JobId>,
    next_job: JobId,
    stamp: u64,
    note_stamp: u64,
    fell: bool,
}

struct Gateway {
    zone: usize,
    decides: Box<dyn Dispatch>,
    tick_at: Option<f64>,
    tries: BTreeMap<u64, ClientRequest>,
    /// Attempts out: to which engine, and when they were sent.
    out: BTreeMap<AttemptId, (usize, f64)>,
    delay: Stream,
    /// News of each engine already told, by their moments: late ones never go before.
    news: BTreeMap<usize, u64>,
}

/// A day being played.
struct Simulation<'a> {
    scenario: &'a Scenario,
    now: f64,
    end: f64,
    seq: u64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    engines: Vec<Engine>,
    dispatchers: Vec<Gateway>,
    checker: Checker,
    arrivals: Stream,
    mix: Stream,
    sizes: Stream,
    areas: Stream,
    estimates: Stream,
    clients: Stream,
    lists: Stream,
    troubles: Stream,
    area_weights: Vec<f64>,
    heavy: Vec<(usize, f64, f64)>,
    cut: BTreeSet<(usize, usize)>,
    slow: BTreeMap<usize, f64>,
    list_extra: f64,
    list_away: bool,
    held_news: Vec<(usize, usize, EngineEntry)>,
    buckets: Vec<(f64, f64)>,
    day: RunReport,
    done_at_window: f64,
    hash: u64,
}

/// Plays a scenario with a policy and a seed.
pub fn play(scenario: &Scenario, policy: Policy, seed: u64) -> RunReport {
    let streams = Streams::new(seed);
    play_with(scenario, seed, &mut |g, zone| {
        decides(scenario, policy, &streams, g, zone)
    })
}

fn decides(
    scenario: &Scenario,
    policy: Policy,
    streams: &Streams,
    gateway: usize,
    zone: usize,
) -> Box<dyn Dispatch> {
    let mut random = streams.numbered("decisions", gateway);
    let settings = scenario.settings(zone);
    let bounds = CoreLimits {
        max_open_requests: 20_000,
        answer_margin: ANSWER_MARGIN_MS,
        page_timeout: PAGE_TIMEOUT_MS,
    };
    match policy {
        // Settings were checked with their scenario; should the core still refuse them, nothing is dispatched at all.
        Policy::Module => match Core::new(settings, random.bits(), bounds) {
            Ok(core) => Box::new(core),
            Err(_) => Box::new(Plain::new(Policy::Random, vec![], random)),
        },
        plain => {
            let fragile = scenario.classes.iter().map(|c| c.non_idempotent).collect();
            Box::new(Plain::new(plain, fragile, random))
        }
    }
}

/// Plays a scenario with whatever decides at each gateway.
pub fn play_with(
    scenario: &Scenario,
    seed: u64,
    decides: &mut dyn FnMut(usize, usize) -> Box<dyn Dispatch>,
) -> RunReport {
    let mut world = Simulation::new(scenario, seed, decides);
    world.run();
    world.finish()
}

fn histogram() -> Histogram<u64> {
    // From a microsecond to ten minutes, to three digits: bounds that are always good.
    Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|_| {
        Histogram::new_from(&Histogram::<u64>::new(3).expect("three digits are good"))
    })
}

impl<'a> Simulation<'a> {
    fn new(
        scenario: &'a Scenario,
        seed: u64,
        decides: &mut dyn FnMut(usize, usize) -> Box<dyn Dispatch>,
    ) -> Self {
        let streams = Streams::new(seed);
        let kinds = scenario.kind_names();
        let mut engines = vec![];
        for set in &scenario.engines {
            for _ in 0..set.count {
                let n = engines.len();
                let kind = kinds.iter().position(|k| *k == set.kind).unwrap_or(0);
                engines.push(Engine {
                    name: format!("e{n:04}"),
                    kind,
                    zone: n % scenario.zones.len(),
                    model: Emulator::new(scenario.kind(&set.kind), START_MS, true),
                    process: 1,
                    up: true,
                    listed: EngineState::Ready,
                    jobs: BTreeMap::new(),
                    ids: BTreeMap::new(),
                    next_job: 1,
                    stamp: 0,
                    note_stamp: 0,
                    fell: false,
                });
            }
        }
        let dispatchers = (0..scenario.dispatchers).map(|g| {
            let zone = g % scenario.zones.len();
            Gateway {
                zone,
                decides: decides(g, zone),
                tick_at: None,
                tries: BTreeMap::new(),
                out: BTreeMap::new(),
                delay: streams.numbered("delays", g),
                news: BTreeMap::new(),
            }
        });
        let classes = scenario.classes.iter().map(|c| ClassReport {
            name: c.name.clone(),
            priority_weight: WeightedValue::default(),
            ends: OutcomeCounts::default(),
            latency: histogram(),
        });
        let mut tenants: Vec<(String, WeightedValue)> = scenario
            .tenants
            .iter()
            .map(|t| (t.name.clone(), WeightedValue::default()))
            .collect();
        if tenants.is_empty() {
            tenants.push(("all".into(), WeightedValue::default()));
        }
        let buckets = vec![(1.0, START_MS); tenants.len()];
        let day = RunReport {
            seconds: scenario.seconds,
            classes: classes.collect(),
            tenants,
            windows: vec![],
            attempts: 0,
            requests: 0,
            calls: 0,
            decided_s: 0.0,
            late: BTreeMap::new(),
            broken: vec![],
            latest_after_notice_ms: 0.0,
            hash: 0,
            events: 0,
        };
        Simulation {
            now: START_MS,
            end: START_MS + scenario.seconds * 1000.0,
            seq: 0,
            queue: BinaryHeap::new(),
            engines,
            dispatchers: dispatchers.collect(),
            checker: Checker::default(),
            arrivals: streams.stream("arrivals"),
            mix: streams.stream("mix"),
            sizes: streams.stream("sizes"),
            areas: streams.stream("areas"),
            estimates: streams.stream("estimates"),
            clients: streams.stream("clients"),
            lists: streams.stream("lists"),
            troubles: streams.stream("troubles"),
            area_weights: zipf(scenario.load.areas, scenario.load.zipf),
            heavy: vec![],
            cut: BTreeSet::new(),
            slow: BTreeMap::new(),
            list_extra: 0.0,
            list_away: false,
            held_news: vec![],
            buckets,
            day,
            done_at_window: 0.0,
            hash: 0xcbf2_9ce4_8422_2325,
            scenario,
        }
    }

    fn at(&mut self, at: f64, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse(ScheduledEvent {
            at: at.max(self.now),
            seq: self.seq,
            event,
        }));
    }

    /// Mixes an event into the day's hash: its moment in microseconds, what it is, and whose.
    fn mark(&mut self, what: u64, a: u64, b: u64) {
        self.day.events += 1;
        for n in [((self.now - START_MS) * 1000.0) as u64, what, a, b] {
            for byte in n.to_le_bytes() {
                self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
        }
    }

    fn run(&mut self) {
        let list: Vec<EngineEntry> = (0..self.engines.len()).map(|e| self.entry(e)).collect();
        for g in 0..self.dispatchers.len() {
            let entries = list.clone();
            self.decide(g, |d, now| d.engines(now, ListUpdate::Stale, entries));
        }
        for (i, t) in self.scenario.faults.iter().enumerate() {
            self.at(START_MS + t.at_s * 1000.0, Event::Fault(i));
        }
        let first = self.gap();
        self.at(START_MS + first, Event::Arrive);
        self.at(START_MS + WINDOW_S * 1000.0, Event::Look);
        while let Some(Reverse(due)) = self.queue.pop() {
            if due.at > self.end + RUN_OUT_MS {
                break;
            }
            self.now = due.at;
            self.event(due.event);
        }
        self.now = self.end + RUN_OUT_MS;
    }

    fn finish(mut self) -> RunReport {
        self.checker.end(self.now);
        self.day.broken = self.checker.broken().to_vec();
        self.day.latest_after_notice_ms = self.checker.latest_after_notice;
        self.day.hash = self.hash;
        self.day
    }

    // ---- clients ---------------------------------------------------------------------------------

    /// Until the next arrival: thinned from the highest rate, so that a shape changes no other draw.
    fn gap(&mut self) -> f64 {
        let load = &self.scenario.load;
        let most = load.per_s * load.most();
        if most <= 0.0 {
            return f64::MAX / 4.0;
        }
        let mut at = self.now;
        loop {
            at += self.arrivals.exponential(1000.0 / most);
            let part = load.part((at - START_MS) / 1000.0) * load.per_s / most;
            if self.arrivals.chance(part) || at > self.end {
                return at - self.now;
            }
        }
    }

    fn arrive(&mut self) {
        let s = self.scenario;
        let shares: Vec<f64> = s.classes.iter().map(|c| c.share).collect();
        let class = self.mix.weighted(&shares);
        let tenants: Vec<f64> = s.tenants.iter().map(|t| t.share).collect();
        let tenant = if tenants.is_empty() {
            0
        } else {
            self.mix.weighted(&tenants)
        };
        let gateway = self.mix.below(self.dispatchers.len());
        let c = &s.classes[class];
        let mut work = self.sizes.lognormal(c.work_ms, c.sigma);
        let mut need = self.sizes.lognormal(c.memory_mb, c.sigma * 0.7);
        let io = self.sizes.between(c.io[0], c.io[1]);
        let draw = self.sizes.unit();
        for (heavy, part, times) in &self.heavy {
            if *heavy == class && draw < *part {
                (work, need) = (work * times, need * libm::sqrt(*times));
            }
        }
        let area = self.areas.weighted(&self.area_weights) as u64;
        let sigma = s.load.estimate_sigma;
        let (told, told_mb) = (
            self.estimates.lognormal(work, sigma),
            self.estimates.lognormal(need, sigma),
        );
        let patience = self.clients.between(0.8, 1.0);
        let leaves = self.clients.chance(s.load.leave);
        let job = Job {
            work,
            threads: c.threads,
            io,
            need_mb: need,
            grant_mb: 0.0,
            area,
            holds: c.holds_tables,
            stands: c.waits_for_loads,
            from: gateway as u32,
        };
        let over = self.over_quota(tenant);
        let priority_weight = c.priority_weight * if over { 0.05 } else { 1.0 };
        let latency_objective = c.aim_ms + c.latency_objective_slowdown * work / c.threads;
        let gives_up = self.now + c.deadline_ms * patience;
        self.day.requests += 1;
        self.day.classes[class].priority_weight.asked += priority_weight;
        self.day.tenants[tenant].1.asked += priority_weight;
        self.window().priority_weight.asked += priority_weight;
        let t = ClientRequest {
            gateway,
            class,
            tenant,
            job,
            work_told: told,
            memory_told: told_mb,
            born: self.now,
            gives_up,
            latency_objective,
            priority_weight,
            again: 0,
            waits: Waits::default(),
            first_sent: None,
            lost: 0.0,
            over: false,
        };
        let request = self.ask(t);
        if leaves && let Some(request) = request {
            let at = self.now + (gives_up - self.now) / 2.0;
            self.at(at, Event::Leave { gateway, request });
        }
    }

    fn over_quota(&mut self, tenant: usize) -> bool {
        let Some(quota) = self
            .scenario
            .tenants
            .get(tenant)
            .and_then(|t| t.quota_per_s)
        else {
            return false;
        };
        let (tokens, at) = self.buckets[tenant];
        let grown = (tokens + quota * (self.now - at) / 1000.0).min((2.0 * quota).max(1.0));
        let there = grown >= 1.0;
        self.buckets[tenant] = (grown - f64::from(u8::from(there)), self.now);
        !there
    }

    /// The window of a request's first try, which its worth counts in.
    fn window_of(&mut self, born: f64) -> &mut Window {
        let n = ((born - START_MS) / 1000.0 / WINDOW_S) as usize;
        while self.day.windows.len() <= n {
            let from_s = self.day.windows.len() as f64 * WINDOW_S;
            self.day.windows.push(Window {
                from_s,
                ..Window::default()
            });
        }
        &mut self.day.windows[n]
    }

    fn window(&mut self) -> &mut Window {
        self.window_of(self.now)
    }

    /// A client asks its gateway.
    fn ask(&mut self, t: ClientRequest) -> Option<u64> {
        let g = t.gateway;
        let fragile = self.scenario.classes[t.class].non_idempotent;
        let new = NewRequest {
            class: t.class,
            tenant: (!self.scenario.tenants.is_empty()).then_some(t.tenant),
            group: Some(t.job.area),
            deadline: t.gives_up,
            work: Some(t.work_told),
            memory_mb: Some(t.memory_told),
        };
        let gives_up = t.gives_up;
        // The core gives the request its number and may answer at once: it is known before its commands are looked at.
        let began = std::time::Instant::now();
        let request = self.dispatchers[g].decides.open(self.now, new);
        self.day.decided_s += began.elapsed().as_secs_f64();
        self.day.calls += 1;
        self.mark(1, g as u64, request);
        self.checker.took((g, request), fragile, gives_up);
        self.dispatchers[g].tries.insert(request, t);
        self.carry_out(g);
        self.dispatchers[g]
            .tries
            .contains_key(&request)
            .then_some(request)
    }

    // ---- gateways --------------------------------------------------------------------------------

    fn decide(&mut self, g: usize, f: impl FnOnce(&mut dyn Dispatch, f64)) {
        let began = std::time::Instant::now();
        f(&mut *self.dispatchers[g].decides, self.now);
        self.day.decided_s += began.elapsed().as_secs_f64();
        self.day.calls += 1;
        self.carry_out(g);
    }

    fn carry_out(&mut self, g: usize) {
        loop {
            let commands = self.dispatchers[g].decides.commands();
            if commands.is_empty() {
                break;
            }
            for c in commands {
                self.command(g, c);
            }
        }
        let wake = self.dispatchers[g].decides.next_wake();
        if let Some(at) = wake
            && self.dispatchers[g]
                .tick_at
                .is_none_or(|t| at < t || t <= self.now)
        {
            let at = at.max(self.now + 0.01);
            self.dispatchers[g].tick_at = Some(at);
            self.at(
                at,
                Event::Tick {
                    gateway: g,
                    at: at.to_bits(),
                },
            );
        }
    }

    fn command(&mut self, g: usize, command: Command) {
        match command {
            Command::Start {
                attempt,
                engine,
                memory_mb,
                ..
            } => self.start(g, attempt, &engine, memory_mb),
            Command::Cancel { attempt } => {
                if let Some((engine, _)) = self.dispatchers[g].out.remove(&attempt) {
                    let at = self.now + self.delay(g, engine);
                    self.at(
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

    fn start(&mut self, g: usize, id: AttemptId, engine: &str, memory_mb: f64) {
        let Some(e) = self.engines.iter().position(|x| x.name == engine) else {
            return;
        };
        let attempt = Attempt { gateway: g, id };
        // As the program does: looked at again right before it is written.
        if !self.dispatchers[g].decides.in_service(engine) {
            self.dispatchers[g].out.insert(id, (e, self.now));
            return self.at(
                self.now,
                Event::Back {
                    attempt,
                    outcome: Outcome::Unreachable,
                    report: vec![],
                },
            );
        }
        self.day.attempts += 1;
        self.mark(
            2,
            (g as u64) << 32 | e as u64,
            id.request << 8 | u64::from(id.index),
        );
        self.checker.sent(self.now, (g, id.request), id.index, e);
        self.dispatchers[g].out.insert(id, (e, self.now));
        let Some(t) = self.dispatchers[g].tries.get_mut(&id.request) else {
            return;
        };
        t.first_sent.get_or_insert(self.now);
        let job = Job {
            grant_mb: memory_mb,
            ..t.job.clone()
        };
        let (process, at) = (self.engines[e].process, self.now + self.delay(g, e));
        self.at(
            at,
            Event::Reach {
                engine: e,
                process,
                attempt,
                job: Box::new(job),
            },
        );
    }

    fn delay(&mut self, g: usize, e: usize) -> f64 {
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
    fn back(&mut self, attempt: Attempt, engine: usize, outcome: Outcome, report: Vec<f64>) {
        if self.cut.contains(&(attempt.gateway, engine)) {
            return;
        }
        let at = self.now + self.delay(attempt.gateway, engine);
        self.at(
            at,
            Event::Back {
                attempt,
                outcome,
                report,
            },
        );
    }

    fn answer(&mut self, g: usize, request: u64, answer: Answer) {
        self.checker.answered(self.now, (g, request));
        let Some(t) = self.dispatchers[g].tries.get_mut(&request) else {
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
        self.mark(3, g as u64, request << 3 | kind);
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
                self.at(at, Event::Again(Box::new(again)));
                return self.close(g, request);
            }
        }
        let class = &mut self.day.classes[t.class];
        let took = self.now - t.born;
        let late_answer_weight = self.scenario.classes[t.class].late_answer_weight;
        let earned = match answer {
            Answer::Served(_) => {
                class.ends.served += 1;
                class.latency.saturating_record((took * 1000.0) as u64 + 1);
                if took <= t.latency_objective {
                    t.priority_weight
                } else {
                    t.priority_weight * late_answer_weight
                }
            }
            Answer::Rejected { .. } => {
                class.ends.refused += 1;
                0.0
            }
            Answer::Failed { .. } => {
                class.ends.failed += 1;
                0.0
            }
            Answer::TimedOut { .. } => {
                class.ends.late += 1;
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
    fn close(&mut self, g: usize, request: u64) {
        let gateway = &mut self.dispatchers[g];
        let first = AttemptId { request, index: 0 };
        let last = AttemptId {
            request,
            index: u32::MAX,
        };
        let out = gateway.out.range(first..=last).next().is_some();
        if !out && gateway.tries.get(&request).is_some_and(|t| t.over) {
            gateway.tries.remove(&request);
            self.checker.closed((g, request));
        }
    }

    // ---- engines ---------------------------------------------------------------------------------

    fn entry(&self, e: usize) -> EngineEntry {
        let x = &self.engines[e];
        EngineEntry {
            engine: x.name.clone(),
            state: x.listed,
            started: Some(x.model.started()).filter(|t| *t >= START_MS),
            kind: Some(x.kind),
            zone: Some(x.zone),
            cell: 0,
        }
    }

    /// Asks to be rung when something ends next there, and when a note is due.
    fn rewake(&mut self, e: usize) {
        let x = &mut self.engines[e];
        (x.stamp, x.note_stamp) = (x.stamp + 1, x.note_stamp + 1);
        let (stamp, note_stamp) = (x.stamp, x.note_stamp);
        let (next, note) = (x.model.next(), x.model.next_note());
        if let Some(at) = next {
            self.at(at, Event::Wake { engine: e, stamp });
        }
        if let Some(at) = note {
            self.at(
                at,
                Event::Notes {
                    engine: e,
                    stamp: note_stamp,
                },
            );
        }
        if self.engines[e].model.fallen() && !std::mem::replace(&mut self.engines[e].fell, true) {
            self.checker.fell(self.now, e);
            self.lose_all(e, Outcome::Reset);
        }
    }

    fn reach(&mut self, e: usize, process: u32, attempt: Attempt, job: Job) {
        if self.cut.contains(&(attempt.gateway, e)) {
            return;
        }
        let x = &mut self.engines[e];
        if !x.up || x.fell {
            return self.back(attempt, e, Outcome::Unreachable, vec![]);
        }
        // Its connection was to the process before.
        if x.process != process {
            return self.back(attempt, e, Outcome::Unreachable, vec![]);
        }
        let id = x.next_job;
        x.next_job += 1;
        if !x.model.send(self.now, id, job) {
            let report = x.model.report().to_vec();
            return self.back(attempt, e, Outcome::Rejected, report);
        }
        x.jobs.insert(id, attempt);
        x.ids.insert(attempt, id);
        self.checker
            .ran(self.now, (attempt.gateway, attempt.id.request), e);
        self.rewake(e);
    }

    fn spent(&mut self, attempt: Attempt, waits: &Waits) {
        if let Some(t) = self.dispatchers[attempt.gateway]
            .tries
            .get_mut(&attempt.id.request)
        {
            t.waits.ran += waits.ran;
            t.waits.in_line += waits.in_line;
            for (whose, span) in &waits.stood {
                *t.waits.stood.entry(*whose).or_default() += span;
            }
        }
    }

    fn wake(&mut self, e: usize) {
        let ended = self.engines[e].model.ended(self.now);
        for (id, waits) in ended {
            let x = &mut self.engines[e];
            let Some(attempt) = x.jobs.remove(&id) else {
                continue;
            };
            x.ids.remove(&attempt);
            let report = x.model.report().to_vec();
            self.mark(4, e as u64, id);
            self.spent(attempt, &waits);
            self.back(attempt, e, Outcome::Served, report);
        }
        self.rewake(e);
    }

    /// All that an engine has is lost, and its gateways see that.
    fn lose_all(&mut self, e: usize, outcome: Outcome) {
        let x = &mut self.engines[e];
        let lost = x.model.end(self.now);
        let jobs = std::mem::take(&mut x.jobs);
        x.ids.clear();
        for (id, waits) in lost {
            let Some(attempt) = jobs.get(&id).copied() else {
                continue;
            };
            self.spent(attempt, &waits);
            self.back(attempt, e, outcome, vec![]);
        }
    }

    fn end_process(&mut self, e: usize) {
        self.lose_all(e, Outcome::Reset);
        let x = &mut self.engines[e];
        (x.up, x.process) = (false, x.process + 1);
        self.mark(5, e as u64, 0);
        self.rewake(e);
    }

    fn start_process(&mut self, e: usize) {
        let x = &mut self.engines[e];
        x.model.restart(self.now);
        (x.up, x.fell) = (true, false);
        self.mark(6, e as u64, 0);
        self.rewake(e);
    }

    /// The list tells how an engine stands, to each gateway when its news get there.
    fn list(&mut self, e: usize, state: EngineState) {
        self.engines[e].listed = state;
        let entry = self.entry(e);
        let net = &self.scenario.net;
        for g in 0..self.dispatchers.len() {
            let lag = self.lists.between(net.list_ms[0], net.list_ms[1]) + self.list_extra;
            if self.list_away {
                self.held_news.push((g, e, entry.clone()));
                continue;
            }
            let at = self.now.to_bits();
            self.at(
                self.now + lag,
                Event::News {
                    gateway: g,
                    engine: e,
                    entry: Box::new(entry.clone()),
                    at,
                },
            );
        }
    }

    // ---- trouble ---------------------------------------------------------------------------------

    fn which(&mut self, w: &EngineSelection) -> Vec<usize> {
        let n = self.engines.len();
        let drawn = |random: &mut Stream, k: usize| {
            let mut left: Vec<usize> = (0..n).collect();
            let mut picked = vec![];
            for _ in 0..k.min(n) {
                picked.push(left.swap_remove(random.below(left.len())));
            }
            picked.sort_unstable();
            picked
        };
        match w {
            EngineSelection::These(all) => all.clone(),
            EngineSelection::Some(k) => drawn(&mut self.troubles, *k),
            EngineSelection::Part { part } => {
                drawn(&mut self.troubles, (part * n as f64).round() as usize)
            }
            EngineSelection::Zone { zone } => {
                let z = self.scenario.zones.iter().position(|x| x == zone);
                (0..n)
                    .filter(|e| Some(self.engines[*e].zone) == z)
                    .collect()
            }
        }
    }

    fn trouble(&mut self, i: usize) {
        let what = self.scenario.faults[i].what.clone();
        self.mark(7, i as u64, 0);
        let s = 1000.0;
        match what {
            FaultKind::Die { engines, back_s } => {
                for e in self.which(&engines) {
                    self.end_process(e);
                    self.list(e, EngineState::Gone);
                    self.at(self.now + back_s * s, Event::Step(Step::Start(e)));
                }
            }
            FaultKind::ZoneOutage { zone, back_s } => {
                for e in self.which(&EngineSelection::Zone { zone }) {
                    self.end_process(e);
                    self.list(e, EngineState::Gone);
                    self.at(self.now + back_s * s, Event::Step(Step::Start(e)));
                }
            }
            FaultKind::Hang { engines, for_s } => {
                let hung = self.which(&engines);
                for e in &hung {
                    self.engines[*e].model.hang(self.now, true);
                    self.rewake(*e);
                }
                self.at(self.now + for_s * s, Event::Over(i, hung));
            }
            FaultKind::Neighbour {
                engines,
                part,
                for_s,
            } => {
                let crowded = self.which(&engines);
                for e in &crowded {
                    self.engines[*e].model.neighbour(self.now, part);
                    self.rewake(*e);
                }
                self.at(self.now + for_s * s, Event::Over(i, crowded));
            }
            FaultKind::StaleList { extra_s, for_s } => {
                self.list_extra += extra_s * s;
                self.at(self.now + for_s * s, Event::Over(i, vec![]));
            }
            FaultKind::RegistryOutage { for_s } => {
                self.list_away = true;
                self.at(self.now + for_s * s, Event::Over(i, vec![]));
            }
            FaultKind::HeavyTail {
                class,
                part,
                times,
                for_s,
            } => {
                let class = self
                    .scenario
                    .classes
                    .iter()
                    .position(|c| c.name == class)
                    .unwrap_or(0);
                self.heavy.push((class, part, times));
                self.at(self.now + for_s * s, Event::Over(i, vec![class]));
            }
            FaultKind::Partition {
                dispatchers,
                engines,
                for_s,
            } => {
                let engines = self.which(&engines);
                for g in &dispatchers {
                    self.cut.extend(engines.iter().map(|e| (*g, *e)));
                }
                self.at(self.now + for_s * s, Event::Over(i, engines));
            }
            FaultKind::SlowLink {
                dispatchers,
                extra_ms,
                for_s,
            } => {
                dispatchers
                    .iter()
                    .for_each(|g| *self.slow.entry(*g).or_default() += extra_ms);
                self.at(self.now + for_s * s, Event::Over(i, vec![]));
            }
            FaultKind::Reset { engines } => {
                for e in self.which(&engines) {
                    self.lose_all(e, Outcome::Reset);
                    self.rewake(e);
                }
            }
            FaultKind::Drain { engines, for_s } => {
                for e in self.which(&engines) {
                    self.list(e, EngineState::Draining);
                    self.at(self.now + for_s * s, Event::Step(Step::ListIn(e)));
                }
            }
            FaultKind::RollingRestart { each_s, drain_s } => {
                for e in 0..self.engines.len() {
                    let at = self.now + e as f64 * each_s * s;
                    self.at(at, Event::Step(Step::ListOut(e)));
                    self.at(at + drain_s * s, Event::Step(Step::ListIn(e)));
                }
            }
            FaultKind::AdministrativeDrain {
                engines,
                for_s,
                restart_after_s,
            } => {
                for e in self.which(&engines) {
                    for g in 0..self.dispatchers.len() {
                        // Operators call one gateway after the other.
                        let at = self.now + 50.0 * g as f64;
                        self.at(
                            at,
                            Event::Hand {
                                gateway: g,
                                engine: e,
                                out: true,
                            },
                        );
                    }
                    self.at(self.now + restart_after_s * s, Event::Step(Step::Start(e)));
                    self.at(self.now + for_s * s, Event::Step(Step::HandIn(e)));
                }
            }
        }
    }

    fn over(&mut self, i: usize, engines: Vec<usize>) {
        match self.scenario.faults[i].what.clone() {
            FaultKind::Hang { .. } => {
                for e in engines {
                    self.engines[e].model.hang(self.now, false);
                    self.rewake(e);
                }
            }
            FaultKind::Neighbour { .. } => {
                for e in engines {
                    self.engines[e].model.neighbour(self.now, 0.0);
                    self.rewake(e);
                }
            }
            FaultKind::StaleList { extra_s, .. } => self.list_extra -= extra_s * 1000.0,
            FaultKind::RegistryOutage { .. } => {
                self.list_away = false;
                for (g, e, entry) in std::mem::take(&mut self.held_news) {
                    let at = self.now.to_bits();
                    self.at(
                        self.now + 1.0,
                        Event::News {
                            gateway: g,
                            engine: e,
                            entry: Box::new(entry),
                            at,
                        },
                    );
                }
            }
            FaultKind::HeavyTail { .. } => {
                let first = self
                    .heavy
                    .iter()
                    .position(|h| Some(&h.0) == engines.first());
                if let Some(n) = first {
                    self.heavy.remove(n);
                }
            }
            FaultKind::Partition { dispatchers, .. } => {
                for g in dispatchers {
                    self.cut
                        .retain(|(cut, e)| *cut != g || !engines.contains(e));
                }
            }
            FaultKind::SlowLink {
                dispatchers,
                extra_ms,
                ..
            } => {
                for g in dispatchers {
                    *self.slow.entry(g).or_default() -= extra_ms;
                }
            }
            _ => {}
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Start(e) => {
                if self.engines[e].up {
                    self.end_process(e);
                }
                self.start_process(e);
                self.list(e, EngineState::Ready);
            }
            Step::ListOut(e) => self.list(e, EngineState::Draining),
            Step::ListIn(e) => {
                // It was drained to be restarted: what it still has ends with its process.
                self.end_process(e);
                self.start_process(e);
                self.list(e, EngineState::Ready);
            }
            Step::HandIn(e) => {
                for g in 0..self.dispatchers.len() {
                    let at = self.now + 50.0 * g as f64;
                    self.at(
                        at,
                        Event::Hand {
                            gateway: g,
                            engine: e,
                            out: false,
                        },
                    );
                }
            }
        }
    }

    // ---- the clock -------------------------------------------------------------------------------

    fn event(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                if self.now <= self.end {
                    self.arrive();
                    let gap = self.gap();
                    self.at(self.now + gap, Event::Arrive);
                }
            }
            Event::Again(t) => drop(self.ask(*t)),
            Event::Leave { gateway, request } => {
                let Some(t) = self.dispatchers[gateway]
                    .tries
                    .get_mut(&request)
                    .filter(|t| !t.over)
                else {
                    return;
                };
                t.over = true;
                let class = t.class;
                self.day.classes[class].ends.left += 1;
                self.checker.left((gateway, request));
                self.decide(gateway, |d, now| d.leave(now, request));
                self.close(gateway, request);
            }
            Event::Reach {
                engine,
                process,
                attempt,
                job,
            } => self.reach(engine, process, attempt, *job),
            Event::Cancel { engine, attempt } => {
                let x = &mut self.engines[engine];
                if let Some(id) = x.ids.remove(&attempt) {
                    x.jobs.remove(&id);
                    let waits = x.model.cancel(self.now, id);
                    if let Some(waits) = waits {
                        self.spent(attempt, &waits);
                    }
                    self.rewake(engine);
                }
            }
            Event::Wake { engine, stamp } => {
                if self.engines[engine].stamp == stamp {
                    self.wake(engine);
                }
            }
            Event::Notes { engine, stamp } => {
                if self.engines[engine].note_stamp == stamp {
                    self.notes(engine);
                }
            }
            Event::Back {
                attempt,
                outcome,
                report,
            } => {
                let Attempt { gateway, id } = attempt;
                let Some((_, sent)) = self.dispatchers[gateway].out.remove(&id) else {
                    return;
                };
                if matches!(outcome, Outcome::Reset | Outcome::Unreachable)
                    && let Some(t) = self.dispatchers[gateway].tries.get_mut(&id.request)
                {
                    t.lost += self.now - sent;
                }
                self.mark(8, gateway as u64, id.request << 4 | outcome as u64);
                self.decide(gateway, |d, now| d.ended(now, id, outcome, report));
                self.close(gateway, id.request);
            }
            Event::Noted { attempt, note } => {
                if self.dispatchers[attempt.gateway]
                    .out
                    .contains_key(&attempt.id)
                {
                    self.decide(attempt.gateway, |d, now| d.note(now, attempt.id, note));
                }
            }
            Event::Tick { gateway, at } => {
                if self.dispatchers[gateway].tick_at.map(f64::to_bits) == Some(at) {
                    self.dispatchers[gateway].tick_at = None;
                    self.decide(gateway, |d, now| d.tick(now));
                }
            }
            Event::News {
                gateway,
                engine,
                entry,
                at,
            } => {
                // Messages may overtake each other; the news of a moment never go behind later ones.
                let known = self.dispatchers[gateway].news.insert(engine, at);
                if let Some(known) = known.filter(|k| *k > at) {
                    self.dispatchers[gateway].news.insert(engine, known);
                    return;
                }
                self.mark(9, gateway as u64, engine as u64);
                self.checker
                    .told(self.now, gateway, engine, entry.state == EngineState::Ready);
                self.decide(gateway, |d, now| {
                    d.engines(now, ListUpdate::Patch, vec![*entry])
                });
            }
            Event::Hand {
                gateway,
                engine,
                out,
            } => {
                let name = self.engines[engine].name.clone();
                self.checker.told(self.now, gateway, engine, !out);
                self.decide(gateway, |d, now| {
                    d.administratively_drained(now, &name, out)
                });
            }
            Event::Fault(i) => self.trouble(i),
            Event::Over(i, engines) => self.over(i, engines),
            Event::Step(step) => self.step(step),
            Event::Look => self.look(),
        }
    }

    fn notes(&mut self, e: usize) {
        let notes = self.engines[e].model.notes(self.now);
        let lost = self.scenario.net.lost_notes;
        for (id, note) in notes {
            let Some(attempt) = self.engines[e].jobs.get(&id).copied() else {
                continue;
            };
            let arrives = !self.lists.chance(lost) && !self.cut.contains(&(attempt.gateway, e));
            if arrives {
                let at = self.now + self.delay(attempt.gateway, e);
                self.at(at, Event::Noted { attempt, note });
            }
        }
        self.rewake(e);
    }

    /// The end of a window: how the engines were used in it.
    fn look(&mut self) {
        let now = self.now;
        let mut done = 0.0;
        let mut bears = 0.0;
        for x in &mut self.engines {
            x.model.advance(now);
            done += x.model.done;
            bears += x.model.params().cores * x.model.params().speed;
        }
        let serving = self
            .engines
            .iter()
            .filter(|x| x.up && !x.fell && x.listed == EngineState::Ready)
            .count();
        let occupied = (done - self.done_at_window) / (bears * WINDOW_S * 1000.0).max(1.0);
        self.done_at_window = done;
        let w = self.window_of(now - 1.0);
        (w.occupied, w.serving) = (occupied, serving);
        if now < self.end {
            self.at(now + WINDOW_S * 1000.0, Event::Look);
        }
    }
}

/// All late look-ups of a day, by their gateway: for reports.
pub fn late_by_gateway(day: &RunReport) -> Vec<(u32, &LateCauses)> {
    day.late.iter().map(|(g, l)| (*g, l)).collect()
}
