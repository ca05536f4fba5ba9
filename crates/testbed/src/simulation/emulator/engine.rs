//! The engine itself.

use super::params::Params;
use query_dispatcher::ProgressNote;
use std::collections::{BTreeMap, VecDeque};

/// The caller's own number of a query on this engine.
pub type JobId = u64;

/// What is sent to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Time on one thread of a free engine of speed 1, in milliseconds.
    pub work: f64,
    pub threads: f64,
    /// The part of its work that reads or writes.
    pub io: f64,
    /// What it needs, and what it was granted (0: the engine chooses), in megabytes.
    pub need_mb: f64,
    pub grant_mb: f64,
    pub area: u64,
    /// It holds its area until it ends: whoever stands still for that waits.
    pub holds: bool,
    /// It stands still while another holds its area.
    pub stands: bool,
    /// Who sent it: told when somebody waits for it.
    pub from: u32,
}

/// How a query left its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    /// Its engine ended, with all that it had.
    Lost,
}

/// What a query is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Runs,
    /// Its grant does not fit.
    InLine,
    /// A load of this sender holds its area.
    Stands(u32),
}

/// Where a query's time on its engine went, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Waits {
    pub ran: f64,
    pub in_line: f64,
    /// By whose load it stood.
    pub stood: BTreeMap<u32, f64>,
}

#[derive(Clone, Debug)]
struct Run {
    job: Job,
    /// Work as it is here: with what a warm area saves and what a spill adds.
    total: f64,
    done: f64,
    /// Of the work as it is here.
    io: f64,
    granted: f64,
    state: State,
    waits: Waits,
    noted: f64,
}

/// One engine's process.
#[derive(Clone, Debug)]
pub struct Emulator {
    params: Params,
    now: f64,
    started: f64,
    runs: BTreeMap<JobId, Run>,
    line: VecDeque<JobId>,
    granted: f64,
    /// Read last at the back.
    warm: VecDeque<u64>,
    /// What it was sent while it was cold: when, and how much work.
    sent: VecDeque<(f64, f64)>,
    /// The part of the machine that others take.
    taken: f64,
    /// It takes what it is sent, does nothing and says nothing.
    hung: bool,
    /// It fell over, and stays down.
    fallen: bool,
    /// When and what it last saw of itself.
    seen: (f64, [f64; 2]),
    /// Thread-milliseconds done in all, and what it was sent.
    pub done: f64,
    /// Milliseconds in which anything ran.
    pub busy: f64,
}

/// Work below this is done: what is left of a sum of many steps.
const DUST: f64 = 1e-6;

impl Emulator {
    /// A process that starts now; `warm` from the beginning, as one that started long ago.
    pub fn new(params: Params, now: f64, warm: bool) -> Self {
        let started = if warm {
            now - params.warm_up_period - params.overload_window - 1.0
        } else {
            now
        };
        Emulator {
            params,
            now,
            started,
            runs: BTreeMap::new(),
            line: VecDeque::new(),
            granted: 0.0,
            warm: VecDeque::new(),
            sent: VecDeque::new(),
            taken: 0.0,
            hung: false,
            fallen: false,
            seen: (now, [0.0, 0.0]),
            done: 0.0,
            busy: 0.0,
        }
    }

    pub fn params(&self) -> &Params {
        &self.params
    }

    /// When its process started.
    pub fn started(&self) -> f64 {
        self.started
    }

