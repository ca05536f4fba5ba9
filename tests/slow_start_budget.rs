//! Simulates the work that all processes of all dispatchers send to one engine from its start until it has
//! warmed up. Real request cores run on an injected clock with fixed seeds, and each process has more
//! requests than the engine sustains.
//!
//! The limit: within any window of `overload_window`, the engine receives at most N + 2 * sqrt(N) + 2
//! requests of mean work, where N is `overload_multiple` times the number of such requests that its
//! capacity at the window's start serves in that time. The rule is violated by a window over the limit if
//! processes that had been notified of the engine's start sent more than two thirds of its work.
//!
//! `cargo test --test slow_start_budget -- --nocapture` prints a line for each scenario, fleet size and
//! mean work.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::{class, engine_entry};
use oorandom::Rand64;
use query_dispatcher::core::{
    Answer, AttemptId, Command, Core, CoreLimits, NewRequest, RequestId, StartAttempt,
};
use query_dispatcher::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Start of the engine as a Unix time in milliseconds: its size exposes errors of precision with large times.
const START: f64 = 1.79e12;
const ENGINE: &str = "cold";

/// One process of a dispatcher: when it runs, and when it learns of the engine and of other processes.
#[derive(Clone)]
struct ProcessLifetime {
    starts_at: f64,
    ends_at: f64,
    /// Accepts no requests from this time on.
    closes_at: f64,
    /// Knows of the engine's start from this time on; before, it treats the engine as the warm one that it
    /// was.
    notified_at: f64,
    /// Numbers of live processes of this dispatcher, each with the time at which it is reported to this one.
    process_counts: Vec<(f64, u32)>,
}

/// The requests that clients of a process send for the engine.
#[derive(Clone)]
struct Demand {
    starts_at: f64,
    /// Number of requests that are kept waiting at all times.
    backlog: usize,
    /// Arrivals beside the backlog, in requests per second.
    rate: f64,
    /// How long a request waits, in milliseconds.
    timeout: f64,
}

/// The work of one class of requests.
struct WorkDistribution {
    /// Share of the class among all requests, relative to the other classes.
    weight: f64,
    /// Mean work of a request, in core milliseconds.
    mean: f64,
    /// Work is uniform from `1 - spread` to `1 + spread` times the mean.
    spread: f64,
}

struct Scenario {
    settings: Settings,
    classes: Vec<WorkDistribution>,
    /// The processes of each dispatcher and the demand of its clients.
    dispatchers: Vec<(Vec<ProcessLifetime>, Demand)>,
    /// Answers report the requests in flight and arrive when the work is done; otherwise they arrive after
    /// 1 ms without a report.
    reports_load: bool,
    /// Share of attempts that the engine rejects.
    rejection_share: f64,
    /// The list holds a second engine, which never answers.
    with_hung_engine: bool,
    /// Nothing indicates more dispatchers than are configured.
    fleet_size_confirmed: bool,
}

struct SentRequest {
    at: f64,
    work: f64,
    /// The sender knew of the engine's start.
    notified: bool,
}

/// Slow-start rules as a site sets them, for an engine with eight cores.
fn settings(dispatchers: u32) -> Settings {
    let mut settings = common::test_settings(vec![]);
    settings.dispatchers = dispatchers;
    settings.rules.initial_warm_up_capacity = 0.3;
    settings.rules.overload_multiple = 4.0;
    settings.rules.overload_window = 2000.0;
    settings.rules.warm_up_period = 15_000.0;
    settings
}

impl Scenario {
    /// Mean work of a request over all classes.
    fn mean_work(&self) -> f64 {
        let total_weight: f64 = self.classes.iter().map(|c| c.weight).sum();
        self.classes.iter().map(|c| c.weight * c.mean).sum::<f64>() / total_weight
    }
}

