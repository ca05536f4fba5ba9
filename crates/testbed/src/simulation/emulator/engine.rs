//! The engine model.

use super::params::Params;
use query_dispatcher::ProgressNote;
use std::collections::{BTreeMap, VecDeque};

/// Identifier of a query on this engine, chosen by the caller.
pub type JobId = u64;

/// A query as it is sent to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Time on one thread of an idle engine of speed 1, in milliseconds.
    pub work: f64,
    pub threads: f64,
    /// Fraction of the work that reads or writes.
    pub io: f64,
    /// Memory that the query needs, in megabytes.
    pub need_mb: f64,
    /// Memory that the query was granted, in megabytes; 0 lets the engine choose.
    pub grant_mb: f64,
    pub table_group: u64,
    /// Whether the query locks its table group while it runs.
    pub holds_tables: bool,
    /// Whether the query is blocked while another one locks its table group.
    pub waits_for_loads: bool,
    /// The dispatcher that sent the query; reported by the queries that this one blocks.
    pub sender: u32,
}

/// How a query ended on its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    Served,
    /// The process of the engine ended.
    Lost,
}

/// State of a query on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    Running,
    /// The memory grant does not fit yet.
    QueuedForMemory,
    /// A load of this sender locks the table group.
    WaitingForLoad(u32),
}

/// Time that a query spent in each state on its engine, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Waits {
    pub running: f64,
    pub queued_for_memory: f64,
    /// Time blocked by a load, by the sender of that load.
    pub blocked_by_load: BTreeMap<u32, f64>,
}

#[derive(Clone, Debug)]
struct JobEntry {
    job: Job,
    /// Work on this engine: less what a warm table group saves, plus what spilling adds.
    total: f64,
    done: f64,
    /// Fraction of `total` that reads or writes.
    io: f64,
    granted: f64,
    state: JobState,
    waits: Waits,
    /// Time of the last progress note, in milliseconds.
    last_note: f64,
}

/// Model of one engine process.
#[derive(Clone, Debug)]
pub struct Emulator {
    params: Params,
    now: f64,
    started: f64,
    jobs: BTreeMap<JobId, JobEntry>,
    memory_queue: VecDeque<JobId>,
    /// Memory granted to the queries that were admitted, in megabytes.
    granted: f64,
    /// Warm table groups, the most recently read one at the back.
    warm_groups: VecDeque<u64>,
    /// Time and work of each query received while warming up, within the last `overload_window`.
    cold_arrivals: VecDeque<(f64, f64)>,
    /// Fraction of the machine that other programs use.
    neighbour_share: f64,
    /// Whether the process accepts queries but neither works nor reports.
    hung: bool,
    /// Whether the process failed under overload; it stays down until it is restarted.
    overloaded: bool,
    /// Time and values of the last sample of the load.
    last_sample: (f64, [f64; 2]),
    /// Work done since the start of the model, in thread-milliseconds.
    pub work_done: f64,
    /// Time in which at least one query ran, in milliseconds.
    pub busy: f64,
}

/// Tolerance for the rounding errors of a sum of many steps.
const WORK_EPSILON: f64 = 1e-6;

