//! Faults: which engines they affect, how they begin, and how they end.

use super::{
    EngineSelection, EngineState, Event, FaultKind, FaultStep, Outcome, Simulation, Stream,
};

impl Simulation<'_> {
    pub(super) fn select_engines(&mut self, w: &EngineSelection) -> Vec<usize> {
        let n = self.engines.len();
        let drawn = |random: &mut Stream, k: usize| {
            let mut left: Vec<usize> = (0..n).collect();
            let mut picked = vec![];
            for _ in 0..k.min(n) {
                picked.push(left.swap_remove(random.below(left.len())));
            }
            picked.sort_unstable();
            picked
        };
        match w {
            EngineSelection::These(all) => all.clone(),
            EngineSelection::Some(k) => drawn(&mut self.troubles, *k),
            EngineSelection::Part { part } => {
                drawn(&mut self.troubles, (part * n as f64).round() as usize)
            }
            EngineSelection::Zone { zone } => {
                let z = self.scenario.zones.iter().position(|x| x == zone);
                (0..n)
                    .filter(|e| Some(self.engines[*e].zone) == z)
                    .collect()
            }
        }
    }

    pub(super) fn begin_fault(&mut self, i: usize) {
        let what = self.scenario.faults[i].what.clone();
        self.add_to_hash(7, i as u64, 0);
        let s = 1000.0;
        match what {
            FaultKind::Die { engines, back_s } => {
                for e in self.select_engines(&engines) {
                    self.end_process(e);
                    self.list(e, EngineState::Gone);
                    self.schedule(self.now + back_s * s, Event::Step(FaultStep::Start(e)));
                }
            }
            FaultKind::ZoneOutage { zone, back_s } => {
                for e in self.select_engines(&EngineSelection::Zone { zone }) {
                    self.end_process(e);
                    self.list(e, EngineState::Gone);
                    self.schedule(self.now + back_s * s, Event::Step(FaultStep::Start(e)));
                }
            }
            FaultKind::Hang { engines, for_s } => {
                let hung = self.select_engines(&engines);
                for e in &hung {
                    self.engines[*e].model.set_hung(self.now, true);
                    self.schedule_wake(*e);
                }
                self.schedule(self.now + for_s * s, Event::Over(i, hung));
            }
            FaultKind::Neighbour {
                engines,
                part,
                for_s,
            } => {
                let crowded = self.select_engines(&engines);
                for e in &crowded {
                    self.engines[*e].model.set_neighbour_share(self.now, part);
                    self.schedule_wake(*e);
                }
                self.schedule(self.now + for_s * s, Event::Over(i, crowded));
            }
            FaultKind::StaleList { extra_s, for_s } => {
                self.list_extra += extra_s * s;
                self.schedule(self.now + for_s * s, Event::Over(i, vec![]));
            }
            FaultKind::RegistryOutage { for_s } => {
                self.list_away = true;
                self.schedule(self.now + for_s * s, Event::Over(i, vec![]));
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
                self.heavy.push((class, part, times));
                self.schedule(self.now + for_s * s, Event::Over(i, vec![class]));
            }
            FaultKind::Partition {
                dispatchers,
                engines,
                for_s,
            } => {
                let engines = self.select_engines(&engines);
                for g in &dispatchers {
                    self.cut.extend(engines.iter().map(|e| (*g, *e)));
                }
                self.schedule(self.now + for_s * s, Event::Over(i, engines));
            }
            FaultKind::SlowLink {
                dispatchers,
                extra_ms,
                for_s,
            } => {
                dispatchers
                    .iter()
                    .for_each(|g| *self.slow.entry(*g).or_default() += extra_ms);
                self.schedule(self.now + for_s * s, Event::Over(i, vec![]));
            }
            FaultKind::Reset { engines } => {
                for e in self.select_engines(&engines) {
                    self.fail_attempts(e, Outcome::Reset);
                    self.schedule_wake(e);
                }
            }
            FaultKind::Drain { engines, for_s } => {
                for e in self.select_engines(&engines) {
                    self.list(e, EngineState::Draining);
                    self.schedule(self.now + for_s * s, Event::Step(FaultStep::ListIn(e)));
                }
            }
            FaultKind::RollingRestart { each_s, drain_s } => {
                for e in 0..self.engines.len() {
                    let at = self.now + e as f64 * each_s * s;
                    self.schedule(at, Event::Step(FaultStep::ListOut(e)));
                    self.schedule(at + drain_s * s, Event::Step(FaultStep::ListIn(e)));
                }
            }
            FaultKind::AdministrativeDrain {
                engines,
                for_s,
                restart_after_s,
            } => {
                for e in self.select_engines(&engines) {
                    for g in 0..self.dispatchers.len() {
                        // Operators call one gateway after the other.
                        let at = self.now + 50.0 * g as f64;
                        self.schedule(
                            at,
                            Event::Hand {
                                gateway: g,
                                engine: e,
                                out: true,
                            },
                        );
                    }
                    self.schedule(
                        self.now + restart_after_s * s,
                        Event::Step(FaultStep::Start(e)),
                    );
                    self.schedule(self.now + for_s * s, Event::Step(FaultStep::HandIn(e)));
                }
            }
        }
    }

    pub(super) fn end_fault(&mut self, i: usize, engines: Vec<usize>) {
        match self.scenario.faults[i].what.clone() {
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
            FaultKind::StaleList { extra_s, .. } => self.list_extra -= extra_s * 1000.0,
            FaultKind::RegistryOutage { .. } => {
                self.list_away = false;
                for (g, e, entry) in std::mem::take(&mut self.delayed_list_events) {
                    let at = self.now.to_bits();
                    self.schedule(
                        self.now + 1.0,
                        Event::News {
                            gateway: g,
                            engine: e,
                            entry: Box::new(entry),
                            at,
                        },
                    );
                }
            }
            FaultKind::HeavyTail { .. } => {
                let first = self
                    .heavy
                    .iter()
                    .position(|h| Some(&h.0) == engines.first());
                if let Some(n) = first {
                    self.heavy.remove(n);
                }
            }
            FaultKind::Partition { dispatchers, .. } => {
                for g in dispatchers {
                    self.cut
                        .retain(|(cut, e)| *cut != g || !engines.contains(e));
                }
            }
            FaultKind::SlowLink {
                dispatchers,
                extra_ms,
                ..
            } => {
                for g in dispatchers {
                    *self.slow.entry(g).or_default() -= extra_ms;
                }
            }
            _ => {}
        }
    }

    pub(super) fn step(&mut self, step: FaultStep) {
        match step {
            FaultStep::Start(e) => {
                if self.engines[e].up {
                    self.end_process(e);
                }
                self.start_process(e);
                self.list(e, EngineState::Ready);
            }
            FaultStep::ListOut(e) => self.list(e, EngineState::Draining),
            FaultStep::ListIn(e) => {
                // It was drained to be restarted: what it still has ends with its process.
                self.end_process(e);
                self.start_process(e);
                self.list(e, EngineState::Ready);
            }
            FaultStep::HandIn(e) => {
                for g in 0..self.dispatchers.len() {
                    let at = self.now + 50.0 * g as f64;
                    self.schedule(
                        at,
                        Event::Hand {
                            gateway: g,
                            engine: e,
                            out: false,
                        },
                    );
                }
            }
        }
    }
}