/// The engine's state as its answers report it: it works on as many requests at a time as its age provides
/// cores.
#[derive(Default)]
struct SimulatedEngine {
    /// Work that was left at `updated_at`.
    remaining_work: f64,
    updated_at: f64,
    in_flight: usize,
}

/// One process of a dispatcher with its request core.
struct Process<'a> {
    scenario: &'a Scenario,
    lifetime: &'a ProcessLifetime,
    demand: &'a Demand,
    core: Core,
    rng: Rand64,
    notified: bool,
    listed: bool,
    work_by_request: BTreeMap<RequestId, f64>,
    waiting: usize,
    /// Attempts in flight, each with the time of its answer.
    in_flight: Vec<(f64, AttemptId)>,
    /// How many of the lifetime's process counts the core has received.
    process_counts_applied: usize,
}

impl<'a> Process<'a> {
    fn new(
        scenario: &'a Scenario,
        lifetime: &'a ProcessLifetime,
        demand: &'a Demand,
        seed: u64,
    ) -> Self {
        let limits = CoreLimits {
            max_open_requests: 20_000,
            answer_margin: Duration::ZERO,
            page_timeout: Duration::from_millis(600),
        };
        let rng = Rand64::new(u128::from(seed) << 64 | 0x5eed);
        let core = Core::new(scenario.settings.clone(), seed, limits).unwrap();
        let notified = lifetime.starts_at >= lifetime.notified_at;
        let (work_by_request, in_flight) = (BTreeMap::new(), vec![]);
        let (listed, waiting, process_counts_applied) = (false, 0, 0);
        Process {
            scenario,
            lifetime,
            demand,
            core,
            rng,
            notified,
            listed,
            work_by_request,
            waiting,
            in_flight,
            process_counts_applied,
        }
    }

    fn update_list(&mut self, now: f64) {
        if self.scenario.fleet_size_confirmed {
            self.core.confirm_configured_fleet_size();
        }
        let engine = |started| EngineEntry {
            started,
            ..engine_entry(ENGINE)
        };
        // A notified process lists the engine from its start on; the others already list it as a warm one.
        if !self.listed && (now >= START || !self.notified) {
            let mut entries = vec![engine(self.notified.then_some(START))];
            if self.scenario.with_hung_engine {
                entries.push(engine_entry("hung"));
            }
            self.core.update_endpoints(now, ListUpdate::Stale, entries);
            self.listed = true;
        }
        if !self.notified && now >= self.lifetime.notified_at {
            self.notified = true;
            self.core
                .update_endpoints(now, ListUpdate::Patch, vec![engine(Some(START))]);
        }
    }

    /// Returns the number of requests that arrive in this step.
    fn arrivals(&mut self, now: f64, step: f64) -> usize {
        if now < self.demand.starts_at || now >= self.lifetime.closes_at {
            return 0;
        }
        let rate = self.demand.rate * step / 1000.0;
        let new = rate.floor() as usize + usize::from(self.rng.rand_float() < rate.fract());
        self.demand.backlog.saturating_sub(self.waiting) + new
    }

    fn open(&mut self, now: f64) {
        let classes = &self.scenario.classes;
        let mut left = self.rng.rand_float() * classes.iter().map(|c| c.weight).sum::<f64>();
        let drawn = classes.iter().position(|c| {
            left -= c.weight;
            left < 0.0
        });
        let class = drawn.unwrap_or(0);
        let distribution = &classes[class];
        let work =
            distribution.mean * (1.0 + distribution.spread * (2.0 * self.rng.rand_float() - 1.0));
        let deadline = now + self.demand.timeout;
        let request = NewRequest {
            class,
            tenant: None,
            group: None,
            deadline,
            work: Some(work),
            memory_mb: None,
        };
        let id = self.core.open(now, request);
        self.work_by_request.insert(id, work);
        self.waiting += 1;
    }

