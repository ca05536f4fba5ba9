//! The rules that no attempt may break, and the one path by which attempts are sent.

use super::controller::Controller;
use super::model::{Action, Idempotency, QueryId, request::PendingRequest};
use super::model::{endpoint::Engine, endpoint_list::EngineIndex, timers::WAKEUP_INTERVAL};

/// Priorities of attempts, where engines accept one.
const NORMAL_PRIORITY: u8 = 1;
const BULK_LOAD_PRIORITY: u8 = 2;
const BEST_CLASS_PRIORITY: u8 = 3;

impl Controller {
    /// Whether rules 1 to 7 allow this query to be sent to this engine now.
    pub(super) fn may_send(&self, request: &PendingRequest, index: EngineIndex) -> bool {
        self.may_send_now(request) && self.may_send_to(request, index)
    }

    /// The part of [`Controller::may_send`] that depends on the request alone.
    pub(super) fn may_send_now(&self, request: &PendingRequest) -> bool {
        // 1: nothing after the end, nor beyond the attempts allowed.
        self.accepts_attempt(request)
            // 5: the order of its key.
            && self.is_next_in_order(request)
            // 7: further attempts within their budget.
            && (request.attempts.is_empty() || self.retry_budget_available())
    }

    /// The part of [`Controller::may_send`] that depends on the engine.
    pub(super) fn may_send_to(&self, request: &PendingRequest, index: EngineIndex) -> bool {
        let engine = &self.state.engines[index];
        let class = self.state.class(&request.query);
        let slow_start_work = || class.cost.slow_start_work(&request.query);
        // 3: only to engines in service; the grace is not used.
        engine.is_ready()
            // 2: no double effect.
            && self.keeps_single_effect(request, engine)
            // 4: a warming engine gets our part of its budget over any window.
            && (!self.is_warming_up(engine)
                || self.slow_start_probability(engine, slow_start_work()) > 0.0)
            // 6: placement.
            && class.settings.allows(engine.zone, engine.kind)
    }

    /// Whether some engine in service may be sent this query now.
    pub(super) fn may_send_anywhere(&self, request: &PendingRequest) -> bool {
        let mut ready = self.state.engines.ready_indices().iter();
        self.may_send_now(request) && ready.any(|&engine| self.may_send_to(request, engine))
    }

    fn accepts_attempt(&self, request: &PendingRequest) -> bool {
        !request.is_finished
            && !request.is_streaming
            && self.state.now < request.deadline
            && (request.attempts.len() as u32) < self.state.settings.limits.max_attempts
    }

    /// Another attempt there has no second effect.
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

    /// Nothing of its key is before it or, at its first attempt, may still run.
    fn is_next_in_order(&self, request: &PendingRequest) -> bool {
        let Some(queue) = self.state.ordered_queue(&request.query) else {
            return true;
        };
        let may_start = !queue.is_quiet(self.state.now) || !request.attempts.is_empty();
        queue.is_first(request.query.id) && may_start
    }

    /// Starts an attempt there, unless the rules or the random admission forbid it. Every attempt
    /// is sent here.
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
        let granted_mb = self.announce_terms(id, engine);
        self.state.start_attempt(id, engine, granted_mb);
        let name = &self.state.engines[engine].name;
        self.actions.push(Action::send(id, name));
        true
    }

    /// Names memory and priority of the next attempt, where engines accept them. Returns the
    /// memory, MB.
    fn announce_terms(&mut self, id: QueryId, engine: EngineIndex) -> f64 {
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

    /// The best class first, then bulk loads, since readers wait for them. Where memory that runs
    /// out slows all, a query of low priority only uses its memory for longer.
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
