//! Methods of [`State`] for the lifecycle of a request: its arrival, its attempts and its end.

use super::endpoint::{Engine, THREADS_PER_CORE};
use super::endpoint_list::EngineIndex;
use super::in_flight_attempt::{Forecast, InFlightAttempt};
use super::ordered_queue::OrderedQueue;
use super::request::{PendingRequest, Probing};
use super::state::State;
use super::utilization::FULL_UTILIZATION;
use super::{Ended, Millis, ProgressNote, Query, QueryId};

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    /// The engine that it was sent to.
    pub(crate) engine: EngineIndex,
    /// When the attempt was sent, ms.
    pub(crate) sent_at: Millis,
    /// Time from sending the attempt to its end, ms.
    pub(crate) elapsed: Millis,
    /// Number of threads that the attempt ran on.
    pub(crate) threads: f64,
    /// Elapsed time divided by the usual service time of the query's class.
    pub(crate) slowdown: f64,
    /// Whether the attempt had stalled behind a bulk load.
    pub(crate) has_stalled: bool,
    /// Whether the engine's process has restarted since the attempt was sent, so that the result
    /// does not describe the current process.
    pub(crate) is_stale: bool,
}

impl State {
    /// Queues a query that has arrived. Returns `None` if its class is unknown or it is already
    /// pending.
    pub(crate) fn enqueue(&mut self, mut query: Query) -> Option<QueryId> {
        query.sanitize();
        let budget = self.settings.rules.retry_budget;
        self.retry_usage.record_arrival(self.now, budget);
        if query.class >= self.classes.len() || self.requests.contains_key(&query.id) {
            return None;
        }
        self.record_arrival(&query);
        let quota = query.tenant.and_then(|tenant| self.quotas.get_mut(tenant));
        let over_quota = quota.is_some_and(|quota| !quota.try_acquire(self.now));
        let id = query.id;
        let class = &mut self.classes[query.class];
        class.queue.push_back(id);
        if let Some(key) = query.key.as_ref().filter(|_| class.settings.in_order) {
            self.ordered_queues.push(key, id);
        }
        let idempotency = class.settings.idempotency;
        let request = PendingRequest::new(query, idempotency, self.now, over_quota);
        self.requests.insert(id, request);
        Some(id)
    }

    /// Returns the request, if it is pending and has no final answer.
    pub(crate) fn open_request(&self, id: QueryId) -> Option<&PendingRequest> {
        let request = self.requests.get(&id);
        request.filter(|request| !request.is_finished)
    }

    /// Returns the queue of the query's key, if the query has to run in order.
    pub(crate) fn ordered_queue(&self, query: &Query) -> Option<&OrderedQueue> {
        let is_ordered = self.class(query).settings.in_order;
        let key = query.key.as_deref().filter(|_| is_ordered);
        self.ordered_queues.get(key?)
    }