    /// Runs one step: process counts, the endpoint list, due answers, the timer, arrivals and the core's
    /// commands.
    fn step(
        &mut self,
        now: f64,
        step: f64,
        engine: &mut SimulatedEngine,
        sent: &mut Vec<SentRequest>,
    ) {
        while let Some((_, count)) = self
            .lifetime
            .process_counts
            .get(self.process_counts_applied)
            .filter(|c| c.0 <= now)
        {
            self.core.set_process_count(*count);
            self.process_counts_applied += 1;
        }
        self.update_list(now);
        let due: Vec<_> = self.in_flight.extract_if(.., |a| a.0 <= now).collect();
        for (_, attempt) in due {
            let rejected = self.rng.rand_float() < self.scenario.rejection_share;
            engine.in_flight = engine.in_flight.saturating_sub(1);
            let report = if self.scenario.reports_load {
                vec![engine.in_flight as f64, 0.1]
            } else {
                vec![]
            };
            self.core.attempt_ended(
                now,
                attempt,
                if rejected {
                    Outcome::Rejected
                } else {
                    Outcome::Served
                },
                report,
            );
        }
        if self.core.next_wakeup().is_some_and(|at| at <= now) {
            self.core.tick(now);
        }
        for _ in 0..self.arrivals(now, step) {
            self.open(now);
        }
        loop {
            let commands = self.core.take_commands();
            if commands.is_empty() {
                break;
            }
            commands
                .into_iter()
                .for_each(|c| self.execute(now, c, engine, sent));
        }
    }

    fn execute(
        &mut self,
        now: f64,
        command: Command,
        engine: &mut SimulatedEngine,
        sent: &mut Vec<SentRequest>,
    ) {
        match command {
            Command::Start(StartAttempt {
                attempt,
                engine: name,
                ..
            }) if name == ENGINE => {
                let work = self
                    .work_by_request
                    .get(&attempt.request)
                    .copied()
                    .unwrap_or(0.0);
                self.waiting = self.waiting.saturating_sub(1);
                sent.push(SentRequest {
                    at: now,
                    work,
                    notified: self.notified,
                });
                engine.in_flight += 1;
                let capacity = self.scenario.capacity(now);
                engine.remaining_work =
                    (engine.remaining_work - (now - engine.updated_at) * capacity).max(0.0) + work;
                engine.updated_at = now;
                let duration = if self.scenario.reports_load {
                    work.max(engine.remaining_work / capacity)
                } else {
                    1.0
                };
                self.in_flight.push((now + duration, attempt));
            }
            Command::Cancel { attempt } => {
                let before = self.in_flight.len();
                self.in_flight.retain(|a| a.1 != attempt);
                engine.in_flight = engine
                    .in_flight
                    .saturating_sub(before - self.in_flight.len());
            }
            Command::Answer { request, answer } => {
                self.work_by_request.remove(&request);
                if !matches!(answer, Answer::Served(_)) {
                    self.waiting = self.waiting.saturating_sub(1);
                }
            }
            _ => {}
        }
    }
}

impl Scenario {
    /// Returns the number of cores that the engine has for work now.
    fn capacity(&self, now: f64) -> f64 {
        let rules = &self.settings.rules;
        let age = ((now - START) / rules.warm_up_period).clamp(0.0, 1.0);
        self.settings.kinds[0].cores
            * (rules.initial_warm_up_capacity + (1.0 - rules.initial_warm_up_capacity) * age)
    }

