//! One cold engine under the sum of all processes, from its start until it is warm: real cores on an injected clock,
//! fixed seeds, each process with more work for it than it bears.
//!
//! The term: in any window of `overload_window` all processes together send it no more than N + 2 x root of N + 2 requests
//! of mean work, N being what `overload_multiple` times its capacity at the window's begin does in that time. The rule is
//! broken by a window beyond that of which over two thirds came from processes that had been told of the start.
//!
//! `cargo test --test slow_start_budget -- --nocapture` prints a line for each scenario, size and grain of work.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(
    clippy::many_single_char_names,
    reason = "names inside are not yet the field's"
)]

mod common;

use common::{class, engine_entry};
use oorandom::Rand64;
use query_dispatcher::core::{
    Answer, AttemptId, Command, Core, CoreLimits, NewRequest, RequestId, StartAttempt,
};
use query_dispatcher::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// A Unix time: what is wrong with large numbers shows here.
const START: f64 = 1.79e12;
const NAME: &str = "cold";

/// One process of a dispatcher: from when to when it lives, and what it is told.
#[derive(Clone)]
struct Life {
    from: f64,
    to: f64,
    /// Takes no request any more from then on.
    closes: f64,
    /// Knows of the engine's start from then on; before, it takes it for the warm one that it was.
    told: f64,
    /// So many processes of this dispatcher live, as it hears.
    shares: Vec<(f64, u32)>,
}

/// What its clients want of the engine.
#[derive(Clone)]
struct Demand {
    from: f64,
    /// Requests that wait at any time.
    standing: usize,
    /// Requests that come, a second.
    rate: f64,
    /// How long they wait.
    patience: f64,
}

struct Work {
    share: f64,
    work: f64,
    /// Work is drawn evenly from this part of the mean below it to as much above.
    spread: f64,
}

struct Case {
    settings: Settings,
    works: Vec<Work>,
    /// Each dispatcher's processes, and what its clients want.
    dispatchers: Vec<(Vec<Life>, Demand)>,
    /// Answers tell what is in its hand, and come when it has done the work; else at once, with no word.
    reports: bool,
    /// This part of all attempts is refused by the engine itself.
    refuses: f64,
    /// Another engine stands beside it, and never answers.
    hung: bool,
    /// Nothing speaks for more dispatchers than are configured.
    confirmed: bool,
}

struct Sent {
    at: f64,
    work: f64,
    told: bool,
}

/// The site's rules, an engine of eight cores.
fn settings(dispatchers: u32) -> Settings {
    let mut s = common::test_settings(vec![]);
    s.dispatchers = dispatchers;
    s.rules.initial_warm_up_capacity = 0.3;
    s.rules.overload_multiple = 4.0;
    s.rules.overload_window = 2000.0;
    s.rules.warm_up_period = 15_000.0;
    s
}

impl Case {
    fn mean(&self) -> f64 {
        let all: f64 = self.works.iter().map(|k| k.share).sum();
        self.works.iter().map(|k| k.share * k.work).sum::<f64>() / all
    }
}

/// What is in the engine's hand, as its answers tell: it works on as many at a time as it has cores for by its age.
#[derive(Default)]
struct Hand {
    /// Work that is left, as at `at`.
    left: f64,
    at: f64,
    requests: usize,
}

/// One process at work.
struct Process<'a> {
    case: &'a Case,
    life: &'a Life,
    demand: &'a Demand,
    core: Core,
    rng: Rand64,
    told: bool,
    listed: bool,
    works: BTreeMap<RequestId, f64>,
    waiting: usize,
    out: Vec<(f64, AttemptId)>,
    shares: usize,
}

impl<'a> Process<'a> {
    fn new(case: &'a Case, life: &'a Life, demand: &'a Demand, seed: u64) -> Self {
        let bounds = CoreLimits {
            max_open_requests: 20_000,
            answer_margin: Duration::ZERO,
            page_timeout: Duration::from_millis(600),
        };
        let rng = Rand64::new(u128::from(seed) << 64 | 0x5eed);
        let core = Core::new(case.settings.clone(), seed, bounds).unwrap();
        let told = life.from >= life.told;
        let (works, out) = (BTreeMap::new(), vec![]);
        let (listed, waiting, shares) = (false, 0, 0);
        Process {
            case,
            life,
            demand,
            core,
            rng,
            told,
            listed,
            works,
            waiting,
            out,
            shares,
        }
    }

