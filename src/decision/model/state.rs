//! What the module remembers. Plain state and its sums; no decision is made here.

use crate::decision::model::*;
use std::collections::{BTreeMap, VecDeque};

/// A mean that forgets.
#[derive(Clone, Copy, Default)]
pub struct Mean {
    pub sum: f64,
    pub weight: f64,
}

impl Mean {
    pub fn add(&mut self, x: f64, keep: f64) {
        self.sum = self.sum * keep + x;
        self.weight = self.weight * keep + 1.0;
    }
    pub fn age(&mut self, keep: f64) {
        (self.sum, self.weight) = (self.sum * keep, self.weight * keep);
    }
    pub fn get(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
    pub fn or(&self, x: f64) -> f64 {
        self.get().unwrap_or(x)
    }
    /// The mean, or `x` while fewer than `samples` weigh in it.
    pub fn after(&self, samples: f64, x: f64) -> f64 {
        if self.weight < samples { x } else { self.or(x) }
    }
}

/// Sums over pairs that forget: their means and how they vary.
#[derive(Clone, Copy, Default)]
pub struct Pairs {
    pub weight: f64,
    sums: [f64; 5],
}

impl Pairs {
    pub fn add(&mut self, x: f64, y: f64, keep: f64) {
        self.weight = self.weight * keep + 1.0;
        for (sum, v) in self.sums.iter_mut().zip([x, y, x * x, x * y, y * y]) {
            *sum = *sum * keep + v;
        }
    }
    pub fn means(&self) -> (f64, f64) {
        (self.sums[0] / self.weight, self.sums[1] / self.weight)
    }
    /// Variance of x, covariance, variance of y.
    pub fn variances(&self) -> (f64, f64, f64) {
        let ((x, y), [_, _, xx, xy, yy]) = (self.means(), self.sums.map(|s| s / self.weight));
        ((xx - x * x).max(0.0), xy - x * y, (yy - y * y).max(0.0))
    }
}

/// What was spent when, as far back as a span reaches.
#[derive(Default)]
pub struct Account(VecDeque<(Millis, f64)>);

impl Account {
    /// Forgets what lies further back than `span`.
    pub fn charge(&mut self, now: Millis, span: Millis, amount: f64) {
        self.0.retain(|(t, _)| *t >= now - span);
        if amount > 0.0 {
            self.0.push_back((now, amount));
        }
    }
    /// The sum of what was spent after `from`.
    pub fn since(&self, from: Millis) -> f64 {
        self.0
            .iter()
            .filter(|(t, _)| *t > from)
            .map(|(_, amount)| amount)
            .sum()
    }
}

/// What an engine was sent by us: work, and what lots for it have spent. A lot that is lost spends what it would have
/// brought on average of the lots alone, for nothing came of it.
#[derive(Default)]
pub struct Sent {
    work: Account,
    lots: Account,
}

impl Sent {
    /// `part`: 1 if the work was sent, else what its lot would have brought of it on average.
    pub fn charge(&mut self, now: Millis, span: Millis, work: f64, part: f64) {
        self.work
            .charge(now, span, if part >= 1.0 { work } else { 0.0 });
        self.lots.charge(now, span, work * part);
    }

