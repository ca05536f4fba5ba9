//! Faults of the engines and of the journal service.

use super::*;

impl SoakRun {
    /// Makes engines hang, fail, truncate answers, reject requests or reset connections for a while.
    pub(super) async fn engine_faults(self: Rc<Self>, mut random: Stream) {
        loop {
            random.pause(300.0).await;
            let engine = self.fleet.engines[random.below(self.scale.engines)].clone();
            let behaviour = match random.below(5) {
                0 => Behaviour::Hanging,
                1 => Behaviour::Failing,
                2 => Behaviour::Truncating,
                3 => Behaviour::Full,
                _ => {
                    engine.reset_connections();
                    self.count_fault("engine resets");
                    continue;
                }
            };
            self.count_fault("engine misbehaves");
            engine.behaviour.set(behaviour);
            let duration = random.between(200.0, 2500.0);
            spawn_local(async move {
                tokio::time::sleep(Duration::from_secs_f64(duration / 1000.0)).await;
                engine.behaviour.set(Behaviour::Serving);
            });
        }
    }

    /// Drains engines or crashes them, then restarts them cold.
    pub(super) async fn engine_lifecycles(self: Rc<Self>, mut random: Stream) {
        loop {
            random.pause(900.0).await;
            let engine = self.fleet.engines[random.below(self.scale.engines)].clone();
            if random.chance(0.5) {
                self.count_fault("engine drains");
                self.announce(&engine, Lifecycle::Draining, 0.0);
                let notice = self.record_drain(&engine);
                random.pause(2000.0).await;
                self.restart(&engine).await;
                self.records.borrow_mut().drains[notice].until = Some(Instant::now());
            } else {
                self.count_fault("engine crashes");
                engine.crash();
                random.pause(300.0).await;
                self.restart(&engine).await;
            }
        }
    }

    fn announce(&self, engine: &Rc<Engine>, lifecycle: Lifecycle, started_at_ms: f64) {
        self.journal
            .announce(&[instance(engine, lifecycle, started_at_ms)]);
    }

    /// Returns whether the dispatchers are connected to the journal and receive its events.
    fn journal_delivers_events(&self) -> bool {
        let is_reconnected = |restored: Instant| restored.elapsed() > JOURNAL_RECONNECT_DELAY;
        self.journal.mode() == Mode::Serving
            && self.journal_restored_at.get().is_none_or(is_reconnected)
    }

    fn record_drain(&self, engine: &Engine) -> usize {
        let delay = match self.journal_delivers_events() {
            true => EVENT_DELIVERY_DELAY,
            false => MISSED_EVENT_DELAY,
        };
        let mut records = self.records.borrow_mut();
        records.drains.push(DrainNotice {
            engine: engine.number,
            notified_at: Instant::now() + delay,
            until: None,
        });
        records.drains.len() - 1
    }

    async fn restart(&self, engine: &Rc<Engine>) {
        if engine.restart().await.is_err() {
            self.count_fault("restart failed");
            return;
        }
        self.count_fault("engine starts cold");
        self.announce(engine, Lifecycle::InService, crate::now());
        if !self.journal_delivers_events() {
            return;
        }
        let started_at = Instant::now();
        let warm_up = Duration::from_secs_f64(self.settings.warm_up_period / 1000.0);
        self.records.borrow_mut().slow_starts.push(SlowStart {
            engine: engine.number,
            started_at,
            until: started_at + warm_up,
            work_ms: engine.execution_time.get().as_secs_f64() * 1000.0,
        });
    }

    /// Makes the journal service go silent or down for a while.
    pub(super) async fn journal_faults(self: Rc<Self>, mut random: Stream) {
        loop {
            random.pause(5000.0).await;
            let mode = match random.chance(0.5) {
                true => Mode::Silent,
                false => Mode::Down,
            };
            self.count_fault("journal outage");
            self.journal.set_mode(mode);
            // Not every dispatcher knows of the slow starts that the outage overlaps, so they are not checked.
            self.records.borrow_mut().slow_starts.clear();
            random.pause(1500.0).await;
            self.journal.set_mode(Mode::Serving);
            self.journal_restored_at.set(Some(Instant::now()));
        }
    }
}