    /// Runs all processes and returns what they send to the engine, in order.
    fn simulate(&self, step: f64, seed: u64) -> Vec<SentRequest> {
        let mut rng = Rand64::new(u128::from(seed));
        let lifetimes = self
            .dispatchers
            .iter()
            .flat_map(|(lifetimes, demand)| lifetimes.iter().map(move |l| (l, demand)));
        // Each process runs at its own offset within a step.
        let mut processes: Vec<(f64, Process)> = lifetimes
            .map(|(lifetime, demand)| {
                (
                    rng.rand_float() * step,
                    Process::new(self, lifetime, demand, rng.rand_u64()),
                )
            })
            .collect();
        processes.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut sent, mut engine) = (vec![], SimulatedEngine::default());
        let mut now = START - 2200.0;
        while now < START + self.settings.rules.warm_up_period {
            for (offset, process) in &mut processes {
                let at = now + *offset;
                if (process.lifetime.starts_at..process.lifetime.ends_at).contains(&at) {
                    process.step(at, step, &mut engine, &mut sent);
                }
            }
            now += step;
        }
        sent
    }

    /// Checks each window that ends before the engine has warmed up. Returns the largest ratio of a
    /// window's work to the limit, whether the rule was violated, and the number of sent requests.
    fn check_windows(&self, step: f64, seed: u64) -> (f64, bool, usize) {
        let sent = self.simulate(step, seed);
        let (rules, mean_work) = (&self.settings.rules, self.mean_work());
        let (mut first, mut window_work, mut notified_work) = (0, 0.0, 0.0);
        let (mut peak, mut violated) = (0.0f64, false);
        for (i, request) in sent.iter().enumerate().filter(|(_, s)| s.at >= START) {
            if request.at >= START + rules.warm_up_period {
                break;
            }
            if i > 0 && window_work == 0.0 {
                first = i;
            }
            window_work += request.work;
            notified_work += if request.notified { request.work } else { 0.0 };
            while sent[first].at <= request.at - rules.overload_window {
                let old = &sent[first];
                window_work -= old.work;
                notified_work -= if old.notified { old.work } else { 0.0 };
                first += 1;
            }
            let expected = rules.overload_multiple
                * self.capacity(request.at - rules.overload_window)
                * rules.overload_window
                / mean_work;
            let limit = expected + 2.0 * expected.sqrt() + 2.0;
            peak = peak.max(window_work / mean_work / limit);
            violated |= window_work / mean_work > limit && notified_work > window_work * 2.0 / 3.0;
        }
        (peak, violated, sent.len())
    }
}

const END: f64 = START + 17_000.0;

/// A process that runs during the whole simulation.
fn permanent_process(notified_at: f64) -> ProcessLifetime {
    ProcessLifetime {
        starts_at: START - 2100.0,
        ends_at: END,
        closes_at: END,
        notified_at,
        process_counts: vec![],
    }
}

/// A class whose requests all have this work, which the settings name as the class's usual work too.
fn uniform_class(work: f64) -> (Class, WorkDistribution) {
    // The latency objective lets a request wait for the whole warm-up; the slowdown makes the usual work
    // equal `work`.
    let class = Class {
        latency_objective_slowdown: 60_000.0 / work - 1.0,
        ..class(1.0, 60_000.0)
    };
    (
        class,
        WorkDistribution {
            weight: 1.0,
            mean: work,
            spread: 0.0,
        },
    )
}

/// A demand that exceeds the process's share of the engine at all times.
fn constant_backlog() -> Demand {
    Demand {
        starts_at: 0.0,
        backlog: 8,
        rate: 0.0,
        timeout: 60_000.0,
    }
}

fn steady_load(dispatchers: u32, mean_work: f64, _: &mut Rand64) -> Scenario {
    let (class, distribution) = uniform_class(mean_work);
    let mut settings = settings(dispatchers);
    settings.classes = vec![class];
    Scenario {
        settings,
        classes: vec![distribution],
        dispatchers: (0..dispatchers)
            .map(|_| (vec![permanent_process(0.0)], constant_backlog()))
            .collect(),
        reports_load: false,
        rejection_share: 0.0,
        with_hung_engine: false,
        fleet_size_confirmed: false,
    }
}

/// Number of dispatchers and mean work of a large fleet with small requests: N is large there, and the
/// limit's margin for random variation is small relative to it.
const LARGE: (u32, f64) = (300, 150.0);

