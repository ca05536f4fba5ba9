//! Handlers of the simulation's events.

use super::{Attempt, EngineState, Event, ListUpdate, Outcome, Simulation, WINDOW_S};

impl Simulation<'_> {
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                if self.now <= self.end {
                    self.arrive();
                    let interarrival_time = self.interarrival_time();
                    self.schedule(self.now + interarrival_time, Event::Arrival);
                }
            }
            Event::Retry(t) => drop(self.submit_request(*t)),
            Event::ClientDisconnect {
                dispatcher,
                request,
            } => {
                let Some(t) = self.dispatchers[dispatcher]
                    .open_requests
                    .get_mut(&request)
                    .filter(|t| !t.finished)
                else {
                    return;
                };
                t.finished = true;
                let class = t.class;
                self.report.classes[class].outcomes.client_left += 1;
                self.checker.client_left((dispatcher, request));
                self.with_decisions(dispatcher, |d, now| d.abandon(now, request));
                self.close(dispatcher, request);
            }
            Event::AttemptArrival {
                engine,
                incarnation,
                attempt,
                job,
            } => self.reach(engine, incarnation, attempt, *job),
            Event::Cancel { engine, attempt } => {
                let x = &mut self.engines[engine];
                if let Some(id) = x.job_ids.remove(&attempt) {
                    x.jobs.remove(&id);
                    let waits = x.model.cancel(self.now, id);
                    if let Some(waits) = waits {
                        self.add_waits(attempt, &waits);
                    }
                    self.schedule_wake(engine);
                }
            }
            Event::EngineWakeup { engine, generation } => {
                if self.engines[engine].wake_generation == generation {
                    self.wake(engine);
                }
            }
            Event::NotesDue { engine, generation } => {
                if self.engines[engine].note_generation == generation {
                    self.send_notes(engine);
                }
            }
            Event::AttemptOutcome {
                attempt,
                outcome,
                report,
            } => {
                let Attempt { dispatcher, id } = attempt;
                let Some((_, sent)) = self.dispatchers[dispatcher].in_flight.remove(&id) else {
                    return;
                };
                if matches!(outcome, Outcome::Reset | Outcome::Unreachable)
                    && let Some(t) = self.dispatchers[dispatcher]
                        .open_requests
                        .get_mut(&id.request)
                {
                    t.lost_ms += self.now - sent;
                }
                self.add_to_hash(8, dispatcher as u64, id.request << 4 | outcome as u64);
                self.with_decisions(dispatcher, |d, now| {
                    d.attempt_ended(now, id, outcome, report)
                });
                self.close(dispatcher, id.request);
            }
            Event::NoteArrival { attempt, note } => {
                if self.dispatchers[attempt.dispatcher]
                    .in_flight
                    .contains_key(&attempt.id)
                {
                    self.with_decisions(attempt.dispatcher, |d, now| {
                        d.progress(now, attempt.id, note)
                    });
                }
            }
            Event::DispatcherWakeup { dispatcher, at } => {
                if self.dispatchers[dispatcher].next_tick.map(f64::to_bits) == Some(at) {
                    self.dispatchers[dispatcher].next_tick = None;
                    self.with_decisions(dispatcher, |d, now| d.tick(now));
                }
            }
            Event::EndpointUpdate {
                dispatcher,
                engine,
                entry,
                at,
            } => {
                // Messages may overtake each other; an event older than the last one received is dropped.
                let last = self.dispatchers[dispatcher]
                    .last_list_event
                    .insert(engine, at);
                if let Some(last) = last.filter(|l| *l > at) {
                    self.dispatchers[dispatcher]
                        .last_list_event
                        .insert(engine, last);
                    return;
                }
                self.add_to_hash(9, dispatcher as u64, engine as u64);
                self.checker.engine_notice(
                    self.now,
                    dispatcher,
                    engine,
                    entry.state == EngineState::Ready,
                );
                self.with_decisions(dispatcher, |d, now| {
                    d.update_endpoints(now, ListUpdate::Patch, vec![*entry])
                });
            }
            Event::AdministrativeDrain {
                dispatcher,
                engine,
                drained,
            } => {
                let name = self.engines[engine].name.clone();
                self.checker
                    .engine_notice(self.now, dispatcher, engine, !drained);
                self.with_decisions(dispatcher, |d, now| {
                    d.set_administrative_drain(now, &name, drained)
                });
            }
            Event::FaultBegin(i) => self.begin_fault(i),
            Event::FaultEnd(i, engines) => self.end_fault(i, engines),
            Event::Step(step) => self.step(step),
            Event::WindowEnd => self.close_window(),
        }
    }

    /// Sends the progress notes of an engine that are due; some are lost.
    pub(super) fn send_notes(&mut self, e: usize) {
        let notes = self.engines[e].model.take_notes(self.now);
        let loss_probability = self.scenario.net.lost_notes;
        for (id, note) in notes {
            let Some(attempt) = self.engines[e].jobs.get(&id).copied() else {
                continue;
            };
            let arrives = !self.list_delays.chance(loss_probability)
                && !self.partitioned.contains(&(attempt.dispatcher, e));
            if arrives {
                let at = self.now + self.message_delay(attempt.dispatcher, e);
                self.schedule(at, Event::NoteArrival { attempt, note });
            }
        }
        self.schedule_wake(e);
    }

    /// Closes a window of the report: records the engines in service and their utilization.
    pub(super) fn close_window(&mut self) {
        let now = self.now;
        let mut work_done = 0.0;
        let mut core_capacity = 0.0;
        for x in &mut self.engines {
            x.model.advance(now);
            work_done += x.model.work_done;
            core_capacity += x.model.params().cores * x.model.params().speed;
        }
        let serving = self
            .engines
            .iter()
            .filter(|x| x.up && !x.overloaded && x.listed_state == EngineState::Ready)
            .count();
        let utilization = (work_done - self.work_done_at_window_end)
            / (core_capacity * WINDOW_S * 1000.0).max(1.0);
        self.work_done_at_window_end = work_done;
        let w = self.window_of(now - 1.0);
        (w.utilization, w.serving) = (utilization, serving);
        if now < self.end {
            self.schedule(now + WINDOW_S * 1000.0, Event::WindowEnd);
        }
    }
}
