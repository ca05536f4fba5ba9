//! Which engines fail their queries or no longer respond.

use super::controller::Controller;
use super::model::{Millis, QueryId, utilization::FULL_UTILIZATION};
use super::model::{
    endpoint::Engine, endpoint_list::EngineIndex, in_flight_attempt::InFlightAttempt,
};

/// Failure rate above which an engine is an outlier.
const MAX_FAILURE_RATE: f64 = 0.3;

/// An attempt is overdue at this multiple of its expected latency.
const OVERDUE_LATENCY_MULTIPLE: f64 = 5.0;

/// No silence counts before this time, ms: a pause is no crash.
const MIN_SILENCE: Millis = 2000.0;

/// Progress notes that fail to come before an attempt counts as lost.
const MISSED_NOTES_LOST: f64 = 6.0;

impl Controller {
    /// Records that an engine responds.
    pub(super) fn record_activity(&mut self, engine: EngineIndex) {
        let pause = MISSED_NOTES_LOST * self.state.settings.engines.progress_interval;
        self.state.record_activity(engine, pause);
    }

    /// Its progress notes have ceased though its engine responds. Cost: where only notes get lost,
    /// a repeat in vain.
    fn is_lost(&self, engine: &Engine, attempt: &InFlightAttempt) -> bool {
        let interval = self.state.settings.engines.progress_interval;
        let last_note_at = attempt.last_note_at.max(engine.responsive_since);
        interval > 0.0
            && self.state.lowest_zone_utilization() <= FULL_UTILIZATION
            && engine.last_response > last_note_at + MISSED_NOTES_LOST * interval
    }

    /// Its engine owes the answer for long and is silent since, while others respond.
    fn is_overdue(&self, engine: &Engine, attempt: &InFlightAttempt) -> bool {
        let silent_since = attempt.sent_at.max(engine.last_response);
        let cost = &self.state.classes[attempt.class].cost;
        let patience = OVERDUE_LATENCY_MULTIPLE * cost.expected_latency(attempt.work);
        !engine.has_restarted_since(attempt.sent_at)
            && self.state.engines.has_response_after(silent_since)
            && self.state.now - silent_since > patience.max(MIN_SILENCE)
    }

    /// It fails or is silent. Such an engine is passed over, never shut out: one that has recovered
    /// is back as its failures decay, and a common fault ejects nobody. Guards against fast errors,
    /// dead and hung processes and stale lists; cost: a heavy query on a quiet engine sends others
    /// elsewhere for a while.
    pub(super) fn is_outlier(&self, engine: EngineIndex) -> bool {
        let engine = &self.state.engines[engine];
        let mut attempts = engine.in_flight.iter();
        engine.failure_rate() > MAX_FAILURE_RATE
            || attempts.any(|attempt| self.is_overdue(engine, attempt))
    }

    /// The attempts that will bring no answer, by query and number.
    pub(super) fn silent_attempts(&self) -> Vec<(QueryId, u32)> {
        let mut silent = vec![];
        for engine in self.state.engines.busy() {
            for attempt in &engine.in_flight {
                if self.is_overdue(engine, attempt) || self.is_lost(engine, attempt) {
                    silent.push((attempt.id, attempt.attempt));
                }
            }
        }
        silent
    }

    /// Whether this engine, by its id, is passed over now while others are healthy.
    pub fn is_ejected(&self, name: &str) -> bool {
        let engine = self.state.engines.find(name);
        engine.is_some_and(|engine| self.is_outlier(engine))
    }
}