/// Runs a scenario at every selected fleet size and mean work. Returns the number of seeds with a window
/// over the limit and the number of seeds in which the rule was violated.
fn play(
    name: &str,
    selected: impl Fn(u32, f64) -> bool,
    scenario: impl Fn(u32, f64, &mut Rand64) -> Scenario,
) -> (usize, usize) {
    let mut totals = (0, 0);
    for (dispatchers, seeds, step) in [
        (2u32, 12u64, 125.0),
        (20, 4, 200.0),
        (30, 4, 200.0),
        (300, 1, 400.0),
    ] {
        for mean_work in [950.0, 150.0] {
            if !selected(dispatchers, mean_work) {
                continue;
            }
            let began = std::time::Instant::now();
            let (mut peaks, mut over_limit, mut violations, mut sends) = (vec![], 0, 0, 0);
            for seed in 0..seeds {
                let mut rng = Rand64::new(u128::from(seed * 1000 + u64::from(dispatchers)));
                let scenario = scenario(dispatchers, mean_work, &mut rng);
                let (peak, violated, sent) =
                    scenario.check_windows(step, seed * 7919 + u64::from(dispatchers));
                peaks.push(peak);
                sends += sent;
                over_limit += usize::from(peak > 1.0);
                violations += usize::from(violated);
            }
            let mean = peaks.iter().sum::<f64>() / peaks.len() as f64;
            let sd =
                (peaks.iter().map(|p| (p - mean).powi(2)).sum::<f64>() / peaks.len() as f64).sqrt();
            let largest = peaks.iter().copied().fold(0.0, f64::max);
            println!(
                "{name:<28} {dispatchers:>4} {mean_work:>5} ms  {seeds:>4} seeds  \
                 {over_limit:>3} over limit {violations:>3} violations  \
                 largest {largest:.3}  mean {mean:.3} sd {sd:.3}  \
                 margin {:>5.1}  {} sends {} ms",
                (1.0 - mean) / sd.max(1e-9),
                sends / seeds as usize,
                began.elapsed().as_millis(),
            );
            totals = (totals.0 + over_limit, totals.1 + violations);
        }
    }
    totals
}

/// Asserts that no window is over the limit.
fn assert_within_limit(name: &str, scenario: impl Fn(u32, f64, &mut Rand64) -> Scenario) {
    assert_eq!(
        play(name, |_, _| true, scenario),
        (0, 0),
        "{name}: seeds over the limit, seeds that violate the rule"
    );
}

/// Asserts that the rule is not violated, whatever processes send that were not notified of the start.
fn assert_rule_holds(name: &str, scenario: impl Fn(u32, f64, &mut Rand64) -> Scenario) {
    assert_eq!(
        play(name, |_, _| true, scenario).1,
        0,
        "{name}: seeds that violate the rule"
    );
}

/// Draws a time during the warm-up, away from its start and its end.
fn time_during_warm_up(rng: &mut Rand64) -> f64 {
    START + 1000.0 + rng.rand_float() * 12_000.0
}

#[test]
fn all_dispatchers_under_steady_load() {
    assert_within_limit("steady load", steady_load);
}

#[test]
fn burst_after_idle() {
    assert_within_limit("burst after idle", |dispatchers, mean_work, rng| {
        let mut scenario = steady_load(dispatchers, mean_work, rng);
        let at = time_during_warm_up(rng);
        scenario
            .dispatchers
            .iter_mut()
            .for_each(|d| d.1.starts_at = at);
        scenario
    });
}

