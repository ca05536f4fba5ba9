//! An attempt that has not ended, as the engine that runs it reports it.

use super::class::ClassState;
use super::request::PendingRequest;
use super::{ClassId, Millis, ProgressNote, QueryId};

#[cfg(test)]
mod tests;

/// Least fraction of work done from which progress is extrapolated, so that it stays finite.
const MIN_COMPLETED: f64 = 1e-3;

/// An attempt that has not ended.
#[derive(Debug)]
pub(crate) struct InFlightAttempt {
    /// The query.
    pub(crate) id: QueryId,
    /// Which of the query's attempts, from 0.
    pub(crate) attempt: u32,
    /// The query's class.
    pub(crate) class: ClassId,
    /// Group of tables that it reads or writes.
    pub(crate) tables: Option<u64>,
    /// It locks that group while it runs.
    pub(crate) locks_tables: bool,
    /// Threads that it uses when it runs.
    pub(crate) class_threads: f64,
    /// Threads that it uses now.
    pub(crate) threads: f64,
    /// Its expected work, ms of one thread.
    pub(crate) work: f64,
    /// When it was sent, ms.
    pub(crate) sent_at: Millis,
    /// Fraction of its work that is done.
    pub(crate) completed: f64,
    /// When its last progress note came, ms; at first, when it was sent.
    pub(crate) noted_at: Millis,
    /// Memory requested for it, MB; 0 is the engine's choice.
    pub(crate) granted_mb: f64,
    /// It has stalled behind a bulk load.
    pub(crate) has_stalled: bool,
}

/// Where an attempt stands beside what is usual, extrapolated from its progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    /// Logarithm of the latency in threads over the expected work.
    pub(crate) pace: f64,
    /// The same as usual for the class.
    pub(crate) usual_pace: f64,
    /// Time until it is done, ms.
    pub(crate) remaining: Millis,
    /// Time that a new attempt would take at the usual pace, ms.
    pub(crate) restart: Millis,
}

impl InFlightAttempt {
    /// An attempt that is sent now, with this memory, MB.
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
            noted_at: now,
            granted_mb,
            has_stalled: false,
        }
    }

    /// Takes over what its engine reports of it. Returns false if that says nothing.
    pub(crate) fn record_progress(&mut self, note: ProgressNote, now: Millis) -> bool {
        self.noted_at = now;
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

    /// Extrapolates its progress.
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

    /// Its work that is not done yet, ms of one thread.
    pub(crate) fn remaining_work(&self) -> f64 {
        self.work * (1.0 - self.completed)
    }
}
