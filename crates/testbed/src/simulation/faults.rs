//! Faults: which engines they affect, how they begin, and how they end.

use super::{
    EngineSelection, EngineState, Event, FaultKind, FaultStep, Outcome, Simulation, Stream,
};

impl Simulation<'_> {
    /// Returns the engines of a selection; some selections draw them at random.
    pub(super) fn select_engines(&mut self, selection: &EngineSelection) -> Vec<usize> {
        let n = self.engines.len();
        let draw = |random: &mut Stream, k: usize| {
            let mut candidates: Vec<usize> = (0..n).collect();
            let mut picked = vec![];
            for _ in 0..k.min(n) {
                picked.push(candidates.swap_remove(random.below(candidates.len())));
            }
            picked.sort_unstable();
            picked
        };
        match selection {
            EngineSelection::These(all) => all.clone(),
            EngineSelection::Some(k) => draw(&mut self.fault_targets, *k),
            EngineSelection::Part { part } => {
                draw(&mut self.fault_targets, (part * n as f64).round() as usize)
            }
            EngineSelection::Zone { zone } => {
                let z = self.scenario.zones.iter().position(|x| x == zone);
                (0..n)
                    .filter(|e| Some(self.engines[*e].zone) == z)
                    .collect()
            }
        }
    }

    /// Begins a fault and schedules its later steps and its end.
    pub(super) fn begin_fault(&mut self, i: usize) {
        let kind = self.scenario.faults[i].kind.clone();
        self.add_to_hash(7, i as u64, 0);
        let ms_per_s = 1000.0;
        match kind {
            FaultKind::Die { engines, back_s } => {
                for e in self.select_engines(&engines) {
                    self.end_process(e);
                    self.set_listed_state(e, EngineState::Gone);
                    self.schedule(
                        self.now + back_s * ms_per_s,
                        Event::Step(FaultStep::Start(e)),
                    );
                }
            }
            FaultKind::ZoneOutage { zone, back_s } => {
                for e in self.select_engines(&EngineSelection::Zone { zone }) {
                    self.end_process(e);
                    self.set_listed_state(e, EngineState::Gone);
                    self.schedule(
                        self.now + back_s * ms_per_s,
                        Event::Step(FaultStep::Start(e)),
                    );
                }
            }
            FaultKind::Hang { engines, for_s } => {
                let hung = self.select_engines(&engines);
                for e in &hung {
                    self.engines[*e].model.set_hung(self.now, true);
                    self.schedule_wake(*e);
                }
                self.schedule(self.now + for_s * ms_per_s, Event::FaultEnd(i, hung));
            }
            FaultKind::Neighbour {
                engines,
                part,
                for_s,
            } => {
                let slowed = self.select_engines(&engines);
                for e in &slowed {
                    self.engines[*e].model.set_neighbour_share(self.now, part);
                    self.schedule_wake(*e);
                }
                self.schedule(self.now + for_s * ms_per_s, Event::FaultEnd(i, slowed));
            }
            FaultKind::StaleList { extra_s, for_s } => {
                self.extra_list_delay += extra_s * ms_per_s;
                self.schedule(self.now + for_s * ms_per_s, Event::FaultEnd(i, vec![]));
            }
            FaultKind::RegistryOutage { for_s } => {
                self.registry_down = true;
                self.schedule(self.now + for_s * ms_per_s, Event::FaultEnd(i, vec![]));
            }
            FaultKind::HeavyTail {
                class,
                part,
                times,
                for_s,
            } => {
                let class = self
                    .scenario
                    .classes
                    .iter()
                    .position(|c| c.name == class)
                    .unwrap_or(0);
                self.heavy_tails.push((class, part, times));
                self.schedule(self.now + for_s * ms_per_s, Event::FaultEnd(i, vec![class]));
            }
            FaultKind::Partition {
                dispatchers,
                engines,
                for_s,
            } => {
                let engines = self.select_engines(&engines);
                for g in &dispatchers {
                    self.partitioned.extend(engines.iter().map(|e| (*g, *e)));
                }
                self.schedule(self.now + for_s * ms_per_s, Event::FaultEnd(i, engines));
            }
            FaultKind::SlowLink {
                dispatchers,
                extra_ms,
                for_s,
            } => {
                dispatchers
                    .iter()
                    .for_each(|g| *self.extra_delay.entry(*g).or_default() += extra_ms);
                self.schedule(self.now + for_s * ms_per_s, Event::FaultEnd(i, vec![]));
            }
            FaultKind::Reset { engines } => {
                for e in self.select_engines(&engines) {
                    self.fail_attempts(e, Outcome::Reset);
                    self.schedule_wake(e);
                }
            }
            FaultKind::Drain { engines, for_s } => {
                for e in self.select_engines(&engines) {
                    self.set_listed_state(e, EngineState::Draining);
                    self.schedule(
                        self.now + for_s * ms_per_s,
                        Event::Step(FaultStep::RestartDrained(e)),
                    );
                }
            }
            FaultKind::RollingRestart { each_s, drain_s } => {
                for e in 0..self.engines.len() {
                    let at = self.now + e as f64 * each_s * ms_per_s;
                    self.schedule(at, Event::Step(FaultStep::ListDraining(e)));
                    self.schedule(
                        at + drain_s * ms_per_s,
                        Event::Step(FaultStep::RestartDrained(e)),
                    );
                }
            }
            FaultKind::AdministrativeDrain {
                engines,
                for_s,
                restart_after_s,
            } => {
                for e in self.select_engines(&engines) {
                    for g in 0..self.dispatchers.len() {
                        // Operators call one dispatcher after the other, 50 ms apart.
                        let at = self.now + 50.0 * g as f64;
                        self.schedule(
                            at,
                            Event::AdministrativeDrain {
                                dispatcher: g,
                                engine: e,
                                drained: true,
                            },
                        );
                    }
                    self.schedule(
                        self.now + restart_after_s * ms_per_s,
                        Event::Step(FaultStep::Start(e)),
                    );
                    self.schedule(
                        self.now + for_s * ms_per_s,
                        Event::Step(FaultStep::EndAdministrativeDrain(e)),
                    );
                }
            }
        }
    }

    /// Reverts a fault; `engines` holds what it affected (for a heavy tail, the class).
    pub(super) fn end_fault(&mut self, i: usize, engines: Vec<usize>) {
        match self.scenario.faults[i].kind.clone() {
            FaultKind::Hang { .. } => {
                for e in engines {
                    self.engines[e].model.set_hung(self.now, false);
                    self.schedule_wake(e);
                }
            }
            FaultKind::Neighbour { .. } => {
                for e in engines {
                    self.engines[e].model.set_neighbour_share(self.now, 0.0);
                    self.schedule_wake(e);
                }
            }
            FaultKind::StaleList { extra_s, .. } => self.extra_list_delay -= extra_s * 1000.0,
            FaultKind::RegistryOutage { .. } => {
                self.registry_down = false;
                for (g, e, entry) in std::mem::take(&mut self.delayed_list_events) {
                    let at = self.now.to_bits();
                    self.schedule(
                        self.now + 1.0,
                        Event::EndpointUpdate {
                            dispatcher: g,
                            engine: e,
                            entry: Box::new(entry),
                            at,
                        },
                    );
                }
            }
            FaultKind::HeavyTail { .. } => {
                let position = self
                    .heavy_tails
                    .iter()
                    .position(|h| Some(&h.0) == engines.first());
                if let Some(n) = position {
                    self.heavy_tails.remove(n);
                }
            }
            FaultKind::Partition { dispatchers, .. } => {
                for g in dispatchers {
                    self.partitioned
                        .retain(|(dispatcher, e)| *dispatcher != g || !engines.contains(e));
                }
            }
            FaultKind::SlowLink {
                dispatchers,
                extra_ms,
                ..
            } => {
                for g in dispatchers {
                    *self.extra_delay.entry(g).or_default() -= extra_ms;
                }
            }
            _ => {}
        }
    }

    /// Carries out a later step of a fault.
    pub(super) fn step(&mut self, step: FaultStep) {
        match step {
            FaultStep::Start(e) => {
                if self.engines[e].up {
                    self.end_process(e);
                }
                self.start_process(e);
                self.set_listed_state(e, EngineState::Ready);
            }
            FaultStep::ListDraining(e) => self.set_listed_state(e, EngineState::Draining),
            FaultStep::RestartDrained(e) => {
                // The engine was drained for a restart: attempts that still run end with the process.
                self.end_process(e);
                self.start_process(e);
                self.set_listed_state(e, EngineState::Ready);
            }
            FaultStep::EndAdministrativeDrain(e) => {
                for g in 0..self.dispatchers.len() {
                    let at = self.now + 50.0 * g as f64;
                    self.schedule(
                        at,
                        Event::AdministrativeDrain {
                            dispatcher: g,
                            engine: e,
                            drained: false,
                        },
                    );
                }
            }
        }
    }
}