/// A few dispatchers get several times the mean traffic, most get less than the mean.
#[test]
fn unequal_shares_of_traffic() {
    assert_within_limit("unequal shares", |dispatchers, mean_work, rng| {
        let mut scenario = steady_load(dispatchers, mean_work, rng);
        let shares: Vec<f64> = (0..dispatchers)
            .map(|_| (1.0 - rng.rand_float()).ln().powi(2))
            .collect();
        let total: f64 = shares.iter().sum();
        // One and a half times the load that overloads the warm engine.
        let rate = 1.5 * 4.0 * 8.0 * 1000.0 / mean_work;
        for (dispatcher, share) in scenario.dispatchers.iter_mut().zip(&shares) {
            dispatcher.1 = Demand {
                starts_at: 0.0,
                backlog: 0,
                rate: rate * share / total,
                timeout: 150.0,
            };
        }
        scenario
    });
}

/// Look-ups, reports and non-idempotent loads, each of a tenth to almost twice its class's mean work.
fn unequal_work(dispatchers: u32, mean_work: f64, rng: &mut Rand64) -> Scenario {
    let mut scenario = steady_load(dispatchers, mean_work, rng);
    let (light, heavy) = (mean_work / 3.0, mean_work * 3.4);
    let (look_up_class, look_up) = uniform_class(light);
    let (report_class, report) = uniform_class(heavy);
    let (load_class, load) = uniform_class(heavy);
    scenario.settings.classes = vec![
        Class { ..look_up_class },
        Class {
            priority_weight: 5.0,
            threads: 3.0,
            ..report_class
        },
        Class {
            priority_weight: 4.0,
            threads: 2.0,
            idempotency: Idempotency::NonIdempotent,
            ..load_class
        },
    ];
    for class in scenario.settings.classes.iter_mut().skip(1) {
        class.latency_objective_slowdown = class.latency_objective * class.threads / heavy - 1.0;
    }
    scenario.classes = vec![
        WorkDistribution {
            weight: 13.0,
            spread: 0.9,
            ..look_up
        },
        WorkDistribution {
            weight: 2.5,
            spread: 0.9,
            ..report
        },
        WorkDistribution {
            weight: 1.0,
            spread: 0.9,
            ..load
        },
    ];
    scenario
}

#[test]
fn loads_with_unequal_work() {
    assert_within_limit("unequal work", unequal_work);
}

#[test]
fn retries_after_refusals() {
    assert_within_limit("retries after refusals", |dispatchers, mean_work, rng| {
        let mut scenario = steady_load(dispatchers, mean_work, rng);
        // Requests wait 300 ms, and each refused one is replaced by another at once.
        scenario
            .dispatchers
            .iter_mut()
            .for_each(|d| d.1.timeout = 300.0);
        scenario
    });
}

#[test]
fn rejections_by_the_engine() {
    assert_within_limit("engine rejections", |dispatchers, mean_work, rng| {
        Scenario {
            rejection_share: 0.5,
            ..steady_load(dispatchers, mean_work, rng)
        }
    });
}

/// Requests that another engine never answers migrate to the warming engine.
#[test]
fn migrations_and_hedged_requests() {
    assert_within_limit("migrations and hedging", |dispatchers, mean_work, rng| {
        let mut scenario = steady_load(dispatchers, mean_work, rng);
        scenario.settings.limits.hedging = true;
        Scenario {
            with_hung_engine: true,
            ..scenario
        }
    });
}

/// Restarts this share of the dispatchers within `spread` milliseconds; each is down for 50 ms.
fn restarted(share: f64, spread: f64) -> impl Fn(u32, f64, &mut Rand64) -> Scenario {
    move |dispatchers, mean_work, rng| {
        let mut scenario = steady_load(dispatchers, mean_work, rng);
        let at = time_during_warm_up(rng);
        let count = (share * f64::from(dispatchers)).ceil() as usize;
        for dispatcher in scenario.dispatchers.iter_mut().take(count) {
            let at = at + rng.rand_float() * spread;
            let mut new = dispatcher.0[0].clone();
            let old = &mut dispatcher.0[0];
            (old.ends_at, old.closes_at, new.starts_at) = (at, at, at + 50.0);
            dispatcher.0.push(new);
        }
        scenario
    }
}

