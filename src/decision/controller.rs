//! The dispatch of events and timers to the decisions, each concern of which has a module beside
//! this one.

use super::model::timers::wakeup_interval;
use super::model::{Action, Event, Millis, Outcome, Settings, SettingsError, state::State};

/// One dispatcher's decisions. Pure: time and the seed of its randomness are passed in, actions are
/// returned.
pub struct Controller {
    pub(super) state: State,
    pub(super) rng: oorandom::Rand64,
    /// Salt of this dispatcher's own order of the engines.
    pub(super) rank_salt: u64,
    /// What the present call asks to be done.
    pub(super) actions: Vec<Action>,
}

impl Controller {
    /// A controller for these settings. The seed decides its random choices and its order of the
    /// engines.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings contradict themselves.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Controller {
            state: State::new(settings),
            rng: oorandom::Rand64::new(seed.into()),
            rank_salt: seed,
            actions: vec![],
        })
    }

    /// Handles one event at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.state.advance_clock(now);
        self.on_event(event);
        // What can start now starts before the timer refuses what cannot.
        self.dispatch_queued();
        let is_due = self.state.timers.is_due(self.state.now);
        if is_due {
            self.on_timer();
        }
        self.schedule_wakeup(is_due);
        actions.append(&mut self.actions);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::EngineList { update, entries } => self.state.apply_engine_list(update, entries),
            Event::DiscoveryFailed => self.state.timers.retry_subscription(self.state.now),
            Event::Query(query) => self.admit(query),
            Event::AttemptEnded(ended) => self.on_attempt_ended(&ended),
            Event::EngineReport {
                engine,
                outcome,
                report,
            } => {
                self.on_engine_report(&engine, outcome, &report);
            }
            Event::Progress { id, attempt, note } => self.on_progress(id, attempt, note),
            Event::Streaming { id, .. } => self.state.start_streaming(id),
            Event::ClientDisconnected(id) => self.finish(id),
            Event::Timer(_) => {}
        }
    }

    fn on_engine_report(&mut self, name: &str, outcome: Outcome, report: &[f64]) {
        if let Some(engine) = self.state.engines.find(name) {
            self.record_load_report(engine, report);
            if outcome == Outcome::Unreachable {
                self.state.engines[engine].record_outcome(outcome);
            }
        }
    }

    fn on_timer(&mut self) {
        let now = self.state.now;
        if self.state.settings.must_subscribe && self.state.timers.take_subscription(now) {
            self.actions.push(Action::Subscribe);
        }
        if self.state.timers.end_period(now) {
            self.sample();
            self.state.ordered_queues.remove_idle(now);
        }
        self.migrate_silent_attempts();
        self.shed_late_requests();
    }

    fn schedule_wakeup(&mut self, was_due: bool) {
        let state = &mut self.state;
        let interval = wakeup_interval(state.requests.is_empty(), state.settings.step);
        let wakeup = state.timers.schedule(state.now, interval, was_due);
        self.actions
            .extend(wakeup.map(|at| Action::Timer { at, token: 0 }));
    }
}
