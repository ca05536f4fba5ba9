//! Engines: the requests that reach them, their processes, and their entries in the endpoint list.

use super::{Attempt, EngineEntry, EngineState, Event, Job, Outcome, START_MS, Simulation, Waits};

impl Simulation<'_> {
    pub(super) fn entry(&self, e: usize) -> EngineEntry {
        let x = &self.engines[e];
        EngineEntry {
            engine: x.name.clone(),
            state: x.listed_state,
            started: Some(x.model.started()).filter(|t| *t >= START_MS),
            kind: Some(x.kind),
            zone: Some(x.zone),
            cell: 0,
        }
    }

    /// Asks to be rung when something ends next there, and when a note is due.
    pub(super) fn schedule_wake(&mut self, e: usize) {
        let x = &mut self.engines[e];
        (x.stamp, x.note_stamp) = (x.stamp + 1, x.note_stamp + 1);
        let (stamp, note_stamp) = (x.stamp, x.note_stamp);
        let (next, note) = (x.model.next_completion(), x.model.next_note_due());
        if let Some(at) = next {
            self.schedule(at, Event::Wake { engine: e, stamp });
        }
        if let Some(at) = note {
            self.schedule(
                at,
                Event::Notes {
                    engine: e,
                    stamp: note_stamp,
                },
            );
        }
        if self.engines[e].model.is_overloaded()
            && !std::mem::replace(&mut self.engines[e].overloaded, true)
        {
            self.checker.engine_overloaded(self.now, e);
            self.fail_attempts(e, Outcome::Reset);
        }
    }

    pub(super) fn reach(&mut self, e: usize, process: u32, attempt: Attempt, job: Job) {
        if self.cut.contains(&(attempt.gateway, e)) {
            return;
        }
        let x = &mut self.engines[e];
        if !x.up || x.overloaded {
            return self.send_result(attempt, e, Outcome::Unreachable, vec![]);
        }
        // Its connection was to the process before.
        if x.process != process {
            return self.send_result(attempt, e, Outcome::Unreachable, vec![]);
        }
        let id = x.next_job;
        x.next_job += 1;
        if !x.model.submit(self.now, id, job) {
            let report = x.model.load_report().to_vec();
            return self.send_result(attempt, e, Outcome::Rejected, report);
        }
        x.jobs.insert(id, attempt);
        x.ids.insert(attempt, id);
        self.checker
            .attempt_accepted(self.now, (attempt.gateway, attempt.id.request), e);
        self.schedule_wake(e);
    }

    pub(super) fn add_waits(&mut self, attempt: Attempt, waits: &Waits) {
        if let Some(t) = self.dispatchers[attempt.gateway]
            .open_requests
            .get_mut(&attempt.id.request)
        {
            t.waits.running += waits.running;
            t.waits.queued_for_memory += waits.queued_for_memory;
            for (whose, span) in &waits.blocked_by_load {
                *t.waits.blocked_by_load.entry(*whose).or_default() += span;
            }
        }
    }

    pub(super) fn wake(&mut self, e: usize) {
        let ended = self.engines[e].model.take_completed(self.now);
        for (id, waits) in ended {
            let x = &mut self.engines[e];
            let Some(attempt) = x.jobs.remove(&id) else {
                continue;
            };
            x.ids.remove(&attempt);
            let report = x.model.load_report().to_vec();
            self.add_to_hash(4, e as u64, id);
            self.add_waits(attempt, &waits);
            self.send_result(attempt, e, Outcome::Served, report);
        }
        self.schedule_wake(e);
    }

    /// All that an engine has is lost, and its gateways see that.
    pub(super) fn fail_attempts(&mut self, e: usize, outcome: Outcome) {
        let x = &mut self.engines[e];
        let lost = x.model.stop(self.now);
        let jobs = std::mem::take(&mut x.jobs);
        x.ids.clear();
        for (id, waits) in lost {
            let Some(attempt) = jobs.get(&id).copied() else {
                continue;
            };
            self.add_waits(attempt, &waits);
            self.send_result(attempt, e, outcome, vec![]);
        }
    }

    pub(super) fn end_process(&mut self, e: usize) {
        self.fail_attempts(e, Outcome::Reset);
        let x = &mut self.engines[e];
        (x.up, x.process) = (false, x.process + 1);
        self.add_to_hash(5, e as u64, 0);
        self.schedule_wake(e);
    }

    pub(super) fn start_process(&mut self, e: usize) {
        let x = &mut self.engines[e];
        x.model.restart(self.now);
        (x.up, x.overloaded) = (true, false);
        self.add_to_hash(6, e as u64, 0);
        self.schedule_wake(e);
    }

    /// The list tells how an engine stands, to each gateway when its news get there.
    pub(super) fn list(&mut self, e: usize, state: EngineState) {
        self.engines[e].listed_state = state;
        let entry = self.entry(e);
        let net = &self.scenario.net;
        for g in 0..self.dispatchers.len() {
            let lag = self.lists.between(net.list_ms[0], net.list_ms[1]) + self.list_extra;
            if self.list_away {
                self.delayed_list_events.push((g, e, entry.clone()));
                continue;
            }
            let at = self.now.to_bits();
            self.schedule(
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
}
