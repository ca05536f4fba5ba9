//! Discrete-event simulation of a fleet in virtual time: clients, dispatchers, messages, engines, the
//! endpoint list and faults. A run is deterministic: the same scenario, policy and seed give the same events.

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

/// Start of the run in virtual milliseconds. It is above 0 so that times before the start are valid, as on
/// a real clock.
const START_MS: f64 = 1_000_000.0;
/// Virtual time that the run continues after the last arrival, in milliseconds.
const SETTLE_MS: f64 = 60_000.0;
/// Time before a request's deadline at which it is answered; as in the dispatcher program.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// Timeout for pages of results; as in the dispatcher program.
const PAGE_TIMEOUT: Duration = Duration::from_millis(600);

struct SimulatedEngine {
    name: String,
    kind: usize,
    zone: usize,
    model: Emulator,
    /// Number of the current process; connections to earlier ones are dead.
    incarnation: u32,
    up: bool,
    /// State in the endpoint list.
    listed_state: EngineState,
    jobs: BTreeMap<JobId, Attempt>,
    job_ids: BTreeMap<Attempt, JobId>,
    next_job: JobId,
    /// Number of the last scheduled wake-up; earlier ones are ignored.
    wake_generation: u64,
    /// Number of the last scheduled progress notes; earlier ones are ignored.
    note_generation: u64,
    /// Whether the failure of the model under overload has been handled.
    overloaded: bool,
}

struct SimulatedDispatcher {
    zone: usize,
    decisions: Box<dyn Dispatch>,
    next_tick: Option<f64>,
    open_requests: BTreeMap<u64, ClientRequest>,
    /// Attempts in flight, with the engine and the time at which they were sent.
    in_flight: BTreeMap<AttemptId, (usize, f64)>,
    delays: Stream,
    /// Time of the newest list event received for each engine, as bits; older events that arrive later are
    /// dropped.
    last_list_event: BTreeMap<usize, u64>,
}

/// State of a run.
struct Simulation<'a> {
    scenario: &'a Scenario,
    now: f64,
    end: f64,
    seq: u64,
    event_queue: BinaryHeap<Reverse<ScheduledEvent>>,
    engines: Vec<SimulatedEngine>,
    dispatchers: Vec<SimulatedDispatcher>,
    checker: Checker,
    arrivals: Stream,
    mix: Stream,
    sizes: Stream,
    table_groups: Stream,
    estimates: Stream,
    clients: Stream,
    list_delays: Stream,
    fault_targets: Stream,
    table_group_weights: Vec<f64>,
    /// Active heavy tails: class, fraction of its requests, factor on their work.
    heavy_tails: Vec<(usize, f64, f64)>,
    /// Pairs of dispatcher and engine that cannot reach each other.
    partitioned: BTreeSet<(usize, usize)>,
    /// Extra delay of each message of a dispatcher, in milliseconds.
    extra_delay: BTreeMap<usize, f64>,
    /// Extra delay of list events, in milliseconds.
    extra_list_delay: f64,
    registry_down: bool,
    /// Events that are held back while the registry is down: dispatcher, engine, entry.
    delayed_list_events: Vec<(usize, usize, EngineEntry)>,
    /// Token bucket of each tenant's quota: tokens and the time of the last update.
    quota_buckets: Vec<(f64, f64)>,
    report: RunReport,
    /// Work done by all engines at the end of the last window, in thread-milliseconds.
    work_done_at_window_end: f64,
    hash: u64,
}

/// Runs a scenario with a policy and a seed.
pub fn run_scenario(scenario: &Scenario, policy: Policy, seed: u64) -> RunReport {
    let streams = Streams::new(seed);
    run_scenario_with(scenario, seed, &mut |g, zone| {
        decisions(scenario, policy, &streams, g, zone)
    })
}

fn decisions(
    scenario: &Scenario,
    policy: Policy,
    streams: &Streams,
    dispatcher: usize,
    zone: usize,
) -> Box<dyn Dispatch> {
    let mut random = streams.numbered("decisions", dispatcher);
    let settings = scenario.settings(zone);
    let limits = CoreLimits {
        max_open_requests: 20_000,
        answer_margin: ANSWER_MARGIN,
        page_timeout: PAGE_TIMEOUT,
    };
    match policy {
        // Settings were checked with their scenario. If the core still rejects them, a random baseline that
        // treats every class as non-idempotent takes its place.
        Policy::Module => match Core::new(settings, random.bits(), limits) {
            Ok(core) => Box::new(core),
            Err(_) => Box::new(BaselineDispatcher::new(Policy::Random, vec![], random)),
        },
        baseline => {
            let non_idempotent = scenario.classes.iter().map(|c| c.non_idempotent).collect();
            Box::new(BaselineDispatcher::new(baseline, non_idempotent, random))
        }
    }
}