/// All dispatchers restart within half a second, faster than any rollout.
#[test]
fn all_restarted_in_the_middle() {
    assert_within_limit("all restarted", restarted(1.0, 500.0));
}

#[test]
fn a_third_restarted_in_the_middle() {
    assert_within_limit("a third restarted", restarted(0.34, 1500.0));
}

/// The new process runs beside the old one for 1.5 s; each learns of the other's start or end 250 ms late.
fn taken_over(dispatchers: u32, mean_work: f64, rng: &mut Rand64) -> Scenario {
    let mut scenario = steady_load(dispatchers, mean_work, rng);
    let at = time_during_warm_up(rng);
    for dispatcher in &mut scenario.dispatchers {
        let at = at + rng.rand_float() * 500.0;
        let mut new = dispatcher.0[0].clone();
        let old = &mut dispatcher.0[0];
        (old.closes_at, old.ends_at, old.process_counts) =
            (at + 1000.0, at + 1500.0, vec![(at + 250.0, 2)]);
        (new.starts_at, new.process_counts) = (at, vec![(at, 2), (at + 1750.0, 1)]);
        dispatcher.0.push(new);
    }
    scenario
}

#[test]
fn all_taken_over_in_the_middle() {
    assert_within_limit("all taken over", taken_over);
}

#[test]
fn all_taken_over_as_a_burst_begins() {
    assert_within_limit("taken over in a burst", |dispatchers, mean_work, rng| {
        let mut scenario = taken_over(dispatchers, mean_work, rng);
        let at = scenario.dispatchers[0].0[1].starts_at;
        scenario
            .dispatchers
            .iter_mut()
            .for_each(|d| d.1.starts_at = at + 200.0);
        scenario
    });
}

/// A third of the dispatchers treat the engine as the warm one that it was, and learn of its start 3 s late.
#[test]
fn a_third_of_the_dispatchers_learn_of_the_start_late() {
    assert_rule_holds("a third learn late", |dispatchers, mean_work, rng| {
        let mut scenario = steady_load(dispatchers, mean_work, rng);
        for dispatcher in scenario.dispatchers.iter_mut().step_by(3) {
            dispatcher.0[0].notified_at = START + 3000.0;
            dispatcher.1.backlog = 1;
        }
        scenario
    });
}

#[test]
fn half_of_the_dispatchers_are_down() {
    assert_within_limit("half are down", |dispatchers, mean_work, rng| {
        let mut scenario = steady_load(dispatchers, mean_work, rng);
        scenario.dispatchers.truncate((dispatchers / 2) as usize);
        scenario
    });
}

/// The settings name half as many dispatchers as run; only the engine's answers indicate it.
#[test]
fn twice_as_many_dispatchers_as_configured() {
    let totals = play(
        "twice as many",
        |dispatchers, mean_work| (dispatchers, mean_work) != LARGE,
        twice_as_many,
    );
    assert_eq!(
        totals,
        (0, 0),
        "seeds over the limit, seeds that violate the rule"
    );
}

/// Guards against overload by a fleet larger than configured. With `fleet_size` 150 and 300 dispatchers, an
/// engine in slow start got 1.23 times its limit in a window, all of it from dispatchers that knew of the
/// start: each took a 150th of the engine's budget, since the configured number was trusted. The line of
/// this test showed it (`largest 1.230`), as did engines whose answers report no load at 2 to 300
/// dispatchers (1.12 to 1.61); with `fleet_size` 300 it passes. No answer of the engine can correct the
/// number in time: the first window is over the limit before most dispatchers have received an answer.
#[test]
fn twice_as_many_dispatchers_as_configured_in_a_large_fleet_with_small_requests() {
    let totals = play(
        "twice as many, large",
        |dispatchers, mean_work| (dispatchers, mean_work) == LARGE,
        twice_as_many,
    );
    assert_eq!(
        totals,
        (0, 0),
        "seeds over the limit, seeds that violate the rule"
    );
}

