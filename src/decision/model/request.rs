//! A query that this dispatcher has accepted, and its attempts.

use super::endpoint_list::EngineIndex;
use super::query::Query;
use super::{DeduplicationScope, Ended, Idempotency, Millis, Outcome};

#[cfg(test)]
mod tests;

/// Whether an attempt is in flight, and whether it may have run once it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// Sent and not ended yet.
    InFlight,
    /// Ended; the query may have had its effect.
    MayHaveRun,
    /// Ended; the query certainly had no effect.
    NeverRan,
}

/// One attempt of a query.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The engine that the attempt was sent to.
    pub(crate) engine: EngineIndex,
    /// When the attempt was sent, ms.
    pub(crate) sent_at: Millis,
    /// Whether the attempt is in flight or how it ended.
    pub(crate) state: AttemptState,
}

impl Attempt {
    /// Returns whether the attempt has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.state == AttemptState::InFlight
    }

    /// Returns whether the query may have its effect by this attempt, now or later.
    pub(crate) fn may_have_run(&self) -> bool {
        self.state != AttemptState::NeverRan
    }
}

/// Probes that were sent for a queued query.
#[derive(Clone, Debug)]
pub(crate) struct Probes {
    /// The engines that were probed.
    pub(crate) candidates: Vec<EngineIndex>,
    /// When the probes were sent, ms.
    pub(crate) sent_at: Millis,
    /// Time until which the query waits for the reports, ms.
    pub(crate) until: Millis,
}

/// Whether a queued query waits for the load reports of probed engines.
#[derive(Clone, Debug)]
pub(crate) enum Probing {
    /// The query has requested no reports.
    Idle,
    /// The query waits for the reports of these probes.
    Waiting(Probes),
    /// None of the probed engines had capacity; no further probe is sent during the pause.
    Paused {
        /// End of the pause, ms.
        until: Millis,
    },
}

/// An accepted query that has no final answer yet or still has an attempt in flight.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// The query.
    pub(crate) query: Query,
    /// The effect of running the query twice.
    pub(crate) idempotency: Idempotency,
    /// When the query arrived, ms.
    pub(crate) arrived_at: Millis,
    /// When the client gives up on the query, ms.
    pub(crate) deadline: Millis,
    /// Total time in the queue before all attempts so far, ms.
    pub(crate) queue_time: Millis,
    /// When the query was last queued, ms.
    pub(crate) queued_at: Millis,
    /// The attempts of the query, in order.
    pub(crate) attempts: Vec<Attempt>,
    /// Whether the query waits for probes.
    pub(crate) probing: Probing,
    /// Memory that the query needs, MB, once a spill has shown it.
    pub(crate) required_memory_mb: Option<f64>,
    /// Whether the query exceeds its tenant's quota.
    pub(crate) over_quota: bool,
    /// Whether the query has its final answer, or no client waits for one.
    pub(crate) is_finished: bool,
    /// Whether the client has begun to receive an answer.
    pub(crate) is_streaming: bool,
}

impl PendingRequest {
    /// Creates a request for a query that arrives now.
    pub(crate) fn new(
        query: Query,
        idempotency: Idempotency,
        now: Millis,
        over_quota: bool,
    ) -> Self {
        PendingRequest {
            idempotency,
            arrived_at: now,
            deadline: now + query.time_left,
            queue_time: 0.0,
            queued_at: now,
            attempts: vec![],
            probing: Probing::Idle,
            required_memory_mb: None,
            over_quota,
            is_finished: false,
            is_streaming: false,
            query,
        }
    }

    /// Returns the engine of the attempt with this number, if it has not ended.
    pub(crate) fn in_flight_engine(&self, attempt: u32) -> Option<EngineIndex> {
        let attempt = self.attempts.get(attempt as usize);
        let in_flight = attempt.filter(|attempt| attempt.is_in_flight());
        in_flight.map(|attempt| attempt.engine)
    }