    pub fn len(&self) -> usize {
        self.runs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    pub fn hung(&self) -> bool {
        self.hung
    }

    pub fn fallen(&self) -> bool {
        self.fallen
    }

    /// The part of its full work that it can do at this moment.
    pub fn capacity_part(&self, now: f64) -> f64 {
        let age = now - self.started;
        let warm = match self.params.warm_up_period {
            w if w <= 0.0 || age >= w => 1.0,
            w => {
                self.params.initial_warm_up_capacity
                    + (1.0 - self.params.initial_warm_up_capacity) * (age / w).max(0.0)
            }
        };
        warm * (1.0 - self.taken)
    }

    fn cold(&self, now: f64) -> bool {
        now < self.started + self.params.warm_up_period
    }

    /// Another program takes this part of the machine from now on.
    pub fn neighbour(&mut self, now: f64, part: f64) {
        self.advance(now);
        self.taken = part.clamp(0.0, 0.95);
    }

    pub fn hang(&mut self, now: f64, hung: bool) {
        self.advance(now);
        self.hung = hung;
    }

    /// How quickly each thread goes on, as a part of a free core's: for what computes, and for what reads.
    fn rates(&self) -> (f64, f64) {
        let p = &self.params;
        let (mut threads, mut reading) = (0.0, 0.0);
        for r in self.runs.values().filter(|r| r.state == State::Runs) {
            threads += r.job.threads;
            reading += r.job.threads * r.io;
        }
        let crowd = threads / p.cores;
        let part = self.capacity_part(self.now);
        let falls = (1.0 - p.fall * (crowd - p.knee).max(0.0)).max(p.floor);
        let compute = p.speed * part * falls * (1.0 / crowd).min(1.0);
        let disks = p.speed * part * falls * (p.disks / reading.max(1e-9)).min(1.0);
        (compute, disks)
    }

    /// Work a query does in a millisecond.
    fn pace(r: &Run, (compute, disks): (f64, f64)) -> f64 {
        // Each piece of work computes for a part of its time and reads for the rest, one after the other.
        r.job.threads / ((1.0 - r.io) / compute.max(1e-12) + r.io / disks.max(1e-12))
    }

    /// Lets time pass. What ends within it must have been asked for by [`Emulator::next`].
    pub fn advance(&mut self, now: f64) {
        // Rates change while an engine warms up: small steps follow that closely enough.
        while self.now < now {
            let step = if self.cold(self.now) {
                (now - self.now).min(50.0)
            } else {
                now - self.now
            };
            self.step(self.now + step);
        }
    }

    fn step(&mut self, now: f64) {
        let span = now - self.now;
        if !self.hung && !self.fallen {
            let rates = self.rates();
            let mut any = false;
            for r in self.runs.values_mut() {
                match r.state {
                    State::Runs => {
                        let did = (Self::pace(r, rates) * span).min(r.total - r.done);
                        r.done += did;
                        self.done += did;
                        r.waits.ran += span;
                        any = true;
                    }
                    State::InLine => r.waits.in_line += span,
                    State::Stands(whose) => *r.waits.stood.entry(whose).or_default() += span,
                }
            }
            self.busy += if any { span } else { 0.0 };
        }
        self.now = now;
        if self.now >= self.seen.0 + self.params.report_every {
            self.seen = (self.now, self.truth());
        }
    }

    fn truth(&self) -> [f64; 2] {
        [
            self.runs.len() as f64,
            (self.granted / self.params.memory_mb).min(1.0),
        ]
    }

    /// Takes a query; false if it has no room for another. `id` is new.
    pub fn send(&mut self, now: f64, id: JobId, job: Job) -> bool {
        self.advance(now);
        if self.runs.len() >= self.params.sessions {
            return false;
        }
        let p = &self.params;
        if self.cold(now) {
            self.sent.retain(|(t, _)| *t > now - p.overload_window);
            self.sent.push_back((now, job.work));
            let sent: f64 = self.sent.iter().map(|s| s.1).sum();
            let can = p.cores * p.speed * self.capacity_part(now) * p.overload_window;
            if sent > p.overload_multiple * can {
                self.fallen = true;
            }
        }
        let granted = if job.grant_mb > 0.0 {
            job.grant_mb
        } else {
            job.need_mb * p.own_grant
        };
        let granted = granted.min(p.memory_mb);
        let lacks = if job.need_mb > 0.0 {
            (1.0 - granted / job.need_mb).max(0.0)
        } else {
            0.0
        };
        let reads = job.work * job.io;
        let saved = if self.warm.contains(&job.area) {
            reads * p.warm_saves
        } else {
            0.0
        };
        let total = ((job.work - saved) * (1.0 + (p.spill - 1.0) * lacks)).max(DUST * 2.0);
        let io = ((reads - saved) / (job.work - saved).max(DUST)).clamp(0.0, 1.0);
        let run = Run {
            job,
            total,
            done: 0.0,
            io,
            granted,
            state: State::InLine,
            waits: Waits::default(),
            noted: now,
        };
        self.runs.insert(id, run);
        self.line.push_back(id);
        self.settle();
        true
    }

    /// Lets in from the line what fits, in turn, and finds who stands still behind whom.
    fn settle(&mut self) {
        while let Some(&id) = self.line.front() {
            let Some(r) = self.runs.get_mut(&id) else {
                self.line.pop_front();
                continue;
            };
            let fits = self.granted + r.granted <= self.params.memory_mb + DUST;
            if !fits && self.granted > 0.0 {
                break;
            }
            self.granted += r.granted;
            r.state = State::Runs;
            let area = r.job.area;
            self.line.pop_front();
            self.warm.retain(|a| *a != area);
            self.warm.push_back(area);
            while self.warm.len() > self.params.warm_areas {
                self.warm.pop_front();
            }
        }
        let held: BTreeMap<u64, (JobId, u32)> = self
            .runs
            .iter()
            .filter(|(_, r)| r.job.holds && r.state != State::InLine)
            .map(|(id, r)| (r.job.area, (*id, r.job.from)))
            .collect();
        for (id, r) in &mut self.runs {
            if r.state == State::InLine || !r.job.stands {
                continue;
            }
            r.state = match held.get(&r.job.area) {
                Some((holder, from)) if holder != id => State::Stands(*from),
                _ => State::Runs,
            };
        }
    }

    /// Takes a query out before its end.
    pub fn cancel(&mut self, now: f64, id: JobId) -> Option<Waits> {
        self.advance(now);
        self.remove(id)
    }

    fn remove(&mut self, id: JobId) -> Option<Waits> {
        let r = self.runs.remove(&id)?;
        if r.state != State::InLine {
            self.granted = (self.granted - r.granted).max(0.0);
        }
        self.line.retain(|l| *l != id);
        if self.runs.is_empty() {
            self.granted = 0.0;
        }
        self.settle();
        Some(r.waits)
    }

    /// When something ends next, as things are now; none while nothing runs.
    pub fn next(&self) -> Option<f64> {
        if self.hung || self.fallen {
            return None;
        }
        let rates = self.rates();
        let runs = self.runs.values().filter(|r| r.state == State::Runs);
        let next =
            runs.map(|r| self.now + (r.total - r.done).max(0.0) / Self::pace(r, rates).max(1e-12));
        let next = next.reduce(f64::min)?;
        // A cold engine quickens: what is far is looked at again.
        Some(if self.cold(self.now) {
            next.min(self.now + 100.0)
        } else {
            next
        })
    }

    /// What has ended by now, with where its time went.
    pub fn ended(&mut self, now: f64) -> Vec<(JobId, Waits)> {
        self.advance(now);
        let over = |r: &Run| r.state == State::Runs && r.total - r.done <= DUST * r.total.max(1.0);
        let ids: Vec<JobId> = self
            .runs
            .iter()
            .filter(|(_, r)| over(r))
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter()
            .filter_map(|id| Some((id, self.remove(id)?)))
            .collect()
    }

    /// Its process ends: all that it had is lost.
    pub fn end(&mut self, now: f64) -> Vec<(JobId, Waits)> {
        self.advance(now);
        let ids: Vec<JobId> = self.runs.keys().copied().collect();
        let lost = ids
            .into_iter()
            .filter_map(|id| Some((id, self.remove(id)?)))
            .collect();
        self.warm.clear();
        lost
    }

    /// Its process starts anew, cold.
    pub fn restart(&mut self, now: f64) {
        self.end(now);
        (self.started, self.fallen, self.hung) = (now, false, false);
        self.sent.clear();
        self.seen = (now, [0.0, 0.0]);
    }

    /// What it tells of itself with an answer: queries in hand, and the part of memory that is granted, as of its last
    /// look.
    pub fn report(&self) -> [f64; 2] {
        self.seen.1
    }

    /// The notes that are due: how far each query is, and what it waits for.
    pub fn notes(&mut self, now: f64) -> Vec<(JobId, ProgressNote)> {
        self.advance(now);
        let every = self.params.note_every;
        if every <= 0.0 || self.hung || self.fallen {
            return vec![];
        }
        let mut notes = vec![];
        for (id, r) in self
            .runs
            .iter_mut()
            .filter(|(_, r)| r.noted + every <= now + DUST)
        {
            r.noted = now;
            let short = r.job.need_mb - r.granted;
            notes.push(match r.state {
                State::InLine => (*id, ProgressNote::WaitsForMemory),
                State::Stands(_) => (*id, ProgressNote::WaitsForLoad),
                State::Runs => (*id, ProgressNote::Completed(r.done / r.total)),
            });
            if r.state == State::Runs && short > 0.5 {
                notes.push((*id, ProgressNote::SpilledMemory(short)));
            }
        }
        notes
    }

    /// When the next note is due.
    pub fn next_note(&self) -> Option<f64> {
        if self.params.note_every <= 0.0 || self.hung || self.fallen {
            return None;
        }
        self.runs
            .values()
            .map(|r| r.noted + self.params.note_every)
            .reduce(f64::min)
    }

    /// Threads of what runs.
    pub fn threads(&self) -> f64 {
        self.runs
            .values()
            .filter(|r| r.state == State::Runs)
            .map(|r| r.job.threads)
            .sum()
    }
}
