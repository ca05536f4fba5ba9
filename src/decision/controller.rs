//! The decisions of a gateway; its types, events and actions are in `interface.rs`.
//! Integral feedback for proportional slowdown differentiation: classifier and queues, rate predictor (4),
//! integral controller (3), rate allocator; then what the paper leaves open, as `docs/design.md` tells.

use crate::decision::model::*;
use crate::decision::model::state::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const G: f64 = 1.0; // Control factor g of formula (3); the paper's value.
const PERIOD: Millis = 2000.0; // Sampling period, ms; the design's default.
const U_FLOOR: f64 = 0.1; // u(i) stays at least this part of 1/p(i).
const P_MIN: f64 = 1e-3; // Least predicted share, so that 1/p stays finite for a class that sent nothing.
const THREADS_PER_CORE: f64 = 2.0; // An engine's budget: threads a core, for all gateways together.
const CAP_CUT: f64 = 0.8; // What we may have at an engine shrinks to this part when it has no room, ...
const CAP_EVERY: Millis = 200.0; // ... at most once in this time, ms, for one lack shows in many queries.
const FULL_FOR: Millis = 1000.0; // How long a full refusal counts as pressure, ms: a few load-report periods.
const MEMORY_FULL: f64 = 0.75; // Share of memory granted past which the next may slow all, if overcommitted.
const SATURATED: f64 = 0.97; // Busy cores past which a report tells no more: it is noisy and ends at 1.
const SLOW: f64 = 2.0; // The crowd that an attempt tells which ran far too long and brought no answer.
const JAM: f64 = 1.25; // A jam: the latest reports of every zone show this many times what its engines bear.
const HOME_FULL: f64 = 1.0; // Pooled crowd at which a query leaves its zone, and only the mean gain runs.
const HEAVY_FROM: f64 = 0.5; // Pooled crowd below which all is calm; above, the heaviest are refused.
const WINDOW_MIN: f64 = 0.5; // The window never goes below this part of our budgets.
const CUT: f64 = 0.8; // The gateway's window of threads shrinks to this part in a jam, ...
const CUT_EVERY: Millis = 500.0; // ... at most once in this time, ms, since one jam gives many signs, ...
const GROW: f64 = 2.0; // ... and grows by this for each window's worth of threads served in time.
const TICK: Millis = 20.0; // Between looks at the clock, ms: below every aim, above the cost of looking.
const KEEP_ENGINE: f64 = 0.85; // Weight that an engine's mean keeps at each sample: about ten samples.
const KEEP_PERIOD: f64 = 0.5; // The same at each period, for what must not outlive its cause.
const KEEP_CLASS: f64 = 0.98; // The same for facts about a class: about fifty samples.
const BELIEVE: f64 = 3.0; // Samples before a mean is believed.
const FAIL_LIMIT: f64 = 0.3; // Failure share above which an engine is doubtful.
const OVERDUE: f64 = 5.0; // An attempt is overdue at this multiple of its expected latency.
const SILENCE_MIN: Millis = 2000.0; // No silence counts before this, ms: a pause is no death.
const LOST: f64 = 6.0; // Notes that fail to come before an attempt counts as lost.
const PATIENCE: f64 = 0.7; // Part of its spare time that a load waits for an engine of its half.
const HOLD_TOLD: Millis = 1000.0; // A note of a load that holds a group keeps others off for this long, ms.
const BAD_PLAN: f64 = 4.0; // A plan is bad when its progress is this many times slower than its peers'.
const COLD_SAFETY: f64 = 0.6; // Part of the cold budget used: speeds and estimates are not known exactly.
const DRAWN: f64 = 0.9; // Part of a mean past which nothing is drawn: ten draws in a window at most.
const SCATTER: f64 = 0.05; // Variance of an estimate's logarithm before answers tell.
const GRANT_SIGMAS: f64 = 0.85; // Memory over the likely, in scatters: a spill costs more than slack.
const FRESH: Millis = 500.0; // A report decides ties for this long, ms; older ones make gateways herd.
const PROBE_WAIT: Millis = 25.0; // A query waits so long for its pair's probes, ms: a few round trips.
const ASK_AGAIN: Millis = 200.0; // When neither of a pair has room, the next is asked after this, ms.
const CHEAP: f64 = 0.03; // A price below this part of a query's worth is paid for a better place.
const DOOMED: f64 = 0.3; // Part of the time left by its notes within which they may be wrong.
const SPILL: f64 = 0.1; // Share of its need that a query may lack before it is sent anew.
const REACH: usize = 4; // Engines that a query chooses among.
const SCAN: usize = 16; // How far down a queue a release looks when the head itself may not go.
const QUOTA_BURST: f64 = 2.0; // Seconds of its quota that a tenant may save up.

/// One gateway's decisions.
pub struct Controller {
    s: Settings,
    rng: oorandom::Rand64,
    key: u64, // Of this gateway's own order of the engines.
    now: Millis,
    engines: Vec<Engine>,
    names: BTreeMap<String, usize>,
    held: BTreeMap<QueryId, Held>,
    classes: Vec<ClassState>,
    lines: BTreeMap<String, Line>,
    buckets: Vec<Bucket>,
    taken: VecDeque<Millis>,
    further: Account,
    width: f64, // Threads of a running query, over all classes (Little's law on the last period).
    mean_worth: Mean,
    mean_work: Mean,
    window: f64, // Threads that we may have out in all; unlimited until the first sign of a jam.
    cut_at: Millis,
    crowds: BTreeMap<Option<usize>, Mean>, // By zone: crowding by the latest reports of any of its engines.
    period_end: Millis,
    alarm: Millis,
    ask_at: Millis, // When to subscribe to the engine list: at once, then 2 s after a failure.
    heard: Millis,  // When any engine was last heard.
    processes: f64, // Of this gateway: two while one takes over from the other.
    shared: (f64, Millis), // The same until then: the last of them has sent its part in that time.
    began: Millis,  // The first event; what the gateway did before is not known.
}