    /// Returns the numbers of the attempts that have not ended.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = u32> {
        let numbered = self.attempts.iter().enumerate();
        let in_flight = numbered.filter(|(_, attempt)| attempt.is_in_flight());
        in_flight.map(|(number, _)| number as u32)
    }

    /// Returns whether any attempt has not ended.
    pub(crate) fn has_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Returns the first attempt that may have run, if any.
    pub(crate) fn first_attempt_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// Returns whether an attempt was sent to this engine.
    pub(crate) fn has_tried(&self, engine: EngineIndex) -> bool {
        self.attempts.iter().any(|attempt| attempt.engine == engine)
    }

    /// Returns whether the query may have run and only engines in the zone or cell of that attempt
    /// recognize a repeat.
    pub(crate) fn may_repeat_only_near_first_attempt(&self) -> bool {
        let is_bound = matches!(
            self.idempotency,
            Idempotency::Keyed { group, .. } if group != DeduplicationScope::All
        );
        is_bound && self.first_attempt_that_may_have_run().is_some()
    }

    /// Returns the engines that the request refers to, as probe candidates or by an attempt.
    pub(crate) fn engines(&self) -> impl Iterator<Item = EngineIndex> {
        let candidates = match &self.probing {
            Probing::Waiting(probes) => &probes.candidates[..],
            Probing::Idle | Probing::Paused { .. } => &[],
        };
        let tried = self.attempts.iter().map(|attempt| attempt.engine);
        candidates.iter().copied().chain(tried)
    }

    /// Returns whether the request waits for the reports of probed engines.
    pub(crate) fn awaits_probes(&self, now: Millis) -> bool {
        matches!(&self.probing, Probing::Waiting(probes) if now < probes.until)
    }

    /// Returns whether the request may not probe again yet.
    pub(crate) fn is_probing_paused(&self, now: Millis) -> bool {
        matches!(&self.probing, Probing::Paused { until } if now < *until)
    }

    /// Returns the time until which the query may be repeated without a second effect, ms: for a
    /// keyed query, the end of the deduplication window from the first attempt that may have run.
    pub(crate) fn repeatable_until(&self) -> Millis {
        let Some(first) = self.first_attempt_that_may_have_run() else {
            return f64::INFINITY;
        };
        match self.idempotency {
            Idempotency::Idempotent => f64::INFINITY,
            Idempotency::Keyed { window, .. } => first.sent_at + window,
            Idempotency::NonIdempotent => f64::MIN,
        }
    }

    /// Returns whether the client may send the query again without a second effect.
    pub(crate) fn is_retry_safe(&self) -> bool {
        let may_have_run = self.first_attempt_that_may_have_run().is_some();
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { group, .. } => !may_have_run || group == DeduplicationScope::All,
            Idempotency::NonIdempotent => !may_have_run,
        }
    }

    /// Records an attempt that is sent now.
    pub(crate) fn start_attempt(&mut self, engine: EngineIndex, now: Millis) {
        self.queue_time += now - self.queued_at;
        self.probing = Probing::Idle;
        self.attempts.push(Attempt {
            engine,
            sent_at: now,
            state: AttemptState::InFlight,
        });
    }

    /// Records the end of an attempt and returns the attempt, or `None` if it was not in flight.
    pub(crate) fn end_attempt(&mut self, ended: &Ended) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(ended.attempt as usize)?;
        if !attempt.is_in_flight() {
            return None;
        }
        attempt.state = match ended.outcome.never_ran() {
            true => AttemptState::NeverRan,
            false => AttemptState::MayHaveRun,
        };
        self.is_finished |= ended.last || ended.outcome == Outcome::Served;
        Some(*attempt)
    }

    /// Makes the request wait for the reports of the probed candidates, for at most `timeout` ms.
    pub(crate) fn await_probes(
        &mut self,
        candidates: Vec<EngineIndex>,
        now: Millis,
        timeout: Millis,
    ) {
        self.probing = Probing::Waiting(Probes {
            candidates,
            sent_at: now,
            until: now + timeout,
        });
    }
}
