//! The event loop: what each event does when it is due.

use super::{Attempt, EngineState, Event, ListUpdate, Outcome, Simulation, WINDOW_S};

impl Simulation<'_> {
    pub(super) fn event(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                if self.now <= self.end {
                    self.arrive();
                    let gap = self.gap();
                    self.schedule(self.now + gap, Event::Arrive);
                }
            }
            Event::Again(t) => drop(self.submit(*t)),
            Event::Leave { gateway, request } => {
                let Some(t) = self.dispatchers[gateway]
                    .open_requests
                    .get_mut(&request)
                    .filter(|t| !t.over)
                else {
                    return;
                };
                t.over = true;
                let class = t.class;
                self.day.classes[class].outcomes.left += 1;
                self.checker.client_left((gateway, request));
                self.with_decisions(gateway, |d, now| d.abandon(now, request));
                self.close(gateway, request);
            }
            Event::Reach {
                engine,
                process,
                attempt,
                job,
            } => self.reach(engine, process, attempt, *job),
            Event::Cancel { engine, attempt } => {
                let x = &mut self.engines[engine];
                if let Some(id) = x.ids.remove(&attempt) {
                    x.jobs.remove(&id);
                    let waits = x.model.cancel(self.now, id);
                    if let Some(waits) = waits {
                        self.add_waits(attempt, &waits);
                    }
                    self.schedule_wake(engine);
                }
            }
            Event::Wake { engine, stamp } => {
                if self.engines[engine].stamp == stamp {
                    self.wake(engine);
                }
            }
            Event::Notes { engine, stamp } => {
                if self.engines[engine].note_stamp == stamp {
                    self.notes(engine);
                }
            }
            Event::Back {
                attempt,
                outcome,
                report,
            } => {
                let Attempt { gateway, id } = attempt;
                let Some((_, sent)) = self.dispatchers[gateway].out.remove(&id) else {
                    return;
                };
                if matches!(outcome, Outcome::Reset | Outcome::Unreachable)
                    && let Some(t) = self.dispatchers[gateway].open_requests.get_mut(&id.request)
                {
                    t.lost += self.now - sent;
                }
                self.add_to_hash(8, gateway as u64, id.request << 4 | outcome as u64);
                self.with_decisions(gateway, |d, now| d.attempt_ended(now, id, outcome, report));
                self.close(gateway, id.request);
            }
            Event::Noted { attempt, note } => {
                if self.dispatchers[attempt.gateway]
                    .out
                    .contains_key(&attempt.id)
                {
                    self.with_decisions(attempt.gateway, |d, now| {
                        d.progress(now, attempt.id, note)
                    });
                }
            }
            Event::Tick { gateway, at } => {
                if self.dispatchers[gateway].tick_at.map(f64::to_bits) == Some(at) {
                    self.dispatchers[gateway].tick_at = None;
                    self.with_decisions(gateway, |d, now| d.tick(now));
                }
            }
            Event::News {
                gateway,
                engine,
                entry,
                at,
            } => {
                // Messages may overtake each other; the news of a moment never go behind later ones.
                let known = self.dispatchers[gateway].news.insert(engine, at);
                if let Some(known) = known.filter(|k| *k > at) {
                    self.dispatchers[gateway].news.insert(engine, known);
                    return;
                }
                self.add_to_hash(9, gateway as u64, engine as u64);
                self.checker.engine_notice(
                    self.now,
                    gateway,
                    engine,
                    entry.state == EngineState::Ready,
                );
                self.with_decisions(gateway, |d, now| {
                    d.update_endpoints(now, ListUpdate::Patch, vec![*entry])
                });
            }
            Event::Hand {
                gateway,
                engine,
                out,
            } => {
                let name = self.engines[engine].name.clone();
                self.checker.engine_notice(self.now, gateway, engine, !out);
                self.with_decisions(gateway, |d, now| {
                    d.set_administrative_drain(now, &name, out)
                });
            }
            Event::Fault(i) => self.begin_fault(i),
            Event::Over(i, engines) => self.end_fault(i, engines),
            Event::Step(step) => self.step(step),
            Event::Look => self.close_window(),
        }
    }

    pub(super) fn notes(&mut self, e: usize) {
        let notes = self.engines[e].model.take_notes(self.now);
        let lost = self.scenario.net.lost_notes;
        for (id, note) in notes {
            let Some(attempt) = self.engines[e].jobs.get(&id).copied() else {
                continue;
            };
            let arrives = !self.lists.chance(lost) && !self.cut.contains(&(attempt.gateway, e));
            if arrives {
                let at = self.now + self.delay(attempt.gateway, e);
                self.schedule(at, Event::Noted { attempt, note });
            }
        }
        self.schedule_wake(e);
    }

    /// The end of a window: how the engines were used in it.
    pub(super) fn close_window(&mut self) {
        let now = self.now;
        let mut done = 0.0;
        let mut bears = 0.0;
        for x in &mut self.engines {
            x.model.advance(now);
            done += x.model.work_done;
            bears += x.model.params().cores * x.model.params().speed;
        }
        let serving = self
            .engines
            .iter()
            .filter(|x| x.up && !x.overloaded && x.listed_state == EngineState::Ready)
            .count();
        let occupied = (done - self.done_at_window) / (bears * WINDOW_S * 1000.0).max(1.0);
        self.done_at_window = done;
        let w = self.window_of(now - 1.0);
        (w.occupied, w.serving) = (occupied, serving);
        if now < self.end {
            self.schedule(now + WINDOW_S * 1000.0, Event::Look);
        }
    }
}