impl Emulator {
    /// Creates a process that starts now or, if `warm`, one whose slow-start window is over.
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
            jobs: BTreeMap::new(),
            memory_queue: VecDeque::new(),
            granted: 0.0,
            warm_groups: VecDeque::new(),
            cold_arrivals: VecDeque::new(),
            neighbour_share: 0.0,
            hung: false,
            overloaded: false,
            last_sample: (now, [0.0, 0.0]),
            work_done: 0.0,
            busy: 0.0,
        }
    }

    pub fn params(&self) -> &Params {
        &self.params
    }

    /// Returns the time at which the process started, in milliseconds.
    pub fn started(&self) -> f64 {
        self.started
    }

    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    pub fn is_hung(&self) -> bool {
        self.hung
    }

    pub fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// Returns the fraction of its full capacity that the engine has at `now`.
    pub fn capacity_fraction(&self, now: f64) -> f64 {
        let age = now - self.started;
        let warm = match self.params.warm_up_period {
            w if w <= 0.0 || age >= w => 1.0,
            w => {
                self.params.initial_warm_up_capacity
                    + (1.0 - self.params.initial_warm_up_capacity) * (age / w).max(0.0)
            }
        };
        warm * (1.0 - self.neighbour_share)
    }

    fn is_warming_up(&self, now: f64) -> bool {
        now < self.started + self.params.warm_up_period
    }

    /// Lets another program use this fraction of the machine from now on.
    pub fn set_neighbour_share(&mut self, now: f64, share: f64) {
        self.advance(now);
        self.neighbour_share = share.clamp(0.0, 0.95);
    }

    pub fn set_hung(&mut self, now: f64, hung: bool) {
        self.advance(now);
        self.hung = hung;
    }

    /// Returns the speed of each thread relative to an idle core of speed 1: while it computes and while it
    /// reads.
    fn thread_rates(&self) -> (f64, f64) {
        let p = &self.params;
        let (mut threads, mut reading_threads) = (0.0, 0.0);
        for r in self.jobs.values().filter(|r| r.state == JobState::Running) {
            threads += r.job.threads;
            reading_threads += r.job.threads * r.io;
        }
        let threads_per_core = threads / p.cores;
        let capacity = self.capacity_fraction(self.now);
        let throughput = (1.0 - p.fall * (threads_per_core - p.knee).max(0.0)).max(p.floor);
        let compute = p.speed * capacity * throughput * (1.0 / threads_per_core).min(1.0);
        let disks =
            p.speed * capacity * throughput * (p.disks / reading_threads.max(1e-9)).min(1.0);
        (compute, disks)
    }

    /// Returns the work that a query does per millisecond.
    fn work_rate(r: &JobEntry, (compute, disks): (f64, f64)) -> f64 {
        // Each piece of work first computes and then reads, so the times of the two add up.
        r.job.threads / ((1.0 - r.io) / compute.max(1e-12) + r.io / disks.max(1e-12))
    }

    /// Advances the model to `now`. The caller must not skip a completion that
    /// [`Emulator::next_completion`] announced.
    pub fn advance(&mut self, now: f64) {
        // Rates change while an engine warms up; steps of 50 ms follow that closely enough.
        while self.now < now {
            let step = if self.is_warming_up(self.now) {
                (now - self.now).min(50.0)
            } else {
                now - self.now
            };
            self.step(self.now + step);
        }
    }

    fn step(&mut self, now: f64) {
        let span = now - self.now;
        if !self.hung && !self.overloaded {
            let rates = self.thread_rates();
            let mut any = false;
            for r in self.jobs.values_mut() {
                match r.state {
                    JobState::Running => {
                        let done = (Self::work_rate(r, rates) * span).min(r.total - r.done);
                        r.done += done;
                        self.work_done += done;
                        r.waits.running += span;
                        any = true;
                    }
                    JobState::QueuedForMemory => r.waits.queued_for_memory += span,
                    JobState::WaitingForLoad(sender) => {
                        *r.waits.blocked_by_load.entry(sender).or_default() += span
                    }
                }
            }
            self.busy += if any { span } else { 0.0 };
        }
        self.now = now;
        if self.now >= self.last_sample.0 + self.params.report_every {
            self.last_sample = (self.now, self.current_load());
        }
    }

    fn current_load(&self) -> [f64; 2] {
        [
            self.jobs.len() as f64,
            (self.granted / self.params.memory_mb).min(1.0),
        ]
    }

    /// Accepts a query under a new `id`; returns false if the maximum number of queries is reached.
    pub fn submit(&mut self, now: f64, id: JobId, job: Job) -> bool {
        self.advance(now);
        if self.jobs.len() >= self.params.sessions {
            return false;
        }
        let p = &self.params;
        if self.is_warming_up(now) {
            self.cold_arrivals
                .retain(|(t, _)| *t > now - p.overload_window);
            self.cold_arrivals.push_back((now, job.work));
            let received: f64 = self.cold_arrivals.iter().map(|s| s.1).sum();
            let capacity = p.cores * p.speed * self.capacity_fraction(now) * p.overload_window;
            if received > p.overload_multiple * capacity {
                self.overloaded = true;
            }
        }
        let granted = if job.grant_mb > 0.0 {
            job.grant_mb
        } else {
            job.need_mb * p.own_grant
        };
        let granted = granted.min(p.memory_mb);
        let missing = if job.need_mb > 0.0 {
            (1.0 - granted / job.need_mb).max(0.0)
        } else {
            0.0
        };
        let reads = job.work * job.io;
        let saved = if self.warm_groups.contains(&job.table_group) {
            reads * p.warm_saves
        } else {
            0.0
        };
        let total =
            ((job.work - saved) * (1.0 + (p.spill - 1.0) * missing)).max(WORK_EPSILON * 2.0);
        let io = ((reads - saved) / (job.work - saved).max(WORK_EPSILON)).clamp(0.0, 1.0);
        let entry = JobEntry {
            job,
            total,
            done: 0.0,
            io,
            granted,
            state: JobState::QueuedForMemory,
            waits: Waits::default(),
            last_note: now,
        };
        self.jobs.insert(id, entry);
        self.memory_queue.push_back(id);
        self.update_job_states();
        true
    }

    /// Admits queued queries whose memory fits, in order, and then updates which queries are blocked by a
    /// load.
    fn update_job_states(&mut self) {
        while let Some(&id) = self.memory_queue.front() {
            let Some(r) = self.jobs.get_mut(&id) else {
                self.memory_queue.pop_front();
                continue;
            };
            let fits = self.granted + r.granted <= self.params.memory_mb + WORK_EPSILON;
            if !fits && self.granted > 0.0 {
                break;
            }
            self.granted += r.granted;
            r.state = JobState::Running;
            let group = r.job.table_group;
            self.memory_queue.pop_front();
            self.warm_groups.retain(|g| *g != group);
            self.warm_groups.push_back(group);
            while self.warm_groups.len() > self.params.warm_areas {
                self.warm_groups.pop_front();
            }
        }
        let locks: BTreeMap<u64, (JobId, u32)> = self
            .jobs
            .iter()
            .filter(|(_, r)| r.job.holds_tables && r.state != JobState::QueuedForMemory)
            .map(|(id, r)| (r.job.table_group, (*id, r.job.sender)))
            .collect();
        for (id, r) in &mut self.jobs {
            if r.state == JobState::QueuedForMemory || !r.job.waits_for_loads {
                continue;
            }
            r.state = match locks.get(&r.job.table_group) {
                Some((holder, sender)) if holder != id => JobState::WaitingForLoad(*sender),
                _ => JobState::Running,
            };
        }
    }

    /// Removes a query before it completes.
    pub fn cancel(&mut self, now: f64, id: JobId) -> Option<Waits> {
        self.advance(now);
        self.remove(id)
    }

    fn remove(&mut self, id: JobId) -> Option<Waits> {
        let r = self.jobs.remove(&id)?;
        if r.state != JobState::QueuedForMemory {
            self.granted = (self.granted - r.granted).max(0.0);
        }
        self.memory_queue.retain(|l| *l != id);
        if self.jobs.is_empty() {
            self.granted = 0.0;
        }
        self.update_job_states();
        Some(r.waits)
    }

    /// Returns when the next query completes at the current rates, or `None` while nothing runs.
    pub fn next_completion(&self) -> Option<f64> {
        if self.hung || self.overloaded {
            return None;
        }
        let rates = self.thread_rates();
        let running = self.jobs.values().filter(|r| r.state == JobState::Running);
        let next = running
            .map(|r| self.now + (r.total - r.done).max(0.0) / Self::work_rate(r, rates).max(1e-12));
        let next = next.reduce(f64::min)?;
        // An engine that warms up gets faster, so a later completion is computed again after at most 100 ms.
        Some(if self.is_warming_up(self.now) {
            next.min(self.now + 100.0)
        } else {
            next
        })
    }

    /// Removes and returns the queries that have completed by `now`.
    pub fn take_completed(&mut self, now: f64) -> Vec<(JobId, Waits)> {
        self.advance(now);
        let completed = |r: &JobEntry| {
            r.state == JobState::Running && r.total - r.done <= WORK_EPSILON * r.total.max(1.0)
        };
        let ids: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, r)| completed(r))
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter()
            .filter_map(|id| Some((id, self.remove(id)?)))
            .collect()
    }

    /// Ends the process: removes and returns all queries, which are lost.
    pub fn stop(&mut self, now: f64) -> Vec<(JobId, Waits)> {
        self.advance(now);
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        let lost = ids
            .into_iter()
            .filter_map(|id| Some((id, self.remove(id)?)))
            .collect();
        self.warm_groups.clear();
        lost
    }

    /// Restarts the process, which then warms up.
    pub fn restart(&mut self, now: f64) {
        self.stop(now);
        (self.started, self.overloaded, self.hung) = (now, false, false);
        self.cold_arrivals.clear();
        self.last_sample = (now, [0.0, 0.0]);
    }

    /// Returns the load report that goes with an answer: the number of queries and the fraction of memory
    /// that is granted, as of the last sample.
    pub fn load_report(&self) -> [f64; 2] {
        self.last_sample.1
    }

    /// Returns the progress notes that are due: how far each query is, or what it waits for.
    pub fn take_notes(&mut self, now: f64) -> Vec<(JobId, ProgressNote)> {
        self.advance(now);
        let every = self.params.note_every;
        if every <= 0.0 || self.hung || self.overloaded {
            return vec![];
        }
        let mut notes = vec![];
        for (id, r) in self
            .jobs
            .iter_mut()
            .filter(|(_, r)| r.last_note + every <= now + WORK_EPSILON)
        {
            r.last_note = now;
            let spilled = r.job.need_mb - r.granted;
            notes.push(match r.state {
                JobState::QueuedForMemory => (*id, ProgressNote::WaitsForMemory),
                JobState::WaitingForLoad(_) => (*id, ProgressNote::WaitsForLoad),
                JobState::Running => (*id, ProgressNote::Completed(r.done / r.total)),
            });
            if r.state == JobState::Running && spilled > 0.5 {
                notes.push((*id, ProgressNote::SpilledMemory(spilled)));
            }
        }
        notes
    }

    /// Returns when the next progress note is due.
    pub fn next_note_due(&self) -> Option<f64> {
        if self.params.note_every <= 0.0 || self.hung || self.overloaded {
            return None;
        }
        self.jobs
            .values()
            .map(|r| r.last_note + self.params.note_every)
            .reduce(f64::min)
    }

    /// Returns the number of threads of the running queries.
    pub fn running_threads(&self) -> f64 {
        self.jobs
            .values()
            .filter(|r| r.state == JobState::Running)
            .map(|r| r.job.threads)
            .sum()
    }
}
