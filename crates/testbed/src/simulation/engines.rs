//! Engines: the requests that reach them, their processes, and their entries in the endpoint list.

use super::{Attempt, EngineEntry, EngineState, Event, Job, Outcome, START_MS, Simulation, Waits};

impl Simulation<'_> {
    /// Returns the entry of an engine in the endpoint list.
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

    /// Schedules the next completion and the next progress notes of an engine, and handles its failure
    /// under overload.
    pub(super) fn schedule_wake(&mut self, e: usize) {
        let x = &mut self.engines[e];
        (x.wake_generation, x.note_generation) = (x.wake_generation + 1, x.note_generation + 1);
        let (generation, note_generation) = (x.wake_generation, x.note_generation);
        let (next, note) = (x.model.next_completion(), x.model.next_note_due());
        if let Some(at) = next {
            self.schedule(
                at,
                Event::EngineWakeup {
                    engine: e,
                    generation,
                },
            );
        }
        if let Some(at) = note {
            self.schedule(
                at,
                Event::NotesDue {
                    engine: e,
                    generation: note_generation,
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

    /// Handles an attempt that reaches its engine.
    pub(super) fn reach(&mut self, e: usize, incarnation: u32, attempt: Attempt, job: Job) {
        if self.partitioned.contains(&(attempt.dispatcher, e)) {
            return;
        }
        let x = &mut self.engines[e];
        if !x.up || x.overloaded {
            return self.send_result(attempt, e, Outcome::Unreachable, vec![]);
        }
        // The connection was to an earlier process of the engine.
        if x.incarnation != incarnation {
            return self.send_result(attempt, e, Outcome::Unreachable, vec![]);
        }
        let id = x.next_job;
        x.next_job += 1;
        if !x.model.submit(self.now, id, job) {
            let report = x.model.load_report().to_vec();
            return self.send_result(attempt, e, Outcome::Rejected, report);
        }
        x.jobs.insert(id, attempt);
        x.job_ids.insert(attempt, id);
        self.checker
            .attempt_accepted(self.now, (attempt.dispatcher, attempt.id.request), e);
        self.schedule_wake(e);
    }

    /// Adds the times of an attempt to its request, if that is still open.
    pub(super) fn add_waits(&mut self, attempt: Attempt, waits: &Waits) {
        if let Some(t) = self.dispatchers[attempt.dispatcher]
            .open_requests
            .get_mut(&attempt.id.request)
        {
            t.waits.running += waits.running;
            t.waits.queued_for_memory += waits.queued_for_memory;
            for (sender, span) in &waits.blocked_by_load {
                *t.waits.blocked_by_load.entry(*sender).or_default() += span;
            }
        }
    }

    /// Handles the queries of an engine that have completed.
    pub(super) fn wake(&mut self, e: usize) {
        let completed = self.engines[e].model.take_completed(self.now);
        for (id, waits) in completed {
            let x = &mut self.engines[e];
            let Some(attempt) = x.jobs.remove(&id) else {
                continue;
            };
            x.job_ids.remove(&attempt);
            let report = x.model.load_report().to_vec();
            self.add_to_hash(4, e as u64, id);
            self.add_waits(attempt, &waits);
            self.send_result(attempt, e, Outcome::Served, report);
        }
        self.schedule_wake(e);
    }

    /// Ends all attempts of an engine with `outcome`, which is sent to their dispatchers.
    pub(super) fn fail_attempts(&mut self, e: usize, outcome: Outcome) {
        let x = &mut self.engines[e];
        let lost = x.model.stop(self.now);
        let jobs = std::mem::take(&mut x.jobs);
        x.job_ids.clear();
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
        (x.up, x.incarnation) = (false, x.incarnation + 1);
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

    /// Changes the state of an engine in the endpoint list, and sends the change to each dispatcher with
    /// its own delay.
    pub(super) fn set_listed_state(&mut self, e: usize, state: EngineState) {
        self.engines[e].listed_state = state;
        let entry = self.entry(e);
        let net = &self.scenario.net;
        for g in 0..self.dispatchers.len() {
            let delay =
                self.list_delays.between(net.list_ms[0], net.list_ms[1]) + self.extra_list_delay;
            if self.registry_down {
                self.delayed_list_events.push((g, e, entry.clone()));
                continue;
            }
            let at = self.now.to_bits();
            self.schedule(
                self.now + delay,
                Event::EndpointUpdate {
                    dispatcher: g,
                    engine: e,
                    entry: Box::new(entry.clone()),
                    at,
                },
            );
        }
    }
}