impl Controller {
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let n = settings.classes.len() as f64;
        let classes =
            settings.classes.iter().map(|_| ClassState { share: 1.0 / n, ..Default::default() }).collect();
        let buckets = settings.tenants.iter().map(|_| Bucket { tokens: f64::INFINITY, at: 0.0 }).collect();
        Ok(Controller {
            rng: oorandom::Rand64::new(seed.into()),
            key: seed,
            now: 0.0,
            engines: vec![],
            names: BTreeMap::new(),
            held: BTreeMap::new(),
            classes,
            lines: BTreeMap::new(),
            buckets,
            taken: VecDeque::new(),
            further: Account::default(),
            width: 1.0,
            mean_worth: Mean::default(),
            mean_work: Mean::default(),
            window: f64::INFINITY,
            cut_at: f64::MIN,
            crowds: BTreeMap::new(),
            period_end: f64::MIN,
            alarm: f64::MIN,
            ask_at: f64::MIN,
            heard: f64::MIN,
            processes: 1.0,
            shared: (1.0, f64::MIN),
            began: f64::MIN,
            s: settings,
        })
    }

    /// Takes one event at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = if now.is_finite() { now.max(self.now) } else { self.now };
        if self.began == f64::MIN {
            (self.began, self.period_end) = (self.now, self.now + PERIOD);
        }
        match event {
            Event::EngineList { update, entries } => self.list(update, entries),
            Event::DiscoveryFailed => self.ask_at = self.now + PERIOD,
            Event::Query(q) => self.take(q, out),
            Event::AttemptEnded(e) => self.ended(e, out),
            Event::EngineReport { engine, outcome, report } => {
                if let Some(&e) = self.names.get(&engine) {
                    self.report(e, &report);
                    if outcome == Outcome::Unreachable {
                        self.judge(e, outcome);
                    }
                }
            }
            Event::Progress { id, attempt, note } => self.progress(id, attempt, note, out),
            Event::Streaming { id, .. } => {
                self.held.get_mut(&id).into_iter().for_each(|h| h.streaming = true);
            }
            Event::ClientDisconnected(id) => self.left(id, out),
            Event::Timer(_) => {}
        }
        // What may go now goes before the look gives up what may not.
        self.release(out);
        let due = self.now >= self.alarm;
        if due {
            self.look(out);
        }
        let next = self.now + if self.held.is_empty() { PERIOD } else { TICK.max(self.s.step) };
        let next = if self.ask_at > self.now { next.min(self.ask_at) } else { next };
        if due || next < self.alarm {
            self.alarm = next; // an idle gateway looks once a period
            out.push(Action::Timer { at: next, token: 0 });
        }
    }

    // ---- the engine list -------------------------------------------------------------------------

    fn list(&mut self, update: ListUpdate, entries: Vec<EngineEntry>) {
        if update != ListUpdate::Patch {
            for e in &mut self.engines {
                e.state = EngineState::Gone;
            }
        }
        // Known ones first: a place is given away only if its engine is not in this list.
        let (known, new): (Vec<_>, Vec<_>) =
            entries.into_iter().partition(|e| self.names.contains_key(&e.engine));
        for entry in known.into_iter().chain(new) {
            let fresh = Engine::new(&entry);
            match self.names.get(&entry.engine) {
                None => {
                    // New ids come all day: the place of one that is gone is used again.
                    let n = self.engines.len();
                    let i = (0..n).find(|&i| self.unused(i)).unwrap_or(n);
                    self.names.insert(entry.engine, i);
                    if i == n {
                        self.engines.push(fresh);
                    } else {
                        self.names.remove(&std::mem::replace(&mut self.engines[i], fresh).name);
                    }
                }
                Some(&i) => {
                    let e = &mut self.engines[i];
                    if entry.started.is_some() && entry.started != e.started {
                        // A restart under the same id: what was learned of the old process is void.
                        let (out, sent) = (std::mem::take(&mut e.out), std::mem::take(&mut e.sent));
                        *e = Engine { out, sent, ..fresh };
                    } else {
                        (e.state, e.kind, e.zone, e.cell) = (entry.state, entry.kind, entry.zone, entry.cell);
                    }
                }
            }
        }
    }

    /// Its engine is gone, and no query refers to it.
    fn unused(&self, e: usize) -> bool {
        let refers = |h: &Held| h.pair.contains(&e) || h.attempts.iter().any(|a| a.engine == e);
        self.engines[e].state == EngineState::Gone && !self.held.values().any(refers)
    }

    fn cores(&self, e: &Engine) -> f64 {
        self.s.kinds.get(e.kind.unwrap_or(0)).map_or(1.0, |k| k.cores)
    }

    fn memory(&self, e: &Engine) -> f64 {
        self.s.kinds.get(e.kind.unwrap_or(0)).map_or(0.0, |k| k.memory_mb)
    }

    fn cold(&self, e: &Engine) -> bool {
        e.started.is_some_and(|t| self.now < t + self.s.rules.warm_up_period + self.s.rules.overload_window)
    }

    // ---- classifier and queues -------------------------------------------------------------------

    fn take(&mut self, mut q: Query, out: &mut Vec<Action>) {
        // Absurd estimates are treated as absent, an absurd time left as none.
        q.work = q.work.filter(|w| w.is_finite() && *w > 0.0);
        q.memory_mb = q.memory_mb.filter(|m| m.is_finite() && *m > 0.0);
        q.time_left = if q.time_left.is_finite() { q.time_left.max(0.0) } else { 0.0 };
        self.taken.push_back(self.now);
        if q.class >= self.classes.len() || self.held.contains_key(&q.id) {
            return;
        }
        let (id, class) = (q.id, q.class);
        if self.s.classes[class].in_order
            && let Some(key) = &q.key
        {
            self.lines.entry(key.clone()).or_default().ids.push_back(id);
        }
        let over_quota = self.over_quota(q.tenant);
        self.mean_worth.add(self.s.classes[class].priority_weight, KEEP_CLASS);
        self.mean_work.add(self.work(&q), KEEP_CLASS);
        let c = &mut self.classes[class];
        c.arrivals += 1.0;
        c.queue.push_back(id);
        self.held.insert(id, Held { over_quota, ..Held::new(q, self.now) });
        self.release(out);
        // One that comes with too little time to wait (a stalled gateway) is answered before the next look.
        let Some(h) = self.held.get(&id).filter(|h| !h.over && h.attempts.is_empty()) else { return };
        self.classes[class].held |= !self.asking(h);
        if self.hopeless(h) {
            self.give_up(id, out);
        }
    }

    fn over_quota(&mut self, tenant: Option<usize>) -> bool {
        let Some(t) = tenant.filter(|&t| t < self.buckets.len()) else { return false };
        let rate = self.s.tenants[t].quota_per_s / f64::from(self.s.dispatchers);
        let b = &mut self.buckets[t];
        let grown = b.tokens + rate * (self.now - b.at) / 1000.0;
        (b.tokens, b.at) = (grown.min((rate * QUOTA_BURST).max(1.0)), self.now);
        let there = b.tokens >= 1.0;
        b.tokens -= f64::from(u8::from(there));
        !there
    }

    /// Work expected of a query: its corrected estimate, else its class's mean.
    fn work(&self, q: &Query) -> f64 {
        match q.work {
            Some(w) => {
                let (middle, scatter) = Self::read(&self.classes[q.class].read_work, w);
                (middle + scatter / 2.0).exp()
            }
            None => self.usual_work(q.class),
        }
    }

    /// What an estimate means by its class's answers, in logarithms: the middle and the variance about it.
    /// One that scatters more than the truth is drawn to the usual, or half its queries spill. Guards against
    /// rough and biased estimates; harm: a rare query far off its class's usual is drawn there too.
    fn read(told: &Pairs, estimate: f64) -> (f64, f64) {
        let n = told.weight;
        if n < BELIEVE {
            return (estimate.ln(), SCATTER);
        }
        let ((x, y), (vx, cov, vy)) = (told.means(), told.variances());
        let (doubt, trust) = (BELIEVE / n, BELIEVE / n * (vx + SCATTER));
        let slope = ((cov + trust) / (vx + trust)).clamp(0.0, 1.0);
        let rest = (vy - 2.0 * slope * cov + slope * slope * vx).max(0.0);
        (y + slope * (estimate.ln() - x), (rest + doubt * SCATTER) / (1.0 + doubt))
    }

    /// The class's mean work; before any answer, what its aim suggests.
    fn usual_work(&self, class: ClassId) -> f64 {
        let c = &self.s.classes[class];
        let guess = c.latency_objective * c.threads / (1.0 + c.latency_objective_slowdown);
        self.classes[class].work.after(BELIEVE, guess).max(1.0)
    }

    /// Memory to ask for it there, MB; 0: the engine's own choice.
    fn grant(&self, h: &Held, e: usize) -> f64 {
        let most = self.memory(&self.engines[e]) * self.s.engines.max_grant_share;
        let likely = h.q.memory_mb.map(|m| {
            let (middle, scatter) = Self::read(&self.classes[h.q.class].read_memory, m);
            (middle + GRANT_SIGMAS * scatter.sqrt()).exp()
        });
        h.need_mb.or(likely).filter(|_| self.s.engines.accepts_memory_grants).map_or(0.0, |m| m.min(most))
    }

    /// No line for memory there, by a fresh report and what we sent since.
    fn fits(&self, h: &Held, e: usize) -> bool {
        let (x, all) = (&self.engines[e], self.memory(&self.engines[e]));
        let sent: f64 = x.out.iter().filter(|r| r.sent > x.reported).map(|r| r.granted).sum();
        self.now > x.reported + FRESH || x.memory_granted * all + sent + self.grant(h, e) <= all
    }

    /// Its work for a cold engine: its class's usual or more, or what answers took if nothing else tells.
    fn cold_work(&self, q: &Query) -> f64 {
        let took = self.classes[q.class].latency.or(0.0) * self.s.classes[q.class].threads;
        let told = self.s.engines.reports_cost || q.work.is_some();
        self.usual_work(q.class).max(self.work(q)).max(if told { 0.0 } else { took })
    }

    /// Attempt latency expected of this much work now: stretched as the fleet's answers of late were.
    fn expected(&self, class: ClassId, work: f64) -> Millis {
        let c = &self.classes[class];
        let usual = self.usual_work(class);
        c.latency.after(BELIEVE, usual / self.s.classes[class].threads) * work / usual
    }

    /// Time within which a query of this work earns its full worth.
    fn latency_objective(&self, class: ClassId, work: f64) -> Millis {
        let c = &self.s.classes[class];
        c.latency_objective + c.latency_objective_slowdown * work / c.threads
    }

    // ---- rate predictor and integral controller ----------------------------------------------------

    fn bears(&self, e: &Engine) -> f64 {
        THREADS_PER_CORE * self.cores(e)
    }

    fn budget(&self, e: &Engine) -> f64 {
        self.bears(e) / f64::from(self.s.dispatchers)
    }

    fn total_budget(&self) -> f64 {
        self.engines.iter().filter(|e| e.state == EngineState::Ready).map(|e| self.budget(e)).sum()
    }

    fn sample(&mut self) {
        let total = self.total_budget();
        let first = (0..self.classes.len())
            .max_by(|&a, &b| self.s.classes[a].priority_weight.total_cmp(&self.s.classes[b].priority_weight).then(b.cmp(&a)))
            .unwrap_or(0);
        let priority_weight = |i: usize| self.s.classes[i].priority_weight;
        for c in self.classes.iter_mut().filter(|c| c.served > 0.0) {
            c.service = c.service_sum / c.served;
        }
        let slowed = |c: &ClassState| if c.served > 0.0 { c.slowdown_sum / c.served } else { 0.0 };
        let slowdown: Vec<f64> = self.classes.iter().map(slowed).collect();
        if self.classes.iter().all(|c| c.held) && slowdown[first] > 0.0 {
            for (i, c) in self.classes.iter_mut().enumerate() {
                // δ(i)/δ(1) − S(i)/S(1), with δ = 1/worth.
                c.error_sum += priority_weight(first) / priority_weight(i) - slowdown[i] / slowdown[first];
            }
        }
        // λ(i)E[X] in threads over the budget; formula (4).
        let load = |i: usize| {
            let threads =
                self.classes[i].arrivals / PERIOD * self.classes[i].service * self.s.classes[i].threads;
            if total > 0.0 { threads / total } else { 0.0 }
        };
        let n = self.classes.len();
        let in_hand: f64 = self.classes.iter().map(|c| c.arrivals * c.service).sum();
        let width = (0..n).map(load).sum::<f64>() * total * PERIOD / in_hand.max(1e-9);
        let surplus = (1.0 - (0..n).map(load).sum::<f64>()).max(0.0);
        let weighted: f64 = (0..n).map(|i| self.classes[i].arrivals * priority_weight(i)).sum();
        let u: Vec<f64> = (0..n)
            .map(|i| {
                let part = if weighted > 0.0 { self.classes[i].arrivals * priority_weight(i) / weighted } else { 0.0 };
                let p = (load(i) + part * surplus).max(P_MIN);
                (1.0 / p + G * self.classes[i].error_sum).max(U_FLOOR / p)
            })
            .collect();
        let sum: f64 = u.iter().map(|u| 1.0 / u).sum();
        self.width = width.max(1.0);
        for e in &mut self.engines {
            e.draw = self.rng.rand_float();
            // Failures age by time too: an engine that is sent nothing could never show that it is mended.
            e.fails.age(KEEP_PERIOD);
            if e.fails.weight < 0.5 {
                e.fails = Mean::default();
            }
        }
        for (c, u) in self.classes.iter_mut().zip(&u) {
            c.share = 1.0 / (u * sum);
            (c.arrivals, c.service_sum, c.slowdown_sum, c.served) = (0.0, 0.0, 0.0, 0.0);
            c.held = !c.queue.is_empty();
        }
    }

    // ---- rate allocator --------------------------------------------------------------------------

    /// Classes by worth for thread-time, best first: the order in which queues are scanned.
    fn scan_order(&self) -> Vec<ClassId> {
        let gain = |i: usize| self.s.classes[i].priority_weight / self.usual_work(i);
        let mut order: Vec<ClassId> = (0..self.classes.len()).collect();
        order.sort_by(|&a, &b| gain(b).total_cmp(&gain(a)).then(a.cmp(&b)));
        order
    }

    /// Share-first release: the head of a class under its share, else any waiting head.
    fn release(&mut self, out: &mut Vec<Action>) {
        if self.classes.iter().all(|c| c.queue.is_empty()) {
            return;
        }
        let order = self.scan_order();
        // Where no probe may ask, a burst is in before an answer tells. Harm: hot gateways start slow.
        if self.window == f64::INFINITY && !self.s.limits.probes {
            let each: f64 = self.s.classes.iter().map(|c| c.threads).sum();
            self.window = self.total_budget().max(each); // our budgets, or one query of each class
        }
        let total = self.total_budget().min(self.window);
        let mut running = vec![0.0; self.classes.len()];
        for r in self.engines.iter().flat_map(|e| &e.out) {
            running[r.class] += r.threads;
        }
        'released: loop {
            for by_share in [true, false] {
                // What lesser classes hold does not stand in a better one's way: one wide query would shut
                // the window for all. Where memory overcommits it does, for there one more slows all.
                let mut held = 0.0;
                for &i in &order {
                    let under = running[i] < self.classes[i].share * total;
                    held += running[i];
                    let held = if self.s.engines.overcommits_memory { running.iter().sum() } else { held };
                    let free = held + self.s.classes[i].threads <= self.window;
                    if under == by_share && free && self.release_one(i, out) {
                        running[i] += self.s.classes[i].threads;
                        continue 'released;
                    }
                }
            }
            return;
        }
    }

    fn release_one(&mut self, class: ClassId, out: &mut Vec<Action>) -> bool {
        let threads = self.s.classes[class].threads;
        if !(0..self.engines.len()).any(|e| self.room(e, threads)) {
            return false;
        }
        let mut lots = 0..SCAN;
        for k in 0..self.classes[class].queue.len().min(SCAN) {
            let id = self.classes[class].queue[k];
            if self.held.get(&id).is_some_and(|h| self.too_heavy(&h.q)) {
                continue;
            }
            // A cold engine takes it by lot; else another may.
            while let Some(e) = lots.next().and_then(|_| self.place(id, out)) {
                if self.send(id, e, out) {
                    self.classes[class].queue.remove(k);
                    return true;
                }
            }
        }
        false
    }

    // ---- placement -------------------------------------------------------------------------------

    /// Of two random engines with room, the one with less estimated work of our running queries. If both have
    /// none of ours, the less crowded by a fresh report, after a probe of both where there is none.
    fn place(&mut self, id: QueryId, out: &mut Vec<Action>) -> Option<usize> {
        let h = self.held.get(&id)?;
        let asked = |e: &usize| self.engines[*e].reported >= h.asked_at;
        if self.asking(h) && !h.pair.iter().all(asked) {
            return None;
        }
        // Between two asks only engines that are known by a fresh report come in question.
        let was_asked = !h.pair.is_empty();
        let resting = !was_asked && self.now < h.ask_until;
        let fresh = |e: usize| self.now <= self.engines[e].reported + FRESH;
        let c = &self.s.classes[h.q.class];
        let threads = c.threads;
        let mut found = if was_asked { h.pair.clone() } else { (0..self.engines.len()).collect() };
        found.retain(|&e| (!resting || fresh(e)) && self.room(e, threads) && self.may_send(h, e));
        let mut pair = if was_asked { found.clone() } else { vec![] };
        if pair.is_empty() {
            if was_asked {
                let h = self.held.get_mut(&id)?;
                (h.pair, h.ask_until) = (vec![], self.now + ASK_AGAIN);
                self.classes[h.q.class].held = true;
                return None;
            }
            // Not even as the last with room, while another is well: what fails fast has room for all, and
            // takes the attempts of all.
            if (0..self.engines.len()).any(|e| !self.doubtful(e) && self.may_send(h, e)) {
                found.retain(|&e| !self.doubtful(e));
            }
            self.prefer(&mut found, |e| h.attempts.iter().all(|a| a.engine != e));
            self.prefer(&mut found, |e| self.fits(h, e));
            // Loads of a group keep to one half of the engines, its readers to the other: all gateways know
            // the halves without a word. Ranked by a hash, not drawn each: a hot group whose loads had one
            // engine of six to themselves lost an eighth of them. Harm: half the choice.
            if let Some(t) = h.q.tables.filter(|_| c.holds_tables || c.waits_for_loads) {
                let ready = self.engines.iter().filter(|x| x.state == EngineState::Ready);
                let mut ranks: Vec<u64> = ready.map(|x| x.rank(t)).collect();
                ranks.sort_unstable();
                let middle = ranks.get(ranks.len() / 2).copied().unwrap_or(0);
                // Not behind a load on its group, which it would stand still for: our own, or one that a
                // note of late told of. Harm: the load may have ended; others get its room for a while.
                let held = |r: &Running| r.tables == Some(t) && self.s.classes[r.class].holds_tables;
                let told = |x: &Engine| x.held.get(&t).is_some_and(|at| self.now < at + HOLD_TOLD);
                let free = |x: &Engine| !x.out.iter().any(held) && !told(x);
                let half = |e: usize| (self.engines[e].rank(t) < middle) == c.holds_tables;
                // A load waits for one there in part of its spare time, so that no reader stands behind it.
                let (k, work) = (h.q.class, self.work(&h.q));
                let spare = self.latency_objective(k, work).min(h.deadline - h.arrived) - self.expected(k, work);
                let own = |&e: &usize| half(e) && free(&self.engines[e]);
                let waits = c.holds_tables && self.stalls() && self.now < h.arrived + PATIENCE * spare;
                if waits && !found.iter().any(own) {
                    return None;
                }
                self.prefer(&mut found, |e| free(&self.engines[e]));
                self.prefer(&mut found, half);
            }
            // The first few of its own order: cold ones, for a draw left unused leaves them idle; those it
            // has met, for each has few connections. Before all its own zone's, unless crossing costs little
            // of a query's worth, or that zone is crowded and another not (lost racks). Harm: less choice.
            let calm = self.s.cross_zone_cost * self.mean_worth.or(0.0) > CHEAP * c.priority_weight
                && self.crowd_of(self.s.zone) <= self.least_crowd().max(HOME_FULL);
            let away = |x: &Engine| !calm || x.zone != self.s.zone;
            let order = |x: &Engine| (away(x), !self.cold(x), x.heard == f64::MIN, x.rank(self.key));
            let mut found = first_by(found, REACH, |&e| order(&self.engines[e]));
            // No more of our queries than the median: a pair drawn blind would often be two of our busiest.
            let mut counts: Vec<usize> = found.iter().map(|&e| self.engines[e].out.len()).collect();
            counts.sort_unstable();
            let median = counts.get(counts.len().saturating_sub(1) / 2).copied().unwrap_or(0);
            found.retain(|&e| self.engines[e].out.len() <= median);
            found.first()?;
            let n = found.len() as u64;
            let a = self.rng.rand_range(0..n) as usize;
            pair.push(found[a]);
            if n > 1 {
                pair.push(found[(a + 1 + self.rng.rand_range(0..n - 1) as usize) % found.len()]);
            }
        }
        let own = |e: usize| self.engines[e].work() / self.cores(&self.engines[e]);
        let (a, b) = (pair[0], *pair.last()?);
        if own(a) != own(b) {
            return Some(if own(b) < own(a) { b } else { a });
        }
        // Known to be calm everywhere, any engine will do (where readers stall, no report tells that).
        let known = || !self.stalls() && self.crowds.values().any(|m| m.weight >= BELIEVE);
        let calm = || known() && self.least_crowd() < HEAVY_FROM;
        let ask = self.s.limits.probes && !was_asked && !resting && self.blind(&self.engines[a], threads);
        if ask && !pair.iter().all(|&e| fresh(e)) && !calm() {
            for &e in pair.iter().filter(|&&e| !fresh(e)) {
                out.push(Action::Probe { engine: self.engines[e].name.clone() });
            }
            let h = self.held.get_mut(&id)?;
            (h.asked_at, h.ask_until, h.pair) = (self.now, self.now + PROBE_WAIT, pair);
            return None;
        }
        // An engine that fails its queries is empty for that reason: its failures count as a crowd.
        let crowd = |e: usize| self.crowding(&self.engines[e]).unwrap_or(1.0) + self.failing(e);
        Some(if crowd(b) < crowd(a) { b } else { a })
    }

    /// Keeps those that pass, if any does.
    fn prefer(&self, found: &mut Vec<usize>, pass: impl Fn(usize) -> bool) {
        if found.iter().any(|&e| pass(e)) {
            found.retain(|&e| pass(e));
        }
    }

    /// Pooled crowd of a zone: its latest reports, whichever engines they are of. None yet: it has room.
    fn crowd_of(&self, zone: Option<usize>) -> f64 {
        self.crowds.get(&zone).map_or(0.0, |m| m.after(BELIEVE, 0.0))
    }

    /// The least crowd of a zone. They are not pooled: the crowded one is sampled most and would hide others.
    fn least_crowd(&self) -> f64 {
        let ready = self.engines.iter().filter(|e| e.state == EngineState::Ready);
        ready.map(|e| self.crowd_of(e.zone)).fold(f64::INFINITY, f64::min)
    }

    /// A report counts for its zone's crowd. If all zones that told are jammed, the gateway cuts what it has
    /// out in all, for what is moved from one engine would jam the next. Guards against jams of any cause;
    /// harm: a chance run of crowded reports cuts in vain, a jam of one zone is left to engines' budgets.
    fn pool(&mut self, engine: usize, crowd: f64) {
        let zone = self.engines[engine].zone;
        self.crowds.entry(zone).or_default().add(crowd, KEEP_ENGINE);
        // Most zones must have told; with many, a gateway never hears of some.
        let zones = || self.engines.iter().map(|e| e.zone).collect::<BTreeSet<_>>().len();
        let told = || self.crowds.values().filter(|m| m.weight >= BELIEVE);
        let jam = || told().all(|m| m.or(0.0) > JAM) && told().count() * 2 > zones();
        if self.now < self.cut_at + CUT_EVERY || !jam() {
            return;
        }
        self.cut_at = self.now;
        // At least the widest query: a lesser window would hold it for good.
        let least = self.s.classes.iter().map(|c| c.threads).fold(self.total_budget() * WINDOW_MIN, f64::max);
        self.window = (self.window.min(self.running()) * CUT).max(least);
    }

    fn running(&self) -> f64 {
        self.engines.iter().map(|e| e.threads()).sum()
    }

    /// It has no room: we keep to less than we have there, and grow again with what it serves. Barred for
    /// a while, it would move all that waits here to the one that is next free, which then has no room in
    /// its turn, and so on round the fleet. Harm: an engine full for a moment fills up slowly.
    fn cut(&mut self, e: usize, least: f64) {
        let x = &mut self.engines[e];
        if self.now >= x.cut_at + CAP_EVERY {
            x.cut_at = self.now;
            x.cap = x.cap.min((x.threads() * CAP_CUT).max(least).max(1.0));
        }
    }

    fn stalls(&self) -> bool {
        self.s.classes.iter().any(|c| c.waits_for_loads)
    }

    /// Our part of its budget is below one query: our own account says nothing of how crowded it is.
    fn blind(&self, e: &Engine, threads: f64) -> bool {
        self.budget(e) < threads
    }

    fn room(&self, e: usize, threads: f64) -> bool {
        let e = &self.engines[e];
        // A budget below one query is a draw: so all gateways together keep to the engine's budget.
        let draw = if self.blind(e, threads) { e.draw * threads } else { 0.0 };
        let pressed = self.crowding(e).unwrap_or(self.crowd_of(e.zone)) > 1.0;
        let capped = !e.out.is_empty() && e.threads() + threads > e.cap;
        self.now >= e.full_until && !capped && (!pressed || e.threads() + threads <= self.budget(e) + draw)
    }

    /// Threads or memory in use at an engine, as parts of what it bears: by its report and what we sent
    /// since, never below what we have there ourselves. `None`: nothing is known.
    fn crowding(&self, e: &Engine) -> Option<f64> {
        let bears = self.bears(e);
        let since = e.out.iter().filter(|r| r.sent > e.reported).count() as f64;
        // Readers that stand still behind a load are in hand but run on nothing: there memory alone tells, if
        // it is told; idle cores do not, for queries that lack memory or disks leave them idle too.
        let told = |f| self.s.report_fields.contains(&f);
        let by_memory = self.stalls() && told(ReportField::MemoryGranted);
        let full = if self.s.engines.overcommits_memory { MEMORY_FULL } else { 1.0 };
        // Where nothing tells of memory, what is in hand stands for it.
        let unseen = if told(ReportField::MemoryGranted) { 1.0 } else { full * full };
        let in_hand = (e.inflight + since) * self.width / (bears * unseen);
        let threads = if by_memory {
            0.0
        } else if !told(ReportField::Inflight) {
            // Of x threads a core met at random, exp(-x) of the cores are idle. Queries that lack disks or
            // memory leave cores idle too: then only the stretch of answers tells.
            let busy = -(1.0 - e.cpu_busy.min(SATURATED)).ln();
            in_hand + busy.max(e.stretch.or(0.0)) / THREADS_PER_CORE
        } else {
            in_hand
        };
        // What waits for memory is demand that the granted share does not show.
        let memory = e.memory_granted * e.inflight.max(1.0) / (e.inflight - e.memory_queue).max(1.0);
        let known = self.now <= e.reported + FRESH || !e.out.is_empty() && e.reported > f64::MIN;
        let runs = |r: &&Running| !by_memory || !self.s.classes[r.class].waits_for_loads;
        let ours = e.out.iter().filter(runs).map(|r| r.threads).sum::<f64>() / bears;
        if known { Some(threads.max(memory / full).max(ours)) } else { (ours > 1.0).then_some(ours) }
    }

    fn report(&mut self, engine: usize, report: &[f64]) {
        if report.is_empty() || report.iter().any(|v| !v.is_finite() || *v < 0.0) {
            return;
        }
        let x = &mut self.engines[engine];
        x.reported = self.now;
        for (field, &v) in self.s.report_fields.iter().zip(report) {
            match field {
                ReportField::Inflight => x.inflight = v,
                ReportField::CpuBusy => x.cpu_busy = v,
                ReportField::MemoryGranted => x.memory_granted = v,
                ReportField::MemoryQueue => x.memory_queue = v,
                _ => {}
            }
        }
        let crowd = self.crowding(&self.engines[engine]).unwrap_or(1.0);
        self.pool(engine, crowd);
    }

    // ---- engine health ---------------------------------------------------------------------------

    /// Failures of late, as a part of its endings; one counts half.
    fn failing(&self, e: usize) -> f64 {
        self.engines[e].fails.sum / (self.engines[e].fails.weight + 1.0)
    }

    fn judge(&mut self, e: usize, outcome: Outcome) {
        let failed = matches!(outcome, Outcome::Error | Outcome::Unreachable | Outcome::Reset);
        if failed || outcome == Outcome::Served {
            self.engines[e].fails.add(f64::from(u8::from(failed)), KEEP_ENGINE);
        }
    }

    /// Its notes have ceased though its engine speaks on. Harm: where only notes get lost, a repeat in vain.
    fn lost(&self, e: &Engine, r: &Running) -> bool {
        let every = self.s.engines.progress_interval;
        every > 0.0 && self.least_crowd() <= HOME_FULL && e.heard > r.heard.max(e.speaks) + LOST * every
    }

    /// It owes this answer for long and is silent since, while others speak.
    fn overdue(&self, e: &Engine, r: &Running) -> bool {
        let since = r.sent.max(e.heard);
        e.started.is_none_or(|t| r.sent >= t)
            && self.heard > since
            && self.now - since > (OVERDUE * self.expected(r.class, r.work)).max(SILENCE_MIN)
    }

    /// Fails or is silent. Such an engine is passed over, never shut out: a mended one is back as its
    /// failures age, and a common trouble bars nobody. Guards against fast errors, dead and hung processes
    /// and stale lists; harm: a heavy query on a quiet engine sends others elsewhere for a while.
    fn doubtful(&self, e: usize) -> bool {
        let x = &self.engines[e];
        self.failing(e) > FAIL_LIMIT || x.out.iter().any(|r| self.overdue(x, r))
    }

    /// So many processes make the decisions of this gateway now, and share what a cold engine may get.
    pub fn set_process_count(&mut self, processes: u32) {
        self.shared = (self.processes, self.now);
        self.processes = f64::from(processes.max(1));
    }

    /// Whether this engine is left out now, by its name.
    pub fn is_ejected(&self, engine: &str) -> bool {
        self.names.get(engine).is_some_and(|&e| self.doubtful(e))
    }

    // ---- attempts --------------------------------------------------------------------------------

    fn ended(&mut self, e: Ended, out: &mut Vec<Action>) {
        let Some(h) = self.held.get_mut(&e.id) else { return };
        let Some(a) = h.attempts.get_mut(e.attempt as usize).filter(|a| a.out) else { return };
        a.out = false;
        let proven = matches!(e.outcome, Outcome::Rejected | Outcome::Unreachable | Outcome::NeverStarted);
        a.may_have_run = !proven;
        let (engine, sent) = (a.engine, a.sent);
        let over = e.last || e.outcome == Outcome::Served;
        h.over |= over;
        let (class, waited) = (h.q.class, h.waited);
        let (est_work, est_memory) = (h.q.work, h.q.memory_mb);
        let still_out = h.attempts.iter().any(|a| a.out);
        let expected_work = self.work(&self.held[&e.id].q);
        let threads = self.s.classes[class].threads;
        let now = self.now;
        let x = &mut self.engines[engine];
        // What its process before a restart had says nothing of this one.
        let void = x.started.is_some_and(|t| sent < t);
        let stood = x.out.iter().any(|r| (r.id, r.attempt) == (e.id, e.attempt) && r.stood);
        x.out.retain(|r| (r.id, r.attempt) != (e.id, e.attempt));
        if !matches!(e.outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::NeverStarted) {
            self.heard = x.hear(now, LOST * self.s.engines.progress_interval);
        }
        let stretch = (now - sent) * threads / self.usual_work(class);
        if e.outcome == Outcome::Served {
            self.engines[engine].stretch.add(stretch.min(BAD_PLAN), KEEP_PERIOD);
        }
        self.report(engine, if void { &[] } else { &e.report });
        // No answer, so no report, and none since it was sent: that it ran for so long is all that tells of a
        // jam, where no probe may ask. Harm: lost answers and bad plans count, as their part of all.
        let unanswered = matches!(e.outcome, Outcome::TimedOut | Outcome::Cancelled) && !stood;
        let unheard = !self.s.limits.probes && self.engines[engine].reported < sent;
        if unanswered && unheard && stretch > BAD_PLAN {
            self.pool(engine, SLOW);
        }
        // Work of which no answer tells is read off answers from engines with idle cores.
        let x = &self.engines[engine];
        let idle = self.crowding(x).is_none_or(|c| c * THREADS_PER_CORE <= 1.0);
        let calm = idle && self.crowd_of(x.zone) <= HOME_FULL;
        if matches!(e.outcome, Outcome::Rejected | Outcome::Unreachable) && !void {
            self.engines[engine].full_until = now + FULL_FOR;
            self.cut(engine, 0.0);
        }
        if e.outcome == Outcome::Served {
            let x = &mut self.engines[engine];
            x.cap += GROW * threads / x.cap.max(1.0);
            let latency = (now - sent).max(1e-3);
            let work = e.work.filter(|w| w.is_finite() && *w > 0.0);
            let c = &mut self.classes[class];
            c.served += 1.0;
            c.service_sum += latency;
            c.slowdown_sum += waited / latency;
            c.latency.add(latency, KEEP_CLASS);
            if work.is_some() || calm && !stood {
                c.work.add(work.unwrap_or(latency * threads), KEEP_CLASS);
            }
            c.pace.add((latency * threads / expected_work).ln(), KEEP_CLASS);
            if let (Some(w), Some(est)) = (work, est_work) {
                c.read_work.add(est.ln(), w.ln(), KEEP_CLASS);
            }
            if let (Some(m), Some(est)) = (e.memory_mb.filter(|m| m.is_finite() && *m > 0.0), est_memory) {
                c.read_memory.add(est.ln(), m.ln(), KEEP_CLASS);
            }
        }
        self.judge(engine, if void { Outcome::NeverStarted } else { e.outcome });
        let latency_objective = self.latency_objective(class, e.work.unwrap_or(self.usual_work(class)));
        let in_time = e.outcome == Outcome::Served && now - sent <= latency_objective;
        // Only a window in use grows: one that was never filled says nothing of what engines bear.
        if in_time && 2.0 * (self.running() + threads) >= self.window {
            self.window += GROW * threads / self.window.max(1.0);
        }
        if !proven && e.outcome != Outcome::Served {
            self.rest(e.id);
        }
        if over {
            self.close(e.id, out);
        } else if !still_out {
            self.again(e.id, out);
        }
        self.forget(e.id);
    }

    /// Another attempt if the rules, the budget and the time left allow one, else the final answer at once.
    fn again(&mut self, id: QueryId, out: &mut Vec<Action>) {
        let Some(h) = self.held.get_mut(&id).filter(|h| !h.over) else { return };
        h.queued_at = self.now;
        let h = &self.held[&id];
        if h.deadline - self.now > 2.0 * TICK && (0..self.engines.len()).any(|e| self.may_send(h, e)) {
            self.classes[h.q.class].queue.push_front(id);
        } else {
            self.give_up(id, out);
        }
    }

    fn progress(&mut self, id: QueryId, attempt: u32, note: ProgressNote, out: &mut Vec<Action>) {
        let Some(h) = self.held.get(&id) else { return };
        let Some(a) = h.attempts.get(attempt as usize).filter(|a| a.out) else { return };
        let (engine, class) = (a.engine, h.q.class);
        let threads = self.s.classes[class].threads;
        let x = &mut self.engines[engine];
        self.heard = x.hear(self.now, LOST * self.s.engines.progress_interval);
        let Some(r) = x.out.iter_mut().find(|r| (r.id, r.attempt) == (id, attempt)) else { return };
        (r.heard, r.threads) = (self.now, if note == ProgressNote::Idle { 0.0 } else { threads });
        if note == ProgressNote::WaitsForMemory {
            // It stands in the engine's line and nothing has run: a full refusal in other words, and a move
            // is free. Harm: an attempt and its place in line, in vain where every engine has a line.
            self.cut(engine, self.budget(&self.engines[engine]));
            self.pool(engine, SLOW);
            let other = |e: usize| {
                e != engine && self.engines[e].state == EngineState::Ready && self.room(e, threads)
            };
            return if self.least_crowd() <= HOME_FULL && (0..self.engines.len()).any(other) {
                self.rescue(id, attempt, out)
            };
        }
        if note == ProgressNote::WaitsForLoad {
            // A load of another gateway holds what this one reads: elsewhere it need not wait.
            // Harm: a short hold costs an attempt and the work of a restart.
            r.stood = true;
            let group = r.tables;
            x.held.retain(|_, at| self.now < *at + HOLD_TOLD);
            x.held.extend(group.map(|g| (g, self.now)));
            return self.rescue(id, attempt, out);
        }
        let (granted, threads) = (r.granted, r.threads);
        if let ProgressNote::SpilledMemory(short) = note {
            // Its need is known now, at its start: elsewhere it gets that (an engine's own choice is taken
            // for its threads' part). Guards against estimates far too low or none; harm: an attempt and a
            // restart, in vain where no engine has the memory, so only once.
            let chosen = self.memory(&self.engines[engine]) / self.bears(&self.engines[engine]) * threads;
            let need = if granted > 0.0 { granted } else { chosen } + short;
            if self.s.engines.accepts_memory_grants && need.is_finite() && h.need_mb.is_none() {
                self.held.get_mut(&id).into_iter().for_each(|h| h.need_mb = Some(need));
                if short > SPILL * need {
                    self.rescue(id, attempt, out);
                }
            }
            return;
        }
        let ProgressNote::Completed(done) = note else { return };
        r.done = if done.is_finite() { done.clamp(0.0, 1.0) } else { return };
        let elapsed = self.now - r.sent;
        let (work, done) = (r.work, r.done.max(1e-3));
        let pace = (elapsed * threads / (done * work)).ln();
        let c = &mut self.classes[class];
        let peers = c.pace.after(BELIEVE, BAD_PLAN.ln());
        let left = elapsed * (1.0 - done) / done;
        let fresh = work / threads * peers.exp();
        // It will not be done before its client leaves, and no new draw would: what it holds goes to others.
        // Harm: a pace is rough; a query is given up that would have been answered late.
        if self.now + left > h.deadline + left * DOOMED && self.now + fresh > h.deadline {
            return self.give_up(id, out);
        }
        // A bad plan: far behind its peers' pace, and a new draw would be done much sooner.
        if pace > peers + BAD_PLAN.ln() && left > 2.0 * fresh && self.now + fresh < h.deadline {
            self.rescue(id, attempt, out);
        }
    }

    /// Calls an attempt off to send its query elsewhere, where that is harmless and stops the work.
    fn rescue(&mut self, id: QueryId, attempt: u32, out: &mut Vec<Action>) {
        let Some(h) = self.held.get_mut(&id).filter(|h| !h.over && !h.streaming) else { return };
        let spare = (h.attempts.len() as u32) < self.s.limits.max_attempts;
        // A keyed one may run again while engines remember it; half of that is left for the move.
        let until = match self.s.classes[h.q.class].idempotency {
            Idempotency::Idempotent => f64::INFINITY,
            Idempotency::Keyed { window, .. } => h.attempts[0].sent + window / 2.0,
            Idempotency::NonIdempotent => f64::MIN,
        };
        if self.s.limits.cancel && spare && self.now < until {
            out.push(Action::Cancel { id, attempt });
        }
    }

    // ---- admission -------------------------------------------------------------------------------

    /// The regular look: sampling period, silent engines, queries that can no longer meet their aim.
    fn look(&mut self, out: &mut Vec<Action>) {
        if self.s.must_subscribe && self.now >= self.ask_at {
            self.ask_at = f64::INFINITY;
            out.push(Action::Subscribe);
        }
        if self.now >= self.period_end {
            self.sample();
            self.lines.retain(|_, l| !l.ids.is_empty() || l.rest_until > self.now);
            self.period_end = self.now + PERIOD;
        }
        let silent =
            self.engines.iter().flat_map(|x| x.out.iter().filter(|r| self.overdue(x, r) || self.lost(x, r)));
        let silent: Vec<_> = silent.map(|r| (r.id, r.attempt)).collect();
        for (id, attempt) in silent {
            self.rescue(id, attempt, out);
        }
        let late: Vec<QueryId> = self
            .classes
            .iter()
            .flat_map(|c| &c.queue)
            .copied()
            .filter(|id| self.held.get(id).is_none_or(|h| self.hopeless(h)))
            .collect();
        for id in late {
            self.give_up(id, out);
        }
    }

    /// It waits for the probes of its pair, not for room.
    fn asking(&self, h: &Held) -> bool {
        !h.pair.is_empty() && self.now < h.ask_until
    }

    /// A held query that can no longer meet its aim or be repeated, or is beyond its tenant's share.
    fn hopeless(&self, h: &Held) -> bool {
        let work = self.work(&h.q);
        let latency_objective = h.arrived + self.latency_objective(h.q.class, work);
        let repeats = h.repeats_until(self.s.classes[h.q.class].idempotency) - TICK;
        let answer_by = (h.deadline - 2.0 * TICK.max(self.s.step)).min(repeats);
        let late = self.now + self.expected(h.q.class, work) > latency_objective.min(h.deadline);
        self.now >= answer_by || !self.asking(h) && (late || h.over_quota || self.too_heavy(&h.q))
    }

    /// Engines are crowded and it earns little for its work beside the mean of all: a few such hold what many
    /// others would need. The more crowded, the nearer to the mean. Guards against surges, bad plans and
    /// heavy tails that push engines past their knee; harm: a heavy query is refused that would have run.
    fn too_heavy(&self, q: &Query) -> bool {
        let over = || (self.least_crowd() - HEAVY_FROM) / (HOME_FULL - HEAVY_FROM);
        let gain = self.s.classes[q.class].priority_weight / self.work(q);
        q.work.is_some() && gain < over() * self.mean_worth.or(1.0) / self.mean_work.or(1.0)
    }

    /// The final answer to a query that will not be sent: a refusal with advice where the rules allow it.
    fn give_up(&mut self, id: QueryId, out: &mut Vec<Action>) {
        let Some(h) = self.held.get_mut(&id).filter(|h| !h.over) else { return };
        let ran = h.attempts.iter().any(|a| a.out || a.may_have_run);
        let retry_safe = match self.s.classes[h.q.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { group, .. } => !ran || group == DeduplicationScope::All,
            Idempotency::NonIdempotent => !ran,
        };
        let l = &self.s.limits;
        let retry_after = l.sends_retry_after.then_some(l.max_retry_after.min(PERIOD));
        out.push(if retry_safe { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        self.left(id, out);
    }

    fn left(&mut self, id: QueryId, out: &mut Vec<Action>) {
        self.held.get_mut(&id).into_iter().for_each(|h| h.over = true);
        self.close(id, out);
        self.forget(id);
    }

    /// The query is over: out of its queue, attempts that are still out called off.
    fn close(&mut self, id: QueryId, out: &mut Vec<Action>) {
        let Some(h) = self.held.get(&id) else { return };
        self.classes[h.q.class].queue.retain(|&q| q != id);
        if self.s.limits.cancel && !h.streaming {
            for (k, _) in h.attempts.iter().enumerate().filter(|(_, a)| a.out) {
                out.push(Action::Cancel { id, attempt: k as u32 });
            }
        }
    }

    /// Drops a query that is over and has no attempt out.
    fn forget(&mut self, id: QueryId) {
        let Some(h) = self.held.get(&id).filter(|h| h.over && h.attempts.iter().all(|a| !a.out)) else {
            return;
        };
        if let Some(key) = &h.q.key
            && let Some(line) = self.lines.get_mut(key)
        {
            line.ids.retain(|&q| q != id);
            if line.ids.is_empty() && line.rest_until <= self.now {
                self.lines.remove(key);
            }
        }
        self.held.remove(&id);
    }

    fn rest(&mut self, id: QueryId) {
        let until = self.now + self.s.rules.order_quiet_period;
        if let Some(key) = self.held.get(&id).and_then(|h| h.q.key.as_ref())
            && let Some(line) = self.lines.get_mut(key)
        {
            line.rest_until = line.rest_until.max(until);
        }
    }

    // ---- rule guards: the one send path ------------------------------------------------------------

    /// Rules 1 to 7 for sending this query to this engine now.
    fn may_send(&self, h: &Held, e: usize) -> bool {
        let x = &self.engines[e];
        let c = &self.s.classes[h.q.class];
        let out = h.attempts.iter().filter(|a| a.out).count();
        let first = h.attempts.iter().find(|a| a.out || a.may_have_run);
        // 1: nothing after the end, nor beyond the attempts allowed.
        !h.over
            && !h.streaming
            && self.now < h.deadline
            && (h.attempts.len() as u32) < self.s.limits.max_attempts
            // 2: no double effect.
            && (out == 0 || self.s.limits.hedging)
            && first.is_none_or(|a| match c.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::NonIdempotent => false,
                Idempotency::Keyed { group, .. } => {
                    self.now + TICK < h.repeats_until(c.idempotency)
                        && match group {
                            DeduplicationScope::All => true,
                            DeduplicationScope::Zone => self.engines[a.engine].zone == x.zone,
                            DeduplicationScope::Cell => self.engines[a.engine].cell == x.cell,
                        }
                }
            })
            // 3: only to engines in service; the grace is not used.
            && x.state == EngineState::Ready
            // 4: a cold engine gets our part of its budget over any window.
            && self.cold_chance(x, self.cold_work(&h.q)) > 0.0
            // 5: the key's turn.
            && self.turn(h)
            // 6: placement.
            && c.allowed_zones.as_ref().is_none_or(|z| x.zone.is_some_and(|v| z.contains(&v)))
            && c.allowed_kinds.as_ref().is_none_or(|k| x.kind.is_some_and(|v| k.contains(&v)))
            // 7: further attempts within their budget.
            && (h.attempts.is_empty() || self.further_left())
    }

    /// The chance of such a query at a cold engine. A gateway keeps to its part of what that stands in any
    /// window; a part below one is drawn: the mean of all gateways stays four standard deviations below.
    fn cold_chance(&self, x: &Engine, work: f64) -> f64 {
        let Some(started) = x.started.filter(|_| self.cold(x)) else { return 1.0 };
        let (r, from) = (&self.s.rules, self.now - self.s.rules.overload_window);
        // The part of a process that ended within the window is not ours yet.
        let shared = if from < self.shared.1 { self.shared.0 } else { 1.0 };
        let n = f64::from(self.s.dispatchers) * self.processes.max(shared);
        // It warms evenly, as far as answers tell: held to its first share of capacity for all its cold
        // time, it stood nearly idle while the warm ones were jammed. Harm: one that warms late gets more.
        let warm = r.initial_warm_up_capacity + (1.0 - r.initial_warm_up_capacity) * ((self.now - started) / r.warm_up_period).clamp(0.0, 1.0);
        let stands = r.overload_multiple * self.cores(x) * warm * r.overload_window / work;
        let (part, mean) = (COLD_SAFETY * stands / n, ((4.0 + stands).sqrt() - 2.0).powi(2) / n);
        let (sent, lots) = x.sent.since(from, work);
        // Before our process began another may have had its part: as much of what it left. Harm: slow starts.
        let (known, rest) = (from.max(started) >= self.began, 1.0 - COLD_SAFETY);
        match () {
            () if part >= 1.0 => f64::from(u8::from(sent + 1.0 <= part * if known { 1.0 } else { rest })),
            () if known && lots < DRAWN * mean => (mean - lots).min(1.0),
            () => 0.0,
        }
    }

    /// Whether such a query goes there, by lot: what it brings on average is spent either way, of lots.
    fn draw(&mut self, e: usize, work: f64) -> bool {
        let chance = self.cold_chance(&self.engines[e], work);
        let drawn = chance >= 1.0 || self.rng.rand_float() < chance;
        let part = if drawn { 1.0 } else { chance };
        self.engines[e].sent.charge(self.now, self.s.rules.overload_window, work, part);
        drawn
    }

    fn turn(&self, h: &Held) -> bool {
        let line = h.q.key.as_ref().filter(|_| self.s.classes[h.q.class].in_order);
        line.and_then(|k| self.lines.get(k)).is_none_or(|l| {
            l.ids.front() == Some(&h.q.id) && (self.now >= l.rest_until || !h.attempts.is_empty())
        })
    }

    fn further_left(&self) -> bool {
        let Some(b) = self.s.rules.retry_budget else { return true };
        let used = self.further.since((self.now - b.window).next_down());
        let taken = self.taken.iter().filter(|&&t| t > self.now - b.window).count() as f64;
        used + 1.0 <= b.min_retries + b.retry_ratio * taken
    }

    /// Every attempt goes through here.
    fn send(&mut self, id: QueryId, e: usize, out: &mut Vec<Action>) -> bool {
        let Some(h) = self.held.get(&id).filter(|h| self.may_send(h, e)) else { return false };
        let drawn = self.draw(e, self.cold_work(&h.q));
        let Some(h) = self.held.get(&id).filter(|_| drawn) else { return false };
        let (class, work) = (h.q.class, self.work(&h.q));
        let threads = self.s.classes[class].threads;
        let facts = &self.s.engines;
        let mut granted = 0.0;
        if facts.accepts_memory_grants || facts.accepts_priority {
            granted = self.grant(h, e);
            // The best class first, then loads, since readers wait for them. Where memory that runs out slows
            // all, a query put back only holds its memory for longer.
            let priority = match self.s.classes[class].holds_tables {
                _ if facts.overcommits_memory => 1,
                true => 2,
                false if self.classes.len() > 1 && self.scan_order()[0] == class => 3,
                false => 1,
            };
            out.push(Action::Terms { id, priority, memory_mb: granted });
        }
        let now = self.now;
        let horizon = self.s.rules.retry_budget.map_or(0.0, |b| b.window);
        let Some(h) = self.held.get_mut(&id) else { return false };
        let attempt = h.attempts.len() as u32;
        self.further.charge(now, horizon, f64::from(attempt.min(1)));
        self.taken.retain(|&t| t >= now - horizon);
        h.waited += now - h.queued_at;
        (h.pair, h.ask_until) = (vec![], f64::MIN);
        h.attempts.push(Attempt { engine: e, sent: now, out: true, may_have_run: false });
        let x = &mut self.engines[e];
        x.out.push(Running { threads, work, granted, ..Running::new(&h.q, attempt, now) });
        out.push(Action::Send { id, engine: x.name.clone(), timeout: None });
        true
    }
}

#[cfg(test)]
mod tests;
