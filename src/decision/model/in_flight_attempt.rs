//! An attempt in flight, updated by the progress notes of its engine.

use super::class::ClassState;
use super::request::PendingRequest;
use super::{ClassId, Millis, ProgressNote, QueryId};

#[cfg(test)]
mod tests;

/// Lower bound on the completed fraction from which progress is extrapolated; it keeps the result
/// finite.
const MIN_COMPLETED: f64 = 1e-3;

/// An attempt in flight.
#[derive(Debug)]
pub(crate) struct InFlightAttempt {
    /// The query.
    pub(crate) id: QueryId,
    /// Number of the attempt, from 0.
    pub(crate) attempt: u32,
    /// The query's class.
    pub(crate) class: ClassId,
    /// Table group that the query reads or writes.
    pub(crate) tables: Option<u64>,
    /// Whether the attempt locks its table group while it runs.
    pub(crate) locks_tables: bool,
    /// Number of threads that the attempt uses while it runs.
    pub(crate) class_threads: f64,
    /// Number of threads that the attempt uses now.
    pub(crate) threads: f64,
    /// Expected work of the query, ms of one thread.
    pub(crate) work: f64,
    /// When the attempt was sent, ms.
    pub(crate) sent_at: Millis,
    /// Fraction of the work that is done.
    pub(crate) completed: f64,
    /// When the last progress note was received, ms; initially the time the attempt was sent.
    pub(crate) last_note_at: Millis,
    /// Memory requested for the attempt, MB; 0 leaves the choice to the engine.
    pub(crate) granted_mb: f64,
    /// Whether the attempt has stalled behind a bulk load.
    pub(crate) has_stalled: bool,
}

/// The pace and remaining time of an attempt, extrapolated from its progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    /// Logarithm of latency times threads divided by the expected work.
    pub(crate) pace: f64,
    /// The usual value of `pace` for the class.
    pub(crate) usual_pace: f64,
    /// Time until the attempt is done, ms.
    pub(crate) remaining: Millis,
    /// Time that a new attempt would take at the usual pace, ms.
    pub(crate) restart: Millis,
}

impl InFlightAttempt {
    /// Creates an attempt that is sent now and granted this memory, MB.
    pub(crate) fn new(
        request: &PendingRequest,
        class: &ClassState,
        granted_mb: f64,
        now: Millis,
    ) -> Self {
        let query = &request.query;
        InFlightAttempt {
            id: query.id,
            attempt: request.attempts.len() as u32,
            class: query.class,
            tables: query.tables,
            locks_tables: class.settings.holds_tables,
            class_threads: class.settings.threads,
            threads: class.settings.threads,
            work: class.cost.work(query),
            sent_at: now,
            completed: 0.0,
            last_note_at: now,
            granted_mb,
            has_stalled: false,
        }
    }

    /// Records a progress note from the engine. Returns false if the note is invalid.
    pub(crate) fn record_progress(&mut self, note: ProgressNote, now: Millis) -> bool {
        self.last_note_at = now;
        self.threads = match note {
            ProgressNote::Idle => 0.0,
            _ => self.class_threads,
        };
        match note {
            ProgressNote::Completed(fraction) if !fraction.is_finite() => return false,
            ProgressNote::Completed(fraction) => self.completed = fraction.clamp(0.0, 1.0),
            ProgressNote::WaitsForLoad => self.has_stalled = true,
            _ => {}
        }
        true
    }

    /// Extrapolates the progress of the attempt.
    pub(crate) fn forecast(&self, now: Millis, usual_pace: f64) -> Forecast {
        let elapsed = now - self.sent_at;
        let completed = self.completed.max(MIN_COMPLETED);
        Forecast {
            pace: (elapsed * self.threads / (completed * self.work)).ln(),
            usual_pace,
            remaining: elapsed * (1.0 - completed) / completed,
            restart: self.work / self.threads * usual_pace.exp(),
        }
    }

    /// Returns the remaining work of the attempt, ms of one thread.
    pub(crate) fn remaining_work(&self) -> f64 {
        self.work * (1.0 - self.completed)
    }
}