    /// The work after `from` in queries of this work, and the same with lots that were lost.
    pub fn since(&self, from: Millis, work: f64) -> (f64, f64) {
        (self.work.since(from) / work, self.lots.since(from) / work)
    }
}

/// The first `n` of these by `key`, in its order: what a stable sort of them all would begin with.
pub fn first_by<K: Ord>(all: Vec<usize>, n: usize, key: impl Fn(&usize) -> K) -> Vec<usize> {
    let mut keyed: Vec<(K, usize)> = all.into_iter().map(|e| (key(&e), e)).collect();
    if keyed.len() > n {
        keyed.select_nth_unstable(n);
        keyed.truncate(n);
    }
    keyed.sort_unstable();
    keyed.into_iter().map(|(_, e)| e).collect()
}

/// One attempt that an engine has from us.
pub struct Running {
    pub id: QueryId,
    pub attempt: u32,
    pub class: ClassId,
    pub tables: Option<u64>,
    pub threads: f64,
    pub work: f64,
    pub sent: Millis,
    pub done: f64,
    /// When a note of it last came; at first, when it was sent.
    pub heard: Millis,
    /// Memory asked for it, MB; 0 is the engine's choice.
    pub granted: f64,
    /// It stood still behind a load.
    pub stood: bool,
}

impl Running {
    /// Just sent; what it takes there is for the caller to say.
    pub fn new(q: &Query, attempt: u32, now: Millis) -> Self {
        Running {
            id: q.id,
            attempt,
            class: q.class,
            tables: q.tables,
            threads: 0.0,
            work: 0.0,
            sent: now,
            done: 0.0,
            heard: now,
            granted: 0.0,
            stood: false,
        }
    }
}

pub struct Engine {
    pub name: String,
    pub state: EngineState,
    pub started: Option<Millis>,
    pub kind: Option<usize>,
    pub zone: Option<usize>,
    pub cell: i64,
    pub out: Vec<Running>,
    pub full_until: Millis,
    /// Threads that we may have there: unlimited until it shows that it has no room.
    pub cap: f64,
    pub cut_at: Millis,
    /// Its last load report, and when that came.
    pub inflight: f64,
    pub cpu_busy: f64,
    /// Its answers' latency over the usual service time of their classes.
    pub stretch: Mean,
    pub memory_granted: f64,
    pub memory_queue: f64,
    pub reported: Millis,
    pub fails: Mean,
    pub heard: Millis,
    /// Since when it speaks without a pause.
    pub speaks: Millis,
    /// This period's draw, 0 to 1, for a budget below one query.
    pub draw: f64,
    /// Work sent there, or drawn for in vain, in the window in which a cold engine may fall.
    pub sent: Sent,
    /// Groups that a load holds there, and when a note told of it.
    pub held: BTreeMap<u64, Millis>,
}

impl Engine {
    /// A number of its name and `salt`: whoever knows both ranks engines alike.
    pub fn rank(&self, salt: u64) -> u64 {
        let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        self.name.bytes().fold(salt, mix)
    }
    pub fn threads(&self) -> f64 {
        self.out.iter().map(|r| r.threads).sum()
    }
    /// It speaks now; after a silence longer than `pause` it does so anew.
    pub fn hear(&mut self, now: Millis, pause: Millis) -> Millis {
        if now > self.heard + pause {
            self.speaks = now;
        }
        self.heard = now;
        now
    }
    pub fn work(&self) -> f64 {
        self.out.iter().map(|r| r.work * (1.0 - r.done)).sum()
    }
}

#[derive(Clone, Copy)]
pub struct Attempt {
    pub engine: usize,
    pub sent: Millis,
    pub out: bool,
    pub may_have_run: bool,
}

/// A query that this gateway has taken.
pub struct Held {
    pub q: Query,
    pub arrived: Millis,
    pub deadline: Millis,
    /// Its wait here so far, attempts not counted.
    pub waited: Millis,
    pub queued_at: Millis,
    pub attempts: Vec<Attempt>,
    /// The engines that were probed for it, when, and until when it waits for them.
    pub pair: Vec<usize>,
    pub asked_at: Millis,
    pub ask_until: Millis,
    /// Memory that it needs, once a spill has told.
    pub need_mb: Option<f64>,
    pub over_quota: bool,
    pub over: bool,
    pub streaming: bool,
}

#[derive(Default)]
pub struct ClassState {
    pub queue: VecDeque<QueryId>,
    // This sampling period.
    pub arrivals: f64,
    pub service_sum: f64,
    pub slowdown_sum: f64,
    pub served: f64,
    pub held: bool,
    // The controller.
    pub service: f64,
    pub error_sum: f64,
    pub share: f64,
    // What is learned.
    pub work: Mean,
    pub latency: Mean,
    /// Logarithms of estimates and of what they turned out to be.
    pub read_work: Pairs,
    pub read_memory: Pairs,
    pub pace: Mean,
}

/// Queries of one key, in the order taken, and until when the key rests.
#[derive(Default)]
pub struct Line {
    pub ids: VecDeque<QueryId>,
    pub rest_until: Millis,
}

pub struct Bucket {
    pub tokens: f64,
    pub at: Millis,
}

impl Engine {
    pub fn new(entry: &EngineEntry) -> Self {
        Engine {
            name: entry.engine.clone(),
            state: entry.state,
            started: entry.started,
            kind: entry.kind,
            zone: entry.zone,
            cell: entry.cell,
            out: vec![],
            full_until: f64::MIN,
            cap: f64::INFINITY,
            cut_at: f64::MIN,
            inflight: 0.0,
            cpu_busy: 0.0,
            stretch: Mean::default(),
            memory_granted: 0.0,
            memory_queue: 0.0,
            reported: f64::MIN,
            fails: Mean::default(),
            heard: f64::MIN,
            speaks: f64::MIN,
            draw: 0.0,
            sent: Sent::default(),
            held: BTreeMap::new(),
        }
    }
}

impl Held {
    pub fn new(q: Query, now: Millis) -> Self {
        Held {
            arrived: now,
            deadline: now + q.time_left,
            waited: 0.0,
            queued_at: now,
            attempts: vec![],
            pair: vec![],
            asked_at: now,
            ask_until: f64::MIN,
            need_mb: None,
            over_quota: false,
            over: false,
            streaming: false,
            q,
        }
    }

    /// Engines drop a repeat of it until then, counted from the first attempt that may have run.
    pub fn repeats_until(&self, idempotency: Idempotency) -> Millis {
        let first = self.attempts.iter().find(|a| a.out || a.may_have_run);
        first.map_or(f64::INFINITY, |a| match idempotency {
            Idempotency::Idempotent => f64::INFINITY,
            Idempotency::Keyed { window, .. } => a.sent + window,
            Idempotency::NonIdempotent => f64::MIN,
        })
    }
}