    /// Makes a request wait for the reports of its probed candidates, for at most `timeout` ms.
    pub(crate) fn await_probes(
        &mut self,
        id: QueryId,
        candidates: Vec<EngineIndex>,
        timeout: Millis,
    ) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.await_probes(candidates, self.now, timeout);
        }
    }

    /// Stops a request from probing for `pause` ms, because none of the probed engines has
    /// capacity.
    pub(crate) fn pause_probing(&mut self, id: QueryId, pause: Millis) {
        if let Some(request) = self.requests.get_mut(&id) {
            let until = self.now + pause;
            request.probing = Probing::Paused { until };
            self.classes[request.query.class].period.is_backlogged = true;
        }
    }

    /// Queues a request for another attempt, at the front of its class's queue.
    pub(crate) fn requeue(&mut self, id: QueryId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.queued_at = self.now;
            let class = &mut self.classes[request.query.class];
            class.queue.push_front(id);
        }
    }

    /// Records an attempt that is sent now.
    pub(crate) fn start_attempt(&mut self, id: QueryId, engine: EngineIndex, granted_mb: f64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let budget = self.settings.rules.retry_budget;
        let is_retry = !request.attempts.is_empty();
        self.retry_usage.record_attempt(self.now, budget, is_retry);
        let class = &self.classes[request.query.class];
        let attempt = InFlightAttempt::new(request, class, granted_mb, self.now);
        self.engines.add_attempt(engine, attempt);
        request.start_attempt(engine, self.now);
    }

    /// Returns the engine of an attempt, if it has not ended.
    pub(crate) fn in_flight_engine(&self, id: QueryId, attempt: u32) -> Option<EngineIndex> {
        self.requests.get(&id)?.in_flight_engine(attempt)
    }

    fn in_flight(&self, id: QueryId, attempt: u32) -> Option<(&Engine, &InFlightAttempt)> {
        let engine = &self.engines[self.in_flight_engine(id, attempt)?];
        Some((engine, engine.attempt(id, attempt)?))
    }

    /// Records a progress note about an attempt. Returns false if the attempt is not in flight or
    /// the note is invalid.
    pub(crate) fn record_progress(
        &mut self,
        id: QueryId,
        attempt: u32,
        note: ProgressNote,
    ) -> bool {
        let Some(engine) = self.in_flight_engine(id, attempt) else {
            return false;
        };
        let attempt = self.engines[engine].attempt_mut(id, attempt);
        attempt.is_some_and(|attempt| attempt.record_progress(note, self.now))
    }

    /// Records that a bulk load locks the request's tables at the engine, and discards locks that
    /// were reported longer than `ttl` ms ago.
    pub(crate) fn record_table_lock(&mut self, id: QueryId, engine: EngineIndex, ttl: Millis) {
        if let Some(request) = self.requests.get(&id) {
            let group = request.query.tables;
            self.engines[engine].record_table_lock(self.now, ttl, group);
        }
    }

    /// Extrapolates the progress of an attempt and compares it with the usual pace of its class, or
    /// with `default_pace` before that is known.
    pub(crate) fn forecast(
        &self,
        id: QueryId,
        attempt: u32,
        default_pace: f64,
    ) -> Option<Forecast> {
        let (_, attempt) = self.in_flight(id, attempt)?;
        let cost = &self.classes[attempt.class].cost;
        Some(attempt.forecast(self.now, cost.usual_pace(default_pace)))
    }

    /// Records the memory that a request needs, derived from an attempt that lacks `missing_mb`.
    /// Returns it, MB, or `None` if it was already known or is not finite.
    pub(crate) fn record_required_memory(
        &mut self,
        id: QueryId,
        attempt: u32,
        missing_mb: f64,
    ) -> Option<f64> {
        let (engine, attempt) = self.in_flight(id, attempt)?;
        let required_mb = engine.memory_of(attempt) + missing_mb;
        let request = self.requests.get_mut(&id)?;
        if !required_mb.is_finite() || request.required_memory_mb.is_some() {
            return None;
        }
        request.required_memory_mb = Some(required_mb);
        request.required_memory_mb
    }

    /// Records that the client has begun to receive an answer.
    pub(crate) fn start_streaming(&mut self, id: QueryId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_streaming = true;
        }
    }

    /// Returns whether the client has begun to receive an answer.
    pub(crate) fn is_streaming(&self, id: QueryId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.is_streaming)
    }

    /// Records the end of an attempt. Returns `None` if it was not in flight.
    pub(crate) fn end_attempt(&mut self, ended: &Ended) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&ended.id)?;
        let attempt = request.end_attempt(ended)?;
        let class = &self.classes[request.query.class];
        let threads = class.settings.threads;
        let elapsed = self.now - attempt.sent_at;
        let slowdown = elapsed * threads / class.cost.usual_work();
        let has_stalled = self
            .engines
            .remove_attempt(attempt.engine, ended.id, ended.attempt);
        Some(EndedAttempt {
            engine: attempt.engine,
            sent_at: attempt.sent_at,
            elapsed,
            threads,
            slowdown,
            has_stalled,
            is_stale: self.engines[attempt.engine].has_restarted_since(attempt.sent_at),
        })
    }

    /// Updates the cost estimates of the class from an answer. Returns whether the answer has met
    /// its latency objective.
    pub(crate) fn learn_from_answer(&mut self, attempt: &EndedAttempt, answer: &Ended) -> bool {
        let is_undisturbed = !attempt.has_stalled && self.has_idle_cores(attempt.engine);
        let Some(request) = self.requests.get(&answer.id) else {
            return false;
        };
        let class = &mut self.classes[request.query.class];
        class.record_answer(request, answer, attempt.elapsed, is_undisturbed);
        let work = answer.work.unwrap_or(class.cost.usual_work());
        attempt.elapsed <= class.cost.latency_objective(work)
    }

    /// Returns whether the engine has idle cores: only then does the latency of a query show its
    /// work.
    fn has_idle_cores(&self, engine: EngineIndex) -> bool {
        let engine = &self.engines[engine];
        let observed = self.utilization.observed(engine, self.now);
        observed.is_none_or(|utilization| utilization * THREADS_PER_CORE <= 1.0)
            && self.utilization.zone(engine.zone) <= FULL_UTILIZATION
    }

    /// Starts a quiet period for the key of a request whose attempt may still run: the next query
    /// of the key waits until it ends.
    pub(crate) fn start_quiet_period(&mut self, id: QueryId) {
        let until = self.now + self.settings.rules.order_quiet_period;
        let request = self.requests.get(&id);
        if let Some(key) = request.and_then(|request| request.query.key.as_ref()) {
            self.ordered_queues.extend_quiet_period(key, until);
        }
    }

    /// Marks a request as finished: it has its final answer, or no client waits for one.
    pub(crate) fn finish(&mut self, id: QueryId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_finished = true;
        }
    }

    /// Removes a finished request from its queue. Returns the numbers of its attempts in flight.
    pub(crate) fn dequeue(&mut self, id: QueryId) -> Vec<u32> {
        let Some(request) = self.requests.get(&id) else {
            return vec![];
        };
        let queue = &mut self.classes[request.query.class].queue;
        queue.retain(|&queued| queued != id);
        request.in_flight().collect()
    }

    /// Removes a request that is finished and has no attempt in flight.
    pub(crate) fn remove_if_done(&mut self, id: QueryId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.is_finished && !request.has_in_flight() {
            if let Some(key) = &request.query.key {
                self.ordered_queues.remove(key, id, self.now);
            }
            self.requests.remove(&id);
        }
    }
}
