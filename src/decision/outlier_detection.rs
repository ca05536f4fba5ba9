//! Detection of outliers: engines that fail their queries or no longer respond.

use super::controller::Controller;
use super::model::{Millis, QueryId, utilization::FULL_UTILIZATION};
use super::model::{
    endpoint::Engine, endpoint_list::EngineIndex, in_flight_attempt::InFlightAttempt,
};

/// Failure rate above which an engine is an outlier.
const MAX_FAILURE_RATE: f64 = 0.3;

/// Multiple of its expected latency after which an attempt may count as overdue.
const OVERDUE_LATENCY_MULTIPLE: f64 = 5.0;

/// Minimum time without a response before an attempt counts as overdue, ms, so that a short pause is
/// not taken for a crash.
const MIN_SILENCE: Millis = 2000.0;

/// Number of missed progress notes after which an attempt counts as lost.
const LOST_AFTER_MISSED_NOTES: f64 = 6.0;

impl Controller {
    /// Records that an engine has responded.
    pub(super) fn record_activity(&mut self, engine: EngineIndex) {
        let max_gap = LOST_AFTER_MISSED_NOTES * self.state.settings.engines.progress_interval;
        self.state.record_activity(engine, max_gap);
    }

    /// Returns whether the progress notes of an attempt have ceased although its engine responds. The
    /// cost is a needless repeat of the attempt where only the notes get lost.
    fn is_lost(&self, engine: &Engine, attempt: &InFlightAttempt) -> bool {
        let interval = self.state.settings.engines.progress_interval;
        let last_note_at = attempt.last_note_at.max(engine.responsive_since);
        interval > 0.0
            && self.state.lowest_zone_utilization() <= FULL_UTILIZATION
            && engine.last_response > last_note_at + LOST_AFTER_MISSED_NOTES * interval
    }

    /// Returns whether the answer to an attempt is long overdue and its engine has not responded since,
    /// while other engines have.
    fn is_overdue(&self, engine: &Engine, attempt: &InFlightAttempt) -> bool {
        let silent_since = attempt.sent_at.max(engine.last_response);
        let cost = &self.state.classes[attempt.class].cost;
        let max_silence = OVERDUE_LATENCY_MULTIPLE * cost.expected_latency(attempt.work);
        !engine.has_restarted_since(attempt.sent_at)
            && self.state.engines.has_response_after(silent_since)
            && self.state.now - silent_since > max_silence.max(MIN_SILENCE)
    }

    /// Returns whether an engine fails its queries or does not respond. Such an engine is skipped only
    /// while others are healthy: it is used again after its recovery as its failures decay, and a
    /// fault that all engines share ejects none. This guards against fast errors, dead and hung
    /// processes, and stale endpoint lists. The cost is that a heavy query on an otherwise idle
    /// engine diverts other queries for a while.
    pub(super) fn is_outlier(&self, engine: EngineIndex) -> bool {
        let engine = &self.state.engines[engine];
        let mut attempts = engine.in_flight.iter();
        engine.failure_rate() > MAX_FAILURE_RATE
            || attempts.any(|attempt| self.is_overdue(engine, attempt))
    }

    /// Returns the attempts in flight from which no answer is expected, by query and attempt number.
    pub(super) fn unresponsive_attempts(&self) -> Vec<(QueryId, u32)> {
        let mut unresponsive = vec![];
        for engine in self.state.engines.busy() {
            for attempt in &engine.in_flight {
                if self.is_overdue(engine, attempt) || self.is_lost(engine, attempt) {
                    unresponsive.push((attempt.id, attempt.attempt));
                }
            }
        }
        unresponsive
    }

    /// Returns whether the engine with this id is ejected: skipped now while others are healthy.
    pub fn is_ejected(&self, name: &str) -> bool {
        let engine = self.state.engines.find(name);
        engine.is_some_and(|engine| self.is_outlier(engine))
    }
}