    fn list(&mut self, now: f64) {
        if self.case.confirmed {
            self.core.confirm_configured_fleet_size();
        }
        let engine = |started| EngineEntry {
            started,
            ..engine_entry(NAME)
        };
        // Those that know of the start see the engine from then on; the others took it for a warm one before.
        if !self.listed && (now >= START || !self.told) {
            let mut all = vec![engine(self.told.then_some(START))];
            if self.case.hung {
                all.push(engine_entry("hung"));
            }
            self.core.update_endpoints(now, ListUpdate::Stale, all);
            self.listed = true;
        }
        if !self.told && now >= self.life.told {
            self.told = true;
            self.core
                .update_endpoints(now, ListUpdate::Patch, vec![engine(Some(START))]);
        }
    }

    /// How many requests come now.
    fn wanted(&mut self, now: f64, step: f64) -> usize {
        if now < self.demand.from || now >= self.life.closes {
            return 0;
        }
        let rate = self.demand.rate * step / 1000.0;
        let more = rate.floor() as usize + usize::from(self.rng.rand_float() < rate.fract());
        self.demand.standing.saturating_sub(self.waiting) + more
    }

    fn open(&mut self, now: f64) {
        let kinds = &self.case.works;
        let mut at = self.rng.rand_float() * kinds.iter().map(|k| k.share).sum::<f64>();
        let found = kinds.iter().position(|k| {
            at -= k.share;
            at < 0.0
        });
        let class = found.unwrap_or(0);
        let kind = &kinds[class];
        let work = kind.work * (1.0 + kind.spread * (2.0 * self.rng.rand_float() - 1.0));
        let deadline = now + self.demand.patience;
        let new = NewRequest {
            class,
            tenant: None,
            group: None,
            deadline,
            work: Some(work),
            memory_mb: None,
        };
        let id = self.core.open(now, new);
        self.works.insert(id, work);
        self.waiting += 1;
    }