/// Runs a scenario; `decisions` creates the decisions of each dispatcher from its number and zone.
pub fn run_scenario_with(
    scenario: &Scenario,
    seed: u64,
    decisions: &mut dyn FnMut(usize, usize) -> Box<dyn Dispatch>,
) -> RunReport {
    let mut simulation = Simulation::new(scenario, seed, decisions);
    simulation.run();
    simulation.finish()
}

fn histogram() -> Histogram<u64> {
    // From one microsecond to ten minutes, with three significant digits: these bounds are always valid.
    Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|_| {
        Histogram::new_from(&Histogram::<u64>::new(3).expect("three significant digits are valid"))
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
                    incarnation: 1,
                    up: true,
                    listed_state: EngineState::Ready,
                    jobs: BTreeMap::new(),
                    job_ids: BTreeMap::new(),
                    next_job: 1,
                    wake_generation: 0,
                    note_generation: 0,
                    overloaded: false,
                });
            }
        }
        let dispatchers = (0..scenario.dispatchers).map(|g| {
            let zone = g % scenario.zones.len();
            SimulatedDispatcher {
                zone,
                decisions: decisions(g, zone),
                next_tick: None,
                open_requests: BTreeMap::new(),
                in_flight: BTreeMap::new(),
                delays: streams.numbered("delays", g),
                last_list_event: BTreeMap::new(),
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
        let quota_buckets = vec![(1.0, START_MS); tenants.len()];
        let report = RunReport {
            seconds: scenario.seconds,
            classes: classes.collect(),
            tenants,
            windows: vec![],
            attempts: 0,
            requests: 0,
            decision_calls: 0,
            decision_time_s: 0.0,
            late: BTreeMap::new(),
            violations: vec![],
            latest_send_after_notice_ms: 0.0,
            hash: 0,
            events: 0,
        };
        Simulation {
            now: START_MS,
            end: START_MS + scenario.seconds * 1000.0,
            seq: 0,
            event_queue: BinaryHeap::new(),
            engines,
            dispatchers: dispatchers.collect(),
            checker: Checker::default(),
            arrivals: streams.stream("arrivals"),
            mix: streams.stream("mix"),
            sizes: streams.stream("sizes"),
            table_groups: streams.stream("areas"),
            estimates: streams.stream("estimates"),
            clients: streams.stream("clients"),
            list_delays: streams.stream("lists"),
            fault_targets: streams.stream("troubles"),
            table_group_weights: zipf(scenario.load.areas, scenario.load.zipf),
            heavy_tails: vec![],
            partitioned: BTreeSet::new(),
            extra_delay: BTreeMap::new(),
            extra_list_delay: 0.0,
            registry_down: false,
            delayed_list_events: vec![],
            quota_buckets,
            report,
            work_done_at_window_end: 0.0,
            hash: 0xcbf2_9ce4_8422_2325,
            scenario,
        }
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.seq += 1;
        self.event_queue.push(Reverse(ScheduledEvent {
            at: at.max(self.now),
            seq: self.seq,
            event,
        }));
    }

    /// Adds an event to the FNV-1a hash of the run: its time in microseconds, its kind, and two operands.
    fn add_to_hash(&mut self, kind: u64, a: u64, b: u64) {
        self.report.events += 1;
        for n in [((self.now - START_MS) * 1000.0) as u64, kind, a, b] {
            for byte in n.to_le_bytes() {
                self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
        }
    }

    fn run(&mut self) {
        let endpoints: Vec<EngineEntry> = (0..self.engines.len()).map(|e| self.entry(e)).collect();
        for g in 0..self.dispatchers.len() {
            let entries = endpoints.clone();
            self.with_decisions(g, |d, now| {
                d.update_endpoints(now, ListUpdate::Stale, entries)
            });
        }
        for (i, fault) in self.scenario.faults.iter().enumerate() {
            self.schedule(START_MS + fault.at_s * 1000.0, Event::FaultBegin(i));
        }
        let first = self.interarrival_time();
        self.schedule(START_MS + first, Event::Arrival);
        self.schedule(START_MS + WINDOW_S * 1000.0, Event::WindowEnd);
        while let Some(Reverse(scheduled)) = self.event_queue.pop() {
            if scheduled.at > self.end + SETTLE_MS {
                break;
            }
            self.now = scheduled.at;
            self.handle_event(scheduled.event);
        }
        self.now = self.end + SETTLE_MS;
    }

    fn finish(mut self) -> RunReport {
        self.checker.finish(self.now);
        self.report.violations = self.checker.violations().to_vec();
        self.report.latest_send_after_notice_ms = self.checker.latest_send_after_notice_ms;
        self.report.hash = self.hash;
        self.report
    }
}

/// Returns the causes of late look-ups for each dispatcher.
pub fn late_by_dispatcher(report: &RunReport) -> Vec<(u32, &LateCauses)> {
    report.late.iter().map(|(g, l)| (*g, l)).collect()
}
