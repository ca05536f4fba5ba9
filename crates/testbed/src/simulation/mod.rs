//! A simulation of a fleet in virtual time: clients, dispatchers with their decisions, messages, engines,
//! the endpoint list and faults. One seed gives one run, to the last event.

mod arrivals;
mod dispatchers;
pub mod emulator;
mod engines;
mod event_loop;
mod events;
mod faults;
pub mod policy;
pub mod report;
pub mod rules;
#[cfg(test)]
mod tests;

use crate::random::{Stream, Streams, zipf};
use crate::scenario::{EngineSelection, FaultKind, Scenario};
use crate::simulation::emulator::{Emulator, Job, JobId, Waits};
use events::{Attempt, ClientRequest, Event, FaultStep, ScheduledEvent};
use hdrhistogram::Histogram;
use policy::{BaselineDispatcher, Dispatch, Policy};
use query_dispatcher::core::{Answer, AttemptId, Command, Core, CoreLimits, NewRequest};
use query_dispatcher::{EngineEntry, EngineState, ListUpdate, Outcome, ProgressNote};
use report::{ClassReport, LateCauses, OutcomeCounts, RunReport, WINDOW_S, WeightedValue, Window};
use rules::Checker;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

/// The day begins at this moment, in milliseconds: spans before it are in the past, as on a real clock.
const START_MS: f64 = 1_000_000.0;
/// After the last arrival the day goes on for so long, in milliseconds.
const RUN_OUT_MS: f64 = 60_000.0;
/// The same bounds as the program's.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
const PAGE_TIMEOUT: Duration = Duration::from_millis(600);
struct SimulatedEngine {
    name: String,
    kind: usize,
    zone: usize,
    model: Emulator,
    process: u32,
    up: bool,
    /// As the list has it.
    listed_state: EngineState,
    jobs: BTreeMap<JobId, Attempt>,
    ids: BTreeMap<Attempt, JobId>,
    next_job: JobId,
    stamp: u64,
    note_stamp: u64,
    overloaded: bool,
}

struct SimulatedDispatcher {
    zone: usize,
    decisions: Box<dyn Dispatch>,
    tick_at: Option<f64>,
    open_requests: BTreeMap<u64, ClientRequest>,
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
    engines: Vec<SimulatedEngine>,
    dispatchers: Vec<SimulatedDispatcher>,
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
    delayed_list_events: Vec<(usize, usize, EngineEntry)>,
    buckets: Vec<(f64, f64)>,
    day: RunReport,
    done_at_window: f64,
    hash: u64,
}

/// Plays a scenario with a policy and a seed.
pub fn play(scenario: &Scenario, policy: Policy, seed: u64) -> RunReport {
    let streams = Streams::new(seed);
    play_with(scenario, seed, &mut |g, zone| {
        decisions(scenario, policy, &streams, g, zone)
    })
}

fn decisions(
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
        answer_margin: ANSWER_MARGIN,
        page_timeout: PAGE_TIMEOUT,
    };
    match policy {
        // Settings were checked with their scenario; should the core still refuse them, nothing is
        // dispatched at all.
        Policy::Module => match Core::new(settings, random.bits(), bounds) {
            Ok(core) => Box::new(core),
            Err(_) => Box::new(BaselineDispatcher::new(Policy::Random, vec![], random)),
        },
        baseline => {
            let fragile = scenario.classes.iter().map(|c| c.non_idempotent).collect();
            Box::new(BaselineDispatcher::new(baseline, fragile, random))
        }
    }
}

/// Plays a scenario with whatever decides at each gateway.
pub fn play_with(
    scenario: &Scenario,
    seed: u64,
    decisions: &mut dyn FnMut(usize, usize) -> Box<dyn Dispatch>,
) -> RunReport {
    let mut simulation = Simulation::new(scenario, seed, decisions);
    simulation.run();
    simulation.finish()
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
        decisions: &mut dyn FnMut(usize, usize) -> Box<dyn Dispatch>,
    ) -> Self {
        let streams = Streams::new(seed);
        let kinds = scenario.kind_names();
        let mut engines = vec![];
        for set in &scenario.engines {
            for _ in 0..set.count {
                let n = engines.len();
                let kind = kinds.iter().position(|k| *k == set.kind).unwrap_or(0);
                engines.push(SimulatedEngine {
                    name: format!("e{n:04}"),
                    kind,
                    zone: n % scenario.zones.len(),
                    model: Emulator::new(scenario.kind(&set.kind), START_MS, true),
                    process: 1,
                    up: true,
                    listed_state: EngineState::Ready,
                    jobs: BTreeMap::new(),
                    ids: BTreeMap::new(),
                    next_job: 1,
                    stamp: 0,
                    note_stamp: 0,
                    overloaded: false,
                });
            }
        }
        let dispatchers = (0..scenario.dispatchers).map(|g| {
            let zone = g % scenario.zones.len();
            SimulatedDispatcher {
                zone,
                decisions: decisions(g, zone),
                tick_at: None,
                open_requests: BTreeMap::new(),
                out: BTreeMap::new(),
                delay: streams.numbered("delays", g),
                news: BTreeMap::new(),
            }
        });
        let classes = scenario.classes.iter().map(|c| ClassReport {
            name: c.name.clone(),
            priority_weight: WeightedValue::default(),
            outcomes: OutcomeCounts::default(),
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
            delayed_list_events: vec![],
            buckets,
            day,
            done_at_window: 0.0,
            hash: 0xcbf2_9ce4_8422_2325,
            scenario,
        }
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse(ScheduledEvent {
            at: at.max(self.now),
            seq: self.seq,
            event,
        }));
    }

    /// Mixes an event into the day's hash: its moment in microseconds, what it is, and whose.
    fn add_to_hash(&mut self, what: u64, a: u64, b: u64) {
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
            self.with_decisions(g, |d, now| {
                d.update_endpoints(now, ListUpdate::Stale, entries)
            });
        }
        for (i, t) in self.scenario.faults.iter().enumerate() {
            self.schedule(START_MS + t.at_s * 1000.0, Event::Fault(i));
        }
        let first = self.gap();
        self.schedule(START_MS + first, Event::Arrive);
        self.schedule(START_MS + WINDOW_S * 1000.0, Event::Look);
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
        self.checker.finish(self.now);
        self.day.broken = self.checker.violations().to_vec();
        self.day.latest_after_notice_ms = self.checker.latest_send_after_notice_ms;
        self.day.hash = self.hash;
        self.day
    }
}

/// All late look-ups of a day, by their gateway: for reports.
pub fn late_by_dispatcher(day: &RunReport) -> Vec<(u32, &LateCauses)> {
    day.late.iter().map(|(g, l)| (*g, l)).collect()
}