/// The settings name half as many dispatchers as run.
fn twice_as_many(dispatchers: u32, mean_work: f64, rng: &mut Rand64) -> Scenario {
    let mut scenario = steady_load(dispatchers, mean_work, rng);
    scenario.settings.dispatchers = dispatchers.div_ceil(2);
    scenario.reports_load = true;
    scenario
}

/// The backlog of each dispatcher is so long that it sends all that it may, and answers report no load.
fn twice_as_many_without_load_reports(
    dispatchers: u32,
    mean_work: f64,
    rng: &mut Rand64,
) -> Scenario {
    let mut scenario = twice_as_many(dispatchers, mean_work, rng);
    scenario.reports_load = false;
    scenario
        .dispatchers
        .iter_mut()
        .for_each(|d| d.1.backlog = 64);
    scenario
}

/// Guards the part of a dispatcher's share that is not drawn at random: a configured number of half the
/// real one overloads the engine if its answers report no load.
#[test]
fn twice_as_many_dispatchers_as_configured_without_load_reports() {
    assert_within_limit(
        "twice as many, no reports",
        twice_as_many_without_load_reports,
    );
}

#[test]
fn twice_as_many_dispatchers_as_configured_in_a_burst_after_idle() {
    assert_within_limit("twice as many, burst", |dispatchers, mean_work, rng| {
        let mut scenario = twice_as_many_without_load_reports(dispatchers, mean_work, rng);
        let at = time_during_warm_up(rng);
        scenario
            .dispatchers
            .iter_mut()
            .for_each(|d| d.1.starts_at = at);
        scenario
    });
}

#[test]
fn twice_as_many_dispatchers_as_configured_restarted_in_the_middle() {
    assert_within_limit("twice as many, restarted", |dispatchers, mean_work, rng| {
        let mut scenario = restarted(1.0, 500.0)(dispatchers, mean_work, rng);
        scenario.settings.dispatchers = dispatchers.div_ceil(2);
        scenario
            .dispatchers
            .iter_mut()
            .for_each(|d| d.1.backlog = 64);
        scenario
    });
}

#[test]
fn twice_as_many_dispatchers_as_configured_with_unequal_work() {
    assert_within_limit(
        "twice as many, unequal work",
        |dispatchers, mean_work, rng| {
            let mut scenario = unequal_work(dispatchers, mean_work, rng);
            scenario.settings.dispatchers = dispatchers.div_ceil(2);
            scenario
                .dispatchers
                .iter_mut()
                .for_each(|d| d.1.backlog = 64);
            scenario
        },
    );
}

/// The settings name ten times as many dispatchers as run: each takes too small a share, and the limit holds.
#[test]
fn a_tenth_of_the_configured_dispatchers_run() {
    assert_within_limit("a tenth run", |dispatchers, mean_work, rng| {
        let mut scenario = steady_load(dispatchers, mean_work, rng);
        scenario.settings.dispatchers = 10 * dispatchers;
        scenario
    });
}

/// An engine that starts with a tenth of its capacity warms up within two windows, and the number of
/// dispatchers is correct and confirmed. What each dispatcher sends depends on the engine's capacity now,
/// the limit on the capacity at the window's start, which is exceeded up to twofold. Measured with every
/// scenario under these settings: 1.14 to 2.42 times the operators' limit at 2 to 300 dispatchers.
#[test]
fn a_steep_climb_with_a_confirmed_number_of_dispatchers() {
    assert_within_limit("steep climb", |dispatchers, mean_work, rng| {
        let mut scenario = steady_load(dispatchers, mean_work, rng);
        scenario.settings.rules.initial_warm_up_capacity = 0.1;
        scenario.settings.rules.warm_up_period = 4000.0;
        Scenario {
            fleet_size_confirmed: true,
            ..scenario
        }
    });
}
