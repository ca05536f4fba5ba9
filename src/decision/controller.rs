//! The decision controller: routes events and timers to the decision logic, which is split by concern
//! into the sibling modules.

use super::model::timers::wakeup_interval;
use super::model::{Action, Event, Millis, Outcome, Settings, SettingsError, state::State};

/// Decision logic of one dispatcher. It performs no I/O: the caller passes in the time and the random
/// seed and carries out the returned actions.
pub struct Controller {
    pub(super) state: State,
    pub(super) rng: oorandom::Rand64,
    /// Salt of the hash by which this dispatcher orders the engines.
    pub(super) rank_salt: u64,
    /// Actions requested by the event that is being handled.
    pub(super) actions: Vec<Action>,
}

impl Controller {
    /// Creates a controller with these settings. The seed determines its random choices and its
    /// order of the engines.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the settings are inconsistent.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Controller {
            state: State::new(settings),
            rng: oorandom::Rand64::new(seed.into()),
            rank_salt: seed,
            actions: vec![],
        })
    }

    /// Handles one event at the time `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.state.advance_clock(now);
        self.on_event(event);
        // Queued requests that can start now do so before the timer sheds the others.
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
        self.migrate_unresponsive_attempts();
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