    /// A moment of its life.
    fn step(&mut self, now: f64, step: f64, hand: &mut Hand, sent: &mut Vec<Sent>) {
        while let Some((_, n)) = self.life.shares.get(self.shares).filter(|s| s.0 <= now) {
            self.core.set_process_count(*n);
            self.shares += 1;
        }
        self.list(now);
        let due: Vec<_> = self.out.extract_if(.., |o| o.0 <= now).collect();
        for (_, attempt) in due {
            let full = self.rng.rand_float() < self.case.refuses;
            hand.requests = hand.requests.saturating_sub(1);
            let report = if self.case.reports {
                vec![hand.requests as f64, 0.1]
            } else {
                vec![]
            };
            self.core.attempt_ended(
                now,
                attempt,
                if full {
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
        for _ in 0..self.wanted(now, step) {
            self.open(now);
        }
        loop {
            let commands = self.core.take_commands();
            if commands.is_empty() {
                break;
            }
            commands
                .into_iter()
                .for_each(|c| self.carry_out(now, c, hand, sent));
        }
    }

    fn carry_out(&mut self, now: f64, c: Command, hand: &mut Hand, sent: &mut Vec<Sent>) {
        match c {
            Command::Start(StartAttempt {
                attempt, engine, ..
            }) if engine == NAME => {
                let work = self.works.get(&attempt.request).copied().unwrap_or(0.0);
                self.waiting = self.waiting.saturating_sub(1);
                sent.push(Sent {
                    at: now,
                    work,
                    told: self.told,
                });
                hand.requests += 1;
                let able = self.case.able(now);
                hand.left = (hand.left - (now - hand.at) * able).max(0.0) + work;
                hand.at = now;
                let took = if self.case.reports {
                    work.max(hand.left / able)
                } else {
                    1.0
                };
                self.out.push((now + took, attempt));
            }
            Command::Cancel { attempt } => {
                let before = self.out.len();
                self.out.retain(|o| o.1 != attempt);
                hand.requests = hand.requests.saturating_sub(before - self.out.len());
            }
            Command::Answer { request, answer } => {
                self.works.remove(&request);
                if !matches!(answer, Answer::Served(_)) {
                    self.waiting = self.waiting.saturating_sub(1);
                }
            }
            _ => {}
        }
    }
}

impl Case {
    /// Cores that it has for work now.
    fn able(&self, now: f64) -> f64 {
        let r = &self.settings.rules;
        let age = ((now - START) / r.warm_up_period).clamp(0.0, 1.0);
        self.settings.kinds[0].cores
            * (r.initial_warm_up_capacity + (1.0 - r.initial_warm_up_capacity) * age)
    }

    /// What all processes send it, in order.
    fn sent(&self, step: f64, seed: u64) -> Vec<Sent> {
        let mut rng = Rand64::new(u128::from(seed));
        let lives = self
            .dispatchers
            .iter()
            .flat_map(|(lives, d)| lives.iter().map(move |l| (l, d)));
        // Each looks at its own moment of a step.
        let mut all: Vec<(f64, Process)> = lives
            .map(|(l, d)| {
                (
                    rng.rand_float() * step,
                    Process::new(self, l, d, rng.rand_u64()),
                )
            })
            .collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut sent, mut hand) = (vec![], Hand::default());
        let mut now = START - 2200.0;
        while now < START + self.settings.rules.warm_up_period {
            for (phase, p) in &mut all {
                let at = now + *phase;
                if (p.life.from..p.life.to).contains(&at) {
                    p.step(at, step, &mut hand, &mut sent);
                }
            }
            now += step;
        }
        sent
    }

    /// The windows that ended before it was warm: the largest over the line's value, and whether the rule was broken.
    fn play(&self, step: f64, seed: u64) -> (f64, bool, usize) {
        let sent = self.sent(step, seed);
        let (r, mean) = (&self.settings.rules, self.mean());
        let (mut first, mut sum, mut told) = (0, 0.0, 0.0);
        let (mut most, mut broken) = (0.0f64, false);
        for (i, s) in sent.iter().enumerate().filter(|(_, s)| s.at >= START) {
            if s.at >= START + r.warm_up_period {
                break;
            }
            if i > 0 && sum == 0.0 {
                first = i;
            }
            (sum, told) = (sum + s.work, told + if s.told { s.work } else { 0.0 });
            while sent[first].at <= s.at - r.overload_window {
                let old = &sent[first];
                (sum, told) = (sum - old.work, told - if old.told { old.work } else { 0.0 });
                first += 1;
            }
            let n = r.overload_multiple * self.able(s.at - r.overload_window) * r.overload_window
                / mean;
            let line = n + 2.0 * n.sqrt() + 2.0;
            most = most.max(sum / mean / line);
            broken |= sum / mean > line && told > sum * 2.0 / 3.0;
        }
        (most, broken, sent.len())
    }
}

const END: f64 = START + 17_000.0;

fn all_along(told: f64) -> Life {
    Life {
        from: START - 2100.0,
        to: END,
        closes: END,
        told,
        shares: vec![],
    }
}

/// One class of requests, always of its mean work, as its usual is told to be.
fn even(work: f64) -> (Class, Work) {
    // An aim that lets it wait for all of the ramp, and the usual work by the settings is `work`.
    let class = Class {
        latency_objective_slowdown: 60_000.0 / work - 1.0,
        ..class(1.0, 60_000.0)
    };
    (
        class,
        Work {
            share: 1.0,
            work,
            spread: 0.0,
        },
    )
}

/// More at any time than its part.
fn always() -> Demand {
    Demand {
        from: 0.0,
        standing: 8,
        rate: 0.0,
        patience: 60_000.0,
    }
}

fn case(n: u32, work: f64, _: &mut Rand64) -> Case {
    let (class, kind) = even(work);
    let mut s = settings(n);
    s.classes = vec![class];
    Case {
        settings: s,
        works: vec![kind],
        dispatchers: (0..n).map(|_| (vec![all_along(0.0)], always())).collect(),
        reports: false,
        refuses: 0.0,
        hung: false,
        confirmed: false,
    }
}

/// A large fleet with small requests: N is large there, and what chance allows beside it small.
const LARGE: (u32, f64) = (300, 150.0);

/// Runs a scenario at every size and grain of work that is wanted; the seeds over the line, and those in which the rule was
/// broken.
fn play(
    name: &str,
    wanted: impl Fn(u32, f64) -> bool,
    make: impl Fn(u32, f64, &mut Rand64) -> Case,
) -> (usize, usize) {
    let mut all_over = (0, 0);
    for (n, seeds, step) in [
        (2u32, 12u64, 125.0),
        (20, 4, 200.0),
        (30, 4, 200.0),
        (300, 1, 400.0),
    ] {
        for work in [950.0, 150.0] {
            if !wanted(n, work) {
                continue;
            }
            let began = std::time::Instant::now();
            let (mut peaks, mut over, mut broken, mut total) = (vec![], 0, 0, 0);
            for seed in 0..seeds {
                let mut rng = Rand64::new(u128::from(seed * 1000 + u64::from(n)));
                let case = make(n, work, &mut rng);
                let (most, b, all) = case.play(step, seed * 7919 + u64::from(n));
                peaks.push(most);
                total += all;
                over += usize::from(most > 1.0);
                broken += usize::from(b);
            }
            let mean = peaks.iter().sum::<f64>() / peaks.len() as f64;
            let sd =
                (peaks.iter().map(|p| (p - mean).powi(2)).sum::<f64>() / peaks.len() as f64).sqrt();
            let most = peaks.iter().copied().fold(0.0, f64::max);
            println!(
                "{name:<28} {n:>4} {work:>5} ms  {seeds:>4} seeds  {over:>3} over {broken:>3} broken  largest {most:.3}  mean {mean:.3} sd {sd:.3}  margin {:>5.1}  {} sends {} ms",
                (1.0 - mean) / sd.max(1e-9),
                total / seeds as usize,
                began.elapsed().as_millis(),
            );
            all_over = (all_over.0 + over, all_over.1 + broken);
        }
    }
    all_over
}

/// No window is over the line.
fn run(name: &str, make: impl Fn(u32, f64, &mut Rand64) -> Case) {
    assert_eq!(
        play(name, |_, _| true, make),
        (0, 0),
        "{name}: seeds over the line, seeds in which the rule was broken"
    );
}

/// The rule is not broken, whatever those send that were not told.
fn run_told(name: &str, make: impl Fn(u32, f64, &mut Rand64) -> Case) {
    assert_eq!(
        play(name, |_, _| true, make).1,
        0,
        "{name}: seeds in which the rule was broken"
    );
}

/// A moment in the middle of the ramp.
fn middle(rng: &mut Rand64) -> f64 {
    START + 1000.0 + rng.rand_float() * 12_000.0
}

#[test]
fn all_dispatchers_under_steady_load() {
    run("all the time", case);
}

#[test]
fn burst_after_idle() {
    run("burst after silence", |n, w, rng| {
        let mut c = case(n, w, rng);
        let at = middle(rng);
        c.dispatchers.iter_mut().for_each(|d| d.1.from = at);
        c
    });
}

/// A few get several times the mean, most get less than it.
#[test]
fn unequal_shares_of_traffic() {
    run("unequal shares", |n, w, rng| {
        let mut c = case(n, w, rng);
        let parts: Vec<f64> = (0..n)
            .map(|_| (1.0 - rng.rand_float()).ln().powi(2))
            .collect();
        let all: f64 = parts.iter().sum();
        // One and a half times what makes it fall when it is warm.
        let rate = 1.5 * 4.0 * 8.0 * 1000.0 / w;
        for (d, part) in c.dispatchers.iter_mut().zip(&parts) {
            d.1 = Demand {
                from: 0.0,
                standing: 0,
                rate: rate * part / all,
                patience: 150.0,
            };
        }
        c
    });
}

/// Look-ups, reports and loads that may not be sent again, of a tenth to twice their class's mean.
fn unequal_work(n: u32, w: f64, rng: &mut Rand64) -> Case {
    let mut c = case(n, w, rng);
    let (light, heavy) = (w / 3.0, w * 3.4);
    let (a, look_up) = even(light);
    let (b, report) = even(heavy);
    let (d, load) = even(heavy);
    c.settings.classes = vec![
        Class { ..a },
        Class {
            priority_weight: 5.0,
            threads: 3.0,
            ..b
        },
        Class {
            priority_weight: 4.0,
            threads: 2.0,
            idempotency: Idempotency::NonIdempotent,
            ..d
        },
    ];
    for class in c.settings.classes.iter_mut().skip(1) {
        class.latency_objective_slowdown = class.latency_objective * class.threads / heavy - 1.0;
    }
    c.works = vec![
        Work {
            share: 13.0,
            spread: 0.9,
            ..look_up
        },
        Work {
            share: 2.5,
            spread: 0.9,
            ..report
        },
        Work {
            share: 1.0,
            spread: 0.9,
            ..load
        },
    ];
    c
}

#[test]
fn loads_with_unequal_work() {
    run("unequal work", unequal_work);
}

#[test]
fn retries_after_refusals() {
    run("retries after refusals", |n, w, rng| {
        let mut c = case(n, w, rng);
        // They wait 300 ms, and those refused come again at once.
        c.dispatchers.iter_mut().for_each(|d| d.1.patience = 300.0);
        c
    });
}

#[test]
fn rejections_by_the_engine() {
    run("refused by the engine", |n, w, rng| Case {
        refuses: 0.5,
        ..case(n, w, rng)
    });
}

/// What another engine never answers is moved to the cold one.
#[test]
fn migrations_and_hedged_requests() {
    run("moves and copies", |n, w, rng| {
        let mut c = case(n, w, rng);
        c.settings.limits.hedging = true;
        Case { hung: true, ..c }
    });
}

fn restarted(part: f64, spread: f64) -> impl Fn(u32, f64, &mut Rand64) -> Case {
    move |n, w, rng| {
        let mut c = case(n, w, rng);
        let at = middle(rng);
        let count = (part * f64::from(n)).ceil() as usize;
        for d in c.dispatchers.iter_mut().take(count) {
            let at = at + rng.rand_float() * spread;
            let mut new = d.0[0].clone();
            (d.0[0].to, d.0[0].closes, new.from) = (at, at, at + 50.0);
            d.0.push(new);
        }
        c
    }
}

/// All of them within half a second, which no release does.
#[test]
fn all_restarted_in_the_middle() {
    run("all restarted", restarted(1.0, 500.0));
}

#[test]
fn a_third_restarted_in_the_middle() {
    run("a third restarted", restarted(0.34, 1500.0));
}

/// The new process lives beside the old for 1.5 s; either hears of the other's coming and going 250 ms late.
fn taken_over(n: u32, w: f64, rng: &mut Rand64) -> Case {
    let mut c = case(n, w, rng);
    let at = middle(rng);
    for d in &mut c.dispatchers {
        let at = at + rng.rand_float() * 500.0;
        let mut new = d.0[0].clone();
        let old = &mut d.0[0];
        (old.closes, old.to, old.shares) = (at + 1000.0, at + 1500.0, vec![(at + 250.0, 2)]);
        (new.from, new.shares) = (at, vec![(at, 2), (at + 1750.0, 1)]);
        d.0.push(new);
    }
    c
}

#[test]
fn all_taken_over_in_the_middle() {
    run("all taken over", taken_over);
}

#[test]
fn all_taken_over_as_a_burst_begins() {
    run("taken over in a burst", |n, w, rng| {
        let mut c = taken_over(n, w, rng);
        let at = c.dispatchers[0].0[1].from;
        c.dispatchers.iter_mut().for_each(|d| d.1.from = at + 200.0);
        c
    });
}

/// A third take it for the warm engine that it was, and learn of the start 3 s late.
#[test]
fn a_third_of_the_dispatchers_learn_of_the_start_late() {
    run_told("a third learn late", |n, w, rng| {
        let mut c = case(n, w, rng);
        for d in c.dispatchers.iter_mut().step_by(3) {
            d.0[0].told = START + 3000.0;
            d.1.standing = 1;
        }
        c
    });
}

#[test]
fn half_of_the_dispatchers_are_down() {
    run("half are down", |n, w, rng| {
        let mut c = case(n, w, rng);
        c.dispatchers.truncate((n / 2) as usize);
        c
    });
}

/// The settings name half as many as run: nothing tells them so but the engine's answers.
#[test]
fn twice_as_many_dispatchers_as_configured() {
    let over = play("twice as many run", |n, work| (n, work) != LARGE, twice);
    assert_eq!(
        over,
        (0, 0),
        "seeds over the line, seeds in which the rule was broken"
    );
}

/// What happened: `fleet_size` named 150 of 300 dispatchers, and an engine in slow start got 1.23 times what it bears in a
/// window, all of it from dispatchers that knew of the start. Why: each kept to a 150th of the engine's budget, for the
/// configured number was taken for the true one. What showed it: the line of this test (`largest 1.230`), the same with
/// engines whose answers tell no load at 2 to 300 dispatchers (1.12 to 1.61), and that it passes with `fleet_size` 300.
/// No answer of the engine can tell it in time: the first window is over the line before most dispatchers have one.
#[test]
fn twice_as_many_dispatchers_as_configured_in_a_large_fleet_with_small_requests() {
    let over = play(
        "twice as many run, large",
        |n, work| (n, work) == LARGE,
        twice,
    );
    assert_eq!(
        over,
        (0, 0),
        "seeds over the line, seeds in which the rule was broken"
    );
}

/// The settings name half as many dispatchers as run.
fn twice(n: u32, work: f64, rng: &mut Rand64) -> Case {
    let mut c = case(n, work, rng);
    c.settings.dispatchers = n.div_ceil(2);
    c.reports = true;
    c
}

/// So many requests of each dispatcher wait at any time that it sends whatever it may, and answers tell no load.
fn twice_without_load_reports(n: u32, work: f64, rng: &mut Rand64) -> Case {
    let mut c = twice(n, work, rng);
    c.reports = false;
    c.dispatchers.iter_mut().for_each(|d| d.1.standing = 64);
    c
}

/// The share of a dispatcher that is not drawn by lot: a configured number of half the truth alone overloads the engine
/// where its answers tell no load.
#[test]
fn twice_as_many_dispatchers_as_configured_without_load_reports() {
    run("twice, no reports", twice_without_load_reports);
}

#[test]
fn twice_as_many_dispatchers_as_configured_in_a_burst_after_idle() {
    run("twice, burst", |n, w, rng| {
        let mut c = twice_without_load_reports(n, w, rng);
        let at = middle(rng);
        c.dispatchers.iter_mut().for_each(|d| d.1.from = at);
        c
    });
}

#[test]
fn twice_as_many_dispatchers_as_configured_restarted_in_the_middle() {
    run("twice, all restarted", |n, w, rng| {
        let mut c = restarted(1.0, 500.0)(n, w, rng);
        c.settings.dispatchers = n.div_ceil(2);
        c.dispatchers.iter_mut().for_each(|d| d.1.standing = 64);
        c
    });
}

#[test]
fn twice_as_many_dispatchers_as_configured_with_unequal_work() {
    run("twice, unequal work", |n, w, rng| {
        let mut c = unequal_work(n, w, rng);
        c.settings.dispatchers = n.div_ceil(2);
        c.dispatchers.iter_mut().for_each(|d| d.1.standing = 64);
        c
    });
}

/// Ten times as many are configured as run: each keeps to a part that is too small, and the line holds.
#[test]
fn a_tenth_of_the_configured_dispatchers_run() {
    run("a tenth run", |n, w, rng| {
        let mut c = case(n, w, rng);
        c.settings.dispatchers = 10 * n;
        c
    });
}

/// An engine that starts with a tenth of its capacity is warm after two windows, and the number of dispatchers is right and
/// confirmed. What each sends goes by what the engine bears now; the limit goes by the window's begin, and is passed up to
/// twice over. Seen on a scratch copy with every scenario: 1.14 to 2.42 of the operators' limit at 2 to 300 dispatchers.
#[test]
fn a_steep_climb_with_a_confirmed_number_of_dispatchers() {
    run("steep climb", |n, w, rng| {
        let mut c = case(n, w, rng);
        c.settings.rules.initial_warm_up_capacity = 0.1;
        c.settings.rules.warm_up_period = 4000.0;
        Case {
            confirmed: true,
            ..c
        }
    });
}
