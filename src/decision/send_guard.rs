//! Enforces the seven dispatch rules on the only path by which attempts are sent.

use super::controller::Controller;
use super::model::{Action, Idempotency, QueryId, request::PendingRequest};
use super::model::{endpoint::Engine, endpoint_list::EngineIndex, timers::WAKEUP_INTERVAL};

/// Default priority of an attempt, where engines accept priorities.
const NORMAL_PRIORITY: u8 = 1;
/// Priority of an attempt of a bulk load.
const BULK_LOAD_PRIORITY: u8 = 2;
/// Priority of an attempt of the class with the greatest priority weight for its work.
const BEST_CLASS_PRIORITY: u8 = 3;

impl Controller {
    /// Returns whether dispatch rules 1 to 7 allow this request to be sent to this engine now.
    pub(super) fn may_send(&self, request: &PendingRequest, index: EngineIndex) -> bool {
        self.may_send_now(request) && self.may_send_to(request, index)
    }

    /// Checks the part of [`Controller::may_send`] that depends on the request alone.
    pub(super) fn may_send_now(&self, request: &PendingRequest) -> bool {
        // Rule 1: no attempt after the final answer or the deadline, nor beyond the maximum number.
        self.accepts_attempt(request)
            // Rule 5: queries of one key run in order.
            && self.is_next_in_order(request)
            // Rule 7: further attempts stay within the retry budget.
            && (request.attempts.is_empty() || self.retry_budget_available())
    }

    /// Checks the part of [`Controller::may_send`] that depends on the engine.
    pub(super) fn may_send_to(&self, request: &PendingRequest, index: EngineIndex) -> bool {
        let engine = &self.state.engines[index];
        let class = self.state.class(&request.query);
        let slow_start_work = || class.cost.slow_start_work(&request.query);
        // Rule 3: attempts go only to engines in service. The drain grace period is not used.
        engine.is_ready()
            // Rule 2: a query has no second effect.
            && self.keeps_single_effect(request, engine)
            // Rule 4: an engine that is warming up gets no more than this dispatcher's share of its
            // budget over any overload window.
            && (!self.is_warming_up(engine)
                || self.slow_start_probability(engine, slow_start_work()) > 0.0)
            // Rule 6: a class stays in its allowed zones and on its allowed kinds.
            && class.settings.allows(engine.zone, engine.kind)
    }

    /// Returns whether this request may be sent to any engine in service now.
    pub(super) fn may_send_anywhere(&self, request: &PendingRequest) -> bool {
        let mut ready = self.state.engines.ready_indices().iter();
        self.may_send_now(request) && ready.any(|&engine| self.may_send_to(request, engine))
    }

    /// Returns whether the request is open, in time, not yet streaming, and has attempts left.
    fn accepts_attempt(&self, request: &PendingRequest) -> bool {
        !request.is_finished
            && !request.is_streaming
            && self.state.now < request.deadline
            && (request.attempts.len() as u32) < self.state.settings.limits.max_attempts
    }

    /// Returns whether another attempt on this engine cannot have a second effect.
    fn keeps_single_effect(&self, request: &PendingRequest, engine: &Engine) -> bool {
        if request.has_in_flight() && !self.state.settings.limits.hedging {
            return false;
        }
        let Some(first) = request.first_attempt_that_may_have_run() else {
            return true;
        };
        let group = match request.idempotency {
            Idempotency::Idempotent => return true,
            Idempotency::NonIdempotent => return false,
            Idempotency::Keyed { group, .. } => group,
        };
        let first = &self.state.engines[first.engine];
        let repeat_by = request.repeatable_until();
        self.state.now + WAKEUP_INTERVAL < repeat_by && first.shares_keys_with(engine, group)
    }

    /// Returns whether the request is the first of its key and, at its first attempt, no earlier query
    /// of the key may still run.
    fn is_next_in_order(&self, request: &PendingRequest) -> bool {
        let Some(queue) = self.state.ordered_queue(&request.query) else {
            return true;
        };
        let may_start = !queue.is_quiet(self.state.now) || !request.attempts.is_empty();
        queue.is_first(request.query.id) && may_start
    }

    /// Starts an attempt on an engine, unless the dispatch rules or the random admission forbid it.
    /// Returns whether it was started. Every attempt is sent by this function.
    pub(super) fn start_attempt(&mut self, id: QueryId, engine: EngineIndex) -> bool {
        let Some(request) = self.state.requests.get(&id) else {
            return false;
        };
        if !self.may_send(request, engine) {
            return false;
        }
        let cost = &self.state.class(&request.query).cost;
        let slow_start_work = cost.slow_start_work(&request.query);
        if !self.sample_admission(engine, slow_start_work) {
            return false;
        }
        let granted_mb = self.emit_terms(id, engine);
        self.state.start_attempt(id, engine, granted_mb);
        let name = &self.state.engines[engine].name;
        self.actions.push(Action::send(id, name));
        true
    }

    /// Emits the memory grant and the priority of the next attempt, where engines accept either.
    /// Returns the granted memory, MB; 0 leaves the choice to the engine.
    fn emit_terms(&mut self, id: QueryId, engine: EngineIndex) -> f64 {
        let capabilities = &self.state.settings.engines;
        if !capabilities.accepts_memory_grants && !capabilities.accepts_priority {
            return 0.0;
        }
        let request = &self.state.requests[&id];
        let memory_mb = self.state.memory_grant(request, engine);
        let terms = Action::terms(id, self.priority(request), memory_mb);
        self.actions.push(terms);
        memory_mb
    }

    /// Returns the priority of a request: bulk loads come before other queries, since readers wait for
    /// them, but after the class with the greatest priority weight for its work. Where memory is
    /// overcommitted, all requests have the same priority, since a query of low priority would only
    /// hold its memory for longer there.
    fn priority(&self, request: &PendingRequest) -> u8 {
        let state = &self.state;
        let class = request.query.class;
        if state.settings.engines.overcommits_memory {
            NORMAL_PRIORITY
        } else if state.classes[class].settings.holds_tables {
            BULK_LOAD_PRIORITY
        } else if state.classes.len() > 1 && state.classes_by_weight_per_work()[0] == class {
            BEST_CLASS_PRIORITY
        } else {
            NORMAL_PRIORITY
        }
    }
}
